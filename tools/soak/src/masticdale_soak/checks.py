"""Checks of guarantees against the observations of a run."""

import bisect
import collections
import dataclasses
from collections.abc import Callable, Iterator

import httpx

from masticdale_soak.environment import (
    CAP_BURST,
    CAP_RATE_PER_S,
    CAPPED_WORKSPACE,
    EVENTS,
    TOKENS_PER_EVENT,
    WORKSPACE,
    Drain,
)
from masticdale_soak.faults import ExecutedStep
from masticdale_soak.history_checks import find_wrong_histories
from masticdale_soak.load_generator import (
    BUDGET_TOKENS,
    DEADLINE_S,
    TURN_TOKENS,
    Attempt,
    RequestKind,
)
from masticdale_soak.plans import Fault, Target
from masticdale_soak.processes import (
    CAP_EXCESS_REQUESTS,
    CAP_EXCESS_SHARE,
    CAP_WINDOW_S,
    GRACE_S,
    Incarnation,
)
from masticdale_soak.resumed_streams import (
    find_mixed_streams,
    find_refused_resumptions,
)

# Times that a request is sent to replicas once it has ended three and its hosts
# have had the time to hear of it.
_MAX_FATAL_RUNS = 3
_FATAL_REPLICAS = 3
_STREAM_KINDS = (
    RequestKind.TURN,
    RequestKind.CONVERSATION,
    RequestKind.STREAM,
)
# Statuses that guarantee that the request was not and will not be executed.
_NOT_RUN_STATUSES = frozenset({402, 408, 421, 429, 503})
# Seconds after which a draining replica gets no new requests: the guaranteed
# 2 s and a tolerance for a busy machine.
_DRAIN_LIMIT_S = 2.5
# Seconds after which a configuration change is in force: the guaranteed 2 s and
# a tolerance for a busy machine.
_CONFIGURATION_LIMIT_S = 2.5
_FIRST_VERSION = 1
# Guarantees with a time limit apply only if host and store had no fault for
# this many seconds before.
_UNDISTURBED_S = 3.0
# Tolerance of responses after the deadline, in seconds.
_DEADLINE_SLACK_S = 2.0
# Faults within this many seconds of a request may have broken its connection.
_FAULT_MARGIN_S = 1.0
# Memory of the smallest machine that a host has to run on.
_MEMORY_LIMIT_BYTES = 128 << 20
# Seconds after a stop request by which the process must have exited.
_EXIT_LIMIT_S = GRACE_S + 0.5


@dataclasses.dataclass(frozen=True, slots=True)
class Run:
    """A request that a replica began to execute.

    Attributes:
        request_id: The request.
        replica_id: The replica.
        started_at: Monotonic time when the request had arrived.
        workspace: The workspace that the replica was told; empty for none.
        has_key: Whether the replica got the caller's API key.
        body: Body that the replica got.
    """

    request_id: str
    replica_id: str
    started_at: float
    workspace: str = ""
    has_key: bool = False
    body: bytes = b""


@dataclasses.dataclass(frozen=True, slots=True)
class Observations:
    """Everything observed in a run.

    Attributes:
        attempts: All requests sent.
        runs: Requests that replicas began to execute.
        incarnations_by_host: Processes of each host, by its name.
        executed_steps: Injected faults, restarts and configuration changes.
        drains: Periods in which replicas were draining.
        recovery_attempts: Requests sent after the recovery from all faults.
        version_by_replica: Software versions of the replicas.
    """

    attempts: list[Attempt]
    runs: list[Run]
    incarnations_by_host: dict[str, list[Incarnation]]
    executed_steps: list[ExecutedStep]
    drains: list[Drain]
    recovery_attempts: list[Attempt]
    version_by_replica: dict[str, str]

    def steps_between(
        self, started_at: float, ended_at: float, prefixes: tuple[str, ...]
    ) -> list[ExecutedStep]:
        """Returns the steps that overlap a period, by prefixes of the fault."""
        return [
            a
            for a in self.executed_steps
            if a.fault.value.startswith(prefixes)
            and a.started_at < ended_at
            and a.ended_at > started_at
        ]

    def is_undisturbed(
        self, host: str, started_at: float, ended_at: float
    ) -> bool:
        """Whether a host and the store had no fault in a period.

        Faults of other hosts don't count, since a host must tolerate the
        failure of its peers.
        """
        targets = {host, Target.ALL_HOSTS.value, Target.STORE.value}
        return not any(
            a.target_name in targets and a.fault is not Fault.HANG_UP
            for a in self.steps_between(
                started_at - _UNDISTURBED_S, ended_at, ("",)
            )
        )

    def runs_by_request(self) -> dict[str, list[Run]]:
        """Returns the runs by request id."""
        found: dict[str, list[Run]] = collections.defaultdict(list)
        for run in self.runs:
            found[run.request_id].append(run)
        return found


