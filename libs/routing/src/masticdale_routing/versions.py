"""Software versions of replicas, and where streams began.

Replicas of several software versions may serve side by side. What two of them
write doesn't fit together, so a stream may only go on at the version that began
it, also where its caller resumes it through another host.
"""

import dataclasses
import math
from collections.abc import Callable, Mapping

from masticdale_routing.fleet import Fleet
from masticdale_routing.routes import RouteTable

# The ``lifetime_s`` of streams before a configuration tells it, in seconds.
_DEFAULT_LIFETIME_S = 30.0
# Shortest time for which callers are taken to hold a stream, in seconds. Longer
# ones are recorded for hosts that start later; most deadlines are shorter.
MIN_HOLD_S = 8.0
# Longest such time, in seconds. One caller with an endless deadline would
# otherwise end all inference from the list of replicas.
MAX_HOLD_S = 4096.0
# Time for which a replica that has left the list may still begin streams, since
# hosts hear of it late and it serves on while it drains, in seconds.
_LIST_LAG_S = 2.0


def hold_s(deadline_s: float) -> float:
    """Returns for how long a caller can hold a stream.

    A host that has watched the list of replicas for this time has seen the
    version that began the stream.

    Args:
        deadline_s: Seconds that the caller waits from its request on.
    """
    return min(deadline_s + _LIST_LAG_S, MAX_HOLD_S)


@dataclasses.dataclass(frozen=True, slots=True)
class StreamOrigin:
    """Where the first event of a stream came from.

    Attributes:
        request_id: The caller's request that brought it.
        service_name: The service that runs it.
        software_version: Version of the replica's software.
        replica_id: The replica; empty if unknown.
        session_key: Names the session that it belongs to; empty for none. The
            streams of a session follow one another.
        hold_s: For how long its caller can hold the stream, in seconds; 0 if
            unknown.
    """

    request_id: str
    service_name: str
    software_version: str
    replica_id: str = ""
    session_key: str = ""
    hold_s: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class KnownVersions:
    """What a host knows of the versions of a service.

    Attributes:
        age_by_version: Seconds since each version was last listed; 0 for those
            that are listed. Versions older than ``MAX_HOLD_S`` are left out.
        watched_s: For how long the list has been watched without a gap, in
            seconds. No other version was listed in that time.
    """

    age_by_version: Mapping[str, float] = dataclasses.field(
        default_factory=dict
    )
    watched_s: float = 0.0

    def versions(self, within_s: float) -> frozenset[str]:
        """Returns the versions that were listed within the last seconds."""
        return frozenset(
            version
            for version, age_s in self.age_by_version.items()
            if age_s < within_s
        )

    def sole_version(self, within_s: float) -> str | None:
        """Returns the version of every stream of the last seconds.

        Args:
            within_s: The time in question.

        Returns:
            The version; None if there were several, or if there may have been.
        """
        versions = self.versions(within_s)
        if self.watched_s < within_s or len(versions) != 1:
            return None
        return next(iter(versions))

    def union(self, other: "KnownVersions") -> "KnownVersions":
        """Returns what two hosts know together.

        The watched times are not added: the list may have changed unseen
        between them.
        """
        ages = dict(self.age_by_version)
        for version, age_s in other.age_by_version.items():
            ages[version] = min(age_s, ages.get(version, age_s))
        return KnownVersions(ages, max(self.watched_s, other.watched_s))


class VersionHistory:
    """The versions that this host has seen in the list of replicas."""

    def __init__(
        self,
        fleet: Fleet,
        table: Callable[[], RouteTable | None],
        is_fresh: Callable[[], bool],
        last_gap_at: Callable[[], float] = lambda: -math.inf,
    ) -> None:
        """Initializes the history of a list that has not been read.

        Args:
            fleet: The replicas.
            table: Returns the routes, or None before the first configuration.
            is_fresh: Returns whether changes of the list reach this host.
            last_gap_at: Returns the event loop time, in seconds, at which the
                list was last out of date.
        """
        self._fleet = fleet
        self._table = table
        self._is_fresh = is_fresh
        self._last_gap_at = last_gap_at
        self._watched_since: float | None = None
        self._current: set[tuple[str, str]] = set()
        self._gone_at: dict[tuple[str, str], float] = {}

    @property
    def lifetime_s(self) -> float:
        """Time within which most callers resume a stream, in seconds."""
        table = self._table()
        if table is None:
            return _DEFAULT_LIFETIME_S
        return max(table.stream_lifetime_s, MIN_HOLD_S)

    def update(self, now: float) -> None:
        """Takes over a change of the list, or of whether it is up to date.

        Args:
            now: Event loop time in seconds.
        """
        if not self._is_fresh():
            # A version may come and go unseen.
            self._watched_since = None
        elif self._watched_since is None:
            self._watched_since = now
        listed = {
            (replica.service, replica.software_version)
            for replica in self._fleet.replicas()
        }
        for gone in self._current - listed:
            self._gone_at[gone] = now
        self._current = listed
        self._gone_at = {
            pair: gone_at
            for pair, gone_at in self._gone_at.items()
            if now - gone_at < MAX_HOLD_S
        }

    def known(self, service: str, now: float) -> KnownVersions:
        """Returns what this host knows of the versions of a service."""
        ages = {
            version: now - gone_at
            for (name, version), gone_at in self._gone_at.items()
            if name == service and now - gone_at < MAX_HOLD_S
        }
        ages |= {
            version: 0.0 for name, version in self._current if name == service
        }
        return KnownVersions(ages, self._watched_s(now))

    def _watched_s(self, now: float) -> float:
        if self._watched_since is None or not self._is_fresh():
            return 0.0
        return now - max(self._watched_since, self._last_gap_at())
