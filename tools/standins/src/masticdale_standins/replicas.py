"""A fake of the platform's replicas, with faults."""

import asyncio
import dataclasses
import enum
import itertools
import random

from masticdale_standins.raw_http import (
    RawConnection,
    RawRequest,
    RawServer,
    encode_response,
)

_REPLICA_NUMBERS = itertools.count(1)


class ReplicaFault(enum.Enum):
    """Fault that a replica applies to a request.

    Attributes:
        NONE: No fault.
        OVERLOADED: Refuses with 503 without executing.
        OVERLOADED_TRUNCATED: Refuses likewise, with an incomplete body.
        UNRESPONSIVE: Never responds.
        RESET: Resets the connection.
        UNSIGNED: Omits the seal.
        ENCODED: Declares a content encoding.
        WRONG_REQUEST: Sends the response of another request first.
        EXTRA_RESPONSE: Sends another response afterwards.
        CLOSE_DELIMITED: Ends the body by closing the connection.
        CLOSE_DELIMITED_RESET: Resets the connection after such a body.
        TRUNCATED: Closes or resets the connection within the body.
        MALFORMED: Sends bytes that are not HTTP.
        SERVER_ERROR: Responds with 500.
        FATAL: Ends the replica: before a unary response, within a stream.
        ENDLESS_VALUE: Sends a header value without end.
        ENDLESS_FIELDS: Sends header fields without end.
        ENDLESS_INTERIM: Sends interim responses without end.
        ENDLESS_LATE: Sends responses to another request without end.
        ENDLESS_BODY: Sends a body without length and without end.
        ENDLESS_CHUNKS: Sends a chunked body without end.
        ENDLESS_EXTENSION: Sends a chunk extension without end.
        ENDLESS_TRAILERS: Sends trailers without end.
    """

    NONE = enum.auto()
    OVERLOADED = enum.auto()
    OVERLOADED_TRUNCATED = enum.auto()
    UNRESPONSIVE = enum.auto()
    RESET = enum.auto()
    UNSIGNED = enum.auto()
    ENCODED = enum.auto()
    WRONG_REQUEST = enum.auto()
    EXTRA_RESPONSE = enum.auto()
    CLOSE_DELIMITED = enum.auto()
    CLOSE_DELIMITED_RESET = enum.auto()
    TRUNCATED = enum.auto()
    MALFORMED = enum.auto()
    SERVER_ERROR = enum.auto()
    FATAL = enum.auto()
    ENDLESS_VALUE = enum.auto()
    ENDLESS_FIELDS = enum.auto()
    ENDLESS_INTERIM = enum.auto()
    ENDLESS_LATE = enum.auto()
    ENDLESS_BODY = enum.auto()
    ENDLESS_CHUNKS = enum.auto()
    ENDLESS_EXTENSION = enum.auto()
    ENDLESS_TRAILERS = enum.auto()


_HEAD_END = b"\r\n\r\n"
_CHUNKED = b"Transfer-Encoding: chunked\r\n\r\n"
_OTHER_HEAD = b"HTTP/1.1 200 OK\r\nRequest-Id: another\r\n"
REFUSAL = encode_response(503, {"Not-Executed": "1"}, b"full")
INTERIM = b"HTTP/1.1 102 Processing\r\nNote: running\r\n\r\n"
# What an endless response sends after its usual header fields: the beginning,
# and the bytes that are then repeated.
_ENDLESS_PARTS: dict[ReplicaFault, tuple[bytes, bytes]] = {
    ReplicaFault.ENDLESS_VALUE: (b"Note: ", b"x" * 100),
    ReplicaFault.ENDLESS_FIELDS: (b"", b"a: b\r\n"),
    ReplicaFault.ENDLESS_INTERIM: (b"", b"HTTP/1.1 102 Processing\r\n\r\n"),
    ReplicaFault.ENDLESS_LATE: (
        b"",
        _OTHER_HEAD + b"Content-Length: 4\r\n\r\nbody",
    ),
    ReplicaFault.ENDLESS_BODY: (b"\r\n", b"x" * 100),
    ReplicaFault.ENDLESS_CHUNKS: (_CHUNKED, b"1\r\nx\r\n"),
    ReplicaFault.ENDLESS_EXTENSION: (_CHUNKED + b"1;", b"x" * 100),
    ReplicaFault.ENDLESS_TRAILERS: (_CHUNKED + b"0\r\n", b"a: b\r\n"),
}
ENDLESS_FAULTS = tuple(_ENDLESS_PARTS)
# These come in place of a head.
_HEADLESS_FAULTS = (ReplicaFault.ENDLESS_INTERIM, ReplicaFault.ENDLESS_LATE)
# Size of one write of an endless response, and the pause after it.
_ENDLESS_WRITE_BYTES = 65_536
_ENDLESS_PAUSE_S = 0.0005


