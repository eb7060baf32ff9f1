"""Runs service calls; unrepeatable calls are sent at most once.

An intent is committed before an unrepeatable call is sent. An intent without
an outcome therefore means that the call may have been sent, and it is never
sent again.
"""

import asyncio
import time

from returns.result import Failure as Failed
from returns.result import Result, Success

from masticdale_common import ErrorKind, Executed, Failure, hashing
from masticdale_programs import budgets, views
from masticdale_programs.budgets import Reservation
from masticdale_programs.executors import ServiceCall
from masticdale_programs.operations import CallService
from masticdale_programs.records import (
    CallFinished,
    IntentRecorded,
    OutcomeStatus,
)
from masticdale_programs.state import Branch, Program
from masticdale_programs.streams import AnswerStream
from masticdale_programs.turns import check_sequence, commit_finished
from masticdale_programs.types import CallResult, OwnedShard, RequestKey


async def run_call(
    shard: OwnedShard,
    program: Program,
    branch: Branch,
    operation: CallService,
    stream: AnswerStream,
    deadline: float,
) -> CallResult:
    """Runs one service call after its predecessor and commits its outcome.

    Args:
        shard: Shard that owns the program.
        program: The program.
        branch: The branch.
        operation: The caller's request.
        stream: Records what the call waits for.
        deadline: Monotonic time, in seconds, until which the caller waits.

    Returns:
        The committed outcome. An error kind which tells that the call was not
        executed guarantees that nothing was sent or that the service rejected
        the call.
    """
    kind = shard.kind_of(program)
    if operation.operation not in kind.operations:
        detail = f"operation {operation.operation!r} is not declared"
        return Failed(Failure(ErrorKind.BAD_REQUEST, detail))
    lock = shard.branch_lock(program, branch)
    acquired = await budgets.acquire_lock(lock, deadline)
    if isinstance(acquired, Failed):
        return acquired
    reservation = Reservation(calls=1)
    try:
        rejection = check_sequence(branch, operation)
        if rejection is not None:
            return rejection
        reserved = await budgets.reserve(
            program, kind.budget, reservation, deadline
        )
        if isinstance(reserved, Failed):
            return reserved
        try:
            call = _service_call(shard, program, operation, deadline)
            if shard.executor.is_repeatable(
                program.workspace, operation.operation
            ):
                return await _run_repeatable(shard, operation, stream, call)
            return await _run_once(shard, program, operation, stream, call)
        finally:
            budgets.release_reservation(program, reservation)
    finally:
        lock.release()


async def _run_once(
    shard: OwnedShard,
    program: Program,
    operation: CallService,
    stream: AnswerStream,
    call: ServiceCall,
) -> CallResult:
    intent = IntentRecorded(
        program.program_id,
        operation.branch_id,
        operation.request_id,
        stream.content_digest,
        operation.operation,
        operation.payload,
    )
    # The task must not be cancelled from here on: the outcome of a call that
    # may have been sent has to be committed.
    stream.cancellable = False
    stream.set_wait_reason("commit of the intent")
    committed = await _commit_intent(shard, program, intent)
    if isinstance(committed, Failed):
        return committed
    stream.set_wait_reason(f"answer of {operation.operation}")
    outcome = await shard.executor.call_service(call)
    return await _commit_outcome(shard, intent, outcome, stream, call.deadline)


async def _run_repeatable(
    shard: OwnedShard,
    operation: CallService,
    stream: AnswerStream,
    call: ServiceCall,
) -> CallResult:
    stream.set_wait_reason(f"answer of {operation.operation}")
    outcome = await shard.executor.call_service(call)
    if isinstance(outcome, Failed):
        return outcome
    record = CallFinished(
        call.program_id,
        operation.branch_id,
        operation.request_id,
        stream.content_digest,
        operation.operation,
        operation.payload,
        OutcomeStatus.DONE,
        outcome.unwrap(),
    )
    committed = await commit_finished(shard, record, stream, call.deadline)
    if isinstance(committed, Failed):
        return committed
    return views.outcome_of(record)


async def _commit_intent(
    shard: OwnedShard, program: Program, intent: IntentRecorded
) -> Result[None, Failure]:
    """Commits an intent, or rejects the call and voids the intent.

    With copies configured, the commit fails once a write to the platform has
    failed, and waits while the platform is only slow; without, it always waits.
    If it is still pending after ``commit_wait_s``, or may have been written,
    the caller is told that the call was not executed. The intent may still be
    committed, so a later record voids it.
    """
    commit = asyncio.ensure_future(shard.commit([intent], needs_platform=True))
    wait_s = shard.settings.commit_wait_s
    done, _ = await asyncio.wait([commit], timeout=wait_s)
    if done and not _may_be_written(commit.result()):
        return commit.result()
    key = RequestKey(intent.program_id, intent.request_id)
    shard.voiding_intents.add(key)
    # The intent may still be committed and charged until it is voided.
    budgets.reserve_unchecked(program, Reservation(calls=1))
    shard.spawn(_void_intent(shard, program, intent, commit, key))
    return Failed(Failure(ErrorKind.PLATFORM_UNAVAILABLE))


