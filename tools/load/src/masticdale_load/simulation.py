"""Simulates one run of an experiment in virtual time."""

import asyncio
import dataclasses

from masticdale_load import virtual_time
from masticdale_load.calls import ModelCaller
from masticdale_load.experiments import Experiment, Fault
from masticdale_load.exports import ExportStore
from masticdale_load.homes import EventChannel, ReplicaHome, create_home
from masticdale_load.measures import Counters, Summary, Window, summarize
from masticdale_load.pausing import PauseManager
from masticdale_load.programs import ProgramRunner
from masticdale_load.services import create_services
from masticdale_load.workloads import Demand, draw_programs

_DISCOVERY_LAG_S = 2.0


@dataclasses.dataclass(frozen=True, slots=True)
class RunKey:
    """Identifies one run of an experiment.

    Attributes:
        policy: Name of the policy.
        load: Arrivals as a share of capacity.
        cache: Name of the cache size.
        fault: Name of the fault.
    """

    policy: str
    load: float
    cache: str
    fault: str


def run_once(experiment: Experiment, demand: Demand, key: RunKey) -> Summary:
    """Simulates one run and returns its summary.

    Args:
        experiment: The experiment.
        demand: Mean demand of the experiment's programs.
        key: Combination of policy, load, cache size and fault.
    """
    return virtual_time.run(_run(experiment, demand, key))


async def _run(experiment: Experiment, demand: Demand, key: RunKey) -> Summary:
    policy = experiment.policy_by_name[key.policy]
    replicas = experiment.deployment.model_replicas
    fill = experiment.fill_by_cache[key.cache]
    capacity = int(demand.fill_tokens * fill / replicas)
    homes = [
        create_home(number, experiment, policy, capacity)
        for number in range(replicas)
    ]
    exports = ExportStore(
        int(demand.fill_tokens * experiment.engine.export_fill)
    )
    counters = Counters()
    hop_s = experiment.deployment.hop_s
    spec = experiment.engine.spec()
    window = Window(experiment.warmup_s, experiment.horizon_s, replicas)
    runner = ProgramRunner(
        ModelCaller(homes, policy, exports, counters, hop_s),
        create_services(experiment.deployment),
        PauseManager(homes, policy, exports, counters),
        spec,
        window,
    )
    background = _start_background(experiment, key, homes)
    plans = draw_programs(experiment, demand.rate_at_capacity * key.load)
    records = await asyncio.gather(*(runner.run(plan) for plan in plans))
    for task in background:
        task.cancel()
    return summarize(records, counters, window)


def _start_background(
    experiment: Experiment, key: RunKey, homes: list[ReplicaHome]
) -> list[asyncio.Task[None]]:
    tasks = []
    for number, home in enumerate(homes):
        seed = experiment.seed + number
        channel = EventChannel(home, experiment.engine, seed)
        tasks.append(asyncio.create_task(channel.report_load()))
    fault = experiment.fault_by_name[key.fault]
    tasks.append(asyncio.create_task(_inject_fault(fault, homes[0])))
    return tasks


async def _inject_fault(fault: Fault, home: ReplicaHome) -> None:
    if fault.kind == "none":
        return
    await asyncio.sleep(fault.at_s)
    if fault.kind == "leave":
        await asyncio.sleep(_DISCOVERY_LAG_S)
        home.leave()
        return
    if fault.kind == "slow":
        home.engine.set_speed(fault.speed)
        await asyncio.sleep(fault.for_s)
        home.engine.set_speed(1.0)
        return
    home.engine.crash()
    await asyncio.sleep(_DISCOVERY_LAG_S)
    home.leave()
    await asyncio.sleep(fault.for_s)
    home.engine.restart()
    home.rejoin()
