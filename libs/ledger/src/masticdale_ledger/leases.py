"""How long an owner may act on what it last read, in time that counts sleep."""

import time
from collections.abc import Callable

# An owner acts on its ownership for this long after it has asked the store,
# in seconds. Outages of the store were seen to last up to twelve seconds.
# Ownership passes on sooner where the standby can be asked; this is the bound
# for whoever can reach neither the owner nor its standby.
LEASE_S = 30.0


def boot_time_s() -> float:
    """Returns seconds of the clock that goes on while a host is suspended.

    The monotonic clock stops then: an owner that measured its lease with it
    would wake up in the belief that no time has passed.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class Lease:
    """When this host last knew what the store holds."""

    def __init__(
        self,
        now: Callable[[], float] = boot_time_s,
        is_store_lost: Callable[[], bool] = lambda: False,
    ) -> None:
        """Begins without an answer.

        Args:
            now: A clock that counts suspension, in seconds.
            is_store_lost: Whether the store was reached by no way lately.
        """
        self._now = now
        self._is_store_lost = is_store_lost
        self._renewed_at: float | None = None

    def now(self) -> float:
        """Returns present seconds of the lease's clock."""
        return self._now()

    def renew(self, sent_at: float) -> None:
        """Notes an answer of the store.

        Args:
            sent_at: When the call was sent: the answer may have lain unread
                for any time, the call can't have been seen before it.
        """
        if self._renewed_at is None or sent_at > self._renewed_at:
            self._renewed_at = sent_at

    @property
    def is_store_lost(self) -> bool:
        """Whether the store was reached by no way the last time."""
        return self._is_store_lost()

    @property
    def age_s(self) -> float | None:
        """Seconds since the last confirmed call; None before the first."""
        if self._renewed_at is None:
            return None
        return self._now() - self._renewed_at

    @property
    def is_valid(self) -> bool:
        """Whether ownership may be acted on."""
        age_s = self.age_s
        return age_s is not None and age_s < LEASE_S
