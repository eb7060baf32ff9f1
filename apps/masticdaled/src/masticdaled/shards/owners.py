"""The program shards that this host owns: taken over, served, handed over."""

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
from masticdale_config import ConfigInForce, RenderedConfig, RenderedProgram
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

_PATIENCE_S = 3.0
_OPEN_AT_ONCE = 8
_OUTAGE_KINDS = frozenset(
    {ErrorKind.PLATFORM_UNAVAILABLE, ErrorKind.WRITE_UNKNOWN}
)


def render_kind(program: RenderedProgram, revision: int) -> ProgramKind:
    """Returns what a program keeps of its declaration, and its budget."""
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
    """Returns a program kind in force, or None where it is not declared."""
    workspace = config.workspace_by_name.get(workspace_name)
    if workspace is None:
        return None
    program = workspace.program_by_name.get(kind_name)
    if program is None:
        return None
    return render_kind(program, config.revision)


@dataclasses.dataclass(frozen=True, slots=True)
class OwnedProgram:
    """A program and the shard that holds it here."""

    number: int
    shard: Shard
    program: Program


def _is_not_found(outcome: Result[OperationResult, Failure]) -> bool:
    if isinstance(outcome, Success):
        return False
    return outcome.failure().kind is ErrorKind.NOT_FOUND


