"""Types shared by the modules of a shard: keys, settings and protocols."""

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
    """Timeouts and intervals of a shard, in seconds.

    Attributes:
        unread_cancel_s: A model turn is cancelled if its answer has not been
            read for this long.
        idle_end_s: A program without calls for this long ends as abandoned.
        retention_s: How long an ended program can be read.
        stream_retention_s: How long a finished answer stays in memory.
        commit_wait_s: Longest wait for an intent's commit before the call is
            rejected as not run.
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
    """Identifies one request of a program's caller."""

    program_id: str
    request_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class Caller:
    """The caller of an operation.

    Attributes:
        workspace: Workspace of the caller's API key.
        deadline: Monotonic time, in seconds, until which the caller waits.
    """

    workspace: str
    deadline: float


class OwnedShard(Protocol):
    """The part of a shard that the code running a call may use.

    Attributes:
        executor: Runs calls at upstreams.
        settings: Timeouts and intervals.
        state: The shard's programs.
        voiding_intents: Requests reported as not executed whose intent may
            still be committed; a record that voids it follows.
    """

    executor: Executor
    settings: ShardSettings
    state: ShardState
    voiding_intents: set[RequestKey]

    @property
    def epoch(self) -> int:
        """The epoch under which this host owns the shard."""
        ...

    async def commit(
        self, records: Sequence[Record], needs_platform: bool = False
    ) -> Result[None, Failure]:
        """Commits records to the journal; see ``Journal.commit``."""
        ...

    def kind_of(self, program: Program) -> ProgramKind:
        """Returns the program's kind with its current budget and priority."""
        ...

    def branch_lock(self, program: Program, branch: Branch) -> asyncio.Lock:
        """Returns the lock that serializes a branch's calls."""
        ...

    def spawn(self, work: Coroutine[Any, Any, Any]) -> None:
        """Runs work in the background until the shard closes."""
        ...
