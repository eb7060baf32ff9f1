"""The server side of HTTP/1.1: strict request parsing, response writing."""

import asyncio
import collections
import dataclasses
import enum
import re
import socket
from asyncio.trsock import TransportSocket
from collections.abc import Awaitable, Callable, Iterable
from typing import Any

import httptools

from masticdale_common import (
    Account,
    ConnectionBudget,
    ErrorKind,
    Failure,
    logs,
)
from masticdale_gateway.messages import (
    LAST_CHUNK,
    Header,
    Headers,
    Request,
    encode_chunk,
    encode_head,
)
from masticdale_gateway.transports import TransportProtocol

# Parsed requests queued on one connection before reading pauses. Callers send
# one at a time; two keep a pipelining caller busy.
_MAX_PIPELINED = 2
# Time in which a closing connection must flush its write buffer. A shorter one
# could drop the end of a response on its way to another failure domain.
_LINGER_S = 1.0
# What is read of a caller at once. Small chunks and short header lines take
# many times the processor time of large ones.
_READ_BYTES = 16_384
# Size of one write of a response. Of a larger one, the rest is written when the
# caller has taken it.
_WRITE_BYTES = 65_536
# Estimates of the memory of a connection, a request that is queued, one that is
# being served with its connection to a replica, and a header field.
_CONNECTION_BYTES = 10_000
_REQUEST_BYTES = 1_500
_SERVING_BYTES = 20_000
_FIELD_BYTES = 160
# A body, and the values of fields, are held as read and as sent to a replica.
_COPIES = 2
# Header fields of a refused request that are kept until it is answered.
_KEPT_FIELDS = 32
# What a replica has sent of a stream whose caller does not read.
_BLOCKED_STREAM_BYTES = 131_072
# The end of a value that holds a request line: the caller began another request
# inside this head, and the parser would join the two.
_REQUEST_LINE = re.compile(rb"[A-Z] \S+ HTTP/1\.[01]\Z")


@dataclasses.dataclass(frozen=True, slots=True)
class ReadLimits:
    """Limits on the requests of a caller.

    Attributes:
        header_bytes: Maximum size of request line and headers, and of what
            follows a part of the body without being body, such as trailers.
        body_bytes: Maximum size of a body.
        request_timeout_s: Maximum time from the first byte of a request to its
            last.
        idle_timeout_s: Maximum time between two requests.
    """

    header_bytes: int = 16_384
    body_bytes: int = 4 << 20
    request_timeout_s: float = 10.0
    idle_timeout_s: float = 60.0


class ConnectionState(enum.StrEnum):
    """How far a connection is with the request that it received last.

    Attributes:
        IDLE: Nothing is unanswered.
        READING: Part of a request was read.
        QUEUED: A request was read whole, and its task has not taken it up.
        SERVING: A response is awaited or being written.
        FLUSHING: The response is written, and the network has not taken all of
            it.
    """

    IDLE = "idle"
    READING = "reading"
    QUEUED = "queued"
    SERVING = "serving"
    FLUSHING = "flushing"


class _RejectedError(Exception):
    def __init__(self, failure: Failure) -> None:
        super().__init__(str(failure))
        self.failure = failure


