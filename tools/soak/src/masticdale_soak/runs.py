"""Runs a plan from start to end and checks what was seen."""

import asyncio
import dataclasses
import pathlib
import shutil
import tempfile
import time

import pydantic

from masticdale_soak.checks import Evidence, Run, Violation, check
from masticdale_soak.environment import World
from masticdale_soak.faults import FaultDriver
from masticdale_soak.load_generator import Attempt, Callers, Kind
from masticdale_soak.plans import Plan, make_plan

# From the end of the last fault until everything has to be sound, in seconds:
# entries, lists and shards are back some two seconds after the store's return,
# and the longest circuit is open for four.
_SETTLE_S = 6.0


class Report(pydantic.BaseModel):
    """What came of a run.

    Attributes:
        seed: Seed of the plan.
        seconds: How long callers went on.
        hosts: Entry hosts.
        attempts: Requests sent.
        served: Whole successes.
        runs: What replicas began to run.
        faults: Faults as they were carried out, with their seconds.
        violations: Promises that were broken.
        logs: Folder of the hosts' logs; empty where nothing was broken.
    """

    seed: int
    seconds: float
    hosts: int
    attempts: int
    served: int
    runs: int
    faults: list[str]
    violations: list[dict[str, str]]
    logs: str = ""

    @property
    def is_clean(self) -> bool:
        """Whether every promise was kept."""
        return not self.violations

    def line(self) -> str:
        """Returns the run in one line."""
        broken = sorted({v["check"] for v in self.violations})
        return (
            f"seed {self.seed}: {self.attempts} requests, {self.served} served,"
            f" {len(self.faults)} faults: {', '.join(broken) or 'clean'}"
        )


async def run_plan(
    plan: Plan,
    folder: pathlib.Path | None = None,
    command: tuple[str, ...] = (),
) -> tuple[Report, Evidence]:
    """Runs a plan on real processes.

    Args:
        plan: The faults.
        folder: Where settings and logs of the hosts go; a new one if None.
        command: Starts an entry host; the installed program if empty.
    """
    place = folder or pathlib.Path(tempfile.mkdtemp(prefix="masticdale-soak-"))
    world = World(plan, place, command)
    callers = Callers(world, plan.seed)
    driver = FaultDriver(world)
    async with world.running():
        began = time.monotonic()
        await asyncio.gather(callers.run(plan.seconds), driver.run(plan))
        await asyncio.sleep(_SETTLE_S)
        last = await _ask_everything(world, callers)
        evidence = _collect(world, callers, driver, last)
    await callers.close()
    violations = check(evidence)
    report = _report(plan, evidence, violations, began)
    if violations:
        report.logs = str(place)
    elif folder is None:
        shutil.rmtree(place)
    return report, evidence


def run_seed(seed: int, seconds: float, hosts: int) -> Report:
    """Runs the plan of a seed."""
    report, _ = asyncio.run(run_plan(make_plan(seed, seconds, hosts)))
    return report


async def _ask_everything(world: World, callers: Callers) -> list[Attempt]:
    """Asks each host once for each kind of request."""
    attempts = []
    for host in world.hosts:
        for kind in Kind:
            attempt = await callers.send(
                host,
                kind,
                f"last-{host.name}-{kind.value}",
                program_id=f"last-{host.name}",
                version=world.version,
            )
            attempts.append(attempt)
    return attempts


def _collect(
    world: World, callers: Callers, driver: FaultDriver, last: list[Attempt]
) -> Evidence:
    runs = [
        Run(
            request.header_by_name.get("request-id", ""),
            replica.stand_in.id,
            request.arrived_at,
        )
        for replica in world.replicas
        for request in replica.stand_in.executed_requests
    ]
    return Evidence(
        attempts=callers.attempts,
        runs=runs,
        lives_by_host={host.name: host.lives for host in world.hosts},
        applied=driver.applied,
        drains=world.drains,
        last_attempts=last,
    )


def _report(
    plan: Plan, evidence: Evidence, violations: list[Violation], began: float
) -> Report:
    faults = [
        f"{a.began - began:.2f}-{a.ended - began:.2f} {a.fault.value} {a.place}"
        for a in sorted(evidence.applied, key=lambda a: a.began)
    ]
    return Report(
        seed=plan.seed,
        seconds=plan.seconds,
        hosts=plan.hosts,
        attempts=len(evidence.attempts),
        served=sum(a.is_served for a in evidence.attempts),
        runs=len(evidence.runs),
        faults=faults,
        violations=[dataclasses.asdict(v) for v in violations],
    )
