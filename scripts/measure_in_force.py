"""Measures the time from a change's acceptance until it is in force.

Nine daemons and the platform's stand-in run as processes on loopback. Changes
are applied one after another at changing hosts; every host's status is polled
until it reports the revision. Times are wall time from the answer to the
apply, and include the polling. Scenarios: nothing else going on; writes to the
platform beside it; one host paused for part of the time, whose own times are
told apart; every watch gone silent.
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
GAP_S = 0.2
PATIENCE_S = 20.0
WRITES_PER_S = 150
PLATFORM_WRITES_PER_S = 300
PAUSE_S = 2.0
GOAL_S = 1.0
BOUND_S = 4.0


@dataclasses.dataclass(frozen=True, slots=True)
class Arrival:
    """When one revision came into force on one host.

    Attributes:
        host: The host.
        seconds: Time since the change was accepted.
    """

    host: str
    seconds: float


@dataclasses.dataclass(frozen=True, slots=True)
class Scenario:
    """One way to disturb the system while changes are applied.

    Attributes:
        name: Stands in the table.
        disturb: Runs beside the changes until it is cancelled.
        apart: Hosts whose arrivals are told apart.
    """

    name: str
    disturb: Callable[[LocalCluster], Awaitable[None]]
    apart: frozenset[str] = frozenset()


class Operator:
    """Applies changes and watches them come into force."""

    def __init__(self, handles: Sequence[DaemonHandle]) -> None:
        self._handles = handles
        self._servers = itertools.cycle(handles)
        self._seen = ABSENT
        self._http = httpx.AsyncClient(
            headers={"Authorization": f"Bearer {OPERATOR_TOKEN}"},
            timeout=PATIENCE_S,
            trust_env=False,
        )

    async def close(self) -> None:
        """Closes the connections."""
        await self._http.aclose()

    async def change(
        self, number: int, avoided: frozenset[str]
    ) -> list[Arrival]:
        """Applies one change and waits until every host has it."""
        upstream = testing.engine("measured", "m", port=10_000 + number)
        server = next(h for h in self._servers if h.name not in avoided)
        revision = await self._apply(server, upstream)
        accepted = time.monotonic()
        return await asyncio.gather(
            *(
                self._wait(handle, revision, accepted)
                for handle in self._handles
            )
        )

    async def _apply(self, server: DaemonHandle, after: Declaration) -> int:
        edit = EditRequest.from_edit(Edit(key_of(after), self._seen, after))
        change = ChangeRequest(change_id=uuid.uuid4().hex, edits=(edit,))
        answer = await self._http.post(
            f"{server.operators_url}/v1/config/apply",
            content=change.model_dump_json(),
        )
        answer.raise_for_status()
        self._seen = after.digest
        return ApplyReport(**answer.json()).revision

    async def _wait(
        self, handle: DaemonHandle, revision: int, accepted: float
    ) -> Arrival:
        while await self._revision(handle) < revision:
            if time.monotonic() - accepted > PATIENCE_S:
                return Arrival(handle.name, math.inf)
            await asyncio.sleep(POLL_S)
        return Arrival(handle.name, time.monotonic() - accepted)

    async def _revision(self, handle: DaemonHandle) -> int:
        answer = await self._http.get(f"{handle.operators_url}/v1/status")
        answer.raise_for_status()
        revision: int = answer.json()["revision"]
        return revision


async def do_nothing(cluster: LocalCluster) -> None:
    """Leaves the system alone."""
    del cluster


async def write_beside(cluster: LocalCluster) -> None:
    """Writes other objects to the platform at a steady rate."""
    store = PlatformClient(cluster.platform.base_url, PATIENCE_S, Metrics())
    try:
        for number in itertools.count():
            key = f"load/{uuid.uuid4().hex}/{number}"
            await store.write(key, b"x" * 2000, MUST_NOT_EXIST)
            await asyncio.sleep(1 / WRITES_PER_S)
    finally:
        await store.close()


async def pause_one(cluster: LocalCluster) -> None:
    """Pauses the first host again and again."""
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
    """Lets every watch go silent; other calls work."""
    cluster.set_faults(cluster.platform, freeze_watches=True)
    try:
        await asyncio.Event().wait()
    finally:
        cluster.set_faults(cluster.platform)


SCENARIOS = (
    Scenario("nothing else", do_nothing),
    Scenario(f"{WRITES_PER_S} writes/s beside", write_beside),
    Scenario("host-1 paused 2 s of 6", pause_one, frozenset({"host-1"})),
    Scenario("all watches silent", freeze_watches),
)


async def measure(
    cluster: LocalCluster, scenarios: Sequence[Scenario], changes: int
) -> None:
    """Runs scenarios and prints one row for each."""
    operator = Operator(list(cluster.daemon_by_name.values()))
    print("| scenario | arrivals | p50 s | p99 s | longest s |")
    print("| --- | --- | --- | --- | --- |")
    number = 0
    try:
        for scenario in scenarios:
            arrivals: list[Arrival] = []
            async with _disturbed(scenario, cluster):
                for _ in range(changes):
                    number += 1
                    arrivals += await operator.change(number, scenario.apart)
                    await asyncio.sleep(GAP_S)
            _print_rows(scenario, arrivals)
    finally:
        await operator.close()


@asynccontextmanager
async def _disturbed(
    scenario: Scenario, cluster: LocalCluster
) -> AsyncIterator[None]:
    task = asyncio.ensure_future(scenario.disturb(cluster))
    try:
        yield
    finally:
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)


def _print_rows(scenario: Scenario, arrivals: Sequence[Arrival]) -> None:
    others = [a.seconds for a in arrivals if a.host not in scenario.apart]
    _print_row(scenario.name, others)
    for host in sorted(scenario.apart):
        own = [a.seconds for a in arrivals if a.host == host]
        _print_row(f"{scenario.name}: {host} itself", own)


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
    """Starts the system, measures and stops it."""
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
