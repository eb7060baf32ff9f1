"""Serves the ledger calls of other hosts."""

import time
from collections.abc import Callable

from returns.result import Failure as Failed

from masticdale_gateway.calls import AdmissionClaim
from masticdale_ledger.admissions import Admissions
from masticdale_ledger.arbiter import Arbiter
from masticdale_ledger.crash_notices import CrashNotices
from masticdale_ledger.failover import StandbyFailover
from masticdale_ledger.hosts import LiveHosts
from masticdale_ledger.messages import (
    AdmitReply,
    AdmitRequest,
    AppointReply,
    AppointRequest,
    CopyReply,
    CopyRequest,
    CrashNoticeReply,
    CrashNoticeRequest,
    DecideReply,
    DecideRequest,
    FindStreamReply,
    FindStreamRequest,
    HandOver,
    HandOverReply,
    NoteStreamsReply,
    NoteStreamsRequest,
    SealReply,
    SealRequest,
    SettleReply,
    SettleRequest,
    StoreReply,
    StoreRequest,
)
from masticdale_ledger.owner import ShardOwner
from masticdale_ledger.peer_store import serve_store
from masticdale_ledger.reconciler import ShardReconciler
from masticdale_ledger.shared_watches import SharedWatches
from masticdale_ledger.standby import StandbyCopies
from masticdale_ledger.stream_origins import SharedOrigins
from masticdale_platform import ObjectStore
from masticdale_routing.assignments import TurnPrompt
from masticdale_routing.failures import ReplicaFailures
from masticdale_workspaces import UsageCap, UsageClaim


class LedgerService:
    """Handlers of the contract ``LEDGER``, one method for each call."""

    def __init__(
        self,
        owner: ShardOwner,
        reconciler: ShardReconciler,
        failover: StandbyFailover,
        copies: StandbyCopies,
        direct_store: ObjectStore,
        live_hosts: LiveHosts,
        shared_watches: SharedWatches | None,
        can_relay: Callable[[], bool],
        replica_failures: ReplicaFailures | None = None,
        crash_notices: CrashNotices | None = None,
        stream_origins: SharedOrigins | None = None,
    ) -> None:
        """Creates the handlers.

        Args:
            owner: The shards that this host owns.
            reconciler: Takes over shards that are handed over.
            failover: Takes over shards whose owner is lost.
            copies: The copies that this host holds as a standby.
            direct_store: The store itself, for relayed calls.
            live_hosts: Records which hosts call.
            shared_watches: This host's watches; None if it has none to share.
            can_relay: Returns whether the store answers this host.
            replica_failures: Failures of replicas to pass on to other hosts.
            crash_notices: Receives reports of crashes; None to ignore them.
            stream_origins: Remembers where streams began; None to ignore them.
        """
        self._stream_origins = stream_origins
        self._crash_notices = crash_notices
        self._replica_failures = replica_failures or ReplicaFailures()
        self._can_relay = can_relay
        self._failover = failover
        self._arbiter = Arbiter()
        self._admissions = Admissions(owner, failover)
        self._copies = copies
        self._owner = owner
        self._reconciler = reconciler
        self._direct_store = direct_store
        self._live_hosts = live_hosts
        self._shared_watches = shared_watches

    async def admit(self, request: AdmitRequest) -> AdmitReply:
        """Admits a request of a shard that this host owns or acts for."""
        if request.asker_stops:
            self._live_hosts.remove(request.asker)
        else:
            self._live_hosts.record_request(request.asker)
        claim = _claim(request)
        outcome = await self._admissions.admit(request.shard, claim)
        if isinstance(outcome, Failed):
            return AdmitReply(outcome.failure())
        replica_id = ""
        if claim.is_turn:
            replica_id = self._owner.assign_replica(request.shard, claim)
        failures = self._replica_failures.reports(time.monotonic())
        return AdmitReply(replica_id=replica_id, replica_failures=failures)

    async def settle(self, request: SettleRequest) -> SettleReply:
        """Settles turns; returns the shards that another host owns."""
        self._replica_failures.merge(request.replica_failures, time.monotonic())
        others = {
            settlement.shard
            for settlement in request.settlements
            if not self._owner.settle(settlement)
        }
        return SettleReply(tuple(sorted(others)))

    async def hand_over(self, request: HandOver) -> HandOverReply:
        """Takes over a shard from its stopping owner."""
        return await self._reconciler.accept(request)

    async def copy(self, request: CopyRequest) -> CopyReply:
        """Stores accounts of a shard for which this host is standby."""
        return self._copies.put(request)

    async def seal(self, request: SealRequest) -> SealReply:
        """Seals the copy of a shard, which fences its owner."""
        return self._failover.seal(request)

    async def appoint(self, request: AppointRequest) -> AppointReply:
        """Appoints this host the arbiter of an owner and its standby."""
        return self._arbiter.appoint(request)

    async def decide(self, request: DecideRequest) -> DecideReply:
        """Decides for the side that asks first."""
        return self._arbiter.decide(request)

    async def notify_crashes(
        self, request: CrashNoticeRequest
    ) -> CrashNoticeReply:
        """Learns which requests have ended replicas at other hosts."""
        if self._crash_notices is None:
            return CrashNoticeReply()
        return self._crash_notices.receive(request)

    async def note_streams(
        self, request: NoteStreamsRequest
    ) -> NoteStreamsReply:
        """Remembers where streams of other hosts began."""
        if self._stream_origins is None:
            return NoteStreamsReply()
        return self._stream_origins.receive(request)

    async def find_stream(self, request: FindStreamRequest) -> FindStreamReply:
        """Tells where a stream began, as far as this host knows."""
        if self._stream_origins is None:
            return FindStreamReply()
        return self._stream_origins.answer(request)

    async def store(self, request: StoreRequest) -> StoreReply:
        """Makes a store call for a host that can't reach the store."""
        return await serve_store(
            self._direct_store,
            request,
            self._shared_watches,
            can_relay=self._can_relay(),
        )


def _claim(request: AdmitRequest) -> AdmissionClaim:
    usage = None
    if request.cap_rate_per_s > 0:
        cap = UsageCap(request.cap_rate_per_s, request.cap_burst)
        usage = UsageClaim(request.workspace, cap, request.cap_version)
    return AdmissionClaim(
        program_id=request.program_id,
        request_id=request.request_id,
        budget_tokens=request.budget_tokens,
        turn_tokens=request.turn_tokens,
        prompt=TurnPrompt(request.service_name, request.prefix_key),
        workspace=request.workspace,
        usage=usage,
        is_turn=not request.is_call,
    )
