"""Servers, clients and a TCP proxy for the tests of this library."""

import asyncio
import contextlib
import socket

from masticdale_common import Metrics, TimerService
from masticdale_peers import (
    Address,
    Heartbeat,
    HeartbeatReply,
    PeerSettings,
    ReadReply,
    SubmitReply,
    connect,
    serve,
)

HOST = "host-b"


class EchoHandler:
    """Echoes requests; submissions wait while ``hold`` is cleared."""

    def __init__(self):
        self.hold = asyncio.Event()
        self.hold.set()
        self.arrived = asyncio.Semaphore(0)

    async def heartbeat(self, beat):
        return HeartbeatReply(Heartbeat(HOST, "d2", "1"))

    async def submit(self, submission):
        self.arrived.release()
        if submission.operation == "raise":
            raise ValueError("broken handler")
        await self.hold.wait()
        return SubmitReply(submission.operation)

    async def read(self, request):
        self.arrived.release()
        await asyncio.sleep(request.wait_ms / 1000)
        return ReadReply(text=request.request_id)


class MembershipHandler:
    """Passes heartbeats to a membership."""

    def __init__(self, membership):
        self._membership = membership

    async def heartbeat(self, beat):
        return self._membership.receive_heartbeat(beat)


def free_address():
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return Address(ip="127.0.0.1", port=probe.getsockname()[1])


def peer_at(address, name=HOST):
    return PeerSettings(name=name, address=address, domain="d2")


@contextlib.asynccontextmanager
async def serving(handler, tls=None):
    address = free_address()
    server = await serve(handler, address, tls)
    try:
        yield address
    finally:
        await server.close(0.0)


@contextlib.asynccontextmanager
async def client_of(address, tls=None, limits=None, metrics=None):
    timers = TimerService()
    directory = connect(
        [peer_at(address)], tls, metrics or Metrics(), timers, limits
    )
    try:
        yield directory.client(HOST)
    finally:
        directory.close()
        await timers.close()


class SlowTransport(asyncio.Transport):
    """A server's connection whose peer takes data only when told to.

    Attributes:
        on_connection: Serves the connection.
        sent: Bytes that the peer has received.
    """

    def __init__(self, on_connection):
        super().__init__()
        self.on_connection = on_connection
        self.sent = bytearray()
        self._unsent = bytearray()
        self._is_fast = False
        self._is_closing = False
        self._is_lost = False
        self._reader = asyncio.StreamReader()
        self._protocol = asyncio.StreamReaderProtocol(
            self._reader, on_connection
        )
        self._protocol.connection_made(self)

    def receive(self, data):
        """Delivers bytes from the peer."""
        self._protocol.data_received(data)

    def flush(self):
        """The peer takes everything now and from now on."""
        self._is_fast = True
        self.sent += self._unsent
        self._unsent.clear()
        if self._is_closing:
            self._lose()

    def write(self, data):
        if self._is_closing:
            return
        (self.sent if self._is_fast else self._unsent).extend(data)

    def is_closing(self):
        return self._is_closing

    def get_write_buffer_size(self):
        return len(self._unsent)

    def close(self):
        if self._is_closing:
            return
        self._is_closing = True
        if not self._unsent:
            self._lose()

    def abort(self):
        # As a socket's transport that has closed by itself.
        assert not self._is_lost
        self._unsent.clear()
        if not self._is_closing:
            self.close()
        else:
            self._lose()

    def _lose(self):
        self._is_lost = True
        asyncio.get_running_loop().call_soon(
            self._protocol.connection_lost, None
        )


async def settle():
    """Lets every task run until it waits for something."""
    for _ in range(20):
        await asyncio.sleep(0)


class TcpProxy:
    """Proxy that can drop the traffic of its open connections."""

    def __init__(self, target):
        self._target = target
        self._dropped = set()
        self._writers = []
        self._server = None

    async def __aenter__(self):
        self._server = await asyncio.start_server(self._forward, "127.0.0.1", 0)
        self.address = Address(
            ip="127.0.0.1", port=self._server.sockets[0].getsockname()[1]
        )
        return self

    async def __aexit__(self, *_):
        self._server.close()
        for writer in self._writers:
            writer.transport.abort()

    def drop_traffic(self, *directions):
        """Drops data on the connections that are open now.

        Args:
            directions: ``to`` for data to the peer, ``from`` for its replies.
        """
        count = len(self._writers)
        self._dropped |= {(w, i) for w in directions for i in range(count)}

    async def _forward(self, reader, writer):
        peer_reader, peer_writer = await asyncio.open_connection(
            str(self._target.ip), self._target.port
        )
        key = len(self._writers)
        self._writers += [writer, peer_writer]
        await asyncio.gather(
            self._copy(reader, peer_writer, ("to", key)),
            self._copy(peer_reader, writer, ("from", key)),
            return_exceptions=True,
        )

    async def _copy(self, reader, writer, direction):
        while data := await reader.read(4096):
            if direction not in self._dropped:
                writer.write(data)
                await writer.drain()
