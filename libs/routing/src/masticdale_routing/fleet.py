"""Known replicas, and the choice of one for a request."""

import collections
import random
from collections.abc import Iterable

from masticdale_common import hashing
from masticdale_routing.call_paces import CallPaces
from masticdale_routing.failures import ReplicaFailures
from masticdale_routing.replicas import Replica, ReplicaState, ReportedLoad

__all__ = ["Fleet", "Replica", "ReplicaState", "ReportedLoad"]

# Utilization of a key's first replica at which a request may spill over to the
# key's second replica. Below it, batching slows each token only slightly,
# whereas a program that moves has its whole prompt computed again.
_SPILL_SHARE = 0.5
# Utilization added to a replica in another failure domain when replicas are
# compared for requests without a key; it stands for the network latency: about
# 2 ms, against some 20 ms of work for each request in a queue of six slots.
_OTHER_DOMAIN_PENALTY = 0.12
# Utilization added to a replica that has failed recently. Another one is
# chosen unless it is so busy that requests would have to wait there.
_FAILED_PENALTY = 0.7
# How long a replica that has failed is avoided, in seconds. Requests that may
# be repeated return first: if they fail too, no other request is lost.
_AVOID_REPEATABLE_S = 1.5
_AVOID_UNREPEATABLE_S = 6.0