@dataclasses.dataclass(frozen=True, slots=True)
class Violation:
    """A violated guarantee.

    Attributes:
        check: Name of the check.
        subject: Request, program, host or replica.
        detail: Observed values.
    """

    check: str
    subject: str
    detail: str


Findings = Iterator[tuple[str, str]]


def _at_most_once(observations: Observations) -> Findings:
    """Non-idempotent requests run at most once."""
    runs = observations.runs_by_request()
    for attempt in observations.attempts:
        count = len(runs.get(attempt.request_id, ()))
        if attempt.kind is RequestKind.ORDER and count > 1:
            yield attempt.request_id, f"ran {count} times"


def _true_refusals(observations: Observations) -> Findings:
    """A request with a not-run status is never executed."""
    runs = observations.runs_by_request()
    for attempt in observations.attempts:
        if attempt.status not in _NOT_RUN_STATUSES:
            continue
        for run in runs.get(attempt.request_id, ()):
            yield attempt.request_id, f"{attempt.status}, ran: {run}"


def _whole_own_answers(observations: Observations) -> Findings:
    """A successful response is complete and belongs to its request."""
    for attempt in observations.attempts:
        if not attempt.is_served:
            continue
        if not attempt.seal.endswith(f"-{attempt.request_id}"):
            yield attempt.request_id, f"seal {attempt.seal!r}"
        if attempt.kind in _STREAM_KINDS:
            numbers = attempt.event_ids()
            first = attempt.last_event_id + 1
            if numbers != list(range(first, EVENTS + 1)):
                yield attempt.request_id, f"events {numbers}"
        elif attempt.body != b"body of " + attempt.request_id.encode():
            yield attempt.request_id, f"body {attempt.body!r}"


def _ordered_events(observations: Observations) -> Findings:
    """Events arrive in order without gaps or duplicates, also if cut off."""
    for attempt in observations.attempts:
        if (
            attempt.kind not in _STREAM_KINDS
            or attempt.status != httpx.codes.OK
        ):
            continue
        numbers = attempt.event_ids()
        first = attempt.last_event_id + 1
        if numbers != list(range(first, first + len(numbers))):
            yield attempt.request_id, f"events {numbers}"


def _budgets(observations: Observations) -> Findings:
    """No program gets more than its budget plus one turn over all hosts."""
    tokens_by_program: collections.Counter[str] = collections.Counter()
    for attempt in observations.attempts:
        if (
            attempt.kind is RequestKind.TURN
            and attempt.status == httpx.codes.OK
        ):
            events = len(attempt.event_ids())
            tokens_by_program[attempt.program_id] += events * TOKENS_PER_EVENT
    for program_id, tokens in tokens_by_program.items():
        if tokens > BUDGET_TOKENS + TURN_TOKENS:
            yield program_id, f"{tokens} of {BUDGET_TOKENS} tokens"


def _early_spent(observations: Observations) -> Findings:
    """No program gets 402 with more than half of its budget unused.

    Turns that were not served may count as their maximum, since their usage is
    unknown.
    """
    attempts_by_program: dict[str, list[Attempt]] = {}
    for attempt in observations.attempts:
        if attempt.kind is RequestKind.TURN:
            attempts_by_program.setdefault(attempt.program_id, []).append(
                attempt
            )
    for program_id, attempts in attempts_by_program.items():
        used = 0
        for attempt in sorted(attempts, key=lambda a: a.started_at):
            if attempt.status == httpx.codes.PAYMENT_REQUIRED:
                if used + TURN_TOKENS < BUDGET_TOKENS / 2:
                    yield program_id, f"402 after {used} tokens"
                break
            if attempt.is_served:
                used += TOKENS_PER_EVENT * EVENTS
            else:
                used += TURN_TOKENS


def _configuration_order(observations: Observations) -> Findings:
    """A process never reverts to an earlier configuration."""
    newest: dict[tuple[str, int], Attempt] = {}
    served = (
        a
        for a in observations.attempts
        if a.kind is RequestKind.VERSION and a.status == httpx.codes.OK
    )
    for attempt in sorted(served, key=lambda a: a.ended_at):
        key = (attempt.host, attempt.incarnation)
        known = newest.get(key)
        if known is None or attempt.version > known.version:
            newest[key] = attempt
        elif (
            attempt.version < known.version
            and attempt.started_at > known.ended_at
        ):
            yield (
                attempt.request_id,
                f"version {attempt.version} after {known.version}",
            )


