"""A loopback proxy whose links can be made slow, silent or one-way."""

import asyncio
import dataclasses
import enum

from masticdale_standins.raw_http import reset_connection

_CHUNK_BYTES = 65_536
# How often a held-back link looks whether it flows again, in seconds.
_POLL_S = 0.02


class LinkFault(enum.Enum):
    """What a link does to the bytes that pass."""

    NONE = enum.auto()
    DELAY = enum.auto()
    PARTITION = enum.auto()
    REQUESTS_BLOCKED = enum.auto()
    RESPONSES_BLOCKED = enum.auto()


# Directions in which nothing passes. Bytes are held back rather than dropped:
# TCP sends them again, so a cut that heals delivers them late.
_HELD_TO_SERVER = frozenset({LinkFault.PARTITION, LinkFault.REQUESTS_BLOCKED})
_HELD_TO_CLIENT = frozenset({LinkFault.PARTITION, LinkFault.RESPONSES_BLOCKED})


@dataclasses.dataclass(slots=True)
class LinkState:
    """How a proxy treats its connections.

    Attributes:
        fault: What is wrong.
        delay_s: Extra time for each part of data where that is DELAY.
    """

    fault: LinkFault = LinkFault.NONE
    delay_s: float = 0.0


class Proxy:
    """Passes connections of one loopback port on to another one.

    Attributes:
        link: How it treats them; may be changed at any time.
        port: Where it listens.
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
        """Begins to listen on a free port."""
        self._target = (target_address, target_port)
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = self._server.sockets[0].getsockname()[1]

    def set_link_state(self, link: LinkState) -> None:
        """Changes how it treats its connections, open ones too."""
        self.link_state = link

    async def stop(self) -> None:
        """Stops and drops every connection."""
        if self._server is not None:
            self._server.close()
        self.reset()
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def reset(self) -> None:
        """Resets every open connection, on both sides."""
        for writer in list(self._writers):
            reset_connection(writer)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        self._writers.add(writer)
        other: asyncio.StreamWriter | None = None
        try:
            while self.link_state.fault in _HELD_TO_SERVER:
                await asyncio.sleep(_POLL_S)
            answers, other = await asyncio.open_connection(*self._target)
            self._writers.add(other)
            await asyncio.gather(
                self._pass(reader, other, _HELD_TO_SERVER),
                self._pass(answers, writer, _HELD_TO_CLIENT),
            )
        except (OSError, asyncio.CancelledError):
            pass  # One side has gone or the proxy stops: both sides end.
        finally:
            self._tasks.discard(task)
            for each in (writer, other):
                if each is not None:
                    self._writers.discard(each)
                    reset_connection(each)

    async def _pass(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        held_faults: frozenset[LinkFault],
    ) -> None:
        while data := await reader.read(_CHUNK_BYTES):
            if self.link_state.fault is LinkFault.DELAY:
                await asyncio.sleep(self.link_state.delay_s)
            while self.link_state.fault in held_faults:
                await asyncio.sleep(_POLL_S)
            writer.write(data)
            await writer.drain()
        if writer.can_write_eof():
            writer.write_eof()
