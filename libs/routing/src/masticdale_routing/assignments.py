"""Assignment of program turns to replicas by the owner of a ledger shard.

Among hundreds of entry hosts, each host alone sees too few turns to know the
load of a replica. The owner of a shard admits every turn of the shard's
programs, whichever host they arrive at, and so can spread them evenly. If the
owners of all shards do so, the turns of all shards together are spread evenly,
although no owner knows the turns of the others.

Assignments are hints: a host without one chooses a replica by itself.
"""

import collections
import dataclasses
import functools
import math
from collections.abc import Callable

from masticdale_common import hashing
from masticdale_routing.fleet import Fleet, ReplicaState
from masticdale_routing.paces import ReplicaPaces

# Cost by which another replica must be lower for a program's next turn to move
# there, since that one has to read the whole prompt. Costs are multiples of the
# duration of a turn at an idle replica of median speed. Must exceed the time of
# reading, about a third of a turn, and a step by which paces differ by load
# alone: otherwise programs move to and fro under load, and reading adds to it.
_MOVE_MARGIN = 0.75
# The same where the program's own replica is full and the other one idle.
_IDLE_MARGIN = 0.25
# Cost of using all slots of a replica: turns that run together slow each other.
_SHARING_COST = 0.25
# Cost of turns that wait for a slot, for as many as a replica has slots. More
# than the mean wait, since programs are late by their longest waits.
_WAITING_COST = 2.0
# Cost of a replica that fails repeatedly: that of a turn which has to be sent
# again elsewhere.
_FAILING_COST = 1.0
# Time in which two failures make a replica count as failing, in seconds.
_FAILING_PERIOD_S = 3.0
# A turn that failed at a replica counts as in flight there for this long, in
# seconds. Otherwise a replica that fails quickly would look idle and attract
# all new programs.
_FAILURE_PENALTY_S = 2.0
# A turn whose end is not reported counts for this long, in seconds.
_MAX_ASSIGNMENT_AGE_S = 10.0
# Interval at which expired assignments are dropped, in seconds.
_EXPIRY_INTERVAL_S = 0.25
# Interval at which paces are compared, in seconds.
_SLOWNESS_INTERVAL_S = 0.1
# Keys whose ranking of replicas is remembered: the shared prompts in use.
_MAX_CACHED_KEYS = 64
# Programs whose replica is remembered; the least recently assigned is evicted
# first.
_MAX_PROGRAMS = 20_000


@dataclasses.dataclass(frozen=True, slots=True)
class TurnKey:
    """Identifies a turn.

    Attributes:
        shard: Ledger shard of its program.
        program_id: Its program.
        request_id: Its request.
    """

    shard: int
    program_id: str
    request_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class TurnPrompt:
    """What a turn needs of a replica.

    Attributes:
        service: Name of the service that runs it.
        prefix_key: Key of the first part of its prompt, which other programs
            may share; empty if unknown.
    """

    service: str
    prefix_key: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class TurnEnd:
    """How a turn ended.

    Attributes:
        replica_id: The replica that completed it; empty for none.
        failed_replica_ids: The replicas at which attempts failed.
        event_interval_s: Mean time between two events of the stream, in
            seconds; 0 if unknown.
    """

    replica_id: str = ""
    failed_replica_ids: tuple[str, ...] = ()
    event_interval_s: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class _Assignment:
    replica_id: str
    expires_at: float


def _cost(
    slowness: float, turns: int, expected_turns: int, slots: float
) -> float:
    """Returns what speaks against a replica.

    Args:
        slowness: Duration of a turn that runs alone, relative to the median.
        turns: Turns in flight that this host has assigned.
        expected_turns: The same with the turn to be assigned, unless its
            program has run there.
        slots: This host's share of the replica's slots.
    """
    sharing = _SHARING_COST * turns / slots
    waiting = max(0.0, expected_turns / slots - 1)
    return slowness + sharing + _WAITING_COST * waiting


@dataclasses.dataclass(frozen=True, slots=True)
class _ComparedPaces:
    """Paces of the replicas of one service.

    Attributes:
        compared_at: Event loop time in seconds.
        slowness_by_id: See ``ReplicaPaces.slowness``.
        least_slowness: The slowness of the fastest replica.
    """

    compared_at: float
    slowness_by_id: dict[str, float]
    least_slowness: float