def _configuration_in_time(observations: Observations) -> Findings:
    """A host applies a configuration change within two seconds."""
    changes = [
        a for a in observations.executed_steps if a.fault is Fault.CONFIGURATION
    ]
    changed_at = sorted(a.started_at for a in changes)
    for attempt in observations.attempts:
        is_unknown = attempt.status == httpx.codes.NOT_FOUND
        if attempt.kind is not RequestKind.VERSION or not is_unknown:
            continue
        # The first version is written before the hosts start.
        number = attempt.version - _FIRST_VERSION
        if number <= 0:
            continue
        written_at = changed_at[number - 1]
        is_newest = not any(
            written_at < at < attempt.ended_at for at in changed_at
        )
        if (
            not is_newest
            or attempt.started_at < written_at + _CONFIGURATION_LIMIT_S
        ):
            continue
        if observations.is_undisturbed(
            attempt.host, written_at, attempt.ended_at
        ):
            age_s = attempt.started_at - written_at
            yield (
                f"{attempt.host} {attempt.request_id}",
                f"version {attempt.version} unknown after {age_s:.1f} s",
            )


def _drained_replicas(observations: Observations) -> Findings:
    """A draining replica gets no new requests after two seconds."""
    host_by_request = {a.request_id: a.host for a in observations.attempts}
    for drain in observations.drains:
        limit_at = drain.started_at + _DRAIN_LIMIT_S
        for run in observations.runs:
            is_after_limit = limit_at < run.started_at < drain.ended_at
            if run.replica_id != drain.replica_id or not is_after_limit:
                continue
            host = host_by_request.get(run.request_id, "")
            if observations.is_undisturbed(
                host, drain.started_at, run.started_at
            ):
                yield drain.replica_id, f"{host}: {run}"


def _orderly_stops(observations: Observations) -> Findings:
    """A process exits with code 0 within the grace period after SIGTERM."""
    for host, incarnations in observations.incarnations_by_host.items():
        for incarnation in incarnations:
            if incarnation.stop_requested_at is None:
                continue
            end = (
                incarnation.ended_at
                or incarnation.stop_requested_at + _EXIT_LIMIT_S
            )
            if observations.steps_between(
                incarnation.stop_requested_at, end, ("pause",)
            ):
                continue
            if incarnation.exit_code != 0:
                yield (
                    host,
                    f"process {incarnation.number}:"
                    f" exit {incarnation.exit_code}",
                )


def _starts(observations: Observations) -> Findings:
    """A started process becomes ready in time, whatever the faults."""
    for host, incarnations in observations.incarnations_by_host.items():
        for incarnation in incarnations:
            if incarnation.start_timed_out:
                yield (
                    host,
                    f"process {incarnation.number}:"
                    f" exit {incarnation.exit_code}",
                )


def _stops_break_nothing(observations: Observations) -> Findings:
    """A stop aborts no request that a replica executes."""
    runs = observations.runs_by_request()
    for attempt in observations.attempts:
        incarnation = observations.incarnations_by_host[attempt.host][
            attempt.incarnation - 1
        ]
        if (
            not attempt.error
            or incarnation.stop_requested_at is None
            or incarnation.ended_at is None
        ):
            continue
        if (
            attempt.ended_at < incarnation.stop_requested_at
            or attempt.request_id not in runs
        ):
            continue
        others = [
            a
            for a in observations.steps_between(
                attempt.started_at - _FAULT_MARGIN_S,
                attempt.ended_at + _FAULT_MARGIN_S,
                ("",),
            )
            if a.fault not in (Fault.STOP, Fault.STOP_IN_TURN)
        ]
        if not others:
            yield attempt.request_id, attempt.error


def _answers_in_time(observations: Observations) -> Findings:
    """Each request is answered by its deadline unless its host is paused."""
    for attempt in observations.attempts:
        took_s = attempt.ended_at - attempt.started_at
        if took_s <= DEADLINE_S + _DEADLINE_SLACK_S:
            continue
        if observations.steps_between(
            attempt.started_at, attempt.ended_at, ("pause",)
        ):
            continue
        yield attempt.request_id, f"{took_s:.1f} s: {attempt.error}"


def _told_when_to_return(observations: Observations) -> Findings:
    """Each 503 response has a Retry-After header."""
    for attempt in observations.attempts:
        is_refused = attempt.status == httpx.codes.SERVICE_UNAVAILABLE
        if is_refused and not attempt.retry_after_s:
            yield attempt.request_id, "503 without Retry-After"


