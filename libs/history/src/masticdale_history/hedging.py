"""When a save takes a further host for one that is overdue, without I/O.

Times are event loop times in seconds.
"""

import math
from collections.abc import Collection

# Time after which a storage host that has not answered is passed over, and
# between two further hosts that are taken for overdue ones, in seconds. A sync
# and a round trip take a few milliseconds.
HEDGE_DELAY_S = 0.05
# Time for which replies that have arrived are read before a host counts as
# overdue, in seconds. A reply passes several steps of the event loop from its
# socket to the save.
SETTLE_S = 0.005
# A wake-up that is later than planned by more than this, in seconds, shows that
# the event loop has stalled: the replies may have arrived long ago.
LATE_WAKE_S = 0.02


class HedgeSteps:
    """Chooses the overdue hosts of a save, at most one for each step.

    If all hosts are slow, one after another is replaced. Replacing them all at
    once would multiply the writes while the disks are the bottleneck.
    """

    def __init__(self) -> None:
        self._sent_at_by_host: dict[str, float] = {}
        self._next_step_at = 0.0
        self._settled_at: float | None = None

    def add(self, host: str, now: float) -> None:
        """Records that the record is sent to a host."""
        self._sent_at_by_host[host] = now

    def wake_at(self, awaited: Collection[str]) -> float:
        """Returns when ``step`` is due; infinity if no host is awaited.

        Args:
            awaited: The hosts that have not answered and are not overdue.
        """
        if not awaited:
            return math.inf
        if self._settled_at is not None:
            return self._settled_at
        oldest = min(self._sent_at_by_host[host] for host in awaited)
        return max(oldest + HEDGE_DELAY_S, self._next_step_at)

    def step(self, awaited: Collection[str], now: float) -> str | None:
        """Returns a host that is overdue now; None if there is none yet.

        Args:
            awaited: The hosts that have not answered and are not overdue.
            now: The time.
        """
        wake_at = self.wake_at(awaited)
        if now < wake_at:
            return None
        is_settled, self._settled_at = self._settled_at is not None, None
        if now - wake_at > LATE_WAKE_S:
            self._next_step_at = now + HEDGE_DELAY_S
            return None
        if not is_settled:
            self._settled_at = now + SETTLE_S
            return None
        self._next_step_at = now + HEDGE_DELAY_S
        return min(awaited, key=self._sent_at_by_host.__getitem__)
