"""Measures the idle cost of a daemon by number of replicas and programs.

Starts a system for each size, waits until it is idle, and reads the CPU time
and memory of the daemons from /proc and the call counts of the platform
stand-in.
"""

import argparse
import asyncio
import dataclasses
import json
import os
import pathlib
import sys
import time

import httpx

from masticdale_config import Declaration, parse
from masticdale_config.testing import (
    TENGRI,
    TENGRI_KEY,
    engine,
    tengri_trails,
)
from masticdale_standins.clusters import (
    ClusterPlan,
    LocalCluster,
    fast_engine,
    select_declarations,
    start_cluster,
    start_daemons,
)
from masticdale_standins.settings import PlatformSettings, ServiceSettings

SETTLE_S = 4.0
SERVICE = "permit-desk-1"
MAX_CONCURRENCY = 16
WRITE_CALLS = ("PUT object", "DELETE object")
TICKS_PER_S = os.sysconf("SC_CLK_TCK")
PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")
MEGABYTE = 1_000_000


@dataclasses.dataclass(frozen=True, slots=True)
class Sample:
    """Counters of all daemons and the platform at one time."""

    at: float
    cpu_s: float
    rss_bytes: int
    reads: int
    writes: int


@dataclasses.dataclass(frozen=True, slots=True)
class Row:
    """Idle cost of one size, per daemon."""

    hosts: int
    replicas: int
    programs: int
    cpu_percent: float
    rss_mb: float
    platform_reads_per_s: float
    platform_writes_per_s: float


def take_sample(cluster: LocalCluster) -> Sample:
    """Reads the current counters."""
    cpu_s = 0.0
    rss_bytes = 0
    for handle in cluster.daemon_by_name.values():
        folder = pathlib.Path(f"/proc/{handle.process.pid}")
        fields = (folder / "stat").read_text().rsplit(")", 1)[1].split()
        cpu_s += (int(fields[11]) + int(fields[12])) / TICKS_PER_S
        pages = int((folder / "statm").read_text().split()[1])
        rss_bytes += pages * PAGE_BYTES
    url = f"{cluster.platform.base_url}/admin/stats"
    stats = httpx.get(url, trust_env=False).raise_for_status().json()
    calls = stats["count_by_call"]
    writes = sum(calls.get(call, 0) for call in WRITE_CALLS)
    reads = sum(calls.values()) - writes
    return Sample(time.monotonic(), cpu_s, rss_bytes, reads, writes)


def measure(options: argparse.Namespace, replicas: int, programs: int) -> Row:
    """Starts a system of one size and measures its idle cost."""
    plan = make_plan(options.hosts, replicas)
    cluster = start_cluster(plan)
    try:
        cluster.apply(declarations(cluster, replicas))
        start_daemons(cluster, plan)
        asyncio.run(create_programs(cluster, programs))
        time.sleep(SETTLE_S)
        before = take_sample(cluster)
        time.sleep(options.seconds)
        after = take_sample(cluster)
    finally:
        cluster.stop()
    span_s = (after.at - before.at) * options.hosts
    return Row(
        hosts=options.hosts,
        replicas=replicas,
        programs=programs,
        cpu_percent=round(100 * (after.cpu_s - before.cpu_s) / span_s, 2),
        rss_mb=round(after.rss_bytes / options.hosts / MEGABYTE, 1),
        platform_reads_per_s=round((after.reads - before.reads) / span_s, 2),
        platform_writes_per_s=round((after.writes - before.writes) / span_s, 2),
    )


def make_plan(hosts: int, replicas: int) -> ClusterPlan:
    """Returns the cluster plan of one size."""
    names = tuple(f"host-{n + 1}" for n in range(hosts))
    return ClusterPlan(
        hosts=hosts,
        engines={engine_name(n): fast_engine() for n in range(replicas)},
        services={SERVICE: ServiceSettings(port=1)},
        platform=PlatformSettings(
            port=1, hosts=names, writes_per_s=0, reads_per_s=0
        ),
    )


def engine_name(number: int) -> str:
    """Returns the name of an engine by its index."""
    return f"permit-{number + 1}"


def declarations(cluster: LocalCluster, replicas: int) -> list[Declaration]:
    """Returns the sample workspace with a number of engines."""
    engines = [engine(engine_name(n), "permit-70b", n) for n in range(replicas)]
    declaration_by_name = {d.name: d for d in (*tengri_trails(), *engines)}
    workspace = declaration_by_name[TENGRI].model_dump(mode="json")
    workspace["spec"]["upstreams"] = [e.name for e in engines] + [SERVICE]
    declaration_by_name[TENGRI] = parse(json.dumps(workspace)).unwrap()
    return select_declarations(list(declaration_by_name.values()), cluster)


async def create_programs(cluster: LocalCluster, programs: int) -> None:
    """Creates programs and sends one turn to each."""
    urls = [handle.callers_url for handle in cluster.daemon_by_name.values()]
    headers = {"authorization": f"Bearer {TENGRI_KEY}"}
    semaphore = asyncio.Semaphore(MAX_CONCURRENCY)
    async with httpx.AsyncClient(
        headers=headers, timeout=60, trust_env=False
    ) as http:

        async def create_program(number: int) -> None:
            url = f"{urls[number % len(urls)]}/v1/programs"
            begin = {"request_id": f"m{number}", "program": "dossier-build"}
            turn = {
                "request_id": "t",
                "message": f"program {number}",
                "max_tokens": 16,
            }
            async with semaphore:
                created = await http.post(url, json=begin)
                program = created.raise_for_status().json()["program_id"]
                response = await http.post(f"{url}/{program}/turns", json=turn)
                response.raise_for_status()

        await asyncio.gather(
            *(create_program(number) for number in range(programs))
        )


def main() -> int:
    """Measures all sizes and prints a table, or JSON with ``--json``.

    Returns:
        The exit code.
    """
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--hosts", type=int, default=3)
    parser.add_argument("--seconds", type=float, default=10.0)
    parser.add_argument(
        "--sizes",
        nargs="+",
        default=["3:0", "24:0", "3:2000"],
        help="replicas:programs, two or more",
    )
    parser.add_argument("--json", action="store_true")
    options = parser.parse_args()
    rows = []
    for size in options.sizes:
        replicas, programs = map(int, size.split(":"))
        rows.append(measure(options, replicas, programs))
        print(rows[-1], file=sys.stderr, flush=True)
    if options.json:
        print(json.dumps([dataclasses.asdict(row) for row in rows], indent=2))
        return 0
    print("hosts replicas programs  cpu%  rss MB  reads/s  writes/s per daemon")
    for row in rows:
        print(
            f"{row.hosts:5} {row.replicas:8} {row.programs:8}"
            f" {row.cpu_percent:5} {row.rss_mb:7} {row.platform_reads_per_s:8}"
            f" {row.platform_writes_per_s:9}"
        )
    return 0


if __name__ == "__main__":
    sys.exit(main())
