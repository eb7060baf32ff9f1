"""An HTTP server whose answers may break the protocol in any way."""

import asyncio
import dataclasses
import socket
import struct
import time
from collections.abc import Awaitable, Callable
from typing import Any

import httptools


@dataclasses.dataclass(slots=True)
class RawRequest:
    """A request as it was read.

    Attributes:
        method: Such as GET.
        target: Path and query.
        header_by_name: Headers by lowercase name.
        body: The body.
        arrived_at: Monotonic seconds when it was whole.
    """

    method: str = ""
    target: str = ""
    header_by_name: dict[str, str] = dataclasses.field(default_factory=dict)
    body: bytes = b""
    arrived_at: float = 0.0


class _Collector:
    def __init__(self) -> None:
        self.whole: list[RawRequest] = []
        self._request = RawRequest()
        self.parser = httptools.HttpRequestParser(self)

    def on_message_begin(self) -> None:
        self._request = RawRequest()

    def on_url(self, url: bytes) -> None:
        self._request.target += url.decode()

    def on_header(self, name: bytes, value: bytes) -> None:
        self._request.header_by_name[name.decode().lower()] = value.decode()

    def on_body(self, body: bytes) -> None:
        self._request.body += body

    def on_message_complete(self) -> None:
        self._request.method = self.parser.get_method().decode()
        self._request.arrived_at = time.monotonic()
        self.whole.append(self._request)


class RawConnection:
    """A connection that the stand-in writes to as it likes."""

    def __init__(self, writer: asyncio.StreamWriter) -> None:
        self._writer = writer

    async def write(self, data: bytes) -> None:
        """Writes bytes as they are."""
        self._writer.write(data)
        await self._writer.drain()

    def close(self) -> None:
        """Closes in order."""
        self._writer.close()

    def reset(self) -> None:
        """Resets the connection, as a crashed machine's kernel does."""
        reset_connection(self._writer)


Handler = Callable[[RawRequest, RawConnection], Awaitable[None]]


class RawServer:
    """Listens on a loopback port.

    Attributes:
        port: The port; 0 before ``start``.
        connections: Connections accepted so far.
    """

    def __init__(self, handler: Handler) -> None:
        self.port = 0
        self.connections = 0
        self._handler = handler
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task[Any]] = set()

    async def start(self, port: int = 0) -> None:
        """Begins to listen; 0 takes a free port."""
        self._server = await asyncio.start_server(
            self._serve, "127.0.0.1", port
        )
        self.port = self._server.sockets[0].getsockname()[1]

    async def stop(self) -> None:
        """Stops to listen and drops every connection."""
        if self._server is not None:
            self._server.close()
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def reset_all(self) -> None:
        """Drops every connection and goes on to listen."""
        for task in list(self._tasks):
            task.cancel()
        await asyncio.sleep(0)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        self.connections += 1
        try:
            await self._read(reader, RawConnection(writer))
        except (OSError, asyncio.CancelledError):
            pass  # The other end has gone, or this server stops.
        finally:
            self._tasks.discard(task)
            writer.transport.abort()

    async def _read(
        self, reader: asyncio.StreamReader, connection: RawConnection
    ) -> None:
        collector = _Collector()
        while data := await reader.read(65_536):
            collector.parser.feed_data(data)
            while collector.whole:
                await self._until_gone(
                    reader, self._handler(collector.whole.pop(0), connection)
                )

    async def _until_gone(
        self, reader: asyncio.StreamReader, work: Awaitable[None]
    ) -> None:
        """Stops the work once the caller has closed, as replicas do."""
        task = asyncio.ensure_future(work)
        try:
            while not task.done():
                await asyncio.wait((task,), timeout=0.02)
                if reader.at_eof() and not task.done():
                    task.cancel()
        finally:
            # This server may be stopped meanwhile, and its work with it.
            task.cancel()
            await asyncio.gather(task, return_exceptions=True)


def reset_connection(writer: asyncio.StreamWriter) -> None:
    """Ends a connection by a reset; nothing more of it is sent."""
    sock = writer.get_extra_info("socket")
    if sock is not None and not writer.transport.is_closing():
        # Without this the kernel ends the connection in order.
        linger = struct.pack("ii", 1, 0)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
    writer.transport.abort()


def answer(
    status: int, header_by_name: dict[str, str], body: bytes = b""
) -> bytes:
    """Returns a whole response with a length."""
    lines = [f"HTTP/1.1 {status} Stand-in"]
    lines += [f"{name}: {value}" for name, value in header_by_name.items()]
    lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body