def _recovery(observations: Observations) -> Findings:
    """After the recovery every host serves every kind of request."""
    for attempt in observations.recovery_attempts:
        if not attempt.is_served:
            yield (
                f"{attempt.host} {attempt.kind.value}",
                f"{attempt.status} {attempt.body[:200]!r} {attempt.error}",
            )


def _keys(observations: Observations) -> Findings:
    """A replica gets the name of the caller's workspace, and no key."""
    kind_by_request = {a.request_id: a.kind for a in observations.attempts}
    for run in observations.runs:
        kind = kind_by_request.get(run.request_id)
        is_capped = kind is RequestKind.CAPPED
        expected = CAPPED_WORKSPACE if is_capped else WORKSPACE
        if run.workspace != expected or run.has_key:
            yield run.request_id, str(run)


def _usage_caps(observations: Observations) -> Findings:
    """A workspace stays within its cap in each window, over all hosts."""
    allowed = CAP_RATE_PER_S * CAP_WINDOW_S + CAP_BURST
    allowed += CAP_EXCESS_SHARE * allowed + CAP_EXCESS_REQUESTS
    run_at_by_request: dict[str, float] = {}
    for run in observations.runs:
        if run.workspace == CAPPED_WORKSPACE:
            run_at_by_request.setdefault(run.request_id, run.started_at)
    times = sorted(run_at_by_request.values())
    for index, began_at in enumerate(times):
        count = bisect.bisect_right(times, began_at + CAP_WINDOW_S) - index
        if count > allowed:
            yield CAPPED_WORKSPACE, f"{count} requests, allowed {allowed}"
            return


def _fatal_requests(observations: Observations) -> Findings:
    """A request that has ended three replicas ends few more."""
    attempt_by_id = {a.request_id: a for a in observations.attempts}
    runs = sorted(
        (
            run
            for run in observations.runs
            if attempt_by_id[run.request_id].kind is RequestKind.FATAL
        ),
        key=lambda run: run.started_at,
    )
    if len(runs) <= _FATAL_REPLICAS:
        return
    known_at = runs[_FATAL_REPLICAS - 1].started_at + _UNDISTURBED_S
    later = [
        run
        for run in runs
        if run.started_at > known_at
        and observations.is_undisturbed(
            attempt_by_id[run.request_id].host, run.started_at, run.started_at
        )
    ]
    if len(later) > _MAX_FATAL_RUNS:
        yield runs[0].request_id, f"{len(runs)} runs, {len(later)} too late"


def _memory(observations: Observations) -> Findings:
    """A host stays within the memory of its machine."""
    for host, incarnations in observations.incarnations_by_host.items():
        for incarnation in incarnations:
            if incarnation.peak_bytes > _MEMORY_LIMIT_BYTES:
                peak_mib = incarnation.peak_bytes >> 20
                yield host, f"process {incarnation.number}: {peak_mib} MiB"


def _histories(observations: Observations) -> Findings:
    """A replica gets the whole chain, and no kept turn is unknown."""
    bodies = [(run.request_id, run.body) for run in observations.runs]
    return find_wrong_histories(observations.attempts, bodies)


def _stream_versions(observations: Observations) -> Findings:
    """No stream holds events of two software versions."""
    return find_mixed_streams(
        observations.attempts, observations.version_by_replica
    )


def _resumed_streams(observations: Observations) -> Findings:
    """Streams that callers resume go on about as often as new ones begin."""
    return find_refused_resumptions(
        attempt
        for attempt in observations.attempts
        if observations.is_undisturbed(
            attempt.host, attempt.started_at, attempt.ended_at
        )
    )


CHECK_BY_NAME: dict[str, Callable[[Observations], Findings]] = {
    "at-most-once": _at_most_once,
    "true-refusals": _true_refusals,
    "whole-own-answers": _whole_own_answers,
    "ordered-events": _ordered_events,
    "budgets": _budgets,
    "early-spent": _early_spent,
    "configuration-order": _configuration_order,
    "configuration-in-time": _configuration_in_time,
    "drained-replicas": _drained_replicas,
    "starts": _starts,
    "orderly-stops": _orderly_stops,
    "stops-break-nothing": _stops_break_nothing,
    "keys": _keys,
    "usage-caps": _usage_caps,
    "fatal-requests": _fatal_requests,
    "memory": _memory,
    "histories": _histories,
    "stream-versions": _stream_versions,
    "resumed-streams": _resumed_streams,
    "answers-in-time": _answers_in_time,
    "told-when-to-return": _told_when_to_return,
    "recovery": _recovery,
}


def check(observations: Observations) -> list[Violation]:
    """Returns all violations."""
    return [
        Violation(name, subject, detail)
        for name, find in CHECK_BY_NAME.items()
        for subject, detail in sorted(find(observations))
    ]
