"""A stand-in of the users' platform's replicas, sound or not."""

import asyncio
import dataclasses
import enum
import itertools

from masticdale_standins.raw_http import (
    RawConnection,
    RawRequest,
    RawServer,
    answer,
)

_NUMBERS = itertools.count(1)


class ReplicaFault(enum.Enum):
    """What a replica does to a request."""

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


@dataclasses.dataclass(slots=True)
class Behaviour:
    """How a replica answers.

    Attributes:
        fault: What goes wrong.
        times: How many requests it goes wrong for.
        events: Events of a stream.
        event_s: Between two events.
        work_s: Before the answer.
        cut_after: Events before a cut.
    """

    fault: ReplicaFault = ReplicaFault.NONE
    times: int = 1_000_000
    events: int = 4
    event_s: float = 0.0
    work_s: float = 0.0
    cut_after: int = 2


class FakeReplica:
    """One replica.

    Attributes:
        id: Its id.
        service: What it serves.
        behaviour: How it answers.
        seen: Requests that reached it.
        ran: Those of them that it began to run.
        abandoned: Requests whose caller left while they ran.
    """

    def __init__(self, service: str, is_stream: bool) -> None:
        self.id = f"i-{next(_NUMBERS):08x}"
        self.service = service
        self.behaviour = Behaviour()
        self.received_requests: list[RawRequest] = []
        self.executed_requests: list[RawRequest] = []
        self.abandoned = 0
        self._is_stream = is_stream
        self._server = RawServer(self._handle)

    @property
    def port(self) -> int:
        """Where it listens; 0 before the first start."""
        return self._server.port

    @property
    def connections(self) -> int:
        """Connections accepted so far."""
        return self._server.connections

    async def start(self) -> None:
        """Begins to listen."""
        await self._server.start(self._server.port)

    async def stop(self) -> None:
        """Ends as a crash does."""
        await self._server.stop()

    def entry(self, **changes: object) -> dict[str, object]:
        """Returns what it writes about itself into the store."""
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

    async def _handle(
        self, request: RawRequest, connection: RawConnection
    ) -> None:
        self.received_requests.append(request)
        expected = request.header_by_name.get("expect-instance", self.id)
        if expected != self.id:
            headers = {"Instance-Id": self.id}
            await connection.write(answer(421, headers))
            return
        try:
            await self._answer(request, connection)
        except asyncio.CancelledError:
            self.abandoned += 1
            raise

    async def _answer(
        self, request: RawRequest, connection: RawConnection
    ) -> None:
        behaviour = self.behaviour
        fault = ReplicaFault.NONE
        if behaviour.times > 0:
            fault = behaviour.fault
            behaviour.times -= fault is not ReplicaFault.NONE
        headers = self._headers(request)
        if fault in (
            ReplicaFault.OVERLOADED,
            ReplicaFault.OVERLOADED_TRUNCATED,
        ):
            refusal = answer(503, {"Not-Executed": "1"}, b"full")
            if fault is ReplicaFault.OVERLOADED:
                await connection.write(refusal)
                return
            await connection.write(refusal[:-1])
            connection.close()
            return
        self.executed_requests.append(request)
        if fault is ReplicaFault.UNRESPONSIVE:
            await asyncio.sleep(3600)
        elif fault is ReplicaFault.RESET:
            connection.reset()
        elif fault is ReplicaFault.MALFORMED:
            await connection.write(b"\x00\x01 not a response\r\n\r\n")
        elif fault is ReplicaFault.SERVER_ERROR:
            await connection.write(answer(500, headers, b"failed"))
        elif self._is_stream:
            await self._stream(request, connection, headers, fault)
        else:
            await asyncio.sleep(behaviour.work_s)
            await self._whole(connection, headers, fault)

    def _headers(self, request: RawRequest) -> dict[str, str]:
        request_id = request.header_by_name.get("request-id", "")
        return {
            "Request-Id": request_id,
            "Response-Seal": f"seal-{self.id}-{request_id}",
            "Server-Load": "1,0,8",
        }

    async def _whole(
        self,
        connection: RawConnection,
        headers: dict[str, str],
        fault: ReplicaFault,
    ) -> None:
        body = b"body of " + headers["Request-Id"].encode()
        if fault is ReplicaFault.UNSIGNED:
            del headers["Response-Seal"]
        elif fault is ReplicaFault.ENCODED:
            headers["Content-Encoding"] = "gzip"
        elif fault is ReplicaFault.WRONG_REQUEST:
            other = headers | {"Request-Id": "another"}
            await connection.write(answer(200, other, b"of another"))
        elif fault is ReplicaFault.TRUNCATED:
            await connection.write(answer(200, headers, body)[:-3])
            connection.close()
            return
        elif fault in (
            ReplicaFault.CLOSE_DELIMITED,
            ReplicaFault.CLOSE_DELIMITED_RESET,
        ):
            await self._unframed(connection, headers, body, fault)
            return
        data = answer(200, headers, body)
        if fault is ReplicaFault.EXTRA_RESPONSE:
            data += answer(200, headers | {"Request-Id": "another"}, b"more")
        await connection.write(data)

    async def _unframed(
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

    async def _stream(
        self,
        request: RawRequest,
        connection: RawConnection,
        headers: dict[str, str],
        fault: ReplicaFault,
    ) -> None:
        behaviour = self.behaviour
        if fault is ReplicaFault.UNSIGNED:
            del headers["Response-Seal"]
        await asyncio.sleep(behaviour.work_s)
        lines = "".join(f"{k}: {v}\r\n" for k, v in headers.items())
        await connection.write(
            f"HTTP/1.1 200 OK\r\n{lines}Content-Type: text/event-stream\r\n"
            "Transfer-Encoding: chunked\r\n\r\n".encode()
        )
        begin = int(request.header_by_name.get("last-event-id", "0"))
        for number in range(begin + 1, behaviour.events + 1):
            if fault is ReplicaFault.TRUNCATED and (
                number > begin + behaviour.cut_after
            ):
                await connection.write(_chunk(b"id: 99\ndata: ha"))
                connection.reset()
                return
            event = f"id: {number}\ndata: piece {number}\n\n".encode()
            await connection.write(_chunk(event))
            await asyncio.sleep(behaviour.event_s)
        await connection.write(b"0\r\n\r\n")


def _chunk(data: bytes) -> bytes:
    return b"%x\r\n%b\r\n" % (len(data), data)
