"""Connections of callers: requests read strictly, responses written."""

import asyncio
import collections
import dataclasses
from collections.abc import Awaitable, Callable, Iterable
from typing import Any

import httptools

from masticdale_common import ErrorKind, Failure
from masticdale_gateway.messages import (
    LAST_CHUNK,
    Header,
    Headers,
    Request,
    encode_chunk,
    encode_head,
)
from masticdale_gateway.transports import TransportProtocol

# Requests read ahead on one connection before reading pauses. Callers send
# one at a time; two keep a pipelining one busy.
_MAX_PIPELINED = 2
# How long a closing connection may take to send what is written, in seconds:
# longer than any round trip between failure domains.
_LINGER_S = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class ReadLimits:
    """What a caller may send.

    Attributes:
        header_bytes: Bytes of request line and headers.
        body_bytes: Bytes of a body.
        header_timeout_s: From the first byte of a request to its end.
        idle_timeout_s: Between two requests.
    """

    header_bytes: int = 16_384
    body_bytes: int = 4 << 20
    header_timeout_s: float = 10.0
    idle_timeout_s: float = 60.0


class _RejectedError(Exception):
    def __init__(self, failure: Failure) -> None:
        super().__init__(str(failure))
        self.failure = failure


class CallerConnection(TransportProtocol):
    """One caller's connection.

    The task that serves it is cancelled when the caller goes, so that a
    replica stops working for nobody.
    """

    def __init__(
        self, serve: Callable[["CallerConnection"], Awaitable[None]]
    ) -> None:
        super().__init__()
        self.limits = ReadLimits()
        self.is_busy = False
        self._serve = serve
        self._task: asyncio.Task[None] | None = None
        self._parser = httptools.HttpRequestParser(self)
        self._requests: collections.deque[Request] = collections.deque()
        self._failure: Failure | None = None
        self._arrived = asyncio.Event()
        self._message_began_at: float | None = None
        self._reset_message()

    def connection_made(self, transport: Any) -> None:
        """See ``asyncio.Protocol``."""
        super().connection_made(transport)
        self._task = asyncio.get_running_loop().create_task(self._run())

    def connection_lost(self, exc: Exception | None) -> None:
        """See ``asyncio.Protocol``."""
        super().connection_lost(exc)
        if self._task is not None:
            self._task.cancel()

    def eof_received(self) -> bool:
        """See ``asyncio.Protocol``: a caller that half-closes has left."""
        if self._task is not None:
            self._task.cancel()
        return False

    def data_received(self, data: bytes) -> None:
        """See ``asyncio.Protocol``."""
        if self._failure is not None:
            return
        if not self._headers_done:
            self._head_bytes += len(data)
        try:
            self._parser.feed_data(data)
            self._check_head_size()
        except httptools.HttpParserCallbackError as error:
            self._reject(_cause(error))
        except httptools.HttpParserUpgrade:
            self._reject(Failure(ErrorKind.BAD_REQUEST, "upgrade"))
        except httptools.HttpParserError as error:
            self._reject(Failure(ErrorKind.BAD_REQUEST, str(error)))
        except _RejectedError as error:
            self._reject(error.failure)

    async def next_request(self) -> Request | Failure | None:
        """Waits for a request.

        Returns:
            The request; the failure to answer before closing; or None when
            the connection has been idle for too long.
        """
        while not self._requests and self._failure is None:
            self._arrived.clear()
            try:
                async with asyncio.timeout_at(self._read_deadline()):
                    await self._arrived.wait()
            except TimeoutError:
                if self._message_began_at is None:
                    return None
                if asyncio.get_running_loop().time() >= self._read_deadline():
                    return Failure(
                        ErrorKind.REQUEST_TIMEOUT, "the request is incomplete"
                    )
        if not self._requests:
            return self._failure
        request = self._requests.popleft()
        if (
            len(self._requests) < _MAX_PIPELINED
            and not self.transport.is_closing()
        ):
            self.transport.resume_reading()
        return request

    def on_message_begin(self) -> None:
        """Called by the parser."""
        self._message_began_at = asyncio.get_running_loop().time()
        self._arrived.set()

    def on_url(self, url: bytes) -> None:
        """Called by the parser."""
        self._target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Called by the parser."""
        self._headers.fields.append((name, value))

    def on_headers_complete(self) -> None:
        """Called by the parser."""
        self._headers_done = True
        parsed = len(self._target) + sum(
            len(name) + len(value) + 4 for name, value in self._headers.fields
        )
        if parsed > self.limits.header_bytes:
            raise _RejectedError(Failure(ErrorKind.HEADERS_TOO_LARGE))
        # Two ends that disagree on the host or on the body's end would let
        # one caller place a request inside another's.
        if self._headers.count(b"host") != 1:
            raise _RejectedError(Failure(ErrorKind.BAD_REQUEST, "host"))
        if self._headers.count(b"transfer-encoding") and (
            self._headers.count(b"content-length")
        ):
            raise _RejectedError(Failure(ErrorKind.BAD_REQUEST, "framing"))
        length = self._headers.get(b"content-length") or b"0"
        if int(length) > self.limits.body_bytes:
            raise _RejectedError(Failure(ErrorKind.TOO_LARGE))
        if (self._headers.get(b"expect") or b"").lower() == b"100-continue":
            self.transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def on_body(self, body: bytes) -> None:
        """Called by the parser."""
        self._body_bytes += len(body)
        if self._body_bytes > self.limits.body_bytes:
            raise _RejectedError(Failure(ErrorKind.TOO_LARGE))
        self._body.append(body)

    def on_message_complete(self) -> None:
        """Called by the parser."""
        began_at = self._message_began_at or 0.0
        self._requests.append(
            Request(
                method=self._parser.get_method(),
                target=self._target,
                headers=self._headers,
                body=b"".join(self._body),
                received_at=began_at,
                keeps_alive=self._parser.should_keep_alive(),
            )
        )
        self._message_began_at = None
        self._reset_message()
        self._arrived.set()
        if len(self._requests) >= _MAX_PIPELINED:
            self.transport.pause_reading()

    async def _run(self) -> None:
        try:
            await self._serve(self)
        except Exception:
            self.abort()
            raise
        finally:
            self.close()

    def _reset_message(self) -> None:
        self._target = b""
        self._headers = Headers()
        self._headers_done = False
        self._head_bytes = 0
        self._body: list[bytes] = []
        self._body_bytes = 0

    def _check_head_size(self) -> None:
        # A head without end would otherwise be kept whole in memory.
        if not self._headers_done and (
            self._head_bytes > self.limits.header_bytes
        ):
            raise _RejectedError(Failure(ErrorKind.HEADERS_TOO_LARGE))

    def _reject(self, failure: Failure) -> None:
        self._failure = failure
        self._arrived.set()

    def _read_deadline(self) -> float:
        if self._message_began_at is not None:
            return self._message_began_at + self.limits.header_timeout_s
        now = asyncio.get_running_loop().time()
        return now + self.limits.idle_timeout_s


class ResponseWriter:
    """Writes the response to one request.

    Attributes:
        keeps_alive: Whether the connection may stay open after it; may be
            cleared until the head is written.
        status: The status written; 0 before.
        is_finished: Whether the response is complete.
    """

    def __init__(self, connection: CallerConnection, keeps_alive: bool) -> None:
        self.keeps_alive = keeps_alive
        self.status = 0
        self.is_finished = False
        self._connection = connection

    def send(self, status: int, headers: Iterable[Header], body: bytes) -> None:
        """Writes a whole response."""
        head = encode_head(status, headers, len(body), self.keeps_alive)
        self._connection.write(head + body)
        self.status = status
        self.is_finished = True

    def start(self, status: int, headers: Iterable[Header]) -> None:
        """Writes the head of a response in chunks."""
        self._connection.write(
            encode_head(status, headers, None, self.keeps_alive)
        )
        self.status = status

    async def send_chunk(self, data: bytes) -> None:
        """Writes a part of the body and waits for a slow caller."""
        self._connection.write(encode_chunk(data))
        await self._connection.drain()

    def finish(self) -> None:
        """Ends a response in chunks."""
        self._connection.write(LAST_CHUNK)
        self.is_finished = True

    def abort(self) -> None:
        """Breaks the response off so that it can't look complete."""
        self._connection.abort()


async def close_gracefully(connection: CallerConnection) -> None:
    """Closes once the written bytes have gone out, within a bound.

    Closing while the caller still sends resets the connection, and a reset
    can overtake the answer that was just written.
    """
    connection.close()
    try:
        async with asyncio.timeout(_LINGER_S):
            await connection.lost.wait()
    except TimeoutError:
        connection.abort()


def _cause(error: Exception) -> Failure:
    cause = error.__cause__ or error.__context__
    if isinstance(cause, _RejectedError):
        return cause.failure
    return Failure(ErrorKind.BAD_REQUEST, repr(cause))
