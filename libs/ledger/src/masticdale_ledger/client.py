"""Client of the ledger: sends calls to the owner of a program's shard."""

import asyncio
import collections
import dataclasses
import functools
from collections.abc import Awaitable, Callable, Coroutine

from returns.result import Failure as Failed
from returns.result import Result, Success

from masticdale_common import ErrorKind, Failure, Metrics, hashing, logs
from masticdale_gateway.calls import Admission, AdmissionClaim
from masticdale_ledger.messages import (
    ADMIT,
    SETTLE,
    AdmitReply,
    AdmitRequest,
    HostAddress,
    Settlement,
    SettleRequest,
)
from masticdale_ledger.owner import ShardOwner
from masticdale_ledger.shards import (
    LEDGER_SHARD_COUNT,
    ShardMap,
    VersionedShardRecord,
)
from masticdale_routing.assignments import TurnEnd
from masticdale_routing.failures import ReplicaFailures
from masticdale_rpc import RpcClient

# Timeout of one call to an owner, in seconds. An owner that does not answer
# within it counts as unreachable, and its standby is called. It is some hundred
# times the round trip between failure domains; a host that is short of
# processor time answers in some tens of milliseconds.
CALL_TIMEOUT_S = 0.4
# Time without an answer from an owner after which its standby is called too, in
# seconds. Calls of a living owner seldom take as long; the standby checks by
# itself whether the owner is lost.
_HEDGE_DELAY_S = 0.12
# Timeout of all calls for one turn, in seconds. A lost owner is usually
# replaced within this time; otherwise the caller gets a failure and may retry.
_ADMIT_TIMEOUT_S = 1.2
# Part of the time left that may pass until a call is admitted or refused; the
# rest is for its execution, or for another host that the caller asks.
_CALL_SHARE = 0.5
# Longest time in seconds that an attempt takes, which calls the owner and then
# its standby; with a margin. If it took longer, this host itself was paused.
_MAX_ATTEMPT_S = 2 * CALL_TIMEOUT_S + 0.2
# Delay between two attempts, in seconds, unless the shard map changes before.
_RETRY_DELAY_S = 0.08
# Settlements are batched for this long, in seconds. Until a turn is settled, it
# counts as in flight at its replica, and its full reservation counts, which
# matters only near the end of a budget.
_SETTLE_INTERVAL_S = 0.05
# Settlements kept while owners are unreachable. Beyond this the oldest are
# dropped, and the full reservations of their turns keep counting.
_MAX_PENDING_SETTLEMENTS = 5_000

# Decisions that another attempt would only repeat.
_REFUSALS = (ErrorKind.BUDGET_EXCEEDED, ErrorKind.LIMIT_REACHED)

PeerLookup = Callable[[str, int], RpcClient]
AskHost = Callable[[], Coroutine[None, None, Result[Admission, Failure]]]
LocalAdmit = Callable[[AdmitRequest], Awaitable[AdmitReply]]
# After an owner has not answered, its standby is called first for this long,
# in seconds, since each call to a dead host takes a whole timeout.
_STANDBY_FIRST_PERIOD_S = 1.0


@dataclasses.dataclass(slots=True)
class UnreachableOwner:
    """An owner that does not answer.

    Attributes:
        version: Version of the shard's record that names the owner.
        first_failed_at: Event loop time of the first failed call, in seconds.
        last_failed_at: Event loop time of the last failed call, in seconds.
    """

    version: int
    first_failed_at: float
    last_failed_at: float


