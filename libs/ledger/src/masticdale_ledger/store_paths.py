"""Paths by which a host reaches the store: itself, and its watch sources."""

import asyncio
import random

from masticdale_common import logs
from masticdale_rpc import RpcClient

# Longest time between probes of an unreachable store, in seconds. A
# configuration change has to take effect 2 s after its acknowledgement, also
# right after an outage.
PROBE_INTERVAL_S = 1.0
# Waits shorter than this, in seconds, would only spin.
_CLOCK_RESOLUTION_S = 0.001
# A call that fails this soon after the store has become reachable, in seconds,
# was probably sent before.
_RECOVERY_PERIOD_S = 0.5


class DirectPath:
    """Tracks whether the store answers this host directly.

    Attributes:
        is_reachable: Whether calls go to the store first.
        changed: Set when that changes; replaced by a new event each time.
    """

    def __init__(self) -> None:
        self.is_reachable = True
        self.changed = asyncio.Event()
        self._recovered_at = -_RECOVERY_PERIOD_S
        self._probe_at = 0.0

    def record(self, *, is_reachable: bool, reason: str) -> None:
        """Records the outcome of a direct call."""
        self._schedule_probe()
        if is_reachable == self.is_reachable:
            return
        self.is_reachable = is_reachable
        if is_reachable:
            self._recovered_at = asyncio.get_running_loop().time()
        logs.write(
            "store_regained" if is_reachable else "store_lost", reason=reason
        )
        self.changed.set()
        self.changed = asyncio.Event()

    @property
    def has_just_recovered(self) -> bool:
        """Whether a call that fails now may precede the store's recovery."""
        now = asyncio.get_running_loop().time()
        return (
            self.is_reachable and now < self._recovered_at + _RECOVERY_PERIOD_S
        )

    @property
    def next_probe_in_s(self) -> float:
        """Seconds until the next probe is due; at least 0."""
        now = asyncio.get_running_loop().time()
        return max(0.0, self._probe_at - now)

    def claim_probe(self) -> bool:
        """Returns whether a probe is due; if so, schedules the next one."""
        if self.next_probe_in_s > _CLOCK_RESOLUTION_S:
            return False
        self._schedule_probe()
        return True

    def _schedule_probe(self) -> None:
        # Jitter: all hosts lose the store at the same time, and must not probe
        # it at the same time.
        now = asyncio.get_running_loop().time()
        self._probe_at = now + random.uniform(0.8, 1.0) * PROBE_INTERVAL_S


class WatchSources:
    """The hosts whose watches this host follows.

    Attributes:
        all: Clients of all watch sources.
        have_lost_store: Whether the source that was asked last said that the
            store does not answer it.
    """

    def __init__(self, watch_sources: list[RpcClient]) -> None:
        self.all = watch_sources
        self.have_lost_store = False
        self._excluded_until: dict[int, float] = {}

    def available(self) -> list[RpcClient]:
        """Returns the watch sources that are not excluded at present."""
        now = asyncio.get_running_loop().time()
        return [
            source
            for number, source in enumerate(self.all)
            if self._excluded_until.get(number, 0.0) <= now
        ]

    def exclude(self, source: RpcClient, duration_s: float) -> None:
        """Excludes a watch source for some seconds."""
        now = asyncio.get_running_loop().time()
        self._excluded_until[self.all.index(source)] = now + duration_s
