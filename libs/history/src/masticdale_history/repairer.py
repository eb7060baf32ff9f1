"""Checks the other storage hosts and repairs what they lack."""

import asyncio

from returns.result import Failure as Failed

from masticdale_common import logs
from masticdale_history.checks import CheckedMember, MemberStates
from masticdale_history.messages import (
    CHECK,
    FINISH_REPAIR,
    CheckRequest,
    FinishRepairRequest,
)
from masticdale_history.passes import CopyPass, RepairDependencies
from masticdale_history.placement import Member
from masticdale_history.repair import (
    BATCH_SIZE,
    PassReport,
    RateLimit,
    RepairSchedule,
    RepairView,
    order_entries,
)

CHECK_INTERVAL_S = 1.0
# Interval at which the repairer looks whether a pass is due.
REPAIR_INTERVAL_S = 0.25
_CHECK_TIMEOUT_S = 1.0
# Upper bound of what a host sends, so that turns are not delayed.
_REPAIR_BYTES_PER_S = 4_000_000
# Pause after each batch, in which the event loop serves turns.
_BATCH_PAUSE_S = 0.005


class Repairer:
    """Keeps enough copies of the records of this host on other hosts."""

    def __init__(self, dependencies: RepairDependencies) -> None:
        self._context = dependencies
        self._states = MemberStates(
            dependencies.own().host, dependencies.disk.disk_id
        )
        self._schedule = RepairSchedule()
        self._rate = RateLimit(_REPAIR_BYTES_PER_S)
        self._pass_lock = asyncio.Lock()

    def reachable(self) -> list[CheckedMember]:
        """Returns the other members that answer checks."""
        return self._states.reachable(self._context.now())

    def lost_members(self, retention_s: float) -> list[Member]:
        """Returns the members whose objects this host shall delete.

        Args:
            retention_s: The longest retention of the configuration.
        """
        return self._states.lost(self._context.now(), retention_s)

    async def check_members(self) -> list[CheckedMember]:
        """Checks every other member; returns those that answered now."""
        self._states.update(self._context.members(), self._context.now())
        before = {c.member.host for c in self.reachable()}
        answers = await asyncio.gather(
            *(self._check(member) for member in self._states.all())
        )
        after = {c.member.host for c in self.reachable()}
        if before != after:
            logs.write(
                "history_members_reachable",
                reachable=sorted(after),
                lost=sorted(before - after),
            )
        self._context.metrics.gauge("history_members_reachable", len(after))
        answered = {host for host in answers if host is not None}
        return [c for c in self.reachable() if c.member.host in answered]

    async def repair_if_due(self) -> None:
        """Runs a pass if one is due, and reports finished repairs."""
        is_complete = self._context.is_complete()
        if self._schedule.is_due(self._view(), is_complete):
            report = await self.run_pass()
            self._schedule.record(report, is_complete, self._context.now())
        due = self._schedule.due_finishes(self.reachable(), self._context.now())
        await asyncio.gather(*(self._finish(member) for member in due))

    async def run_pass(self) -> PassReport:
        """Processes all records of this host; returns what was found.

        A member that fails is passed over for the rest of the pass.
        """
        async with self._pass_lock:
            view = self._view()
            # In a thread: 15,000 entries hold up the event loop for 70 ms.
            entries = await asyncio.to_thread(
                order_entries, self._context.disk.entries(), view.own.host
            )
            run = CopyPass(self._context, view, self._rate)
            for start in range(0, len(entries), BATCH_SIZE):
                await run.process(entries[start : start + BATCH_SIZE])
                await self._context.pause(_BATCH_PAUSE_S)
            report = run.report(len(entries))
        self._record(report)
        return report

    async def allows_removal(self, report: PassReport) -> bool:
        """Returns whether a pass proves that the own disk may be removed.

        Checks the members again: a host that has lost its disk during the
        pass, or is itself emptied, does not count.
        """
        if not report.allows_removal:
            return False
        return report.is_still_valid(await self.check_members())

    def _view(self) -> RepairView:
        return RepairView(
            own=self._context.own(),
            others=tuple(self.reachable()),
            copies=self._context.copies,
            at_s=self._context.now(),
        )

    async def _check(self, member: Member) -> str | None:
        request = CheckRequest(self._context.own().host)
        outcome = await self._context.calls.call(
            member, CHECK, request, _CHECK_TIMEOUT_S
        )
        if isinstance(outcome, Failed):
            return None
        reply = outcome.unwrap()
        if self._states.record_answer(member, reply, self._context.now()):
            logs.write(
                "history_disk_seen", member=member.host, disk_id=reply.disk_id
            )
        return member.host

    async def _finish(self, member: Member) -> None:
        request = FinishRepairRequest(self._context.own().host, member.disk_id)
        await self._context.calls.call(
            member, FINISH_REPAIR, request, _CHECK_TIMEOUT_S
        )

    def _record(self, report: PassReport) -> None:
        metrics = self._context.metrics
        metrics.gauge("history_copies_missing", report.missing)
        metrics.gauge("history_turns_short", report.short)
        metrics.count("history_repair_bytes_total", report.sent_bytes)
        logs.write_bounded(
            "history_pass",
            turns=report.turns,
            missing=report.missing,
            short=report.short,
            sent_bytes=report.sent_bytes,
            members=[c.member.host for c in report.view.others],
            duration_s=round(self._context.now() - report.view.at_s, 3),
        )
