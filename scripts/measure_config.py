"""Measures the cost of configuration on a host at two or more sizes.

For each number of workspaces, reports the size, CPU time and memory of the
full state, and the cost of changing a workspace, an upstream and a template.
The last column is the slope per workspace between the smallest and the largest
size. Everything runs in one process without a network. Times are medians of CPU
time, except for the event loop stall, which is the longest wall-clock time that
the loop was blocked while a change was applied.
"""

import argparse
import asyncio
import dataclasses
import gc
import statistics
import time
import tracemalloc
from collections.abc import Callable, Sequence
from typing import TypeVar

from masticdale_config import (
    ActiveConfig,
    ConfigStore,
    Declaration,
    Edit,
    RenderedConfig,
    key_of,
    reports,
    snapshots,
    testing,
)
from masticdale_config import state as states
from masticdale_platform.testing import MemoryStore

DEFAULT_SIZES = (1150, 2300, 4600)
MODEL_COUNT = 29
REPLICAS_PER_MODEL = 28
UPSTREAMS_PER_WORKSPACE = 12
PROMPT_SENTENCES = 60
REPEATS = 9
LOAD_BATCH = 500
STALL_PROBE_S = 0.001
MS_PER_S = 1000.0

ValueT = TypeVar("ValueT")


@dataclasses.dataclass(frozen=True, slots=True)
class Figure:
    """One measured value.

    Attributes:
        name: Name of the measurement, ending with its unit.
        value: Measured value.
    """

    name: str
    value: float


