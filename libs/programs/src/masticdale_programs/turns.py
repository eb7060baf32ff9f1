"""Runs model turns: lock, budget reservation, execution and commit."""

import asyncio
import time

from returns.result import Failure as Failed
from returns.result import Result, Success

from masticdale_common import ErrorKind, Executed, Failure, hashing
from masticdale_programs import budgets, views
from masticdale_programs.budgets import Reservation
from masticdale_programs.executors import ModelCall, ModelResult
from masticdale_programs.operations import CallService, SendTurn
from masticdale_programs.records import (
    CallFinished,
    ProgramKind,
    TurnFinished,
)
from masticdale_programs.state import Branch, Program
from masticdale_programs.streams import AnswerStream
from masticdale_programs.types import CallResult, OwnedShard


def check_sequence(
    branch: Branch, operation: SendTurn | CallService
) -> Failed[Failure] | None:
    """Rejects a call whose sequence number is not the next of its branch.

    Otherwise a call whose predecessor failed would run on a history without
    the step that the caller relies on.
    """
    if operation.sequence in (None, branch.finished_count):
        return None
    detail = f"sequence {operation.sequence}, next is {branch.finished_count}."
    return Failed(Failure(ErrorKind.OUT_OF_ORDER, detail))


async def run_turn(
    shard: OwnedShard,
    program: Program,
    branch: Branch,
    operation: SendTurn,
    stream: AnswerStream,
    deadline: float,
) -> CallResult:
    """Runs one turn after its predecessor and commits it.

    Args:
        shard: Shard that owns the program.
        program: The program.
        branch: The branch.
        operation: The caller's request.
        stream: Receives the generated text.
        deadline: Monotonic time, in seconds, until which the caller waits.

    Returns:
        The committed answer, or the failure. The record may be in the journal
        after WRITE_UNKNOWN, or if the stream was finished with TIMED_OUT.
    """
    lock = shard.branch_lock(program, branch)
    acquired = await budgets.acquire_lock(lock, deadline)
    if isinstance(acquired, Failed):
        return acquired
    try:
        rejection = check_sequence(branch, operation)
        if rejection is not None:
            return rejection
        return await _reserve_and_run(
            shard, program, branch, operation, stream, deadline
        )
    finally:
        lock.release()


async def _reserve_and_run(
    shard: OwnedShard,
    program: Program,
    branch: Branch,
    operation: SendTurn,
    stream: AnswerStream,
    deadline: float,
) -> CallResult:
    kind = shard.kind_of(program)
    if operation.max_tokens < 0:
        detail = f"max_tokens is {operation.max_tokens}"
        return Failed(Failure(ErrorKind.BAD_REQUEST, detail))
    max_tokens = min(operation.max_tokens or kind.max_tokens, kind.max_tokens)
    message_tokens = budgets.count_tokens(operation.message)
    reservation = Reservation(
        tokens=message_tokens + max_tokens, calls=1, turns=1
    )
    stream.set_wait_reason("budget")
    reserved = await budgets.reserve(
        program, kind.budget, reservation, deadline
    )
    if isinstance(reserved, Failed):
        return reserved
    try:
        call = _model_call(
            program, branch, operation, kind, max_tokens, deadline
        )
        outcome = await shard.executor.run_model(call, stream)
        if isinstance(outcome, Failed):
            return outcome
        record = _turn_record(
            operation, program, stream, outcome.unwrap(), message_tokens
        )
        committed = await commit_finished(shard, record, stream, deadline)
        if isinstance(committed, Failed):
            return committed
        return views.outcome_of(record)
    finally:
        budgets.release_reservation(program, reservation)


async def commit_finished(
    shard: OwnedShard,
    record: TurnFinished | CallFinished,
    stream: AnswerStream,
    deadline: float,
) -> Result[None, Failure]:
    """Commits the record of a call that ran.

    After the deadline the caller gets TIMED_OUT, but this waits for the
    commit and the caller of this function keeps the branch locked. Otherwise
    a successor would run on a history without the call, and a retry of the
    request would run it again and enter it twice.

    Args:
        shard: Shard that owns the program.
        record: Result of the call.
        stream: Answers the caller when the deadline passes.
        deadline: Monotonic time, in seconds, until which the caller waits.

    Returns:
        The commit's outcome, never an error kind which tells that the call was
        not executed.
    """
    stream.cancellable = False
    stream.set_wait_reason("commit")
    commit = asyncio.ensure_future(shard.commit([record]))
    left_s = max(0.0, deadline - time.monotonic())
    done, _ = await asyncio.wait([commit], timeout=left_s)
    if not done:
        stream.finish(Failed(Failure(ErrorKind.TIMED_OUT)))
    committed = await commit
    if isinstance(committed, Success):
        return committed
    failure = committed.failure()
    if failure.response.ran is not Executed.NO:
        return committed
    if failure.kind is ErrorKind.TOO_LARGE:
        return Failed(Failure(ErrorKind.UPSTREAM_FAILED, "answer too large"))
    return Failed(Failure(ErrorKind.WRITE_UNKNOWN, failure.detail))


def _model_call(
    program: Program,
    branch: Branch,
    operation: SendTurn,
    kind: ProgramKind,
    max_tokens: int,
    deadline: float,
) -> ModelCall:
    prompt = (
        kind.system_prompt,
        *(part for entry in branch.entries for part in _prompt_parts(entry)),
        operation.message,
    )
    return ModelCall(
        workspace=program.workspace,
        program_id=program.program_id,
        branch_id=branch.branch_id,
        request_id=operation.request_id,
        model=kind.model,
        prompt=prompt,
        content_digest=hashing.digest(kind.model, *prompt),
        max_tokens=max_tokens,
        priority=kind.priority,
        attained_s=program.attained_ms / 1000,
        replica=branch.replica,
        deadline=deadline,
        kind=kind.name,
        template_digest=hashing.digest(kind.system_prompt),
        parent_id=branch.parent_id,
        parent_tokens=_inherited_tokens(branch),
    )


def _inherited_tokens(branch: Branch) -> int:
    inherited = branch.entries[: branch.inherited_count]
    return sum(
        budgets.count_tokens(part)
        for entry in inherited
        for part in _prompt_parts(entry)
    )


def _prompt_parts(entry: TurnFinished | CallFinished) -> tuple[str, str]:
    if isinstance(entry, TurnFinished):
        return (entry.message, entry.text)
    return (f"{entry.operation} {entry.payload}", entry.result)


def _turn_record(
    operation: SendTurn,
    program: Program,
    stream: AnswerStream,
    result: ModelResult,
    message_tokens: int,
) -> TurnFinished:
    return TurnFinished(
        program_id=program.program_id,
        branch_id=operation.branch_id,
        request_id=operation.request_id,
        content_digest=stream.content_digest,
        message=operation.message,
        text=result.text,
        replica=result.replica,
        prompt_tokens=result.prompt_tokens,
        cached_tokens=result.cached_tokens,
        generated_tokens=result.generated_tokens,
        charged_tokens=message_tokens + result.generated_tokens,
        service_ms=result.service_ms,
    )
