"""Journal records: everything a shard must not forget, and their codec."""

import dataclasses
import enum
from collections.abc import Sequence
from typing import Annotated, Literal

import pydantic


@dataclasses.dataclass(frozen=True, slots=True)
class Budget:
    """What a program may spend; its branches share it.

    Attributes:
        tokens: New prompt tokens plus generated tokens.
        calls: Model turns and service calls together.
        turns: Model turns, so that a loop ends.
        wall_time_s: Seconds from creation to the end.
    """

    tokens: int
    calls: int
    turns: int
    wall_time_s: int


@dataclasses.dataclass(frozen=True, slots=True)
class ProgramKind:
    """The rendered template body a program began with.

    Attributes:
        name: Name of the program kind in its workspace.
        model: Model that serves its turns.
        system_prompt: First part of every prompt.
        priority: Priority class; 0 is served first.
        max_tokens: Most tokens a turn generates unless it asks for fewer.
        operations: Service operations it may call.
        budget: What it may spend.
        revision: Configuration revision it was rendered from.
    """

    name: str
    model: str
    system_prompt: str
    priority: int
    max_tokens: int
    operations: tuple[str, ...]
    budget: Budget
    revision: int


class EndReason(enum.StrEnum):
    """Why a program ended."""

    FINISHED = "finished"
    EXPIRED = "expired"
    ABANDONED = "abandoned"
    STOPPED = "stopped"


class OutcomeStatus(enum.StrEnum):
    """How an unrepeatable call ended."""

    DONE = "done"
    NOT_RUN = "not_run"
    UNKNOWN = "unknown"


@dataclasses.dataclass(frozen=True, slots=True)
class ProgramCreated:
    """A program began."""

    program_id: str
    workspace: str
    kind: ProgramKind
    created_ms: int
    type: Literal["program_created"] = "program_created"


@dataclasses.dataclass(frozen=True, slots=True)
class BranchOpened:
    """A sub-agent's branch began with its parent's history so far."""

    program_id: str
    branch_id: str
    parent_id: str
    type: Literal["branch_opened"] = "branch_opened"


@dataclasses.dataclass(frozen=True, slots=True)
class TurnFinished:
    """A model turn was answered; its message and answer are history."""

    program_id: str
    branch_id: str
    request_id: str
    content_digest: str
    message: str
    text: str
    replica: str
    prompt_tokens: int
    cached_tokens: int
    generated_tokens: int
    charged_tokens: int
    service_ms: int
    type: Literal["turn_finished"] = "turn_finished"


@dataclasses.dataclass(frozen=True, slots=True)
class IntentRecorded:
    """An unrepeatable call is about to be sent, once."""

    program_id: str
    branch_id: str
    request_id: str
    content_digest: str
    operation: str
    payload: str
    type: Literal["intent_recorded"] = "intent_recorded"


@dataclasses.dataclass(frozen=True, slots=True)
class CallFinished:
    """A service call's outcome; it closes the intent of the request id."""

    program_id: str
    branch_id: str
    request_id: str
    content_digest: str
    operation: str
    payload: str
    status: OutcomeStatus
    result: str
    type: Literal["call_finished"] = "call_finished"


@dataclasses.dataclass(frozen=True, slots=True)
class ProgramEnded:
    """A program ended; its replicas owe a release of engine memory."""

    program_id: str
    reason: EndReason
    ended_ms: int
    replicas: tuple[str, ...]
    type: Literal["program_ended"] = "program_ended"


@dataclasses.dataclass(frozen=True, slots=True)
class ReleaseConfirmed:
    """A replica confirmed that it holds no memory for an ended program."""

    program_id: str
    replica: str
    type: Literal["release_confirmed"] = "release_confirmed"


@dataclasses.dataclass(frozen=True, slots=True)
class ProgramForgotten:
    """An ended program's retention passed; its records may be dropped."""

    program_id: str
    type: Literal["program_forgotten"] = "program_forgotten"


Record = (
    ProgramCreated
    | BranchOpened
    | TurnFinished
    | IntentRecorded
    | CallFinished
    | ProgramEnded
    | ReleaseConfirmed
    | ProgramForgotten
)
TaggedRecord = Annotated[Record, pydantic.Field(discriminator="type")]
_RECORDS: pydantic.TypeAdapter[list[Record]] = pydantic.TypeAdapter(
    list[TaggedRecord]
)


def encode(records: Sequence[Record]) -> bytes:
    """Returns the records as a JSON array."""
    return _RECORDS.dump_json(list(records))


def decode(data: bytes) -> list[Record]:
    """Returns the records of a JSON array; raises on malformed data."""
    return _RECORDS.validate_json(data)
