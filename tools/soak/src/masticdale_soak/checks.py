"""Promises, checked from what callers and replicas saw."""

import collections
import dataclasses
from collections.abc import Callable, Iterator

import httpx

from masticdale_soak.environment import EVENTS, TOKENS_PER_EVENT, Drain
from masticdale_soak.faults import Applied
from masticdale_soak.load_generator import (
    BUDGET_TOKENS,
    DEADLINE_S,
    TURN_TOKENS,
    Attempt,
    Kind,
)
from masticdale_soak.plans import Fault, Target
from masticdale_soak.processes import GRACE_S, Life

# Answers that say that the request has not run and will not.
_NOT_RUN_STATUSES = frozenset({402, 408, 421, 429, 503})
# A replica that leaves gets no new work after this long, in seconds: two as
# promised, and half of one for this machine's load.
_DRAIN_S = 2.5
# A change of the configuration is in force after this long, in seconds: two as
# promised, and half of one for this machine's load.
_IN_FORCE_S = 2.5
_FIRST_VERSION = 1
# Promises with a time hold for hosts that were in order for this long, in
# seconds, and while the store was.
_CONTACT_S = 3.0
# An answer may be this much later than its request's deadline, in seconds.
_LATE_S = 2.0
# What strikes a host that stops also breaks its connections, for this long
# before and after, in seconds.
_APART_S = 1.0
# After this the processes of a stop are surely gone, in seconds.
_END_S = GRACE_S + 0.5


@dataclasses.dataclass(frozen=True, slots=True)
class Run:
    """A request that a replica began to run.

    Attributes:
        request_id: The request.
        replica_id: The replica.
        at: Monotonic seconds.
    """

    request_id: str
    replica_id: str
    at: float


@dataclasses.dataclass(frozen=True, slots=True)
class Evidence:
    """What was seen in a run.

    Attributes:
        attempts: Requests of callers.
        runs: What replicas began to run.
        lives_by_host: The processes of each host.
        applied: Faults, stops and changes as they were carried out.
        drains: Replicas that were to get no new work.
        last_attempts: Requests sent once everything was sound again.
    """

    attempts: list[Attempt]
    runs: list[Run]
    lives_by_host: dict[str, list[Life]]
    applied: list[Applied]
    drains: list[Drain]
    last_attempts: list[Attempt]

    def applied_between(
        self, began: float, ended: float, prefixes: tuple[str, ...]
    ) -> list[Applied]:
        """Returns the faults of some kinds that touch a time."""
        return [
            a
            for a in self.applied
            if a.fault.value.startswith(prefixes)
            and a.began < ended
            and a.ended > began
        ]

    def is_in_touch(self, host: str, began: float, ended: float) -> bool:
        """Whether a host and the store were in order all the while.

        What strikes other hosts doesn't count: whoever depends on them has to
        notice, and to find another way.
        """
        places = {host, Target.ALL_HOSTS.value, Target.STORE.value}
        return not any(
            a.place in places and a.fault is not Fault.HANG_UP
            for a in self.applied_between(began - _CONTACT_S, ended, ("",))
        )

    def runs_by_request(self) -> dict[str, list[Run]]:
        """Returns the runs of each request."""
        found: dict[str, list[Run]] = collections.defaultdict(list)
        for run in self.runs:
            found[run.request_id].append(run)
        return found


@dataclasses.dataclass(frozen=True, slots=True)
class Violation:
    """A promise that was broken.

    Attributes:
        check: Name of the check.
        subject: Request, program, host or replica.
        detail: What was seen.
    """

    check: str
    subject: str
    detail: str


Found = Iterator[tuple[str, str]]


def _at_most_once(evidence: Evidence) -> Found:
    """What must not run twice ran at one replica at most."""
    runs = evidence.runs_by_request()
    for attempt in evidence.attempts:
        count = len(runs.get(attempt.request_id, ()))
        if attempt.kind is Kind.ORDER and count > 1:
            yield attempt.request_id, f"ran {count} times"


