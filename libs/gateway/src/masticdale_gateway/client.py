"""An HTTP client for a single server, on the data path's connections."""

import asyncio
import contextlib
import dataclasses
import socket

from masticdale_gateway.messages import Header, encode_request
from masticdale_gateway.transports import ConnectionLostError
from masticdale_gateway.upstreams import (
    MalformedResponseError,
    UpstreamConnection,
    matches_any,
)

# TCP keep-alive: the kernel closes a connection whose peer does not reply to
# probes. A watch waits far longer than any other request, so nothing else
# detects a connection that was dropped on the network.
_KEEP_ALIVE_IDLE_S = 1
_KEEP_ALIVE_INTERVAL_S = 1
_KEEP_ALIVE_PROBES = 2
_TCP_USER_TIMEOUT_MS = 2_000
# Several times a page of a list, or the largest object.
_MAX_BODY_BYTES = 16 << 20
# Opening a connection takes one round trip of some milliseconds.
_CONNECT_TIMEOUT_S = 0.8


class NotSentError(Exception):
    """The request was never sent, so it had no effect."""


class NoResponseError(Exception):
    """The request was sent, but no complete response arrived."""


@dataclasses.dataclass(frozen=True, slots=True)
class HttpResponse:
    """A complete response."""

    status: int
    body: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class HttpRequest:
    """A request.

    Attributes:
        method: HTTP method, such as ``GET``.
        target: Path and query.
        body: JSON, or empty.
        timeout_s: Time limit for the complete response.
    """

    method: str
    target: str
    body: bytes
    timeout_s: float


class HttpClient:
    """Client of one server; a connection carries one request at a time."""

    def __init__(self, host: str, port: int) -> None:
        self._host = host
        self._port = port
        self._idle: list[UpstreamConnection] = []

    def close(self) -> None:
        """Closes the idle connections."""
        for connection in self._idle:
            connection.close()
        self._idle.clear()

    async def send(self, request: HttpRequest) -> HttpResponse:
        """Sends a request and waits for its response.

        Raises:
            NotSentError: The request had no effect.
            NoResponseError: The request may have had its effect.
        """
        connection = await self._acquire()
        try:
            connection.send(self._encode(request), matches_any)
        except ConnectionLostError as error:
            connection.abort()
            raise NotSentError("connection closed before sending") from error
        try:
            async with asyncio.timeout(request.timeout_s):
                head = await connection.read_head()
                response = HttpResponse(
                    head.status, await connection.read_body(_MAX_BODY_BYTES)
                )
        except (
            ConnectionLostError,
            MalformedResponseError,
            TimeoutError,
        ) as error:
            raise NoResponseError(repr(error)) from error
        finally:
            if connection.is_reusable:
                self._idle.append(connection)
            else:
                connection.abort()
        return response

    def _encode(self, request: HttpRequest) -> bytes:
        fields: list[Header] = [
            (b"Host", f"{self._host}:{self._port}".encode())
        ]
        if request.body:
            fields.append((b"Content-Type", b"application/json"))
        return encode_request(
            request.method.encode(),
            request.target.encode(),
            fields,
            request.body,
        )

    async def _acquire(self) -> UpstreamConnection:
        while self._idle:
            connection = self._idle.pop()
            if connection.is_reusable:
                return connection
            connection.abort()
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(_CONNECT_TIMEOUT_S):
                _, connection = await loop.create_connection(
                    UpstreamConnection, self._host, self._port
                )
        except (OSError, TimeoutError) as error:
            raise NotSentError(repr(error)) from error
        _enable_keep_alive(connection.transport.get_extra_info("socket"))
        return connection


def _enable_keep_alive(sock: socket.socket) -> None:
    with contextlib.suppress(OSError):
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
        for option, value in (
            (socket.TCP_KEEPIDLE, _KEEP_ALIVE_IDLE_S),
            (socket.TCP_KEEPINTVL, _KEEP_ALIVE_INTERVAL_S),
            (socket.TCP_KEEPCNT, _KEEP_ALIVE_PROBES),
            (socket.TCP_USER_TIMEOUT, _TCP_USER_TIMEOUT_MS),
        ):
            sock.setsockopt(socket.IPPROTO_TCP, option, value)
