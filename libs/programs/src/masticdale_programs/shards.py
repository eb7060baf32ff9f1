"""A shard of programs at its owner: ordering, deduplication and answers."""

import asyncio
import dataclasses
import functools
import time
from collections.abc import Coroutine, Sequence
from typing import Any

from returns.result import Failure as Failed
from returns.result import Result, Success

from masticdale_common import ErrorKind, Failure, hashing
from masticdale_platform import ObjectStore
from masticdale_programs import calls, journal, takeovers, turns, views
from masticdale_programs.calls_in_flight import CallsInFlight
from masticdale_programs.copies import CopyHolders
from masticdale_programs.endings import ProgramTerminator, unix_time_ms
from masticdale_programs.executors import Executor
from masticdale_programs.operations import (
    Accepted,
    CallService,
    CreateProgram,
    EndProgram,
    GetProgram,
    OpenBranch,
    Operation,
    OperationResult,
    SendTurn,
)
from masticdale_programs.records import (
    BranchOpened,
    CallFinished,
    EndReason,
    OutcomeStatus,
    ProgramCreated,
    ProgramKind,
    Record,
    TurnFinished,
)
from masticdale_programs.state import (
    Branch,
    Program,
    ShardState,
    apply_record,
)
from masticdale_programs.streams import StreamPart
from masticdale_programs.types import (
    Caller,
    KindLookup,
    RequestKey,
    ShardSettings,
)


