"""Simulates the placement of program turns by hundreds of entry hosts.

Each turn of a program arrives at a random host, as a balancer sends it. The
policy says who chooses its replica, and so what is known of the replicas' load.
Replicas run ``slots`` turns concurrently and queue the others.
"""

import asyncio
import collections
import dataclasses
import enum
import random
import statistics

from masticdale_common import hashing
from masticdale_load import virtual_time
from masticdale_routing.assignments import (
    TurnAssignments,
    TurnEnd,
    TurnKey,
    TurnPrompt,
)
from masticdale_routing.fleet import Fleet, Replica, ReplicaState, ReportedLoad

_SERVICE = "model"
_FAILURE_DOMAINS = 6
_MEAN_TURN_S = 0.35
_FAILED_TURN_S = 0.01
_PAUSE_S = 0.05
_MAX_TURNS = 22
# Parameters of the log-normal distribution of a program's number of turns, and
# the mean that results.
_TURNS_MU = 1.6
_TURNS_SIGMA = 0.6
_MEAN_TURNS = 5.6
# Longest time from the end of a turn until its owner has the settlement.
_MAX_SETTLE_DELAY_S = 0.05
_LONG_WAIT_S = 0.2
_EVENTS = 10
# Programs share the first part of their prompt with others of the same subject;
# a replica's memory holds only some of these parts.
_SUBJECTS = 6
_CACHED_SUBJECTS = 4


class PlacementPolicy(enum.StrEnum):
    """Who chooses the replica of a turn.

    Attributes:
        HOST: The host at which it arrives, by what that host has seen.
        OWNER: The owner of its program's shard, by the turns of that shard.
    """

    HOST = "host"
    OWNER = "owner"


@dataclasses.dataclass(frozen=True, slots=True)
class PlacementScenario:
    """One combination to simulate.

    Attributes:
        policy: Who chooses replicas.
        hosts: Number of entry hosts.
        load: Mean share of busy slots that the programs would cause.
        replicas: Number of replicas.
        slots: Slots of each replica.
        shards: Number of ledger shards, each with an owner of its own.
        slow_share: Share of the replicas that take twice as long for a turn.
        failing: Number of replicas that fail each turn at once.
        duration_s: Time during which programs begin.
        seed: Random seed.
    """

    policy: PlacementPolicy
    hosts: int
    load: float
    replicas: int = 32
    slots: int = 6
    shards: int = 4
    slow_share: float = 0.0
    failing: int = 0
    duration_s: float = 25.0
    seed: int = 1


@dataclasses.dataclass(frozen=True, slots=True)
class PlacementResult:
    """What the turns of a simulation met.

    Attributes:
        turns: Number of turns that were run.
        long_wait_share: Share of the turns that waited over 0.2 s for a slot.
        p99_wait_s: 99th percentile of the wait for a slot.
        moved_share: Share of the turns at another replica than the program's
            turn before, which lack the program's prefix.
        reread_share: Share of the turns at a replica that did not hold the
            shared part of their prompt.
        slow_share: Share of the turns at a slow replica.
        failed_share: Share of the attempts that failed at a replica.
    """

    turns: int
    long_wait_share: float
    p99_wait_s: float
    moved_share: float
    reread_share: float
    slow_share: float
    failed_share: float


class _SimulatedReplica:
    def __init__(self, replica: Replica, turn_s: float, fails: bool) -> None:
        self.replica = replica
        self.turn_s = turn_s
        self.fails = fails
        self.slots = asyncio.Semaphore(replica.slots)
        self.queued = 0
        self.running = 0
        self._subjects: collections.OrderedDict[str, None] = (
            collections.OrderedDict()
        )

    def read(self, subject: str) -> bool:
        """Reads the shared part of a prompt; returns whether it was cached."""
        is_cached = subject in self._subjects
        self._subjects[subject] = None
        self._subjects.move_to_end(subject)
        if len(self._subjects) > _CACHED_SUBJECTS:
            self._subjects.popitem(last=False)
        return is_cached


