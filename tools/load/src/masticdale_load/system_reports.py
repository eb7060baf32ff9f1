"""Report of a fault run, as JSON and as a text table."""

import math
from collections.abc import Sequence

import pydantic

from masticdale_load.system_checks import Verdict
from masticdale_load.system_client import ClientStats
from masticdale_load.system_faults import FaultMeasurements
from masticdale_load.system_plans import SystemPlan
from masticdale_load.system_programs import Progress

_MEDIAN = 0.5
_P99 = 0.99
_MAX_SHOWN = 20


class Quantiles(pydantic.BaseModel):
    """Quantiles of a list of seconds; zeros where it is empty."""

    count: int
    p50: float
    p99: float
    most: float


class SystemReport(pydantic.BaseModel):
    """Results of a fault run.

    Attributes:
        plan: Plan of the run.
        seconds: Time during which callers sent requests.
        programs: Number of created programs.
        acknowledged: Number of acknowledged turns.
        lost: Acknowledged turns missing from their branch's history.
        duplicated: Requests that occur more than once in a history.
        mixed: Answers that belong to another prompt or differ from the
            acknowledged answer.
        disordered: Branches whose history is not in the callers' order.
        executed: Number of unrepeatable calls that were executed.
        executed_twice: Unrepeatable calls that were executed more than once.
        untrue: Unrepeatable calls whose executions contradict the outcome
            reported to the caller.
        outcome_unknown: Number of unrepeatable calls that were reported with
            an unknown outcome.
        garbled_streams: Streams whose text differs from their last event.
        over_budget: Programs that ran more turns than their budget allows.
        given_up: Requests that the callers gave up.
        not_ended: Number of programs whose end was not acknowledged.
        memory_held: Ended programs that still have prefixes in an engine.
        refusals: Number of refusals by error kind.
        not_accepted: Connections refused by a closed listener, which count
            for the balancer.
        broken: Connections that failed or timed out after the request.
        restart_refusals: Refusals during the rolling restart.
        restart_broken: Broken connections during the rolling restart.
        restart_not_accepted: Connections refused by a closed listener during
            the rolling restart.
        turn_latency: Seconds of a turn, retries included.
        takeover: Seconds until a killed host's shard was served again.
        takeover_twofold: The same, while another host or the platform failed
            too.
        leaving: Seconds until a leaving engine received its last new call.
        leaving_twofold: The same, while a host or the platform failed too.
        stops: Number of planned stops.
        stop_seconds: Seconds of a planned stop.
        failed_stops: Planned stops that timed out or whose exit code was not
            0.
        faults: Number of injected faults by kind.
    """

    plan: SystemPlan
    seconds: float
    programs: int
    acknowledged: int
    lost: list[str]
    duplicated: list[str]
    mixed: list[str]
    disordered: list[str]
    executed: int
    executed_twice: list[str]
    untrue: list[str]
    outcome_unknown: int
    garbled_streams: int
    over_budget: list[str]
    given_up: list[str]
    not_ended: int
    memory_held: list[str]
    refusals: dict[str, int]
    not_accepted: int
    broken: int
    restart_refusals: dict[str, int]
    restart_broken: int
    restart_not_accepted: int
    turn_latency: Quantiles
    takeover: Quantiles
    takeover_twofold: Quantiles
    leaving: Quantiles
    leaving_twofold: Quantiles
    stops: int
    stop_seconds: Quantiles
    failed_stops: list[str]
    faults: dict[str, int]

    @property
    def is_clean(self) -> bool:
        """Whether the run violated no invariant."""
        return not any(
            (
                self.lost,
                self.duplicated,
                self.mixed,
                self.disordered,
                self.executed_twice,
                self.untrue,
                self.garbled_streams,
                self.over_budget,
                self.given_up,
                self.memory_held,
                self.failed_stops,
            )
        )


def compute_quantiles(seconds: Sequence[float]) -> Quantiles:
    """Returns the quantiles of a list of seconds."""
    if not seconds:
        return Quantiles(count=0, p50=0, p99=0, most=0)
    ordered = sorted(seconds)

    def at(share: float) -> float:
        index = math.ceil(share * len(ordered)) - 1
        return round(ordered[max(0, index)], 3)

    return Quantiles(
        count=len(ordered), p50=at(_MEDIAN), p99=at(_P99), most=at(1)
    )


def create_report(
    plan: SystemPlan,
    seconds: float,
    progress: Progress,
    client_stats: ClientStats,
    restart_stats: ClientStats,
    measurements: FaultMeasurements,
    verdict: Verdict,
    memory_held: Sequence[str],
) -> SystemReport:
    """Returns the report of a run.

    Args:
        plan: Plan of the run.
        seconds: Time during which callers sent requests.
        progress: Programs, latencies and given-up requests.
        client_stats: Client statistics of the whole run.
        restart_stats: Client statistics of the rolling restart.
        measurements: Measurements taken during faults.
        verdict: Result of the checks.
        memory_held: Ended programs that still have prefixes in an engine.
    """
    return SystemReport(
        plan=plan,
        seconds=round(seconds, 1),
        programs=len(progress.ledgers),
        acknowledged=verdict.acknowledged,
        lost=verdict.lost,
        duplicated=verdict.duplicated,
        mixed=verdict.mixed,
        disordered=verdict.disordered,
        executed=verdict.executed,
        executed_twice=verdict.executed_twice,
        untrue=verdict.untrue,
        outcome_unknown=verdict.outcome_unknown,
        garbled_streams=client_stats.mismatched_streams,
        over_budget=progress.over_budget,
        given_up=progress.given_up,
        not_ended=sum(not ledger.ended for ledger in progress.ledgers),
        memory_held=list(memory_held),
        refusals=dict(client_stats.count_by_refusal),
        not_accepted=client_stats.not_accepted,
        broken=client_stats.broken,
        restart_refusals=dict(restart_stats.count_by_refusal),
        restart_broken=restart_stats.broken,
        restart_not_accepted=restart_stats.not_accepted,
        turn_latency=compute_quantiles(progress.turn_seconds),
        takeover=compute_quantiles(measurements.takeover_s),
        takeover_twofold=compute_quantiles(measurements.takeover_twofold_s),
        leaving=compute_quantiles(measurements.leaving_s),
        leaving_twofold=compute_quantiles(measurements.leaving_twofold_s),
        stops=measurements.stops,
        stop_seconds=compute_quantiles(measurements.stop_seconds),
        failed_stops=measurements.failed_stops,
        faults=dict(measurements.count_by_fault),
    )


def format_report(report: SystemReport) -> str:
    """Returns the report as lines of name and value."""
    lines = []
    for name, value in report:
        if name == "plan":
            value = f"{report.plan.name}, seed {report.plan.seed}"
        if isinstance(value, list):
            shown = "; ".join(value[:_MAX_SHOWN])
            value = f"{len(value)}  {shown}".rstrip()
        if isinstance(value, Quantiles):
            value = (
                f"p50 {value.p50} s, p99 {value.p99} s, most {value.most} s"
                f" ({value.count})"
            )
        lines.append(f"{name:28} {value}")
    return "\n".join(lines)