class Shard:
    """A shard that this host owns; created by ``open_shard``.

    Attributes:
        number: Number of the shard.
        executor: Runs calls at upstreams.
        settings: Timeouts and intervals.
        state: The shard's programs.
        voiding_intents: Requests reported as not executed whose intent may
            still be committed; a record that voids it follows.
    """

    def __init__(
        self,
        number: int,
        executor: Executor,
        find_kind: KindLookup,
        settings: ShardSettings,
    ) -> None:
        self.number = number
        self.executor = executor
        self.settings = settings
        self.state = ShardState()
        self.voiding_intents: set[RequestKey] = set()
        self._find_kind = find_kind
        self._journal: journal.Journal | None = None
        self._calls = CallsInFlight(
            settings, self.state, lambda: self.epoch, lambda: self.is_owned
        )
        self._terminator = ProgramTerminator(self, self._calls)
        self._holders_refreshed_at = time.monotonic()
        self._background: set[asyncio.Task[Any]] = set()

    @property
    def epoch(self) -> int:
        """The epoch under which this host owns the shard."""
        return self._require_journal().epoch

    @property
    def is_owned(self) -> bool:
        """Whether this host still owns the shard, as far as it knows."""
        return self._require_journal().is_owned

    @property
    def in_flight(self) -> int:
        """Number of calls without a final outcome in the journal.

        It includes calls that were refused as not run while their intent is
        not voided yet: the next owner would report them as unknown.
        """
        return len(self._calls) + len(self.voiding_intents)

    def attach(self, opened: journal.Journal) -> None:
        """Sets the journal and resolves intents without an outcome."""
        self._journal = opened
        self.spawn(opened.refresh_copy_holders())
        for program in self.state.program_by_id.values():
            program.last_call_ms = unix_time_ms()
            for intent in list(program.intent_by_request_id.values()):
                key = RequestKey(program.program_id, intent.request_id)
                self._resume_lookup(key, program)

    async def commit(
        self, records: Sequence[Record], needs_platform: bool = False
    ) -> Result[None, Failure]:
        """Commits records to the journal; see ``Journal.commit``."""
        return await self._require_journal().commit(records, needs_platform)

    def kind_of(self, program: Program) -> ProgramKind:
        """Returns the program's kind with its current budget and priority.

        Changes of budget and priority apply to running programs at once, so
        that operators can limit them. Prompt and model stay those of the
        program's creation: a change would not match its history and would
        invalidate cached prefixes.
        """
        current = self._find_kind(program.workspace, program.kind.name)
        if current is None:
            return program.kind
        return dataclasses.replace(
            program.kind, budget=current.budget, priority=current.priority
        )

    def branch_lock(self, program: Program, branch: Branch) -> asyncio.Lock:
        """Returns the lock that serializes a branch's calls, in FIFO order."""
        return branch.lock

    def find(self, program_id: str, workspace: str) -> Program | None:
        """Returns a program, or None if the workspace has no such program."""
        program = self.state.program_by_id.get(program_id)
        if program is None or program.workspace != workspace:
            return None
        return program

    async def submit(
        self, operation: Operation, caller: Caller
    ) -> Result[OperationResult, Failure]:
        """Runs one operation or accepts a call; idempotent by request id.

        Args:
            operation: The operation.
            caller: The caller.

        Returns:
            The result. Turns and service calls return ``Accepted``; their
            answers are read with ``read``.
        """
        if not self.is_owned:
            return Failed(Failure(ErrorKind.NOT_OWNER, f"shard {self.number}"))
        if isinstance(operation, CreateProgram):
            return await self._create(operation, caller)
        program = self.find(operation.program_id, caller.workspace)
        if program is None:
            return Failed(Failure(ErrorKind.NOT_FOUND, operation.program_id))
        return await self._submit(operation, program, caller)

    async def read(
        self,
        key: RequestKey,
        workspace: str,
        attempt: int,
        offset: int,
        wait_s: float,
    ) -> Result[StreamPart, Failure]:
        """Waits for the next part of a call's answer.

        Args:
            key: The call.
            workspace: Workspace of the reader.
            attempt: Attempt that the reader last received.
            offset: Number of characters of that attempt it has.
            wait_s: Longest wait in seconds.

        Returns:
            The next part, empty on timeout; NOT_FOUND if the call is unknown
            and must be submitted again.
        """
        program = self.find(key.program_id, workspace)
        if program is None:
            return Failed(Failure(ErrorKind.NOT_FOUND, key.program_id))
        stream = self._calls.stream(key)
        if stream is not None:
            return Success(await stream.read(attempt, offset, wait_s))
        entry = program.entry_by_request_id.get(key.request_id)
        if entry is None:
            return Failed(Failure(ErrorKind.NOT_FOUND, key.request_id))
        return Success(views.finished_part(entry))

    @functools.singledispatchmethod
    async def _submit(
        self, operation: Operation, program: Program, caller: Caller
    ) -> Result[OperationResult, Failure]:
        raise TypeError(f"unsupported operation {type(operation).__name__}")

    @_submit.register
    async def _(
        self, operation: GetProgram, program: Program, caller: Caller
    ) -> Result[OperationResult, Failure]:
        waiting = self.waiting_for(program)
        return views.program_view(program, waiting, operation.history_of)

    @_submit.register
    async def _(
        self, operation: OpenBranch, program: Program, caller: Caller
    ) -> Result[OperationResult, Failure]:
        if operation.branch_id in program.branch_by_id:
            return views.program_view(program, (), "")
        rejection = self._terminator.admission_failure(program)
        if rejection is not None:
            return rejection
        if operation.parent_id not in program.branch_by_id:
            return Failed(Failure(ErrorKind.NOT_FOUND, operation.parent_id))
        record = BranchOpened(
            program.program_id, operation.branch_id, operation.parent_id
        )
        outcome = await self.commit([record])
        if isinstance(outcome, Failed):
            return outcome
        return views.program_view(program, (), "")

    @_submit.register
    async def _(
        self, operation: EndProgram, program: Program, caller: Caller
    ) -> Result[OperationResult, Failure]:
        outcome = await self.end_program(program, operation.reason)
        if isinstance(outcome, Failed):
            return outcome
        return views.program_view(program, (), "")

    @_submit.register
    async def _(
        self, operation: SendTurn, program: Program, caller: Caller
    ) -> Result[OperationResult, Failure]:
        content_digest = hashing.digest(
            "turn", operation.branch_id, operation.message
        )
        return self._accept(operation, program, caller, content_digest)

    @_submit.register
    async def _(
        self, operation: CallService, program: Program, caller: Caller
    ) -> Result[OperationResult, Failure]:
        content_digest = hashing.digest(
            "call", operation.branch_id, operation.operation, operation.payload
        )
        return self._accept(operation, program, caller, content_digest)

    def _accept(
        self,
        operation: SendTurn | CallService,
        program: Program,
        caller: Caller,
        content_digest: str,
    ) -> Result[OperationResult, Failure]:
        key = RequestKey(program.program_id, operation.request_id)
        accepted = Accepted(operation.request_id, self.epoch)
        known = self._match_known_request(key, program, content_digest)
        if known is not None:
            return known.map(lambda _: accepted)
        if self._resume_lookup(key, program):
            return Success(accepted)
        rejection = self._terminator.admission_failure(program)
        if rejection is not None:
            return rejection
        journal_failure = self._require_journal().admission_failure()
        if journal_failure is not None:
            return Failed(journal_failure)
        branch = program.branch_by_id.get(operation.branch_id)
        if branch is None:
            return Failed(Failure(ErrorKind.NOT_FOUND, operation.branch_id))
        program.last_call_ms = unix_time_ms()
        stream = self._calls.new_stream(key, content_digest)
        if isinstance(operation, SendTurn):
            work = turns.run_turn(
                self, program, branch, operation, stream, caller.deadline
            )
        else:
            work = calls.run_call(
                self, program, branch, operation, stream, caller.deadline
            )
        self._calls.start(key, stream, work)
        return Success(accepted)

    def _match_known_request(
        self, key: RequestKey, program: Program, content_digest: str
    ) -> Result[None, Failure] | None:
        """Looks for an earlier submission of a request.

        Returns:
            Success if the caller may read the earlier call's answer,
            REQUEST_ID_REUSED if the content differs, PLATFORM_UNAVAILABLE
            while the earlier call's intent is being voided. None otherwise:
            the request is new, its earlier attempt failed, or its outcome is
            unknown.
        """
        stream = self._calls.stream(key)
        entry = program.entry_by_request_id.get(key.request_id)
        seen = (
            stream or entry or program.intent_by_request_id.get(key.request_id)
        )
        if seen is None:
            return None
        if seen.content_digest != content_digest:
            detail = f"request id {key.request_id!r}"
            return Failed(Failure(ErrorKind.REQUEST_ID_REUSED, detail))
        if key in self._calls:
            return Success(None)
        if key in self.voiding_intents:
            return Failed(Failure(ErrorKind.PLATFORM_UNAVAILABLE))
        if entry is None or _is_unknown(entry):
            return None
        return Success(None)

    def _resume_lookup(self, key: RequestKey, program: Program) -> bool:
        """Starts the lookup of an unresolved call, if the request has one.

        A call whose intent is committed may have been sent. Running it as a
        new request could send it twice.

        Returns:
            False if the request may run.
        """
        intent = program.intent_by_request_id.get(key.request_id)
        if intent is not None:
            stream = self._calls.new_stream(key, intent.content_digest)
            work = calls.resolve_intent(self, program, intent, stream)
            self._calls.start(key, stream, work)
            return True
        entry = program.entry_by_request_id.get(key.request_id)
        if not isinstance(entry, CallFinished):
            return False
        stream = self._calls.new_stream(key, entry.content_digest)
        self._calls.start(key, stream, calls.retry_lookup(self, entry, stream))
        return True

    async def _create(
        self, operation: CreateProgram, caller: Caller
    ) -> Result[OperationResult, Failure]:
        program = self.find(operation.program_id, caller.workspace)
        if program is None:
            record = ProgramCreated(
                operation.program_id,
                caller.workspace,
                operation.kind,
                unix_time_ms(),
            )
            outcome = await self.commit([record])
            if isinstance(outcome, Failed):
                return outcome
            program = self.find(operation.program_id, caller.workspace)
        if program is None:
            # The id belongs to a program of another workspace.
            return Failed(Failure(ErrorKind.NOT_FOUND, operation.program_id))
        if program.kind.name != operation.kind.name:
            detail = "the request id created a program of another kind"
            return Failed(Failure(ErrorKind.REQUEST_ID_REUSED, detail))
        return views.program_view(program, (), "")

    async def end_program(
        self, program: Program, reason: EndReason
    ) -> Result[None, Failure]:
        """Ends a program: cancels cancellable calls and waits for the rest.

        Args:
            program: The program; ending it again has no effect.
            reason: Recorded as the cause.
        """
        return await self._terminator.end(program, reason)

    async def release_memory(self, program: Program) -> None:
        """Frees the engine memory that replicas still hold for a program."""
        await self._terminator.release_memory(program)

    async def sweep(self) -> None:
        """Runs the maintenance. Call it periodically.

        Evicts answers, cancels unread calls, ends and removes programs, and
        checks the copy holders and the platform.
        """
        now = time.monotonic()
        self._calls.evict_expired(now, self.voiding_intents)
        if (
            now - self._holders_refreshed_at
            > self.settings.copy_check_interval_s
        ):
            self._holders_refreshed_at = now
            self.spawn(self._require_journal().refresh_copy_holders())
        self.spawn(self._require_journal().probe_platform())
        busy_ids = self._calls.busy_programs()
        busy_ids.update(key.program_id for key in self.voiding_intents)
        for program in list(self.state.program_by_id.values()):
            self._terminator.sweep(program, program.program_id in busy_ids)

    async def check_ownership(self) -> Result[None, Failure]:
        """Checks in the store whether this host still owns the shard.

        Call it after the process was paused: another host may have taken the
        shard over in the meantime.
        """
        return await self._require_journal().check_ownership()

    def waiting_for(self, program: Program) -> tuple[str, ...]:
        """Returns a program's calls in flight and what each waits for."""
        return self._calls.waiting_for(program.program_id)

    def describe(self) -> dict[str, Any]:
        """Returns the shard's state for a diagnostic dump."""
        return {
            "epoch": self.epoch,
            "held": self.is_owned,
            "copied_bytes": self._require_journal().backlog_bytes,
            "programs": len(self.state.program_by_id),
            "in_flight": self.in_flight,
        }

    async def hand_off(self) -> Result[None, Failure]:
        """Hands the shard off; call it once no calls are in flight."""
        return await self._require_journal().release()

    async def close(self) -> None:
        """Stops every task without handing the shard off."""
        await self._calls.close()
        tasks = list(self._background)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        await self._require_journal().close()

    def _require_journal(self) -> journal.Journal:
        if self._journal is None:
            raise RuntimeError("shard has no journal; call attach() first")
        return self._journal

    def spawn(self, work: Coroutine[Any, Any, Any]) -> None:
        """Runs work in the background until the shard closes."""
        task = asyncio.create_task(work)
        self._background.add(task)
        task.add_done_callback(self._background.discard)


