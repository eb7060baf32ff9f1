"""Simulated ledger hosts, made of production parts without a network.

Links, the store and processes fail according to a plan. Granted tokens are
counted outside the hosts, independently of the code under test.
"""

import asyncio
import contextlib
import dataclasses
import random
import types
from unittest import mock

from returns.result import Failure as Failed
from returns.result import Success

from masticdale_common import ErrorKind, Failure, Metrics
from masticdale_ledger.claims import ShardClaims
from masticdale_ledger.client import UnreachableOwner
from masticdale_ledger.failover import StandbyFailover
from masticdale_ledger.hosts import Hosts, Identity, LiveHosts
from masticdale_ledger.leases import Lease
from masticdale_ledger.messages import (
    ADMIT,
    SETTLE,
    AdmitRequest,
    Settlement,
    SettleRequest,
)
from masticdale_ledger.owner import ShardOwner
from masticdale_ledger.reconciler import ShardReconciler
from masticdale_ledger.records import ProgramRecords
from masticdale_ledger.service import LedgerService
from masticdale_ledger.shards import ShardMap, shard_key
from masticdale_ledger.standby import StandbyCopies
from masticdale_platform.testing import MemoryStore
from masticdale_rpc import unavailable

SHARD = 0
MAX_TURN_TOKENS = 100
# Seconds by which an event advances the clock: more than a standby waits
# between two calls to its owner.
EVENT_DURATION_S = 0.31


class Clock:
    """Clock shared by all hosts, in seconds."""

    def __init__(self):
        self.now_s = 1000.0

    def __call__(self):
        return self.now_s


class HostStore:
    """One host's access to the store, with its own faults."""

    def __init__(self, store):
        self._store = store
        self.is_cut = False
        self.loses_answers = False

    @property
    def is_unreachable(self):
        return self.is_cut or self._store.faults.down

    async def read(self, key):
        if self.is_unreachable:
            return self._unavailable()
        return await self._store.read(key)

    async def list(self, prefix):
        if self.is_unreachable:
            return self._unavailable()
        return await self._store.list(prefix)

    async def write(self, key, value, expected_version):
        if self.is_unreachable:
            return self._unavailable()
        outcome = await self._store.write(key, value, expected_version)
        if not self.loses_answers:
            return outcome
        # The write is done, and the host can't read its result back.
        self.is_cut = True
        return Failed(Failure(ErrorKind.WRITE_UNKNOWN, "no answer"))

    async def delete(self, key, expected_version):
        if self.is_unreachable:
            return self._unavailable()
        return await self._store.delete(key, expected_version)

    def _unavailable(self):
        return Failed(
            Failure(ErrorKind.PLATFORM_UNAVAILABLE, "store unavailable")
        )


class Link:
    """A network link from one host to another."""

    def __init__(self, world, source, target):
        self._world = world
        self._source = source
        self._target = target

    async def call(self, rpc, request, timeout_s):
        world = self._world
        process = world.process_by_name.get(self._target)
        pair = frozenset((self._source, self._target))
        if process is None:
            return Failed(unavailable(self._target, "refused", sent=False))
        if pair in world.partitions:
            return Failed(unavailable(self._target, "timed out", sent=True))
        reply = await getattr(process.service, rpc.name)(request)
        if (self._source, self._target) in world.lost_answers:
            return Failed(unavailable(self._target, "timed out", sent=True))
        return Success(reply)


class Links(Hosts):
    """All links from one host."""

    def __init__(self, world, source):
        self._world = world
        self._source = source

    def client(self, address, port):
        return Link(self._world, self._source, self._world.names[port])

    def candidates(self):
        return [
            ("127.0.0.1", port)
            for port, name in self._world.names.items()
            if name != self._source
        ]


class Process:
    """One process of a host, from start to exit."""

    def __init__(self, world, name, number):
        port = next(p for p, n in world.names.items() if n == name)
        identity = Identity(name, f"{name}-{number}", "127.0.0.1", port, name)
        self.name = name
        self.identity = identity
        self.is_stopping = False
        self.store = HostStore(world.store)
        self.map = ShardMap()
        lease = Lease(world.clock, lambda: self.store.is_unreachable)
        records = ProgramRecords(self.store, identity.incarnation)
        self.owner = ShardOwner(records, lease, Metrics())
        self.copies = StandbyCopies()
        links = Links(world, name)
        self.live_hosts = LiveHosts(identity.host_address)
        self.client = types.SimpleNamespace(unreachable_by_shard={})
        claims = ShardClaims(
            identity,
            self.store,
            records,
            self.map,
            self.owner,
            lease,
            self.client,
            links,
            self.live_hosts,
            world.usage_tolerance,
        )
        self.failover = StandbyFailover(
            identity, self.map, self.owner, lease, self.copies, claims, links
        )
        self.reconciler = ShardReconciler(
            identity,
            self.store,
            self.map,
            self.owner,
            lease,
            self.client,
            claims,
            self.failover,
            links,
            lambda: self.store.is_unreachable,
            self.live_hosts,
        )
        self.service = LedgerService(
            self.owner,
            self.reconciler,
            self.failover,
            self.copies,
            self.store,
            self.live_hosts,
            None,
            lambda: True,
        )

    async def read_map(self):
        """Updates the shard map from the store, as a watch does."""
        found = await self.store.read(shard_key(SHARD))
        if isinstance(found, Failed):
            return
        self.map.is_loaded = True
        if found.unwrap() is not None:
            self.map.put(found.unwrap())

    def stop(self):
        """Starts a planned stop."""
        self.is_stopping = True
        self.copies.is_stopping = True


