"""HTTP client that retries at other hosts with the same request id."""

import asyncio
import collections
import dataclasses
import json
import time
from typing import TypeVar

import httpx
import pydantic
from returns.result import Failure as Failed
from returns.result import Result, Success

from masticdale_common import ErrorKind
from masticdale_config.messages import ErrorBody
from masticdale_load.system_hosts import Balancer
from masticdaled.callers.models import (
    CallAnswerBody,
    CallServiceBody,
    CreateProgramBody,
    EndProgramBody,
    OpenBranchBody,
    ProgramBody,
    SendTurnBody,
    TurnAnswerBody,
)

BodyT = TypeVar("BodyT", bound=pydantic.BaseModel)
_ERROR_BODY = pydantic.TypeAdapter(ErrorBody)
_PATH = "/v1/programs"
_RETRY_DELAY_S = 0.1
_DATA_PREFIX = "data:"
_EVENT_PREFIX = "event:"
# Error kinds that are retried even without ``retry_after_ms``. The request id
# makes a retry safe.
_RETRIED_KINDS = frozenset({ErrorKind.INTERNAL, ErrorKind.CANCELLED})


@dataclasses.dataclass(slots=True)
class ClientStats:
    """Counts of refused and failed attempts.

    Attributes:
        count_by_refusal: Number of refusals by error kind.
        not_accepted: Connections that a closed listener refused.
        broken: Connections that failed or timed out after the request.
        mismatched_streams: Streams whose text differs from their last event.
    """

    count_by_refusal: collections.Counter[str] = dataclasses.field(
        default_factory=collections.Counter
    )
    not_accepted: int = 0
    broken: int = 0
    mismatched_streams: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class CallerSettings:
    """Timeouts of a caller.

    Attributes:
        timeout_s: Timeout of one answer or of the next event of a stream.
        total_timeout_s: Timeout over all attempts of one request.
    """

    timeout_s: float = 20.0
    total_timeout_s: float = 120.0


class SystemClient:
    """Client of the HTTP API with one workspace's key."""

    def __init__(
        self,
        balancer: Balancer,
        key: str,
        stats: ClientStats,
        settings: CallerSettings | None = None,
    ) -> None:
        self._balancer = balancer
        self._stats = stats
        self._settings = settings or CallerSettings()
        self._http = httpx.AsyncClient(
            headers={"authorization": f"Bearer {key}"},
            timeout=self._settings.timeout_s,
            limits=httpx.Limits(max_connections=None),
            trust_env=False,
        )

    async def close(self) -> None:
        """Closes the connections."""
        await self._http.aclose()

    async def create(
        self, body: CreateProgramBody
    ) -> Result[ProgramBody, ErrorBody]:
        """Creates a program."""
        return await self._send_with_retries("", body, ProgramBody)

    async def turn(
        self, program_id: str, body: SendTurnBody
    ) -> Result[TurnAnswerBody, ErrorBody]:
        """Sends a turn and waits for the complete answer."""
        path = f"/{program_id}/turns"
        return await self._send_with_retries(path, body, TurnAnswerBody)

    async def call(
        self, program_id: str, body: CallServiceBody
    ) -> Result[CallAnswerBody, ErrorBody]:
        """Calls a service operation."""
        path = f"/{program_id}/calls"
        return await self._send_with_retries(path, body, CallAnswerBody)

    async def branch(
        self, program_id: str, body: OpenBranchBody
    ) -> Result[ProgramBody, ErrorBody]:
        """Opens a branch for a sub-agent."""
        path = f"/{program_id}/branches"
        return await self._send_with_retries(path, body, ProgramBody)

    async def end(self, program_id: str) -> Result[ProgramBody, ErrorBody]:
        """Ends a program."""
        path = f"/{program_id}/end"
        return await self._send_with_retries(
            path, EndProgramBody(), ProgramBody
        )

    async def read(
        self, program_id: str, branch: str
    ) -> Result[ProgramBody, ErrorBody]:
        """Reads a program's status and one branch's history."""
        path = f"/{program_id}?history={branch}"
        return await self._send_with_retries(path, None, ProgramBody)

    async def send_once(
        self,
        url: str,
        path: str,
        body: pydantic.BaseModel | None,
        kind: type[BodyT],
    ) -> Result[BodyT, ErrorBody]:
        """Sends a request to one host without retries.

        Raises:
            httpx.TransportError: The connection failed or timed out.
        """
        full_url = f"{url}{_PATH}{path}"
        if body is None:
            return _parse_response(await self._http.get(full_url), kind)
        data = body.model_dump(mode="json")
        if isinstance(body, SendTurnBody) and body.stream:
            return await self._stream(full_url, data, kind)
        return _parse_response(await self._http.post(full_url, json=data), kind)

    async def _send_with_retries(
        self, path: str, body: pydantic.BaseModel | None, kind: type[BodyT]
    ) -> Result[BodyT, ErrorBody]:
        deadline = time.monotonic() + self._settings.total_timeout_s
        refusal = ErrorBody(
            kind=ErrorKind.PEER_UNAVAILABLE.value,
            message="No host answered.",
            detail="",
            ran="unknown",
            retry_after_ms=None,
        )
        while time.monotonic() < deadline:
            url = self._balancer.next_url()
            try:
                outcome = await self.send_once(url, path, body, kind)
            except httpx.ConnectError:
                self._stats.not_accepted += 1
                await asyncio.sleep(_RETRY_DELAY_S)
                continue
            except httpx.TransportError:
                self._stats.broken += 1
                await asyncio.sleep(_RETRY_DELAY_S)
                continue
            if isinstance(outcome, Success):
                return outcome
            refusal = outcome.failure()
            self._stats.count_by_refusal[refusal.kind] += 1
            wait_ms = refusal.retry_after_ms
            if wait_ms is None and refusal.kind not in _RETRIED_KINDS:
                return outcome
            await asyncio.sleep(max(_RETRY_DELAY_S, (wait_ms or 0) / 1000))
        return Failed(refusal)

    async def _stream(
        self, url: str, data: object, kind: type[BodyT]
    ) -> Result[BodyT, ErrorBody]:
        event = ""
        text = ""
        async with self._http.stream("POST", url, json=data) as response:
            if not response.is_success:
                await response.aread()
                return _parse_response(response, kind)
            async for line in response.aiter_lines():
                if line.startswith(_EVENT_PREFIX):
                    event = line.removeprefix(_EVENT_PREFIX).strip()
                if not line.startswith(_DATA_PREFIX):
                    continue
                value = line.removeprefix(_DATA_PREFIX).strip()
                if event == "error":
                    return Failed(_ERROR_BODY.validate_json(value))
                if event == "done":
                    self._compare_stream_text(text, value)
                    return Success(kind.model_validate_json(value))
                part = str(json.loads(value)["text"])
                text = part if event == "restart" else text + part
        raise httpx.RemoteProtocolError("stream ended without a final event")

    def _compare_stream_text(self, text: str, done: str) -> None:
        if json.loads(done)["text"] != text:
            self._stats.mismatched_streams += 1


def _parse_response(
    response: httpx.Response, kind: type[BodyT]
) -> Result[BodyT, ErrorBody]:
    if response.is_success:
        return Success(kind.model_validate_json(response.content))
    return Failed(_ERROR_BODY.validate_json(response.content))