class Fleet:
    """The known replicas, indexed by id and by service.

    Attributes:
        failures: Recent failures of replicas, also at other hosts.
        call_paces: Durations of unary calls.
    """

    def __init__(self, failure_domain: str, seed: int | None = None) -> None:
        self.failures = ReplicaFailures()
        self.call_paces = CallPaces()
        self._failure_domain = failure_domain
        self._random = random.Random(seed)
        # Separate, so that reports do not change the choices made without them.
        self._jitter = random.Random(seed)
        self._state_by_id: dict[str, ReplicaState] = {}
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

    def put(self, replica: Replica) -> None:
        """Adds or updates a replica.

        A replica that restarted under the same id has lost its cache and its
        requests, so its state is replaced too.
        """
        state = self._state_by_id.get(replica.id)
        if state is not None and state.replica.service != replica.service:
            self.remove(replica.id)
        if state is None or _is_restarted(state.replica, replica):
            if state is not None:
                state.is_listed = False
            state = ReplicaState(replica, self.failures, self._jitter)
        state.replica = replica
        self._state_by_id[replica.id] = state
        self._state_by_id_by_service[replica.service][replica.id] = state

    def remove(self, replica_id: str) -> None:
        """Removes a replica; an unknown id is ignored."""
        state = self._state_by_id.pop(replica_id, None)
        if state is not None:
            state.is_listed = False
            del self._state_by_id_by_service[state.replica.service][replica_id]

    def find(self, replica_id: str) -> ReplicaState | None:
        """Returns the state of a replica, or None if it is not listed."""
        return self._state_by_id.get(replica_id)

    def eligible(
        self, service: str, excluded: Iterable[str] = ()
    ) -> list[ReplicaState]:
        """Returns the service's replicas that are not draining or excluded."""
        excluded_ids = set(excluded)
        state_by_id = self._state_by_id_by_service.get(service, {})
        return [
            state
            for replica_id, state in state_by_id.items()
            if replica_id not in excluded_ids and not state.replica.is_draining
        ]

    def healthy(
        self, service: str, now: float, excluded: Iterable[str] = ()
    ) -> list[ReplicaState]:
        """Returns the eligible replicas whose circuits admit requests.

        If all circuits are open, they are ignored: refusing every request
        would also refuse those that some replica can serve.
        """
        states = self.eligible(service, excluded)
        return [s for s in states if s.circuit.allows(now)] or states

    def reports_slowdown(self, service: str) -> bool:
        """Returns whether a replica of a service has reported a slowdown."""
        state_by_id = self._state_by_id_by_service.get(service, {})
        return any(state.reports_slowdown for state in state_by_id.values())

    def paces(self, service: str, now: float) -> dict[str, float]:
        """Returns the pace of each replica of a service, by id.

        The pace is the duration of unary calls relative to the median replica.
        """
        states = self._state_by_id_by_service.get(service, {}).values()
        pace_by_incarnation = self.call_paces.pace_by_replica(
            (state.replica.incarnation for state in states), now
        )
        return {
            state.replica.id: pace_by_incarnation[state.replica.incarnation]
            for state in states
        }

    def expected_call_s(self, service: str, route: str) -> float:
        """Returns the usual duration of a route's calls; 0 if unknown."""
        states = self._state_by_id_by_service.get(service, {}).values()
        return self.call_paces.expected_s(
            route, (state.replica.incarnation for state in states)
        )

    def room_in_s(
        self, service: str, now: float, excluded: Iterable[str] = ()
    ) -> float | None:
        """Returns when a replica may have a free slot.

        Args:
            service: Name of the service.
            now: Event loop time in seconds.
            excluded: Ids of replicas to skip.

        Returns:
            Seconds, 0 if one may have room now; None without a usable replica.
        """
        return min(
            (s.full_for_s(now) for s in self.healthy(service, now, excluded)),
            default=None,
        )

    def shortest_queue_s(self, service: str, now: float) -> float:
        """Returns the shortest wait that a service's replicas predict."""
        states = self.healthy(service, now)
        return min((state.queue_s(now) for state in states), default=0.0)

    def count_full(self, service: str, now: float) -> int:
        """Returns the number of a service's replicas believed full."""
        return sum(s.full_for_s(now) > 0 for s in self.eligible(service))

    def count_slots(self, service: str) -> int:
        """Returns the number of slots of all usable replicas of a service."""
        return sum(max(1, s.replica.slots) for s in self.eligible(service))

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
    ) -> ReplicaState | None:
        """Chooses a replica for a request.

        Args:
            service: Name of the service.
            key: Affinity key, such as a program's id; requests of one key go
                to the replica that caches their prefix. None for stateless
                requests, which go to the replica with the earliest expected
                finish if replicas of the service report their slowdown, else
                to the least utilized.
            now: Event loop time in seconds.
            excluded: Ids of replicas to skip.
            assigned_id: Id of the replica that a shard owner has assigned;
                empty for none. It is chosen unless it is skipped or its
                circuit is open.
            may_be_repeated: Whether a request that fails at the replica may be
                sent again; others avoid failing replicas for longer.
            isolation_key: Key of a request that may end replicas; all requests
                with the same key go to one replica. Empty for other requests.

        Returns:
            The chosen replica, or None if the service has no eligible one.
        """
        healthy = self.healthy(service, now, excluded)
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
            if self.reports_slowdown(service):
                return self._choose_earliest_finish(healthy, avoided_s, now)
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

    def _choose_earliest_finish(
        self, states: list[ReplicaState], avoided_s: float, now: float
    ) -> ReplicaState:
        """Chooses by the expected finish, in usual durations of a call.

        A replica that may have room goes before a full one, and one that has
        not failed lately before one that has: its pace says nothing then.
        """
        pace_by_id = self.paces(states[0].replica.service, now)

        def cost(state: ReplicaState) -> tuple[bool, bool, float]:
            replica = state.replica
            work = 1 + state.requests_per_slot(now)
            finish = work * pace_by_id[replica.id] * state.slowdown(now)
            if replica.failure_domain != self._failure_domain:
                finish += _OTHER_DOMAIN_PENALTY
            return (
                state.full_for_s(now) > 0,
                self.failures.has_failed(replica.id, avoided_s, now),
                finish,
            )

        order = self._random.sample(states, len(states))
        return min(order, key=cost)


def _is_restarted(old: Replica, new: Replica) -> bool:
    return old.started_at_ms != new.started_at_ms or (
        old.address,
        old.port,
    ) != (
        new.address,
        new.port,
    )
