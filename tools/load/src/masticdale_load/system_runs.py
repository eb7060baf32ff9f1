"""Fault runs: starts a system, runs callers and faults, checks the results."""

import asyncio
import collections
import contextlib
import copy
import itertools
import json
import pathlib
import time
from collections.abc import AsyncIterator

import httpx
from returns.result import Failure as Failed
from returns.result import Result

from masticdale_common import Failure, settings
from masticdale_load.system_checks import (
    Verdict,
    check_executions,
    check_history,
)
from masticdale_load.system_client import (
    CallerSettings,
    ClientStats,
    SystemClient,
)
from masticdale_load.system_declarations import (
    DEPLOYMENTS,
    TURN_LIMIT,
    declare,
)
from masticdale_load.system_faults import FaultDriver
from masticdale_load.system_hosts import Balancer
from masticdale_load.system_ledger import BranchHistory, ProgramLedger
from masticdale_load.system_plans import SystemPlan
from masticdale_load.system_programs import ProgramDriver, Progress
from masticdale_load.system_reports import SystemReport, create_report
from masticdale_load.system_takeover import TakeoverProbe
from masticdale_programs import MAIN_BRANCH
from masticdale_standins.clusters import (
    ClusterPlan,
    LocalCluster,
    fast_engine,
    start_cluster,
    start_daemons,
)
from masticdale_standins.settings import (
    ModelSettings,
    PlatformSettings,
    ServiceSettings,
)
from masticdaled.callers.models import ProgramBody

_PREFILL_TOKENS_PER_S = 2_000_000
_RELEASE_WAIT_S = 40.0
_RELEASE_POLL_S = 0.5
_MAX_CONCURRENT_READS = 16
_PROBE_TIMEOUT_S = 1.5
_DISCOVERY_LAG_MS = 500
_RESTART_AT_SHARE = 0.5
_PROGRESS_POLL_S = 0.2


def load_plan(path: pathlib.Path) -> Result[SystemPlan, Failure]:
    """Reads and validates a plan; the error names the invalid field."""
    return settings.load(path, SystemPlan)


def cluster_plan(plan: SystemPlan) -> ClusterPlan:
    """Returns the cluster that a plan describes."""
    engines = [n for d in DEPLOYMENTS for n in d.engines(plan.engines)]
    services = [n for d in DEPLOYMENTS for n in d.services(plan.services)]
    hosts = tuple(f"host-{n + 1}" for n in range(plan.hosts))
    model = ModelSettings(
        prefill_tokens_per_s=_PREFILL_TOKENS_PER_S,
        decode_tokens_per_s=plan.tokens_per_s,
    )
    return ClusterPlan(
        hosts=plan.hosts,
        engines={name: fast_engine(model=model) for name in engines},
        services={
            name: ServiceSettings(port=1, duration_ms=plan.service_ms)
            for name in services
        },
        platform=PlatformSettings(
            port=1, hosts=hosts, hosts_lag_ms=_DISCOVERY_LAG_MS
        ),
    )


@contextlib.contextmanager
def running_system(plan: SystemPlan) -> collections.abc.Iterator[LocalCluster]:
    """Runs a plan's configured system for the duration of the block."""
    processes = cluster_plan(plan)
    cluster = start_cluster(processes)
    try:
        declarations = [
            declaration
            for deployment in DEPLOYMENTS
            for declaration in declare(deployment, plan.engines, plan.services)
        ]
        cluster.apply(declarations)
        start_daemons(cluster, processes)
        yield cluster
    finally:
        cluster.stop()


def run_system(plan: SystemPlan) -> SystemReport:
    """Runs a plan on a new system and returns the report."""
    with running_system(plan) as cluster:
        return asyncio.run(_SystemRun(plan, cluster).run())


