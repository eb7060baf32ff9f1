"""The entry hosts, replicas and store of one run."""

import asyncio
import contextlib
import dataclasses
import pathlib
import time
from collections.abc import AsyncIterator

from masticdale_soak.fault_stack import FaultStack
from masticdale_soak.plans import Plan
from masticdale_soak.processes import HostProcess, StorageProcess
from masticdale_soak.proxies import LinkState, Proxy
from masticdale_standins.objects import FakeObjectStore, StoreFault
from masticdale_standins.replicas import (
    FakeReplica,
    ReplicaBehaviour,
    ReplicaFault,
)

HOST_HEADER = "soak.example"
STREAM_PATH = "/turns/"
LOOKUP_PATH = "/lookups/"
ORDER_PATH = "/orders/"
CONVERSATION_PATH = "/talks/"
# Longer than a run, so that no turn expires.
_RETENTION_S = 600.0
_STORAGE_HOSTS = 4
EVENTS = 4
TOKENS_PER_EVENT = 10
# Two workspaces; the second sends more than its cap allows.
WORKSPACE = "alpha"
WORKSPACE_KEY = "soak-key-of-alpha"
CAPPED_WORKSPACE = "capped"
CAPPED_KEY = "soak-key-of-capped"
CAP_RATE_PER_S = 8
CAP_BURST = 8
# The platform gives each host this many seeds. Seeds watch the store on behalf
# of the other hosts.
_SEEDS = 3
_ENGINES = 3
_UNARY_REPLICAS = 3
_SOFTWARE_VERSIONS = ("v1", "v1.2")
# Engines of each version in a run with several.
_ENGINES_OF_VERSION = 2
# Part of the target of requests that end each replica that runs them.
FATAL_TARGET = "fatal"
# Seconds after which an ended replica starts again.
_RESTART_S = 0.5
_SUPERVISION_INTERVAL_S = 0.02
_MEMORY_INTERVAL_S = 0.25
_EVENT_INTERVAL_S = 0.03
# In a run with several versions streams pause halfway, so that most of those
# under way are interrupted when their replica ends, on any machine.
_EVENTS_BEFORE_PAUSE = EVENTS // 2
_PAUSE_S = 0.5
_PROCESSING_S = 0.02


@dataclasses.dataclass(slots=True)
class Drain:
    """A period in which a replica must get no new requests.

    Attributes:
        replica_id: The replica.
        started_at: Monotonic time when the store marked it as draining.
        ended_at: Monotonic time when it became ready again.
    """

    replica_id: str
    started_at: float
    ended_at: float


class Replica:
    """A fake replica, its entry in the store, and the proxy in front of it.

    Attributes:
        fake: The replica.
        proxy: Proxy through which all hosts connect.
        faults: Faults of the replica.
        link_faults: Faults of the proxy.
        software_version: Version in its entry.
    """

    def __init__(
        self,
        service: str,
        is_stream: bool,
        store: FakeObjectStore,
        software_version: str = _SOFTWARE_VERSIONS[0],
    ) -> None:
        self.software_version = software_version
        self.fake = FakeReplica(service, is_stream)
        self.fake.behaviour = ReplicaBehaviour(
            events=EVENTS,
            event_interval_s=_EVENT_INTERVAL_S,
            processing_s=_PROCESSING_S,
        )
        self.proxy = Proxy()
        self.faults = FaultStack(ReplicaFault.NONE, self._set_fault)
        self.link_faults = FaultStack(LinkState(), self.proxy.set_link_state)
        self._store = store
        self._sequence = 0
        self._started_ms = 0
        self._state = "ready"
        self._is_up = False

    async def start(self) -> None:
        """Starts the replica and writes its entry, unless it is up."""
        if self._is_up:
            return
        self._is_up = True
        try:
            await self.fake.start()
        except OSError:
            # Another process has taken the port meanwhile.
            await self.fake.start_at(0)
        if self.proxy.is_listening:
            self.proxy.set_target(self.fake.port)
        else:
            await self.proxy.start(self.fake.port)
        self.begin_anew(self._state)

    async def crash(self) -> None:
        """Stops the replica and resets its connections."""
        self._is_up = False
        await self.fake.stop()
        self.proxy.reset()

    async def supervise(self) -> None:
        """Starts the replica again whenever a request has ended it."""
        while True:
            await asyncio.sleep(_SUPERVISION_INTERVAL_S)
            if not self.fake.has_ended:
                continue
            self.proxy.refuse()
            self.fake.has_ended = False
            self._is_up = False
            await asyncio.sleep(_RESTART_S)
            await self.start()

    def begin_anew(self, state: str = "ready") -> None:
        """Writes the entry of its next process.

        A process that drains ends afterwards, and never becomes ready again.
        """
        now_ms = time.time_ns() // 1_000_000
        self._started_ms = max(now_ms, self._started_ms + 1)
        self._sequence = 0
        self.write_entry(state)

    def remove_entry(self) -> None:
        """Removes its entry, as the store does without heartbeats."""
        self._store.remove("servers", self.fake.id)

    async def close(self) -> None:
        """Stops the replica and its proxy."""
        await self.fake.stop()
        await self.proxy.stop()

    def write_entry(self, state: str | None = None) -> None:
        """Writes its entry into the store."""
        self._state = state or self._state
        self._sequence += 1
        entry = self.fake.entry(
            address=f"127.0.0.1:{self.proxy.port}",
            state=self._state,
            sequence=self._sequence,
            born=self._started_ms,
            version=self.software_version,
        )
        self._store.put("servers", self.fake.id, entry)

    def _set_fault(self, fault: ReplicaFault) -> None:
        self.fake.behaviour.fault = fault


