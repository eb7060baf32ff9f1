"""What callers ask of a program and what they are told: typed, JSON-coded."""

import dataclasses
from typing import Annotated, Literal

import pydantic

from masticdale_programs.records import EndReason, OutcomeStatus, ProgramKind
from masticdale_programs.state import MAIN_BRANCH


@dataclasses.dataclass(frozen=True, slots=True)
class CreateProgram:
    """Begins a program; the id is derived from workspace and request id."""

    program_id: str
    kind: ProgramKind
    type: Literal["create_program"] = "create_program"


@dataclasses.dataclass(frozen=True, slots=True)
class OpenBranch:
    """Opens a sub-agent's branch."""

    program_id: str
    branch_id: str
    parent_id: str = MAIN_BRANCH
    type: Literal["open_branch"] = "open_branch"


@dataclasses.dataclass(frozen=True, slots=True)
class SendTurn:
    """Sends a message and asks for the model's answer.

    Attributes:
        program_id: The program.
        branch_id: The branch.
        request_id: Makes the call safe to send again.
        sequence: Place in the branch, from 0; None takes the next place.
        message: New text; the history is added by the owner.
        max_tokens: Most tokens to generate; 0 takes the program kind's.
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
        request_id: Makes the call safe to send again.
        operation: Name of the operation.
        payload: JSON text.
        sequence: Place in the branch, from 0; None takes the next place.
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
    """Ends a program; ending it again changes nothing."""

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
    """One finished call as its caller sees it."""

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
        state: ``running`` or the reason of the end.
        branches: Ids of the branches.
        tokens_spent: Tokens charged.
        calls_spent: Model turns and service calls charged.
        turns_spent: Model turns charged.
        waiting_for: Request ids in flight, with what each waits for.
        history: The finished calls of the branch asked for.
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
    """A call was ordered; its answer is read from the stream."""

    request_id: str
    epoch: int
    type: Literal["accepted"] = "accepted"


@dataclasses.dataclass(frozen=True, slots=True)
class TurnOutcome:
    """A turn's whole answer, committed."""

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
    """Returns an operation as JSON."""
    return _OPERATION.dump_json(operation).decode()


def decode_operation(text: str) -> Operation:
    """Returns the operation of a JSON text; raises on malformed text."""
    return _OPERATION.validate_json(text)


def encode_result(result: OperationResult) -> str:
    """Returns an operation's result as JSON."""
    return _RESULT.dump_json(result).decode()


def decode_result(text: str) -> OperationResult:
    """Returns the result of a JSON text; raises on malformed text."""
    return _RESULT.validate_json(text)


def encode_outcome(outcome: Outcome) -> str:
    """Returns an outcome as JSON."""
    return _OUTCOME.dump_json(outcome).decode()


def decode_outcome(text: str) -> Outcome:
    """Returns the outcome of a JSON text; raises on malformed text."""
    return _OUTCOME.validate_json(text)
