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

from masticdale_common import hashing
from masticdale_routing.fleet import Fleet, ReplicaState
from masticdale_routing.paces import ReplicaPaces

# Cost by which another replica must be lower for a program's next turn to move
# there, since that one lacks the program's prefix. Costs are multiples of the
# duration of a turn at an idle replica of median speed.
_MOVE_MARGIN = 0.25
# Cost of using all slots of a replica: turns that run together slow each other.
_SHARING_COST = 0.25
# Cost of turns that wait for a slot, for as many as a replica has slots. More
# than the mean wait, since programs are late by their longest waits.
_WAITING_COST = 2.0
# A turn that failed at a replica counts as in flight there for this long, in
# seconds. Otherwise a replica that fails quickly would look idle and attract
# all new programs.
_FAILURE_PENALTY_S = 2.0
# A turn whose end is not reported counts for this long, in seconds.
_MAX_ASSIGNMENT_AGE_S = 10.0
# Interval at which expired assignments are dropped, in seconds.
_EXPIRY_INTERVAL_S = 0.25
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


@dataclasses.dataclass(frozen=True, slots=True)
class _Load:
    """What speaks against a replica.

    Attributes:
        slowness: Duration of a turn that runs alone, relative to the median.
        turns: Turns in flight that this host has assigned.
        slots: This host's share of the replica's slots.
    """

    slowness: float
    turns: int
    slots: float

    @property
    def cost_of_new(self) -> float:
        """Cost of a turn whose program has run elsewhere or nowhere."""
        return self._cost(self.turns + 1)

    @property
    def cost_of_own(self) -> float:
        """Cost of a turn whose program has run here: one may be over."""
        return self._cost(self.turns)

    def _cost(self, expected_turns: int) -> float:
        sharing = _SHARING_COST * self.turns / self.slots
        waiting = max(0.0, expected_turns / self.slots - 1)
        return self.slowness + sharing + _WAITING_COST * waiting


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
        states = self._fleet.healthy(prompt.service, now)
        if not states:
            return ""
        load_by_id = self._loads(states, owned_share, now)
        key = prompt.prefix_key or turn.program_id
        replica_id = self._choose(turn.program_id, key, load_by_id)
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

    def _choose(
        self, program_id: str, key: str, load_by_id: dict[str, "_Load"]
    ) -> str:
        least = min(load.cost_of_new for load in load_by_id.values())
        own_id = self._replica_id_by_program.get(program_id, "")
        own = load_by_id.get(own_id)
        if own is not None and own.cost_of_own - least < _MOVE_MARGIN:
            return own_id
        # Among equals, replicas that cache the shared part of the prompt.
        best = [
            i for i, load in load_by_id.items() if load.cost_of_new == least
        ]
        return hashing.rendezvous_rank(key, best)[0]

    def _loads(
        self, states: list[ReplicaState], owned_share: float, now: float
    ) -> dict[str, "_Load"]:
        ids = [s.replica.id for s in states]
        slowness_by_id = self._paces.slowness(ids, now)
        return {
            s.replica.id: _Load(
                slowness_by_id.get(s.replica.id, 1.0) + s.warmup_penalty,
                self._turns_by_replica_id[s.replica.id],
                max(1, s.replica.slots) * owned_share,
            )
            for s in states
        }

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