def _true_refusals(evidence: Evidence) -> Found:
    """A request that was refused has not run, neither before nor after."""
    runs = evidence.runs_by_request()
    for attempt in evidence.attempts:
        if attempt.status not in _NOT_RUN_STATUSES:
            continue
        for run in runs.get(attempt.request_id, ()):
            yield attempt.request_id, f"{attempt.status}, ran: {run}"


def _whole_own_answers(evidence: Evidence) -> Found:
    """A whole success is the replica's whole answer to this request."""
    for attempt in evidence.attempts:
        if not attempt.is_served:
            continue
        if not attempt.seal.endswith(f"-{attempt.request_id}"):
            yield attempt.request_id, f"seal {attempt.seal!r}"
        if attempt.kind is Kind.TURN:
            numbers = attempt.event_numbers()
            if numbers != list(range(1, EVENTS + 1)):
                yield attempt.request_id, f"events {numbers}"
        elif attempt.body != b"body of " + attempt.request_id.encode():
            yield attempt.request_id, f"body {attempt.body!r}"


def _ordered_events(evidence: Evidence) -> Found:
    """Events come in order, none missing, none twice, also in a cut stream."""
    for attempt in evidence.attempts:
        if attempt.kind is not Kind.TURN or attempt.status != httpx.codes.OK:
            continue
        numbers = attempt.event_numbers()
        if numbers != list(range(1, len(numbers) + 1)):
            yield attempt.request_id, f"events {numbers}"


def _budgets(evidence: Evidence) -> Found:
    """No program gets more than its budget and one turn, over all hosts."""
    tokens_by_program: collections.Counter[str] = collections.Counter()
    for attempt in evidence.attempts:
        if attempt.kind is Kind.TURN and attempt.status == httpx.codes.OK:
            events = len(attempt.event_numbers())
            tokens_by_program[attempt.program_id] += events * TOKENS_PER_EVENT
    for program_id, tokens in tokens_by_program.items():
        if tokens > BUDGET_TOKENS + TURN_TOKENS:
            yield program_id, f"{tokens} of {BUDGET_TOKENS} tokens"


def _early_spent(evidence: Evidence) -> Found:
    """No program is told that its budget is spent with half of it unused.

    Turns that broke off may count at their most: nobody knows what they used.
    """
    attempts_by_program: dict[str, list[Attempt]] = {}
    for attempt in evidence.attempts:
        if attempt.kind is Kind.TURN:
            attempts_by_program.setdefault(attempt.program_id, []).append(
                attempt
            )
    for program_id, attempts in attempts_by_program.items():
        used = 0
        for attempt in sorted(attempts, key=lambda a: a.began):
            if attempt.status == httpx.codes.PAYMENT_REQUIRED:
                if used + TURN_TOKENS < BUDGET_TOKENS / 2:
                    yield program_id, f"402 after {used} tokens"
                break
            if attempt.is_served:
                used += TOKENS_PER_EVENT * EVENTS
            else:
                used += TURN_TOKENS


def _configuration_order(evidence: Evidence) -> Found:
    """A process never goes back to an earlier configuration."""
    newest: dict[tuple[str, int], Attempt] = {}
    served = (
        a
        for a in evidence.attempts
        if a.kind is Kind.VERSION and a.status == httpx.codes.OK
    )
    for attempt in sorted(served, key=lambda a: a.ended):
        key = (attempt.host, attempt.life)
        known = newest.get(key)
        if known is None or attempt.version > known.version:
            newest[key] = attempt
        elif attempt.version < known.version and attempt.began > known.ended:
            yield (
                attempt.request_id,
                f"version {attempt.version} after {known.version}",
            )


def _configuration_in_time(evidence: Evidence) -> Found:
    """A host has a change of the configuration two seconds after it."""
    changes = [a for a in evidence.applied if a.fault is Fault.CONFIGURATION]
    changed_at = sorted(a.began for a in changes)
    for attempt in evidence.attempts:
        is_unknown = attempt.status == httpx.codes.NOT_FOUND
        if attempt.kind is not Kind.VERSION or not is_unknown:
            continue
        # The first version is there from the start.
        number = attempt.version - _FIRST_VERSION
        if number <= 0:
            continue
        written_at = changed_at[number - 1]
        is_newest = not any(
            written_at < at < attempt.ended for at in changed_at
        )
        if not is_newest or attempt.began < written_at + _IN_FORCE_S:
            continue
        if evidence.is_in_touch(attempt.host, written_at, attempt.ended):
            age_s = attempt.began - written_at
            yield (
                f"{attempt.host} {attempt.request_id}",
                f"version {attempt.version} unknown after {age_s:.1f} s",
            )


