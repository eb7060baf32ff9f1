"""The replicas that are known, and the choice of one for a request."""

import dataclasses
import random
from collections.abc import Iterable

from masticdale_common import hashing
from masticdale_routing.retries import CircuitBreaker, CircuitBreakerSettings

# A streaming replica takes programs by hash until this share of its slots is
# busy with requests of this host; then the program's second choice is weighed.
# Batching slows each token only slightly below it, and a program that moves
# has its whole prompt read again.
_SPILL_SHARE = 0.5
# What a hop to another failure domain counts in the comparison of two plain
# replicas, as a share of their slots: about 2 ms of way against some 20 ms of
# work for each request ahead in a queue of six slots.
_OTHER_DOMAIN_PENALTY = 0.12
# A replica that still warms up counts as this much busier, as a share.
_COLD_PENALTY = 0.5
# Reported load older than this says nothing about now, in seconds.
_LOAD_REPORT_MAX_AGE_S = 0.5
# A replica that failed several calls in a row is left out for half a second,
# then tried with one call; doubles to four seconds. Short against the time in
# which a restarted replica is back.
_CIRCUIT_SETTINGS = CircuitBreakerSettings(
    failures_to_open=2, initial_open_s=0.5, max_open_s=4.0
)


@dataclasses.dataclass(frozen=True, slots=True)
class Replica:
    """What the platform's list says of one replica.

    Attributes:
        id: New at each start, or the same with another ``born_ms``.
        service: The service that it serves.
        host: Its IP address.
        port: Its port.
        failure_domain: Where it runs.
        slots: Requests that it runs at once.
        is_draining: It takes no new work.
        cold_ms: How much longer it is slow after its start.
        born_ms: Wall milliseconds of its start; 0 where it doesn't tell.
    """

    id: str
    service: str
    host: str
    port: int
    failure_domain: str
    slots: int
    is_draining: bool
    warmup_remaining_ms: float = 0.0
    started_at_ms: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class ReportedLoad:
    """What a replica's answer said of its load.

    Attributes:
        running: Requests that ran.
        waiting: Requests that waited.
        at: Loop seconds of the answer.
    """

    running: int
    waiting: int
    at: float


class ReplicaState:
    """What this host knows of a replica by its own requests.

    Attributes:
        replica: The newest entry of the list.
        in_flight: Requests of this host that are there now.
        circuit: Leaves the replica out after failures.
    """

    def __init__(self, replica: Replica) -> None:
        self.replica = replica
        self.in_flight = 0
        self.circuit = CircuitBreaker(_CIRCUIT_SETTINGS)
        self._load: ReportedLoad | None = None

    def record_load(self, load: ReportedLoad) -> None:
        """Takes what an answer said of the replica's load."""
        self._load = load

    def utilization(self, now: float) -> float:
        """Returns the share of its slots that are taken, as far as known."""
        busy = self.in_flight
        if (
            self._load is not None
            and now - self._load.at < _LOAD_REPORT_MAX_AGE_S
        ):
            busy = max(busy, self._load.running + self._load.waiting)
        share = busy / max(1, self.replica.slots)
        return share + (
            _COLD_PENALTY if self.replica.warmup_remaining_ms > 0 else 0
        )


class Fleet:
    """All replicas by id, and by service."""

    def __init__(self, failure_domain: str, seed: int | None = None) -> None:
        self._failure_domain = failure_domain
        self._random = random.Random(seed)
        self._state_by_id: dict[str, ReplicaState] = {}
        self._ids_by_service: dict[str, list[str]] = {}

    def __len__(self) -> int:
        return len(self._state_by_id)

    def replicas(self) -> list[Replica]:
        """Returns the entries that are known."""
        return [state.replica for state in self._state_by_id.values()]

    def states(self) -> Iterable[ReplicaState]:
        """Returns what is known of each replica."""
        return self._state_by_id.values()

    def put(self, replica: Replica) -> None:
        """Takes a new or changed entry.

        A replica that was started again under its id knows nothing of what
        it held, so what was learned of it is dropped with it.
        """
        state = self._state_by_id.get(replica.id)
        if state is None or _is_restarted(state.replica, replica):
            self._state_by_id[replica.id] = ReplicaState(replica)
        else:
            state.replica = replica
        self._rebuild_index()

    def remove(self, replica_id: str) -> None:
        """Forgets a replica."""
        if self._state_by_id.pop(replica_id, None) is not None:
            self._rebuild_index()

    def usable(
        self, service: str, excluded: Iterable[str] = ()
    ) -> list[ReplicaState]:
        """Returns the replicas that may be sent new work."""
        excluded_ids = set(excluded)
        states = [
            self._state_by_id[i]
            for i in self._ids_by_service.get(service, ())
            if i not in excluded_ids
        ]
        return [s for s in states if not s.replica.is_draining]

    def choose(
        self,
        service: str,
        key: str | None,
        now: float,
        excluded: Iterable[str] = (),
    ) -> ReplicaState | None:
        """Chooses a replica for a request.

        Args:
            service: The service to run it.
            key: What its prompt belongs to, such as a program's id: the same
                key goes to the same replica, which holds its prefix. None
                for requests without state: they go where least waits.
            now: Loop seconds.
            excluded: Ids of replicas that are not to be taken.

        Returns:
            The choice, or None if no replica is left.
        """
        states = self.usable(service, excluded)
        # If every replica fails, leaving all of them out would refuse what
        # some of them may serve: then failures are not looked at.
        healthy = [s for s in states if s.circuit.allows(now)] or states
        if not healthy:
            return None
        if key is None:
            return self._choose_least_utilized(healthy, now)
        return self._choose_by_key(healthy, key, now)

    def _choose_by_key(
        self, states: list[ReplicaState], key: str, now: float
    ) -> ReplicaState:
        state_by_id = {s.replica.id: s for s in states}
        ranked = hashing.rank(key, state_by_id)
        first = state_by_id[ranked[0]]
        if len(ranked) == 1 or first.utilization(now) < _SPILL_SHARE:
            return first
        second = state_by_id[ranked[1]]
        if second.utilization(now) + _SPILL_SHARE / 2 < first.utilization(now):
            return second
        return first

    def _choose_least_utilized(
        self, states: list[ReplicaState], now: float
    ) -> ReplicaState:
        def cost(state: ReplicaState) -> float:
            is_local = state.replica.failure_domain == self._failure_domain
            return state.utilization(now) + (
                0.0 if is_local else _OTHER_DOMAIN_PENALTY
            )

        order = self._random.sample(states, len(states))
        return min(order, key=cost)

    def _rebuild_index(self) -> None:
        self._ids_by_service = {}
        for replica_id, state in sorted(self._state_by_id.items()):
            service = state.replica.service
            self._ids_by_service.setdefault(service, []).append(replica_id)


def _is_restarted(old: Replica, new: Replica) -> bool:
    return old.started_at_ms != new.started_at_ms or (old.host, old.port) != (
        new.host,
        new.port,
    )
