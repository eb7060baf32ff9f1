"""Software versions of replicas, and where streams began.

Replicas of several software versions may serve side by side. What two of them
write doesn't fit together, so a stream may only go on at the version that began
it, also where its caller resumes it through another host.
"""

import dataclasses
from collections.abc import Callable, Iterable

from masticdale_routing.fleet import Fleet
from masticdale_routing.routes import RouteTable

# The ``lifetime_s`` of streams before a configuration tells it, in seconds.
_DEFAULT_LIFETIME_S = 30.0


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
    """

    request_id: str
    service_name: str
    software_version: str
    replica_id: str = ""
    session_key: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class KnownVersions:
    """What a host knows of the versions of a service.

    Attributes:
        versions: Those that replicas had within the lifetime of a stream.
        is_complete: Whether no other version can have served in that time.
    """

    versions: frozenset[str] = frozenset()
    is_complete: bool = False

    @property
    def sole_version(self) -> str | None:
        """The version of every stream that may be resumed; None if unknown."""
        if not self.is_complete or len(self.versions) != 1:
            return None
        return next(iter(self.versions))

    def union(self, other: "KnownVersions") -> "KnownVersions":
        """Returns what two hosts know together."""
        return KnownVersions(
            self.versions | other.versions,
            self.is_complete or other.is_complete,
        )


class VersionHistory:
    """The versions that this host has seen in the list of replicas."""

    def __init__(
        self,
        fleet: Fleet,
        table: Callable[[], RouteTable | None],
        is_fresh: Callable[[], bool],
    ) -> None:
        """Initializes the history of a list that has not been read.

        Args:
            fleet: The replicas.
            table: Returns the routes, or None before the first configuration.
            is_fresh: Returns whether changes of the list reach this host.
        """
        self._fleet = fleet
        self._table = table
        self._is_fresh = is_fresh
        self._watched_since: float | None = None
        self._current: set[tuple[str, str]] = set()
        self._gone_at: dict[tuple[str, str], float] = {}

    @property
    def lifetime_s(self) -> float:
        """Time within which callers resume a stream, in seconds."""
        table = self._table()
        return table.stream_lifetime_s if table else _DEFAULT_LIFETIME_S

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
            if now - gone_at < self.lifetime_s
        }

    def known(self, service: str, now: float) -> KnownVersions:
        """Returns what this host knows of the versions of a service."""
        listed: Iterable[tuple[str, str]] = self._current
        recent = {
            pair
            for pair, gone_at in self._gone_at.items()
            if now - gone_at < self.lifetime_s
        }
        versions = frozenset(
            version for name, version in recent.union(listed) if name == service
        )
        return KnownVersions(versions, self._is_complete(now))

    def _is_complete(self, now: float) -> bool:
        if self._watched_since is None or not self._is_fresh():
            return False
        return now - self._watched_since >= self.lifetime_s