@dataclasses.dataclass(frozen=True, slots=True)
class _Shares:
    """Costs of replicas for an owner of some of the shards.

    Attributes:
        owned_share: Share of the shards, and so of each replica's slots.
        paces: Paces of the service's replicas.
        is_failing: Returns whether a replica, by its id, fails repeatedly.
    """

    owned_share: float
    paces: _ComparedPaces
    is_failing: Callable[[str], bool]

    def slots(self, state: ReplicaState) -> float:
        """Returns this owner's share of a replica's slots."""
        return max(1, state.replica.slots) * self.owned_share

    def cost(
        self, state: ReplicaState, turns: int, expected_turns: int
    ) -> float:
        """Returns the cost of a replica; see ``_cost``."""
        replica = state.replica
        slowness = self.paces.slowness_by_id.get(replica.id, 1.0)
        slots = self.slots(state)
        cost = _cost(slowness, turns, expected_turns, slots)
        if self.is_failing(replica.id):
            cost += _FAILING_COST
        return cost + state.warmup_penalty


def _weigh(
    key: str, weight_by_id: dict[str, tuple[int, str]], replica_id: str
) -> tuple[int, str]:
    weight = weight_by_id.get(replica_id)
    if weight is None:
        weight = hashing.rendezvous_weight(key, replica_id)
        weight_by_id[replica_id] = weight
    return weight


