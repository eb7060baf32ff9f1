"""Known replicas, and the choice of one for a request."""

import collections
import dataclasses
import math
import random
from collections.abc import Iterable

from masticdale_common import hashing
from masticdale_routing.failures import ReplicaFailures
from masticdale_routing.retries import CircuitBreaker, CircuitBreakerSettings

# Utilization of a key's first replica at which a request may spill over to the
# key's second replica. Below it, batching slows each token only slightly,
# whereas a program that moves has its whole prompt computed again.
_SPILL_SHARE = 0.5
# Utilization added to a replica in another failure domain when replicas are
# compared for requests without a key; it stands for the network latency: about
# 2 ms, against some 20 ms of work for each request in a queue of six slots.
_OTHER_DOMAIN_PENALTY = 0.12
# Utilization added to a replica that is still warming up.
_COLD_PENALTY = 0.5
# Utilization added to a replica that has failed recently. Another one is
# chosen unless it is so busy that requests would have to wait there.
_FAILED_PENALTY = 0.7
# How long a replica that has failed is avoided, in seconds. Requests that may
# be repeated return first: if they fail too, no other request is lost.
_AVOID_REPEATABLE_S = 1.5
_AVOID_UNREPEATABLE_S = 6.0
# Time for which a replica that has begun to drain still gets requests that no
# other one may run, in seconds. It serves two seconds longer.
_DRAINING_USE_S = 1.0
# Replicas remembered that have drained and are no longer listed.
_MAX_DRAINED = 10_000
# Reported load older than this, in seconds, is ignored.
_LOAD_REPORT_MAX_AGE_S = 0.5
# The open periods are short compared with a replica's restart, so that a
# restarted replica gets requests soon.
_CIRCUIT_SETTINGS = CircuitBreakerSettings(
    failures_to_open=2, initial_open_s=0.5, max_open_s=4.0
)

# What tells one process of a replica from another.
_Process = tuple[str, str, int, str, int, str]


@dataclasses.dataclass(frozen=True, slots=True)
class Replica:
    """A replica as the platform lists it.

    Attributes:
        id: Changes with each start, unless ``started_at_ms`` changes instead.
        service: Name of its service.
        address: Its IP address.
        port: Its port.
        failure_domain: Its failure domain.
        slots: Requests that it runs concurrently.
        is_draining: Whether it takes no new requests.
        warmup_remaining_ms: Time until it reaches its full speed.
        started_at_ms: Unix time of its start in milliseconds; 0 if unknown.
        software_version: Version of its software, which is not that of the
            model's weights; empty if unknown.
    """

    id: str
    service: str
    address: str
    port: int
    failure_domain: str
    slots: int
    is_draining: bool
    warmup_remaining_ms: float = 0.0
    started_at_ms: int = 0
    software_version: str = ""

    @property
    def incarnation(self) -> str:
        """Identifies one start of the replica; an id may be used again."""
        return f"{self.id}/{self.started_at_ms}"


@dataclasses.dataclass(frozen=True, slots=True)
class ListState:
    """How old the list of replicas of this host is.

    Attributes:
        position: Position of the store that it reflects.
        age_s: Seconds since the store was known to hold nothing newer.
    """

    position: int = 0
    age_s: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class ReportedLoad:
    """Load that a replica reported with a response.

    Attributes:
        running: Requests in progress.
        waiting: Requests in its queue.
        at: Event loop time of the response, in seconds.
    """

    running: int
    waiting: int
    at: float


