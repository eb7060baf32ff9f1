"""Small storage hosts on the loopback interface, with injected faults."""

import asyncio
import dataclasses
import socket
import time
import unittest

from returns.result import Success

from masticdale_common import ErrorKind, Failure, Metrics
from masticdale_history import (
    HISTORY,
    Chain,
    HistoryClient,
    Member,
    MemberDirectory,
    TurnKey,
    TurnRecord,
    create_member_client,
    encode_member,
    member_key,
    rank_hosts,
)
from masticdale_history.messages import (
    AppendTurnsReply,
    CheckReply,
    ReadChainReply,
)
from masticdale_platform import StoredObject, WatchBatch
from masticdale_rpc import Address, RpcServer

TOLERATED = 2
COPIES = TOLERATED + 1
DOMAINS = ("north", "south", "west")
OWN_DOMAIN = "north"
# Time until a load or save fails, in seconds.
TIME_LIMIT_S = 2.0
FOREVER_S = 3600.0


def free_port():
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return probe.getsockname()[1]


@dataclasses.dataclass
class Faults:
    """Faults of one storage host.

    Attributes:
        delay_s: Time before each answer, in seconds.
        ends_after_write: Whether the host ends after its next write, without
            an answer.
        append_failure: Answer to each append; None to serve it.
        read_failure: Answer to each read; None to serve it.
        is_complete: Whether its disk has lost no record.
        is_full: Whether it refuses records.
    """

    delay_s: float = 0.0
    ends_after_write: bool = False
    append_failure: Failure | None = None
    read_failure: Failure | None = None
    is_complete: bool = True
    is_full: bool = False


class FakeHost:
    """A storage host that keeps its records in memory."""

    def __init__(self, member):
        self.member = member
        self.faults = Faults()
        self.record_by_key = {}
        # Reads and appends; checks are counted in ``checks``.
        self.calls = []
        self.checks = 0
        self._server = None
        self._tasks = set()

    async def start(self):
        address = Address.model_validate(
            {"ip": self.member.address, "port": self.member.port}
        )
        self._server = RpcServer(self, address, HISTORY)
        await self._server.listen(None)

    async def stop(self):
        if self._server is not None:
            server, self._server = self._server, None
            await server.close(0.0)

    @property
    def has_connections(self):
        return self._server.state()["connections"] > 0

    def lose_disk(self):
        self.record_by_key.clear()
        self.faults.is_complete = False

    async def append_turns(self, request):
        self.calls.append("append_turns")
        await asyncio.sleep(self.faults.delay_s)
        if self.faults.append_failure is not None:
            return AppendTurnsReply(self.faults.append_failure)
        if self.faults.is_full:
            return AppendTurnsReply(Failure(ErrorKind.STORE_FULL))
        failure = self._add(request.records)
        if self.faults.ends_after_write:
            task = asyncio.create_task(self.stop())
            self._tasks.add(task)
            await asyncio.sleep(FOREVER_S)
        return AppendTurnsReply(failure)

    async def read_chain(self, request):
        self.calls.append("read_chain")
        await asyncio.sleep(self.faults.delay_s)
        if self.faults.read_failure is not None:
            return ReadChainReply(self.faults.read_failure)
        records = []
        key = TurnKey(request.workspace, request.turn_id)
        while key in self.record_by_key:
            records.insert(0, self.record_by_key[key])
            key = records[0].previous_key
        return ReadChainReply(
            records=tuple(records), is_complete=self.faults.is_complete
        )

    async def check(self, request):
        del request
        self.checks += 1
        await asyncio.sleep(self.faults.delay_s)
        return CheckReply(
            self.member.disk_id, self.faults.is_complete, self.faults.is_full
        )

    def _add(self, records):
        previous = records[0].previous_key
        if previous is not None and previous not in self.record_by_key:
            return Failure(ErrorKind.MISSING_PREVIOUS)
        for record in records:
            if self.record_by_key.get(record.key, record) != record:
                return Failure(ErrorKind.CONFLICT)
            self.record_by_key[record.key] = record
        return None


def wall_ms():
    return time.time_ns() // 1_000_000


