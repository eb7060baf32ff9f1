"""Listening sockets of callers: opened, and closed without a reset."""

import asyncio
import contextlib
import socket
from collections.abc import Iterator

from masticdale_common import ACCEPTED_AT_ONCE, set_backlog
from masticdale_gateway.relay import Relay

# Turns of the event loop from the accept of a connection until it is open and
# registered.
_ACCEPT_LOOP_TURNS = 4


async def listen(
    relay: Relay, host: str, port: int, backlog: int
) -> asyncio.Server:
    """Starts to accept connections of callers.

    Args:
        relay: The relay that serves them.
        host: Address to bind.
        port: Port to bind.
        backlog: Size of the accept queue.
    """
    loop = asyncio.get_running_loop()
    server = await loop.create_server(
        relay.create_connection, host, port, backlog=ACCEPTED_AT_ONCE
    )
    set_backlog(server, backlog)
    return server


async def close_listener(relay: Relay, server: asyncio.Server) -> None:
    """Closes a listener and serves the connections in its accept queue.

    Closing it right away would reset them, and their callers may already have
    sent a request.

    Args:
        relay: The relay that serves them.
        server: The listener.
    """
    loop = asyncio.get_running_loop()
    for listening in server.sockets:
        loop.remove_reader(listening.fileno())
    # Each socket that the event loop has accepted becomes a connection in a
    # task of its own, which fails once the server is closed.
    await _run_pending_callbacks()
    accepted = [
        s for listening in server.sockets for s in _accept_all(listening)
    ]
    server.close()
    for connection in accepted:
        # A caller that has left meanwhile must not end the stop.
        with contextlib.suppress(OSError):
            await loop.connect_accepted_socket(
                relay.create_connection, connection
            )


def _accept_all(listening: socket.socket) -> Iterator[socket.socket]:
    with listening.dup() as queue:
        while True:
            try:
                yield queue.accept()[0]
            except OSError:
                return


async def _run_pending_callbacks() -> None:
    for _ in range(_ACCEPT_LOOP_TURNS):
        await asyncio.sleep(0)