class ReplicaState:
    """A replica's state as seen by this host's own requests.

    Attributes:
        replica: The latest entry of the platform's list.
        in_flight: Requests of this host in progress at the replica.
        circuit: Its circuit breaker.
        is_listed: Whether the platform's list still has this process.
        draining_since: Event loop time at which it was seen to begin draining,
            in seconds; None if it does not drain or that was not seen.
    """

    def __init__(
        self, replica: Replica, failures: ReplicaFailures | None = None
    ) -> None:
        self.replica = replica
        self._failures = failures or ReplicaFailures()
        self.in_flight = 0
        self.circuit = CircuitBreaker(_CIRCUIT_SETTINGS)
        self.is_listed = True
        self.draining_since: float | None = None
        self._load: ReportedLoad | None = None

    @property
    def is_leaving(self) -> bool:
        """Whether the platform has announced the end of this process."""
        return self.replica.is_draining or not self.is_listed

    def record_failure(
        self, now: float, *, is_replica_fault: bool = True
    ) -> None:
        """Records a request that failed at the replica.

        Args:
            now: Event loop time in seconds.
            is_replica_fault: Whether other hosts should learn of it. A request
                that takes longer than its own deadline says nothing about the
                replica; if it counted, all replicas would look alike soon.
        """
        self.circuit.record_failure(now)
        if is_replica_fault:
            self._failures.record(self.replica.id, now)

    def record_load(self, load: ReportedLoad) -> None:
        """Records the latest reported load."""
        self._load = load

    def utilization(self, now: float) -> float:
        """Returns the estimated share of busy slots; may exceed 1.

        It is based on the larger of this host's requests and the replica's own
        report, if recent, plus a penalty during warm-up.
        """
        busy = self.in_flight
        if (
            self._load is not None
            and now - self._load.at < _LOAD_REPORT_MAX_AGE_S
        ):
            busy = max(busy, self._load.running + self._load.waiting)
        return busy / max(1, self.replica.slots) + self.warmup_penalty

    def is_usable_for(self, service: str, now: float) -> bool:
        """Whether it runs requests of a service and its circuit admits one."""
        replica = self.replica
        return (
            replica.service == service
            and not replica.is_draining
            and self.circuit.allows(now)
        )

    @property
    def warmup_penalty(self) -> float:
        """Utilization to add while the replica is warming up, else 0."""
        return _COLD_PENALTY if self.replica.warmup_remaining_ms > 0 else 0.0