@dataclasses.dataclass(frozen=True, slots=True)
class SizeReport:
    """Measurements for one number of workspaces."""

    workspaces: int
    figures: tuple[Figure, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class TimedResult:
    """Result of a call and its CPU time."""

    value: object
    ms: float


def template(model: int, sentence: str = "Check it.") -> Declaration:
    """Returns the template that the workspaces of one model share."""
    prompt = f"You work for ${{brand}}. {sentence * PROMPT_SENTENCES}"
    return testing.template(
        f"template-{model}",
        testing.program("route-check", system_prompt=prompt),
        testing.program("dossier-build", system_prompt=prompt),
    )


def engine(model: int, replica: int, port: int = 7001) -> Declaration:
    """Returns one replica of a model."""
    name = f"engine-{model}-{replica}"
    return testing.engine(name, f"model-{model}", replica, port)


def workspace(
    index: int, weight: float = 1.0, templates: int = MODEL_COUNT
) -> Declaration:
    """Returns one workspace."""
    model = index % MODEL_COUNT
    return testing.workspace(
        f"workspace-{index}",
        f"template-{index % templates}",
        [f"engine-{model}-{r}" for r in range(UPSTREAMS_PER_WORKSPACE)],
        f"key-{index}",
        parameters={"model": f"model-{model}", "brand": f"Brand {index}"},
        weight=weight,
    )


def declarations(
    workspaces: int, templates: int = MODEL_COUNT
) -> list[Declaration]:
    """Returns all declarations of a site with a number of workspaces."""
    models = range(MODEL_COUNT)
    return [
        *(template(index) for index in range(templates)),
        *(engine(m, r) for m in models for r in range(REPLICAS_PER_MODEL)),
        *(workspace(i, templates=templates) for i in range(workspaces)),
    ]


class HostPair:
    """A host that accepts changes and a follower that applies them."""

    def __init__(self) -> None:
        self._leader = ActiveConfig()
        self.follower = ActiveConfig()
        self._operator = ConfigStore(
            MemoryStore(), self._leader, snapshot_every=10**9
        )
        self._count = 0

    @property
    def state(self) -> states.ConfigState:
        """Newest accepted state."""
        return self._leader.state

    async def load(self, declarations: Sequence[Declaration]) -> None:
        """Accepts declarations in batches, one revision per batch."""
        for start in range(0, len(declarations), LOAD_BATCH):
            await self._apply(declarations[start : start + LOAD_BATCH])

    async def change(
        self, name: str, changed: list[Declaration]
    ) -> list[Figure]:
        """Measures changes of one declaration each."""
        accepted, followed, planned, sizes = [], [], [], []
        for declaration in changed:
            edit = self._edit(declaration)
            change = testing.change("a-plan", edit)
            plan = (await self._operator.plan(change)).unwrap()
            planned.append(
                _time_call(lambda plan=plan: reports.plan_report(plan))
            )
            start = time.process_time()
            await self._apply([declaration])
            accepted.append((time.process_time() - start) * MS_PER_S)
            export = self._leader.export_after(self.follower.number)
            sizes.append(sum(len(revision) for revision in export.revisions))
            followed.append(
                _time_call(
                    lambda export=export: self.follower.apply_export(export)
                )
            )
        return [
            Figure(f"{name} stored bytes", statistics.median(sizes)),
            Figure(f"{name} accept ms", statistics.median(accepted)),
            Figure(f"{name} follow ms", _median_ms(followed)),
            Figure(f"{name} plan report ms", _median_ms(planned)),
        ]

    async def change_shared_template(self) -> list[Figure]:
        """Measures a change to the template that all workspaces share."""
        await self._apply([template(0, "Look again.")])
        export = self._leader.export_after(self.follower.number)
        stalls = asyncio.create_task(_longest_stall())
        await asyncio.sleep(STALL_PROBE_S)
        start = time.process_time()
        (await self.follower.apply_export_in_thread(export)).unwrap()
        elapsed = (time.process_time() - start) * MS_PER_S
        stalls.cancel()
        return [
            Figure("shared template follow ms", elapsed),
            Figure("shared template loop stall wall ms", await stalls),
        ]

    async def _apply(self, declarations: Sequence[Declaration]) -> None:
        self._count += 1
        edits = [self._edit(declaration) for declaration in declarations]
        change = testing.change(f"change-{self._count}", *edits)
        (await self._operator.apply(change)).unwrap()

    def _edit(self, declaration: Declaration) -> Edit:
        key = key_of(declaration)
        return Edit(key, self.state.digest_of(key), declaration)


async def measure(workspaces: int, freeze_gc: bool) -> SizeReport:
    """Measures one size.

    Args:
        workspaces: Number of workspaces.
        freeze_gc: Whether to exempt loaded objects from garbage collection
            before the event loop stall is measured.
    """
    pair = HostPair()
    await pair.load(declarations(workspaces))
    encoded = _time_call(lambda: snapshots.encode(pair.state))
    snapshot = snapshots.encode(pair.state)
    decoded = _time_call(lambda: pair.follower.apply_snapshot(snapshot))
    figures = [
        Figure("snapshot bytes", len(snapshot)),
        Figure("snapshot encode ms", encoded.ms),
        Figure("cold start ms", decoded.ms),
        Figure("memory bytes", _memory_bytes(snapshot)),
    ]
    rounds = range(1, REPEATS + 1)
    figures += await pair.change(
        "workspace change", [workspace(i, weight=1.0 + i) for i in rounds]
    )
    figures += await pair.change(
        "upstream change", [engine(i, 0, port=8000) for i in rounds]
    )
    figures += await pair.change(
        "template change", [template(i, "Look again.") for i in rounds]
    )
    shared = HostPair()
    await shared.load(declarations(workspaces, templates=1))
    snapshot = snapshots.encode(shared.state)
    shared.follower.apply_snapshot(snapshot).unwrap()
    if freeze_gc:
        gc.collect()
        gc.freeze()
    figures += await shared.change_shared_template()
    gc.unfreeze()
    return SizeReport(workspaces, tuple(figures))


def format_reports(reports_by_size: Sequence[SizeReport]) -> str:
    """Formats the measurements and their slopes as a Markdown table."""
    first, last = reports_by_size[0], reports_by_size[-1]
    sizes = [str(report.workspaces) for report in reports_by_size]
    lines = [
        f"| figure at workspaces | {' | '.join(sizes)} | slope a workspace |",
        f"| --- |{' --- |' * (len(sizes) + 1)}",
    ]
    for index, figure in enumerate(first.figures):
        values = [r.figures[index].value for r in reports_by_size]
        slope = (values[-1] - values[0]) / (last.workspaces - first.workspaces)
        cells = [f"{value:,.2f}" for value in values]
        lines.append(f"| {figure.name} | {' | '.join(cells)} | {slope:,.5f} |")
    return "\n".join(lines)


def _time_call(work: Callable[[], object]) -> TimedResult:
    start = time.process_time()
    value = work()
    return TimedResult(value, (time.process_time() - start) * MS_PER_S)


async def _longest_stall() -> float:
    longest = 0.0
    last = time.monotonic()
    try:
        while True:
            await asyncio.sleep(STALL_PROBE_S)
            now = time.monotonic()
            longest = max(longest, now - last - STALL_PROBE_S)
            last = now
    except asyncio.CancelledError:
        return longest * MS_PER_S


def _median_ms(results: Sequence[TimedResult]) -> float:
    return statistics.median(item.ms for item in results)


def _memory_bytes(snapshot: bytes) -> int:
    tracemalloc.start()
    config = ActiveConfig()
    config.apply_snapshot(snapshot).unwrap()
    rendered: RenderedConfig = config.current
    size, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    if not rendered.workspace_by_name:
        raise ValueError("snapshot without workspaces")
    return size


def main() -> None:
    """Measures each size and prints the table."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument(
        "--sizes", type=int, nargs="+", default=list(DEFAULT_SIZES)
    )
    parser.add_argument(
        "--freeze-gc",
        action="store_true",
        help="exempt loaded objects from GC for the event loop stall",
    )
    options = parser.parse_args()
    sizes = sorted(set(options.sizes))
    if len(sizes) < 2:
        parser.error("--sizes: give at least two distinct sizes")
    measured = [asyncio.run(measure(size, options.freeze_gc)) for size in sizes]
    print(format_reports(measured))


if __name__ == "__main__":
    main()
