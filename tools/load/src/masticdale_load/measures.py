"""Metrics of a simulated run."""

import dataclasses
from collections.abc import Iterable, Sequence

_PERCENTILES = (0.50, 0.95, 0.99)


@dataclasses.dataclass(slots=True)
class Counters:
    """Counts of a whole run, warm-up included.

    Attributes:
        calls: Number of calls.
        retries: Number of retried attempts.
        moves: Turns that did not run on their branch's last replica.
        prompt_tokens: Prompt tokens of successful calls.
        wasted_tokens: Prompt tokens that were computed again.
        exported_tokens: Number of exported tokens.
    """

    calls: int = 0
    retries: int = 0
    moves: int = 0
    prompt_tokens: int = 0
    wasted_tokens: int = 0
    exported_tokens: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class ProgramRecord:
    """Result of one program.

    Attributes:
        kind: Name of the program kind.
        priority: Priority class; 0 is the highest.
        arrived_at: Arrival time in seconds.
        ended_at: End time in seconds.
        path_s: Critical path without load in seconds.
        work_s: Work of the calls that ended in the measured window, in
            seconds of a fully utilized replica.
        failure: Error kind; empty on success.
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
        """Time from arrival to end in seconds."""
        return self.ended_at - self.arrived_at

    @property
    def slowdown(self) -> float:
        """Latency divided by the critical path without load."""
        return self.latency_s / self.path_s


@dataclasses.dataclass(frozen=True, slots=True)
class Percentiles:
    """Percentiles of one metric.

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
    """Returns the percentiles of the values, or zeros if there are none."""
    ordered = sorted(values)
    if not ordered:
        return Percentiles(0, 0.0, 0.0, 0.0)
    last = len(ordered) - 1
    picked = [ordered[round(share * last)] for share in _PERCENTILES]
    return Percentiles(len(ordered), *picked)


@dataclasses.dataclass(frozen=True, slots=True)
class Summary:
    """Metrics of one run.

    Attributes:
        latency_s: Program latency in seconds.
        first_class_latency_s: Program latency of priority class 0.
        slowdown: Latency divided by the critical path without load.
        first_class_slowdown: Slowdown of priority class 0.
        wasted_tokens: Prompt tokens that were computed again.
        wasted_share: Wasted tokens as a share of all prompt tokens.
        goodput: Work of successful programs' calls that ended in the measured
            window, as a share of the capacity of all replicas.
        retries_per_request: Retries per call.
        moves: Turns that did not run on their branch's last replica.
        refused: Number of refused programs.
        failed: Number of programs that failed for other reasons.
        exported_tokens: Number of exported tokens.
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
    """The measured window of a run.

    Attributes:
        warmup_s: Start of the window in seconds.
        horizon_s: End of arrivals and of the window in seconds.
        replicas: Number of model replicas.
    """

    warmup_s: float
    horizon_s: float
    replicas: int

    def covers(self, at: float) -> bool:
        """Returns whether a time in seconds is inside the window."""
        return self.warmup_s <= at < self.horizon_s


def summarize(
    records: Sequence[ProgramRecord], counters: Counters, window: Window
) -> Summary:
    """Returns the metrics of a run.

    Args:
        records: Results of all programs.
        counters: Counts of the run, warm-up included.
        window: The measured window.
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
        counters.retries / max(1, counters.calls),
        counters.moves,
        refused,
        len(measured) - len(done) - refused,
        counters.exported_tokens,
    )