class LedgerClient:
    """A ``BudgetLedger`` that calls the owners of all shards.

    Attributes:
        admit_locally: Admits turns of shards that this host serves; set by
            the application.
        unreachable_by_shard: Owners whose last call failed without an answer.
        is_stopping: Whether this host is stopping; sent with each call.
    """

    def __init__(
        self,
        shard_map: ShardMap,
        owner: ShardOwner,
        own_address: HostAddress,
        peers: PeerLookup,
        metrics: Metrics,
        replica_failures: ReplicaFailures | None = None,
    ) -> None:
        """Initializes the client.

        Args:
            shard_map: The owners and standbys of the shards.
            owner: The shards that this host owns.
            own_address: The address of this host.
            peers: Returns the RPC client of an address and port.
            metrics: Records how long admissions take.
            replica_failures: Failures of replicas to report to owners, and
                those that they report.
        """
        self.admit_locally: LocalAdmit | None = None
        self.is_stopping = False
        self.unreachable_by_shard: dict[int, UnreachableOwner] = {}
        self._map = shard_map
        self._owner = owner
        self._own_address = own_address
        self._own_endpoint = (own_address.address, own_address.port)
        self._peers = peers
        self._metrics = metrics
        # Versions of the records whose standby has admitted a turn, and so acts
        # for the owner. It stays the first to be asked until it refuses one or
        # the record changes: a lost owner can't be replaced in its record while
        # the store is unavailable.
        self._acting_version_by_shard: dict[int, int] = {}
        self._settlements: collections.deque[Settlement] = collections.deque(
            maxlen=_MAX_PENDING_SETTLEMENTS
        )
        self._has_reports = asyncio.Event()
        self._flush_lock = asyncio.Lock()
        self._replica_failures = replica_failures or ReplicaFailures()
        self._replica_failures.on_news = self._has_reports.set

    async def admit(
        self, claim: AdmissionClaim, deadline_at: float
    ) -> Result[Admission, Failure]:
        """See ``BudgetLedger.admit``."""
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        retry_until = min(deadline_at, started_at + _ADMIT_TIMEOUT_S)
        if not claim.is_turn:
            allowed_s = _CALL_SHARE * (deadline_at - started_at)
            retry_until = min(retry_until, started_at + allowed_s)
        shard_number = hashing.shard_of(claim.shard_key, LEDGER_SHARD_COUNT)
        failure = Failure(
            ErrorKind.LEDGER_UNAVAILABLE, "the deadline expired before any call"
        )
        while loop.time() < retry_until:
            attempt_started_at = loop.time()
            outcome = await self._admit_once(shard_number, claim)
            if not isinstance(outcome, Failed):
                self._metrics.observe(
                    "ledger_seconds", loop.time() - started_at
                )
                return outcome
            failure = outcome.failure()
            if failure.kind in _REFUSALS:
                return outcome
            if loop.time() - attempt_started_at > _MAX_ATTEMPT_S:
                # This host was paused, so that its call timed out although the
                # owner may have answered. Without a retry the caller would be
                # rejected before its deadline.
                retry_until = min(deadline_at, loop.time() + CALL_TIMEOUT_S)
            await self._map.wait_for_change(_RETRY_DELAY_S)
        logs.write_bounded(
            "ledger_unavailable",
            request_id=claim.request_id,
            program_id=claim.program_id,
            shard=shard_number,
            reason=str(failure),
            waited_ms=round(1000 * (loop.time() - started_at)),
        )
        return Failed(
            Failure(
                ErrorKind.LEDGER_UNAVAILABLE, f"shard {shard_number}: {failure}"
            )
        )

    def settle(
        self, claim: AdmissionClaim, used_tokens: int, end: TurnEnd
    ) -> None:
        """See ``BudgetLedger.settle``."""
        shard_number = hashing.shard_of(claim.shard_key, LEDGER_SHARD_COUNT)
        settlement = Settlement(
            shard_number,
            claim.program_id,
            claim.request_id,
            used_tokens,
            end.replica_id,
            end.failed_replica_ids,
            end.event_interval_s,
        )
        if not self._owner.settle(settlement):
            self._settlements.append(settlement)
            self._has_reports.set()

    async def run(self) -> None:
        """Sends settlements and failures to owners, until cancelled."""
        while True:
            await self._has_reports.wait()
            await asyncio.sleep(_SETTLE_INTERVAL_S)
            await self.flush()

    async def flush(self) -> None:
        """Sends the pending settlements; keeps those that can't be sent.

        Returns once those that another call is sending have been sent too.
        """
        async with self._flush_lock:
            await self._flush()

    async def _flush(self) -> None:
        self._has_reports.clear()
        pending = list(self._settlements)
        self._settlements.clear()
        await self._report_failures()
        by_shard: dict[int, list[Settlement]] = collections.defaultdict(list)
        for settlement in pending:
            if not self._owner.settle(settlement):
                by_shard[settlement.shard].append(settlement)
        for shard_number, settlements in by_shard.items():
            if not await self._send_settlements(
                shard_number, tuple(settlements)
            ):
                self._settlements.extend(settlements)
                self._has_reports.set()

    async def _report_failures(self) -> None:
        """Tells the owner of each shard which replicas have failed here."""
        now = asyncio.get_running_loop().time()
        news = self._replica_failures.take_news(now)
        if not news:
            return
        endpoints = {
            (view.record.address, view.record.port)
            for view in self._map.views().values()
        }
        calls = [
            self._peers(*endpoint).call(
                SETTLE, SettleRequest((), news), CALL_TIMEOUT_S
            )
            for endpoint in endpoints - {self._own_endpoint}
        ]
        # Lost reports are not repeated: the replica fails again, or recovers.
        await asyncio.gather(*calls)

    async def _admit_once(
        self, shard_number: int, claim: AdmissionClaim
    ) -> Result[Admission, Failure]:
        view = self._map.get(shard_number)
        if view is None:
            return Failed(
                Failure(ErrorKind.NOT_OWNER, "the shard has no owner yet")
            )
        request = self._request(shard_number, claim)
        if not view.record.standby_address:
            return await self._ask_owner(view, request)
        owner = functools.partial(self._ask_owner, view, request)
        standby = functools.partial(self._ask_standby, view, request)
        if self._asks_standby_first(shard_number, view.version):
            return await _first_decision(standby, owner)
        return await _first_decision(owner, standby)

    def _request(
        self, shard_number: int, claim: AdmissionClaim
    ) -> AdmitRequest:
        usage = claim.usage
        return AdmitRequest(
            shard=shard_number,
            program_id=claim.program_id,
            request_id=claim.request_id,
            budget_tokens=claim.budget_tokens,
            turn_tokens=claim.turn_tokens,
            asker=self._own_address,
            asker_stops=self.is_stopping,
            service_name=claim.prompt.service,
            prefix_key=claim.prompt.prefix_key,
            is_call=not claim.is_turn,
            workspace=claim.workspace,
            cap_rate_per_s=usage.cap.rate_per_s if usage else 0.0,
            cap_burst=usage.cap.burst if usage else 0.0,
            cap_version=usage.version if usage else 0,
        )

    async def _ask_owner(
        self, view: VersionedShardRecord, request: AdmitRequest
    ) -> Result[Admission, Failure]:
        record = view.record
        outcome = await self._admit_at((record.address, record.port), request)
        self._update_reachability(request.shard, view.version, outcome)
        if not isinstance(outcome, Failed):
            self._acting_version_by_shard.pop(request.shard, None)
        return outcome

    async def _ask_standby(
        self, view: VersionedShardRecord, request: AdmitRequest
    ) -> Result[Admission, Failure]:
        record = view.record
        outcome = await self._admit_at(
            (record.standby_address, record.standby_port), request
        )
        if not isinstance(outcome, Failed):
            self._acting_version_by_shard[request.shard] = view.version
            return outcome
        self._acting_version_by_shard.pop(request.shard, None)
        failure = outcome.failure()
        if failure.kind is ErrorKind.LEDGER_UNAVAILABLE:
            # The quotas of an isolated owner and its standby are distinct, so
            # the owner may admit what its standby must refuse.
            return Failed(Failure(ErrorKind.NOT_OWNER, failure.detail))
        return outcome

    async def _admit_at(
        self, address: tuple[str, int], request: AdmitRequest
    ) -> Result[Admission, Failure]:
        if address == self._own_endpoint and self.admit_locally is not None:
            reply = await self.admit_locally(request)
        else:
            peer = self._peers(*address)
            outcome = await peer.call(ADMIT, request, CALL_TIMEOUT_S)
            if isinstance(outcome, Failed):
                return outcome
            reply = outcome.unwrap()
        if reply.failure is not None:
            return Failed(reply.failure)
        self._replica_failures.merge(
            reply.replica_failures, asyncio.get_running_loop().time()
        )
        return Success(Admission(reply.replica_id))

    async def _send_settlements(
        self, shard_number: int, settlements: tuple[Settlement, ...]
    ) -> bool:
        view = self._map.get(shard_number)
        if view is None:
            return False
        record = view.record
        addresses = [
            (record.address, record.port),
            (record.standby_address, record.standby_port),
        ]
        if self._asks_standby_first(shard_number, view.version):
            addresses.reverse()
        for address in addresses:
            if not address[0] or address == self._own_endpoint:
                continue
            outcome = await self._peers(*address).call(
                SETTLE, SettleRequest(settlements), CALL_TIMEOUT_S
            )
            if not isinstance(outcome, Failed) and (
                shard_number not in outcome.unwrap().other_shards
            ):
                return True
        return False

    def _asks_standby_first(self, shard_number: int, version: int) -> bool:
        if self._acting_version_by_shard.get(shard_number) == version:
            return True
        known = self.unreachable_by_shard.get(shard_number)
        now = asyncio.get_running_loop().time()
        return (
            known is not None
            and known.version == version
            and now - known.last_failed_at < _STANDBY_FIRST_PERIOD_S
        )

    def _update_reachability(
        self,
        shard_number: int,
        version: int,
        outcome: Result[Admission, Failure],
    ) -> None:
        is_unreachable = isinstance(outcome, Failed) and (
            outcome.failure().kind is ErrorKind.PEER_UNAVAILABLE
        )
        if is_unreachable:
            self._mark_unreachable(shard_number, version)
        else:
            self.unreachable_by_shard.pop(shard_number, None)

    def _mark_unreachable(self, shard_number: int, version: int) -> None:
        now = asyncio.get_running_loop().time()
        known = self.unreachable_by_shard.get(shard_number)
        if known is None or known.version != version:
            known = UnreachableOwner(version, now, now)
            self.unreachable_by_shard[shard_number] = known
        known.last_failed_at = now


async def _first_decision(
    ask_first: AskHost, ask_second: AskHost
) -> Result[Admission, Failure]:
    """Asks two hosts, the second one if the first is slow or can't decide.

    Returns:
        The first decision; without any, the outcome of the last answer.
    """
    first = asyncio.create_task(ask_first())
    pending = {first}
    try:
        await asyncio.wait(pending, timeout=_HEDGE_DELAY_S)
        if first.done() and not _should_try_next(first.result()):
            return first.result()
        pending.add(asyncio.create_task(ask_second()))
        while True:
            done, pending = await asyncio.wait(
                pending, return_when=asyncio.FIRST_COMPLETED
            )
            outcomes = [task.result() for task in done]
            decisions = [o for o in outcomes if not _should_try_next(o)]
            if decisions or not pending:
                return (decisions or outcomes)[0]
    finally:
        for task in pending:
            task.cancel()


def _should_try_next(outcome: Result[Admission, Failure]) -> bool:
    """Returns whether another host may be able to decide."""
    return isinstance(outcome, Failed) and outcome.failure().kind in (
        ErrorKind.NOT_OWNER,
        ErrorKind.PEER_UNAVAILABLE,
    )
