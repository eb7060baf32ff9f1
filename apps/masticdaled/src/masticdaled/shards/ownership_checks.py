"""Makes sure that a shard is still this host's before it answers from memory.

A host that was paused or cut off past its lease finds its shards taken over
only at its next commit. Until then it would answer from old memory: a turn
acknowledged by the next owner looks lost, and a program begun there looks as
if it did not exist. Commits need no such check, since they are fenced.
"""

import asyncio
import contextlib
import enum
from collections.abc import Iterable

from returns.result import Success

from masticdale_common import ErrorKind, logs
from masticdale_programs import Shard

# A host is taken for dead no sooner than about 1.9 s after it last ran: its
# lease of 2.5 s less one heartbeat. What was read 1.5 s ago still holds then.
_VALID_S = 1.5
_RENEW_AFTER_S = 0.75
# How long a call waits for the platform while it is known not to answer, in
# seconds.
_MAX_OUTAGE_WAIT_S = 0.5
# The same while it is not: longer than the platform's client takes to give up.
_MAX_WAIT_S = 3.0
# A failure says for this long that the platform does not answer, in seconds:
# longer than the next question takes to fail too.
_OUTAGE_S = 3.0


class Ownership(enum.Enum):
    """What is known of a shard's owner."""

    HELD = enum.auto()
    LOST = enum.auto()
    UNKNOWN = enum.auto()


class OwnershipChecks:
    """When the platform last said of each shard that it is this host's."""

    def __init__(self) -> None:
        self._held_at_by_shard: dict[int, float] = {}
        self._check_by_shard: dict[int, asyncio.Task[None]] = {}
        self._failed_at = -_OUTAGE_S

    def record_takeover(self, number: int, at: float) -> None:
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
            UNKNOWN where the platform does not answer in time. Nobody can take
            a shard over while it is down, so its owner carries on; what it
            does not know may nevertheless exist.
        """
        if self._age_s(shard) <= _VALID_S:
            return Ownership.HELD
        limit_s = _MAX_OUTAGE_WAIT_S if self._is_outage else _MAX_WAIT_S
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(limit_s):
                await self._check_again(shard)
        if not shard.is_owned:
            return Ownership.LOST
        if self._age_s(shard) <= _VALID_S:
            return Ownership.HELD
        logs.write_bounded(
            "ownership_unsure",
            shard=shard.number,
            age_s=round(self._age_s(shard), 3),
            outage=self._is_outage,
        )
        return Ownership.UNKNOWN

    def renew_aging(self, shards: Iterable[Shard]) -> None:
        """Asks again before answers run out, off the calls' path."""
        for shard in shards:
            if self._age_s(shard) > _RENEW_AFTER_S:
                self._start_check(shard)

    @property
    def _is_outage(self) -> bool:
        now = asyncio.get_running_loop().time()
        return now < self._failed_at + _OUTAGE_S

    async def _check_again(self, shard: Shard) -> None:
        """Waits for an answer to a question that is asked from now on.

        One that was under way when this host was paused is answered as things
        stood before; a host that took that for an outage answered from memory
        what the next owner had changed.
        """
        earlier = self._check_by_shard.get(shard.number)
        if earlier is not None and not earlier.done():
            await asyncio.wait([earlier])
        if shard.is_owned and self._age_s(shard) > _VALID_S:
            await asyncio.wait([self._start_check(shard)])

    def _age_s(self, shard: Shard) -> float:
        held_at = self._held_at_by_shard.get(shard.number)
        if held_at is None:
            return float("inf")
        return asyncio.get_running_loop().time() - held_at

    def _start_check(self, shard: Shard) -> asyncio.Task[None]:
        task = self._check_by_shard.get(shard.number)
        if task is not None and not task.done():
            return task
        task = asyncio.create_task(self._query_owner(shard))
        self._check_by_shard[shard.number] = task
        return task

    async def _query_owner(self, shard: Shard) -> None:
        # The time before the question: the answer may be as old as that.
        started_at = asyncio.get_running_loop().time()
        outcome = await shard.check_ownership()
        if isinstance(outcome, Success):
            self._held_at_by_shard[shard.number] = started_at
        elif outcome.failure().kind is ErrorKind.NOT_OWNER:
            self._held_at_by_shard.pop(shard.number, None)
        else:
            self._failed_at = asyncio.get_running_loop().time()
