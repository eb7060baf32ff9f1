"""Command ``mastic-load``: fault runs, policy experiments, benchmarks."""

import pathlib
import sys
from typing import TypeVar

import fire
from returns.result import Result, Success

from masticdale_common import Failure
from masticdale_load.decisions import format_costs, measure_decisions
from masticdale_load.experiment_runs import (
    Selection,
    run_experiment,
    select_runs,
)
from masticdale_load.experiments import load_experiment
from masticdale_load.placements import (
    PlacementPolicy,
    PlacementScenario,
    format_placements,
    simulate_placement,
)
from masticdale_load.reports import format_table
from masticdale_load.system_reports import format_report
from masticdale_load.system_runs import load_plan, run_system

_MAX_PROCESSES = 4

ValueT = TypeVar("ValueT")


def _names(value: str | tuple[object, ...]) -> frozenset[str]:
    parts = value.split(",") if isinstance(value, str) else value
    return frozenset(str(part) for part in parts if part)


def _unwrap(loaded: Result[ValueT, Failure]) -> ValueT:
    if isinstance(loaded, Success):
        value: ValueT = loaded.unwrap()
        return value
    failure = loaded.failure()
    print(failure, file=sys.stderr)
    sys.exit(failure.response.exit_code)


def system(plan: str, output: str) -> None:
    """Runs a fault plan on real processes and checks its invariants.

    Args:
        plan: Path of the plan file.
        output: Path of the JSON report to write.
    """
    report = run_system(_unwrap(load_plan(pathlib.Path(plan))))
    pathlib.Path(output).write_text(report.model_dump_json(indent=2))
    print(format_report(report))
    if not report.is_clean:
        sys.exit(1)


def policy(
    experiment: str,
    output: str,
    policies: str | tuple[str, ...] = "",
    loads: str | float | tuple[float, ...] = "",
    caches: str | tuple[str, ...] = "",
    faults: str | tuple[str, ...] = "none",
    seed: int | None = None,
    processes: int = _MAX_PROCESSES,
) -> None:
    """Runs an experiment and prints its results as a table.

    Args:
        experiment: Path of the experiment file.
        output: Path of the JSON report to write.
        policies: Comma-separated names of policies to run; all if empty.
        loads: Loads to run; all if empty.
        caches: Names of cache sizes to run; all if empty.
        faults: Names of faults to run; all if empty.
        seed: Overrides the experiment's seed.
        processes: Number of parallel runs, at most 4.
    """
    value = _unwrap(load_experiment(pathlib.Path(experiment)))
    selection = Selection(
        _names(policies),
        frozenset(float(x) for x in _split(loads)),
        _names(caches),
        _names(faults),
    )
    if seed is not None:
        value = value.model_copy(update={"seed": seed})
    keys = select_runs(value, selection)
    report = run_experiment(value, keys, min(processes, _MAX_PROCESSES))
    pathlib.Path(output).write_text(report.to_json())
    print(f"{report.experiment}, seed {report.seed}")
    print(format_table(report.runs))


def decisions() -> None:
    """Prints the durations of placement and queue operations."""
    print(format_costs(measure_decisions()))


def placement(
    hosts: str | int | tuple[int, ...] = "9,60,171,340",
    loads: str | float | tuple[float, ...] = "0.5,0.7,0.85",
    replicas: int = 32,
    shards: int = 4,
    slow_share: float = 0.0,
    failing: int = 0,
    duration_s: float = 25.0,
    seed: int = 1,
) -> None:
    """Simulates placement by hosts and by shard owners; prints a table.

    Args:
        hosts: Comma-separated numbers of entry hosts.
        loads: Comma-separated loads, as shares of all slots.
        replicas: Number of replicas.
        shards: Number of ledger shards.
        slow_share: Share of the replicas that take twice as long for a turn.
        failing: Number of replicas that fail each turn at once.
        duration_s: Seconds during which programs begin.
        seed: Random seed.
    """
    results = []
    for load in sorted(float(x) for x in _split(loads)):
        for count in sorted(int(x) for x in _split(hosts)):
            for choice in PlacementPolicy:
                scenario = PlacementScenario(
                    choice,
                    count,
                    load,
                    replicas=replicas,
                    shards=shards,
                    slow_share=slow_share,
                    failing=failing,
                    duration_s=duration_s,
                    seed=seed,
                )
                results.append((scenario, simulate_placement(scenario)))
    print(format_placements(results))


def _split(value: str | float | tuple[float, ...]) -> frozenset[str]:
    return _names(value if isinstance(value, (str, tuple)) else str(value))


def main() -> None:
    """Runs the command line."""
    fire.Fire(
        {
            "system": system,
            "policy": policy,
            "decisions": decisions,
            "placement": placement,
        }
    )


if __name__ == "__main__":
    main()
