"""A ``ModelEngine`` over HTTP; ``wire`` defines the messages."""

import asyncio
import dataclasses
import urllib.parse
from collections.abc import AsyncIterator, Callable
from typing import Any, TypeVar

import httpx
import pydantic
from returns.result import Failure as Failed
from returns.result import Result, Success

from masticdale_common import ErrorKind, Failure, Metrics, hashing
from masticdale_upstreams import wire
from masticdale_upstreams.connections import (
    NOT_SENT_ERRORS,
    Connections,
    create_connections,
)
from masticdale_upstreams.types import (
    CachedProgram,
    CacheEvent,
    CacheEvents,
    Chunk,
    Completion,
    GenerateRequest,
    Health,
    LoadReport,
    Order,
)

_MAX_LINE_BYTES = 1_000_000
_EVENTS_GRACE_S = 2.0
_STREAM_LINE_ADAPTER: pydantic.TypeAdapter[wire.StreamLine] = (
    pydantic.TypeAdapter(wire.StreamLine)
)
_KIND_BY_STATUS: dict[int, ErrorKind] = {
    httpx.codes.BAD_REQUEST: ErrorKind.BAD_REQUEST,
    httpx.codes.UNPROCESSABLE_ENTITY: ErrorKind.BAD_REQUEST,
    httpx.codes.REQUEST_ENTITY_TOO_LARGE: ErrorKind.TOO_LARGE,
    httpx.codes.NOT_FOUND: ErrorKind.NOT_FOUND,
    httpx.codes.CONFLICT: ErrorKind.CONFLICT,
    httpx.codes.TOO_MANY_REQUESTS: ErrorKind.OVERLOADED,
    httpx.codes.SERVICE_UNAVAILABLE: ErrorKind.OVERLOADED,
}

BodyT = TypeVar("BodyT", bound=wire.WireModel)
GenerateResult = Result[Completion, Failure]


@dataclasses.dataclass(frozen=True, slots=True)
class EngineOptions:
    """Address and limits of one replica.

    Attributes:
        base_url: Scheme, IP address and port.
        call_timeout_s: Longest wait for the response to a call that does not
            stream.
        progress_timeout_s: Longest time without a line on a stream; must
            exceed the engine's interval between keep-alive lines.
        max_resumes: Most new connections to resume the stream of one call.
    """

    base_url: str
    call_timeout_s: float = 5.0
    progress_timeout_s: float = 3.0
    max_resumes: int = 5


class _StreamBrokenError(Exception):
    """The stream ended or failed before its end marker."""


class _StreamAssembler:
    """Assembles the generated text of one call from its stream lines."""

    def __init__(
        self, request_id: str, on_chunk: Callable[[Chunk], None]
    ) -> None:
        self.request_id = request_id
        self.length = 0
        self._on_chunk = on_chunk
        self._texts: list[str] = []

    def append(self, line: wire.TextLine) -> None:
        """Adds the text of a line and passes it to the caller."""
        if line.offset != self.length:
            raise _StreamBrokenError("offset is not contiguous")
        if not line.text:
            return
        self._texts.append(line.text)
        self.length += len(line.text)
        self._on_chunk(Chunk(line.offset, line.text))

    def finish(self, line: wire.EndLine) -> GenerateResult:
        """Checks the text against the end marker."""
        if line.length > self.length:
            raise _StreamBrokenError("text is missing before the end marker")
        text = "".join(self._texts)
        if line.length < self.length or line.digest != hashing.digest(text):
            # The caller already has the text, so a resume cannot correct it.
            detail = "the text does not match the end marker's length or digest"
            return Failed(Failure(ErrorKind.UPSTREAM_FAILED, detail))
        return Success(
            Completion(
                text,
                line.prompt_tokens,
                line.cached_tokens,
                line.generated_tokens,
            )
        )