async def open_shard(
    store: ObjectStore,
    number: int,
    host: str,
    writer: str,
    executor: Executor,
    find_kind: KindLookup,
    settings: ShardSettings,
    copies: CopyHolders | None = None,
    forced: bool = False,
) -> Result[Shard, Failure]:
    """Takes a shard over and rebuilds its programs from the journal.

    Args:
        store: The platform's object store.
        number: Number of the shard.
        host: Name of this host.
        writer: Incarnation of this process.
        executor: Runs calls at upstreams.
        find_kind: Returns the current program kind by workspace and name.
        settings: Timeouts and intervals.
        copies: Hosts that keep copies during an outage of the platform; if
            None, commits wait for the end of the outage.
        forced: Takes the shard over even if no copy holder returns its
            copies; the possible loss is logged.

    Returns:
        The shard; CONFLICT if another host took it first; PEER_UNAVAILABLE
        if no copy holder returned its copies.
    """
    shard = Shard(number, executor, find_kind, settings)
    opened = await takeovers.open_journal(
        store,
        number,
        host,
        writer,
        lambda record: apply_record(record, shard.state),
        copies,
        forced,
    )
    if isinstance(opened, Failed):
        return opened
    shard.attach(opened.unwrap())
    return Success(shard)


def _is_unknown(entry: TurnFinished | CallFinished) -> bool:
    if isinstance(entry, TurnFinished):
        return False
    return entry.status is OutcomeStatus.UNKNOWN
