"""Experiment reports as JSON and as a text table."""

import dataclasses
import json
from collections.abc import Sequence

from masticdale_load.measures import Summary
from masticdale_load.simulation import RunKey

_HEADINGS = (
    ("fault", 7),
    ("cache", 7),
    ("load", 5),
    ("policy", 28),
    ("lat p50", 8),
    ("p95", 7),
    ("p99", 7),
    ("1st p50", 8),
    ("p95", 7),
    ("p99", 7),
    ("slow p50", 9),
    ("p95", 7),
    ("p99", 7),
    ("wasted M", 9),
    ("goodput", 8),
    ("retries", 8),
    ("refused", 8),
    ("failed", 7),
)


@dataclasses.dataclass(frozen=True, slots=True)
class Run:
    """One run and its metrics.

    Attributes:
        key: Combination that was run.
        summary: Metrics of the run.
    """

    key: RunKey
    summary: Summary


@dataclasses.dataclass(frozen=True, slots=True)
class Report:
    """The runs of an experiment.

    Attributes:
        experiment: Name of the experiment.
        seed: Seed of the experiment.
        runs: Completed runs.
    """

    experiment: str
    seed: int
    runs: tuple[Run, ...]

    def to_json(self) -> str:
        """Returns the report as JSON."""
        return json.dumps(dataclasses.asdict(self), indent=1) + "\n"


def format_table(runs: Sequence[Run]) -> str:
    """Returns a text table, sorted by fault, cache size and load."""
    ordered = sorted(runs, key=lambda r: (r.key.fault, r.key.cache, r.key.load))
    lines = [_line([title for title, _ in _HEADINGS])]
    lines += [_line(_cells(run)) for run in ordered]
    return "\n".join(lines)


def _line(cells: Sequence[str]) -> str:
    widths = (width for _, width in _HEADINGS)
    return " ".join(c.rjust(w) for c, w in zip(cells, widths, strict=True))


def _cells(run: Run) -> list[str]:
    key, figures = run.key, run.summary
    latency, first = figures.latency_s, figures.first_class_latency_s
    slowdown = figures.slowdown
    return [
        key.fault,
        key.cache,
        f"{key.load:.2f}",
        key.policy,
        *(f"{x:.0f}" for x in (latency.p50, latency.p95, latency.p99)),
        *(f"{x:.0f}" for x in (first.p50, first.p95, first.p99)),
        *(f"{x:.2f}" for x in (slowdown.p50, slowdown.p95, slowdown.p99)),
        f"{figures.wasted_tokens / 1e6:.1f}",
        f"{figures.goodput:.3f}",
        f"{figures.retries_per_request:.4f}",
        str(figures.refused),
        str(figures.failed),
    ]