class CutPlace(enum.Enum):
    """Where a copy of a response is cut.

    Attributes:
        HEAD: Before the end of its head.
        BODY: After its head; of a response without body, within the head.
        ANYWHERE: At any byte.
    """

    HEAD = enum.auto()
    BODY = enum.auto()
    ANYWHERE = enum.auto()


@dataclasses.dataclass(frozen=True, slots=True)
class CutCopies:
    """Copies that a replica begins before its responses, and doesn't end.

    They come on connections that were used before.

    Attributes:
        content: What is copied; the previous response of the connection if
            empty.
        place: Where a copy is cut.
        share: Share of the responses that follow one.
        delays_s: Delays of the response after it, in seconds, of which one is
            drawn; 0 for one write.
        failed_share: Share of all requests that are answered with 500.
    """

    content: bytes = b""
    place: CutPlace = CutPlace.HEAD
    share: float = 0.5
    delays_s: tuple[float, ...] = (0.0, 0.003)
    failed_share: float = 0.0

    def draw(self, rng: random.Random, previous: bytes) -> bytes:
        """Draws what comes before a response; empty for nothing.

        Args:
            rng: Source of the random choices.
            previous: Previous response of the connection; empty for none.
        """
        if not previous or rng.random() >= self.share:
            return b""
        copy = self.content or previous
        head_bytes = copy.find(_HEAD_END) + len(_HEAD_END)
        first, last = 1, len(copy) - 1
        if self.place is CutPlace.HEAD or head_bytes > last:
            last = head_bytes - 1
        elif self.place is CutPlace.BODY:
            first = head_bytes
        return copy[: rng.randint(first, last)]


@dataclasses.dataclass(slots=True)
class ReplicaBehaviour:
    """How a replica responds.

    Attributes:
        fault: Fault of each request.
        faulty_requests: Number of requests that get the fault.
        events: Number of events of a stream.
        data_lines: Number of data lines of each event.
        event_interval_s: Interval between two events, in seconds.
        processing_s: Processing time before the response, in seconds.
        events_before_cut: Number of events before a truncated stream, or its
            replica, ends.
        fatal_target: Requests whose target contains this are FATAL; empty for
            none.
        fatal_body: Requests with this body are FATAL; empty for none.
        ends_after_s: Time after which a FATAL request ends it, also if its
            client has left, in seconds; 0 to end after ``processing_s`` if the
            client is still there.
        events_before_pause: Number of events of a stream before a pause.
        pause_s: Duration of that pause, in seconds; 0 for none.
        body_bytes: Length of the body of a unary response; 0 for a short one.
        cut_copies: Copies that come before responses; None for none.
    """

    fault: ReplicaFault = ReplicaFault.NONE
    faulty_requests: int = 1_000_000
    events: int = 4
    data_lines: int = 1
    event_interval_s: float = 0.0
    processing_s: float = 0.0
    events_before_cut: int = 2
    fatal_target: str = ""
    fatal_body: bytes = b""
    ends_after_s: float = 0.0
    events_before_pause: int = 0
    pause_s: float = 0.0
    body_bytes: int = 0
    cut_copies: CutCopies | None = None