class _Simulation:
    def __init__(self, scenario: PlacementScenario) -> None:
        self._scenario = scenario
        self._random = random.Random(scenario.seed)
        self._replica_by_id = self._create_replicas()
        self._fleets = [
            self._create_fleet(n) for n in range(self._deciding_hosts)
        ]
        self._assignments = [TurnAssignments(f) for f in self._fleets]
        self._waits: list[float] = []
        self._moved = 0
        self._reread = 0
        self._slow = 0
        self._failed = 0

    @property
    def _deciding_hosts(self) -> int:
        if self._scenario.policy is PlacementPolicy.OWNER:
            return self._scenario.shards
        return self._scenario.hosts

    def _create_replicas(self) -> dict[str, _SimulatedReplica]:
        scenario = self._scenario
        created: dict[str, _SimulatedReplica] = {}
        for number in range(scenario.replicas):
            replica = Replica(
                id=f"r{number}",
                service=_SERVICE,
                address="127.0.0.1",
                port=number + 1,
                failure_domain=f"d{number % _FAILURE_DOMAINS}",
                slots=scenario.slots,
                is_draining=False,
            )
            is_slow = number < scenario.slow_share * scenario.replicas
            is_failing = number >= scenario.replicas - scenario.failing
            created[replica.id] = _SimulatedReplica(
                replica, _MEAN_TURN_S * (2 if is_slow else 1), is_failing
            )
        return created

    def _create_fleet(self, number: int) -> Fleet:
        fleet = Fleet(f"d{number % _FAILURE_DOMAINS}", seed=number)
        for simulated in self._replica_by_id.values():
            fleet.put(simulated.replica)
        return fleet

    async def run(self) -> PlacementResult:
        scenario = self._scenario
        slots = scenario.replicas * scenario.slots
        rate = scenario.load * slots / (_MEAN_TURN_S * _MEAN_TURNS)
        loop = asyncio.get_running_loop()
        programs: list[asyncio.Task[None]] = []
        while loop.time() < scenario.duration_s:
            await asyncio.sleep(self._random.expovariate(rate))
            name = f"p{len(programs)}"
            programs.append(asyncio.create_task(self._run_program(name)))
        await asyncio.gather(*programs)
        return self._result()

    def _result(self) -> PlacementResult:
        turns = len(self._waits)
        attempts = turns + self._failed
        return PlacementResult(
            turns,
            sum(w > _LONG_WAIT_S for w in self._waits) / turns,
            statistics.quantiles(self._waits, n=100)[-1],
            self._moved / turns,
            self._reread / turns,
            self._slow / turns,
            self._failed / attempts,
        )

    async def _run_program(self, program_id: str) -> None:
        drawn = self._random.lognormvariate(_TURNS_MU, _TURNS_SIGMA)
        last_id = ""
        for number in range(max(1, min(_MAX_TURNS, int(drawn)))):
            replica_id = await self._run_turn(program_id, f"{number}")
            self._moved += last_id not in ("", replica_id)
            last_id = replica_id
            await asyncio.sleep(_PAUSE_S)

    async def _run_turn(self, program_id: str, request_id: str) -> str:
        """Runs a turn, at other replicas if one fails; returns the last one."""
        host = self._random.randrange(self._scenario.hosts)
        turn = TurnKey(self._shard_of(program_id), program_id, request_id)
        failed: list[str] = []
        while True:
            state = self._choose(host, turn, failed)
            replica_id = state.replica.id
            state.in_flight += 1
            is_done = await self._run_at(
                self._replica_by_id[replica_id], _subject_of(turn.program_id)
            )
            state.in_flight -= 1
            self._record(state, is_done)
            if is_done:
                break
            self._failed += 1
            failed.append(replica_id)
        interval_s = self._replica_by_id[replica_id].turn_s / _EVENTS
        end = TurnEnd(replica_id, tuple(failed), interval_s)
        asyncio.get_running_loop().call_later(
            self._random.uniform(0, _MAX_SETTLE_DELAY_S),
            self._settle,
            turn,
            end,
        )
        return replica_id

    def _shard_of(self, program_id: str) -> int:
        return hashing.shard_of(program_id, self._scenario.shards)

    def _choose(
        self, host: int, turn: TurnKey, failed: list[str]
    ) -> ReplicaState:
        now = asyncio.get_running_loop().time()
        assigned_id = ""
        number = host
        if self._scenario.policy is PlacementPolicy.OWNER:
            number = turn.shard
            share = 1 / self._scenario.shards
            assigned_id = self._assignments[number].assign(
                turn,
                TurnPrompt(_SERVICE, _subject_of(turn.program_id)),
                share,
                now,
            )
        state = self._fleets[number].choose(
            _SERVICE, turn.program_id, now, failed, assigned_id
        )
        if state is None:
            raise RuntimeError("each replica has failed the turn")
        return state

    async def _run_at(self, simulated: _SimulatedReplica, subject: str) -> bool:
        if simulated.fails:
            await asyncio.sleep(_FAILED_TURN_S)
            return False
        loop = asyncio.get_running_loop()
        arrived_at = loop.time()
        simulated.queued += 1
        async with simulated.slots:
            simulated.queued -= 1
            simulated.running += 1
            self._reread += not simulated.read(subject)
            self._slow += simulated.turn_s > _MEAN_TURN_S
            self._waits.append(loop.time() - arrived_at)
            factor = self._random.uniform(0.8, 1.2)
            await asyncio.sleep(factor * simulated.turn_s)
            simulated.running -= 1
        return True

    def _record(self, state: ReplicaState, is_done: bool) -> None:
        now = asyncio.get_running_loop().time()
        if not is_done:
            # The host's circuit breaker is left out, so that the simulation
            # shows what the assignments do by themselves.
            return
        simulated = self._replica_by_id[state.replica.id]
        load = ReportedLoad(simulated.running, simulated.queued, now)
        state.record_load(load)

    def _settle(self, turn: TurnKey, end: TurnEnd) -> None:
        if self._scenario.policy is PlacementPolicy.OWNER:
            now = asyncio.get_running_loop().time()
            self._assignments[turn.shard].release(turn, end, now)


def _subject_of(program_id: str) -> str:
    return f"subject-{hashing.shard_of(f'subject/{program_id}', _SUBJECTS)}"


def format_placements(
    results: list[tuple[PlacementScenario, PlacementResult]],
) -> str:
    """Returns a table with one row per scenario."""
    rows = [
        f"{'choice':<8}{'hosts':>6}{'replicas':>10}{'load':>7}{'turns':>8}"
        f"{'waits > 0.2 s':>15}{'p99 s':>8}{'moved':>8}{'reread':>8}"
        f"{'slow':>8}"
        f"{'failed':>8}"
    ]
    rows += [
        f"{s.policy:<8}{s.hosts:>6}{s.replicas:>10}{s.load:>7.2f}"
        f"{r.turns:>8}{r.long_wait_share:>15.4f}{r.p99_wait_s:>8.3f}"
        f"{r.moved_share:>8.4f}{r.reread_share:>8.4f}"
        f"{r.slow_share:>8.4f}"
        f"{r.failed_share:>8.4f}"
        for s, r in results
    ]
    return "\n".join(rows)


def simulate_placement(scenario: PlacementScenario) -> PlacementResult:
    """Simulates a scenario in virtual time; deterministic for its seed."""

    async def simulate() -> PlacementResult:
        return await _Simulation(scenario).run()

    return virtual_time.run(simulate())
