"""Recent failures of replicas, as the hosts have told each other.

A host alone learns that a replica is failing by losing requests there. Where
many hosts share few replicas, each loses its own. Hosts therefore report
failures to the owners of ledger shards, which pass them on with admissions.
"""

import dataclasses
from collections.abc import Callable, Iterable

# Failures older than this are forgotten, in seconds.
_MAX_AGE_S = 8.0
# Shortest time between two reports of one replica, in seconds. A replica that
# fails all requests would otherwise cause a message for each.
_REPORT_INTERVAL_S = 0.5
# Reports whose times differ by less are of the same failure, in seconds: their
# ages grow on the way.
_SAME_FAILURE_S = 0.1
# Maximum number of replicas passed on at once, the last failed first.
_MAX_REPORTS = 16


@dataclasses.dataclass(frozen=True, slots=True)
class FailureReport:
    """The last known failure of a replica.

    Attributes:
        replica_id: The replica.
        age_s: Seconds since it failed.
    """

    replica_id: str
    age_s: float


class ReplicaFailures:
    """When replicas last failed a request of any host.

    Attributes:
        on_news: Called when ``take_news`` has something to return.
    """

    def __init__(self) -> None:
        self.on_news: Callable[[], None] | None = None
        self._failed_at_by_id: dict[str, float] = {}
        self._failed_before_at_by_id: dict[str, float] = {}
        self._news_at_by_id: dict[str, float] = {}

    def record(self, replica_id: str, now: float) -> None:
        """Records a failure that this host has seen."""
        is_news = not self.has_failed(replica_id, _REPORT_INTERVAL_S, now)
        self._put(replica_id, now)
        if not is_news:
            return
        self._news_at_by_id[replica_id] = now
        if self.on_news is not None:
            self.on_news()

    def merge(self, reports: Iterable[FailureReport], now: float) -> None:
        """Records failures that other hosts have seen."""
        for report in reports:
            self._put(report.replica_id, now - max(0.0, report.age_s))

    def has_failed(self, replica_id: str, within_s: float, now: float) -> bool:
        """Returns whether a replica has failed in the last seconds."""
        failed_at = self._failed_at_by_id.get(replica_id)
        return failed_at is not None and now - failed_at < within_s

    def fails_repeatedly(
        self, replica_id: str, within_s: float, now: float
    ) -> bool:
        """Returns whether a replica has failed twice in the last seconds.

        A single answer that breaks off does not make a replica sick.
        """
        before_at = self._failed_before_at_by_id.get(replica_id)
        return before_at is not None and now - before_at < within_s

    def reports(self, now: float) -> tuple[FailureReport, ...]:
        """Returns the recent failures, to be passed on to another host."""
        self._forget_old(now)
        newest = sorted(
            self._failed_at_by_id.items(), key=lambda item: -item[1]
        )
        return tuple(
            FailureReport(replica_id, now - failed_at)
            for replica_id, failed_at in newest[:_MAX_REPORTS]
        )

    def take_news(self, now: float) -> tuple[FailureReport, ...]:
        """Returns the failures seen here that are not reported yet."""
        news, self._news_at_by_id = self._news_at_by_id, {}
        return tuple(
            FailureReport(replica_id, now - failed_at)
            for replica_id, failed_at in news.items()
        )

    def _put(self, replica_id: str, failed_at: float) -> None:
        known_at = self._failed_at_by_id.get(replica_id)
        if known_at is None:
            # Replicas get a new id with each start.
            self._forget_old(failed_at)
            self._failed_at_by_id[replica_id] = failed_at
        elif failed_at - known_at > _SAME_FAILURE_S:
            self._failed_before_at_by_id[replica_id] = known_at
            self._failed_at_by_id[replica_id] = failed_at

    def _forget_old(self, now: float) -> None:
        for replica_id, failed_at in list(self._failed_at_by_id.items()):
            if now - failed_at > _MAX_AGE_S:
                del self._failed_at_by_id[replica_id]
                self._failed_before_at_by_id.pop(replica_id, None)
