"""Whether a replica has a free slot, as far as one host can tell."""

import random

# Time for which a refusal counts, in seconds: a replica of 6 slots frees one
# about every 15 ms. It grows with each further refusal, because other hosts
# then take the free slots first, up to a bound at which a slot that does become
# free is still noticed soon.
_FIRST_PAUSE_S = 0.015
_PAUSE_GROWTH = 1.5
_MAX_PAUSE_S = 0.1
# Share of the time in which a reported queue is worked off for which the report
# counts, and the bound of that time in seconds. Calls should wait at the hosts,
# which order them, but the replica must not run out of work.
_QUEUE_SHARE = 0.5
_MAX_QUEUE_S = 0.5
# The pauses vary by this share, so that hosts do not ask in step.
_JITTER_SHARE = 0.3


class Fullness:
    """Until when a replica is believed to have no free slot."""

    def __init__(self, rng: random.Random | None = None) -> None:
        self._random = rng or random.Random()
        self._pause_s = 0.0
        self._full_until = 0.0

    def record_refusal(self, now: float) -> None:
        """Records that the replica refused a call because it is full."""
        grown_s = self._pause_s * _PAUSE_GROWTH
        self._pause_s = min(_MAX_PAUSE_S, max(_FIRST_PAUSE_S, grown_s))
        self._full_until = now + self._with_jitter(self._pause_s)

    def record_report(
        self, busy: int, slots: int, call_s: float, now: float
    ) -> None:
        """Records a load report.

        Args:
            busy: Requests running and waiting there.
            slots: Requests that it runs concurrently; at least 1.
            call_s: Time in which it runs one, in seconds; 0 if unknown.
            now: Event loop time in seconds.
        """
        if busy < slots:
            self._full_until = 0.0
            return
        queue_s = (busy - slots + 1) / slots * call_s
        pause_s = min(_MAX_QUEUE_S, _QUEUE_SHARE * queue_s)
        until = now + self._with_jitter(max(_FIRST_PAUSE_S, pause_s))
        self._full_until = max(self._full_until, until)

    def record_completion(self) -> None:
        """Records that a call of this host has left a slot there."""
        self._pause_s = 0.0
        self._full_until = 0.0

    def remaining_s(self, now: float) -> float:
        """Returns for how long it is still believed full; 0 if it is not."""
        return max(0.0, self._full_until - now)

    def _with_jitter(self, pause_s: float) -> float:
        return pause_s * self._random.uniform(
            1 - _JITTER_SHARE, 1 + _JITTER_SHARE
        )
