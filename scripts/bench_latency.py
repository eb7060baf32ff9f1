"""Measures the latency that the system adds to direct engine calls.

An open-loop load sends turns of new programs through the daemons, round-robin,
at a fixed rate, then sends the same prompts directly to the engines at the same
rate. The added latency is the difference between the quantiles of both
distributions.
"""

import argparse
import asyncio
import dataclasses
import json
import sys
import time
from collections.abc import Awaitable, Callable

import httpx
from hdrh.histogram import HdrHistogram

from masticdale_common import Metrics
from masticdale_config.testing import TENGRI_KEY, tengri_trails
from masticdale_standins.clusters import (
    ClusterPlan,
    LocalCluster,
    fast_engine,
    select_declarations,
    start_cluster,
    start_daemons,
)
from masticdale_standins.settings import PlatformSettings, ServiceSettings
from masticdale_upstreams import (
    EngineClient,
    EngineOptions,
    GenerateRequest,
    create_engine_client,
)

MAX_US = 60_000_000
SIGNIFICANT_DIGITS = 3
MAX_TOKENS = 32
SETTLE_S = 3.0
QUANTILES = (50.0, 95.0, 99.0)


@dataclasses.dataclass(frozen=True, slots=True)
class Row:
    """Latency quantiles of one path to the engines, in milliseconds."""

    way: str
    turns: int
    failed: int
    p50_ms: float
    p95_ms: float
    p99_ms: float


class LatencyRecorder:
    """Records the durations of successful turns."""

    def __init__(self) -> None:
        self._histogram = HdrHistogram(1, MAX_US, SIGNIFICANT_DIGITS)
        self.failed = 0

    async def measure(self, work: Awaitable[bool]) -> None:
        """Times one turn; a turn that returns False counts as failed."""
        started = time.perf_counter()
        if not await work:
            self.failed += 1
            return
        elapsed_us = (time.perf_counter() - started) * 1e6
        self._histogram.record_value(int(elapsed_us))

    def row(self, way: str) -> Row:
        """Returns the recorded quantiles."""
        p50, p95, p99 = (
            self._histogram.get_value_at_percentile(q) / 1000 for q in QUANTILES
        )
        count = self._histogram.get_total_count()
        return Row(way, count, self.failed, p50, p95, p99)


async def run_open_loop(
    way: str,
    rate: float,
    seconds: float,
    turn: Callable[[int], Awaitable[bool]],
) -> Row:
    """Starts turns at a fixed rate, without waiting for earlier ones."""
    recorder = LatencyRecorder()
    tasks = []
    started = time.perf_counter()
    for number in range(int(rate * seconds)):
        delay_s = started + number / rate - time.perf_counter()
        await asyncio.sleep(max(0.0, delay_s))
        tasks.append(asyncio.create_task(recorder.measure(turn(number))))
    await asyncio.gather(*tasks)
    return recorder.row(way)


async def measure(
    cluster: LocalCluster, rate: float, seconds: float
) -> list[Row]:
    """Measures direct engine calls, then turns through the daemons."""
    await asyncio.sleep(SETTLE_S)
    metrics = Metrics()
    engines = [
        create_engine_client(EngineOptions(process.base_url), metrics)
        for process in cluster.engine_by_name.values()
    ]
    urls = [handle.callers_url for handle in cluster.daemon_by_name.values()]
    headers = {"authorization": f"Bearer {TENGRI_KEY}"}
    limits = httpx.Limits(max_connections=1000)
    async with httpx.AsyncClient(
        headers=headers, timeout=60, trust_env=False, limits=limits
    ) as http:
        programs = await create_programs(http, urls, int(rate * seconds))

        async def proxied_turn(number: int) -> bool:
            url = urls[number % len(urls)]
            body = {
                "request_id": "t",
                "message": prompt(number),
                "max_tokens": MAX_TOKENS,
            }
            path = f"{url}/v1/programs/{programs[number]}/turns"
            return (await http.post(path, json=body)).is_success

        async def direct_turn(number: int) -> bool:
            return await generate(engines[number % len(engines)], number)

        rows = [
            await run_open_loop("direct", rate, seconds, direct_turn),
            await run_open_loop("whole path", rate, seconds, proxied_turn),
        ]
    for engine in engines:
        await engine.close()
    return rows


async def create_programs(
    http: httpx.AsyncClient, urls: list[str], count: int
) -> list[str]:
    """Creates one program per turn and returns their ids."""
    ids = []
    for number in range(count):
        body = {"request_id": f"bench-{number}", "program": "dossier-build"}
        url = urls[number % len(urls)]
        response = await http.post(f"{url}/v1/programs", json=body)
        ids.append(response.raise_for_status().json()["program_id"])
    return ids


async def generate(engine: EngineClient, number: int) -> bool:
    """Sends one generation request directly to an engine."""
    request = GenerateRequest(
        request_id=f"direct-{number}",
        program_id=f"direct-{number}",
        branch_id="main",
        prompt=(prompt(number),),
        max_tokens=MAX_TOKENS,
        deadline_s=60.0,
        fencing=0,
    )
    outcome = await engine.generate(request, lambda chunk: None)
    return hasattr(outcome, "unwrap") and outcome.value_or(None) is not None


def prompt(number: int) -> str:
    """Returns a prompt that is unique to a turn."""
    return f"turn {number}: check the itinerary of the group. " * 8


def plan(hosts: int, engines: int) -> ClusterPlan:
    """Returns the cluster plan of the benchmark."""
    names = tuple(f"host-{n + 1}" for n in range(hosts))
    return ClusterPlan(
        hosts=hosts,
        engines={
            f"permit-{n + 1}": fast_engine(line_interval_ms=5)
            for n in range(engines)
        },
        services={"permit-desk-1": ServiceSettings(port=1)},
        platform=PlatformSettings(port=1, hosts=names, writes_per_s=0),
    )


def main() -> int:
    """Runs the benchmark and prints a table, or JSON with ``--json``.

    Returns:
        The exit code: 1 if a turn failed.
    """
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--rate", type=float, default=50.0, help="turns/s")
    parser.add_argument("--seconds", type=float, default=20.0)
    parser.add_argument("--hosts", type=int, default=3)
    parser.add_argument("--engines", type=int, default=5)
    parser.add_argument("--json", action="store_true")
    options = parser.parse_args()
    cluster_plan = plan(options.hosts, options.engines)
    cluster = start_cluster(cluster_plan)
    try:
        cluster.apply(select_declarations(tengri_trails(), cluster))
        start_daemons(cluster, cluster_plan)
        rows = asyncio.run(measure(cluster, options.rate, options.seconds))
    finally:
        cluster.stop()
    if options.json:
        print(json.dumps([dataclasses.asdict(row) for row in rows], indent=2))
        return 1 if any(row.failed for row in rows) else 0
    print(f"{'way':12} {'turns':>6} {'failed':>6} {'p50':>8} {'p95':>8} p99 ms")
    for row in rows:
        print(
            f"{row.way:12} {row.turns:6} {row.failed:6} {row.p50_ms:8.1f}"
            f" {row.p95_ms:8.1f} {row.p99_ms:.1f}"
        )
    return 1 if any(row.failed for row in rows) else 0


if __name__ == "__main__":
    sys.exit(main())
