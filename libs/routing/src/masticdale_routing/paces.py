"""Estimates how fast replicas generate, relative to the others of a service."""

import dataclasses
import statistics
from collections.abc import Iterable

_LEARNING_RATE = 0.3
# Bound of the ratio of an observed interval to the estimate in one update, so
# that a host that was paused while it forwarded a stream can't distort it.
_MAX_RATIO = 2.0
# An estimate without a new observation is forgotten after this long, in
# seconds, so that a replica that has recovered is tried again.
_MAX_AGE_S = 10.0
# Slowness is rounded to this step: smaller differences come from the load.
_STEP = 0.25
_MAX_SLOWNESS = 3.0
# Replicas get a new id with each start; at this many all are learned anew.
_MAX_REPLICAS = 10_000


@dataclasses.dataclass(slots=True)
class _Pace:
    interval_s: float
    observed_at: float


class ReplicaPaces:
    """Time between two events of a stream, by replica."""

    def __init__(self) -> None:
        self._pace_by_id: dict[str, _Pace] = {}

    def observe(self, replica_id: str, interval_s: float, now: float) -> None:
        """Records the mean time between two events of a stream.

        Args:
            replica_id: The replica that generated the stream.
            interval_s: The time in seconds.
            now: Event loop time in seconds.
        """
        pace = self._pace_by_id.get(replica_id)
        if pace is None or now - pace.observed_at > _MAX_AGE_S:
            if len(self._pace_by_id) >= _MAX_REPLICAS:
                self._pace_by_id.clear()
            self._pace_by_id[replica_id] = _Pace(interval_s, now)
            return
        lowest_s = pace.interval_s / _MAX_RATIO
        highest_s = pace.interval_s * _MAX_RATIO
        bounded_s = min(highest_s, max(lowest_s, interval_s))
        pace.interval_s += _LEARNING_RATE * (bounded_s - pace.interval_s)
        pace.observed_at = now

    def slowness(
        self, replica_ids: Iterable[str], now: float
    ) -> dict[str, float]:
        """Returns how slow replicas are, by id, relative to their median.

        Args:
            replica_ids: Replicas of one service.
            now: Event loop time in seconds.

        Returns:
            Multiples of the median interval, rounded; 1 where unknown.
        """
        known = {
            replica_id: pace.interval_s
            for replica_id in replica_ids
            if (pace := self._pace_by_id.get(replica_id)) is not None
            and now - pace.observed_at <= _MAX_AGE_S
        }
        if not known:
            return {}
        median = statistics.median(known.values())
        return {
            replica_id: min(
                _MAX_SLOWNESS, _STEP * round(interval_s / median / _STEP)
            )
            for replica_id, interval_s in known.items()
        }