class EngineClient:
    """One replica of a model, over HTTP."""

    def __init__(
        self, options: EngineOptions, connections: Connections, metrics: Metrics
    ) -> None:
        self._options = options
        self._connections = connections
        self._metrics = metrics
        self._cancellations: set[asyncio.Task[Any]] = set()

    async def close(self) -> None:
        """Waits for pending cancellations and closes all connections."""
        await asyncio.gather(*self._cancellations, return_exceptions=True)
        await self._connections.close()

    async def generate(
        self, request: GenerateRequest, on_chunk: Callable[[Chunk], None]
    ) -> GenerateResult:
        """See ``ModelEngine.generate``."""
        assembler = _StreamAssembler(request.request_id, on_chunk)
        try:
            async with asyncio.timeout(request.deadline_s):
                return await self._generate(request, assembler)
        except TimeoutError:
            self._cancel_in_background(request.request_id)
            return Failed(Failure(ErrorKind.DEADLINE_EXCEEDED))
        except asyncio.CancelledError:
            self._cancel_in_background(request.request_id)
            raise

    async def cancel(self, request_id: str) -> Result[None, Failure]:
        """See ``ModelEngine.cancel``."""
        return await self._send_command(
            "DELETE", f"/v1/streams/{_quote(request_id)}"
        )

    async def release(self, program_id: str) -> Result[None, Failure]:
        """See ``ModelEngine.release``."""
        path = f"/v1/cache/programs/{_quote(program_id)}"
        return await self._send_command("DELETE", path)

    async def cached_programs(
        self,
    ) -> Result[tuple[CachedProgram, ...], Failure]:
        """See ``ModelEngine.cached_programs``."""
        outcome = await self._fetch(
            wire.CachedProgramsBody, "GET", "/v1/cache/programs"
        )
        return outcome.map(
            lambda body: tuple(
                CachedProgram(p.program_id, p.tokens) for p in body.programs
            )
        )

    async def load_report(self) -> Result[LoadReport, Failure]:
        """See ``ModelEngine.load_report``."""
        outcome = await self._fetch(wire.LoadBody, "GET", "/v1/load")
        return outcome.map(
            lambda body: LoadReport(
                body.running,
                body.waiting,
                body.cached_tokens,
                body.cache_capacity,
                body.age_ms,
            )
        )

    async def health(self) -> Result[Health, Failure]:
        """See ``ModelEngine.health``."""
        outcome = await self._fetch(wire.HealthBody, "GET", "/v1/health")
        return outcome.map(lambda body: Health(body.incarnation, body.leaving))

    async def cache_events(
        self, position: int, wait_s: float
    ) -> Result[CacheEvents, Failure]:
        """See ``ModelEngine.cache_events``."""
        outcome = await self._fetch(
            wire.CacheEventsBody,
            "GET",
            "/v1/cache/events",
            timeout_s=wait_s + _EVENTS_GRACE_S,
            params={"position": position, "wait_ms": int(wait_s * 1000)},
        )
        return outcome.map(_to_events)

    async def export_cache(
        self, program_id: str, branch_id: str
    ) -> Result[str, Failure]:
        """See ``ModelEngine.export_cache``."""
        body = wire.ExportBody(program_id=program_id, branch_id=branch_id)
        outcome = await self._fetch(
            wire.ExportedBody,
            "POST",
            "/v1/cache/export",
            content=body.model_dump_json(),
        )
        return outcome.map(lambda exported: exported.handle)

    async def import_cache(self, handle: str) -> Result[int, Failure]:
        """See ``ModelEngine.import_cache``."""
        outcome = await self._fetch(
            wire.ImportedBody,
            "POST",
            "/v1/cache/import",
            content=wire.ImportBody(handle=handle).model_dump_json(),
        )
        return outcome.map(lambda imported: imported.tokens)

    async def order(self, order: Order) -> Result[None, Failure]:
        """See ``ModelEngine.order``."""
        body = wire.OrderBody(
            kind=order.kind, argument=order.argument, fencing=order.fencing
        )
        return await self._send_command(
            "POST", "/v1/orders", content=body.model_dump_json()
        )

    async def _generate(
        self, request: GenerateRequest, assembler: _StreamAssembler
    ) -> GenerateResult:
        body = wire.GenerateBody(
            request_id=request.request_id,
            program_id=request.program_id,
            branch_id=request.branch_id,
            prompt=request.prompt,
            max_tokens=request.max_tokens,
            deadline_ms=max(1, int(request.deadline_s * 1000)),
            fencing=request.fencing,
        )
        try:
            return await self._stream(
                assembler,
                "POST",
                "/v1/generate",
                content=body.model_dump_json(),
            )
        except NOT_SENT_ERRORS as error:
            return Failed(Failure(ErrorKind.NO_UPSTREAM, repr(error)))
        except _StreamBrokenError as error:
            reason = str(error)
        for _ in range(self._options.max_resumes):
            self._metrics.count("engine_stream_resumes_total")
            try:
                return await self._resume(assembler)
            except _StreamBrokenError as error:
                reason = str(error)
        self._cancel_in_background(assembler.request_id)
        return Failed(Failure(ErrorKind.UPSTREAM_FAILED, reason))

    async def _resume(self, assembler: _StreamAssembler) -> GenerateResult:
        path = f"/v1/streams/{_quote(assembler.request_id)}"
        try:
            outcome = await self._stream(
                assembler, "GET", path, params={"offset": assembler.length}
            )
        except NOT_SENT_ERRORS as error:
            return Failed(Failure(ErrorKind.UPSTREAM_FAILED, repr(error)))
        # The call was sent already, so a refusal of the resume does not mean
        # that it was not executed.
        return outcome.lash(
            lambda failure: Failed(
                Failure(ErrorKind.UPSTREAM_FAILED, failure.detail)
            )
        )

    async def _stream(
        self,
        assembler: _StreamAssembler,
        method: str,
        path: str,
        **options: Any,
    ) -> GenerateResult:
        """Sends one request and reads stream lines from its response.

        Raises:
            _StreamBrokenError: The rest must be read by another request.
        """
        async with self._connections.acquire() as http:
            try:
                # httpx does not reuse a connection whose body was not read to
                # its end, so the connection of a broken stream is closed.
                async with http.stream(
                    method,
                    path,
                    timeout=self._options.progress_timeout_s,
                    **options,
                ) as response:
                    if response.status_code != httpx.codes.OK:
                        return Failed(_refusal_failure(response))
                    return await self._read_lines(response, assembler)
            except NOT_SENT_ERRORS:
                raise
            except (httpx.TimeoutException, TimeoutError) as error:
                self._metrics.count("engine_streams_silent_total")
                self._connections.retire_pool(http)
                raise _StreamBrokenError("no line arrived in time") from error
            except httpx.HTTPError as error:
                raise _StreamBrokenError(repr(error)) from error

    async def _read_lines(
        self, response: httpx.Response, assembler: _StreamAssembler
    ) -> GenerateResult:
        lines = _split_lines(response)
        while True:
            # httpx's timeout bounds each read: a peer that sends single bytes
            # of an endless line would keep the call open without progress.
            async with asyncio.timeout(self._options.progress_timeout_s):
                raw = await anext(lines, None)
            if raw is None:
                raise _StreamBrokenError("the end marker is missing")
            try:
                line = _STREAM_LINE_ADAPTER.validate_json(raw)
            except pydantic.ValidationError as error:
                self._metrics.count("engine_lines_malformed_total")
                raise _StreamBrokenError("a line is malformed") from error
            if line.request_id != assembler.request_id:
                # An engine that mixes up its streams would give one caller the
                # text of another. Later lines of this connection are not
                # trusted either; the resume requests the text by its id.
                self._metrics.count("engine_lines_crossed_total")
                raise _StreamBrokenError("a line belongs to another request")
            if isinstance(line, wire.EndLine):
                return assembler.finish(line)
            assembler.append(line)

    def _cancel_in_background(self, request_id: str) -> None:
        task = asyncio.create_task(self.cancel(request_id))
        self._cancellations.add(task)
        task.add_done_callback(self._cancellations.discard)

    async def _send_command(
        self, method: str, path: str, **options: Any
    ) -> Result[None, Failure]:
        return (await self._send(method, path, **options)).map(lambda _: None)

    async def _fetch(
        self, body_type: type[BodyT], method: str, path: str, **options: Any
    ) -> Result[BodyT, Failure]:
        outcome = await self._send(method, path, **options)
        if isinstance(outcome, Failed):
            return outcome
        try:
            return Success(
                body_type.model_validate_json(outcome.unwrap().content)
            )
        except pydantic.ValidationError as error:
            detail = f"{path}: {error.error_count()} malformed fields"
            return Failed(Failure(ErrorKind.UPSTREAM_FAILED, detail))

    async def _send(
        self, method: str, path: str, timeout_s: float = 0, **options: Any
    ) -> Result[httpx.Response, Failure]:
        limit_s = timeout_s or self._options.call_timeout_s
        try:
            response = await self._connections.send(
                method, path, limit_s, **options
            )
        except NOT_SENT_ERRORS as error:
            return Failed(Failure(ErrorKind.NO_UPSTREAM, repr(error)))
        except (httpx.HTTPError, TimeoutError) as error:
            return Failed(Failure(ErrorKind.UPSTREAM_FAILED, repr(error)))
        if response.is_success:
            return Success(response)
        return Failed(_refusal_failure(response))


