"""Forwards callers' operations to the hosts that own their programs."""

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
    ErrorKind.STOPPING,
    ErrorKind.WRITE_UNKNOWN,
}


@dataclasses.dataclass(frozen=True, slots=True)
class OperationRequest:
    """A caller's operation at the host that received it.

    Attributes:
        operation: The operation to run.
        workspace: Workspace of the caller's key.
        deadline: Time of the monotonic clock, in seconds, at which the caller
            stops waiting.
    """

    operation: Operation
    workspace: str
    deadline: float


@dataclasses.dataclass(frozen=True, slots=True)
class TextDelta:
    """Text to append to the caller's answer.

    Attributes:
        restart: Whether to discard the text sent so far, because another
            replica generates the answer from its start.
        text: The text to append.
    """

    restart: bool
    text: str


@dataclasses.dataclass(frozen=True, slots=True)
class FinalOutcome:
    """The end of an answer: the call's outcome."""

    outcome: Result[Outcome, Failure]


@dataclasses.dataclass(slots=True)
class _ReadState:
    """The attempt and the text that the caller has received."""

    attempt: int = 0
    text: str = ""


class OperationForwarder:
    """Forwards operations to their owners and retries under the same id."""

    def __init__(self, cluster: Cluster, metrics: Metrics) -> None:
        self._cluster = cluster
        self._metrics = metrics
        self._owner_hint_by_shard: dict[int, str] = {}

    async def submit(
        self, request: OperationRequest
    ) -> Result[OperationResult, Failure]:
        """Submits an operation to its program's owner.

        Retries transient failures with exponential backoff until the deadline.
        Retries are safe, as every operation is idempotent by its ids.
        """
        shard = hashing.shard_of(request.operation.program_id)
        delay_s = _INITIAL_RETRY_DELAY_S
        while True:
            host = self._owner_of(shard)
            outcome = await self._submit_once(request, shard, host)
            if isinstance(outcome, Success):
                return outcome
            failure = outcome.failure()
            if failure.kind not in _RETRYABLE_KINDS:
                return outcome
            is_stopping = failure.kind is ErrorKind.STOPPING
            if is_stopping and host == self._cluster.host:
                # This process ends before another host takes the program
                # over, and the caller would get no answer.
                return Failed(_owner_unavailable(failure))
            if time.monotonic() + delay_s > request.deadline:
                return Failed(_owner_unavailable(failure))
            if failure.host:
                self._owner_hint_by_shard[shard] = failure.host
                self._metrics.count("entry_redirects_total")
            else:
                self._owner_hint_by_shard.pop(shard, None)
            await asyncio.sleep(delay_s)
            delay_s = min(delay_s * 2, _MAX_RETRY_DELAY_S)

    async def stream_answer(
        self, request: OperationRequest
    ) -> AsyncIterator[TextDelta | FinalOutcome]:
        """Streams an accepted call's text, then its outcome.

        Args:
            request: The accepted call; submitted again after a failover of
                its owner.
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
                # The owner lost the shard while the call ran. The new owner
                # has no outcome of the call and runs it again.
                outcome = await self.submit(request)
                if isinstance(outcome, Failed):
                    yield FinalOutcome(Failed(outcome.failure()))
                    return
                continue
            yield FinalOutcome(_final_outcome(reply))
            return

    async def _submit_once(
        self, request: OperationRequest, shard: int, host: str
    ) -> Result[OperationResult, Failure]:
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
    """Returns the text that the caller lacks and records it as received."""
    if reply.attempt == state.attempt and reply.offset == len(state.text):
        state.text += reply.text
        return TextDelta(False, reply.text)
    # The reply holds another attempt or the committed answer, from its start.
    # If it begins with the received text, only the remainder is sent.
    received = state.text
    state.attempt = reply.attempt
    state.text = reply.text
    if reply.text.startswith(received):
        return TextDelta(False, reply.text[len(received) :])
    return TextDelta(True, reply.text)


def _is_retryable(reply: ReadReply) -> bool:
    return reply.failure is not None and reply.failure.kind in _RETRYABLE_KINDS


def _final_outcome(reply: ReadReply) -> Result[Outcome, Failure]:
    if reply.failure is not None:
        return Failed(reply.failure)
    return Success(decode_outcome(reply.result))


def _owner_unavailable(failure: Failure) -> Failure:
    """Returns the failure for a caller whose request is not retried further.

    A failed owner may have accepted the call, so the failure must not say
    that the call did not run.
    """
    detail = f"{failure.kind.value} {failure.detail}"
    return Failure(ErrorKind.PEER_UNAVAILABLE, detail)
