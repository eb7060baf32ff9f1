"""Command ``mastic-load``: experiments on policies, costs of decisions."""

import pathlib
import sys

import fire
from returns.result import Success

from masticdale_load.decisions import format_costs, measure_decisions
from masticdale_load.experiments import load_experiment
from masticdale_load.policies import Selection, run_experiment, select_runs
from masticdale_load.reports import format_table

_MOST_PROCESSES = 4


def _names(value: str | tuple[object, ...]) -> frozenset[str]:
    parts = value.split(",") if isinstance(value, str) else value
    return frozenset(str(part) for part in parts if part)


def policy(
    experiment: str,
    output: str,
    policies: str | tuple[str, ...] = "",
    loads: str | float | tuple[float, ...] = "",
    caches: str | tuple[str, ...] = "",
    faults: str | tuple[str, ...] = "none",
    seed: int | None = None,
    processes: int = _MOST_PROCESSES,
) -> None:
    """Runs an experiment and prints its table.

    Args:
        experiment: The experiment file.
        output: Where the JSON report goes.
        policies: Names of policies to run, separated by commas; all if empty.
        loads: Loads to run; all if empty.
        caches: Cache sizes to run; all if empty.
        faults: Faults to run; all if empty.
        seed: In place of the experiment's seed.
        processes: How many runs at once, four at most.
    """
    loaded = load_experiment(pathlib.Path(experiment))
    if not isinstance(loaded, Success):
        failure = loaded.failure()
        print(failure, file=sys.stderr)
        sys.exit(failure.answer.exit_code)
    chosen = loads if isinstance(loads, (str, tuple)) else str(loads)
    selection = Selection(
        _names(policies),
        frozenset(float(x) for x in _names(chosen)),
        _names(caches),
        _names(faults),
    )
    value = loaded.unwrap()
    if seed is not None:
        value = value.model_copy(update={"seed": seed})
    keys = select_runs(value, selection)
    report = run_experiment(value, keys, min(processes, _MOST_PROCESSES))
    pathlib.Path(output).write_text(report.to_json())
    print(f"{report.experiment}, seed {report.seed}")
    print(format_table(report.runs))


def decisions() -> None:
    """Prints what placements and queue operations cost on this machine."""
    print(format_costs(measure_decisions()))


def main() -> None:
    """Runs the command line."""
    fire.Fire({"policy": policy, "decisions": decisions})
