"""What surrounds the hosts: store, replicas, operator; and the hosts."""

import contextlib
import dataclasses
import pathlib
import time
from collections.abc import AsyncIterator

from masticdale_soak.fault_stack import Layers
from masticdale_soak.plans import Plan
from masticdale_soak.processes import HostProcess
from masticdale_soak.proxies import LinkState, Proxy
from masticdale_standins.objects import FakeObjectStore, StoreFault
from masticdale_standins.replicas import Behaviour, FakeReplica, ReplicaFault

CALLERS_HOST = "soak.example"
STREAM_PATH = "/turns/"
LOOKUP_PATH = "/lookups/"
ORDER_PATH = "/orders/"
EVENTS = 4
TOKENS_PER_EVENT = 10
# As many as the platform names to each host; these watch the store for the
# others.
_SEEDS = 3
_ENGINES = 3
_DESKS = 3
_EVENT_S = 0.03
_WORK_S = 0.02


@dataclasses.dataclass(slots=True)
class Drain:
    """A replica that is to get no new work.

    Attributes:
        replica_id: The replica.
        began: Monotonic seconds when the store said so.
        ended: When it took work again.
    """

    replica_id: str
    began: float
    ended: float


class Replica:
    """A replica, its entry in the store, and the way to it.

    Attributes:
        stand_in: The replica.
        link: The way of all hosts to it.
        faults: What it does wrong.
        link_faults: What its link does wrong.
    """

    def __init__(
        self, service: str, is_stream: bool, store: FakeObjectStore
    ) -> None:
        self.stand_in = FakeReplica(service, is_stream)
        self.stand_in.behaviour = Behaviour(
            events=EVENTS, event_s=_EVENT_S, work_s=_WORK_S
        )
        self.link = Proxy()
        self.faults = Layers(ReplicaFault.NONE, self._set_fault)
        self.link_faults = Layers(LinkState(), self.link.set_link_state)
        self._store = store
        self._sequence = 0
        self._born_ms = 0
        self._state = "ready"

    async def start(self) -> None:
        """Starts it and writes its entry."""
        await self.stand_in.start()
        if not self.link.port:
            await self.link.start(self.stand_in.port)
        self._born_ms = time.time_ns() // 1_000_000
        self._sequence = 0
        self.write_entry()

    async def crash(self) -> None:
        """Ends it with all of its connections."""
        await self.stand_in.stop()
        self.link.reset()

    def remove_entry(self) -> None:
        """Has its entry lapse, as that of a replica that sends nothing."""
        self._store.remove("servers", self.stand_in.id)

    async def close(self) -> None:
        """Ends it and its link."""
        await self.stand_in.stop()
        await self.link.stop()

    def write_entry(self, state: str | None = None) -> None:
        """Writes what it says of itself into the store."""
        self._state = state or self._state
        self._sequence += 1
        entry = self.stand_in.entry(
            address=f"127.0.0.1:{self.link.port}",
            state=self._state,
            sequence=self._sequence,
            born=self._born_ms,
        )
        self._store.put("servers", self.stand_in.id, entry)

    def _set_fault(self, fault: ReplicaFault) -> None:
        self.stand_in.behaviour.fault = fault


class World:
    """Everything of one run.

    Attributes:
        store: The platform's store.
        store_faults: What it does wrong.
        store_delays: How long it takes for an answer, in seconds.
        replicas: All replicas.
        hosts: All entry hosts.
        version: The newest version of the configuration.
        drains: Replicas that were to get no new work.
    """

    def __init__(
        self, plan: Plan, folder: pathlib.Path, command: tuple[str, ...] = ()
    ) -> None:
        self.store = FakeObjectStore()
        self.store_faults = Layers(StoreFault.NONE, self._set_store_fault)
        self.store_delays = Layers(0.0, self._set_store_delay)
        self.replicas = [
            *(Replica("engine", True, self.store) for _ in range(_ENGINES)),
            *(Replica("desk", False, self.store) for _ in range(_DESKS)),
        ]
        self.hosts = [
            HostProcess(f"host-{n}", folder, command)
            for n in range(1, plan.hosts + 1)
        ]
        self.version = 0
        self.drains: list[Drain] = []

    @contextlib.asynccontextmanager
    async def running(self) -> AsyncIterator[None]:
        """Starts everything; ends all of it at the end."""
        try:
            await self._start()
            yield
        finally:
            for host in self.hosts:
                await host.close()
            for replica in self.replicas:
                await replica.close()
            await self.store.stop()

    def change_configuration(self) -> None:
        """Writes the next version, as the operator would.

        Each version has a route of its own, so that callers can tell which
        one is in force.
        """
        self.version += 1
        routes = [
            _route(STREAM_PATH, "streaming", "engine", 1, resumable=True),
            _route(LOOKUP_PATH, "idempotent", "desk", 2),
            _route(ORDER_PATH, "non_idempotent", "desk", 1),
            _route(version_path(self.version), "idempotent", "desk", 2),
        ]
        self.store.put("config", "main", _configuration(self.version, routes))

    async def _start(self) -> None:
        await self.store.start()
        for replica in self.replicas:
            await replica.start()
        self.change_configuration()
        for host in self.hosts:
            await host.open_links(self.store.port)
        for host in self.hosts:
            host.write_settings(self.hosts[:_SEEDS])
            host.start()
        for host in self.hosts:
            await host.wait_ready()

    def _set_store_fault(self, fault: StoreFault) -> None:
        self.store.faults.fault = fault

    def _set_store_delay(self, delay_s: float) -> None:
        self.store.faults.delay_s = delay_s


def version_path(version: int) -> str:
    """Returns the path that only one version of the configuration has."""
    return f"/version-{version}/"


def _route(
    path: str, kind: str, service: str, attempts: int, **more: object
) -> dict[str, object]:
    return {
        "name": path.strip("/"),
        "host": CALLERS_HOST,
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
    }
