"""Lease that limits how long a host may act as an owner without the store."""

import time
from collections.abc import Callable

# Seconds for which an owner may admit turns after its last renewal. Must
# outlast an outage of the store, which may take twelve seconds. A successor
# does not wait for the lease to expire, so if neither the owner nor its standby
# answers, both owners may admit turns. The lease bounds that time, and the
# successor counts unknown programs as partly spent for at least as long.
LEASE_S = 30.0


def boot_time_s() -> float:
    """Returns seconds of a clock that includes time spent suspended.

    The monotonic clock stops while a host is suspended, so that a lease
    measured with it would still look valid after a resume.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class Lease:
    """Lease of this host, renewed when the store answers on shard records."""

    def __init__(
        self,
        now: Callable[[], float] = boot_time_s,
        is_store_unreachable: Callable[[], bool] = lambda: False,
    ) -> None:
        """Starts without a renewal.

        Args:
            now: Clock in seconds that includes time spent suspended.
            is_store_unreachable: Whether the store was unreachable, directly
                and through other hosts, when last called.
        """
        self._now = now
        self._is_store_unreachable = is_store_unreachable
        self._renewed_at: float | None = None

    def now(self) -> float:
        """Returns present seconds of the lease's clock."""
        return self._now()

    def renew(self, sent_at: float) -> None:
        """Renews the lease.

        Args:
            sent_at: Clock seconds at which the successful store call was
                sent. The answer may have waited unread for any time, so the
                time of its arrival proves nothing.
        """
        if self._renewed_at is None or sent_at > self._renewed_at:
            self._renewed_at = sent_at

    @property
    def is_store_unreachable(self) -> bool:
        """Whether the store was unreachable by any path when last called."""
        return self._is_store_unreachable()

    @property
    def age_s(self) -> float | None:
        """Seconds since the last renewal; None before the first."""
        if self._renewed_at is None:
            return None
        return self._now() - self._renewed_at

    @property
    def is_valid(self) -> bool:
        """Whether this host may admit turns of the shards that it owns."""
        age_s = self.age_s
        return age_s is not None and age_s < LEASE_S
