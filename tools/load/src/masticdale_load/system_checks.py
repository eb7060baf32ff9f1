"""Checks the answers that callers got against histories and executions."""

import collections
import dataclasses
from collections.abc import Iterable, Sequence

from masticdale_load.system_ledger import BranchHistory, ProgramLedger
from masticdale_programs.calls import idempotency_key
from masticdale_upstreams.testing import expected_answer
from masticdaled.callers.models import HistoryItemBody

REPORTED_DONE = "done"
REPORTED_NOT_RUN = "not_run"
REPORTED_UNKNOWN = "unknown"
_TURN_KIND = "turn"


@dataclasses.dataclass(slots=True)
class Verdict:
    """Result of the checks; any entry in a list is a violation.

    Attributes:
        acknowledged: Number of acknowledged turns.
        lost: Acknowledged turns missing from their branch's history.
        duplicated: Requests that occur more than once in a history.
        mixed: Answers that belong to another prompt or differ from the
            acknowledged answer.
        disordered: Branches whose history is not in the callers' order.
        executed_twice: Unrepeatable calls that were executed more than once.
        untrue: Unrepeatable calls whose executions contradict the outcome
            reported to the caller.
        outcome_unknown: Number of unrepeatable calls that were reported with
            an unknown outcome.
        executed: Number of unrepeatable calls that were executed.
    """

    acknowledged: int = 0
    lost: list[str] = dataclasses.field(default_factory=list)
    duplicated: list[str] = dataclasses.field(default_factory=list)
    mixed: list[str] = dataclasses.field(default_factory=list)
    disordered: list[str] = dataclasses.field(default_factory=list)
    executed_twice: list[str] = dataclasses.field(default_factory=list)
    untrue: list[str] = dataclasses.field(default_factory=list)
    outcome_unknown: int = 0
    executed: int = 0

    @property
    def is_clean(self) -> bool:
        """Whether no check found a violation."""
        return not any(
            (
                self.lost,
                self.duplicated,
                self.mixed,
                self.disordered,
                self.executed_twice,
                self.untrue,
            )
        )


def check_history(
    ledger: ProgramLedger, history: BranchHistory, verdict: Verdict
) -> None:
    """Checks the history of one branch.

    Args:
        ledger: Requests and acknowledged answers of the program.
        history: History that the system returned.
        verdict: Updated in place.
    """
    label = f"{history.program_id}/{history.branch}"
    ids = [item.request_id for item in history.items]
    counts = collections.Counter(ids)
    verdict.duplicated += [f"{label}/{i}" for i, n in counts.items() if n > 1]
    verdict.mixed += [f"{label}/{i}" for i in counts.keys() - ledger.sent_ids]
    acknowledged = ledger.acknowledged_by_branch.get(history.branch, [])
    verdict.acknowledged += len(acknowledged)
    item_by_id = {item.request_id: item for item in history.items}
    for call in acknowledged:
        item = item_by_id.get(call.request_id)
        if item is None:
            verdict.lost.append(f"{label}/{call.request_id}")
        elif (item.sent, item.answer) != (call.sent, call.answer):
            verdict.mixed.append(f"{label}/{call.request_id}")
    acknowledged_ids = {call.request_id for call in acknowledged}
    kept_ids = [i for i in ids if i in acknowledged_ids]
    if kept_ids != [
        call.request_id
        for call in acknowledged
        if call.request_id in item_by_id
    ]:
        verdict.disordered.append(label)
    _check_answers(ledger, history.items, label, verdict)


def check_executions(
    ledgers: Iterable[ProgramLedger],
    count_by_key: collections.Counter[str],
    verdict: Verdict,
) -> None:
    """Checks reported outcomes of unrepeatable calls against executions.

    Args:
        ledgers: Reported outcomes of each program.
        count_by_key: Executions at all services by idempotency key.
        verdict: Updated in place.
    """
    for ledger in ledgers:
        for request_id, reported in ledger.outcome_by_request_id.items():
            label = f"{ledger.program_id}/{request_id}"
            count = count_by_key[idempotency_key(ledger.program_id, request_id)]
            verdict.executed += min(count, 1)
            verdict.outcome_unknown += reported == REPORTED_UNKNOWN
            if count > 1:
                verdict.executed_twice.append(label)
            is_contradicted = (reported == REPORTED_DONE and count == 0) or (
                reported == REPORTED_NOT_RUN and count > 0
            )
            if is_contradicted:
                verdict.untrue.append(
                    f"{label}: reported {reported}, executed {count} times"
                )


def _check_answers(
    ledger: ProgramLedger,
    items: Sequence[HistoryItemBody],
    label: str,
    verdict: Verdict,
) -> None:
    parts = [ledger.system_prompt]
    for item in items:
        if item.kind != _TURN_KIND:
            parts += [f"{item.kind} {item.sent}", item.answer]
            continue
        parts.append(item.sent)
        if item.answer != expected_answer(parts, ledger.max_tokens):
            verdict.mixed.append(f"{label}/{item.request_id}")
        parts.append(item.answer)
