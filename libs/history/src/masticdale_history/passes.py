"""One pass of the repair: offers records and sends missing copies."""

import asyncio
import dataclasses
import time
from collections.abc import Awaitable, Callable, Collection, Iterable, Sequence
from typing import Protocol

from returns.result import Failure as Failed
from returns.result import Result

from masticdale_common import ErrorKind, Failure, MasticdaleError, Metrics, logs
from masticdale_history.interfaces import Entry, TurnDisk
from masticdale_history.messages import (
    APPEND_TURNS,
    OFFER_TURNS,
    AppendTurnsReply,
    AppendTurnsRequest,
    OfferTurnsRequest,
)
from masticdale_history.placement import Member
from masticdale_history.records import Chain, TurnKey, TurnRecord
from masticdale_history.repair import (
    CopyPlan,
    PassReport,
    RateLimit,
    RepairView,
    find_tips,
)
from masticdale_rpc import Rpc
from masticdale_rpc.contracts import ReplyT, RequestT

_OFFER_TIMEOUT_S = 1.0
# A chain of 8 MiB, to a host that is slow by a factor of 7, takes 2 s.
_SEND_TIMEOUT_S = 3.0


class MemberCalls(Protocol):
    """Calls to the other storage hosts."""

    async def call(
        self,
        member: Member,
        rpc: Rpc[RequestT, ReplyT],
        request: RequestT,
        timeout_s: float,
    ) -> Result[ReplyT, Failure]:
        """Makes one call; see ``RpcClient.call``."""
        ...


@dataclasses.dataclass(frozen=True, slots=True)
class RepairDependencies:
    """What a repairer works with.

    Attributes:
        own: Returns this host as a member.
        disk: The records of this host.
        members: Returns the listed members.
        is_complete: Returns whether the own disk is complete.
        copies: Number of hosts that must hold each record.
        calls: Calls the members.
        metrics: Receives the number of missing copies and the bytes sent.
        now: Returns monotonic seconds.
        wall_ms: Returns wall-clock milliseconds.
        pause: Sleeps for a number of seconds.
    """

    own: Callable[[], Member]
    disk: TurnDisk
    members: Callable[[], Iterable[Member]]
    is_complete: Callable[[], bool]
    copies: int
    calls: MemberCalls
    metrics: Metrics
    now: Callable[[], float] = time.monotonic
    wall_ms: Callable[[], int] = lambda: time.time_ns() // 1_000_000
    pause: Callable[[float], Awaitable[None]] = asyncio.sleep