class Owners:
    """Opens shards on demand and hands them over when they belong elsewhere."""

    def __init__(
        self,
        cluster: Cluster,
        store: ObjectStore,
        executor: Executor,
        in_force: ConfigInForce,
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
        self._opening_by_number: dict[int, asyncio.Lock] = {}
        self._misplaced_since: dict[int, float] = {}
        self._stopping = False
        self._created_at = time.monotonic()
        self._ownership = OwnershipChecks()

    async def submit(
        self, operation: Operation, caller: Caller
    ) -> Result[OperationResult, Failure]:
        """Runs or accepts an operation on a program owned here.

        Returns:
            NOT_OWNER, with the host to ask instead, where this is not it.
        """
        number = hashing.shard_of(operation.program_id)
        if self._is_handing_over(number):
            return Failed(self._not_owner(number))
        found = await self._find(number)
        if isinstance(found, Failed):
            return Failed(found.failure())
        shard = found.unwrap()
        ownership = await self._ownership.check(shard)
        if ownership is Ownership.LOST:
            return Failed(self._not_owner(number))
        outcome = await shard.submit(operation, caller)
        if ownership is Ownership.UNSURE and _is_not_found(outcome):
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
        """Follows an answer; see ``Shard.read``."""
        number = hashing.shard_of(key.program_id)
        shard = self._shard_by_number.get(number)
        if shard is None or not shard.is_owned:
            return Failed(self._not_owner(number))
        return await shard.read(key, workspace, attempt, offset, wait_s)

    async def gone_ids(self, program_ids: tuple[str, ...]) -> tuple[str, ...]:
        """Returns which of the programs have ended or never existed here.

        Programs of shards that this host cannot serve now are not named.
        """
        gone: list[str] = []
        for program_id in program_ids:
            found = await self._find(hashing.shard_of(program_id))
            if isinstance(found, Failed):
                continue
            ownership = await self._ownership.check(found.unwrap())
            if ownership is not Ownership.HELD:
                continue
            program = found.unwrap().state.program_by_id.get(program_id)
            if program is None or program.end_reason is not None:
                gone.append(program_id)
        return tuple(gone)

    def programs(self) -> Iterator[OwnedProgram]:
        """Returns every program owned here."""
        for number, shard in self._shard_by_number.items():
            if not shard.is_owned:
                continue
            for program in shard.state.program_by_id.values():
                yield OwnedProgram(number, shard, program)

    async def find_program(
        self, program_id: str
    ) -> Result[OwnedProgram, Failure]:
        """Returns one program; NOT_FOUND, or NOT_OWNER with its host."""
        number = hashing.shard_of(program_id)
        found = await self._find(number)
        if isinstance(found, Failed):
            return Failed(found.failure())
        shard = found.unwrap()
        program = shard.state.program_by_id.get(program_id)
        if program is None:
            return Failed(Failure(ErrorKind.NOT_FOUND, program_id))
        return Success(OwnedProgram(number, shard, program))

    async def check_heads(self) -> None:
        """Gives up shards that were taken over while this host stood still.

        Until its next commit fails, a host that was paused past its lease
        would go on accepting calls that can never be committed.
        """
        shards = self.held_shards()
        await asyncio.gather(*(shard.check_ownership() for shard in shards))

    def held_shards(self) -> tuple[Shard, ...]:
        """Returns the shards this host holds now."""
        return tuple(s for s in self._shard_by_number.values() if s.is_owned)

    async def tick(self) -> None:
        """Sweeps shards and hands over those that belong elsewhere."""
        for number, shard in list(self._shard_by_number.items()):
            if not shard.is_owned:
                await self._drop(number, shard)
                continue
            await shard.sweep()
            await self._rebalance(number, shard)
        self._ownership.renew(self.held_shards())
        self._metrics.gauge("shards_held", len(self._shard_by_number))

    async def stop(self, finish_s: float) -> None:
        """Hands every shard over; calls in flight are finished first."""
        self._stopping = True
        await asyncio.gather(
            *(
                self._finish_and_hand_over(number, shard, finish_s)
                for number, shard in list(self._shard_by_number.items())
            )
        )

    async def force(self, number: int) -> Result[Shard, Failure]:
        """Takes a shard over, whoever holds it."""
        lock = self._opening_by_number.setdefault(number, asyncio.Lock())
        async with lock:
            return await self._take(number, forced=True)

    def dump(self) -> JsonValue:
        """Returns the shards' states."""
        return {
            str(number): shard.describe()
            for number, shard in sorted(self._shard_by_number.items())
        }

    async def _find(self, number: int) -> Result[Shard, Failure]:
        shard = self._shard_by_number.get(number)
        if shard is not None and shard.is_owned:
            return Success(shard)
        lock = self._opening_by_number.setdefault(number, asyncio.Lock())
        async with lock:
            shard = self._shard_by_number.get(number)
            if shard is not None and shard.is_owned:
                return Success(shard)
            return await self._open(number)

    async def _open(self, number: int) -> Result[Shard, Failure]:
        refused = await self._refuse_to_open(number)
        if refused is not None:
            return Failed(refused)
        return await self._take(number)

    async def _take(
        self, number: int, forced: bool = False
    ) -> Result[Shard, Failure]:
        earlier = self._shard_by_number.get(number)
        if earlier is not None:
            await self._drop(number, earlier)
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
        self._ownership.opened(number, started)
        logs.write(
            "shard_opened",
            shard=number,
            epoch=shard.epoch,
            programs=len(shard.state.program_by_id),
            seconds=round(time.monotonic() - started, 3),
        )
        return opened

    async def _refuse_to_open(self, number: int) -> Failure | None:
        """Returns why this host should not take a shard over now.

        Taking it from a live owner would be safe, since that owner's next
        commit fails, but every call it has in flight would be run again.
        """
        if self._stopping:
            return self._not_owner(number)
        if self._cluster.owner_of_shard(number) != self._cluster.host:
            return self._not_owner(number)
        head = await read_head(self._store, number)
        if isinstance(head, Failed):
            failure: Failure = head.failure()
            return failure
        found = head.unwrap()
        if found is None or found.released:
            return None
        if found.owner == self._cluster.host:
            return None
        held = Failure(ErrorKind.NOT_OWNER, f"shard {number}", host=found.owner)
        for member in self._cluster.membership.members():
            if member.name != found.owner:
                continue
            is_same = found.writer.startswith(member.heartbeat.incarnation)
            return held if is_same else None
        # A host that has just started may not have heard from a live owner
        # yet. Taken over without its lease's end, that owner would answer
        # from memory, which it renews on the strength of that lease.
        age_s = time.monotonic() - self._created_at
        return held if age_s < MembershipLimits().lease_s else None

    def _not_owner(self, number: int) -> Failure:
        host = self._cluster.owner_of_shard(number)
        hint = "" if host == self._cluster.host else host
        return Failure(ErrorKind.NOT_OWNER, f"shard {number}", host=hint)

    def _is_handing_over(self, number: int) -> bool:
        if self._stopping:
            return True
        since = self._misplaced_since.get(number)
        return since is not None and time.monotonic() - since > _PATIENCE_S

    async def _rebalance(self, number: int, shard: Shard) -> None:
        if self._cluster.owner_of_shard(number) == self._cluster.host:
            self._misplaced_since.pop(number, None)
            return
        self._misplaced_since.setdefault(number, time.monotonic())
        # A shard that is never idle would never move: after a while new
        # calls are refused with the new owner's name until it is.
        if shard.in_flight == 0:
            await self._hand_over(number, shard)

    async def _hand_over(self, number: int, shard: Shard) -> None:
        self._shard_by_number.pop(number, None)
        self._misplaced_since.pop(number, None)
        await shard.hand_off()
        await shard.close()
        logs.write("shard_handed_over", shard=number)

    async def _finish_and_hand_over(
        self, number: int, shard: Shard, finish_s: float
    ) -> None:
        deadline = time.monotonic() + finish_s
        while shard.in_flight and time.monotonic() < deadline:
            await asyncio.sleep(0.02)
        await self._hand_over(number, shard)

    async def _drop(self, number: int, shard: Shard) -> None:
        self._shard_by_number.pop(number, None)
        self._misplaced_since.pop(number, None)
        await shard.close()

    async def take_misplaced(self) -> None:
        """Opens shards that belong here, so that nothing waits for a caller.

        Programs of a dead owner expire, and owe releases of engine memory,
        also when their callers never come back.
        """
        if self._stopping:
            return
        mine = [
            number
            for number in range(hashing.SHARD_COUNT)
            if number not in self._shard_by_number
            and self._cluster.owner_of_shard(number) == self._cluster.host
        ]
        for start in range(0, len(mine), _OPEN_AT_ONCE):
            batch = mine[start : start + _OPEN_AT_ONCE]
            found = await asyncio.gather(*(self._find(n) for n in batch))
            failures = [f.failure() for f in found if isinstance(f, Failed)]
            # One round of timeouts is enough to learn of an outage.
            if any(f.kind in _OUTAGE_KINDS for f in failures):
                return