class _SystemRun:
    """One fault run on a running system."""

    def __init__(self, plan: SystemPlan, cluster: LocalCluster) -> None:
        self._plan = plan
        self._cluster = cluster
        self._client_stats = ClientStats()
        self._restart_stats = ClientStats()
        self._progress = Progress()
        self._balancer = Balancer(
            {n: h.callers_url for n, h in cluster.daemon_by_name.items()}
        )
        self._client_by_key = {
            d.key: SystemClient(self._balancer, d.key, self._client_stats)
            for d in DEPLOYMENTS
        }
        self._probe_client = SystemClient(
            self._balancer,
            DEPLOYMENTS[0].key,
            ClientStats(),
            CallerSettings(timeout_s=_PROBE_TIMEOUT_S),
        )
        self._probe = TakeoverProbe(
            self._probe_client, self._balancer, cluster.platform.base_url
        )
        self._faults = FaultDriver(plan, cluster, self._probe)
        self._numbers = itertools.count()

    async def run(self) -> SystemReport:
        """Runs callers and faults, waits for recovery and checks results."""
        async with self._background(self._balancer.run()):
            await self._probe.prepare(DEPLOYMENTS[0].program, self._plan.seed)
            started = time.monotonic()
            async with self._background(self._faults.run()):
                await asyncio.gather(
                    self._run_callers(started), self._run_rolling_restart()
                )
            seconds = time.monotonic() - started
            await self._faults.wait_until_reverted()
            verdict = await self._check()
            memory_held = await self._wait_until_released()
        for client in (*self._client_by_key.values(), self._probe_client):
            await client.close()
        return create_report(
            self._plan,
            seconds,
            self._progress,
            self._client_stats,
            self._restart_stats,
            self._faults.measurements,
            verdict,
            memory_held,
        )

    @contextlib.asynccontextmanager
    async def _background(
        self, work: collections.abc.Coroutine[None, None, None]
    ) -> AsyncIterator[None]:
        task = asyncio.create_task(work)
        try:
            yield
        finally:
            task.cancel()
            await asyncio.gather(task, return_exceptions=True)

    async def _run_callers(self, started: float) -> None:
        workers = range(self._plan.programs_at_once)
        await asyncio.gather(*(self._run_caller(started) for _ in workers))

    async def _run_caller(self, started: float) -> None:
        while self._accepts_new_programs(started):
            number = next(self._numbers)
            deployment = DEPLOYMENTS[number % len(DEPLOYMENTS)]
            client = self._client_by_key[deployment.key]
            driver = ProgramDriver(
                self._plan, deployment, client, self._progress, number
            )
            await driver.run()

    def _accepts_new_programs(self, started: float) -> bool:
        is_over_time = time.monotonic() - started > self._plan.most_s
        return (
            self._acknowledged_turns() < self._plan.turns and not is_over_time
        )

    def _acknowledged_turns(self) -> int:
        return len(self._progress.turn_seconds)

    async def _run_rolling_restart(self) -> None:
        if not self._plan.rolling_restart:
            return
        while self._acknowledged_turns() < self._plan.turns * _RESTART_AT_SHARE:
            await asyncio.sleep(_PROGRESS_POLL_S)
        before = copy.deepcopy(self._client_stats)
        await self._faults.restart_all()
        self._restart_stats = ClientStats(
            self._client_stats.count_by_refusal - before.count_by_refusal,
            self._client_stats.not_accepted - before.not_accepted,
            self._client_stats.broken - before.broken,
        )

    async def _check(self) -> Verdict:
        verdict = Verdict()
        limit = asyncio.Semaphore(_MAX_CONCURRENT_READS)
        await asyncio.gather(
            *(
                self._check_program(ledger, verdict, limit)
                for ledger in self._progress.ledgers
            )
        )
        counts: collections.Counter[str] = collections.Counter()
        for service in self._cluster.service_by_name:
            for execution in self._cluster.executions(service):
                counts[str(execution["key"])] += int(str(execution["count"]))
        check_executions(self._progress.ledgers, counts, verdict)
        return verdict

    async def _check_program(
        self, ledger: ProgramLedger, verdict: Verdict, limit: asyncio.Semaphore
    ) -> None:
        client = self._client_by_key[ledger.key]
        for branch in ledger.acknowledged_by_branch:
            async with limit:
                read = await client.read(ledger.program_id, branch)
            if isinstance(read, Failed):
                kind = read.failure().kind
                verdict.lost.append(f"{ledger.program_id}/{branch}: {kind}")
                continue
            view = read.unwrap()
            history = BranchHistory(ledger.program_id, branch, view.history)
            check_history(ledger, history, verdict)
            if branch == MAIN_BRANCH and self._is_over_budget(ledger, view):
                self._progress.over_budget.append(ledger.program_id)

    def _is_over_budget(self, ledger: ProgramLedger, view: ProgramBody) -> bool:
        kinds = {d.short_program for d in DEPLOYMENTS}
        return view.program in kinds and view.turns_spent > TURN_LIMIT

    async def _wait_until_released(self) -> list[str]:
        """Waits until no engine keeps prefixes of ended programs.

        Returns:
            Engine and program ids of what is still there at the timeout.
        """
        deadline = time.monotonic() + _RELEASE_WAIT_S
        while True:
            held = await self._ended_programs_in_engines()
            if not held or time.monotonic() > deadline:
                return held
            await asyncio.sleep(_RELEASE_POLL_S)

    async def _ended_programs_in_engines(self) -> list[str]:
        ended = {x.program_id for x in self._progress.ledgers if x.ended}
        held: list[str] = []
        async with httpx.AsyncClient(trust_env=False) as http:
            for name, process in self._cluster.engine_by_name.items():
                response = await http.get(f"{process.base_url}/admin/branches")
                ids = {b["program_id"] for b in json.loads(response.text)}
                held += [f"{name}/{each}" for each in sorted(ids & ended)]
        return held