class CallerConnection(TransportProtocol):
    """One caller's connection.

    The task that serves it is cancelled when the caller disconnects, so that
    replicas do not keep working on abandoned requests.

    Attributes:
        limits: Limits on the next request.
        read_limits: Returns the limits in force, which apply to each request
            that begins; None to keep those that are set.
        request: The request that is being served; None between two requests.
    """

    read_bytes = _READ_BYTES

    def __init__(
        self,
        serve: Callable[["CallerConnection"], Awaitable[None]],
        open_connections: set["CallerConnection"],
        budget: ConnectionBudget | None = None,
    ) -> None:
        """Initializes the protocol of a connection that is about to open.

        Args:
            serve: Serves the connection until it is closed.
            open_connections: Holds this one while it is open.
            budget: What it shares with other connections; None for a budget of
                its own.
        """
        super().__init__()
        self._budget = budget or ConnectionBudget()
        self._account: Account | None = None
        self._queued_bytes = 0
        self._served_bytes = 0
        # Of the response, what may wait for a caller that does not read.
        self._response_bytes = 0
        self._is_answered = False
        self.limits = ReadLimits()
        self.read_limits: Callable[[], ReadLimits] | None = None
        self.request: Request | None = None
        self._serve = serve
        self._open_connections = open_connections
        self._task: asyncio.Task[None] | None = None
        self._parser: Any = httptools.HttpRequestParser(self)
        self._requests: collections.deque[Request] = collections.deque()
        self._failure: Failure | None = None
        self._failure_of_unread: Failure | None = None
        self._arrived = asyncio.Event()
        self._message_began_at: float | None = None
        self._reset_message()

    @property
    def state(self) -> ConnectionState:
        """How far the connection is with its current request."""
        if self.request is not None and not self._is_answered:
            return ConnectionState.SERVING
        if self.request is not None or self.has_pending_writes:
            return ConnectionState.FLUSHING
        if self.transport.is_closing():
            return ConnectionState.IDLE
        if self._requests or self._failure is not None:
            return ConnectionState.QUEUED
        if self._message_began_at is not None:
            return ConnectionState.READING
        return ConnectionState.IDLE

    @property
    def has_unread_bytes(self) -> bool:
        """Whether the kernel holds bytes that were not read yet."""
        connected: TransportSocket | None = self.transport.get_extra_info(
            "socket"
        )
        if connected is None or self.transport.is_closing():
            return False
        with connected.dup() as duplicate:
            try:
                return bool(duplicate.recv(1, socket.MSG_PEEK))
            except OSError:
                return False

    @property
    def headers(self) -> Headers:
        """Headers of the current request, as far as they were read."""
        if self.request is not None:
            return self.request.headers
        return self._requests[0].headers if self._requests else self._headers

    def connection_made(self, transport: Any) -> None:
        """See ``asyncio.BaseProtocol``."""
        super().connection_made(transport)
        # Reports each time that the caller does not take what is written.
        transport.set_write_buffer_limits(high=0)
        self._account = self._budget.open(self)
        if self._account is None:
            transport.abort()
            return
        self._open_connections.add(self)
        self._report_held()
        self._task = asyncio.get_running_loop().create_task(self._run())

    def connection_lost(self, exc: Exception | None) -> None:
        """See ``asyncio.BaseProtocol``."""
        super().connection_lost(exc)
        self._open_connections.discard(self)
        self._close_account()
        if self._task is not None:
            self._task.cancel()
        # Task and parser refer to the connection. With what it holds, it would
        # stay in memory until the garbage collector finds them.
        self._task = None
        self._parser = None
        self._discard_unserved()

    def resume_writing(self) -> None:
        """See ``asyncio.BaseProtocol``."""
        super().resume_writing()
        self._report_held()

    def write(self, data: bytes) -> None:
        """See ``TransportProtocol.write``."""
        super().write(data)
        self._report_held()

    def eof_received(self) -> bool:
        """See ``asyncio.Protocol``; treats a half-close as a disconnect."""
        if self._task is not None:
            self._task.cancel()
        return False

    def data_received(self, data: bytes) -> None:
        """See ``TransportProtocol.data_received``."""
        if self._failure is not None or self._parser is None:
            return
        self._overhead_bytes += len(data)
        try:
            self._parser.feed_data(data)
            self._check_overhead()
        except httptools.HttpParserCallbackError as error:
            self._reject(_cause(error))
        except httptools.HttpParserUpgrade:
            self._reject(
                Failure(
                    ErrorKind.BAD_REQUEST, "protocol upgrades are not supported"
                )
            )
        except httptools.HttpParserError as error:
            self._reject(Failure(ErrorKind.BAD_REQUEST, str(error)))
        except _RejectedError as error:
            self._reject(error.failure)
        self._report_held()

    async def next_request(self) -> Request | Failure | None:
        """Waits for the next request.

        Returns:
            The request, a failure to send before closing, or None after the
            idle timeout. ``end_request`` must follow a request.
        """
        if self._requests:
            # Requests that need no waiting would be served one after the other
            # while all other connections wait.
            await asyncio.sleep(0)
        while not self._requests and self._failure is None:
            self._arrived.clear()
            try:
                async with asyncio.timeout_at(self._read_deadline()):
                    await self._arrived.wait()
            except TimeoutError:
                if self._requests or self._failure is not None:
                    break
                if self._message_began_at is None:
                    return None
                if asyncio.get_running_loop().time() >= self._read_deadline():
                    return Failure(
                        ErrorKind.REQUEST_TIMEOUT, "the request is incomplete"
                    )
        if not self._requests:
            return self._failure
        request = self._requests.popleft()
        if not self._begin_serving(request):
            self._requests.appendleft(request)
            return Failure(ErrorKind.HOST_BUSY)
        if (
            len(self._requests) < _MAX_PIPELINED
            and not self.transport.is_closing()
        ):
            self.transport.resume_reading()
        return request

    def end_request(self) -> None:
        """Records that the request is answered, or that it never will be."""
        self.request = None
        self._is_answered = False
        self._served_bytes = self._response_bytes = 0
        if self._account is not None:
            self._account.end_serving()
            self._account.touch()
        self._report_held()

    def hold_history(self, size: int) -> bool:
        """Records the size of what the request continues, in bytes.

        Returns:
            Whether the budget has room for it; if not, it must be refused.
        """
        self._served_bytes += _COPIES * size
        self._report_held()
        return self._account is not None and self._account.is_within_budget

    def hold_response(self, size: int, is_whole: bool) -> None:
        """Records the size of a response, or of what is buffered of a stream.

        It counts while the caller does not take what is written.

        Args:
            size: Size in bytes.
            is_whole: Whether the response only waits for the caller.
        """
        self._response_bytes = size
        self._is_answered = is_whole

    def give_up_unserved(self) -> None:
        """See ``masticdale_common.connection_budget.Holder``."""
        self._give_up("memory")

    def close_unserved(self) -> None:
        """See ``masticdale_common.connection_budget.Holder``."""
        self._give_up("descriptors")

    def reject_unread(self, failure: Failure) -> None:
        """Ends the request that is being read, or the next one, with a failure.

        A request that was read whole is not affected.
        """
        self._failure_of_unread = failure
        if self._message_began_at is not None:
            self._reject(failure)

    def on_message_begin(self) -> None:
        """Called by the parser."""
        self._message_began_at = asyncio.get_running_loop().time()
        # They may have changed while the connection was idle.
        if self.read_limits is not None:
            self.limits = self.read_limits()
        self._arrived.set()
        if self._failure_of_unread is not None:
            self._reject(self._failure_of_unread)

    def on_url(self, url: bytes) -> None:
        """Called by the parser."""
        self._target += url
        self._message_bytes += _COPIES * len(url)

    def on_header(self, name: bytes, value: bytes) -> None:
        """Called by the parser, also for the trailers of a chunked body."""
        if _REQUEST_LINE.search(value):
            raise _RejectedError(
                Failure(ErrorKind.BAD_REQUEST, "a request line inside a field")
            )
        # A trailer must not change what the headers said, such as the key.
        if not self._headers_done:
            self._headers.fields.append((name, value))
            size = len(name) + len(value)
            self._message_bytes += _FIELD_BYTES + _COPIES * size

    def on_headers_complete(self) -> None:
        """Called by the parser."""
        self._headers_done = True
        self._overhead_bytes = 0
        if len(self._target) + self._headers.size > self.limits.header_bytes:
            raise _RejectedError(Failure(ErrorKind.HEADERS_TOO_LARGE))
        # Prevents request smuggling: this host and a replica must agree on
        # the Host and on where the body ends.
        if self._headers.count(b"host") != 1:
            raise _RejectedError(
                Failure(
                    ErrorKind.BAD_REQUEST, "exactly one Host header is required"
                )
            )
        if self._headers.count(b"transfer-encoding") and (
            self._headers.count(b"content-length")
        ):
            raise _RejectedError(
                Failure(
                    ErrorKind.BAD_REQUEST,
                    "both Transfer-Encoding and Content-Length are present",
                )
            )
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
        self._overhead_bytes = 0
        # One buffer: parts of two bytes would take many times their size.
        self._body += body
        self._message_bytes += _COPIES * len(body)

    def on_message_complete(self) -> None:
        """Called by the parser."""
        began_at = self._message_began_at or 0.0
        held_bytes = _REQUEST_BYTES + self._message_bytes
        self._queued_bytes += held_bytes
        self._requests.append(
            Request(
                method=self._parser.get_method(),
                target=self._target,
                headers=self._headers,
                body=bytes(self._body),
                received_at=began_at,
                keeps_alive=self._parser.should_keep_alive(),
                held_bytes=held_bytes,
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
        # Bytes of the head, then those since the last part of the body.
        self._overhead_bytes = 0
        self._body = bytearray()
        self._body_bytes = 0
        # Estimate of the memory that the message takes.
        self._message_bytes = 0

    def _begin_serving(self, request: Request) -> bool:
        """Returns whether the budget has room to serve a request."""
        self._queued_bytes -= request.held_bytes
        self._served_bytes = request.held_bytes + _SERVING_BYTES
        self._report_held()
        if self._account is not None and self._account.begin_serving():
            return True
        self._served_bytes = 0
        self._report_held()
        return False

    def _report_held(self) -> None:
        """Tells the budget what the connection holds."""
        if self._account is None:
            return
        unread_bytes = self.transport.get_write_buffer_size()
        if not self.is_writable:
            unread_bytes += self._response_bytes
        held_bytes = (
            _CONNECTION_BYTES
            + self._served_bytes
            + self._message_bytes
            + self._overhead_bytes
            + self._queued_bytes
            + unread_bytes
        )
        unserved_bytes = held_bytes - self._served_bytes
        if self._served_bytes:
            unserved_bytes -= _CONNECTION_BYTES
        self._account.is_blocked = not self.is_writable
        self._account.update(held_bytes, unserved_bytes)

    def _give_up(self, resource: str) -> None:
        self._log_given_up(resource)
        is_unfinished = bool(self._requests) or (
            self._message_began_at is not None
        )
        headers = self.headers
        self._discard_unserved()
        self._message_began_at = None
        # The refusal names the request, but must not keep what was given up.
        self._headers.fields += headers.fields[:_KEPT_FIELDS]
        if not self.is_writable:
            self.abort()
        elif is_unfinished:
            self._reject(Failure(ErrorKind.HOST_BUSY))
            if self._served_bytes:
                # The response to the request before is still due.
                self._report_held()
                return
        else:
            self.close()
        # Its memory is free some turns of the event loop later. Others need not
        # give up theirs until then.
        self._close_account()

    def _close_account(self) -> None:
        if self._account is not None:
            self._account.close()
            self._account = None

    def _discard_unserved(self) -> None:
        self._requests.clear()
        self._queued_bytes = 0
        self._reset_message()

    def _log_given_up(self, resource: str) -> None:
        logs.write_bounded(
            "caller_given_up",
            resource=resource,
            state=self.state,
            held_bytes=self._account.held_bytes if self._account else 0,
            held_bytes_of_all=self._budget.held_bytes,
            connections=self._budget.connections,
            serving=self._budget.serving,
        )

    def _check_overhead(self) -> None:
        # Bounds heads, chunk extensions and trailers that never end: the parser
        # keeps what it has read of them.
        if self._overhead_bytes > self.limits.header_bytes:
            raise _RejectedError(Failure(ErrorKind.HEADERS_TOO_LARGE))

    def _reject(self, failure: Failure) -> None:
        self._failure = failure
        self._arrived.set()

    def _read_deadline(self) -> float:
        if self._message_began_at is not None:
            return self._message_began_at + self.limits.request_timeout_s
        now = asyncio.get_running_loop().time()
        return now + self.limits.idle_timeout_s


class ResponseWriter:
    """Writes the response to one request.

    Attributes:
        keeps_alive: Whether the connection may stay open after the response;
            may be cleared until the head is written.
        status: The status that was written; 0 before that.
        is_finished: Whether the response is complete.
    """

    def __init__(self, connection: CallerConnection, keeps_alive: bool) -> None:
        self.keeps_alive = keeps_alive
        self.status = 0
        self.is_finished = False
        self._connection = connection

    def hold_history(self, size: int) -> bool:
        """See ``CallerConnection.hold_history``."""
        return self._connection.hold_history(size)

    async def send(
        self, status: int, headers: Iterable[Header], body: bytes
    ) -> None:
        """Writes a complete response.

        Waits while the caller reads slowly, but for the end of a response.
        """
        head = encode_head(status, headers, len(body), self.keeps_alive)
        self.status = status
        self._connection.hold_response(len(body), is_whole=True)
        self._connection.write(head + body[:_WRITE_BYTES])
        for start in range(_WRITE_BYTES, len(body), _WRITE_BYTES):
            await self._connection.drain()
            self._connection.write(body[start : start + _WRITE_BYTES])
        self.is_finished = True

    def start(self, status: int, headers: Iterable[Header]) -> None:
        """Writes the head of a chunked response."""
        self._connection.hold_response(_BLOCKED_STREAM_BYTES, is_whole=False)
        self._connection.write(
            encode_head(status, headers, None, self.keeps_alive)
        )
        self.status = status

    async def send_chunk(self, data: bytes) -> None:
        """Writes a chunk of the body; waits while the caller reads slowly."""
        self._connection.write(encode_chunk(data))
        await self._connection.drain()

    def finish(self) -> None:
        """Ends a chunked response."""
        self._connection.write(LAST_CHUNK)
        self.is_finished = True

    def abort(self) -> None:
        """Drops the connection, so that the response can't look complete."""
        self._connection.abort()


async def close_gracefully(connection: CallerConnection) -> None:
    """Closes the connection after its write buffer is flushed, or times out.

    Closing while the caller still sends resets the connection, and a reset
    can overtake the response that was just written.
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
