"""A program shard at its owner: order, deduplication, answers in flight."""

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
    """One shard that this host owns; made by ``open_shard``."""

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
        """The epoch this host owns the shard under."""
        return self._require_journal().epoch

    @property
    def is_owned(self) -> bool:
        """False once another host took the shard over."""
        return self._require_journal().is_owned

    @property
    def in_flight(self) -> int:
        """Number of calls that have no final outcome yet."""
        return len(self._calls)

    def attach(self, opened: journal.Journal) -> None:
        """Sets the journal and resumes what its records left open."""
        self._journal = opened
        self.spawn(opened.refresh_copy_holders())
        for program in self.state.program_by_id.values():
            program.last_call_ms = unix_time_ms()
            for intent in list(program.intent_by_request_id.values()):
                key = RequestKey(program.program_id, intent.request_id)
                self._resume_call(key, program)

    async def commit(
        self, records: Sequence[Record], needs_platform: bool = False
    ) -> Result[None, Failure]:
        """Commits records to the journal; see ``Journal.commit``."""
        return await self._require_journal().commit(records, needs_platform)

    def kind_of(self, program: Program) -> ProgramKind:
        """Returns the program's kind with budget and priority in force.

        The template body stays the one the program began with, because a
        changed prompt or model would break its prefix and its history; what
        operators use to rein a program in takes hold at once.
        """
        current = self._find_kind(program.workspace, program.kind.name)
        if current is None:
            return program.kind
        return dataclasses.replace(
            program.kind, budget=current.budget, priority=current.priority
        )

    def branch_lock(self, program: Program, branch: Branch) -> asyncio.Lock:
        """Returns the lock that its calls take in the order of arrival."""
        return branch.lock

    def find(self, program_id: str, workspace: str) -> Program | None:
        """Returns a program of a workspace; another's does not exist."""
        program = self.state.program_by_id.get(program_id)
        if program is None or program.workspace != workspace:
            return None
        return program

    async def submit(
        self, operation: Operation, caller: Caller
    ) -> Result[OperationResult, Failure]:
        """Runs or accepts one operation; safe to send again.

        Args:
            operation: What the caller asks.
            caller: On whose behalf.

        Returns:
            The result; calls are ``Accepted`` and then read as a stream.
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
        """Follows the answer of a call.

        Args:
            key: The call.
            workspace: Workspace of the reader.
            attempt: Attempt the reader follows; see ``StreamPart``.
            offset: Characters of it the reader has.
            wait_s: Longest wait for news.

        Returns:
            The next part; NOT_FOUND when the call must be submitted again.
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
        raise TypeError(f"no rule for {type(operation).__name__}")

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
        refused = self._terminator.admission_failure(program)
        if refused is not None:
            return refused
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
        content = hashing.digest("turn", operation.branch_id, operation.message)
        return self._accept(operation, program, caller, content)

    @_submit.register
    async def _(
        self, operation: CallService, program: Program, caller: Caller
    ) -> Result[OperationResult, Failure]:
        content = hashing.digest(
            "call", operation.branch_id, operation.operation, operation.payload
        )
        return self._accept(operation, program, caller, content)

    def _accept(
        self,
        operation: SendTurn | CallService,
        program: Program,
        caller: Caller,
        content: str,
    ) -> Result[OperationResult, Failure]:
        key = RequestKey(program.program_id, operation.request_id)
        accepted = Accepted(operation.request_id, self.epoch)
        known = self._match_known_request(key, program, content)
        if known is not None:
            return known.map(lambda _: accepted)
        if self._resume_call(key, program):
            return Success(accepted)
        refused = self._terminator.admission_failure(program)
        if refused is not None:
            return refused
        unacceptable = self._require_journal().admission_failure()
        if unacceptable is not None:
            return Failed(unacceptable)
        branch = program.branch_by_id.get(operation.branch_id)
        if branch is None:
            return Failed(Failure(ErrorKind.NOT_FOUND, operation.branch_id))
        program.last_call_ms = unix_time_ms()
        stream = self._calls.new_stream(key, content)
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
        self, key: RequestKey, program: Program, content: str
    ) -> Result[None, Failure] | None:
        """Recognises a request that was sent before.

        Returns:
            Success to join it, REQUEST_ID_REUSED for other content, None for
            a request that must run: a new one, or one whose earlier try ended
            in a failure that promised it can be sent again.
        """
        stream = self._calls.stream(key)
        entry = program.entry_by_request_id.get(key.request_id)
        seen = (
            stream or entry or program.intent_by_request_id.get(key.request_id)
        )
        if seen is None:
            return None
        if seen.content_digest != content:
            detail = f"request id {key.request_id!r}"
            return Failed(Failure(ErrorKind.REQUEST_ID_REUSED, detail))
        if key in self._calls:
            return Success(None)
        if key in self.voiding_intents:
            return Failed(Failure(ErrorKind.PLATFORM_UNAVAILABLE))
        if entry is None or _is_unknown(entry):
            return None
        return Success(None)

    def _resume_call(self, key: RequestKey, program: Program) -> bool:
        """Asks for the outcome of a call that must not be sent again.

        A call whose intent is committed may have been sent. Running it as a
        new request, because its task broke off, would send it twice.

        Returns:
            False where the request may run.
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
            # Another workspace's program has the id.
            return Failed(Failure(ErrorKind.NOT_FOUND, operation.program_id))
        if program.kind.name != operation.kind.name:
            detail = "the request id began another kind of program"
            return Failed(Failure(ErrorKind.REQUEST_ID_REUSED, detail))
        return views.program_view(program, (), "")

    async def end_program(
        self, program: Program, reason: EndReason
    ) -> Result[None, Failure]:
        """Ends a program: turns in flight are cancelled, calls finish.

        Args:
            program: The program; one that has ended stays as it is.
            reason: Recorded as the cause.
        """
        return await self._terminator.end(program, reason)

    async def release_memory(self, program: Program) -> None:
        """Frees an ended program's engine memory where it is still owed."""
        await self._terminator.release_memory(program)

    async def sweep(self) -> None:
        """Ends, cancels, releases and forgets what is due; run each second."""
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
        """Finds out whether this host was deposed; call it after a pause."""
        return await self._require_journal().check_ownership()

    def waiting_for(self, program: Program) -> tuple[str, ...]:
        """Returns a program's calls in flight and what each waits for."""
        return self._calls.waiting_for(program.program_id)

    def describe(self) -> dict[str, Any]:
        """Returns the shard's state for a dump."""
        return {
            "epoch": self.epoch,
            "held": self.is_owned,
            "copied_bytes": self._require_journal().backlog_bytes,
            "programs": len(self.state.program_by_id),
            "in_flight": self.in_flight,
        }

    async def hand_off(self) -> Result[None, Failure]:
        """Releases the shard for the next owner, once nothing is in flight."""
        return await self._require_journal().release()

    async def close(self) -> None:
        """Stops every task without handing over."""
        await self._calls.close()
        tasks = list(self._background)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        await self._require_journal().close()

    def _require_journal(self) -> journal.Journal:
        if self._journal is None:
            raise RuntimeError("the shard has no journal yet")
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
    """Takes a shard over and rebuilds its programs.

    Args:
        store: The platform's objects.
        number: The shard.
        host: This host.
        writer: Incarnation of this process.
        executor: Runs calls at upstreams.
        find_kind: Returns the current program kind by workspace and name.
        settings: Times.
        copies: Hosts that hold copies during an outage of the platform; None
            to wait for it.
        forced: Takes the shard although no holder gave its copies; the log
            names what may be lost.

    Returns:
        The shard; CONFLICT when another host was faster; PEER_UNAVAILABLE
        when no holder gave its copies.
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
