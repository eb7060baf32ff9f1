"""Interface between a shard and the upstreams that run its calls."""

import dataclasses
from collections.abc import Callable
from typing import Protocol

from returns.result import Result

from masticdale_common import Failure


@dataclasses.dataclass(frozen=True, slots=True)
class ModelCall:
    """One model turn, ready to run.

    Attributes:
        workspace: Workspace of the program.
        program_id: The program.
        branch_id: The branch.
        request_id: The caller's request id.
        model: Model to run it on.
        prompt: The whole context in parts.
        content_digest: Digest of model and prompt, to recognize content that
            may have crashed an engine.
        max_tokens: Limit of generated tokens.
        priority: Priority class; 0 is the highest.
        attained_s: Engine time the program has used, in seconds.
        replica: Replica that caches the branch's prefix; may be empty.
        deadline: Monotonic time, in seconds, until which the caller waits.
        kind: Name of the program kind.
        template_digest: Digest of the system prompt.
        parent_id: Branch from which this one was opened; empty for none.
        parent_tokens: Number of tokens of the inherited history.
    """

    workspace: str
    program_id: str
    branch_id: str
    request_id: str
    model: str
    prompt: tuple[str, ...]
    content_digest: str
    max_tokens: int
    priority: int
    attained_s: float
    replica: str
    deadline: float
    kind: str
    template_digest: str = ""
    parent_id: str = ""
    parent_tokens: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class ModelResult:
    """A complete answer with its token counts and engine time."""

    text: str
    replica: str
    prompt_tokens: int
    cached_tokens: int
    generated_tokens: int
    service_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class ServiceCall:
    """One service call, ready to be sent.

    Attributes:
        workspace: Workspace of the program.
        program_id: The program.
        request_id: The caller's request id.
        key: Idempotency key.
        operation: Name of the operation.
        payload: JSON text.
        fencing: Fencing token: the shard's epoch.
        priority: Priority class; 0 is the highest.
        deadline: Monotonic time, in seconds, until which the caller waits.
    """

    workspace: str
    program_id: str
    request_id: str
    key: str
    operation: str
    payload: str
    fencing: int
    priority: int
    deadline: float


class TextSink(Protocol):
    """Receives a turn's text and progress from an executor."""

    def record_placement(self, replica: str) -> None:
        """Records a replica that may hold engine memory from now on."""
        ...

    def set_wait_reason(self, reason: str) -> None:
        """Records what the call waits for, for operators."""
        ...

    def restart(self) -> None:
        """Discards the text so far; another replica restarts the answer."""
        ...

    def append(self, text: str) -> None:
        """Appends generated text."""
        ...


class Executor(Protocol):
    """Runs calls at upstreams."""

    async def run_model(
        self, call: ModelCall, sink: TextSink
    ) -> Result[ModelResult, Failure]:
        """Places, admits and runs a turn; retries where that is safe."""
        ...

    def is_repeatable(self, workspace: str, operation: str) -> bool:
        """Returns whether an operation may be run more than once."""
        ...

    async def call_service(self, call: ServiceCall) -> Result[str, Failure]:
        """Sends a service call once.

        An error kind which tells that the call was not executed guarantees
        that it was not.
        """
        ...

    async def look_up(self, call: ServiceCall) -> Result[str | None, Failure]:
        """Looks up a call's outcome at the service by its idempotency key.

        Returns:
            The result; None if the service has no lookup or no such call.
        """
        ...

    async def release(
        self, program_id: str, replica: str
    ) -> Result[None, Failure]:
        """Frees a program's engine memory at a replica."""
        ...


Clock = Callable[[], float]
