"""The report of a fault run, as JSON and as a table."""

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
    """What a fault run came to.

    Attributes:
        plan: What was run.
        seconds: How long callers sent requests.
        programs: Programs begun.
        acknowledged: Turns that were acknowledged.
        lost: Acknowledged turns that their history lacks.
        duplicated: Requests that stand in a history twice.
        mixed: Answers that are not their prompt's, or not what was told.
        disordered: Branches out of their callers' order.
        executed: Unrepeatable calls that were executed.
        executed_twice: Those executed more than once.
        untrue: Unrepeatable calls whose execution differs from what was told.
        outcome_unknown: Unrepeatable calls whose caller was told so.
        garbled_streams: Streams that did not add up to their answer.
        over_budget: Programs that got more turns than their budget.
        given_up: Requests that their callers gave up.
        not_ended: Programs whose end was not acknowledged.
        memory_held: Ended programs for which an engine holds memory.
        refusals: Refusals by error kind.
        not_accepted: Connections refused by a closed listener, which count
            for the balancer.
        broken: Connections that broke or went silent.
        restart_refusals: Refusals during the rolling restart.
        restart_broken: Connections that broke during the rolling restart.
        restart_not_accepted: Closed listeners met during the rolling restart.
        turn_latency: Seconds of a turn, retries included.
        takeover: Seconds until a killed host's shard was served again.
        takeover_twofold: The same where another host or the platform failed
            as well meanwhile.
        leaving: Seconds until a leaving engine's last new call.
        leaving_twofold: The same where a host or the platform failed as well.
        stops: Planned stops.
        stop_seconds: Seconds of a planned stop.
        failed_stops: Stops that were not graceful.
        faults: Faults by kind.
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
        """True where every promise held."""
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


def quantiles(seconds: Sequence[float]) -> Quantiles:
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
    tally: ClientStats,
    restart: ClientStats,
    measurements: FaultMeasurements,
    verdict: Verdict,
    memory_held: Sequence[str],
) -> SystemReport:
    """Returns the report of a run.

    Args:
        plan: What was run.
        seconds: How long callers sent requests.
        progress: What the programs came to.
        tally: What callers met in all.
        restart: The part of it during the rolling restart.
        measurements: What was measured during the faults.
        verdict: What the checks found.
        memory_held: Ended programs with engine memory.
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
        garbled_streams=tally.mismatched_streams,
        over_budget=progress.over_budget,
        given_up=progress.given_up,
        not_ended=sum(not ledger.ended for ledger in progress.ledgers),
        memory_held=list(memory_held),
        refusals=dict(tally.count_by_refusal),
        not_accepted=tally.not_accepted,
        broken=tally.broken,
        restart_refusals=dict(restart.count_by_refusal),
        restart_broken=restart.broken,
        restart_not_accepted=restart.not_accepted,
        turn_latency=quantiles(progress.turn_seconds),
        takeover=quantiles(measurements.takeover_s),
        takeover_twofold=quantiles(measurements.takeover_twofold_s),
        leaving=quantiles(measurements.leaving_s),
        leaving_twofold=quantiles(measurements.leaving_twofold_s),
        stops=measurements.stops,
        stop_seconds=quantiles(measurements.stop_seconds),
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
