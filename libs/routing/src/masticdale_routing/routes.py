"""Routes and services of one configuration, and the choice of a route."""

import dataclasses
import enum
from collections.abc import Iterable

import xxhash


class RouteKind(enum.StrEnum):
    """What may be repeated of a route's requests."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non_idempotent"
    STREAMING = "streaming"


@dataclasses.dataclass(frozen=True, slots=True)
class WeightedService:
    """A service that takes a share of a route's requests.

    Attributes:
        service: Name of the service.
        weight: Its share, relative to the other services of the route.
    """

    service: str
    weight: int


@dataclasses.dataclass(frozen=True, slots=True)
class Route:
    """How requests of one host and path prefix are handled.

    Attributes:
        name: Unique in a configuration.
        host: Value of the Host field, in lowercase.
        path_prefix: Begins and ends with a slash.
        kind: What may be repeated.
        timeout_s: After this long the caller gets its final answer.
        latency_objective_s: Within this long an answer is on time.
        priority: 0 is the most urgent.
        services: Who serves it; at least one.
        max_attempts: Replicas that may run one request, at most.
        is_resumable: Whether a broken stream may go on at another replica.
    """

    name: str
    host: str
    path_prefix: str
    kind: RouteKind
    timeout_s: float
    latency_objective_s: float
    priority: int
    services: tuple[WeightedService, ...]
    max_attempts: int
    is_resumable: bool

    def service_for(self, key: str) -> str:
        """Returns the service for a key, the same one for the same key."""
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
    """A group of replicas that serve the same.

    Attributes:
        name: Name of the service.
        max_connections: Connections one replica accepts from all hosts.
        tokens_per_event: Output tokens of one stream event; 0 where the
            service is no model.
    """

    name: str
    max_connections: int
    tokens_per_event: int = 0


class RouteTable:
    """Finds the route of a request."""

    def __init__(self, routes: Iterable[Route]) -> None:
        self._route_by_prefix_by_host: dict[str, dict[str, Route]] = {}
        for route in routes:
            by_prefix = self._route_by_prefix_by_host.setdefault(route.host, {})
            by_prefix[route.path_prefix] = route

    def find(self, host: str, path: str) -> Route | None:
        """Returns the host's route with the longest prefix of the path."""
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
    """What a caller may send, as the operator has set it.

    Attributes:
        header_bytes: Bytes of request line and headers.
        body_bytes: Bytes of a body.
        header_timeout_s: From the first byte of a request to its end.
        idle_timeout_s: Between two requests of one connection.
    """

    header_bytes: int
    body_bytes: int
    header_timeout_s: float
    idle_timeout_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class Configuration:
    """One version of what the operator wants.

    Attributes:
        version: Grows with each change.
        table: Its routes.
        service_by_name: Its services.
        limits: What callers may send.
    """

    version: int
    table: RouteTable
    service_by_name: dict[str, Service]
    limits: CallerLimits
