"""Runs the combinations of an experiment in a process pool."""

import concurrent.futures
import dataclasses
import itertools
from collections.abc import Iterable

from masticdale_load.experiments import Experiment
from masticdale_load.reports import Report, Run
from masticdale_load.simulation import RunKey, run_once
from masticdale_load.workloads import measure_demand


@dataclasses.dataclass(frozen=True, slots=True)
class Selection:
    """Selects combinations to run; an empty set selects all.

    Attributes:
        policies: Names of policies.
        loads: Loads as a share of capacity.
        caches: Names of cache sizes.
        faults: Names of faults.
    """

    policies: frozenset[str] = frozenset()
    loads: frozenset[float] = frozenset()
    caches: frozenset[str] = frozenset()
    faults: frozenset[str] = frozenset()


def select_runs(experiment: Experiment, selection: Selection) -> list[RunKey]:
    """Returns the keys of the selected runs."""
    return [
        RunKey(policy, load, cache, fault)
        for policy, load, cache, fault in itertools.product(
            _select_names(experiment.policy_by_name, selection.policies),
            [x for x in experiment.loads if _is_selected(x, selection.loads)],
            _select_names(experiment.fill_by_cache, selection.caches),
            _select_names(experiment.fault_by_name, selection.faults),
        )
    ]


def run_experiment(
    experiment: Experiment, keys: list[RunKey], processes: int
) -> Report:
    """Simulates the runs of an experiment in parallel.

    Args:
        experiment: The experiment.
        keys: Runs to simulate.
        processes: Number of worker processes.
    """
    demand = measure_demand(experiment)
    with concurrent.futures.ProcessPoolExecutor(processes) as pool:
        summaries = pool.map(
            run_once,
            itertools.repeat(experiment),
            itertools.repeat(demand),
            keys,
        )
        runs = tuple(map(Run, keys, summaries))
    return Report(experiment.name, experiment.seed, runs)


def _select_names(names: Iterable[str], wanted: frozenset[str]) -> list[str]:
    return [name for name in names if not wanted or name in wanted]


def _is_selected(load: float, wanted: frozenset[float]) -> bool:
    return not wanted or load in wanted
