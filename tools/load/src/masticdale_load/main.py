"""Command ``mastic-load``: runs of the whole system under faults."""

import pathlib
import sys

import fire
from returns.result import Success

from masticdale_load.system_reports import format_report
from masticdale_load.system_runs import load_plan, run_system


def system(plan: str, output: str) -> None:
    """Runs a fault plan on real processes and checks every promise.

    Args:
        plan: The plan file.
        output: Where the JSON report goes.
    """
    loaded = load_plan(pathlib.Path(plan))
    if not isinstance(loaded, Success):
        failure = loaded.failure()
        print(failure, file=sys.stderr)
        sys.exit(failure.answer.exit_code)
    report = run_system(loaded.unwrap())
    pathlib.Path(output).write_text(report.model_dump_json(indent=2))
    print(format_report(report))
    if not report.is_clean:
        sys.exit(1)


def main() -> None:
    """Runs the command line."""
    fire.Fire({"system": system})


if __name__ == "__main__":
    main()