class CopyPass:
    """One pass over the records of this host."""

    def __init__(
        self, context: RepairDependencies, view: RepairView, rate: RateLimit
    ) -> None:
        self._context = context
        self._view = view
        self._rate = rate
        self._member_by_host = {c.member.host: c.member for c in view.others}
        self._failed_hosts: set[str] = set()
        self._full_hosts: set[str] = set()
        self._relied_on: set[str] = set()
        self._missing = 0
        self._short = 0
        self._sent_bytes = 0

    async def process(self, entries: Sequence[Entry]) -> None:
        """Makes sure that enough hosts hold some of the turns."""
        plan = CopyPlan(entries, self._view)
        while entries_by_host := plan.next_offers():
            await asyncio.gather(
                *(
                    self._offer(plan, self._member_by_host[host], offered)
                    for host, offered in entries_by_host.items()
                )
            )
        self._short += len(plan.short())

    def report(self, turns: int) -> PassReport:
        """Returns the result."""
        return PassReport(
            view=self._view,
            turns=turns,
            missing=self._missing,
            short=self._short,
            sent_bytes=self._sent_bytes,
            relied_on=frozenset(self._relied_on),
        )

    async def _offer(
        self, plan: CopyPlan, member: Member, offered: list[Entry]
    ) -> None:
        missing = await self._find_missing(member, offered)
        for entry in offered:
            if missing is None:
                plan.refuse(member.host, entry.key)
            elif entry.key not in missing:
                self._relied_on.add(member.host)
                plan.confirm(member.host, entry.key)
        if missing:
            self._missing += len(missing)
            await self._send(
                plan, member, [e for e in offered if e.key in missing]
            )

    async def _find_missing(
        self, member: Member, offered: list[Entry]
    ) -> set[TurnKey] | None:
        """Returns the turns that a host lacks; None if it does not answer."""
        if member.host in self._failed_hosts:
            return None
        request = OfferTurnsRequest(
            self._view.own.host, tuple(entry.key for entry in offered)
        )
        outcome = await self._context.calls.call(
            member, OFFER_TURNS, request, _OFFER_TIMEOUT_S
        )
        if isinstance(outcome, Failed):
            self._fail(member, outcome.failure())
            return None
        reply = outcome.unwrap()
        if reply.failure is not None:
            self._fail(member, reply.failure)
            return None
        count = len(offered)
        return {offered[i].key for i in reply.missing if 0 <= i < count}

    async def _send(
        self, plan: CopyPlan, member: Member, entries: list[Entry]
    ) -> None:
        wanted = {entry.key: entry for entry in entries}
        while wanted:
            # A turn whose continuation has expired meanwhile is a tip next.
            for tip in find_tips(wanted.values()):
                await self._send_tip(plan, member, tip, wanted)

    async def _send_tip(
        self,
        plan: CopyPlan,
        member: Member,
        tip: Entry,
        wanted: dict[TurnKey, Entry],
    ) -> None:
        """Sends a turn with what its host lacks of the turns before it."""
        if member.host in self._failed_hosts | self._full_hosts:
            plan.refuse(member.host, tip.key)
            del wanted[tip.key]
            return
        chain = await self._read(tip)
        if chain is None:
            self._settle_unread(plan, member, tip)
            del wanted[tip.key]
            return
        if not await self._send_chain(member, chain, wanted):
            plan.refuse(member.host, tip.key)
            del wanted[tip.key]
            return
        self._relied_on.add(member.host)
        for record in chain.records:
            if wanted.pop(record.key, None) is not None:
                plan.confirm(member.host, record.key)

    async def _read(self, tip: Entry) -> Chain | None:
        try:
            return await self._context.disk.read_chain(
                tip.key.workspace, tip.key.turn_id
            )
        except MasticdaleError:
            return None

    def _settle_unread(
        self, plan: CopyPlan, member: Member, tip: Entry
    ) -> None:
        if tip.expires_at_ms <= self._context.wall_ms():
            plan.drop(tip.key)
            return
        logs.write_bounded("history_turn_unreadable", turn=tip.key.turn_id)
        plan.refuse(member.host, tip.key)

    async def _send_chain(
        self, member: Member, chain: Chain, wanted: Collection[TurnKey]
    ) -> bool:
        """Sends what a host lacks of a chain; returns whether it took it."""
        records = chain.records
        first = next(i for i, r in enumerate(records) if r.key in wanted)
        failure = await self._append(member, records[first:])
        if failure is not None and (failure.kind is ErrorKind.MISSING_PREVIOUS):
            failure = await self._append(member, records)
        if failure is None:
            return True
        logs.write_bounded(
            "history_copy_refused", member=member.host, reason=str(failure)
        )
        if failure.kind is ErrorKind.STORE_FULL:
            # What it holds still counts.
            self._full_hosts.add(member.host)
        elif failure.kind is not ErrorKind.CONFLICT:
            self._fail(member, failure)
        return False

    async def _append(
        self, member: Member, records: Sequence[TurnRecord]
    ) -> Failure | None:
        size = sum(len(r.input) + len(r.output) for r in records)
        await self._context.pause(self._rate.reserve(size, self._context.now()))
        outcome = await self._context.calls.call(
            member,
            APPEND_TURNS,
            AppendTurnsRequest(tuple(records)),
            _SEND_TIMEOUT_S,
        )
        if isinstance(outcome, Failed):
            failure: Failure = outcome.failure()
            return failure
        reply: AppendTurnsReply = outcome.unwrap()
        if reply.failure is None:
            self._sent_bytes += size
        return reply.failure

    def _fail(self, member: Member, failure: Failure) -> None:
        if member.host in self._failed_hosts:
            return
        self._failed_hosts.add(member.host)
        logs.write_bounded(
            "history_member_passed_over",
            member=member.host,
            reason=str(failure),
        )
