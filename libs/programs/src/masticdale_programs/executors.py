"""What a shard needs done outside: the daemon brings an ``Executor``."""

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
        content_digest: Digest of model and context, for crash suspects.
        max_tokens: Most tokens to generate.
        priority: Priority class; 0 is first.
        attained_s: Engine seconds the program has had.
        replica: Replica that holds the branch's prefix; may be empty.
        deadline: Monotonic seconds after which nobody waits.
        kind: Name of the program kind.
        template_digest: Digest of the prompt's shared first part.
        parent_id: Branch this one was opened from; empty for none.
        parent_tokens: Tokens of the history it began with.
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
    """A whole answer and what it cost."""

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
        fencing: The shard's epoch.
        priority: Priority class; 0 is first.
        deadline: Monotonic seconds after which nobody waits.
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
    """Where an executor puts the text as it comes."""

    def record_placement(self, replica: str) -> None:
        """Notes a replica that may hold engine memory from now on."""
        ...

    def set_wait_reason(self, reason: str) -> None:
        """Notes what the call waits for, for operators."""
        ...

    def restart(self) -> None:
        """Forgets the text so far: another replica begins anew."""
        ...

    def append(self, text: str) -> None:
        """Adds generated text."""
        ...


class Executor(Protocol):
    """Runs calls at upstreams."""

    async def run_model(
        self, call: ModelCall, sink: TextSink
    ) -> Result[ModelResult, Failure]:
        """Places, admits and runs a turn, retrying where that is safe."""
        ...

    def is_repeatable(self, workspace: str, operation: str) -> bool:
        """Returns whether an operation may be run more than once."""
        ...

    async def call_service(self, call: ServiceCall) -> Result[str, Failure]:
        """Sends a service call once.

        Failures whose table row says ``ran: no`` promise that it was not run.
        """
        ...

    async def look_up(self, call: ServiceCall) -> Result[str | None, Failure]:
        """Asks the service for the outcome under the call's key.

        Returns:
            The result; None where the service does not tell or knows nothing.
        """
        ...

    async def release(
        self, program_id: str, replica: str
    ) -> Result[None, Failure]:
        """Frees a program's engine memory at a replica."""
        ...


Clock = Callable[[], float]