class FakeReplica:
    """A fake replica.

    Attributes:
        id: Id of the replica.
        service: Name of its service.
        behaviour: How it responds.
        received_requests: Requests received.
        executed_requests: Received requests that it began to execute.
        abandoned: Number of requests whose client disconnected before the
            response was complete.
        has_ended: Whether a request has ended it.
        endless_s: Time that each endless response has lasted, in seconds.
        sealed_statuses: Statuses of its sealed responses, by request id.
        copies: Number of copies that came before responses.
    """

    def __init__(self, service: str, is_stream: bool) -> None:
        self.id = f"i-{next(_REPLICA_NUMBERS):08x}"
        self.service = service
        self.behaviour = ReplicaBehaviour()
        self.received_requests: list[RawRequest] = []
        self.executed_requests: list[RawRequest] = []
        self.abandoned = 0
        self.has_ended = False
        self.endless_s: list[float] = []
        self.sealed_statuses: dict[str, list[int]] = {}
        self.copies = 0
        self._random = random.Random(0)
        self._ending: asyncio.Task[None] | None = None
        self._is_stream = is_stream
        self._server = RawServer(self._handle)

    def seed(self, seed: int) -> None:
        """Restarts its random choices from a seed."""
        self._random = random.Random(seed)

    @property
    def port(self) -> int:
        """Listening port; 0 before the first start."""
        return self._server.port

    @property
    def connections(self) -> int:
        """Number of accepted connections."""
        return self._server.connections

    async def start(self) -> None:
        """Starts to listen, on the same port after a restart."""
        await self.start_at(self._server.port)

    async def start_at(self, port: int) -> None:
        """Starts to listen on a port, such as that of a replica before."""
        await self._server.start(port)

    async def stop(self) -> None:
        """Stops listening and drops all connections, as a crash does."""
        await self._server.stop()

    def entry(self, **changes: object) -> dict[str, object]:
        """Returns its entry for the store, with changed fields."""
        return {
            "service": self.service,
            "address": f"127.0.0.1:{self._server.port}",
            "zone": "a",
            "version": "v1",
            "slots": 8,
            "state": "ready",
            "cold_remaining_ms": 0,
            "sequence": 1,
            "born": 1_700_000_000_000,
        } | changes

    def event_content(self, request_id: str, number: int) -> str:
        """Returns the data of an event of the stream for a request."""
        return "\n".join(
            f"piece {number}.{line} of {request_id} by {self.id}"
            for line in range(self.behaviour.data_lines)
        )

    async def _handle(
        self, request: RawRequest, connection: RawConnection
    ) -> None:
        self.received_requests.append(request)
        expected = request.header_by_name.get("expect-instance", self.id)
        if expected != self.id:
            headers = {"Instance-Id": self.id}
            connection.begin_response()
            await connection.write(encode_response(421, headers))
            return
        try:
            await self._respond(request, connection)
        except asyncio.CancelledError:
            self.abandoned += 1
            raise

    async def _begin_response(self, connection: RawConnection) -> None:
        copies = self.behaviour.cut_copies
        if copies is None:
            connection.begin_response()
            return
        beginning = copies.draw(self._random, connection.last_response)
        self.copies += bool(beginning)
        delay_s = self._random.choice(copies.delays_s)
        if beginning and delay_s:
            await connection.write(beginning)
            await asyncio.sleep(delay_s)
            beginning = b""
        connection.begin_response(beginning)

    async def _respond(
        self, request: RawRequest, connection: RawConnection
    ) -> None:
        behaviour = self.behaviour
        fault = ReplicaFault.NONE
        if behaviour.faulty_requests > 0:
            fault = behaviour.fault
            behaviour.faulty_requests -= fault is not ReplicaFault.NONE
        if behaviour.fatal_target and behaviour.fatal_target in request.target:
            fault = ReplicaFault.FATAL
        if behaviour.fatal_body and behaviour.fatal_body == request.body:
            fault = ReplicaFault.FATAL
        copies = behaviour.cut_copies
        if copies is not None and self._random.random() < copies.failed_share:
            # So that copy and response often have different statuses.
            fault = ReplicaFault.SERVER_ERROR
        headers = self._headers(request)
        is_refused = fault in (
            ReplicaFault.OVERLOADED,
            ReplicaFault.OVERLOADED_TRUNCATED,
        )
        if not is_refused:
            self.executed_requests.append(request)
        await self._begin_response(connection)
        if is_refused:
            if fault is ReplicaFault.OVERLOADED:
                await connection.write(REFUSAL)
                return
            await connection.write(REFUSAL[:-1])
            connection.close()
            return
        if fault is ReplicaFault.FATAL and behaviour.ends_after_s:
            self._ending = asyncio.create_task(self._end_later())
            await asyncio.sleep(3600)
        if fault is ReplicaFault.UNRESPONSIVE:
            await asyncio.sleep(3600)
        elif fault is ReplicaFault.RESET:
            connection.reset()
        elif fault is ReplicaFault.MALFORMED:
            await connection.write(b"\x00\x01 not a response\r\n\r\n")
        elif fault in _ENDLESS_PARTS:
            await self._send_endless(connection, headers, fault)
        elif fault is ReplicaFault.SERVER_ERROR:
            self._record_status(headers, 500)
            await connection.write(encode_response(500, headers, b"failed"))
        elif self._is_stream:
            self._record_status(headers, 200)
            await self._send_stream(request, connection, headers, fault)
        else:
            await asyncio.sleep(behaviour.processing_s)
            self._record_status(headers, 200)
            await self._send_unary(connection, headers, fault)

    async def _crash(self) -> None:
        self._ending = asyncio.create_task(self._end())
        await asyncio.sleep(3600)

    async def _end_later(self) -> None:
        await asyncio.sleep(self.behaviour.ends_after_s)
        await self._end()

    async def _end(self) -> None:
        self.has_ended = True
        await self.stop()

    def _record_status(self, headers: dict[str, str], status: int) -> None:
        statuses = self.sealed_statuses.setdefault(headers["Request-Id"], [])
        statuses.append(status)

    def _headers(self, request: RawRequest) -> dict[str, str]:
        request_id = request.header_by_name.get("request-id", "")
        return {
            "Request-Id": request_id,
            "Response-Seal": f"seal-{self.id}-{request_id}",
            "Server-Load": "1,0,8",
        }

    async def _send_unary(
        self,
        connection: RawConnection,
        headers: dict[str, str],
        fault: ReplicaFault,
    ) -> None:
        if fault is ReplicaFault.FATAL:
            await self._crash()
        body = b"body of " + headers["Request-Id"].encode()
        body = body.ljust(self.behaviour.body_bytes, b".")
        if fault is ReplicaFault.UNSIGNED:
            del headers["Response-Seal"]
        elif fault is ReplicaFault.ENCODED:
            headers["Content-Encoding"] = "gzip"
        elif fault is ReplicaFault.WRONG_REQUEST:
            other = headers | {"Request-Id": "another"}
            await connection.write(encode_response(200, other, b"of another"))
        elif fault is ReplicaFault.TRUNCATED:
            await connection.write(encode_response(200, headers, body)[:-3])
            connection.close()
            return
        elif fault in (
            ReplicaFault.CLOSE_DELIMITED,
            ReplicaFault.CLOSE_DELIMITED_RESET,
        ):
            await self._send_close_delimited(connection, headers, body, fault)
            return
        data = encode_response(200, headers, body)
        if fault is ReplicaFault.EXTRA_RESPONSE:
            data += encode_response(
                200, headers | {"Request-Id": "another"}, b"more"
            )
        await connection.write(data)

    async def _send_endless(
        self,
        connection: RawConnection,
        headers: dict[str, str],
        fault: ReplicaFault,
    ) -> None:
        beginning, unit = _ENDLESS_PARTS[fault]
        if fault not in _HEADLESS_FAULTS:
            lines = "".join(f"{k}: {v}\r\n" for k, v in headers.items())
            beginning = f"HTTP/1.1 200 OK\r\n{lines}".encode() + beginning
        await connection.write(beginning)
        data = unit * (_ENDLESS_WRITE_BYTES // len(unit))
        loop = asyncio.get_running_loop()
        began_at = loop.time()
        try:
            while True:
                await connection.write(data)
                await asyncio.sleep(_ENDLESS_PAUSE_S)
        finally:
            self.endless_s.append(loop.time() - began_at)

    async def _send_close_delimited(
        self,
        connection: RawConnection,
        headers: dict[str, str],
        body: bytes,
        fault: ReplicaFault,
    ) -> None:
        lines = "".join(f"{k}: {v}\r\n" for k, v in headers.items())
        head = f"HTTP/1.1 200 OK\r\n{lines}Connection: close\r\n\r\n"
        await connection.write(head.encode() + body)
        if fault is ReplicaFault.CLOSE_DELIMITED:
            connection.close()
            return
        await asyncio.sleep(0.05)
        connection.reset()

    async def _send_stream(
        self,
        request: RawRequest,
        connection: RawConnection,
        headers: dict[str, str],
        fault: ReplicaFault,
    ) -> None:
        behaviour = self.behaviour
        if fault is ReplicaFault.UNSIGNED:
            del headers["Response-Seal"]
        await asyncio.sleep(behaviour.processing_s)
        lines = "".join(f"{k}: {v}\r\n" for k, v in headers.items())
        await connection.write(
            f"HTTP/1.1 200 OK\r\n{lines}Content-Type: text/event-stream\r\n"
            "Transfer-Encoding: chunked\r\n\r\n".encode()
        )
        begin = int(request.header_by_name.get("last-event-id", "0"))
        for number in range(begin + 1, behaviour.events + 1):
            if number == begin + 1 + behaviour.events_before_pause:
                await asyncio.sleep(behaviour.pause_s)
            is_cut = number > begin + behaviour.events_before_cut
            if is_cut and fault is ReplicaFault.FATAL:
                await self._crash()
            if is_cut and fault is ReplicaFault.TRUNCATED:
                await connection.write(_chunk(b"id: 99\ndata: ha"))
                connection.reset()
                return
            content = self.event_content(headers["Request-Id"], number)
            lines = content.replace("\n", "\ndata: ")
            event = f"id: {number}\ndata: {lines}\n\n".encode()
            await connection.write(_chunk(event))
            await asyncio.sleep(behaviour.event_interval_s)
        end = b"0\r\n\r\n"
        if fault is ReplicaFault.EXTRA_RESPONSE:
            # With the id of the same request, so that only its place tells it
            # apart from the response.
            event = b"id: 1\ndata: of an extra response\n\n"
            end += encode_response(200, headers, event)
        await connection.write(end)


def _chunk(data: bytes) -> bytes:
    return b"%x\r\n%b\r\n" % (len(data), data)