@dataclasses.dataclass(slots=True)
class Turn:
    """A turn that a caller was granted."""

    program: str
    request_id: str
    process: Process


class World:
    """Hosts, the store, and the tokens granted of each budget."""

    def __init__(self, budget, names="abcd"):
        self.budget = budget
        self.names = dict(enumerate(names, start=1))
        self.store = MemoryStore()
        self.clock = Clock()
        self.usage_tolerance = None
        self.partitions = set()
        self.lost_answers = set()
        self.process_by_name = {}
        self.open_turns = []
        self.unsent_settlements = []
        self.granted_by_program = {}
        self.trace = []
        self.log_lines = []
        self._starts = 0
        self._requests = 0
        self._programs = 0

    async def begin(self):
        """Starts every host and has the first one claim the shard."""
        for name in self.names.values():
            await self.start(name)
        for process in self.process_by_name.values():
            for other in self.process_by_name.values():
                process.live_hosts.record_request(other.identity.host_address)
        first = self.process_by_name[self.names[1]]
        await first.reconciler.reconcile()
        await self.refresh_maps()

    async def refresh_maps(self):
        for process in self.process_by_name.values():
            await process.read_map()

    async def start(self, name):
        if name in self.process_by_name:
            return
        self._starts += 1
        process = Process(self, name, self._starts)
        await process.read_map()
        self.process_by_name[name] = process

    def kill(self, name):
        self.process_by_name.pop(name, None)

    async def turn(self, name, program):
        """Asks one host for a turn; returns whether it is granted."""
        process = self.process_by_name.get(name)
        view = process.map.get(SHARD) if process else None
        if view is None:
            return False
        self._requests += 1
        request_id = f"r{self._requests}"
        request = AdmitRequest(
            SHARD,
            program,
            request_id,
            self.budget,
            MAX_TURN_TOKENS,
            process.identity.host_address,
            process.is_stopping,
        )
        record = view.record
        for port in (record.port, record.standby_port):
            if not port:
                continue
            outcome = await self._ask(process, port, request)
            is_unanswered = isinstance(outcome, Failed)
            if port == record.port:
                self._update_reachability(process, view, is_unanswered)
            if is_unanswered:
                continue
            failure = outcome.unwrap().failure
            if failure is None:
                self._record_grant(program, request_id, process)
                return True
            if failure.kind is not ErrorKind.NOT_OWNER:
                return False
        return False

    async def _ask(self, process, port, request):
        if self.names[port] == process.name:
            return Success(await process.service.admit(request))
        link = Link(self, process.name, self.names[port])
        return await link.call(ADMIT, request, 0.4)

    def _update_reachability(self, process, view, is_unanswered):
        known = process.client.unreachable_by_shard
        if not is_unanswered:
            known.pop(SHARD, None)
            return
        now = asyncio.get_running_loop().time()
        known[SHARD] = UnreachableOwner(view.version, now - 1.0, now)

    def _record_grant(self, program, request_id, process):
        granted = self.granted_by_program.setdefault(program, {})
        granted[request_id] = MAX_TURN_TOKENS
        self.open_turns.append(Turn(program, request_id, process))

    async def end_turn(self, used):
        """Ends the oldest turn and sends its settlement."""
        if not self.open_turns:
            return
        turn = self.open_turns.pop(0)
        self.granted_by_program[turn.program][turn.request_id] = used
        self.unsent_settlements.append((turn, used))
        await self.send_settlements()

    async def send_settlements(self):
        unsent, self.unsent_settlements = self.unsent_settlements, []
        for turn, used in unsent:
            if not await self._settle(turn, used):
                self.unsent_settlements.append((turn, used))

    async def _settle(self, turn, used):
        process = turn.process
        if self.process_by_name.get(process.name) is not process:
            # The settlement was lost with its process.
            return True
        settlement = Settlement(SHARD, turn.program, turn.request_id, used)
        if process.owner.settle(settlement):
            return True
        view = process.map.get(SHARD)
        for port in (view.record.port, view.record.standby_port):
            if not port or self.names[port] == process.name:
                continue
            link = Link(self, process.name, self.names[port])
            outcome = await link.call(SETTLE, SettleRequest((settlement,)), 0.4)
            if isinstance(outcome, Failed):
                continue
            if SHARD not in outcome.unwrap().other_shards:
                return True
        return False

    async def step(self, kind, first, second):
        """Runs one event.

        Args:
            kind: Kind of the event.
            first: Selects a host or an amount.
            second: Selects another host or a program.
        """
        names = list(self.names.values())
        name = names[first % len(names)]
        other = names[second % len(names)]
        program = f"{'pq'[second % 2]}{self._programs}"
        process = self.process_by_name.get(name)
        self.trace.append((kind, name, other, program))
        self.clock.now_s += EVENT_DURATION_S
        match kind:
            case "ask-turns":
                for _ in range(1 + first % 4):
                    await self.turn(name, program)
            case "next-program":
                self._programs += 1
            case "end-turn":
                await self.end_turn(first % (MAX_TURN_TOKENS + 1))
            case "reconcile" if process:
                await process.reconciler.reconcile()
            case "refresh-map" if process:
                await process.read_map()
            case "replicate" if process:
                await process.owner.replicate_changes()
            case "partition":
                self.partitions.add(frozenset((name, other)))
            case "isolate":
                self.partitions |= {
                    frozenset((name, n)) for n in names if n != name
                }
            case "lose-answers":
                self.lost_answers.add((name, other))
            case "heal":
                self.partitions.clear()
                self.lost_answers.clear()
            case "store-cut" if process:
                process.store.is_cut = True
            case "store-lossy" if process:
                process.store.loses_answers = True
            case "store-down":
                self.store.faults.down = True
            case "store-up":
                self.store.faults.down = False
                for each in self.process_by_name.values():
                    each.store.is_cut = False
                    each.store.loses_answers = False
            case "kill":
                self.kill(name)
            case "start":
                await self.start(name)
            case "stop" if process and not process.is_stopping:
                process.stop()
                await process.reconciler.hand_over_all()
            case "kill-all":
                for each in names:
                    self.kill(each)
            case "advance-clock":
                self.clock.now_s += 11.0
        for _ in range(20):
            await asyncio.sleep(0)
        await self.send_settlements()

    def overspent(self):
        """Returns granted tokens by program, for those beyond the guarantee."""
        total_by_program = {
            program: sum(granted.values())
            for program, granted in self.granted_by_program.items()
        }
        return {
            program: total
            for program, total in total_by_program.items()
            if total > self.budget + MAX_TURN_TOKENS
        }


