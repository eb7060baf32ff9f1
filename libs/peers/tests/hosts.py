"""Hosts for the tests of this library."""

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
    """Answers with what it was asked; ``hold`` keeps submissions waiting."""

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
