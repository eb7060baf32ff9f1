"""What the parts of a shard share: keys, settings and the shard they see."""

import asyncio
import dataclasses
from collections.abc import Callable, Coroutine, Sequence
from typing import Any, Protocol

from returns.result import Result

from masticdale_common import Failure
from masticdale_programs.executors import Executor
from masticdale_programs.operations import Outcome
from masticdale_programs.records import ProgramKind, Record
from masticdale_programs.state import Branch, Program, ShardState

CallResult = Result[Outcome, Failure]
KindLookup = Callable[[str, str], ProgramKind | None]


@dataclasses.dataclass(frozen=True, slots=True)
class ShardSettings:
    """Times of a shard.

    Attributes:
        unread_cancel_s: A model turn that nobody reads is cancelled then.
        idle_end_s: A program without calls is ended as abandoned then.
        retention_s: An ended program can be read that long.
        stream_retention_s: How long a finished answer stays in memory.
        commit_wait_s: Longest wait for an intent's commit before the call is
            refused as not run.
        copy_check_interval_s: Time between two checks of the copy holders.
    """

    unread_cancel_s: float = 15.0
    idle_end_s: float = 3600.0
    retention_s: float = 3600.0
    stream_retention_s: float = 30.0
    commit_wait_s: float = 1.5
    copy_check_interval_s: float = 5.0


@dataclasses.dataclass(frozen=True, slots=True)
class RequestKey:
    """One caller's request."""

    program_id: str
    request_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class Caller:
    """On whose behalf an operation runs.

    Attributes:
        workspace: Workspace that the key belongs to.
        deadline: Monotonic seconds after which nobody waits.
    """

    workspace: str
    deadline: float


class OwnedShard(Protocol):
    """The shard as the code of one call sees it."""

    executor: Executor
    settings: ShardSettings
    state: ShardState
    voiding_intents: set[RequestKey]

    @property
    def epoch(self) -> int:
        """The epoch this host owns the shard under."""
        ...

    async def commit(
        self, records: Sequence[Record], needs_platform: bool = False
    ) -> Result[None, Failure]:
        """Commits records to the journal."""
        ...

    def kind_of(self, program: Program) -> ProgramKind:
        """Returns the program's kind with budget and priority in force."""
        ...

    def branch_lock(self, program: Program, branch: Branch) -> asyncio.Lock:
        """Returns the lock that a branch's calls take in turn."""
        ...

    def spawn(self, work: Coroutine[Any, Any, Any]) -> None:
        """Runs work in the background until the shard closes."""
        ...
