"""Checks that this host still owns a shard before it answers from memory.

A host that was paused or partitioned past its lease detects a takeover only at
its next commit. Until then its reads would be stale: a turn acknowledged by the
next owner looks lost, and a program created there looks missing. Commits need
no such check, since they are fenced.
"""

import asyncio
import contextlib
import enum
from collections.abc import Iterable

from returns.result import Success

from masticdale_common import ErrorKind, logs
from masticdale_programs import Shard

# Shorter than the earliest time at which a silent host is considered dead.
# Otherwise this host could serve stale reads after a takeover.
_VALID_S = 1.5
_RENEW_AFTER_S = 0.75
# Longest wait of a call for a check during a known outage of the platform.
_MAX_OUTAGE_WAIT_S = 0.5
# Longest wait of a call otherwise; exceeds the platform client's timeout, so
# that a slow check can complete.
_MAX_WAIT_S = 3.0
# How long a failed check counts as an outage; exceeds the time that the next
# check takes to fail. Otherwise calls in an outage would wait the longer limit.
_OUTAGE_S = 3.0


class Ownership(enum.Enum):
    """Whether this host owns a shard."""

    OWNED = enum.auto()
    LOST = enum.auto()
    UNKNOWN = enum.auto()


class OwnershipChecks:
    """Checks and caches the ownership of shards."""

    def __init__(self) -> None:
        self._confirmed_at_by_shard: dict[int, float] = {}
        self._check_by_shard: dict[int, asyncio.Task[None]] = {}
        self._failed_at = -_OUTAGE_S

    def record_takeover(self, number: int, at: float) -> None:
        """Records that this host has taken over a shard.

        Args:
            number: Number of the shard.
            at: Monotonic time before the takeover was written, in seconds.
        """
        self._confirmed_at_by_shard[number] = at

    async def check(self, shard: Shard) -> Ownership:
        """Returns whether this host may answer for a shard from memory.

        Args:
            shard: A shard that this host believes to own.

        Returns:
            UNKNOWN if the platform does not answer in time. No host can take
            a shard over during an outage, so the owner continues to serve it,
            but a program missing from its memory may exist.
        """
        if self._age_s(shard) <= _VALID_S:
            return Ownership.OWNED
        limit_s = _MAX_OUTAGE_WAIT_S if self._is_outage else _MAX_WAIT_S
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(limit_s):
                await self._check_again(shard)
        if not shard.is_owned:
            return Ownership.LOST
        if self._age_s(shard) <= _VALID_S:
            return Ownership.OWNED
        logs.write_bounded(
            "ownership_unsure",
            shard=shard.number,
            age_s=round(self._age_s(shard), 3),
            outage=self._is_outage,
        )
        return Ownership.UNKNOWN

    def renew_aging(self, shards: Iterable[Shard]) -> None:
        """Starts checks of shards whose last check is about to expire."""
        for shard in shards:
            if self._age_s(shard) > _RENEW_AFTER_S:
                self._start_check(shard)

    @property
    def _is_outage(self) -> bool:
        now = asyncio.get_running_loop().time()
        return now < self._failed_at + _OUTAGE_S

    async def _check_again(self, shard: Shard) -> None:
        """Waits for a check that is recent enough.

        A check already in progress is accepted only if it started within
        ``_VALID_S``. An older one, from before this host was paused, may
        predate a takeover, and the host would answer with stale state.
        """
        earlier = self._check_by_shard.get(shard.number)
        if earlier is not None and not earlier.done():
            await asyncio.wait([earlier])
        if shard.is_owned and self._age_s(shard) > _VALID_S:
            await asyncio.wait([self._start_check(shard)])

    def _age_s(self, shard: Shard) -> float:
        confirmed_at = self._confirmed_at_by_shard.get(shard.number)
        if confirmed_at is None:
            return float("inf")
        return asyncio.get_running_loop().time() - confirmed_at

    def _start_check(self, shard: Shard) -> asyncio.Task[None]:
        task = self._check_by_shard.get(shard.number)
        if task is not None and not task.done():
            return task
        task = asyncio.create_task(self._query_owner(shard))
        self._check_by_shard[shard.number] = task
        return task

    async def _query_owner(self, shard: Shard) -> None:
        # Measured before the read, whose result may be as old as that.
        started_at = asyncio.get_running_loop().time()
        outcome = await shard.check_ownership()
        if isinstance(outcome, Success):
            self._confirmed_at_by_shard[shard.number] = started_at
        elif outcome.failure().kind is ErrorKind.NOT_OWNER:
            self._confirmed_at_by_shard.pop(shard.number, None)
        else:
            self._failed_at = asyncio.get_running_loop().time()
