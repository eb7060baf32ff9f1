"""Client of the storage hosts: reads and saves the histories of turns."""

import asyncio
import dataclasses
import time
from collections.abc import Callable

from returns.result import Failure as Failed
from returns.result import Result, Success

from masticdale_common import ErrorKind, Failure, Metrics, logs
from masticdale_history.chain_cache import ChainCache
from masticdale_history.decisions import (
    ABSENCE_GRACE_S,
    Answer,
    ChainSearch,
    SavePlan,
    SaveState,
    Verdict,
    describe_answer,
    distinct_disks,
)
from masticdale_history.hedging import HEDGE_DELAY_S, HedgeSteps
from masticdale_history.member_calls import MemberCalls
from masticdale_history.member_clients import ClientFactory
from masticdale_history.member_lists import ListMembers, MemberLists
from masticdale_history.members import MemberDirectory
from masticdale_history.placement import Member, rank_hosts
from masticdale_history.records import (
    Chain,
    TurnKey,
    TurnRecord,
    is_whole_chain,
)


@dataclasses.dataclass(slots=True)
class _Save:
    """A record that is being saved.

    Attributes:
        plan: The hosts that it is sent to.
        record: The record.
        chain: The chain before it.
        answer_by_host: What each host has answered, and the event loop time
            of the answer or, without one, of the call.
        conflict: Set if a host holds another content of the turn.
    """

    plan: SavePlan
    record: TurnRecord
    chain: Chain
    answer_by_host: dict[str, tuple[str, float]] = dataclasses.field(
        default_factory=dict
    )
    conflict: Failure | None = None

    @property
    def is_open(self) -> bool:
        """Whether more answers may change the outcome."""
        is_pending = self.plan.state is SaveState.PENDING
        return is_pending and self.conflict is None


@dataclasses.dataclass(slots=True)
class _Load:
    """A chain that is being looked up.

    Attributes:
        key: Key of its newest turn.
        search: The hosts that are asked and their answers.
        reads: The calls to them.
        chain: The chain, once a host has sent it.
    """

    key: TurnKey
    search: ChainSearch
    reads: list[asyncio.Task[None]] = dataclasses.field(default_factory=list)
    chain: Chain | None = None


def wall_clock_ms() -> int:
    """Returns the wall-clock time in milliseconds."""
    return time.time_ns() // 1_000_000


