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

_RETRY_FIRST_S = 0.02
_RETRY_MOST_S = 0.5
_SUBMIT_TIMEOUT_S = 2.5
_READ_WAIT_MS = 1000
_MOVING_KINDS = FAILOVER_KINDS | {ErrorKind.CONFLICT, ErrorKind.WRITE_UNKNOWN}


@dataclasses.dataclass(frozen=True, slots=True)
class Request:
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
class TextPart:
    """New text for the caller.

    Attributes:
        restart: The text before is void: another replica began anew.
        text: New characters.
    """

    restart: bool
    text: str


@dataclasses.dataclass(frozen=True, slots=True)
class Final:
    """A call's final outcome."""

    outcome: Result[Outcome, Failure]


@dataclasses.dataclass(slots=True)
class _Reader:
    """How much of an answer the caller has."""

    attempt: int = 0
    text: str = ""


class Entry:
    """Forwards operations; asks again under the same request id on trouble."""

    def __init__(self, cluster: Cluster, metrics: Metrics) -> None:
        self._cluster = cluster
        self._metrics = metrics
        self._hint_by_shard: dict[int, str] = {}

    async def submit(
        self, request: Request
    ) -> Result[OperationResult, Failure]:
        """Takes an operation to its owner, wherever the owner has moved.

        Every operation is idempotent by its ids, so an answer that was lost
        on the way is asked for again.
        """
        shard = hashing.shard_of(request.operation.program_id)
        delay_s = _RETRY_FIRST_S
        while True:
            outcome = await self._submit_once(request, shard)
            if isinstance(outcome, Success):
                return outcome
            failure = outcome.failure()
            if failure.kind not in _MOVING_KINDS:
                return outcome
            if time.monotonic() + delay_s > request.deadline:
                return Failed(_unanswered(failure))
            if failure.host:
                self._hint_by_shard[shard] = failure.host
                self._metrics.count("entry_redirects_total")
            else:
                self._hint_by_shard.pop(shard, None)
            await asyncio.sleep(delay_s)
            delay_s = min(delay_s * 2, _RETRY_MOST_S)

    async def follow(self, request: Request) -> AsyncIterator[TextPart | Final]:
        """Yields an accepted call's text as it comes, then its outcome.

        Args:
            request: The accepted call; submitted again where its owner died.
        """
        operation = request.operation
        assert isinstance(operation, SendTurn | CallService)
        key = RequestKey(operation.program_id, operation.request_id)
        reader = _Reader()
        while True:
            if time.monotonic() > request.deadline:
                yield Final(Failed(Failure(ErrorKind.TIMED_OUT)))
                return
            reply = await self._read(request, key, reader)
            if reply.refused:
                outcome = await self.submit(request)
                if isinstance(outcome, Failed):
                    yield Final(Failed(outcome.failure()))
                    return
                continue
            part = _new_text(reply, reader)
            if part.text or part.restart:
                yield part
            if not reply.done:
                continue
            if _is_moving(reply):
                # The owner was deposed while the call ran: the next one has
                # no outcome of it and runs it again.
                outcome = await self.submit(request)
                if isinstance(outcome, Failed):
                    yield Final(Failed(outcome.failure()))
                    return
                continue
            yield Final(_final(reply))
            return

    async def _submit_once(
        self, request: Request, shard: int
    ) -> Result[OperationResult, Failure]:
        host = self._holder(shard)
        left_ms = int((request.deadline - time.monotonic()) * 1000)
        submission = Submission(
            encode_operation(request.operation),
            request.workspace,
            left_ms,
            self._cluster.host,
        )
        calls = self._cluster.calls(host)
        outcome = await calls.submit(submission, _SUBMIT_TIMEOUT_S)
        if isinstance(outcome, Failed):
            self._hint_by_shard.pop(shard, None)
            return Failed(outcome.failure())
        reply = outcome.unwrap()
        if reply.failure is not None:
            return Failed(reply.failure)
        return Success(decode_result(reply.result))

    async def _read(
        self, request: Request, key: RequestKey, reader: _Reader
    ) -> ReadReply:
        shard = hashing.shard_of(key.program_id)
        left_ms = max(0, int((request.deadline - time.monotonic()) * 1000))
        message = ReadRequest(
            key.program_id,
            key.request_id,
            len(reader.text),
            min(_READ_WAIT_MS, left_ms),
            reader.attempt,
            request.workspace,
        )
        calls = self._cluster.calls(self._holder(shard))
        outcome = await calls.read(message)
        if isinstance(outcome, Failed):
            self._hint_by_shard.pop(shard, None)
            return ReadReply(failure=outcome.failure(), refused=True)
        return outcome.unwrap()

    def _holder(self, shard: int) -> str:
        hint = self._hint_by_shard.get(shard)
        if hint is not None and hint in self._cluster.membership.live_names():
            return hint
        return self._cluster.owner_of_shard(shard)


def _new_text(reply: ReadReply, reader: _Reader) -> TextPart:
    """Returns what the caller lacks and notes that it has it."""
    if reply.attempt == reader.attempt and reply.offset == len(reader.text):
        reader.text += reply.text
        return TextPart(False, reply.text)
    # Another attempt, or the committed answer, whole: where it goes on from
    # what the caller has, nothing is void.
    known = reader.text
    reader.attempt = reply.attempt
    reader.text = reply.text
    if reply.text.startswith(known):
        return TextPart(False, reply.text[len(known) :])
    return TextPart(True, reply.text)


def _is_moving(reply: ReadReply) -> bool:
    return reply.failure is not None and reply.failure.kind in _MOVING_KINDS


def _final(reply: ReadReply) -> Result[Outcome, Failure]:
    if reply.failure is not None:
        return Failed(reply.failure)
    return Success(decode_outcome(reply.result))


def _unanswered(failure: Failure) -> Failure:
    """Returns what a caller is told who waited in vain for the owner.

    An owner that died may have accepted the call, so nothing may say that it
    was not run.
    """
    detail = f"{failure.kind.value} {failure.detail}"
    return Failure(ErrorKind.PEER_UNAVAILABLE, detail)
