"""Routes and services of a configuration, and the lookup of routes."""

import dataclasses
import enum
from collections.abc import Iterable

import xxhash

from masticdale_workspaces import WorkspaceTable

# Timeouts of a route after which no caller waits any longer.
_DEADLINE_TIMEOUTS = 2


class RouteKind(enum.StrEnum):
    """Whether and how requests of a route may be repeated."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non_idempotent"
    STREAMING = "streaming"


@dataclasses.dataclass(frozen=True, slots=True)
class WeightedService:
    """A service that gets a share of a route's requests.

    Attributes:
        service: Name of the service.
        weight: Weight relative to the other services of the route.
    """

    service: str
    weight: int


@dataclasses.dataclass(frozen=True, slots=True)
class Route:
    """Handling of requests to one virtual host and path prefix.

    Attributes:
        name: Name, unique in a configuration.
        virtual_host: Value of the Host header, in lowercase.
        path_prefix: Path prefix that starts and ends with a slash.
        kind: Whether and how requests may be repeated.
        timeout_s: Time after which the caller gets its final response.
        latency_objective_s: Latency within which a response is on time.
        priority: Priority class; 0 is the most urgent.
        services: Services of the route; at least one.
        max_attempts: Maximum number of attempts at a unary request that may
            have been executed; streams ignore it.
        is_resumable: Whether an interrupted stream may resume, at the same or
            another replica.
        allows_anonymous: Whether requests without an API key are served.
        retention_s: Time for which turns are kept after their end, in seconds;
            None if their histories are not kept.
    """

    name: str
    virtual_host: str
    path_prefix: str
    kind: RouteKind
    timeout_s: float
    latency_objective_s: float
    priority: int
    services: tuple[WeightedService, ...]
    max_attempts: int
    is_resumable: bool
    allows_anonymous: bool = False
    retention_s: float | None = None

    def service_for(self, key: str) -> str:
        """Returns the service for a key; deterministic per key."""
        if len(self.services) == 1:
            return self.services[0].service
        total = sum(s.weight for s in self.services)
        point = xxhash.xxh3_64_intdigest(key.encode()) % max(total, 1)
        for weighted in self.services:
            point -= weighted.weight
            if point < 0:
                return weighted.service
        return self.services[-1].service


@dataclasses.dataclass(frozen=True, slots=True)
class Service:
    """A group of interchangeable replicas.

    Attributes:
        name: Name of the service.
        max_connections: Connections that one replica accepts from all hosts.
        tokens_per_event: Output tokens per stream event; 0 if the service is
            not a model.
    """

    name: str
    max_connections: int
    tokens_per_event: int = 0


class RouteTable:
    """Finds the route of a request by host and path.

    Attributes:
        stream_lifetime_s: Time within which callers resume a stream, in
            seconds; 0 without streams. A caller resumes it until its deadline,
            which may be later than the timeout of its first request.
    """

    def __init__(self, routes: Iterable[Route]) -> None:
        self.stream_lifetime_s = 0.0
        self._route_by_prefix_by_host: dict[str, dict[str, Route]] = {}
        for route in routes:
            if route.kind is RouteKind.STREAMING:
                lifetime_s = _DEADLINE_TIMEOUTS * route.timeout_s
                self.stream_lifetime_s = max(self.stream_lifetime_s, lifetime_s)
            by_prefix = self._route_by_prefix_by_host.setdefault(
                route.virtual_host, {}
            )
            by_prefix[route.path_prefix] = route

    @property
    def longest_retention_s(self) -> float | None:
        """The longest retention of a route, or None if none keeps histories."""
        return max(
            (
                route.retention_s
                for by_prefix in self._route_by_prefix_by_host.values()
                for route in by_prefix.values()
                if route.retention_s is not None
            ),
            default=None,
        )

    def find(self, host: str, path: str) -> Route | None:
        """Returns the host's route with the longest matching path prefix."""
        by_prefix = self._route_by_prefix_by_host.get(host)
        if by_prefix is None:
            return None
        end = path.rfind("/")
        while end >= 0:
            route = by_prefix.get(path[: end + 1])
            if route is not None:
                return route
            end = path.rfind("/", 0, end)
        return None


@dataclasses.dataclass(frozen=True, slots=True)
class CallerLimits:
    """Limits for callers, set by the operator.

    Attributes:
        header_bytes: Maximum size of the request line and headers.
        body_bytes: Maximum size of a body.
        request_timeout_s: Time from the first byte of a request to its end.
        idle_timeout_s: Time between two requests of a connection.
    """

    header_bytes: int
    body_bytes: int
    request_timeout_s: float
    idle_timeout_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class Configuration:
    """One version of the operator's configuration.

    Attributes:
        version: Increases with each change.
        table: The routes.
        service_by_name: The services.
        limits: Limits for callers.
        workspaces: The workspaces; None if callers need no API key.
    """

    version: int
    table: RouteTable
    service_by_name: dict[str, Service]
    limits: CallerLimits
    workspaces: WorkspaceTable | None = None