class HistoryClient:
    """Reads and saves the histories of turns at the storage hosts."""

    def __init__(
        self,
        directory: MemberDirectory,
        failure_domain: str,
        tolerated_losses: int,
        metrics: Metrics,
        create_client: ClientFactory,
        list_members: ListMembers,
        wall_ms: Callable[[], int] = wall_clock_ms,
    ) -> None:
        """Initializes the client.

        Args:
            directory: The storage hosts.
            failure_domain: Failure domain of this host; its storage hosts are
                preferred for reads.
            tolerated_losses: Number of disks that may be lost at once. Each
                record is saved on one disk more.
            metrics: Records loads, saves and reachable hosts.
            create_client: Returns a new RPC client of a storage host.
            list_members: Reads all objects under ``MEMBER_PREFIX`` from the
                platform's store.
            wall_ms: Returns wall-clock milliseconds.
        """
        self._directory = directory
        self._failure_domain = failure_domain
        self._tolerated_losses = tolerated_losses
        self._copies = tolerated_losses + 1
        self._metrics = metrics
        self._wall_ms = wall_ms
        self._calls = MemberCalls(directory, create_client)
        self._lists = MemberLists(list_members)
        self._cache = ChainCache()

    async def load(
        self,
        request_id: str,
        workspace: str,
        turn_id: str,
        session_id: str,
        deadline_at: float,
    ) -> Result[Chain, Failure]:
        """Returns a turn and all turns before it.

        Args:
            request_id: Id of the request that continues the turn, for logs.
            workspace: Workspace of the caller; empty for none.
            turn_id: Id of the turn.
            session_id: Session of the caller, a hint for the holders of the
                chain; may be empty.
            deadline_at: Event loop time at which the load fails, in seconds.

        Returns:
            The chain, or TURN_UNKNOWN if it certainly does not exist in the
            workspace, or HISTORY_UNAVAILABLE.
        """
        key = TurnKey(workspace, turn_id)
        cached = self._cache.get(key, self._wall_ms())
        if cached is not None:
            self._count_load("cache")
            return Success(cached)
        started_at = asyncio.get_running_loop().time()
        load = _Load(key, ChainSearch(self._tolerated_losses))
        # A turn without a session is placed by its own id if it starts a chain.
        await self._ask_near(load, session_id or turn_id, deadline_at)
        if load.chain is not None:
            return self._finish_load("near", load.chain)
        verdict = await self._ask_all(load, deadline_at)
        if load.chain is not None:
            return self._finish_load("asked_all", load.chain)
        is_unknown = verdict is Verdict.UNKNOWN and (
            await self._has_asked_all(load, started_at, deadline_at)
        )
        if load.chain is not None:  # It arrived while the list was read.
            return self._finish_load("asked_all", load.chain)
        outcome = "unknown" if is_unknown else "unavailable"
        self._count_load(outcome)
        now = asyncio.get_running_loop().time()
        logs.write_bounded(
            "history_load_failed",
            request_id=request_id,
            turn_id=turn_id,
            outcome=outcome,
            answers=load.search.describe(now),
            members=len(self._directory.members()),
            is_list_loaded=self._directory.is_loaded,
            took_ms=round(1000 * (now - started_at)),
        )
        kind = (
            ErrorKind.TURN_UNKNOWN
            if is_unknown
            else ErrorKind.HISTORY_UNAVAILABLE
        )
        return Failed(Failure(kind, f"turn {turn_id}"))

    def check_room(self) -> Failure | None:
        """Returns HISTORY_UNAVAILABLE if a turn could not be saved now.

        Decides by the last answers of the storage hosts, without I/O. A host
        that has not answered yet counts as reachable, but not as having room.
        """
        now = asyncio.get_running_loop().time()
        hosts = distinct_disks(
            m for m in self._directory.members() if not m.is_emptying
        )
        reachable = sum(self._calls.states.is_reachable(m, now) for m in hosts)
        self._metrics.gauge("history_reachable_hosts", reachable)
        with_room = sum(self._calls.states.has_room(m, now) for m in hosts)
        if with_room >= self._copies:
            return None
        detail = f"{with_room} of {self._copies} storage hosts take turns"
        return Failure(ErrorKind.HISTORY_UNAVAILABLE, detail)

    @property
    def is_cut_off(self) -> bool:
        """Whether storage hosts are listed and none of them answers."""
        return self._calls.is_cut_off

    async def save(
        self,
        request_id: str,
        record: TurnRecord,
        chain: Chain,
        deadline_at: float,
    ) -> Result[None, Failure]:
        """Saves a turn; returns when enough hosts have synced it.

        After the return, hosts that were slow may still receive the record,
        for up to the timeout of their calls.

        Args:
            request_id: Id of the request that ran the turn, for logs.
            record: The turn.
            chain: The chain before it.
            deadline_at: Event loop time at which the save fails, in seconds.

        Returns:
            None, or HISTORY_UNAVAILABLE at the deadline or if too few hosts
            are left, or CONFLICT if a host holds another content of the turn.
        """
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        ranked = rank_hosts(record.chain_key, self._directory.members())
        candidates = self._calls.states.order_for_write(ranked, started_at)
        save = _Save(SavePlan(candidates, self._copies), record, chain)
        await self._run_save(save, deadline_at)
        now = loop.time()
        if save.plan.state is SaveState.SYNCED and save.conflict is None:
            self._cache.put(chain.with_turn(record))
            self._metrics.count("history_saves_total", outcome="synced")
            self._metrics.observe("history_save_seconds", now - started_at)
            return Success(None)
        failure = save.conflict or Failure(
            ErrorKind.HISTORY_UNAVAILABLE, f"turn {record.turn_id} is not saved"
        )
        self._metrics.count(
            "history_saves_total",
            outcome="conflict" if save.conflict else "unavailable",
        )
        logs.write_bounded(
            "history_save_failed",
            request_id=request_id,
            turn_id=record.turn_id,
            outcome=str(failure),
            answers=[
                describe_answer(host, answer, now - at)
                for host, (answer, at) in save.answer_by_host.items()
            ],
            candidates=len(candidates),
            took_ms=round(1000 * (now - started_at)),
        )
        return Failed(failure)

    def close_idle(self) -> None:
        """Closes the connections that were idle for too long."""
        self._calls.close_idle()

    async def close(self) -> None:
        """Ends late calls and closes all connections."""
        await self._lists.close()
        await self._calls.close()

    def _finish_load(
        self, outcome: str, chain: Chain
    ) -> Result[Chain, Failure]:
        self._count_load(outcome)
        self._cache.put(chain)
        return Success(chain)

    def _count_load(self, outcome: str) -> None:
        self._metrics.count("history_loads_total", outcome=outcome)

    async def _ask_near(
        self, load: _Load, hint: str, deadline_at: float
    ) -> None:
        """Asks the holder that most likely has the chain and is nearest."""
        now = asyncio.get_running_loop().time()
        ranked = rank_hosts(hint, self._directory.members())
        near = self._calls.states.choose_near(
            ranked, self._copies, self._failure_domain, now
        )
        if near is None or now >= deadline_at:
            return
        timeout_s = min(HEDGE_DELAY_S, deadline_at - now)
        self._start_read(load, near)
        await asyncio.wait(load.reads, timeout=timeout_s)

    async def _ask_all(self, load: _Load, deadline_at: float) -> Verdict | None:
        """Asks all other members; returns None at the deadline."""
        loop = asyncio.get_running_loop()
        if loop.time() >= deadline_at:
            return None
        for member in self._directory.members():
            if not load.search.is_asked(member):
                self._start_read(load, member)
        while loop.time() < deadline_at:
            # No absence is certain while members may be missing from the list.
            is_loaded = self._directory.is_loaded
            members = self._directory.members() if is_loaded else []
            verdict = load.search.decide(members, loop.time())
            awaited = [read for read in load.reads if not read.done()]
            if verdict is not None or not awaited:
                return verdict
            await asyncio.wait(
                awaited,
                timeout=min(ABSENCE_GRACE_S, deadline_at - loop.time()),
                return_when=asyncio.FIRST_COMPLETED,
            )
        return None

    async def _has_asked_all(
        self, load: _Load, began_at: float, deadline_at: float
    ) -> bool:
        """Returns whether the store lists no member that was not asked.

        The watch of the list may be behind: a storage host that it does not
        show yet may hold the turn.
        """
        outcome = await self._lists.read(began_at, deadline_at)
        if isinstance(outcome, Failed):
            return False
        return load.search.has_asked_all(outcome.unwrap())

    def _start_read(self, load: _Load, member: Member) -> None:
        load.search.ask(member, asyncio.get_running_loop().time())
        load.reads.append(self._calls.start(self._read(load, member)))

    async def _read(self, load: _Load, member: Member) -> None:
        outcome = await self._calls.read_chain(member, load.key)
        now = asyncio.get_running_loop().time()
        if isinstance(outcome, Failed):
            is_silent = outcome.failure().kind is ErrorKind.PEER_UNAVAILABLE
            answer = Answer.NONE if is_silent else Answer.FAILED
            load.search.set_answer(member, answer, now)
            return
        reply = outcome.unwrap()
        if not reply.records:
            answer = Answer.ABSENT if reply.is_complete else Answer.INCOMPLETE
            load.search.set_answer(member, answer, now)
            return
        if not is_whole_chain(reply.records, load.key):
            load.search.set_answer(member, Answer.FAILED, now)
            return
        load.search.set_answer(member, Answer.FOUND, now)
        load.chain = load.chain or Chain(reply.records)

    async def _run_save(self, save: _Save, deadline_at: float) -> None:
        """Sends the record to hosts until it is saved or has failed."""
        loop = asyncio.get_running_loop()
        sends: list[asyncio.Task[None]] = []
        steps = HedgeSteps()
        while save.is_open and loop.time() < deadline_at:
            now = loop.time()
            for member in save.plan.take_targets():
                sends.append(self._calls.start(self._send(save, member)))
                save.answer_by_host[member.host] = ("awaited", now)
                steps.add(member.host, now)
            pending = [send for send in sends if not send.done()]
            if not pending:
                return
            wake_at = min(steps.wake_at(save.plan.awaited), deadline_at)
            await asyncio.wait(
                pending,
                timeout=max(0.0, wake_at - now),
                return_when=asyncio.FIRST_COMPLETED,
            )
            overdue = steps.step(save.plan.awaited, loop.time())
            if overdue is not None:
                save.plan.set_overdue(overdue)

    async def _send(self, save: _Save, member: Member) -> None:
        outcome = await self._calls.append_turns(member, (save.record,))
        if save.chain.records and _is_missing_previous(outcome):
            records = (*save.chain.records, save.record)
            outcome = await self._calls.append_turns(member, records)
        now = asyncio.get_running_loop().time()
        if not isinstance(outcome, Failed):
            save.answer_by_host[member.host] = ("synced", now)
            save.plan.set_synced(member.host)
            return
        failure = outcome.failure()
        save.answer_by_host[member.host] = (failure.kind.value, now)
        save.plan.set_failed(member.host)
        if failure.kind is ErrorKind.CONFLICT:
            save.conflict = failure


def _is_missing_previous(outcome: Result[None, Failure]) -> bool:
    return isinstance(outcome, Failed) and (
        outcome.failure().kind is ErrorKind.MISSING_PREVIOUS
    )
