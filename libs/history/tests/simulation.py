"""Storage hosts in one process, with simulated disks, time and network."""

import dataclasses

from returns.result import Failure as Failed
from returns.result import Success

from masticdale_common import ErrorKind, Failure, Metrics
from masticdale_history.completeness import Completeness, DiskOrigin
from masticdale_history.messages import AppendTurnsRequest, ReadChainRequest
from masticdale_history.passes import RepairDependencies
from masticdale_history.placement import Member, rank_hosts
from masticdale_history.records import Chain, TurnKey, TurnRecord
from masticdale_history.repairer import Repairer
from masticdale_history.service import HistoryService

RETENTION_S = 60.0
MARGIN_MS = 7_000
# The longest time between the first and the last acknowledgement of a turn.
SAVE_S = 2.0


@dataclasses.dataclass(frozen=True)
class MemoryEntry:
    key: TurnKey
    previous_key: TurnKey | None
    chain_key: str
    size_bytes: int
    expires_at_ms: int


class MemoryDisk:
    """A disk on which each append is synced at once."""

    def __init__(self, disk_id, wall_ms):
        self.disk_id = disk_id
        self.created_at_ms = wall_ms()
        self.is_full = False
        self.has_failed = False
        self.record_by_key = {}
        self._wall_ms = wall_ms

    async def append(self, records):
        added = {}
        for record in records:
            held = self.record_by_key.get(record.key)
            if held is not None:
                if held != record:
                    return Failed(Failure(ErrorKind.CONFLICT))
                continue
            if self.is_full:
                return Failed(Failure(ErrorKind.STORE_FULL))
            previous = record.previous_key
            if previous is not None and not (
                previous in self.record_by_key or previous in added
            ):
                return Failed(Failure(ErrorKind.MISSING_PREVIOUS))
            added[record.key] = record
        self.record_by_key |= added
        return Success(None)

    async def read_chain(self, workspace, turn_id):
        record = self.record_by_key.get(TurnKey(workspace, turn_id))
        if record is None or record.expires_at_ms < self._wall_ms():
            return None
        chain = []
        while record is not None:
            chain.append(record)
            record = self.record_by_key.get(record.previous_key)
        return Chain(tuple(reversed(chain)))

    def holds(self, workspace, turn_id):
        return TurnKey(workspace, turn_id) in self.record_by_key

    def entries(self):
        return [
            MemoryEntry(r.key, r.previous_key, r.chain_key, 1, r.expires_at_ms)
            for r in self.record_by_key.values()
            if r.expires_at_ms >= self._wall_ms()
        ]

    def expire(self):
        """Drops turns that neither they nor their continuations keep."""
        needed = set()
        for record in self.record_by_key.values():
            if record.expires_at_ms + MARGIN_MS < self._wall_ms():
                continue
            current = record
            while current is not None and current.key not in needed:
                needed.add(current.key)
                current = self.record_by_key.get(current.previous_key)
        self.record_by_key = {
            k: r for k, r in self.record_by_key.items() if k in needed
        }


class SimulatedHost:
    """A storage host; ``start`` begins a process on its disk."""

    def __init__(self, cluster, name, domain):
        self.cluster = cluster
        self.name = name
        self.domain = domain
        self.is_up = True
        self.is_removed = False
        self.retires = False
        self.was_complete = False
        self.disk_count = 0
        self.new_disk()
        self.start()

    def new_disk(self):
        self.disk_count += 1
        self.was_complete = False
        self.disk = MemoryDisk(
            f"{self.name}-{self.disk_count}", self.cluster.wall_ms
        )

    def start(self):
        self.is_up = True
        self.completeness = Completeness(
            DiskOrigin(
                self.disk.disk_id,
                self.disk.created_at_ms,
                self.was_complete,
                bool(self.disk.record_by_key),
            ),
            self.name,
            self.cluster.tolerated,
            self.cluster.wall_ms,
        )
        self.service = HistoryService(
            self.disk, self.completeness, Metrics(), is_emptying=self.retires
        )
        self.update()
        self.cluster.member_by_host[self.name] = self.member()
        self.repairer = Repairer(
            RepairDependencies(
                own=self.member,
                disk=self.disk,
                members=lambda: self.cluster.member_by_host.values(),
                is_complete=lambda: self.completeness.is_complete,
                copies=self.cluster.copies,
                calls=SimulatedCalls(self.cluster, self.name),
                metrics=Metrics(),
                now=self.cluster.now,
                wall_ms=self.cluster.wall_ms,
                pause=self.cluster.pause,
            )
        )

    def member(self):
        return Member(
            self.name,
            self.name,
            1,
            self.domain,
            self.disk.disk_id,
            self.service.is_emptying,
        )

    def update(self):
        members = list(self.cluster.member_by_host.values())
        if self.completeness.update(members, RETENTION_S):
            self.was_complete = True

    async def tick(self):
        """Does what the timers of a host do in a second."""
        if not self.is_up:
            return
        self.disk.expire()
        self.update()
        await self.repairer.check_members()
        if not self.is_up:
            return
        await self.repairer.repair_if_due()
        self.update()

    async def begin_retirement(self):
        self.retires = True
        await self.service.stop_appends()
        self.cluster.member_by_host[self.name] = self.member()

    async def try_to_leave(self):
        """Runs a pass; leaves with the disk if the pass allows it."""
        if not self.is_up or not self.retires:
            return
        report = await self.repairer.run_pass()
        disk_id = self.disk.disk_id
        if (
            await self.repairer.allows_removal(report)
            and self.completeness.is_complete
            and self.is_up
            and self.disk.disk_id == disk_id
        ):
            self.is_up = False
            self.is_removed = True
            del self.cluster.member_by_host[self.name]


