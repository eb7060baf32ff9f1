"""TCP relays that simulate stalled connections and network partitions."""

import asyncio
import concurrent.futures
import contextlib
import threading
from collections.abc import Coroutine, Iterator
from typing import Any, TypeVar

_IP = "127.0.0.1"
_CHUNK_BYTES = 65_536
_TIMEOUT_S = 5.0
ResultT = TypeVar("ResultT")


class Relay:
    """Forwards connections from a listening port to a target port.

    ``stall_connections`` keeps the open connections open but forwards no more
    data on them, like a middlebox that lost their state; new connections
    work. After ``partition`` new connections stall, too.
    """

    def __init__(self, target_port: int) -> None:
        self._target_port = target_port
        self._forwarding: set[asyncio.Task[None]] = set()
        self._writers: list[asyncio.StreamWriter] = []
        self._is_partitioned = False
        self._server: asyncio.Server | None = None

    @property
    def port(self) -> int:
        """The listening port."""
        assert self._server is not None
        port: int = self._server.sockets[0].getsockname()[1]
        return port

    async def start(self) -> None:
        """Starts to listen on a free port."""
        self._server = await asyncio.start_server(self._accept, _IP, 0)

    async def stall_connections(self) -> None:
        """Stops forwarding on all open connections, without closing them."""
        forwarding = list(self._forwarding)
        for task in forwarding:
            task.cancel()
        await asyncio.gather(*forwarding, return_exceptions=True)

    async def partition(self) -> None:
        """Stalls all open and all new connections."""
        self._is_partitioned = True
        await self.stall_connections()

    async def heal(self) -> None:
        """Forwards new connections again."""
        self._is_partitioned = False

    async def close(self) -> None:
        """Closes the listener and all connections."""
        await self.stall_connections()
        for writer in self._writers:
            writer.close()
        if self._server is not None:
            self._server.close()

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.append(writer)
        if self._is_partitioned:
            return
        try:
            far_reader, far_writer = await asyncio.open_connection(
                _IP, self._target_port
            )
        except OSError:
            writer.close()
            return
        self._writers.append(far_writer)
        for source, sink in ((reader, far_writer), (far_reader, writer)):
            task = asyncio.create_task(_forward(source, sink))
            self._forwarding.add(task)
            task.add_done_callback(self._forwarding.discard)


class RelayThread:
    """Runs relays on an event loop in a thread of its own."""

    def __init__(self) -> None:
        self._loop = asyncio.new_event_loop()
        self._thread = threading.Thread(
            target=self._loop.run_forever, daemon=True
        )
        self._relays: list[Relay] = []
        self._thread.start()

    def relay_to(self, port: int) -> Relay:
        """Starts a relay to a local port."""
        relay = Relay(port)
        self.run_on_loop(relay.start())
        self._relays.append(relay)
        return relay

    def run_on_loop(self, work: Coroutine[Any, Any, ResultT]) -> ResultT:
        """Runs a coroutine on the relays' loop and waits for its result."""
        future: concurrent.futures.Future[ResultT]
        future = asyncio.run_coroutine_threadsafe(work, self._loop)
        return future.result(_TIMEOUT_S)

    def close(self) -> None:
        """Closes all relays and stops the thread."""
        for relay in self._relays:
            self.run_on_loop(relay.close())
        self._loop.call_soon_threadsafe(self._loop.stop)
        self._thread.join(_TIMEOUT_S)
        self._loop.close()


@contextlib.contextmanager
def running_relays() -> Iterator[RelayThread]:
    """Runs relays until the end of the block."""
    thread = RelayThread()
    try:
        yield thread
    finally:
        thread.close()


async def _forward(
    source: asyncio.StreamReader, sink: asyncio.StreamWriter
) -> None:
    try:
        while data := await source.read(_CHUNK_BYTES):
            sink.write(data)
            await sink.drain()
        sink.close()
    except OSError:
        sink.close()
