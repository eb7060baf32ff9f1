"""The program shards that this host owns, from takeover to handoff."""

import asyncio
import dataclasses
import time
from collections.abc import Iterator

from returns.result import Failure as Failed
from returns.result import Result, Success

from masticdale_common import (
    ErrorKind,
    Failure,
    JsonValue,
    Metrics,
    hashing,
    logs,
)
from masticdale_config import ActiveConfig, RenderedConfig, RenderedProgram
from masticdale_peers import MembershipLimits
from masticdale_platform import ObjectStore
from masticdale_programs import (
    Budget,
    Caller,
    CopyHolders,
    Executor,
    Operation,
    OperationResult,
    Program,
    ProgramKind,
    RequestKey,
    Shard,
    ShardSettings,
    StreamPart,
    open_shard,
    read_head,
)
from masticdaled.cluster import Cluster
from masticdaled.shards.ownership_checks import Ownership, OwnershipChecks

_HANDOFF_GRACE_S = 3.0
_FINISH_POLL_S = 0.02
# Longest wait of a stop for the write that hands a shard off, in seconds.
# Longer than two attempts at the platform.
_RELEASE_TIMEOUT_S = 5.0
_MAX_CONCURRENT_OPENS = 8
_OUTAGE_KINDS = frozenset(
    {ErrorKind.PLATFORM_UNAVAILABLE, ErrorKind.WRITE_UNKNOWN}
)


def render_kind(program: RenderedProgram, revision: int) -> ProgramKind:
    """Returns the program kind of a declared program, with its budget."""
    body = program.body
    budget = program.budget
    return ProgramKind(
        name=program.name,
        model=body.model,
        system_prompt=body.system_prompt,
        priority=program.priority,
        max_tokens=body.max_tokens,
        operations=body.tools,
        budget=Budget(
            budget.tokens, budget.calls, budget.turns, int(budget.wall_time_s)
        ),
        revision=revision,
    )


def find_kind(
    config: RenderedConfig, workspace_name: str, kind_name: str
) -> ProgramKind | None:
    """Returns a program kind of the active configuration, or None."""
    workspace = config.workspace_by_name.get(workspace_name)
    if workspace is None:
        return None
    program = workspace.program_by_name.get(kind_name)
    if program is None:
        return None
    return render_kind(program, config.revision)


@dataclasses.dataclass(frozen=True, slots=True)
class OwnedProgram:
    """A program and the owned shard that contains it."""

    number: int
    shard: Shard
    program: Program


def _is_not_found(outcome: Result[OperationResult, Failure]) -> bool:
    if isinstance(outcome, Success):
        return False
    return outcome.failure().kind is ErrorKind.NOT_FOUND