def _drained_replicas(evidence: Evidence) -> Found:
    """A replica that leaves gets no new work two seconds later."""
    host_by_request = {a.request_id: a.host for a in evidence.attempts}
    for drain in evidence.drains:
        from_at = drain.began + _DRAIN_S
        for run in evidence.runs:
            is_late = from_at < run.at < drain.ended
            if run.replica_id != drain.replica_id or not is_late:
                continue
            host = host_by_request.get(run.request_id, "")
            if evidence.is_in_touch(host, drain.began, run.at):
                yield drain.replica_id, f"{host}: {run}"


def _orderly_stops(evidence: Evidence) -> Found:
    """A process that is told to stop ends by itself, in time."""
    for host, lives in evidence.lives_by_host.items():
        for life in lives:
            if life.stop_at is None:
                continue
            end = life.ended or life.stop_at + _END_S
            if evidence.applied_between(life.stop_at, end, ("pause",)):
                continue
            if life.exit_code != 0:
                yield host, f"process {life.number}: exit {life.exit_code}"


def _starts(evidence: Evidence) -> Found:
    """A process that is started gets ready, whatever happens meanwhile."""
    for host, lives in evidence.lives_by_host.items():
        for life in lives:
            if life.is_late:
                yield host, f"process {life.number}: exit {life.exit_code}"


def _stops_break_nothing(evidence: Evidence) -> Found:
    """A stop breaks no request off that a replica runs."""
    runs = evidence.runs_by_request()
    for attempt in evidence.attempts:
        life = evidence.lives_by_host[attempt.host][attempt.life - 1]
        if not attempt.error or life.stop_at is None or life.ended is None:
            continue
        if attempt.ended < life.stop_at or attempt.request_id not in runs:
            continue
        others = [
            a
            for a in evidence.applied_between(
                attempt.began - _APART_S, attempt.ended + _APART_S, ("",)
            )
            if a.fault not in (Fault.STOP, Fault.STOP_IN_TURN)
        ]
        if not others:
            yield attempt.request_id, attempt.error


def _answers_in_time(evidence: Evidence) -> Found:
    """Each request is answered by its deadline, if its host runs."""
    for attempt in evidence.attempts:
        took_s = attempt.ended - attempt.began
        if took_s <= DEADLINE_S + _LATE_S:
            continue
        if evidence.applied_between(attempt.began, attempt.ended, ("pause",)):
            continue
        yield attempt.request_id, f"{took_s:.1f} s: {attempt.error}"


def _told_when_to_return(evidence: Evidence) -> Found:
    """A refusal of what was not run says when to come back."""
    for attempt in evidence.attempts:
        is_refused = attempt.status == httpx.codes.SERVICE_UNAVAILABLE
        if is_refused and not attempt.retry_after_s:
            yield attempt.request_id, "503 without Retry-After"


def _recovery(evidence: Evidence) -> Found:
    """Once all is sound, every host serves every kind of request."""
    for attempt in evidence.last_attempts:
        if not attempt.is_served:
            yield (
                f"{attempt.host} {attempt.kind.value}",
                f"{attempt.status} {attempt.body[:200]!r} {attempt.error}",
            )


CHECK_BY_NAME: dict[str, Callable[[Evidence], Found]] = {
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
    "answers-in-time": _answers_in_time,
    "told-when-to-return": _told_when_to_return,
    "recovery": _recovery,
}


def check(evidence: Evidence) -> list[Violation]:
    """Returns every promise that was broken."""
    return [
        Violation(name, subject, detail)
        for name, find in CHECK_BY_NAME.items()
        for subject, detail in sorted(find(evidence))
    ]
