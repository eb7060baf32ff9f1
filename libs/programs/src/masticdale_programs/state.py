"""In-memory state of a shard's programs, rebuilt by replaying its records."""

import asyncio
import dataclasses
import functools

from masticdale_programs.records import (
    BranchOpened,
    Budget,
    CallFinished,
    EndReason,
    IntentRecorded,
    OutcomeStatus,
    ProgramCreated,
    ProgramEnded,
    ProgramForgotten,
    ProgramKind,
    Record,
    ReleaseConfirmed,
    TurnFinished,
)

MAIN_BRANCH = "main"


@dataclasses.dataclass(slots=True)
class Spending:
    """Spent and reserved amounts of a budget.

    Attributes:
        tokens: Tokens charged by finished turns.
        calls: Number of finished turns and of service calls sent, including
            calls with an unknown outcome.
        turns: Number of finished turns.
        reserved_tokens: Maximum tokens of the turns in flight.
        reserved_calls: Number of turns and service calls in flight.
        reserved_turns: Number of turns in flight.
    """

    tokens: int = 0
    calls: int = 0
    turns: int = 0
    reserved_tokens: int = 0
    reserved_calls: int = 0
    reserved_turns: int = 0


@dataclasses.dataclass(slots=True)
class Branch:
    """A sequence of dependent calls.

    Attributes:
        branch_id: Unique within the program.
        parent_id: Branch it was opened from; empty for the main branch.
        entries: Finished turns and calls, oldest first, starting with those
            inherited from the parent.
        inherited_count: Number of entries inherited from the parent.
        replica: Replica that caches the branch's prefix; empty if none.
        lock: Serializes the branch's calls in FIFO order.
    """

    branch_id: str
    parent_id: str
    entries: list[TurnFinished | CallFinished]
    inherited_count: int = 0
    replica: str = ""
    lock: asyncio.Lock = dataclasses.field(default_factory=asyncio.Lock)

    @property
    def finished_count(self) -> int:
        """Number of finished calls, without the inherited ones."""
        return len(self.entries) - self.inherited_count


@dataclasses.dataclass(slots=True)
class Program:
    """The state of one program.

    Attributes:
        program_id: Id of the program; its hash selects the shard.
        workspace: Workspace that owns the program.
        kind: Program kind as of the program's creation.
        created_ms: Unix time of creation, in milliseconds.
        branch_by_id: Its branches.
        entry_by_request_id: Finished turns and calls, for deduplication.
        intent_by_request_id: Unrepeatable calls without an outcome.
        spending: Spent and reserved amounts of the budget.
        replicas: Replicas that may hold engine memory for it.
        attained_ms: Engine time used by its turns, in milliseconds.
        end_reason: Why it ended; None while it runs.
        ended_ms: Unix time of its end, in milliseconds; 0 while it runs.
        last_call_ms: Unix time in milliseconds at which its last call was
            accepted; not durable.
        reservation_released: Set and replaced at each release of a reservation.
    """

    program_id: str
    workspace: str
    kind: ProgramKind
    created_ms: int
    branch_by_id: dict[str, Branch]
    entry_by_request_id: dict[str, TurnFinished | CallFinished]
    intent_by_request_id: dict[str, IntentRecorded]
    spending: Spending
    replicas: set[str]
    attained_ms: int = 0
    end_reason: EndReason | None = None
    ended_ms: int = 0
    last_call_ms: int = 0
    reservation_released: asyncio.Event = dataclasses.field(
        default_factory=asyncio.Event
    )

    @property
    def budget(self) -> Budget:
        """The budget at the program's creation."""
        return self.kind.budget


@dataclasses.dataclass(slots=True)
class ShardState:
    """All programs of one shard."""

    program_by_id: dict[str, Program] = dataclasses.field(default_factory=dict)


def create_program(record: ProgramCreated) -> Program:
    """Returns a new program with its empty main branch."""
    main = Branch(MAIN_BRANCH, "", [])
    return Program(
        program_id=record.program_id,
        workspace=record.workspace,
        kind=record.kind,
        created_ms=record.created_ms,
        branch_by_id={MAIN_BRANCH: main},
        entry_by_request_id={},
        intent_by_request_id={},
        spending=Spending(),
        replicas=set(),
        last_call_ms=record.created_ms,
    )


def apply_record(record: Record, state: ShardState) -> None:
    """Applies one committed record to the state.

    A record of a program that was already removed, such as the outcome of a
    late lookup, is skipped. An error would recur at every replay, so that no
    host could open the shard.

    Args:
        record: The record.
        state: The state; changed in place.
    """
    if isinstance(record, ProgramCreated):
        if record.program_id not in state.program_by_id:
            state.program_by_id[record.program_id] = create_program(record)
        return
    if record.program_id in state.program_by_id:
        _apply(record, state)


@functools.singledispatch
def _apply(record: Record, state: ShardState) -> None:
    raise TypeError(f"unsupported record {type(record).__name__}")


@_apply.register
def _(record: BranchOpened, state: ShardState) -> None:
    program = state.program_by_id[record.program_id]
    if record.branch_id in program.branch_by_id:
        return
    parent = program.branch_by_id[record.parent_id]
    program.branch_by_id[record.branch_id] = Branch(
        branch_id=record.branch_id,
        parent_id=record.parent_id,
        entries=list(parent.entries),
        inherited_count=len(parent.entries),
        replica=parent.replica,
    )


@_apply.register
def _(record: TurnFinished, state: ShardState) -> None:
    program = state.program_by_id[record.program_id]
    branch = program.branch_by_id[record.branch_id]
    branch.entries.append(record)
    branch.replica = record.replica
    program.replicas.add(record.replica)
    program.entry_by_request_id[record.request_id] = record
    program.spending.tokens += record.charged_tokens
    program.spending.turns += 1
    program.spending.calls += 1
    program.attained_ms += record.service_ms


@_apply.register
def _(record: IntentRecorded, state: ShardState) -> None:
    program = state.program_by_id[record.program_id]
    program.intent_by_request_id[record.request_id] = record
    program.spending.calls += 1


@_apply.register
def _(record: CallFinished, state: ShardState) -> None:
    program = state.program_by_id[record.program_id]
    intent = program.intent_by_request_id.pop(record.request_id, None)
    earlier = program.entry_by_request_id.get(record.request_id)
    if record.status is OutcomeStatus.NOT_RUN:
        if intent is not None:
            program.spending.calls -= 1
        return
    if intent is None and earlier is None:
        program.spending.calls += 1
    branch = program.branch_by_id[record.branch_id]
    program.entry_by_request_id[record.request_id] = record
    if earlier is None:
        branch.entries.append(record)
        return
    # The record resolves an unknown outcome; it replaces the entry in every
    # branch that inherited it.
    for each in program.branch_by_id.values():
        each.entries = [
            record if e.request_id == record.request_id else e
            for e in each.entries
        ]


@_apply.register
def _(record: ProgramEnded, state: ShardState) -> None:
    program = state.program_by_id[record.program_id]
    if program.end_reason is not None:
        return
    program.end_reason = record.reason
    program.ended_ms = record.ended_ms
    program.replicas.update(record.replicas)


@_apply.register
def _(record: ReleaseConfirmed, state: ShardState) -> None:
    program = state.program_by_id[record.program_id]
    program.replicas.discard(record.replica)


@_apply.register
def _(record: ProgramForgotten, state: ShardState) -> None:
    state.program_by_id.pop(record.program_id, None)
