"""The RPCs that a storage host serves, over its disk."""

import asyncio

from returns.result import Failure as Failed

from masticdale_common import ErrorKind, Failure, MasticdaleError, Metrics, logs
from masticdale_history.completeness import Completeness
from masticdale_history.interfaces import TurnDisk
from masticdale_history.messages import (
    AppendTurnsReply,
    AppendTurnsRequest,
    CheckReply,
    CheckRequest,
    FinishRepairReply,
    FinishRepairRequest,
    OfferTurnsReply,
    OfferTurnsRequest,
    ReadChainReply,
    ReadChainRequest,
)

_EMPTYING = Failure(ErrorKind.HISTORY_UNAVAILABLE, "the host is emptied")
_DISK_FAILED = Failure(ErrorKind.INTERNAL, "the disk has failed")


class HistoryService:
    """Handler of the contract ``HISTORY``."""

    def __init__(
        self,
        disk: TurnDisk,
        completeness: Completeness,
        metrics: Metrics,
        *,
        is_emptying: bool = False,
    ) -> None:
        """Creates a service.

        Args:
            disk: The records of this host.
            completeness: Whether the disk has lost no record.
            metrics: Receives counts of calls.
            is_emptying: Whether no records are accepted from the start on.
        """
        self._disk = disk
        self._completeness = completeness
        self._metrics = metrics
        self._is_emptying = is_emptying
        self._running_appends = 0
        self._no_appends = asyncio.Event()
        self._no_appends.set()

    @property
    def is_emptying(self) -> bool:
        """Whether the host is about to be removed and takes no records."""
        return self._is_emptying

    async def stop_appends(self) -> None:
        """Refuses records from now on.

        Returns when the appends that are in progress have ended, so that the
        entries of the disk include all that were ever acknowledged.
        """
        self._is_emptying = True
        await self._no_appends.wait()

    def allow_appends(self) -> None:
        """Accepts records again."""
        self._is_emptying = False

    async def append_turns(
        self, request: AppendTurnsRequest
    ) -> AppendTurnsReply:
        """Adds turns and syncs them, unless the host is being emptied."""
        if self._is_emptying:
            return self._refuse_append(_EMPTYING)
        self._running_appends += 1
        self._no_appends.clear()
        try:
            outcome = await self._disk.append(request.records)
        finally:
            self._running_appends -= 1
            if not self._running_appends:
                self._no_appends.set()
        if isinstance(outcome, Failed):
            return self._refuse_append(outcome.failure())
        self._metrics.count("history_turns_added_total", len(request.records))
        return AppendTurnsReply()

    async def read_chain(self, request: ReadChainRequest) -> ReadChainReply:
        """Returns a chain, and whether its absence is certain."""
        # Before the lookup: a record that arrives after it may be the last one
        # that the disk lacked.
        is_complete = self._completeness.is_complete
        try:
            chain = await self._disk.read_chain(
                request.workspace, request.turn_id
            )
        except MasticdaleError as error:
            return ReadChainReply(error.failure)
        if chain is None:
            return ReadChainReply(is_complete=is_complete)
        return ReadChainReply(records=chain.records, is_complete=is_complete)

    async def offer_turns(self, request: OfferTurnsRequest) -> OfferTurnsReply:
        """Returns which of the offered turns this disk lacks.

        A host that is about to be removed, or whose disk has failed, counts
        for no copy.
        """
        if self._is_emptying:
            return OfferTurnsReply(_EMPTYING)
        if self._disk.has_failed:
            return OfferTurnsReply(_DISK_FAILED)
        missing = tuple(
            index
            for index, key in enumerate(request.keys)
            if not self._disk.holds(key.workspace, key.turn_id)
        )
        return OfferTurnsReply(missing=missing)

    async def finish_repair(
        self, request: FinishRepairRequest
    ) -> FinishRepairReply:
        """Records that another host has copied all that this disk lacks."""
        is_new = request.host not in self._completeness.finished_hosts
        is_own = self._completeness.record_finish(request.host, request.disk_id)
        if is_new:
            logs.write_bounded(
                "history_repair_finished",
                by=request.host,
                disk_id=request.disk_id,
                counts=is_own,
            )
        return FinishRepairReply()

    async def check(self, request: CheckRequest) -> CheckReply:
        """Returns the state of this host."""
        del request
        return CheckReply(
            disk_id=self._disk.disk_id,
            is_complete=self._completeness.is_complete,
            is_full=self._disk.is_full or self._disk.has_failed,
            is_emptying=self._is_emptying,
        )

    def _refuse_append(self, failure: Failure) -> AppendTurnsReply:
        self._metrics.count(
            "history_appends_refused_total", kind=failure.kind.value
        )
        # The writer sends the chain next; this is part of normal operation.
        if failure.kind is not ErrorKind.MISSING_PREVIOUS:
            logs.write_bounded("history_append_refused", reason=str(failure))
        return AppendTurnsReply(failure)
