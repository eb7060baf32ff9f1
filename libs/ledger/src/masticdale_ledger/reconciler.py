"""Assigns an owner to every shard and a standby to every owner.

Each host claims vacant shards, replaces lost standbys of its own shards, renews
its lease, and hands its shards over at a planned stop.
"""

import asyncio
import collections
import random
from collections.abc import Callable

from returns.result import Failure as Failed

from masticdale_common import ErrorKind, Failure, logs
from masticdale_ledger.arbiter import Side
from masticdale_ledger.claims import (
    RECOVERY_WINDOW_S,
    USAGE_SHARED_S,
    ShardClaims,
    TakeoverState,
)
from masticdale_ledger.client import LedgerClient
from masticdale_ledger.failover import StandbyFailover
from masticdale_ledger.hosts import Hosts, Identity, LiveHosts
from masticdale_ledger.isolation import charge_owner_quota
from masticdale_ledger.leases import LEASE_S, Lease
from masticdale_ledger.messages import (
    HAND_OVER,
    SEAL,
    HandOver,
    HandOverReply,
    HostAddress,
    SealReply,
    SealRequest,
)
from masticdale_ledger.owned_shard import OwnedShard
from masticdale_ledger.owner import ShardOwner
from masticdale_ledger.shards import (
    LEDGER_SHARD_COUNT,
    SHARD_PREFIX,
    PreviousOwnerState,
    ShardMap,
    ShardRecord,
    VersionedShardRecord,
)
from masticdale_platform import MUST_NOT_EXIST, ObjectStore
from masticdale_rpc import may_have_been_sent

# Interval of the reconciliation loop, in seconds.
RECONCILE_INTERVAL_S = 0.2
# Interval at which the age of the lease is checked, in seconds.
LEASE_CHECK_INTERVAL_S = 0.5
# Age of the lease from which every check tries to renew it, in seconds. After a
# third of the lease, two failed attempts leave time for another.
_RENEW_AFTER_S = LEASE_S / 3
# Time between the first and the last failed call after which an owner counts as
# lost, in seconds. A shorter pause of its process does not cost it its shards.
_OWNER_TIMEOUT_S = 0.5
# Maximum age of the last failed call to an owner, in seconds; without a recent
# failure the owner counts as reachable.
_FAILURE_MAX_AGE_S = 1.5
# Base of the maximum random delay of a claim, in seconds; ``_is_claim_due``
# scales it. All hosts find a shard vacant at the same time; the jitter lets one
# write its claim before the others try.
_CLAIM_JITTER_S = 1.0
# Timeout of a seal, in seconds. A handover, which includes a write to the store
# by the called host, gets twice as long.
_CALL_TIMEOUT_S = 0.5
# Maximum number of hosts that are offered a shard during a planned stop.
_MAX_OFFERS = 3


