"""Bodies of the callers' interface."""

import pydantic

from masticdale_common import StrictModel
from masticdale_programs import MAIN_BRANCH

_NAME = pydantic.Field(min_length=1, max_length=128, pattern=r"^[\w.:-]+$")


class _Deadline(StrictModel):
    """Fields of every request that runs something.

    Attributes:
        deadline_ms: Milliseconds after which the answer is worthless; the
            host's default where absent.
    """

    deadline_ms: int | None = pydantic.Field(default=None, ge=1)


class CreateProgramBody(_Deadline):
    """Begins a program.

    Attributes:
        request_id: Makes the request safe to send again.
        program: Name of a program kind of the workspace.
    """

    request_id: str = _NAME
    program: str = _NAME


class OpenBranchBody(_Deadline):
    """Opens a sub-agent's branch.

    Attributes:
        branch: Its id, chosen by the caller; safe to send again.
        parent: Branch whose history it begins with.
    """

    branch: str = _NAME
    parent: str = MAIN_BRANCH


class SendTurnBody(_Deadline):
    """Sends a message and asks for the model's answer.

    Attributes:
        request_id: Makes the request safe to send again.
        message: New text; the branch's history is added by the service.
        branch: The branch.
        sequence: Place in the branch, from 0; absent for the next.
        max_tokens: Most tokens to generate; absent for the program kind's.
        stream: True for server-sent events, false for one JSON answer.
    """

    request_id: str = _NAME
    message: str
    branch: str = MAIN_BRANCH
    sequence: int | None = pydantic.Field(default=None, ge=0)
    max_tokens: int = pydantic.Field(default=0, ge=0)
    stream: bool = False


class CallServiceBody(_Deadline):
    """Calls an operation of a plain service.

    Attributes:
        request_id: Makes the request safe to send again.
        operation: Name of the operation.
        payload: Any JSON value for the service.
        branch: The branch.
        sequence: Place in the branch, from 0; absent for the next.
    """

    request_id: str = _NAME
    operation: str = _NAME
    payload: pydantic.JsonValue = None
    branch: str = MAIN_BRANCH
    sequence: int | None = pydantic.Field(default=None, ge=0)


class EndProgramBody(_Deadline):
    """Ends a program; ending it again changes nothing."""


class HistoryItemBody(StrictModel):
    """One finished call of a branch."""

    request_id: str
    kind: str
    sent: str
    answer: str
    status: str


class ProgramBody(StrictModel):
    """A program's status.

    Attributes:
        program_id: Names the program in later requests.
        program: Its kind.
        state: ``running``, or why it ended.
        branches: Its branches.
        tokens_spent: Tokens charged to its budget.
        calls_spent: Model turns and service calls charged.
        turns_spent: Model turns charged.
        waiting_for: Calls in flight and what each waits for.
        history: Finished calls of the branch asked for.
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
    """A turn's whole answer."""

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