class OwnedShards:
    """Opens shards on demand and hands off those that belong to other hosts."""

    def __init__(
        self,
        cluster: Cluster,
        store: ObjectStore,
        executor: Executor,
        in_force: ActiveConfig,
        settings: ShardSettings,
        writer: str,
        metrics: Metrics,
        copies: CopyHolders | None = None,
    ) -> None:
        self._copies = copies
        self._cluster = cluster
        self._store = store
        self._executor = executor
        self._in_force = in_force
        self._settings = settings
        self._writer = writer
        self._metrics = metrics
        self._shard_by_number: dict[int, Shard] = {}
        self._stopped_shard_by_number: dict[int, Shard] = {}
        self._open_lock_by_number: dict[int, asyncio.Lock] = {}
        self._misplaced_since: dict[int, float] = {}
        self._handed_off_by_number: dict[int, asyncio.Event] = {}
        self._stopping = False
        self._created_at = time.monotonic()
        self._ownership = OwnershipChecks()

    async def submit(
        self, operation: Operation, caller: Caller
    ) -> Result[OperationResult, Failure]:
        """Executes an operation on a program, opening its shard if needed.

        Returns:
            The shard's result; NOT_OWNER, with the host to ask instead, if this
            host does not own the program; PLATFORM_UNAVAILABLE if the program
            is not found and the ownership cannot be checked.
        """
        number = hashing.shard_of(operation.program_id)
        if self._is_handing_off(number):
            return Failed(self._not_owner_failure(number))
        found = await self._find_or_open(number)
        if isinstance(found, Failed):
            return Failed(found.failure())
        shard = found.unwrap()
        ownership = await self._ownership.check(shard)
        is_handed_off = self._shard_by_number.get(number) is not shard
        if ownership is Ownership.LOST or is_handed_off:
            return Failed(self._not_owner_failure(number))
        outcome = await shard.submit(operation, caller)
        if ownership is Ownership.UNKNOWN and _is_not_found(outcome):
            detail = f"shard {number} cannot be checked"
            return Failed(Failure(ErrorKind.PLATFORM_UNAVAILABLE, detail))
        return outcome

    async def read(
        self,
        key: RequestKey,
        workspace: str,
        attempt: int,
        offset: int,
        wait_s: float,
    ) -> Result[StreamPart, Failure]:
        """Reads an answer stream; see ``Shard.read``."""
        number = hashing.shard_of(key.program_id)
        shard = self._shard_by_number.get(number)
        if shard is None or not shard.is_owned:
            # Outcomes do not change after the handoff. The next owner has
            # only those in the journal, and may not exist yet.
            shard = self._stopped_shard_by_number.get(number)
        if shard is None:
            return Failed(self._not_owner_failure(number))
        return await shard.read(key, workspace, attempt, offset, wait_s)

    async def gone_ids(self, program_ids: tuple[str, ...]) -> tuple[str, ...]:
        """Returns which of the programs have ended or never existed.

        Programs of shards that this host cannot serve now are left out.
        """
        gone: list[str] = []
        for program_id in program_ids:
            found = await self._find_or_open(hashing.shard_of(program_id))
            if isinstance(found, Failed):
                continue
            ownership = await self._ownership.check(found.unwrap())
            if ownership is not Ownership.OWNED:
                continue
            program = found.unwrap().state.program_by_id.get(program_id)
            if program is None or program.end_reason is not None:
                gone.append(program_id)
        return tuple(gone)

    def programs(self) -> Iterator[OwnedProgram]:
        """Returns every program in the owned shards."""
        for number, shard in self._shard_by_number.items():
            if not shard.is_owned:
                continue
            for program in shard.state.program_by_id.values():
                yield OwnedProgram(number, shard, program)

    async def find_program(
        self, program_id: str
    ) -> Result[OwnedProgram, Failure]:
        """Returns a program; NOT_FOUND, or NOT_OWNER with the owning host."""
        number = hashing.shard_of(program_id)
        found = await self._find_or_open(number)
        if isinstance(found, Failed):
            return Failed(found.failure())
        shard = found.unwrap()
        program = shard.state.program_by_id.get(program_id)
        if program is None:
            return Failed(Failure(ErrorKind.NOT_FOUND, program_id))
        return Success(OwnedProgram(number, shard, program))

    async def check_ownership(self) -> None:
        """Checks all owned shards for takeovers, such as after a pause.

        A host that was paused past its lease would otherwise accept calls that
        it cannot commit, until its first commit fails.
        """
        shards = self.owned_shards()
        await asyncio.gather(*(shard.check_ownership() for shard in shards))

    def owned_shards(self) -> tuple[Shard, ...]:
        """Returns the shards that this host owns now."""
        return tuple(s for s in self._shard_by_number.values() if s.is_owned)

    async def tick(self) -> None:
        """Sweeps the shards and hands off those that belong to other hosts."""
        for number, shard in list(self._shard_by_number.items()):
            if not shard.is_owned:
                await self._close_shard(number, shard)
                continue
            await shard.sweep()
            await self._rebalance(number, shard)
        self._ownership.renew_aging(self.owned_shards())
        self._metrics.gauge("shards_held", len(self._shard_by_number))

    async def stop(self, finish_s: float) -> None:
        """Hands off every shard after its calls in flight.

        Args:
            finish_s: Longest wait for the calls of a shard, in seconds.
        """
        self._stopping = True
        numbers = {
            *self._shard_by_number,
            *self._open_lock_by_number,
            *self._handed_off_by_number,
        }
        await asyncio.gather(
            *(self._stop_shard(number, finish_s) for number in numbers)
        )

    async def force_takeover(self, number: int) -> Result[Shard, Failure]:
        """Takes over a shard even from a live owner."""
        async with self._open_lock(number):
            if self._stopping:
                return Failed(self._not_owner_failure(number))
            return await self._take_over(number, forced=True)

    def dump(self) -> JsonValue:
        """Returns the states of the shards as JSON."""
        return {
            str(number): shard.describe()
            for number, shard in sorted(self._shard_by_number.items())
        }

    async def _find_or_open(self, number: int) -> Result[Shard, Failure]:
        shard = self._shard_by_number.get(number)
        if shard is not None and shard.is_owned:
            return Success(shard)
        async with self._open_lock(number):
            shard = self._shard_by_number.get(number)
            if shard is not None and shard.is_owned:
                return Success(shard)
            return await self._open_if_allowed(number)

    async def _open_if_allowed(self, number: int) -> Result[Shard, Failure]:
        refusal = await self._reason_not_to_open(number)
        if refusal is not None:
            return Failed(refusal)
        return await self._take_over(number)

    async def _take_over(
        self, number: int, forced: bool = False
    ) -> Result[Shard, Failure]:
        previous = self._shard_by_number.get(number)
        if previous is not None:
            await self._close_shard(number, previous)
        started = time.monotonic()
        opened = await open_shard(
            self._store,
            number,
            self._cluster.host,
            self._writer,
            self._executor,
            lambda workspace, kind: find_kind(
                self._in_force.current, workspace, kind
            ),
            self._settings,
            self._copies,
            forced,
        )
        if isinstance(opened, Failed):
            return opened
        shard = opened.unwrap()
        self._shard_by_number[number] = shard
        self._ownership.record_takeover(number, started)
        logs.write(
            "shard_opened",
            shard=number,
            epoch=shard.epoch,
            programs=len(shard.state.program_by_id),
            seconds=round(time.monotonic() - started, 3),
        )
        return opened

    async def _reason_not_to_open(self, number: int) -> Failure | None:
        """Returns why this host should not take over a shard now, or None.

        A takeover from a live owner loses no commit, since that owner is
        fenced. But it repeats the calls that the owner has in flight, and the
        owner may serve stale reads until its lease ends.
        """
        if self._stopping:
            return self._not_owner_failure(number)
        if not self._in_force.number:
            # A starting host knows no upstream yet and would refuse the calls.
            return self._not_owner_failure(number)
        if self._cluster.owner_of_shard(number) != self._cluster.host:
            return self._not_owner_failure(number)
        read = await read_head(self._store, number)
        if isinstance(read, Failed):
            failure: Failure = read.failure()
            return failure
        head = read.unwrap()
        if head is None or head.released:
            return None
        if head.owner == self._cluster.host:
            return None
        refusal = Failure(
            ErrorKind.NOT_OWNER, f"shard {number}", host=head.owner
        )
        for member in self._cluster.membership.members():
            if member.name != head.owner:
                continue
            is_same = head.writer.startswith(member.heartbeat.incarnation)
            return refusal if is_same else None
        # A host that has just started may not have heard from a live owner yet.
        # Until that owner's lease expires it may answer from memory, so a
        # takeover would let it serve stale reads.
        age_s = time.monotonic() - self._created_at
        return refusal if age_s < MembershipLimits().lease_s else None

    def _not_owner_failure(self, number: int) -> Failure:
        host = self._cluster.owner_of_shard(number)
        if host != self._cluster.host:
            return Failure(ErrorKind.NOT_OWNER, f"shard {number}", host=host)
        # Every other host is stopping too, or none is known.
        kind = ErrorKind.STOPPING if self._stopping else ErrorKind.NOT_OWNER
        return Failure(kind, f"shard {number}")

    def _is_handing_off(self, number: int) -> bool:
        if self._stopping:
            return True
        since = self._misplaced_since.get(number)
        return since is not None and time.monotonic() - since > _HANDOFF_GRACE_S

    async def _rebalance(self, number: int, shard: Shard) -> None:
        if self._cluster.owner_of_shard(number) == self._cluster.host:
            self._misplaced_since.pop(number, None)
            return
        self._misplaced_since.setdefault(number, time.monotonic())
        # A shard is handed off when it is idle. One that stays busy refuses new
        # calls after a grace period, so that it becomes idle.
        if shard.in_flight == 0:
            await self._hand_off(number, shard)

    async def _hand_off(self, number: int, shard: Shard) -> None:
        self._shard_by_number.pop(number, None)
        self._misplaced_since.pop(number, None)
        handed_off = self._handed_off_by_number[number] = asyncio.Event()
        try:
            await shard.hand_off()
            await shard.close()
        finally:
            handed_off.set()
        logs.write("shard_handed_over", shard=number)

    async def _stop_shard(self, number: int, finish_s: float) -> None:
        # A takeover under way still opens its shard, and the calls that wait
        # for it are accepted there.
        async with self._open_lock(number):
            shard = self._shard_by_number.get(number)
        if shard is not None:
            await self._finish_calls(shard, finish_s)
            self._stopped_shard_by_number[number] = shard
        # The write is repeated until the platform answers. In an outage, the
        # stop would wait for it until the process is killed, with all requests
        # of other hosts' programs.
        try:
            async with asyncio.timeout(_RELEASE_TIMEOUT_S):
                await self._hand_off_once(number, shard)
        except TimeoutError:
            logs.write("shard_not_handed_over", shard=number)
            if shard is not None:
                await shard.close()

    async def _finish_calls(self, shard: Shard, finish_s: float) -> None:
        deadline = time.monotonic() + finish_s
        while shard.in_flight and time.monotonic() < deadline:
            await asyncio.sleep(_FINISH_POLL_S)

    async def _hand_off_once(self, number: int, shard: Shard | None) -> None:
        """Hands a shard off, or waits for the move that does so already.

        The end of the process, or a second handoff, would cut off its write.
        """
        if shard is not None and self._shard_by_number.get(number) is shard:
            await self._hand_off(number, shard)
            return
        moved = self._handed_off_by_number.get(number)
        if moved is not None:
            await moved.wait()

    def _open_lock(self, number: int) -> asyncio.Lock:
        return self._open_lock_by_number.setdefault(number, asyncio.Lock())

    async def _close_shard(self, number: int, shard: Shard) -> None:
        self._shard_by_number.pop(number, None)
        self._misplaced_since.pop(number, None)
        await shard.close()

    async def open_assigned(self) -> None:
        """Opens the shards assigned to this host without waiting for a call.

        Programs of a dead owner must expire and release engine memory even if
        their callers do not return.
        """
        if self._stopping:
            return
        assigned = [
            number
            for number in range(hashing.SHARD_COUNT)
            if number not in self._shard_by_number
            and self._cluster.owner_of_shard(number) == self._cluster.host
        ]
        for start in range(0, len(assigned), _MAX_CONCURRENT_OPENS):
            batch = assigned[start : start + _MAX_CONCURRENT_OPENS]
            found = await asyncio.gather(
                *(self._find_or_open(n) for n in batch)
            )
            failures = [f.failure() for f in found if isinstance(f, Failed)]
            # Stops at the first sign of an outage; each batch would time out.
            if any(f.kind in _OUTAGE_KINDS for f in failures):
                return