@contextlib.contextmanager
def simulated(world):
    """Removes the hosts' waits and captures their clock and log."""

    def write(message_type, **fields):
        world.log_lines.append((message_type, fields))

    with (
        mock.patch("masticdale_common.logs.write", write),
        mock.patch("masticdale_common.logs.write_bounded", write),
        mock.patch("masticdale_ledger.owner._RESERVATION_WAIT_S", 0.0),
        mock.patch("masticdale_ledger.reconciler._CLAIM_JITTER_S", 0.0),
        mock.patch("masticdale_ledger.standby.boot_time_s", world.clock),
        mock.patch("masticdale_ledger.reconciler.LEDGER_SHARD_COUNT", 1),
    ):
        yield


# Weight of each kind of event. Any change alters the plan of every seed,
# including the seeds kept as regression tests.
WEIGHT_BY_KIND = {
    "ask-turns": 34,
    "next-program": 3,
    "end-turn": 12,
    "reconcile": 14,
    "refresh-map": 6,
    "replicate": 4,
    "partition": 3,
    "isolate": 2,
    "lose-answers": 2,
    "heal": 3,
    "store-cut": 2,
    "store-lossy": 1,
    "store-down": 3,
    "store-up": 4,
    "kill": 3,
    "start": 4,
    "stop": 1,
    "kill-all": 1,
    "advance-clock": 1,
}


def random_steps(seed, count):
    """Returns a plan of events, each with its two selectors."""
    chooser = random.Random(seed)
    kinds = chooser.choices(
        list(WEIGHT_BY_KIND), list(WEIGHT_BY_KIND.values()), k=count
    )
    return [
        (kind, chooser.randrange(101), chooser.randrange(8)) for kind in kinds
    ]


async def run_plan(budget, steps):
    """Plays a plan; returns what was overspent, and by which events."""
    world = World(budget)
    with simulated(world):
        await world.begin()
        for step in steps:
            await world.step(*step)
            if world.overspent():
                break
    return world


def shrink(steps, fails):
    """Removes events from a plan as long as it still fails.

    Args:
        steps: The events.
        fails: Returns whether a plan of these events fails.
    """
    size = len(steps) // 2
    while size:
        start = 0
        while start < len(steps):
            shrunk = steps[:start] + steps[start + size :]
            if fails(shrunk):
                steps = shrunk
            else:
                start += size
        size //= 2
    return steps