class Fleet:
    """The known replicas, indexed by id and by service.

    Attributes:
        failures: Recent failures of replicas, also at other hosts.
    """

    def __init__(self, failure_domain: str, seed: int | None = None) -> None:
        self.failures = ReplicaFailures()
        self._failure_domain = failure_domain
        self._random = random.Random(seed)
        self._state_by_id: dict[str, ReplicaState] = {}
        self._drained: dict[_Process, None] = {}
        self._state_by_id_by_service: dict[str, dict[str, ReplicaState]] = (
            collections.defaultdict(dict)
        )

    def __len__(self) -> int:
        return len(self._state_by_id)

    def replicas(self) -> list[Replica]:
        """Returns the listed replicas."""
        return [state.replica for state in self._state_by_id.values()]

    def states(self) -> Iterable[ReplicaState]:
        """Returns the state of each replica."""
        return self._state_by_id.values()

    def put(self, replica: Replica, now: float = -math.inf) -> ReplicaState:
        """Adds or updates a replica.

        A replica that restarted under the same id has lost its cache and its
        requests, so its state is replaced too. One that drains stays so until
        its process ends: a write that it made before may reach the store last.

        Args:
            replica: The entry of the platform's list.
            now: Event loop time in seconds.

        Returns:
            Its state, which may say that it drains although the entry does not.
        """
        state = self._state_by_id.get(replica.id)
        if not replica.is_draining and self._has_drained(replica, state):
            replica = dataclasses.replace(replica, is_draining=True)
        if state is not None and state.replica.service != replica.service:
            self.remove(replica.id)
        if state is None or _is_restarted(state.replica, replica):
            if state is not None:
                state.is_listed = False
            state = ReplicaState(replica, self.failures)
        elif replica.is_draining and not state.replica.is_draining:
            state.draining_since = now
        state.replica = replica
        self._state_by_id[replica.id] = state
        self._state_by_id_by_service[replica.service][replica.id] = state
        return state

    def remove(self, replica_id: str) -> None:
        """Removes a replica; an unknown id is ignored."""
        state = self._state_by_id.pop(replica_id, None)
        if state is None:
            return
        state.is_listed = False
        del self._state_by_id_by_service[state.replica.service][replica_id]
        if state.replica.is_draining:
            self._drained[_process(state.replica)] = None
            if len(self._drained) > _MAX_DRAINED:
                del self._drained[next(iter(self._drained))]

    def _has_drained(
        self, replica: Replica, state: ReplicaState | None
    ) -> bool:
        if state is not None and not _is_restarted(state.replica, replica):
            return state.replica.is_draining
        return _process(replica) in self._drained

    def find(self, replica_id: str) -> ReplicaState | None:
        """Returns the state of a replica, or None if it is not listed."""
        return self._state_by_id.get(replica_id)

    def eligible(
        self,
        service: str,
        excluded: Iterable[str] = (),
        software_version: str | None = None,
    ) -> list[ReplicaState]:
        """Returns the service's replicas that are not draining or excluded.

        Args:
            service: Name of the service.
            excluded: Ids of replicas to skip.
            software_version: The only version to return; None for any.
        """
        return [
            state
            for state in self._states_of(service, excluded, software_version)
            if not state.replica.is_draining
        ]

    def healthy(
        self,
        service: str,
        now: float,
        excluded: Iterable[str] = (),
        software_version: str | None = None,
    ) -> list[ReplicaState]:
        """Returns the eligible replicas whose circuits admit requests.

        If all circuits are open, they are ignored: refusing every request
        would also refuse those that some replica can serve. If all replicas of
        the one version that may run a request drain, those that have begun to
        a moment ago are returned.
        """
        states = self.eligible(service, excluded, software_version)
        if not states and software_version is not None:
            states = [
                state
                for state in self._states_of(
                    service, excluded, software_version
                )
                if state.draining_since is not None
                and now - state.draining_since < _DRAINING_USE_S
            ]
        return [s for s in states if s.circuit.allows(now)] or states

    def _states_of(
        self,
        service: str,
        excluded: Iterable[str],
        software_version: str | None,
    ) -> list[ReplicaState]:
        excluded_ids = set(excluded)
        state_by_id = self._state_by_id_by_service.get(service, {})
        return [
            state
            for replica_id, state in state_by_id.items()
            if replica_id not in excluded_ids
            and software_version in (None, state.replica.software_version)
        ]

    def choose(
        self,
        service: str,
        key: str | None,
        now: float,
        excluded: Iterable[str] = (),
        assigned_id: str = "",
        *,
        may_be_repeated: bool = True,
        isolation_key: str = "",
        software_version: str | None = None,
    ) -> ReplicaState | None:
        """Chooses a replica for a request.

        Args:
            service: Name of the service.
            key: Affinity key, such as a program's id; requests of one key go
                to the replica that caches their prefix. None for stateless
                requests, which go to the least utilized replica.
            now: Event loop time in seconds.
            excluded: Ids of replicas to skip.
            assigned_id: Id of the replica that a shard owner has assigned;
                empty for none. It is chosen unless it is skipped or its
                circuit is open.
            may_be_repeated: Whether a request that fails at the replica may be
                sent again; others avoid failing replicas for longer.
            isolation_key: Key of a request that may end replicas; all requests
                with the same key go to one replica. Empty for other requests.
            software_version: The only version that may run the request; None
                for any.

        Returns:
            The chosen replica, or None if the service has no eligible one.
        """
        healthy = self.healthy(service, now, excluded, software_version)
        if not healthy:
            return None
        if isolation_key:
            state_by_id = {s.replica.id: s for s in healthy}
            ranked = hashing.rendezvous_rank(isolation_key, state_by_id)
            return state_by_id[ranked[0]]
        for state in healthy:
            if state.replica.id == assigned_id:
                return state
        if key is None:
            avoided_s = (
                _AVOID_REPEATABLE_S
                if may_be_repeated
                else _AVOID_UNREPEATABLE_S
            )
            return self._choose_least_utilized(healthy, avoided_s, now)
        return self._choose_by_key(healthy, key, now)

    def _choose_by_key(
        self, states: list[ReplicaState], key: str, now: float
    ) -> ReplicaState:
        state_by_id = {s.replica.id: s for s in states}
        ranked = hashing.rendezvous_rank(key, state_by_id)
        first = state_by_id[ranked[0]]
        if len(ranked) == 1 or first.utilization(now) < _SPILL_SHARE:
            return first
        second = state_by_id[ranked[1]]
        if second.utilization(now) + _SPILL_SHARE / 2 < first.utilization(now):
            return second
        return first

    def _choose_least_utilized(
        self, states: list[ReplicaState], avoided_s: float, now: float
    ) -> ReplicaState:
        def cost(state: ReplicaState) -> float:
            replica = state.replica
            penalty = 0.0
            if replica.failure_domain != self._failure_domain:
                penalty += _OTHER_DOMAIN_PENALTY
            if self.failures.has_failed(replica.id, avoided_s, now):
                penalty += _FAILED_PENALTY
            return state.utilization(now) + penalty

        order = self._random.sample(states, len(states))
        return min(order, key=cost)


def _process(replica: Replica) -> _Process:
    return (
        replica.id,
        replica.service,
        replica.started_at_ms,
        replica.address,
        replica.port,
        replica.software_version,
    )


def _is_restarted(old: Replica, new: Replica) -> bool:
    return _process(old) != _process(new)
