"""What a run is measured by."""

import dataclasses
from collections.abc import Iterable, Sequence

_PERCENTILES = (0.50, 0.95, 0.99)


@dataclasses.dataclass(slots=True)
class Counters:
    """Counts of a whole run.

    Attributes:
        first_sends: Calls.
        retries: Sends after the first.
        moves: Turns that ran away from their branch's last replica.
        prompt_tokens: Prompt tokens of calls that ended well.
        wasted_tokens: Prompt tokens computed again though computed before.
        exported_tokens: Tokens exported.
    """

    first_sends: int = 0
    retries: int = 0
    moves: int = 0
    prompt_tokens: int = 0
    wasted_tokens: int = 0
    exported_tokens: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class ProgramRecord:
    """One program's end.

    Attributes:
        kind: Its kind.
        priority: Its class.
        arrived_at: When it arrived.
        ended_at: When it ended.
        path_s: Its unloaded critical path.
        work_s: Work of its calls that ended in the measured window, in
            seconds of a fully used replica.
        failure: Kind of the error it ended with; empty when it ended well.
    """

    kind: str
    priority: int
    arrived_at: float
    ended_at: float
    path_s: float
    work_s: float
    failure: str

    @property
    def latency_s(self) -> float:
        """Seconds from arrival to end."""
        return self.ended_at - self.arrived_at

    @property
    def slowdown(self) -> float:
        """Latency over the unloaded critical path."""
        return self.latency_s / self.path_s


@dataclasses.dataclass(frozen=True, slots=True)
class Percentiles:
    """Percentiles of one figure.

    Attributes:
        count: Number of values.
        p50: Median.
        p95: 95th percentile.
        p99: 99th percentile.
    """

    count: int
    p50: float
    p95: float
    p99: float


def percentiles(values: Iterable[float]) -> Percentiles:
    """Returns the percentiles of some values, zeros for none."""
    ordered = sorted(values)
    if not ordered:
        return Percentiles(0, 0.0, 0.0, 0.0)
    last = len(ordered) - 1
    picked = [ordered[round(share * last)] for share in _PERCENTILES]
    return Percentiles(len(ordered), *picked)


@dataclasses.dataclass(frozen=True, slots=True)
class Summary:
    """The figures of one run.

    Attributes:
        latency_s: Program latency.
        first_class_latency_s: Program latency of class 0.
        slowdown: Latency over the unloaded critical path.
        first_class_slowdown: The same of class 0.
        wasted_tokens: Tokens computed again though computed before.
        wasted_share: Those over all prompt tokens.
        goodput: Work of calls that ended in the measured window, of programs
            that ended well, as a share of what all replicas could do in it.
        retries_per_request: Retries over first sends.
        moves: Turns that ran away from their branch's last replica.
        refused: Programs refused.
        failed: Programs that failed otherwise.
        exported_tokens: Tokens exported.
    """

    latency_s: Percentiles
    first_class_latency_s: Percentiles
    slowdown: Percentiles
    first_class_slowdown: Percentiles
    wasted_tokens: int
    wasted_share: float
    goodput: float
    retries_per_request: float
    moves: int
    refused: int
    failed: int
    exported_tokens: int


@dataclasses.dataclass(frozen=True, slots=True)
class Window:
    """The part of a run that is measured.

    Attributes:
        warmup_s: Programs that arrived earlier are left out.
        horizon_s: End of arrivals.
        replicas: Number of model replicas.
    """

    warmup_s: float
    horizon_s: float
    replicas: int

    def covers(self, at: float) -> bool:
        """Returns whether a moment is measured."""
        return self.warmup_s <= at < self.horizon_s


def summarize(
    records: Sequence[ProgramRecord], counters: Counters, window: Window
) -> Summary:
    """Returns the figures of a run.

    Args:
        records: All programs.
        counters: Its counts, warm-up included.
        window: What is measured.
    """
    measured = [r for r in records if r.arrived_at >= window.warmup_s]
    done = [r for r in measured if not r.failure]
    first = [r for r in done if r.priority == 0]
    useful_s = sum(r.work_s for r in records if not r.failure)
    available_s = (window.horizon_s - window.warmup_s) * window.replicas
    refused = sum(1 for r in measured if r.failure == "overloaded")
    return Summary(
        percentiles(r.latency_s for r in done),
        percentiles(r.latency_s for r in first),
        percentiles(r.slowdown for r in done),
        percentiles(r.slowdown for r in first),
        counters.wasted_tokens,
        counters.wasted_tokens / max(1, counters.prompt_tokens),
        useful_s / available_s,
        counters.retries / max(1, counters.first_sends),
        counters.moves,
        refused,
        len(measured) - len(done) - refused,
        counters.exported_tokens,
    )
