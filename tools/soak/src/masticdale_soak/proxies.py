"""A loopback TCP proxy that can delay, block or reset its connections."""

import asyncio
import dataclasses
import enum

from masticdale_standins.raw_http import reset_connection

_CHUNK_BYTES = 65_536
_POLL_INTERVAL_S = 0.02


class LinkFault(enum.Enum):
    """What a proxy does to the bytes that it forwards.

    Attributes:
        NONE: Forwards them.
        DELAY: Delays each chunk.
        PARTITION: Blocks both directions.
        REQUESTS_BLOCKED: Blocks the direction from client to server.
        RESPONSES_BLOCKED: Blocks the direction from server to client.
    """

    NONE = enum.auto()
    DELAY = enum.auto()
    PARTITION = enum.auto()
    REQUESTS_BLOCKED = enum.auto()
    RESPONSES_BLOCKED = enum.auto()


# Faults that block each direction. Bytes are delayed rather than dropped, since
# TCP retransmits them after a real partition heals.
_BLOCKS_REQUESTS = frozenset({LinkFault.PARTITION, LinkFault.REQUESTS_BLOCKED})
_BLOCKS_RESPONSES = frozenset(
    {LinkFault.PARTITION, LinkFault.RESPONSES_BLOCKED}
)


@dataclasses.dataclass(slots=True)
class LinkState:
    """How a proxy treats its connections.

    Attributes:
        fault: Active fault.
        delay_s: Delay of each chunk in seconds; only used by DELAY.
    """

    fault: LinkFault = LinkFault.NONE
    delay_s: float = 0.0


class Proxy:
    """Forwards connections from a loopback port to another address.

    Attributes:
        link_state: Treatment of all connections, open ones included.
        port: Listening port; 0 before ``start``.
    """

    def __init__(self) -> None:
        self.link_state = LinkState()
        self.port = 0
        self._target = ("", 0)
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self._tasks: set[asyncio.Task[None]] = set()

    async def start(
        self, target_port: int, target_address: str = "127.0.0.1"
    ) -> None:
        """Starts to listen, after a restart on the same port if it is free."""
        self.set_target(target_port, target_address)
        try:
            self._server = await self._listen(self.port)
        except OSError:
            self._server = await self._listen(0)
        self.port = self._server.sockets[0].getsockname()[1]

    def set_target(
        self, target_port: int, target_address: str = "127.0.0.1"
    ) -> None:
        """Forwards new connections to another address."""
        self._target = (target_address, target_port)

    def set_link_state(self, link: LinkState) -> None:
        """Changes the treatment of all connections, open ones included."""
        self.link_state = link

    @property
    def is_listening(self) -> bool:
        """Whether it accepts connections."""
        return self._server is not None and self._server.is_serving()

    def refuse(self) -> None:
        """Stops listening and resets every connection."""
        if self._server is not None:
            self._server.close()
        self.reset()

    async def stop(self) -> None:
        """Stops listening, resets every connection and ends their tasks."""
        self.refuse()
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def reset(self) -> None:
        """Resets every open connection on both sides."""
        for writer in list(self._writers):
            reset_connection(writer)

    async def _listen(self, port: int) -> asyncio.Server:
        return await asyncio.start_server(self._serve, "127.0.0.1", port)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        self._writers.add(writer)
        upstream: asyncio.StreamWriter | None = None
        try:
            while self.link_state.fault in _BLOCKS_REQUESTS:
                await asyncio.sleep(_POLL_INTERVAL_S)
            responses, upstream = await asyncio.open_connection(*self._target)
            self._writers.add(upstream)
            await asyncio.gather(
                self._forward(reader, upstream, _BLOCKS_REQUESTS),
                self._forward(responses, writer, _BLOCKS_RESPONSES),
            )
        except (OSError, asyncio.CancelledError):
            pass  # One side closed or the proxy stops; reset both sides.
        finally:
            self._tasks.discard(task)
            for each in (writer, upstream):
                if each is not None:
                    self._writers.discard(each)
                    reset_connection(each)

    async def _forward(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        blocking_faults: frozenset[LinkFault],
    ) -> None:
        while data := await reader.read(_CHUNK_BYTES):
            if self.link_state.fault is LinkFault.DELAY:
                await asyncio.sleep(self.link_state.delay_s)
            while self.link_state.fault in blocking_faults:
                await asyncio.sleep(_POLL_INTERVAL_S)
            writer.write(data)
            await writer.drain()
        if writer.can_write_eof():
            writer.write_eof()