def _may_be_written(committed: Result[None, Failure]) -> bool:
    if isinstance(committed, Success):
        return False
    return committed.failure().kind is ErrorKind.WRITE_UNKNOWN


async def _void_intent(
    shard: OwnedShard,
    program: Program,
    intent: IntentRecorded,
    commit: asyncio.Future[Result[None, Failure]],
    key: RequestKey,
) -> None:
    committed = await commit
    if isinstance(committed, Success) or _may_be_written(committed):
        await shard.commit([_call_record(intent, OutcomeStatus.NOT_RUN, "")])
    shard.voiding_intents.discard(key)
    budgets.release_reservation(program, Reservation(calls=1))


async def _commit_outcome(
    shard: OwnedShard,
    intent: IntentRecorded,
    outcome: Result[str, Failure],
    stream: AnswerStream,
    deadline: float,
) -> CallResult:
    if isinstance(outcome, Success):
        record = _call_record(intent, OutcomeStatus.DONE, outcome.unwrap())
        committed = await commit_finished(shard, record, stream, deadline)
        if isinstance(committed, Failed):
            return _outcome_unknown(intent)
        return views.outcome_of(record)
    failure = outcome.failure()
    if failure.response.ran is Executed.NO:
        record = _call_record(intent, OutcomeStatus.NOT_RUN, "")
        await commit_finished(shard, record, stream, deadline)
        # "Not run" holds even if the commit failed: the next owner resolves
        # the intent as unknown and never sends it.
        return Failed(failure)
    return await _look_up_outcome(shard, intent, stream)


async def resolve_intent(
    shard: OwnedShard,
    program: Program,
    intent: IntentRecorded,
    stream: AnswerStream,
) -> CallResult:
    """Resolves an intent whose outcome an earlier owner did not record.

    The call is never sent again: the earlier owner may have sent it before it
    failed, and the service may not deduplicate requests.
    """
    lock = shard.branch_lock(program, program.branch_by_id[intent.branch_id])
    async with lock:
        return await _look_up_outcome(shard, intent, stream)


async def retry_lookup(
    shard: OwnedShard, entry: CallFinished, stream: AnswerStream
) -> CallResult:
    """Looks up an unknown outcome again when the caller retries."""
    intent = IntentRecorded(
        entry.program_id,
        entry.branch_id,
        entry.request_id,
        entry.content_digest,
        entry.operation,
        entry.payload,
    )
    return await _look_up_outcome(shard, intent, stream)


async def _look_up_outcome(
    shard: OwnedShard, intent: IntentRecorded, stream: AnswerStream
) -> CallResult:
    found = await shard.executor.look_up(_lookup_call(shard, intent))
    status = OutcomeStatus.UNKNOWN
    result = ""
    if isinstance(found, Success):
        looked_up = found.unwrap()
        if looked_up is not None:
            status = OutcomeStatus.DONE
            result = looked_up
    if status is OutcomeStatus.UNKNOWN and not _is_intent_open(shard, intent):
        return _outcome_unknown(intent)
    if status is OutcomeStatus.UNKNOWN:
        # The caller is answered before the commit, which cannot change the
        # answer and may wait for the end of an outage.
        stream.finish(_outcome_unknown(intent))
    record = _call_record(intent, status, result)
    committed = await shard.commit([record])
    if isinstance(committed, Failed):
        return _outcome_unknown(intent)
    return views.outcome_of(record)


def _is_intent_open(shard: OwnedShard, intent: IntentRecorded) -> bool:
    program = shard.state.program_by_id.get(intent.program_id)
    if program is None:
        return False
    return intent.request_id in program.intent_by_request_id


def _call_record(
    intent: IntentRecorded, status: OutcomeStatus, result: str
) -> CallFinished:
    return CallFinished(
        intent.program_id,
        intent.branch_id,
        intent.request_id,
        intent.content_digest,
        intent.operation,
        intent.payload,
        status,
        result,
    )


def _outcome_unknown(intent: IntentRecorded) -> Failed[Failure]:
    detail = f"request id {intent.request_id!r}"
    return Failed(Failure(ErrorKind.OUTCOME_UNKNOWN, detail))


def idempotency_key(program_id: str, request_id: str) -> str:
    """Returns the idempotency key that a service receives for a request."""
    return hashing.digest("call", program_id, request_id)


def _service_call(
    shard: OwnedShard, program: Program, operation: CallService, deadline: float
) -> ServiceCall:
    return ServiceCall(
        workspace=program.workspace,
        program_id=program.program_id,
        request_id=operation.request_id,
        key=idempotency_key(program.program_id, operation.request_id),
        operation=operation.operation,
        payload=operation.payload,
        fencing=shard.epoch,
        priority=shard.kind_of(program).priority,
        deadline=deadline,
    )


def _lookup_call(shard: OwnedShard, intent: IntentRecorded) -> ServiceCall:
    program = shard.state.program_by_id[intent.program_id]
    operation = CallService(
        intent.program_id,
        intent.branch_id,
        intent.request_id,
        intent.operation,
        intent.payload,
    )
    return _service_call(shard, program, operation, time.monotonic())