class SimulatedCalls:
    """Calls from one host; actions may run between any two of them."""

    def __init__(self, cluster, caller):
        self._cluster = cluster
        self._caller = caller
        self._disk_id = None

    async def call(self, member, rpc, request, timeout_s):
        await self._cluster.interleave()
        caller = self._cluster.host_by_name[self._caller]
        host = self._cluster.host_by_name[member.host]
        cut = frozenset((self._caller, member.host)) in self._cluster.cuts
        if cut or not host.is_up or not caller.is_up:
            return Failed(Failure(ErrorKind.PEER_UNAVAILABLE, member.host))
        return Success(await getattr(host.service, rpc.name)(request))


class Cluster:
    """All hosts, their list in the platform's store, and the clock."""

    def __init__(self, hosts, domains, tolerated):
        self.tolerated = tolerated
        self.copies = tolerated + 1
        self.seconds = 1000.0
        self.member_by_host = {}
        self.cuts = set()
        self.acknowledged = {}
        self.pending_actions = []
        self._turns = 0
        self.host_by_name = {}
        for i in range(hosts):
            name = f"s{i}"
            self.host_by_name[name] = SimulatedHost(
                self, name, f"d{i % domains}"
            )

    def now(self):
        return self.seconds

    def wall_ms(self):
        return int(self.seconds * 1000)

    async def pause(self, seconds):
        self.seconds += seconds

    async def interleave(self):
        if self.pending_actions:
            action = self.pending_actions.pop(0)
            if action is not None:
                await action()

    def live_hosts(self):
        return [h for h in self.host_by_name.values() if h.is_up]

    def lost_disks(self):
        """The disks that were lost and are not repaired."""
        return [
            h
            for h in self.host_by_name.values()
            if not h.is_removed and not h.completeness.is_complete
        ]

    def new_record(self, chain):
        self._turns += 1
        turn_id = f"t{self._turns}"
        return TurnRecord(
            turn_id,
            "w",
            chain.records[-1].turn_id if chain.records else "",
            chain.key or turn_id,
            b"in",
            b"out",
            self.wall_ms(),
            int(RETENTION_S * 1000),
        )

    async def write(self, chain, unreachable=()):
        """Writes a turn as an entry host does; returns the chain or None."""
        write = Write(self, chain)
        await write.send(self.copies, unreachable)
        return write.finish()

    async def settle(self, seconds=8):
        """Lets all hosts run for some seconds without faults."""
        self.cuts.clear()
        for _ in range(seconds):
            for host in list(self.host_by_name.values()):
                await host.tick()
            self.seconds += 1.0

    async def find(self, key):
        """Returns whether a live host returns a turn."""
        for host in self.live_hosts():
            reply = await host.service.read_chain(
                ReadChainRequest(key.workspace, key.turn_id)
            )
            if reply.records:
                return True
        return False

    def check(self):
        """Returns the acknowledged turns that are lost or shown as absent.

        A turn may be shown as absent if no more members than may be lost hold
        it or are incomplete: just these may be out of reach.
        """
        lost, absent = [], []
        for key, record in self.acknowledged.items():
            if record.expires_at_ms < self.wall_ms():
                continue
            holders = {
                h.name
                for h in self.host_by_name.values()
                if not h.is_removed and key in h.disk.record_by_key
            }
            uncertain = {h.name for h in self.lost_disks()}
            listed = set(self.member_by_host)
            if not holders:
                lost.append(key)
            if len(listed & (holders | uncertain)) <= self.tolerated:
                absent.append(key)
        return lost, absent


class Write:
    """A turn that an entry host writes, in one or two steps."""

    def __init__(self, cluster, chain):
        self._cluster = cluster
        self._chain = chain
        self.record = cluster.new_record(chain)
        self._started_at_s = cluster.seconds
        self.holders = set()

    async def send(self, copies, unreachable=()):
        """Sends to the first hosts until as many copies are acknowledged."""
        members = self._cluster.member_by_host.values()
        for member in rank_hosts(self.record.chain_key, members):
            if len(self.holders) >= copies:
                return
            host = self._cluster.host_by_name[member.host]
            if member.host in unreachable or not host.is_up:
                continue
            if member.host not in self.holders and await self._append(host):
                self.holders.add(member.host)

    def finish(self):
        """Returns the new chain, or None if the write has failed."""
        duration_s = self._cluster.seconds - self._started_at_s
        if len(self.holders) < self._cluster.copies or duration_s > SAVE_S:
            return None
        for record in (*self._chain.records, self.record):
            self._cluster.acknowledged[record.key] = record
        return self._chain.with_turn(self.record)

    async def _append(self, host):
        records = (self.record,)
        reply = await host.service.append_turns(AppendTurnsRequest(records))
        failure = reply.failure
        if failure and failure.kind is ErrorKind.MISSING_PREVIOUS:
            chain = (*self._chain.records, self.record)
            reply = await host.service.append_turns(AppendTurnsRequest(chain))
        return reply.failure is None
