"""Runs a plan on real processes and checks the observations."""

import asyncio
import dataclasses
import pathlib
import shutil
import tempfile
import time

import pydantic

from masticdale_soak.checks import Observations, Run, Violation, check
from masticdale_soak.conversations import ConversationLoad
from masticdale_soak.environment import Environment
from masticdale_soak.faults import FaultInjector
from masticdale_soak.load_generator import Attempt, LoadGenerator, RequestKind
from masticdale_soak.plans import USUAL_LOAD, LoadOptions, Plan, make_plan
from masticdale_soak.resumed_streams import ResumedStreamLoad

# Seconds from the end of the last fault until every host must serve again.
# Entries, lists and shards recover about two seconds after the store; a circuit
# breaker stays open for up to four.
_RECOVERY_S = 6.0


class Report(pydantic.BaseModel):
    """The result of a run.

    Attributes:
        seed: Seed of the plan.
        seconds: Duration of the load in seconds.
        hosts: Number of entry hosts.
        attempts: Number of requests sent.
        served: Number of complete successful responses.
        runs: Number of requests that replicas began to execute.
        faults: Injected faults with start and end in seconds.
        violations: Violated guarantees.
        load: What the load held.
        logs: Directory of the hosts' logs; empty without violations.
    """

    seed: int
    seconds: float
    hosts: int
    attempts: int
    served: int
    runs: int
    faults: list[str]
    violations: list[dict[str, str]]
    load: LoadOptions = USUAL_LOAD
    logs: str = ""

    @property
    def is_clean(self) -> bool:
        """Whether no guarantee was violated."""
        return not self.violations

    def summary(self) -> str:
        """Returns a summary in one line."""
        failed_checks = sorted({v["check"] for v in self.violations})
        return (
            f"seed {self.seed}: {self.attempts} requests, {self.served} served,"
            f" {len(self.faults)} faults: {', '.join(failed_checks) or 'clean'}"
        )


async def run_plan(
    plan: Plan,
    directory: pathlib.Path | None = None,
    command: tuple[str, ...] = (),
) -> tuple[Report, Observations]:
    """Runs a plan on real processes.

    Args:
        plan: Faults to inject.
        directory: Directory for the settings and logs of the hosts; a
            temporary one if None.
        command: Command that starts an entry host; the installed program if
            empty.
    """
    log_directory = directory or pathlib.Path(
        tempfile.mkdtemp(prefix="masticdale-soak-")
    )
    environment = Environment(plan, log_directory, command)
    load_generator = LoadGenerator(
        environment, plan.seed, fatal=plan.load.fatal
    )
    injector = FaultInjector(environment)
    async with environment.running():
        started_at = time.monotonic()
        work = [load_generator.run(plan.seconds), injector.run(plan)]
        if plan.load.histories:
            conversations = ConversationLoad(
                environment, load_generator, plan.seed
            )
            work.append(conversations.run(plan.seconds))
        if plan.load.versions:
            streams = ResumedStreamLoad(load_generator, plan.seed)
            work.append(streams.run(plan.seconds))
        await asyncio.gather(*work)
        await asyncio.sleep(_RECOVERY_S)
        probes = await _probe_hosts(environment, load_generator)
        observations = _collect_observations(
            environment, load_generator, injector, probes
        )
    await load_generator.close()
    violations = check(observations)
    report = _create_report(plan, observations, violations, started_at)
    if violations:
        report.logs = str(log_directory)
    elif directory is None:
        shutil.rmtree(log_directory)
    return report, observations


def run_seed(
    seed: int,
    seconds: float,
    hosts: int,
    load: LoadOptions,
) -> Report:
    """Runs the plan of a seed and returns its report."""
    plan = make_plan(seed, seconds, hosts, load)
    report, _ = asyncio.run(run_plan(plan))
    return report


async def _probe_hosts(
    environment: Environment, load_generator: LoadGenerator
) -> list[Attempt]:
    """Sends one request of each kind to each host."""
    attempts = []
    for host in environment.hosts:
        for kind in RequestKind:
            # The capped workspace may still be over its cap.
            if kind in (RequestKind.CAPPED, RequestKind.FATAL):
                continue
            is_conversation = kind is RequestKind.CONVERSATION
            if is_conversation and not environment.storage_hosts:
                continue
            attempt = await load_generator.send(
                host,
                kind,
                f"last-{host.name}-{kind.value}",
                program_id=f"last-{host.name}",
                version=environment.version,
            )
            attempts.append(attempt)
    return attempts


def _collect_observations(
    environment: Environment,
    load_generator: LoadGenerator,
    injector: FaultInjector,
    probes: list[Attempt],
) -> Observations:
    runs = [
        Run(
            request.header_by_name.get("request-id", ""),
            replica.fake.id,
            request.arrived_at,
            request.header_by_name.get("tenant-id", ""),
            "api-key" in request.header_by_name,
            request.body,
        )
        for replica in environment.replicas
        for request in replica.fake.executed_requests
    ]
    return Observations(
        attempts=load_generator.attempts,
        runs=runs,
        incarnations_by_host={
            host.name: host.incarnations for host in environment.hosts
        },
        executed_steps=injector.executed_steps,
        drains=environment.drains,
        recovery_attempts=probes,
        version_by_replica={
            replica.fake.id: replica.software_version
            for replica in environment.replicas
        },
    )


def _create_report(
    plan: Plan,
    observations: Observations,
    violations: list[Violation],
    started_at: float,
) -> Report:
    faults = [
        f"{a.started_at - started_at:.2f}-{a.ended_at - started_at:.2f}"
        f" {a.fault.value} {a.target_name}"
        for a in sorted(observations.executed_steps, key=lambda a: a.started_at)
    ]
    return Report(
        seed=plan.seed,
        seconds=plan.seconds,
        hosts=plan.hosts,
        attempts=len(observations.attempts),
        served=sum(a.is_served for a in observations.attempts),
        runs=len(observations.runs),
        load=plan.load,
        faults=faults,
        violations=[dataclasses.asdict(v) for v in violations],
    )
