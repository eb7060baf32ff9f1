"""Adaptive limit of the calls in flight at a replica."""

import collections
import dataclasses

from masticdale_routing.tickets import LoadObservation

_MIN_LIMIT = 1.0
# Decay of the best mean speed per finished call. Without it, the limit of a
# replica that has become slower for good would stay at the floor.
_BEST_DECAY = 0.999
_SMOOTHING = 0.1
_MIN_SHARE_OF_INITIAL = 0.5
_DECREASE_FACTOR = 0.9
# Time for which the limit stays capped after calls waited inside the engine.
_CEILING_HOLD_S = 30.0
# Foreign calls are forgotten this long after the last load report, or an engine
# that stops reporting would keep slots blocked.
_REPORT_MAX_AGE_S = 10.0
_MAX_RECENT_CALLS = 512


@dataclasses.dataclass(frozen=True, slots=True)
class InFlightSettings:
    """Bounds of the adaptive limit.

    Attributes:
        initial: Limit before any observation.
        maximum: Upper bound of the limit.
        min_speed_share: Mean decode speed, as a share of the best mean, below
            which the batch counts as too large.
    """

    initial: int = 8
    maximum: int = 256
    min_speed_share: float = 0.4


class InFlightLimit:
    """Additive increase, multiplicative decrease (AIMD) on two signals.

    A decode speed far below the replica's best indicates a batch that is too
    large. Calls waiting inside the engine indicate that its slots are full;
    the engine's own queue ignores priorities, so it must stay empty.
    """

    def __init__(self, settings: InFlightSettings) -> None:
        self._settings = settings
        self._limit = float(settings.initial)
        self._ceiling = float(settings.maximum)
        self._ceiling_until = 0.0
        self._floor = max(_MIN_LIMIT, settings.initial * _MIN_SHARE_OF_INITIAL)
        self._speed = 0.0
        self._best_speed = 0.0
        self._finishes_until_decrease = 0

    @property
    def limit(self) -> int:
        """Number of calls that may be in flight."""
        return int(self._limit)

    def record_finished(self, speed: float, at_limit: bool, now: float) -> None:
        """Updates the limit after a finished call.

        Args:
            speed: The call's decode speed in tokens per second.
            at_limit: Whether the limit was reached while it ran.
            now: Current time in seconds.
        """
        # Compares means: a single outlier as the best speed would make every
        # later call look slow.
        if self._speed:
            self._speed += (speed - self._speed) * _SMOOTHING
        else:
            self._speed = speed
        self._best_speed = max(self._speed, self._best_speed * _BEST_DECAY)
        self._finishes_until_decrease -= 1
        # A call that ran below the limit is not slow because of the limit.
        if not at_limit:
            return
        if self._speed < self._best_speed * self._settings.min_speed_share:
            self._decrease()
            return
        maximum = float(self._settings.maximum)
        if now < self._ceiling_until:
            maximum = self._ceiling
        self._limit = min(maximum, self._limit + 1 / self._limit)

    def record_load(self, observation: LoadObservation, now: float) -> None:
        """Caps the limit if a load report shows calls waiting in the engine."""
        if observation.waiting <= 0 or observation.running <= 0:
            return
        self._ceiling = max(_MIN_LIMIT, float(observation.running))
        self._ceiling_until = now + _CEILING_HOLD_S
        self._limit = min(self._limit, self._ceiling)

    def _decrease(self) -> None:
        # All calls of a batch report the same low speed. Decreasing for each
        # would collapse the limit, so it decreases once per batch.
        if self._finishes_until_decrease > 0:
            return
        self._finishes_until_decrease = self.limit
        # Decreases by speed stop at the floor: at a limit of 1, reached through
        # noise, no call would show how fast a larger batch runs. The cap of
        # ``record_load`` may be lower.
        self._limit = max(self._floor, self._limit * _DECREASE_FACTOR)


class ForeignLoad:
    """Estimates the foreign calls at a replica (see ``tickets``).

    They occur after a failover of the replica's home, or while two hosts both
    act as home. Load reports lag, so each is compared with the calls that this
    queue had in flight at its time.
    """

    def __init__(self) -> None:
        self._recent: collections.deque[tuple[float, float]] = (
            collections.deque(maxlen=_MAX_RECENT_CALLS)
        )
        self._foreign = 0
        self._valid_until = 0.0

    def record_finished(self, granted_at: float, now: float) -> None:
        """Records a finished call of this queue.

        Args:
            granted_at: Time of its grant in seconds.
            now: Current time in seconds.
        """
        self._recent.append((granted_at, now))

    def record_load(
        self, observation: LoadObservation, granted_at: list[float], now: float
    ) -> None:
        """Compares a load report with this queue's calls at its time.

        Args:
            observation: The report.
            granted_at: Grant times of this queue's calls in flight.
            now: Current time in seconds.
        """
        observed_at = observation.observed_at
        own_calls = sum(1 for at in granted_at if at <= observed_at)
        own_calls += sum(
            1 for at, end in self._recent if at <= observed_at < end
        )
        reported = observation.running + observation.waiting
        self._foreign = max(0, reported - own_calls)
        self._valid_until = now + _REPORT_MAX_AGE_S

    def count(self, now: float) -> int:
        """Returns the foreign calls; 0 once the last report has expired."""
        return self._foreign if now < self._valid_until else 0