class ShardReconciler:
    """Claims vacant shards, replaces standbys, hands shards over at a stop."""

    def __init__(
        self,
        identity: Identity,
        store: ObjectStore,
        shard_map: ShardMap,
        owner: ShardOwner,
        lease: Lease,
        client: LedgerClient,
        claims: ShardClaims,
        failover: StandbyFailover,
        hosts: Hosts,
        is_store_unreachable: Callable[[], bool],
        live_hosts: LiveHosts,
    ) -> None:
        self.is_stopping = False
        self._identity = identity
        self._store = store
        self._map = shard_map
        self._owner = owner
        self._lease = lease
        self._client = client
        self._claims = claims
        self._failover = failover
        self._hosts = hosts
        self._is_store_unreachable = is_store_unreachable
        self._live_hosts = live_hosts
        self._random = random.Random(identity.incarnation)
        self._claim_due_at_by_shard: dict[int, float] = {}
        self._claiming_shards: set[int] = set()

    async def reconcile(self) -> None:
        """Drops superseded shards, claims vacant ones and replaces standbys."""
        await self._drop_superseded()
        if self.is_stopping or not self._map.is_loaded:
            return
        # Concurrently, so that a dead standby does not delay other shards.
        await asyncio.gather(
            *(self._reconcile_shard(n) for n in range(LEDGER_SHARD_COUNT))
        )

    async def _reconcile_shard(self, shard_number: int) -> None:
        shard = self._owner.owned().get(shard_number)
        if shard is None:
            await self._claim_if_vacant(shard_number)
        elif shard.is_acting:
            await self._claim_acting(shard)
        elif self._needs_standby(shard):
            await self._claims.replace_standby(shard)

    async def _claim_if_vacant(self, shard_number: int) -> None:
        previous = self._previous_owner_if_vacant(shard_number)
        if previous is None:
            self._claim_due_at_by_shard.pop(shard_number, None)
        elif self._is_claim_due(shard_number, previous):
            await self._claim(shard_number, previous)

    async def renew_lease(self) -> None:
        """Reads the shard records to renew the lease, if any shard is owned.

        Drops the shards that another host turns out to own.
        """
        age_s = self._lease.age_s
        if not self._owner.owned() or (
            age_s is not None and age_s < _RENEW_AFTER_S
        ):
            return
        sent_at = self._lease.now()
        outcome = await self._store.list(SHARD_PREFIX)
        if isinstance(outcome, Failed):
            logs.write_bounded(
                "lease_not_renewed", age_s=age_s, reason=str(outcome.failure())
            )
            return
        for stored in outcome.unwrap():
            self._map.put(stored)
        await self._drop_superseded()
        self._lease.renew(sent_at)

    async def accept(self, offer: HandOver) -> HandOverReply:
        """Takes over a shard that its owner hands over."""
        if self.is_stopping or not self._map.is_loaded:
            return HandOverReply(Failure(ErrorKind.STOPPING))
        failure = await self._prepare_for_offer(offer)
        if failure is not None:
            return HandOverReply(failure)
        takeover = TakeoverState(
            PreviousOwnerState.ENDED,
            offer.accounts,
            offer.incomplete_for_s,
            self._incarnation_of(offer.shard, offer.version),
            usages=offer.usages,
            usage_incomplete_for_s=offer.usage_incomplete_for_s,
            usage_shared_for_s=offer.usage_shared_for_s,
        )
        claimed = await self._claims.claim(offer.shard, offer.version, takeover)
        if isinstance(claimed, Failed):
            return HandOverReply(claimed.failure())
        await self._hand_over_late_claim(offer.shard)
        return HandOverReply()

    async def _prepare_for_offer(self, offer: HandOver) -> Failure | None:
        """Checks an offer; drops an earlier ownership of the same shard.

        A former owner may not have learned of its replacement yet. If it kept
        the shard, it would use its old accounts instead of the offered ones.

        Returns:
            Why the shard can't be taken over, or None.
        """
        view = self._map.get(offer.shard)
        if view is None or view.version < offer.version:
            await self._claims.refresh(offer.shard)
            view = self._map.get(offer.shard)
        if view is None or view.version != offer.version:
            return Failure(ErrorKind.CONFLICT, "shard version mismatch")
        owned = self._owner.owned().get(offer.shard)
        if owned is not None and owned.view.version < offer.version:
            self._drop(offer.shard, view)
        return None

    async def hand_over_all(self) -> None:
        """Hands every shard over to another host, for a planned stop."""
        self.is_stopping = True
        for shard in self._owner.owned().values():
            await self._hand_over(shard)

    async def _hand_over_late_claim(self, shard_number: int) -> None:
        """Hands over a shard whose claim was under way as the stop began."""
        shard = self._owner.owned().get(shard_number)
        if not self.is_stopping or shard is None or shard.is_handing_over:
            return
        await self._hand_over(shard)

    async def _drop_superseded(self) -> None:
        """Drops shards that other hosts have claimed.

        Resolves unconfirmed claims first. If such a claim of this process were
        taken for another host's, the accounts of the shard would be lost.
        """
        await self._claims.resolve_unconfirmed()
        for shard_number, shard in self._owner.owned().items():
            known = self._map.get(shard_number)
            if known is None or known.version <= shard.view.version:
                continue
            if known.record.incarnation == self._identity.incarnation:
                await self._claims.resume(shard_number, known)
                continue
            self._drop(shard_number, known)

    def _drop(self, shard_number: int, view: VersionedShardRecord) -> None:
        self._owner.drop(shard_number)
        logs.write(
            "shard_lost", shard=shard_number, new_owner=view.record.owner
        )

    def _previous_owner_if_vacant(
        self, shard_number: int
    ) -> PreviousOwnerState | None:
        """Returns the state of a vacant shard's owner; None if not vacant."""
        view = self._map.get(shard_number)
        if view is None:
            return PreviousOwnerState.NONE
        if shard_number in self._owner.owned():
            return None
        record = view.record
        if record.owner == self._identity.host:
            # A host runs only one process at a time, so the owning one has
            # ended.
            return PreviousOwnerState.ENDED
        lost = self._client.unreachable_by_shard.get(shard_number)
        if lost is None or lost.version != view.version:
            return None
        now = asyncio.get_running_loop().time()
        is_lost = lost.last_failed_at - lost.first_failed_at >= _OWNER_TIMEOUT_S
        is_recent = now - lost.last_failed_at < _FAILURE_MAX_AGE_S
        return PreviousOwnerState.LOST if is_lost and is_recent else None

    def _is_claim_due(
        self, shard_number: int, previous: PreviousOwnerState
    ) -> bool:
        if previous is PreviousOwnerState.ENDED:
            return True
        now = asyncio.get_running_loop().time()
        max_delay_s = _CLAIM_JITTER_S
        if previous is PreviousOwnerState.LOST:
            max_delay_s /= 4
        due_at = self._claim_due_at_by_shard.setdefault(
            shard_number, now + self._random.uniform(0, max_delay_s)
        )
        # Hosts that own shards, or are claiming one, let all others go first,
        # so that the loss of one host affects fewer programs.
        is_owner = bool(self._owner.owned() or self._claiming_shards)
        return now >= due_at + (max_delay_s if is_owner else 0.0)

    async def _claim(
        self, shard_number: int, previous: PreviousOwnerState
    ) -> None:
        self._claim_due_at_by_shard.pop(shard_number, None)
        self._claiming_shards.add(shard_number)
        try:
            await self._claim_vacant(shard_number, previous)
        finally:
            self._claiming_shards.discard(shard_number)
        await self._hand_over_late_claim(shard_number)

    async def _claim_vacant(
        self, shard_number: int, previous: PreviousOwnerState
    ) -> None:
        # A claim needs the store. Sealing the standby without it would stop the
        # only host that may still admit turns of the shard.
        if not await self._claims.refresh(shard_number):
            return
        if self._previous_owner_if_vacant(shard_number) is None:
            return
        view = self._map.get(shard_number)
        version = view.version if view else MUST_NOT_EXIST
        takeover = await self._fence_previous_owner(
            shard_number, view, previous
        )
        outcome = await self._claims.claim(shard_number, version, takeover)
        if isinstance(outcome, Failed):
            logs.write_bounded(
                "shard_not_claimed",
                shard=shard_number,
                previous=takeover.previous,
                reason=str(outcome.failure()),
            )

    async def _fence_previous_owner(
        self,
        shard_number: int,
        view: VersionedShardRecord | None,
        previous: PreviousOwnerState,
    ) -> TakeoverState:
        """Fences the previous owner by sealing its standby's copy.

        Returns:
            What is known of the shard.
        """
        if view is None:
            return TakeoverState(PreviousOwnerState.NONE)
        if previous is PreviousOwnerState.LOST:
            self._claims.peer_selector.mark_failed(
                view.record.address, view.record.port
            )
        reply = await self._seal(shard_number, view.record)
        is_lost = previous is PreviousOwnerState.LOST
        if reply is None:
            other_may_count = is_lost or bool(view.record.standby_address)
            return TakeoverState(
                previous,
                (),
                RECOVERY_WINDOW_S,
                usage_incomplete_for_s=None,
                usage_shared_for_s=USAGE_SHARED_S if other_may_count else 0.0,
            )
        if not reply.held:
            return TakeoverState(
                PreviousOwnerState.ENDED,
                (),
                RECOVERY_WINDOW_S,
                usage_incomplete_for_s=None,
                usage_shared_for_s=USAGE_SHARED_S if is_lost else 0.0,
            )
        accounts = reply.accounts
        usage_shared_for_s = 0.0
        if not reply.acted:
            remainder_side = await self._claims.remainder_side(
                shard_number, view.record
            )
            accounts = tuple(
                charge_owner_quota(state, remainder_side) for state in accounts
            )
            if is_lost and remainder_side is Side.OWNER:
                usage_shared_for_s = USAGE_SHARED_S
        return TakeoverState(
            PreviousOwnerState.ENDED,
            accounts,
            reply.incomplete_for_s,
            view.record.incarnation,
            usages=reply.usages,
            usage_incomplete_for_s=reply.usage_incomplete_for_s,
            usage_shared_for_s=usage_shared_for_s,
        )

    def _incarnation_of(self, shard_number: int, version: int) -> str:
        view = self._map.get(shard_number)
        if view is None or view.version != version:
            return ""
        return view.record.incarnation

    async def _claim_acting(self, shard: OwnedShard) -> None:
        if self._is_store_unreachable():
            self._failover.admit_unknown_programs(shard)
        else:
            await self._failover.claim(shard)

    async def _seal(
        self, shard_number: int, record: ShardRecord
    ) -> SealReply | None:
        """Seals the standby's copy; None without a standby or an answer."""
        if not record.standby_address:
            return None
        request = SealRequest(shard_number, record.epoch)
        here = (self._identity.address, self._identity.port)
        if (record.standby_address, record.standby_port) == here:
            return self._failover.seal(request)
        peer = self._hosts.client(record.standby_address, record.standby_port)
        outcome = await peer.call(SEAL, request, _CALL_TIMEOUT_S)
        if isinstance(outcome, Failed):
            logs.write_bounded(
                "copy_not_sealed",
                shard=shard_number,
                standby=record.standby_address,
                reason=str(outcome.failure()),
            )
            return None
        reply = outcome.unwrap()
        logs.write(
            "standby_sealed",
            shard=shard_number,
            epoch=record.epoch,
            standby=record.standby_address,
            held=reply.held,
            acted=reply.acted,
            accounts=len(reply.accounts),
        )
        return reply

    def _needs_standby(self, shard: OwnedShard) -> bool:
        is_broken = shard.number in self._owner.replication_failure_by_shard
        if (
            is_broken
            or shard.isolation is not None
            or shard.is_standby_stopping
        ):
            return True
        return (
            shard.copier is None
            and self._live_hosts.is_complete
            and self._claims.peer_selector.choose_standby() is not None
        )

    async def _hand_over(self, shard: OwnedShard) -> None:
        """Offers a shard to one host after another until one may own it."""
        if self._is_store_unreachable():
            # No host could write its claim. The standby acknowledges turns
            # until this host ends, and then becomes the acting owner.
            return
        shard.is_handing_over = True
        takeover = await self._fence_standby(shard)
        for target in self._handover_targets()[:_MAX_OFFERS]:
            if not await self._offer(shard, target, takeover):
                return
        shard.is_handing_over = False
        if shard.copier is not None:
            await self._claims.assign_standby(shard)

    async def _fence_standby(self, shard: OwnedShard) -> TakeoverState:
        """Seals the standby's copy before a handover.

        A standby that does not learn of the handover would act for this host
        once it has ended, and nobody would count the turns that it admits. A
        sealed standby can't act. If sealing fails, its quotas count as spent.

        Returns:
            What the next owner needs to know.
        """
        exact = TakeoverState(
            PreviousOwnerState.ENDED,
            shard.states(None),
            shard.incomplete_for_s,
            usages=shard.usage.levels(shard.now),
            usage_incomplete_for_s=shard.usage.incomplete_for_s(shard.now),
            usage_shared_for_s=shard.usage_shared_for_s,
        )
        if shard.copier is None and not shard.is_acting:
            return exact
        if shard.isolation is None:
            reply = await self._seal(shard.number, shard.view.record)
            if reply is not None and reply.held and not reply.acted:
                return exact
        await self._claims.ask_arbiter(shard)
        return self._claims.retained_state(shard)

    async def _offer(
        self, shard: OwnedShard, target: HostAddress, takeover: TakeoverState
    ) -> bool:
        """Offers a shard to one host, and drops it if that host takes it.

        Returns:
            False if the host has taken the shard or may have taken it; True if
            it certainly has not, so that another host can be asked.
        """
        offer = HandOver(
            shard.number,
            shard.view.version,
            takeover.accounts,
            takeover.incomplete_for_s,
            takeover.usages,
            takeover.usage_incomplete_for_s or 0.0,
            takeover.usage_shared_for_s,
        )
        peer = self._hosts.client(target.address, target.port)
        outcome = await peer.call(HAND_OVER, offer, 2 * _CALL_TIMEOUT_S)
        failure = (
            outcome.failure()
            if isinstance(outcome, Failed)
            else outcome.unwrap().failure
        )
        logs.write(
            "shard_handed_over",
            shard=shard.number,
            to=target.address,
            accounts=len(offer.accounts),
            failure=str(failure) if failure else "",
        )
        if failure is None:
            self._owner.drop(shard.number)
            return False
        # If the outcome is unknown, the target may own the shard with these
        # accounts. If turns were admitted here too, budgets would be spent
        # twice. The shard therefore stays in handover and admits none.
        if isinstance(outcome, Failed):
            return not may_have_been_sent(failure)
        return failure.kind is not ErrorKind.WRITE_UNKNOWN

    def _handover_targets(self) -> list[HostAddress]:
        """Returns the hosts that may take a shard, the least loaded first.

        Includes hosts that own no shard. Otherwise a rolling restart would
        gather all shards on the host that stops last; no target would be left,
        and their accounts would be lost.
        """
        shards_by_address: collections.Counter[tuple[str, int]] = (
            collections.Counter()
        )
        host_by_address = {
            (h.address, h.port): h for h in self._live_hosts.live()
        }
        for view in self._map.views().values():
            record = view.record
            if record.owner == self._identity.host:
                continue
            address = (record.address, record.port)
            shards_by_address[address] += 1
            host_by_address.setdefault(address, HostAddress(*address, ""))
        return sorted(
            host_by_address.values(),
            key=lambda h: (
                shards_by_address[(h.address, h.port)],
                self._random.random(),
            ),
        )