class TurnAssignments:
    """Replicas assigned to turns, and turns in flight by replica."""

    def __init__(self, fleet: Fleet) -> None:
        self._fleet = fleet
        self._paces = ReplicaPaces()
        self._assignment_by_turn: dict[TurnKey, _Assignment] = {}
        self._failures: collections.deque[_Assignment] = collections.deque()
        self._turns_by_replica_id: collections.Counter[str] = (
            collections.Counter()
        )
        self._replica_id_by_program: collections.OrderedDict[str, str] = (
            collections.OrderedDict()
        )
        self._expired_at = 0.0
        self._paces_by_service: dict[str, _ComparedPaces] = {}
        self._weight_by_id_by_key: collections.OrderedDict[
            str, dict[str, tuple[int, str]]
        ] = collections.OrderedDict()

    def turns_at(self, replica_id: str) -> int:
        """Returns the number of turns that count as in flight at a replica."""
        return self._turns_by_replica_id[replica_id]

    def assign(
        self,
        turn: TurnKey,
        prompt: TurnPrompt,
        owned_share: float,
        now: float,
    ) -> str:
        """Assigns a replica to an admitted turn.

        A repeated call for a turn in flight returns the same replica. A program
        keeps its replica, which caches its prefix, until this host's share of
        the replica's slots is used up or a clearly faster one is free. A new
        program gets a fast replica with few turns, if possible the same as
        others of its prefix.

        Args:
            turn: The turn.
            prompt: What it needs of a replica.
            owned_share: The share of all ledger shards that this host owns,
                above 0 and at most 1. Its turns may use the same share of each
                replica's slots.
            now: Event loop time in seconds.

        Returns:
            The id of the replica; empty if the service has no eligible one.
        """
        self._expire(now)
        known = self._assignment_by_turn.get(turn)
        if known is not None:
            return known.replica_id
        paces = self._compared_paces(prompt.service, now)
        replica_id = self._choose(
            turn.program_id,
            prompt,
            _Shares(owned_share, paces, self._failing_at(now)),
            now,
        )
        if not replica_id:
            return ""
        expires_at = now + _MAX_ASSIGNMENT_AGE_S
        self._assignment_by_turn[turn] = _Assignment(replica_id, expires_at)
        self._turns_by_replica_id[replica_id] += 1
        self._remember(turn.program_id, replica_id)
        return replica_id

    def release(self, turn: TurnKey, end: TurnEnd, now: float) -> None:
        """Ends the assignment of a turn; ignores an unknown turn.

        Args:
            turn: The turn.
            end: How it ended.
            now: Event loop time in seconds.
        """
        if turn not in self._assignment_by_turn:
            return
        self._discard(self._assignment_by_turn.pop(turn))
        for failed_id in end.failed_replica_ids:
            expires_at = now + _FAILURE_PENALTY_S
            self._failures.append(_Assignment(failed_id, expires_at))
            self._turns_by_replica_id[failed_id] += 1
        if end.event_interval_s > 0 and not end.failed_replica_ids:
            self._paces.observe(end.replica_id, end.event_interval_s, now)
        if end.replica_id:
            self._remember(turn.program_id, end.replica_id)
        elif end.failed_replica_ids:
            self._replica_id_by_program.pop(turn.program_id, None)

    def drop_shard(self, shard: int) -> None:
        """Forgets the turns of a shard that this host no longer owns."""
        for turn in list(self._assignment_by_turn):
            if turn.shard == shard:
                self._discard(self._assignment_by_turn.pop(turn))

    def _failing_at(self, now: float) -> Callable[[str], bool]:
        failures = self._fleet.failures
        return lambda replica_id: failures.fails_repeatedly(
            replica_id, _FAILING_PERIOD_S, now
        )

    def _choose(
        self, program_id: str, prompt: TurnPrompt, shares: "_Shares", now: float
    ) -> str:
        own_id = self._replica_id_by_program.get(program_id, "")
        own = self._fleet.find(own_id)
        own_cost = math.inf
        is_own_full = False
        if own is not None and own.is_usable_for(prompt.service, now):
            turns = self._turns_by_replica_id[own_id]
            own_cost = shares.cost(own, turns, turns)
            is_own_full = turns >= shares.slots(own)
            margin = _IDLE_MARGIN if is_own_full else _MOVE_MARGIN
            # No replica costs less than the fastest one without turns.
            if own_cost - shares.paces.least_slowness < margin:
                return own_id
        least, least_ids = self._find_least(prompt.service, shares, now)
        margin = _MOVE_MARGIN
        if is_own_full and self._are_idle(least_ids):
            margin = _IDLE_MARGIN
        if own_cost - least < margin:
            return own_id
        # Among equals, replicas that cache the shared part of the prompt.
        weigh = self._weigher(prompt.prefix_key or program_id)
        return max(least_ids, key=weigh, default="")

    def _are_idle(self, replica_ids: list[str]) -> bool:
        return not any(self._turns_by_replica_id.get(i) for i in replica_ids)

    def _find_least(
        self, service: str, shares: "_Shares", now: float
    ) -> tuple[float, list[str]]:
        """Returns the least cost of a replica, and all replicas of it."""
        least = math.inf
        least_ids: list[str] = []
        for state in self._fleet.healthy(service, now):
            replica_id = state.replica.id
            turns = self._turns_by_replica_id.get(replica_id, 0)
            cost = shares.cost(state, turns, turns + 1)
            if cost < least:
                least, least_ids = cost, [replica_id]
            elif cost == least:
                least_ids.append(replica_id)
        return least, least_ids

    def _compared_paces(self, service: str, now: float) -> "_ComparedPaces":
        known = self._paces_by_service.get(service)
        if known is None or now - known.compared_at >= _SLOWNESS_INTERVAL_S:
            ids = [s.replica.id for s in self._fleet.eligible(service)]
            slowness_by_id = self._paces.slowness(ids, now)
            least = min(1.0, min(slowness_by_id.values(), default=1.0))
            known = _ComparedPaces(now, slowness_by_id, least)
            self._paces_by_service[service] = known
        return known

    def _weigher(self, key: str) -> Callable[[str], tuple[int, str]]:
        """Returns a function from replica id to its weight for a key."""
        weight_by_id = self._weight_by_id_by_key.get(key)
        if weight_by_id is None:
            weight_by_id = self._weight_by_id_by_key[key] = {}
            if len(self._weight_by_id_by_key) > _MAX_CACHED_KEYS:
                self._weight_by_id_by_key.popitem(last=False)
        return functools.partial(_weigh, key, weight_by_id)

    def _remember(self, program_id: str, replica_id: str) -> None:
        self._replica_id_by_program[program_id] = replica_id
        self._replica_id_by_program.move_to_end(program_id)
        while len(self._replica_id_by_program) > _MAX_PROGRAMS:
            self._replica_id_by_program.popitem(last=False)

    def _discard(self, assignment: _Assignment) -> None:
        replica_id = assignment.replica_id
        self._turns_by_replica_id[replica_id] -= 1
        if self._turns_by_replica_id[replica_id] <= 0:
            del self._turns_by_replica_id[replica_id]

    def _expire(self, now: float) -> None:
        if now - self._expired_at < _EXPIRY_INTERVAL_S:
            return
        self._expired_at = now
        while self._failures and self._failures[0].expires_at <= now:
            self._discard(self._failures.popleft())
        for turn, assignment in list(self._assignment_by_turn.items()):
            if assignment.expires_at <= now:
                self._discard(self._assignment_by_turn.pop(turn))
