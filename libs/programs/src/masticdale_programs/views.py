"""Conversion of a program's state into results for callers."""

import functools

from returns.result import Failure as Failed
from returns.result import Result, Success

from masticdale_common import ErrorKind, Failure
from masticdale_programs.operations import (
    CallOutcome,
    HistoryItem,
    OperationResult,
    Outcome,
    ProgramView,
    TurnOutcome,
)
from masticdale_programs.records import (
    CallFinished,
    OutcomeStatus,
    TurnFinished,
)
from masticdale_programs.state import Program
from masticdale_programs.streams import StreamPart

# Differs from every attempt of a call in flight, so that a reader replaces the
# text it has.
COMMITTED_ATTEMPT = -1


@functools.singledispatch
def outcome_of(entry: TurnFinished | CallFinished) -> Result[Outcome, Failure]:
    """Returns the outcome of a finished call, the same for every request."""
    raise TypeError(f"unsupported entry {type(entry).__name__}")


@outcome_of.register
def _(entry: TurnFinished) -> Result[Outcome, Failure]:
    return Success(
        TurnOutcome(
            entry.request_id,
            entry.text,
            entry.prompt_tokens,
            entry.cached_tokens,
            entry.generated_tokens,
            entry.replica,
        )
    )


@outcome_of.register
def _(entry: CallFinished) -> Result[Outcome, Failure]:
    if entry.status is OutcomeStatus.UNKNOWN:
        detail = f"request id {entry.request_id!r}"
        return Failed(Failure(ErrorKind.OUTCOME_UNKNOWN, detail))
    return Success(CallOutcome(entry.request_id, entry.status, entry.result))


@functools.singledispatch
def history_item(entry: TurnFinished | CallFinished) -> HistoryItem:
    """Returns a finished call as an item of its branch's history."""
    raise TypeError(f"unsupported entry {type(entry).__name__}")


@history_item.register
def _(entry: TurnFinished) -> HistoryItem:
    return HistoryItem(
        entry.request_id, "turn", entry.message, entry.text, "done"
    )


@history_item.register
def _(entry: CallFinished) -> HistoryItem:
    return HistoryItem(
        entry.request_id,
        entry.operation,
        entry.payload,
        entry.result,
        entry.status.value,
    )


def finished_part(entry: TurnFinished | CallFinished) -> StreamPart:
    """Returns a finished call's complete answer as one stream part."""
    text = entry.text if isinstance(entry, TurnFinished) else ""
    return StreamPart(COMMITTED_ATTEMPT, 0, text, outcome_of(entry))


def program_view(
    program: Program, waiting: tuple[str, ...], history_of: str
) -> Result[OperationResult, Failure]:
    """Returns a program's status.

    Args:
        program: The program.
        waiting: Calls in flight and what each waits for.
        history_of: Branch whose history is included; empty for none.

    Returns:
        The status; NOT_FOUND if the branch does not exist.
    """
    history: tuple[HistoryItem, ...] = ()
    if history_of:
        branch = program.branch_by_id.get(history_of)
        if branch is None:
            return Failed(Failure(ErrorKind.NOT_FOUND, history_of))
        history = tuple(history_item(entry) for entry in branch.entries)
    state = program.end_reason.value if program.end_reason else "running"
    return Success(
        ProgramView(
            program_id=program.program_id,
            kind=program.kind.name,
            state=state,
            branches=tuple(program.branch_by_id),
            tokens_spent=program.spending.tokens,
            calls_spent=program.spending.calls,
            turns_spent=program.spending.turns,
            waiting_for=waiting,
            history=history,
        )
    )
