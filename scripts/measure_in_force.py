"""Measures the delay between accepting a change and activating it.

Nine daemons and the platform stand-in run on loopback. Changes are applied
sequentially through different hosts, and the status of each host is polled
until it reports the revision. Times are wall-clock times from the response to
the apply request and include the polling interval. The scenarios are: no
disturbance, concurrent writes to the platform, one host that is paused
periodically and reported separately, and watches without events.
"""

import argparse
import asyncio
import dataclasses
import itertools
import math
import time
import uuid
from collections.abc import AsyncIterator, Awaitable, Callable, Sequence
from contextlib import asynccontextmanager

import httpx

from masticdale_common import Metrics
from masticdale_config import ABSENT, Declaration, Edit, key_of, testing
from masticdale_config.messages import (
    ApplyReport,
    ChangeRequest,
    EditRequest,
)
from masticdale_platform import MUST_NOT_EXIST
from masticdale_platform.client import PlatformClient
from masticdale_standins.clusters import (
    OPERATOR_TOKEN,
    ClusterPlan,
    DaemonHandle,
    LocalCluster,
    start_cluster,
    start_daemons,
)
from masticdale_standins.settings import PlatformSettings

HOSTS = 9
DEFAULT_CHANGES = 40
POLL_S = 0.02
CHANGE_INTERVAL_S = 0.2
TIMEOUT_S = 20.0
WRITES_PER_S = 150
PLATFORM_WRITES_PER_S = 300
PAUSE_S = 2.0
GOAL_S = 1.0
BOUND_S = 4.0


@dataclasses.dataclass(frozen=True, slots=True)
class Activation:
    """Activation of one revision on one host.

    Attributes:
        host: Name of the host.
        seconds: Time since the change was accepted; infinity on a timeout.
    """

    host: str
    seconds: float


@dataclasses.dataclass(frozen=True, slots=True)
class Scenario:
    """Fault that is injected while changes are applied.

    Attributes:
        name: Name of the scenario in the table.
        inject_fault: Runs concurrently with the changes until cancelled.
        separate_hosts: Hosts that are reported in rows of their own.
    """

    name: str
    inject_fault: Callable[[LocalCluster], Awaitable[None]]
    separate_hosts: frozenset[str] = frozenset()


class Operator:
    """Applies changes and waits for their activation."""

    def __init__(self, handles: Sequence[DaemonHandle]) -> None:
        self._handles = handles
        self._servers = itertools.cycle(handles)
        self._digest = ABSENT
        self._http = httpx.AsyncClient(
            headers={"Authorization": f"Bearer {OPERATOR_TOKEN}"},
            timeout=TIMEOUT_S,
            trust_env=False,
        )

    async def close(self) -> None:
        """Closes the connections."""
        await self._http.aclose()

    async def change(
        self, number: int, excluded_hosts: frozenset[str]
    ) -> list[Activation]:
        """Applies one change and waits until all hosts have activated it."""
        upstream = testing.engine("measured", "m", port=10_000 + number)
        server = next(h for h in self._servers if h.name not in excluded_hosts)
        revision = await self._apply(server, upstream)
        accepted = time.monotonic()
        return await asyncio.gather(
            *(
                self._wait(handle, revision, accepted)
                for handle in self._handles
            )
        )

    async def _apply(
        self, server: DaemonHandle, declaration: Declaration
    ) -> int:
        edit = EditRequest.from_edit(
            Edit(key_of(declaration), self._digest, declaration)
        )
        change = ChangeRequest(change_id=uuid.uuid4().hex, edits=(edit,))
        response = await self._http.post(
            f"{server.operators_url}/v1/config/apply",
            content=change.model_dump_json(),
        )
        response.raise_for_status()
        self._digest = declaration.digest
        return ApplyReport(**response.json()).revision

    async def _wait(
        self, handle: DaemonHandle, revision: int, accepted: float
    ) -> Activation:
        while await self._revision(handle) < revision:
            if time.monotonic() - accepted > TIMEOUT_S:
                return Activation(handle.name, math.inf)
            await asyncio.sleep(POLL_S)
        return Activation(handle.name, time.monotonic() - accepted)

    async def _revision(self, handle: DaemonHandle) -> int:
        response = await self._http.get(f"{handle.operators_url}/v1/status")
        response.raise_for_status()
        revision: int = response.json()["revision"]
        return revision