async def _split_lines(response: httpx.Response) -> AsyncIterator[bytes]:
    # httpx's own line reader also splits at Unicode line separators, which
    # JSON strings may contain unescaped.
    remainder = b""
    async for data in response.aiter_raw():
        *lines, remainder = (remainder + data).split(b"\n")
        if len(remainder) > _MAX_LINE_BYTES:
            raise _StreamBrokenError("a line exceeds the size limit")
        for line in lines:
            yield line


def _quote(part: str) -> str:
    return urllib.parse.quote(part, safe="")


def _refusal_failure(response: httpx.Response) -> Failure:
    detail = f"{response.url.path}: status {response.status_code}"
    if response.headers.get(wire.NOT_RUN_HEADER) == wire.NOT_RUN_VALUE:
        return Failure(ErrorKind.NO_UPSTREAM, detail)
    kind = _KIND_BY_STATUS.get(response.status_code, ErrorKind.UPSTREAM_FAILED)
    return Failure(kind, detail)


def _to_events(body: wire.CacheEventsBody) -> CacheEvents:
    events = tuple(
        CacheEvent(e.kind, e.program_id, e.branch_id, e.tokens)
        for e in body.events
    )
    return CacheEvents(body.position, events, body.gap)


def create_engine_client(
    options: EngineOptions, metrics: Metrics
) -> EngineClient:
    """Returns a client of one replica.

    Args:
        options: Its address and limits.
        metrics: Counts resumes, stalled streams and lines of other requests.
    """
    connections = create_connections(options.base_url, options.call_timeout_s)
    return EngineClient(options, connections, metrics)