class Environment:
    """All processes and fakes of one run.

    Attributes:
        store: Fake of the platform's store.
        store_faults: Faults of the store.
        store_delays: Response delays of the store, in seconds.
        replicas: All replicas.
        hosts: All entry hosts.
        storage_hosts: All storage hosts; none in a run without histories.
        version: Newest version of the configuration.
        drains: Completed drains of replicas.
    """

    def __init__(
        self, plan: Plan, directory: pathlib.Path, command: tuple[str, ...] = ()
    ) -> None:
        self.store = FakeObjectStore()
        self.store_faults = FaultStack(StoreFault.NONE, self._set_store_fault)
        self.store_delays = FaultStack(0.0, self._set_store_delay)
        self.replicas = [
            *self._engines(plan),
            *(
                Replica("desk", False, self.store)
                for _ in range(_UNARY_REPLICAS)
            ),
        ]
        self.hosts = [
            HostProcess(f"host-{n}", directory, command)
            for n in range(1, plan.hosts + 1)
        ]
        self.storage_hosts = [
            StorageProcess(f"storage-{n}", directory, command, self._is_listed)
            for n in range(_STORAGE_HOSTS if plan.load.histories else 0)
        ]
        self.version = 0
        self.drains: list[Drain] = []
        self._supervisors: list[asyncio.Task[None]] = []
        if plan.load.versions:
            for replica in self.replicas:
                replica.fake.behaviour.events_before_pause = (
                    _EVENTS_BEFORE_PAUSE
                )
                replica.fake.behaviour.pause_s = _PAUSE_S
        if plan.load.fatal:
            for replica in self.replicas:
                replica.fake.behaviour.fatal_target = FATAL_TARGET

    def _engines(self, plan: Plan) -> list[Replica]:
        if not plan.load.versions:
            return [
                Replica("engine", True, self.store) for _ in range(_ENGINES)
            ]
        return [
            Replica("engine", True, self.store, version)
            for _ in range(_ENGINES_OF_VERSION)
            for version in _SOFTWARE_VERSIONS
        ]

    @contextlib.asynccontextmanager
    async def running(self) -> AsyncIterator[None]:
        """Starts everything and stops it on exit."""
        try:
            await self._start()
            yield
        finally:
            for host in (*self.hosts, *self.storage_hosts):
                await host.close()
            for supervisor in self._supervisors:
                supervisor.cancel()
            for replica in self.replicas:
                await replica.close()
            await self.store.stop()

    def change_configuration(self) -> None:
        """Writes the next version, as an operator would.

        Each version has a unique route, which shows whether a host has
        applied that version.
        """
        self.version += 1
        routes = [
            _route(STREAM_PATH, "streaming", "engine", 1, resumable=True),
            _route(LOOKUP_PATH, "idempotent", "desk", 2),
            _route(ORDER_PATH, "non_idempotent", "desk", 1),
            *self._conversation_routes(),
            _route(version_path(self.version), "idempotent", "desk", 2),
        ]
        self.store.put("config", "main", _configuration(self.version, routes))

    def _conversation_routes(self) -> list[dict[str, object]]:
        if not self.storage_hosts:
            return []
        kept = {"retain_history": True, "retention_s": _RETENTION_S}
        return [_route(CONVERSATION_PATH, "streaming", "engine", 1, **kept)]

    def _is_listed(self, host: str) -> bool:
        return host in self.store.names("history-hosts")

    async def _start(self) -> None:
        await self.store.start()
        for replica in self.replicas:
            await replica.start()
            supervisor = asyncio.create_task(replica.supervise())
            self._supervisors.append(supervisor)
        self._supervisors.append(asyncio.create_task(self._observe_memory()))
        self.change_configuration()
        for host in (*self.hosts, *self.storage_hosts):
            await host.start_proxies(self.store.port)
        for storage in self.storage_hosts:
            storage.write_settings([])
            storage.start()
        for host in self.hosts:
            host.write_settings(self.hosts[:_SEEDS])
            host.start()
        for host in (*self.hosts, *self.storage_hosts):
            await host.wait_ready()

    async def _observe_memory(self) -> None:
        while True:
            await asyncio.sleep(_MEMORY_INTERVAL_S)
            for host in self.hosts:
                host.record_memory()

    def _set_store_fault(self, fault: StoreFault) -> None:
        self.store.faults.fault = fault

    def _set_store_delay(self, delay_s: float) -> None:
        self.store.faults.delay_s = delay_s


def version_path(version: int) -> str:
    """Returns the path of the route that is unique to a version."""
    return f"/version-{version}/"


def _route(
    path: str, kind: str, service: str, attempts: int, **more: object
) -> dict[str, object]:
    return {
        "name": path.strip("/"),
        "host": HOST_HEADER,
        "path_prefix": path,
        "kind": kind,
        "timeout_ms": 4000,
        "target_latency_ms": 200,
        "priority": 0,
        "service": service,
        "max_attempts": attempts,
    } | more


def _configuration(
    version: int, routes: list[dict[str, object]]
) -> dict[str, object]:
    return {
        "version": version,
        "routes": routes,
        "services": [
            {
                "name": "engine",
                "max_connections": 200,
                "engine": {"tokens_per_event": TOKENS_PER_EVENT},
            },
            {"name": "desk", "max_connections": 200},
        ],
        "limits": {
            "max_header_bytes": 16_384,
            "max_body_bytes": 100_000,
            "header_timeout_ms": 1000,
            "idle_timeout_ms": 10_000,
        },
        "tenants": [
            {"name": WORKSPACE, "api_keys": [WORKSPACE_KEY]},
            {
                "name": CAPPED_WORKSPACE,
                "api_keys": [CAPPED_KEY],
                "rate_per_s": CAP_RATE_PER_S,
                "burst": CAP_BURST,
            },
        ],
    }
