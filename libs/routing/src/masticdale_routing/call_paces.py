"""Estimates how long replicas take for unary calls.

Calls of one route take about equally long at one replica, and replicas of one
service differ by a constant factor. Both factors are learned together, so that
neither the mix of routes nor the share of a slow replica distorts the other.
"""

import dataclasses
import math
import statistics
from collections.abc import Iterable

_REPLICA_LEARNING_RATE = 0.1
_ROUTE_LEARNING_RATE = 0.05
# Bound of the ratio of an observed duration to the estimate in one update, so
# that one call that hung can't distort the estimates.
_MAX_RATIO = 6.0
# Number of observations at which half of a replica's deviation is trusted.
_HALF_TRUST_OBSERVATIONS = 2
# An estimate keeps its full weight for the first time after its last
# observation, and has none after the second, in seconds. A replica that is
# avoided because it is slow is then tried again.
_FRESH_S = 10.0
_MAX_AGE_S = 40.0
_MIN_DURATION_S = 1e-4
_MIN_SLOWDOWN = 0.1
# Replicas get a new id with each start; at this many all are learned anew.
_MAX_ENTRIES = 10_000


@dataclasses.dataclass(slots=True)
class _ReplicaPace:
    """Logarithm of the ratio of a replica's durations to their routes'."""

    log_ratio: float
    observations: int
    observed_at: float


class CallPaces:
    """Expected durations of unary calls, by route and by replica."""

    def __init__(self) -> None:
        self._pace_by_replica: dict[str, _ReplicaPace] = {}
        self._log_duration_by_route: dict[str, float] = {}

    def observe(
        self,
        replica: str,
        route: str,
        duration_s: float,
        slowdown: float,
        now: float,
    ) -> None:
        """Records a complete response.

        Args:
            replica: Identifies one start of the replica that sent it.
            route: Name of the call's route.
            duration_s: Time from the request to the end of the response.
            slowdown: Momentary factor that the replica reported with it.
            now: Event loop time in seconds.
        """
        self._limit_entries()
        log_duration = math.log(
            max(_MIN_DURATION_S, duration_s) / max(_MIN_SLOWDOWN, slowdown)
        )
        pace = self._pace_by_replica.get(replica)
        if pace is None:
            pace = _ReplicaPace(self._median_log(), 0, now)
            self._pace_by_replica[replica] = pace
        route_log = self._log_duration_by_route.setdefault(
            route, log_duration - pace.log_ratio
        )
        error = log_duration - route_log - pace.log_ratio
        limit = math.log(_MAX_RATIO)
        error = min(limit, max(-limit, error))
        pace.observations += 1
        pace.observed_at = now
        # The first observations are averaged: a fixed rate would keep too much
        # of the initial value.
        rate = max(_REPLICA_LEARNING_RATE, 1 / pace.observations)
        pace.log_ratio += rate * error
        self._log_duration_by_route[route] += _ROUTE_LEARNING_RATE * error

    def pace_by_replica(
        self, replicas: Iterable[str], now: float
    ) -> dict[str, float]:
        """Returns the duration of calls relative to the median replica.

        Args:
            replicas: The replicas of one service.
            now: Event loop time in seconds.

        Returns:
            A factor for each replica; 1 where nothing is known.
        """
        replicas = list(replicas)
        known = {
            replica: pace
            for replica in replicas
            if (pace := self._pace_by_replica.get(replica)) is not None
            and now - pace.observed_at < _MAX_AGE_S
        }
        if not known:
            return dict.fromkeys(replicas, 1.0)
        median = statistics.median(p.log_ratio for p in known.values())
        return {
            replica: math.exp(
                _weight(pace, now) * (pace.log_ratio - median)
                if (pace := known.get(replica))
                else 0.0
            )
            for replica in replicas
        }

    def expected_s(self, route: str, replicas: Iterable[str]) -> float:
        """Returns the duration of a route's calls at a median replica.

        Args:
            route: Name of the route.
            replicas: The replicas of its service.

        Returns:
            Seconds without slowdown; 0 if none has been observed.
        """
        log_duration = self._log_duration_by_route.get(route)
        if log_duration is None:
            return 0.0
        logs = [
            pace.log_ratio
            for replica in replicas
            if (pace := self._pace_by_replica.get(replica)) is not None
        ]
        return math.exp(log_duration + (statistics.median(logs) if logs else 0))

    def _median_log(self) -> float:
        logs = [pace.log_ratio for pace in self._pace_by_replica.values()]
        return statistics.median(logs) if logs else 0.0

    def _limit_entries(self) -> None:
        if len(self._pace_by_replica) >= _MAX_ENTRIES:
            self._pace_by_replica.clear()
        if len(self._log_duration_by_route) >= _MAX_ENTRIES:
            self._log_duration_by_route.clear()


def _weight(pace: _ReplicaPace, now: float) -> float:
    """Returns the share of a replica's deviation that is believed."""
    trust = pace.observations / (pace.observations + _HALF_TRUST_OBSERVATIONS)
    age_s = now - pace.observed_at
    if age_s <= _FRESH_S:
        return trust
    return trust * max(0.0, (_MAX_AGE_S - age_s) / (_MAX_AGE_S - _FRESH_S))
