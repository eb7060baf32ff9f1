"""Test case of entry hosts with a route that keeps histories."""

import asyncio

from case import HOST, EntryCase, RunningHost, configuration, route
from test_workspaces import KEY

from masticdale_common import ErrorKind, Failure
from masticdale_history import HISTORY, TurnKey
from masticdale_history.messages import (
    AppendTurnsReply,
    CheckReply,
    ReadChainReply,
)
from masticdale_rpc import Address, RpcServer
from masticdale_standins.testing import free_port

KEPT = "/kept/"
TOLERATED_LOSSES = 2
DOMAINS = ("a", "b", "c")
# Key of a second workspace.
OTHER_KEY = "key-of-beta-0000001"


def kept_configuration(version=1, tenants=None):
    """Returns a configuration with a route that keeps histories."""
    kept = route(
        KEPT,
        "streaming",
        "engine",
        max_attempts=1,
        resumable=True,
        timeout_ms=10_000,
        retain_history=True,
        retention_s=60,
    )
    return configuration(version, [kept]) | {"tenants": tenants}


TENANTS = [
    {"name": "alpha", "api_keys": [KEY]},
    {"name": "beta", "api_keys": [OTHER_KEY]},
]


class FakeStorageHost:
    """A storage host that keeps its records in memory.

    Attributes:
        record_by_key: The records.
        may_write: Cleared to hold up each write.
        writing: Set once a write has arrived.
    """

    def __init__(self, name, failure_domain):
        self.name = name
        self.failure_domain = failure_domain
        self.port = free_port()
        self.record_by_key = {}
        self.may_write = asyncio.Event()
        self.may_write.set()
        self.writing = asyncio.Event()
        self._server = None

    def entry(self):
        """Returns its object in the store."""
        return {
            "address": "127.0.0.1",
            "port": self.port,
            "failure_domain": self.failure_domain,
            "disk_id": f"disk-{self.name}",
            "state": "serving",
        }

    async def start(self):
        address = Address.model_validate({"ip": "127.0.0.1", "port": self.port})
        self._server = RpcServer(self, address, HISTORY)
        await self._server.listen(None)

    async def stop(self):
        if self._server is not None:
            server, self._server = self._server, None
            await server.close(0.0)

    async def append_turns(self, request):
        self.writing.set()
        await self.may_write.wait()
        previous = request.records[0].previous_key
        if previous is not None and previous not in self.record_by_key:
            return AppendTurnsReply(Failure(ErrorKind.MISSING_PREVIOUS))
        for record in request.records:
            self.record_by_key[record.key] = record
        return AppendTurnsReply()

    async def read_chain(self, request):
        records = []
        key = TurnKey(request.workspace, request.turn_id)
        while key in self.record_by_key:
            records.insert(0, self.record_by_key[key])
            key = records[0].previous_key
        return ReadChainReply(records=tuple(records), is_complete=True)

    async def check(self, request):
        del request
        return CheckReply(f"disk-{self.name}", is_complete=True)


class KeptCase(EntryCase):
    """An entry host, three storage hosts and two engines."""

    tenants = None

    async def start_stand_ins(self):
        await super().start_stand_ins()
        self.store.put("config", "main", kept_configuration(1, self.tenants))
        self.storage_hosts = []
        for number, failure_domain in enumerate(DOMAINS):
            storage = FakeStorageHost(f"disk-{number}", failure_domain)
            await storage.start()
            self.addAsyncCleanup(storage.stop)
            self.storage_hosts.append(storage)
            self.store.put("history-hosts", storage.name, storage.entry())

    async def add_host(self, name, seeds=(), peers_port=None):
        host = RunningHost(name, self.store.port, seeds, peers_port)
        host.settings = host.settings.model_copy(
            update={"tolerated_losses": TOLERATED_LOSSES}
        )
        self.hosts.append(host)
        host.start()
        await host.wait_ready()
        await self.wait_storage_known(host)
        return host

    async def wait_storage_known(self, host):
        histories = host.entry._histories
        for _ in range(200):
            is_listed = len(histories.dump()) == len(self.storage_hosts)
            # Turns are refused until the listed hosts have answered a check.
            if is_listed and histories.check_room() is None:
                return
            await asyncio.sleep(0.01)
        raise AssertionError("the storage hosts are not known after 2 s")

    def turn_request(self, request_id, **headers):
        """Returns the header fields of a turn."""
        fields = {"Host": HOST, "Request-Id": request_id}
        fields |= {"Deadline-Ms": "2500"}
        return fields | {k.replace("_", "-"): v for k, v in headers.items()}

    async def run_turn(self, request_id, body=b"", host=None, **headers):
        http = (host or self.host).http
        fields = self.turn_request(request_id, **headers)
        return await http.post(KEPT + "x", headers=fields, content=body)

    def bodies(self):
        """Returns the bodies that the replicas have executed, by request."""
        return {
            seen.header_by_name["request-id"]: seen.body
            for replica in self.engines
            for seen in replica.executed_requests
        }

    def record(self, request_id, workspace=""):
        """Returns the record of a turn, which all storage hosts hold."""
        key = TurnKey(workspace, request_id)
        first, *others = (h.record_by_key[key] for h in self.storage_hosts)
        self.assertEqual(others, [first] * len(others))
        return first

    def hold_writes(self):
        for storage in self.storage_hosts:
            storage.may_write.clear()

    async def wait_writing(self):
        async with asyncio.timeout(2.0):
            for storage in self.storage_hosts:
                await storage.writing.wait()


def output_of(response):
    """Returns the output that a caller reads from a stream."""
    events = [e for e in response.content.split(b"\n\n") if e]
    return b"".join(
        b"\n".join(
            line.removeprefix(b"data: ")
            for line in event.split(b"\n")
            if line.startswith(b"data:")
        )
        + b"\n"
        for event in events
    )
