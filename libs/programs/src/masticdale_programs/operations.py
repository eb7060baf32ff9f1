"""Operations on programs and their results, with their JSON codec."""

import dataclasses
from typing import Annotated, Literal

import pydantic

from masticdale_programs.records import EndReason, OutcomeStatus, ProgramKind
from masticdale_programs.state import MAIN_BRANCH


@dataclasses.dataclass(frozen=True, slots=True)
class CreateProgram:
    """Creates a program; the id is derived from workspace and request id."""

    program_id: str
    kind: ProgramKind
    type: Literal["create_program"] = "create_program"


@dataclasses.dataclass(frozen=True, slots=True)
class OpenBranch:
    """Opens a branch, for example for a sub-agent."""

    program_id: str
    branch_id: str
    parent_id: str = MAIN_BRANCH
    type: Literal["open_branch"] = "open_branch"


@dataclasses.dataclass(frozen=True, slots=True)
class SendTurn:
    """Sends a message to the model and requests its answer.

    Attributes:
        program_id: The program.
        branch_id: The branch.
        request_id: Idempotency key of the caller's request.
        sequence: Position in the branch, from 0; None for the next position.
        message: New text; the owner adds the history.
        max_tokens: Limit of generated tokens; 0 for the program kind's limit.
    """

    program_id: str
    branch_id: str
    request_id: str
    message: str
    sequence: int | None = None
    max_tokens: int = 0
    type: Literal["send_turn"] = "send_turn"


@dataclasses.dataclass(frozen=True, slots=True)
class CallService:
    """Calls an operation of a plain service.

    Attributes:
        program_id: The program.
        branch_id: The branch.
        request_id: Idempotency key of the caller's request.
        operation: Name of the operation.
        payload: JSON text.
        sequence: Position in the branch, from 0; None for the next position.
    """

    program_id: str
    branch_id: str
    request_id: str
    operation: str
    payload: str
    sequence: int | None = None
    type: Literal["call_service"] = "call_service"


@dataclasses.dataclass(frozen=True, slots=True)
class EndProgram:
    """Ends a program; ending it again has no effect."""

    program_id: str
    reason: EndReason = EndReason.FINISHED
    type: Literal["end_program"] = "end_program"


@dataclasses.dataclass(frozen=True, slots=True)
class GetProgram:
    """Reads a program's status and, on request, a branch's history."""

    program_id: str
    history_of: str = ""
    type: Literal["get_program"] = "get_program"


Operation = (
    CreateProgram
    | OpenBranch
    | SendTurn
    | CallService
    | EndProgram
    | GetProgram
)


@dataclasses.dataclass(frozen=True, slots=True)
class HistoryItem:
    """One finished call of a branch, as shown to callers."""

    request_id: str
    kind: str
    sent: str
    answer: str
    status: str


@dataclasses.dataclass(frozen=True, slots=True)
class ProgramView:
    """A program's status.

    Attributes:
        program_id: The program.
        kind: Name of the program kind.
        state: ``running`` or the reason for its end.
        branches: Ids of the branches.
        tokens_spent: Number of tokens charged.
        calls_spent: Number of model turns and service calls charged.
        turns_spent: Number of model turns charged.
        waiting_for: Request ids in flight, with what each waits for.
        history: Finished calls of the requested branch.
    """

    program_id: str
    kind: str
    state: str
    branches: tuple[str, ...]
    tokens_spent: int
    calls_spent: int
    turns_spent: int
    waiting_for: tuple[str, ...]
    history: tuple[HistoryItem, ...] = ()
    type: Literal["program_view"] = "program_view"


@dataclasses.dataclass(frozen=True, slots=True)
class Accepted:
    """A call was accepted; its answer is read from a stream."""

    request_id: str
    epoch: int
    type: Literal["accepted"] = "accepted"


@dataclasses.dataclass(frozen=True, slots=True)
class TurnOutcome:
    """A turn's committed answer."""

    request_id: str
    text: str
    prompt_tokens: int
    cached_tokens: int
    generated_tokens: int
    replica: str
    type: Literal["turn_outcome"] = "turn_outcome"


@dataclasses.dataclass(frozen=True, slots=True)
class CallOutcome:
    """A service call's committed outcome."""

    request_id: str
    status: OutcomeStatus
    result: str
    type: Literal["call_outcome"] = "call_outcome"


Outcome = TurnOutcome | CallOutcome
OperationResult = ProgramView | Accepted

_Tag = pydantic.Field(discriminator="type")
_OPERATION: pydantic.TypeAdapter[Operation] = pydantic.TypeAdapter(
    Annotated[Operation, _Tag]
)
_RESULT: pydantic.TypeAdapter[OperationResult] = pydantic.TypeAdapter(
    Annotated[OperationResult, _Tag]
)
_OUTCOME: pydantic.TypeAdapter[Outcome] = pydantic.TypeAdapter(
    Annotated[Outcome, _Tag]
)


def encode_operation(operation: Operation) -> str:
    """Encodes an operation as JSON."""
    return _OPERATION.dump_json(operation).decode()


def decode_operation(text: str) -> Operation:
    """Decodes an operation from JSON; raises on malformed text."""
    return _OPERATION.validate_json(text)


def encode_result(result: OperationResult) -> str:
    """Encodes an operation's result as JSON."""
    return _RESULT.dump_json(result).decode()


def decode_result(text: str) -> OperationResult:
    """Decodes an operation's result from JSON; raises on malformed text."""
    return _RESULT.validate_json(text)


def encode_outcome(outcome: Outcome) -> str:
    """Encodes a call's outcome as JSON."""
    return _OUTCOME.dump_json(outcome).decode()


def decode_outcome(text: str) -> Outcome:
    """Decodes a call's outcome from JSON; raises on malformed text."""
    return _OUTCOME.validate_json(text)
