"""The entry role: takes callers' operations to the programs' owners."""

import asyncio
import dataclasses
import time
from collections.abc import AsyncIterator

from returns.result import Failure as Failed
from returns.result import Result, Success

from masticdale_common import ErrorKind, Failure, Metrics, hashing
from masticdale_peers import ReadReply, ReadRequest, Submission
from masticdale_programs import (
    CallService,
    Operation,
    OperationResult,
    Outcome,
    RequestKey,
    SendTurn,
    decode_outcome,
    decode_result,
    encode_operation,
)
from masticdaled.cluster import FAILOVER_KINDS, Cluster

_INITIAL_RETRY_DELAY_S = 0.02
_MAX_RETRY_DELAY_S = 0.5
_SUBMIT_TIMEOUT_S = 2.5
_READ_WAIT_MS = 1000
_RETRYABLE_KINDS = FAILOVER_KINDS | {
    ErrorKind.CONFLICT,
    ErrorKind.WRITE_UNKNOWN,
}


@dataclasses.dataclass(frozen=True, slots=True)
class OperationRequest:
    """One caller's operation at its entry host.

    Attributes:
        operation: What is asked.
        workspace: Workspace of the caller's key.
        deadline: Monotonic seconds after which nobody waits.
    """

    operation: Operation
    workspace: str
    deadline: float


@dataclasses.dataclass(frozen=True, slots=True)
class TextDelta:
    """New text for the caller.

    Attributes:
        restart: The text before is void: another replica began anew.
        text: New characters.
    """

    restart: bool
    text: str


@dataclasses.dataclass(frozen=True, slots=True)
class FinalOutcome:
    """A call's final outcome."""

    outcome: Result[Outcome, Failure]


@dataclasses.dataclass(slots=True)
class _ReadState:
    """How much of an answer the caller has."""

    attempt: int = 0
    text: str = ""


class OperationForwarder:
    """Forwards operations; asks again under the same request id on trouble."""

    def __init__(self, cluster: Cluster, metrics: Metrics) -> None:
        self._cluster = cluster
        self._metrics = metrics
        self._owner_hint_by_shard: dict[int, str] = {}

    async def submit(
        self, request: OperationRequest
    ) -> Result[OperationResult, Failure]:
        """Takes an operation to its owner, wherever the owner has moved.

        Every operation is idempotent by its ids, so an answer that was lost
        on the way is asked for again.
        """
        shard = hashing.shard_of(request.operation.program_id)
        delay_s = _INITIAL_RETRY_DELAY_S
        while True:
            outcome = await self._submit_once(request, shard)
            if isinstance(outcome, Success):
                return outcome
            failure = outcome.failure()
            if failure.kind not in _RETRYABLE_KINDS:
                return outcome
            if time.monotonic() + delay_s > request.deadline:
                return Failed(_owner_unavailable(failure))
            if failure.host:
                self._owner_hint_by_shard[shard] = failure.host
                self._metrics.count("entry_redirects_total")
            else:
                self._owner_hint_by_shard.pop(shard, None)
            await asyncio.sleep(delay_s)
            delay_s = min(delay_s * 2, _MAX_RETRY_DELAY_S)

    async def follow(
        self, request: OperationRequest
    ) -> AsyncIterator[TextDelta | FinalOutcome]:
        """Yields an accepted call's text as it comes, then its outcome.

        Args:
            request: The accepted call; submitted again where its owner died.
        """
        operation = request.operation
        assert isinstance(operation, SendTurn | CallService)
        key = RequestKey(operation.program_id, operation.request_id)
        state = _ReadState()
        while True:
            if time.monotonic() > request.deadline:
                yield FinalOutcome(Failed(Failure(ErrorKind.TIMED_OUT)))
                return
            reply = await self._read_once(request, key, state)
            if reply.refused:
                outcome = await self.submit(request)
                if isinstance(outcome, Failed):
                    yield FinalOutcome(Failed(outcome.failure()))
                    return
                continue
            delta = _next_delta(reply, state)
            if delta.text or delta.restart:
                yield delta
            if not reply.done:
                continue
            if _is_retryable(reply):
                # The owner was deposed while the call ran: the next one has
                # no outcome of it and runs it again.
                outcome = await self.submit(request)
                if isinstance(outcome, Failed):
                    yield FinalOutcome(Failed(outcome.failure()))
                    return
                continue
            yield FinalOutcome(_decode_outcome(reply))
            return

    async def _submit_once(
        self, request: OperationRequest, shard: int
    ) -> Result[OperationResult, Failure]:
        host = self._owner_of(shard)
        remaining_ms = int((request.deadline - time.monotonic()) * 1000)
        submission = Submission(
            encode_operation(request.operation),
            request.workspace,
            remaining_ms,
            self._cluster.host,
        )
        calls = self._cluster.calls(host)
        outcome = await calls.submit(submission, _SUBMIT_TIMEOUT_S)
        if isinstance(outcome, Failed):
            self._owner_hint_by_shard.pop(shard, None)
            return Failed(outcome.failure())
        reply = outcome.unwrap()
        if reply.failure is not None:
            return Failed(reply.failure)
        return Success(decode_result(reply.result))

    async def _read_once(
        self, request: OperationRequest, key: RequestKey, state: _ReadState
    ) -> ReadReply:
        shard = hashing.shard_of(key.program_id)
        remaining_ms = max(0, int((request.deadline - time.monotonic()) * 1000))
        message = ReadRequest(
            key.program_id,
            key.request_id,
            len(state.text),
            min(_READ_WAIT_MS, remaining_ms),
            state.attempt,
            request.workspace,
        )
        calls = self._cluster.calls(self._owner_of(shard))
        outcome = await calls.read(message)
        if isinstance(outcome, Failed):
            self._owner_hint_by_shard.pop(shard, None)
            return ReadReply(failure=outcome.failure(), refused=True)
        return outcome.unwrap()

    def _owner_of(self, shard: int) -> str:
        hint = self._owner_hint_by_shard.get(shard)
        if hint is not None and hint in self._cluster.membership.live_names():
            return hint
        return self._cluster.owner_of_shard(shard)


def _next_delta(reply: ReadReply, state: _ReadState) -> TextDelta:
    """Returns what the caller lacks and notes that it has it."""
    if reply.attempt == state.attempt and reply.offset == len(state.text):
        state.text += reply.text
        return TextDelta(False, reply.text)
    # Another attempt, or the committed answer, whole: where it goes on from
    # what the caller has, nothing is void.
    received = state.text
    state.attempt = reply.attempt
    state.text = reply.text
    if reply.text.startswith(received):
        return TextDelta(False, reply.text[len(received) :])
    return TextDelta(True, reply.text)


def _is_retryable(reply: ReadReply) -> bool:
    return reply.failure is not None and reply.failure.kind in _RETRYABLE_KINDS


def _decode_outcome(reply: ReadReply) -> Result[Outcome, Failure]:
    if reply.failure is not None:
        return Failed(reply.failure)
    return Success(decode_outcome(reply.result))


def _owner_unavailable(failure: Failure) -> Failure:
    """Returns what a caller is told who waited in vain for the owner.

    An owner that died may have accepted the call, so nothing may say that it
    was not run.
    """
    detail = f"{failure.kind.value} {failure.detail}"
    return Failure(ErrorKind.PEER_UNAVAILABLE, detail)
