"""A ``PlainService`` over HTTP; ``wire`` lists the messages."""

import dataclasses
import urllib.parse

import httpx
import pydantic
from returns.result import Failure as Failed
from returns.result import Result, Success

from masticdale_common import ErrorKind, Failure, Metrics
from masticdale_upstreams import wire
from masticdale_upstreams.connections import (
    NEVER_SENT,
    Connections,
    create_connections,
)
from masticdale_upstreams.types import Health, ServiceReply, ServiceRequest

_INVALID_CALL_STATUSES = frozenset(
    {httpx.codes.BAD_REQUEST, httpx.codes.UNPROCESSABLE_ENTITY}
)


@dataclasses.dataclass(frozen=True, slots=True)
class ServiceOptions:
    """How to talk to one replica.

    Attributes:
        base_url: Scheme, IP number and port.
        call_timeout_s: Longest wait for the answer of a lookup.
    """

    base_url: str
    call_timeout_s: float = 5.0


class ServiceClient:
    """One replica of a plain service, over HTTP."""

    def __init__(
        self,
        options: ServiceOptions,
        connections: Connections,
        metrics: Metrics,
    ) -> None:
        self._options = options
        self._connections = connections
        self._metrics = metrics

    async def close(self) -> None:
        """Closes all connections."""
        await self._connections.close()

    async def call(
        self, request: ServiceRequest
    ) -> Result[ServiceReply, Failure]:
        """See ``PlainService.call``."""
        # Neither httpx nor this code sends again: the call may be one that
        # must not run twice, and after the first byte nobody here can tell
        # whether it ran.
        try:
            response = await self._connections.send(
                "POST",
                f"/v1/operations/{_quote(request.operation)}",
                request.timeout_s,
                headers={
                    wire.IDEMPOTENCY_KEY_HEADER: request.key,
                    wire.FENCING_HEADER: str(request.fencing),
                },
                content=wire.OperationBody(
                    payload=request.payload
                ).model_dump_json(),
            )
        except NEVER_SENT as error:
            return Failed(Failure(ErrorKind.NO_UPSTREAM, repr(error)))
        except (httpx.HTTPError, TimeoutError) as error:
            return Failed(Failure(ErrorKind.OUTCOME_UNKNOWN, repr(error)))
        if response.is_success:
            return self._match(response, request.key).lash(
                lambda failure: Failed(
                    Failure(ErrorKind.OUTCOME_UNKNOWN, failure.detail)
                )
            )
        return Failed(_refusal(response))

    async def lookup(self, key: str) -> Result[ServiceReply | None, Failure]:
        """See ``PlainService.lookup``."""
        outcome = await self._get(f"/v1/operations/by-key/{_quote(key)}")
        if isinstance(outcome, Failed):
            return outcome
        response = outcome.unwrap()
        if response.status_code == httpx.codes.NOT_FOUND:
            return self._match_unknown(response, key)
        if response.is_success:
            return self._match(response, key)
        return Failed(_failed_status(response))

    async def health(self) -> Result[Health, Failure]:
        """See ``PlainService.health``."""
        outcome = await self._get("/v1/health")
        if isinstance(outcome, Failed):
            return outcome
        response = outcome.unwrap()
        if not response.is_success:
            return Failed(_failed_status(response))
        try:
            body = wire.HealthBody.model_validate_json(response.content)
        except pydantic.ValidationError:
            return Failed(_malformed(response))
        return Success(Health(body.incarnation, body.leaving))

    def _match(
        self, response: httpx.Response, key: str
    ) -> Result[ServiceReply, Failure]:
        try:
            body = wire.OutcomeBody.model_validate_json(response.content)
        except pydantic.ValidationError:
            return Failed(_malformed(response))
        if body.key != key:
            return Failed(self._crossed())
        return Success(ServiceReply(body.key, body.result))

    def _match_unknown(
        self, response: httpx.Response, key: str
    ) -> Result[ServiceReply | None, Failure]:
        # A 404 also comes from anything on the way that doesn't know the
        # path. Taken for the service's word it would let a call that ran be
        # answered as not run, so the service must repeat the key.
        try:
            body = wire.UnknownKeyBody.model_validate_json(response.content)
        except pydantic.ValidationError:
            return Failed(_malformed(response))
        if body.key != key:
            return Failed(self._crossed())
        return Success(None)

    def _crossed(self) -> Failure:
        self._metrics.count("service_answers_crossed_total")
        return Failure(ErrorKind.UPSTREAM_FAILED, "another call's answer")

    async def _get(self, path: str) -> Result[httpx.Response, Failure]:
        try:
            return Success(
                await self._connections.send(
                    "GET", path, self._options.call_timeout_s
                )
            )
        except NEVER_SENT as error:
            return Failed(Failure(ErrorKind.NO_UPSTREAM, repr(error)))
        except (httpx.HTTPError, TimeoutError) as error:
            return Failed(Failure(ErrorKind.UPSTREAM_FAILED, repr(error)))


def _quote(part: str) -> str:
    return urllib.parse.quote(part, safe="")


def _refusal(response: httpx.Response) -> Failure:
    detail = f"status {response.status_code}"
    not_run = response.headers.get(wire.NOT_RUN_HEADER) == wire.NOT_RUN_VALUE
    is_unavailable = response.status_code == httpx.codes.SERVICE_UNAVAILABLE
    if is_unavailable and not_run:
        return Failure(ErrorKind.NO_UPSTREAM, detail)
    if response.status_code in _INVALID_CALL_STATUSES:
        return Failure(ErrorKind.BAD_REQUEST, detail)
    return Failure(ErrorKind.OUTCOME_UNKNOWN, detail)


def _failed_status(response: httpx.Response) -> Failure:
    detail = f"status {response.status_code}"
    return Failure(ErrorKind.UPSTREAM_FAILED, detail)


def _malformed(response: httpx.Response) -> Failure:
    detail = f"malformed answer with status {response.status_code}"
    return Failure(ErrorKind.UPSTREAM_FAILED, detail)


def create_service_client(
    options: ServiceOptions, metrics: Metrics
) -> ServiceClient:
    """Returns a client of one replica.

    Args:
        options: How to talk to it.
        metrics: Counts crossed answers.
    """
    connections = create_connections(options.base_url, options.call_timeout_s)
    return ServiceClient(options, connections, metrics)
