"""Command ``mastic-soak``: soak tests with random faults."""

import concurrent.futures
import pathlib
import random
import sys
import time

import fire

from masticdale_soak.plans import LoadOptions, make_plan
from masticdale_soak.runs import Report, run_seed

_SECONDS = 20.0
_HOSTS = 4
_JOBS = 3
_EXIT_VIOLATIONS = 1


def run(
    seed: int,
    seconds: float = _SECONDS,
    hosts: int = _HOSTS,
    output: str = "",
    fatal: bool = False,
    histories: bool = False,
    versions: bool = False,
    endless: bool = False,
    watches: bool = False,
) -> None:
    """Runs the plan of one seed.

    Args:
        seed: Seed of the plan.
        seconds: Duration of the load in seconds.
        hosts: Number of entry hosts.
        output: File for the JSON report; none if empty.
        fatal: Whether the load holds requests that end their replicas.
        histories: Whether the load holds conversations, and storage hosts are
            lost.
        versions: Whether engines of two software versions serve, and callers
            resume streams.
        endless: Whether replicas send bytes without end at times.
        watches: Whether watches are lost or cut while the store's calls are
            answered, and older entries of replicas arrive last.
    """
    load = LoadOptions(fatal, histories, versions, endless, watches)
    report = run_seed(seed, seconds, hosts, load)
    print(report.summary())
    _report_and_exit([report], output)


def hunt(
    minutes: float = 5.0,
    seeds: int = 0,
    first: int = 0,
    seconds: float = _SECONDS,
    hosts: int = _HOSTS,
    jobs: int = _JOBS,
    output: str = "",
    fatal: bool = False,
    histories: bool = False,
    versions: bool = False,
    endless: bool = False,
    watches: bool = False,
) -> None:
    """Runs consecutive seeds in parallel.

    Args:
        minutes: Time limit for starting new runs, if seeds is 0.
        seeds: Number of seeds; 0 to run until the time limit.
        first: First seed; a random one if 0.
        seconds: Duration of the load of each run in seconds.
        hosts: Number of entry hosts of each run.
        jobs: Number of parallel runs.
        output: File for the JSON reports, one per line; none if empty.
        fatal: Whether the load holds requests that end their replicas.
        histories: Whether the load holds conversations, and storage hosts are
            lost.
        versions: Whether engines of two software versions serve, and callers
            resume streams.
        endless: Whether replicas send bytes without end at times.
        watches: Whether watches are lost or cut while the store's calls are
            answered, and older entries of replicas arrive last.
    """
    load = LoadOptions(fatal, histories, versions, endless, watches)
    begin = first or random.SystemRandom().randrange(1, 1_000_000)
    deadline = time.monotonic() + 60 * minutes
    reports: list[Report] = []
    with concurrent.futures.ProcessPoolExecutor(jobs) as pool:
        waiting: set[concurrent.futures.Future[Report]] = set()
        number = 0
        while waiting or _may_start(number, seeds, deadline):
            while len(waiting) < jobs and _may_start(number, seeds, deadline):
                waiting.add(
                    pool.submit(run_seed, begin + number, seconds, hosts, load)
                )
                number += 1
            done, waiting = concurrent.futures.wait(
                waiting, return_when=concurrent.futures.FIRST_COMPLETED
            )
            for future in done:
                reports.append(future.result())
                print(reports[-1].summary(), flush=True)
    _report_and_exit(reports, output)


def replay(report: str) -> None:
    """Reruns the seeds with violations from a report file.

    Args:
        report: Path of a file written by ``run`` or ``hunt``.
    """
    lines = pathlib.Path(report).read_text().splitlines()
    reports = [Report.model_validate_json(line) for line in lines]
    failed = [r for r in reports if not r.is_clean]
    _report_and_exit(
        [run_seed(r.seed, r.seconds, r.hosts, r.load) for r in failed],
        "",
    )


def plan(
    seed: int, seconds: float = _SECONDS, hosts: int = _HOSTS
) -> list[str]:
    """Prints the plan of a seed without running it.

    Args:
        seed: Seed of the plan.
        seconds: Duration of the load in seconds.
        hosts: Number of entry hosts.
    """
    steps = make_plan(seed, seconds, hosts).steps
    return [
        f"{s.start_s:.2f} s, for {s.duration_s:.2f} s:"
        f" {s.fault.value}, target {s.target_index}"
        for s in steps
    ]


def main() -> None:
    """Runs the command line."""
    fire.Fire(
        {"run": run, "hunt": hunt, "replay": replay, "plan": plan},
        name="mastic-soak",
    )


def _may_start(number: int, seeds: int, deadline: float) -> bool:
    if seeds:
        return number < seeds
    return time.monotonic() < deadline


def _report_and_exit(reports: list[Report], output: str) -> None:
    if output:
        lines = [report.model_dump_json() + "\n" for report in reports]
        pathlib.Path(output).write_text("".join(lines))
    failed = [r for r in reports if not r.is_clean]
    for report in failed:
        print(f"seed {report.seed}:")
        for violation in report.violations:
            print("  {check}: {subject}: {detail}".format(**violation))
        for fault in report.faults:
            print(f"  {fault}")
        print(f"  logs: {report.logs}")
    print(f"{len(reports)} seeds, {len(failed)} broken")
    if failed:
        sys.exit(_EXIT_VIOLATIONS)
