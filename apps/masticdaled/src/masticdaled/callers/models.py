"""Request and response bodies of the callers' API."""

import pydantic

from masticdale_common import StrictModel
from masticdale_programs import MAIN_BRANCH

_NAME = pydantic.Field(min_length=1, max_length=128, pattern=r"^[\w.:-]+$")


class _Deadline(StrictModel):
    """Base of the requests that have a deadline.

    Attributes:
        deadline_ms: Milliseconds after which the caller stops waiting; the
            host's default if absent.
    """

    deadline_ms: int | None = pydantic.Field(default=None, ge=1)


class CreateProgramBody(_Deadline):
    """Begins a program.

    Attributes:
        request_id: Makes the request safe to retry.
        program: Name of a program kind of the workspace.
    """

    request_id: str = _NAME
    program: str = _NAME


class OpenBranchBody(_Deadline):
    """Opens a sub-agent's branch.

    Attributes:
        branch: Id of the new branch, chosen by the caller; makes the request
            safe to retry.
        parent: Branch whose history the new branch starts with.
    """

    branch: str = _NAME
    parent: str = MAIN_BRANCH


class SendTurnBody(_Deadline):
    """Sends a message and asks for the model's answer.

    Attributes:
        request_id: Makes the request safe to retry.
        message: The new text, without the branch's history.
        branch: Id of the branch.
        sequence: Position in the branch, from 0; the next one if absent.
        max_tokens: Maximum number of tokens to generate; the program kind's
            limit if absent.
        stream: True for server-sent events, false for one JSON answer.
    """

    request_id: str = _NAME
    message: str
    branch: str = MAIN_BRANCH
    sequence: int | None = pydantic.Field(default=None, ge=0)
    max_tokens: int = pydantic.Field(default=0, ge=0)
    stream: bool = False


class CallServiceBody(_Deadline):
    """Calls an operation of a service that is not a model engine.

    Attributes:
        request_id: Makes the request safe to retry.
        operation: Name of the operation.
        payload: Any JSON value for the service.
        branch: Id of the branch.
        sequence: Position in the branch, from 0; the next one if absent.
    """

    request_id: str = _NAME
    operation: str = _NAME
    payload: pydantic.JsonValue = None
    branch: str = MAIN_BRANCH
    sequence: int | None = pydantic.Field(default=None, ge=0)


class EndProgramBody(_Deadline):
    """Ends a program; idempotent."""


class HistoryItemBody(StrictModel):
    """A finished call of a branch."""

    request_id: str
    kind: str
    sent: str
    answer: str
    status: str


class ProgramBody(StrictModel):
    """A program's status.

    Attributes:
        program_id: Id of the program in later requests.
        program: Name of its kind.
        state: ``running``, or the reason for its end.
        branches: Ids of its branches.
        tokens_spent: Tokens charged to its budget.
        calls_spent: Model turns and service calls charged.
        turns_spent: Model turns charged.
        waiting_for: Calls in flight and what each waits for.
        history: Finished calls of the requested branch.
    """

    program_id: str
    program: str
    state: str
    branches: tuple[str, ...]
    tokens_spent: int
    calls_spent: int
    turns_spent: int
    waiting_for: tuple[str, ...]
    history: tuple[HistoryItemBody, ...] = ()


class TurnAnswerBody(StrictModel):
    """A turn's complete answer."""

    request_id: str
    text: str
    prompt_tokens: int
    cached_tokens: int
    generated_tokens: int
    replica: str


class CallAnswerBody(StrictModel):
    """A service call's outcome."""

    request_id: str
    status: str
    result: pydantic.JsonValue