def turn(turn_id, chain=None, workspace="w", chain_key="session", **fields):
    """Returns a turn that continues a chain."""
    chain = chain or Chain()
    values = {
        "turn_id": turn_id,
        "workspace": workspace,
        "previous_id": chain.records[-1].turn_id if chain.records else "",
        "chain_key": chain.key or chain_key,
        "input": f"input of {turn_id}".encode() + b"\xff\x00",
        "output": b'{"text": "\xc3\x28"}\n',
        "ended_at_ms": wall_ms(),
        "retention_ms": 60_000,
    }
    return TurnRecord(**{**values, **fields})


class HistoryCase(unittest.IsolatedAsyncioTestCase):
    """Has storage hosts and a client; subclasses set the number of hosts."""

    host_count = 5

    async def asyncSetUp(self):
        self.directory = MemberDirectory()
        self.list_outcome = Success(())
        self.list_reads = 0
        self.list_delay_s = 0.0
        self.host_by_name = {}
        for number in range(self.host_count):
            member = Member(
                f"h{number}",
                "127.0.0.1",
                free_port(),
                DOMAINS[number % len(DOMAINS)],
                f"disk-{number}",
            )
            host = FakeHost(member)
            await host.start()
            self.host_by_name[member.host] = host
        self.list_hosts(*self.host_by_name.values())
        self.metrics = Metrics()
        self.client = self.new_client()
        # A host that is stopped during its first check logs an error.
        async with asyncio.timeout(TIME_LIMIT_S):
            while any(h.checks == 0 for h in self.host_by_name.values()):
                await asyncio.sleep(0.005)

    async def asyncTearDown(self):
        await self.client.close()
        for host in self.host_by_name.values():
            await host.stop()

    def new_client(self):
        """Returns a client with an empty cache, as another host has it."""
        client = HistoryClient(
            self.directory,
            OWN_DOMAIN,
            TOLERATED,
            self.metrics,
            lambda member: create_member_client(member, self.metrics),
            self.list_members,
        )
        self.addAsyncCleanup(client.close)
        return client

    def list_hosts(self, *hosts):
        """Lists the hosts in the store and at the clients."""
        self.store_hosts(*hosts)
        objects = self.list_outcome.unwrap()
        self.directory.apply(WatchBatch(1, objects, (), True), False)

    def store_hosts(self, *hosts):
        """Lists the hosts in the store only."""
        objects = tuple(
            StoredObject(member_key(h.member.host), 1, encode_member(h.member))
            for h in hosts
        )
        self.list_outcome = Success(objects)

    async def list_members(self):
        """Reads the list in the store."""
        self.list_reads += 1
        outcome = self.list_outcome
        await asyncio.sleep(self.list_delay_s)
        return outcome

    def ranked(self, chain_key="session"):
        """Returns the hosts by the ranking of a chain."""
        members = [h.member for h in self.host_by_name.values()]
        return [
            self.host_by_name[m.host] for m in rank_hosts(chain_key, members)
        ]

    def near(self, chain_key="session"):
        """Returns the holder in the own failure domain."""
        holders = self.ranked(chain_key)[:COPIES]
        return next(h for h in holders if h.member.failure_domain == OWN_DOMAIN)

    def holding(self, record):
        """Returns the hosts that hold a turn."""
        return [
            h
            for h in self.host_by_name.values()
            if record.key in h.record_by_key
        ]

    async def save(self, record, chain=None, time_limit_s=TIME_LIMIT_S):
        now = asyncio.get_running_loop().time()
        return await self.client.save(
            "request", record, chain or Chain(), now + time_limit_s
        )

    async def load(
        self,
        turn_id,
        client=None,
        workspace="w",
        session_id="session",
        time_limit_s=TIME_LIMIT_S,
    ):
        """Loads a turn with a client whose cache is empty."""
        now = asyncio.get_running_loop().time()
        client = client or self.new_client()
        return await client.load(
            "request", workspace, turn_id, session_id, now + time_limit_s
        )

    def counted(self, name, outcome):
        return self.metrics.counter_value(name, outcome=outcome)
