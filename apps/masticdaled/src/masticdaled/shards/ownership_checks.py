"""Makes sure that a shard is still this host's before it answers from memory.

A host that was paused or cut off past its lease finds its shards taken over
only at its next commit. Until then it would answer from old memory: a turn
acknowledged by the next owner looks lost, and a program begun there looks as
if it did not exist. Commits need no such check, since they are fenced.
"""

import asyncio
import enum
from collections.abc import Iterable

from returns.result import Success

from masticdale_common import ErrorKind, logs
from masticdale_programs import Shard

# A host is taken for dead no sooner than about 1.9 s after it last ran: its
# lease of 2.5 s less one heartbeat. What was read 1.5 s ago still holds then.
_VALID_S = 1.5
_RENEW_S = 0.75
_WAIT_S = 0.5


class Ownership(enum.Enum):
    """What is known of a shard's owner."""

    HELD = enum.auto()
    LOST = enum.auto()
    UNSURE = enum.auto()


class OwnershipChecks:
    """When the platform last said of each shard that it is this host's."""

    def __init__(self) -> None:
        self._held_at_by_shard: dict[int, float] = {}
        self._check_by_shard: dict[int, asyncio.Task[None]] = {}

    def opened(self, number: int, at: float) -> None:
        """Notes that a shard was taken over.

        Args:
            number: The shard.
            at: Monotonic time before the takeover was written.
        """
        self._held_at_by_shard[number] = at

    async def check(self, shard: Shard) -> Ownership:
        """Returns whether a shard may be answered for from memory.

        Args:
            shard: A shard that this host believes to hold.

        Returns:
            UNSURE where the platform does not answer in time. Nobody can take
            a shard over while it is down, so its owner carries on; what it
            does not know may nevertheless exist.
        """
        if self._age_s(shard) <= _VALID_S:
            return Ownership.HELD
        task = self._renew(shard)
        await asyncio.wait([task], timeout=_WAIT_S)
        if not shard.is_held:
            return Ownership.LOST
        if self._age_s(shard) <= _VALID_S:
            return Ownership.HELD
        logs.write_bounded(
            "ownership_unsure",
            shard=shard.number,
            age_s=round(self._age_s(shard), 3),
            answered=task.done(),
        )
        return Ownership.UNSURE

    def renew(self, shards: Iterable[Shard]) -> None:
        """Asks again before answers run out, off the calls' path."""
        for shard in shards:
            if self._age_s(shard) > _RENEW_S:
                self._renew(shard)

    def _age_s(self, shard: Shard) -> float:
        held_at = self._held_at_by_shard.get(shard.number)
        if held_at is None:
            return float("inf")
        return asyncio.get_running_loop().time() - held_at

    def _renew(self, shard: Shard) -> asyncio.Task[None]:
        task = self._check_by_shard.get(shard.number)
        if task is not None and not task.done():
            return task
        task = asyncio.create_task(self._ask(shard))
        self._check_by_shard[shard.number] = task
        return task

    async def _ask(self, shard: Shard) -> None:
        # The time before the question: the answer may be as old as that.
        asked_at = asyncio.get_running_loop().time()
        outcome = await shard.check_head()
        if isinstance(outcome, Success):
            self._held_at_by_shard[shard.number] = asked_at
        elif outcome.failure().kind is ErrorKind.NOT_OWNER:
            self._held_at_by_shard.pop(shard.number, None)