async def do_nothing(cluster: LocalCluster) -> None:
    """Injects no fault."""
    del cluster


async def write_concurrently(cluster: LocalCluster) -> None:
    """Writes unrelated objects to the platform at a fixed rate."""
    store = PlatformClient(cluster.platform.base_url, TIMEOUT_S, Metrics())
    try:
        for number in itertools.count():
            key = f"load/{uuid.uuid4().hex}/{number}"
            await store.write(key, b"x" * 2000, MUST_NOT_EXIST)
            await asyncio.sleep(1 / WRITES_PER_S)
    finally:
        await store.close()


async def pause_first_host(cluster: LocalCluster) -> None:
    """Pauses the first host periodically."""
    process = cluster.daemon_by_name["host-1"].process
    try:
        while True:
            process.pause()
            await asyncio.sleep(PAUSE_S)
            process.resume()
            await asyncio.sleep(2 * PAUSE_S)
    finally:
        process.resume()


async def freeze_watches(cluster: LocalCluster) -> None:
    """Stops all watches from delivering events; other calls work."""
    cluster.set_faults(cluster.platform, freeze_watches=True)
    try:
        await asyncio.Event().wait()
    finally:
        cluster.set_faults(cluster.platform)


SCENARIOS = (
    Scenario("nothing else", do_nothing),
    Scenario(f"{WRITES_PER_S} writes/s beside", write_concurrently),
    Scenario("host-1 paused 2 s of 6", pause_first_host, frozenset({"host-1"})),
    Scenario("all watches silent", freeze_watches),
)


async def measure(
    cluster: LocalCluster, scenarios: Sequence[Scenario], changes: int
) -> None:
    """Runs scenarios and prints their rows."""
    operator = Operator(list(cluster.daemon_by_name.values()))
    print("| scenario | arrivals | p50 s | p99 s | longest s |")
    print("| --- | --- | --- | --- | --- |")
    number = 0
    try:
        for scenario in scenarios:
            activations: list[Activation] = []
            async with _fault_injected(scenario, cluster):
                for _ in range(changes):
                    number += 1
                    activations += await operator.change(
                        number, scenario.separate_hosts
                    )
                    await asyncio.sleep(CHANGE_INTERVAL_S)
            _print_rows(scenario, activations)
    finally:
        await operator.close()


@asynccontextmanager
async def _fault_injected(
    scenario: Scenario, cluster: LocalCluster
) -> AsyncIterator[None]:
    task = asyncio.ensure_future(scenario.inject_fault(cluster))
    try:
        yield
    finally:
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)


def _print_rows(scenario: Scenario, activations: Sequence[Activation]) -> None:
    other_seconds = [
        a.seconds for a in activations if a.host not in scenario.separate_hosts
    ]
    _print_row(scenario.name, other_seconds)
    for host in sorted(scenario.separate_hosts):
        host_seconds = [a.seconds for a in activations if a.host == host]
        _print_row(f"{scenario.name}: {host} itself", host_seconds)


def _print_row(name: str, seconds: list[float]) -> None:
    seconds.sort()
    p50 = seconds[len(seconds) // 2]
    p99 = seconds[min(len(seconds) - 1, math.ceil(len(seconds) * 0.99) - 1)]
    print(
        f"| {name} | {len(seconds)} | {p50:.3f} | {p99:.3f}"
        f" | {seconds[-1]:.3f} |",
        flush=True,
    )


def main() -> None:
    """Starts the system, runs the scenarios and stops the system."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--changes", type=int, default=DEFAULT_CHANGES)
    parser.add_argument("--only", default="", help="part of a scenario's name")
    options = parser.parse_args()
    scenarios = [s for s in SCENARIOS if options.only in s.name]
    names = tuple(f"host-{number + 1}" for number in range(HOSTS))
    plan = ClusterPlan(
        hosts=HOSTS,
        engines={},
        services={},
        platform=PlatformSettings(
            port=1, hosts=names, writes_per_s=PLATFORM_WRITES_PER_S
        ),
    )
    cluster = start_cluster(plan)
    try:
        start_daemons(cluster, plan)
        asyncio.run(measure(cluster, scenarios, options.changes))
    finally:
        cluster.stop()
    print(f"goal: p99 under {GOAL_S} s, never over {BOUND_S} s")


if __name__ == "__main__":
    main()
