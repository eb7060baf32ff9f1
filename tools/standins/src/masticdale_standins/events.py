"""Cache events of the fake engine, delivered with delay and loss."""

import asyncio
import collections
import dataclasses
import random

from masticdale_upstreams import CacheEvent, wire

_KEPT_EVENTS = 10_000
_POLL_S = 0.05


@dataclasses.dataclass(frozen=True, slots=True)
class _Entry:
    position: int
    due_at: float
    event: CacheEvent | None


class EventLog:
    """Keeps the newest events; a lost event leaves an empty entry."""

    def __init__(
        self, delay_s: float, loss_share: float, seed: int = 0
    ) -> None:
        self._delay_s = delay_s
        self._loss_probability = loss_share
        self._random = random.Random(seed)
        self._position = 0
        self._entries: collections.deque[_Entry] = collections.deque(
            maxlen=_KEPT_EVENTS
        )

    def add(self, event: CacheEvent) -> None:
        """Adds an event, which may be lost at random."""
        is_lost = self._random.random() < self._loss_probability
        self._append(None if is_lost else event)

    def drop_all(self) -> None:
        """Drops all events; readers see a gap."""
        self._entries.clear()
        self._append(None)

    async def read_after(
        self, position: int, wait_s: float
    ) -> wire.CacheEventsBody:
        """Returns the due events after a position, waiting for the first.

        Args:
            position: Position of the last event read.
            wait_s: Maximum time to wait, in seconds.
        """
        loop = asyncio.get_running_loop()
        deadline = loop.time() + wait_s
        due = self._due(position)
        while not due and loop.time() < deadline:
            await asyncio.sleep(min(_POLL_S, deadline - loop.time()))
            due = self._due(position)
        if not due:
            return wire.CacheEventsBody(position=position, events=(), gap=False)
        is_truncated = due[0].position > position + 1
        has_lost_events = any(entry.event is None for entry in due)
        return wire.CacheEventsBody(
            position=due[-1].position,
            events=tuple(
                wire.CacheEventBody(**dataclasses.asdict(entry.event))
                for entry in due
                if entry.event is not None
            ),
            gap=is_truncated or has_lost_events,
        )

    def _append(self, event: CacheEvent | None) -> None:
        self._position += 1
        due_at = asyncio.get_running_loop().time() + self._delay_s
        self._entries.append(_Entry(self._position, due_at, event))

    def _due(self, position: int) -> list[_Entry]:
        now = asyncio.get_running_loop().time()
        return [
            entry
            for entry in self._entries
            if entry.position > position and entry.due_at <= now
        ]
