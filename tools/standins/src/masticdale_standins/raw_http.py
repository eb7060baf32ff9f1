"""An HTTP server whose handlers write raw, possibly invalid responses."""

import asyncio
import dataclasses
import socket
import struct
import time
from collections.abc import Awaitable, Callable
from typing import Any

import httptools

# Bytes of a response that a connection keeps: some responses have no end.
_MAX_KEPT_BYTES = 4096


@dataclasses.dataclass(slots=True)
class RawRequest:
    """A request.

    Attributes:
        method: HTTP method.
        target: Path and query.
        header_by_name: Headers by lowercase name.
        body: The body.
        arrived_at: Monotonic time when it was complete.
    """

    method: str = ""
    target: str = ""
    header_by_name: dict[str, str] = dataclasses.field(default_factory=dict)
    body: bytes = b""
    arrived_at: float = 0.0


class _RequestCollector:
    def __init__(self) -> None:
        self.complete: list[RawRequest] = []
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
        self.complete.append(self._request)


class RawConnection:
    """A connection to which handlers write raw bytes.

    Attributes:
        last_response: The beginning of what was written since the last call of
            ``begin_response``.
    """

    def __init__(self, writer: asyncio.StreamWriter) -> None:
        self._writer = writer
        self.last_response = b""
        self._unsent = b""

    def begin_response(self, beginning: bytes = b"") -> None:
        """Begins a response.

        Args:
            beginning: Bytes to send in one write with its first ones; they are
                no part of it.
        """
        self.last_response = b""
        self._unsent = beginning

    async def write(self, data: bytes) -> None:
        """Writes bytes unchanged."""
        missing = _MAX_KEPT_BYTES - len(self.last_response)
        self.last_response += data[:missing]
        self._writer.write(self._unsent + data)
        self._unsent = b""
        await self._writer.drain()

    def close(self) -> None:
        """Closes the connection with FIN."""
        self._writer.close()

    def reset(self) -> None:
        """Resets the connection, as the kernel does after a crash."""
        reset_connection(self._writer)


Handler = Callable[[RawRequest, RawConnection], Awaitable[None]]


class RawServer:
    """Serves a loopback port.

    Attributes:
        port: Listening port; 0 before ``start``.
        connections: Number of accepted connections.
    """

    def __init__(self, handler: Handler) -> None:
        self.port = 0
        self.connections = 0
        self._handler = handler
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task[Any]] = set()

    async def start(self, port: int = 0) -> None:
        """Starts to listen on a port; 0 picks a free one."""
        self._server = await asyncio.start_server(
            self._serve, "127.0.0.1", port
        )
        self.port = self._server.sockets[0].getsockname()[1]

    async def stop(self) -> None:
        """Stops listening and drops every connection."""
        if self._server is not None:
            self._server.close()
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def reset_connections(self) -> None:
        """Drops every connection and keeps listening."""
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
            pass  # The peer disconnected, or this server stops.
        finally:
            self._tasks.discard(task)
            writer.transport.abort()

    async def _read(
        self, reader: asyncio.StreamReader, connection: RawConnection
    ) -> None:
        collector = _RequestCollector()
        while data := await reader.read(65_536):
            collector.parser.feed_data(data)
            while collector.complete:
                await self._run_until_disconnect(
                    reader, self._handler(collector.complete.pop(0), connection)
                )

    async def _run_until_disconnect(
        self, reader: asyncio.StreamReader, work: Awaitable[None]
    ) -> None:
        """Cancels the work once the client disconnects, as replicas do."""
        task = asyncio.ensure_future(work)
        try:
            while not task.done():
                await asyncio.wait((task,), timeout=0.02)
                if reader.at_eof() and not task.done():
                    task.cancel()
        finally:
            # This task may have been cancelled by ``stop``.
            task.cancel()
            await asyncio.gather(task, return_exceptions=True)


def reset_connection(writer: asyncio.StreamWriter) -> None:
    """Closes a connection with RST and discards unsent data."""
    sock = writer.get_extra_info("socket")
    if sock is not None and not writer.transport.is_closing():
        # Without SO_LINGER 0 the kernel closes the connection with FIN.
        linger = struct.pack("ii", 1, 0)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
    writer.transport.abort()


def encode_response(
    status: int, header_by_name: dict[str, str], body: bytes = b""
) -> bytes:
    """Encodes a complete response with Content-Length."""
    lines = [f"HTTP/1.1 {status} Stand-in"]
    lines += [f"{name}: {value}" for name, value in header_by_name.items()]
    lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body
