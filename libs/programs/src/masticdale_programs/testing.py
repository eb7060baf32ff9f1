"""A fake executor and sample values for tests."""

import asyncio
import dataclasses
from collections import Counter

from returns.result import Failure as Failed
from returns.result import Result, Success

from masticdale_common import ErrorKind, Failure
from masticdale_programs.executors import (
    ModelCall,
    ModelResult,
    ServiceCall,
    TextSink,
)
from masticdale_programs.operations import Outcome
from masticdale_programs.records import Budget, ProgramKind
from masticdale_programs.shards import Shard
from masticdale_programs.types import RequestKey

UNREPEATABLE = "file_permit"
REPEATABLE = "read_zones"
_READ_WAIT_S = 0.5


@dataclasses.dataclass(slots=True)
class ExecutorFaults:
    """Faults of the fake executor; counters decrease with each fault.

    Attributes:
        lose_answers: Number of service calls that run, but fail with
            OUTCOME_UNKNOWN.
        refuse: Number of service calls that fail with NO_UPSTREAM unrun.
        fail_turns: Number of model turns that fail with UPSTREAM_FAILED.
        can_look_up: Whether the service supports lookups by key.
        delay_s: Duration of each call, in seconds.
        hung_replicas: Replicas that never respond to a release.
    """

    lose_answers: int = 0
    refuse: int = 0
    fail_turns: int = 0
    can_look_up: bool = False
    delay_s: float = 0.0
    hung_replicas: set[str] = dataclasses.field(default_factory=set)


class FakeExecutor:
    """Answers turns with a text derived from the prompt; counts executions.

    Attributes:
        faults: Faults to inject.
        calls: Model calls received, oldest first.
        execution_count_by_key: Executed service calls by idempotency key.
        released: Program ids and replicas of completed releases.
    """

    def __init__(self) -> None:
        self.faults = ExecutorFaults()
        self.calls: list[ModelCall] = []
        self.execution_count_by_key: Counter[str] = Counter()
        self.released: set[tuple[str, str]] = set()

    async def run_model(
        self, call: ModelCall, sink: TextSink
    ) -> Result[ModelResult, Failure]:
        """See ``Executor.run_model``."""
        sink.record_placement("engine-1")
        self.calls.append(call)
        await asyncio.sleep(self.faults.delay_s)
        if self.faults.fail_turns > 0:
            self.faults.fail_turns -= 1
            return Failed(Failure(ErrorKind.UPSTREAM_FAILED))
        text = answer_to(call.prompt)
        sink.append(text)
        return Success(
            ModelResult(text, "engine-1", len(call.prompt), 0, 5, 10)
        )

    def is_repeatable(self, workspace: str, operation: str) -> bool:
        """See ``Executor.is_repeatable``."""
        return operation != UNREPEATABLE

    async def call_service(self, call: ServiceCall) -> Result[str, Failure]:
        """See ``Executor.call_service``."""
        if self.faults.refuse > 0:
            self.faults.refuse -= 1
            return Failed(Failure(ErrorKind.NO_UPSTREAM))
        self.execution_count_by_key[call.key] += 1
        await asyncio.sleep(self.faults.delay_s)
        if self.faults.lose_answers > 0:
            self.faults.lose_answers -= 1
            return Failed(Failure(ErrorKind.OUTCOME_UNKNOWN))
        return Success(f'"done {call.operation}"')

    async def look_up(self, call: ServiceCall) -> Result[str | None, Failure]:
        """See ``Executor.look_up``."""
        if not self.faults.can_look_up:
            return Success(None)
        if not self.execution_count_by_key[call.key]:
            return Success(None)
        return Success(f'"done {call.operation}"')

    async def release(
        self, program_id: str, replica: str
    ) -> Result[None, Failure]:
        """See ``Executor.release``."""
        if replica in self.faults.hung_replicas:
            await asyncio.Event().wait()
        self.released.add((program_id, replica))
        return Success(None)


def answer_to(prompt: tuple[str, ...]) -> str:
    """Returns the fake model's answer to a prompt."""
    return f"answer {len(prompt)} to {prompt[-1]}"


def sample_kind(
    tokens: int = 10_000,
    calls: int = 10,
    turns: int = 20,
    wall_time_s: int = 3600,
) -> ProgramKind:
    """Returns a program kind with the given budget."""
    return ProgramKind(
        name="dossier-build",
        model="small",
        system_prompt="You assemble permit files.",
        priority=1,
        max_tokens=100,
        operations=(UNREPEATABLE, REPEATABLE),
        budget=Budget(tokens, calls, turns, wall_time_s),
        revision=1,
    )


async def read_outcome(
    shard: Shard, key: RequestKey, workspace: str
) -> Result[Outcome, Failure]:
    """Reads a call's answer until its outcome, as an entry host does."""
    attempt = 0
    offset = 0
    while True:
        read = await shard.read(key, workspace, attempt, offset, _READ_WAIT_S)
        if isinstance(read, Failed):
            return Failed(read.failure())
        part = read.unwrap()
        if part.outcome is not None:
            return part.outcome
        attempt = part.attempt
        offset = part.offset + len(part.text)
