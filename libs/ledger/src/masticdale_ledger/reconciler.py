"""Sees to it that every shard has an owner, and every owner a standby."""

import asyncio
import collections
import random
from collections.abc import Callable

from returns.result import Failure as Failed

from masticdale_common import ErrorKind, Failure, logs
from masticdale_ledger.claims import (
    RECOVERY_WINDOW_S,
    ShardClaims,
    TakeoverState,
)
from masticdale_ledger.client import SHARD_COUNT, LedgerClient
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
from masticdale_ledger.owner import OwnedShard, ShardOwner
from masticdale_ledger.shards import (
    SHARD_PREFIX,
    PreviousOwner,
    ShardMap,
    ShardRecord,
    ShardView,
)
from masticdale_platform import MUST_NOT_EXIST, ObjectStore
from masticdale_rpc import may_have_been_sent

# How often the shards are looked at, in seconds.
RECONCILE_INTERVAL_S = 0.2
# How often the lease is looked at, in seconds.
LEASE_CHECK_INTERVAL_S = 0.5
# An owner asks the store again once its last answer is this old, in seconds:
# a third of the lease, so that two failed rounds leave time for a third.
_RENEW_AFTER_S = LEASE_S / 3
# An owner that has not answered for this long is replaced, in seconds: longer
# than a pause of its process on a busy machine, shorter than callers wait.
_OWNER_TIMEOUT_S = 0.5
# A question older than this does not count, in seconds.
_FAILURE_MAX_AGE_S = 1.5
# All hosts see an unowned shard at once; each waits a random part of this, in
# seconds, so that the first one's record spares the others their calls.
_CLAIM_JITTER_S = 1.0
_CALL_TIMEOUT_S = 0.5
# Hosts that are offered a shard at a stop; one that stops too says so at once.
_MAX_OFFERS = 3


class ShardReconciler:
    """Claims shards without an owner, gives them away at a stop."""

    def __init__(
        self,
        identity: Identity,
        store: ObjectStore,
        shard_map: ShardMap,
        owner: ShardOwner,
        lease: Lease,
        client: LedgerClient,
        claims: ShardClaims,
        acting: StandbyFailover,
        hosts: Hosts,
        is_store_lost: Callable[[], bool],
        seen: LiveHosts,
    ) -> None:
        self.is_stopping = False
        self._identity = identity
        self._store = store
        self._map = shard_map
        self._owner = owner
        self._lease = lease
        self._client = client
        self._claims = claims
        self._acting = acting
        self._hosts = hosts
        self._is_store_lost = is_store_lost
        self._seen = seen
        self._random = random.Random(identity.incarnation)
        self._claim_due_at_by_shard: dict[int, float] = {}

    async def reconcile(self) -> None:
        """Drops shards that others own, claims those that nobody serves."""
        await self._drop_superseded()
        if self.is_stopping or not self._map.is_loaded:
            return
        # All at once: one dead standby would hold up the other shards.
        await asyncio.gather(
            *(self._reconcile_shard(n) for n in range(SHARD_COUNT))
        )

    async def _reconcile_shard(self, number: int) -> None:
        shard = self._owner.owned().get(number)
        if shard is None:
            await self._claim_if_vacant(number)
        elif shard.is_acting:
            await self._claim_acting(shard)
        elif self._needs_standby(shard):
            await self._claims.replace_standby(shard)

    async def _claim_if_vacant(self, number: int) -> None:
        previous = self._previous_owner_if_vacant(number)
        if previous is None:
            self._claim_due_at_by_shard.pop(number, None)
        elif self._is_claim_due(number, previous):
            await self._claim(number, previous)

    async def renew_lease(self) -> None:
        """Asks the store who owns the shards, while some are owned here.

        The answer extends the lease, or shows that another host has them.
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
        """Takes over a shard that its owner offers."""
        if self.is_stopping or not self._map.is_loaded:
            return HandOverReply(Failure(ErrorKind.STOPPING))
        failure = await self._check_offer(offer)
        if failure is not None:
            return HandOverReply(failure)
        takeover = TakeoverState(
            PreviousOwner.ENDED,
            offer.accounts,
            offer.incomplete_for_s,
            self._incarnation_of(offer.shard, offer.version),
        )
        claimed = await self._claims.claim(offer.shard, offer.version, takeover)
        if isinstance(claimed, Failed):
            return HandOverReply(claimed.failure())
        return HandOverReply()

    async def _check_offer(self, offer: HandOver) -> Failure | None:
        """Returns why a shard can't be taken over as it is offered.

        A host that owned the shard once, and has not learned that it does no
        more, would count with what it remembers, and write an epoch that was
        used before: its standby then took that for the older one.
        """
        view = self._map.get(offer.shard)
        if view is None or view.version < offer.version:
            await self._claims.refresh(offer.shard)
            view = self._map.get(offer.shard)
        if view is None or view.version != offer.version:
            return Failure(ErrorKind.CONFLICT, "not the shard's last version")
        owned = self._owner.owned().get(offer.shard)
        if owned is not None and owned.view.version < offer.version:
            self._drop(offer.shard, view)
        return None

    async def hand_over_all(self) -> None:
        """Offers every shard to another host; for a planned stop."""
        self.is_stopping = True
        for shard in self._owner.owned().values():
            await self._hand_over(shard)

    async def _drop_superseded(self) -> None:
        """Drops shards that others own; keeps those that this process owns.

        A write whose answer was lost may turn out to have been done. Taken for
        another host's, it would cost the accounts of all its programs.
        """
        await self._claims.resolve_unconfirmed()
        for number, shard in self._owner.owned().items():
            known = self._map.get(number)
            if known is None or known.version <= shard.view.version:
                continue
            if known.record.incarnation == self._identity.incarnation:
                await self._claims.resume(number, known)
                continue
            self._drop(number, known)

    def _drop(self, number: int, view: ShardView) -> None:
        self._owner.drop(number)
        logs.write("shard_lost", shard=number, new_owner=view.record.owner)

    def _previous_owner_if_vacant(self, number: int) -> PreviousOwner | None:
        """Returns what is known of the owner of a shard nobody serves."""
        view = self._map.get(number)
        if view is None:
            return PreviousOwner.NONE
        if number in self._owner.owned():
            return None
        record = view.record
        if record.owner == self._identity.host:
            # This process is its host's newest, so the one before has ended.
            return PreviousOwner.ENDED
        lost = self._client.unreachable_by_shard.get(number)
        if lost is None or lost.version != view.version:
            return None
        now = asyncio.get_running_loop().time()
        is_lost = lost.last_failed_at - lost.first_failed_at >= _OWNER_TIMEOUT_S
        is_recent = now - lost.last_failed_at < _FAILURE_MAX_AGE_S
        return PreviousOwner.LOST if is_lost and is_recent else None

    def _is_claim_due(self, number: int, previous: PreviousOwner) -> bool:
        if previous is PreviousOwner.ENDED:
            return True
        now = asyncio.get_running_loop().time()
        # A host that owns shards leaves the next one to the others first, so
        # that the loss of one host touches few programs.
        spread_s = _CLAIM_JITTER_S * (2 if self._owner.owned() else 1)
        if previous is PreviousOwner.LOST:
            spread_s /= 4
        due_at = self._claim_due_at_by_shard.setdefault(
            number, now + self._random.uniform(0, spread_s)
        )
        return now >= due_at

    async def _claim(self, number: int, previous: PreviousOwner) -> None:
        self._claim_due_at_by_shard.pop(number, None)
        # Without the store the claim would fail, and sealing the standby
        # before it would stop the one host that may go on.
        if not await self._claims.refresh(number):
            return
        if self._previous_owner_if_vacant(number) is None:
            return
        view = self._map.get(number)
        version = view.version if view else MUST_NOT_EXIST
        takeover = await self._fence_previous_owner(number, view, previous)
        outcome = await self._claims.claim(number, version, takeover)
        if isinstance(outcome, Failed):
            logs.write_bounded(
                "shard_not_claimed",
                shard=number,
                previous=takeover.previous,
                reason=str(outcome.failure()),
            )

    async def _fence_previous_owner(
        self, number: int, view: ShardView | None, previous: PreviousOwner
    ) -> TakeoverState:
        """Stops the last owner where it may live, and gets its accounts."""
        if view is None:
            return TakeoverState(PreviousOwner.NONE)
        if previous is PreviousOwner.LOST:
            self._claims.partners.mark_failed(
                view.record.address, view.record.port
            )
        reply = await self._seal(number, view.record)
        if reply is None:
            return TakeoverState(previous, (), RECOVERY_WINDOW_S)
        if not reply.held:
            return TakeoverState(PreviousOwner.ENDED, (), RECOVERY_WINDOW_S)
        accounts = reply.accounts
        if not reply.acted:
            holder = await self._claims.allowance_holder(number, view.record)
            accounts = tuple(
                charge_owner_quota(state, holder) for state in accounts
            )
        return TakeoverState(
            PreviousOwner.ENDED,
            accounts,
            reply.incomplete_for_s,
            view.record.incarnation,
        )

    def _incarnation_of(self, number: int, version: int) -> str:
        view = self._map.get(number)
        if view is None or view.version != version:
            return ""
        return view.record.incarnation

    async def _claim_acting(self, shard: OwnedShard) -> None:
        if self._is_store_lost():
            self._acting.admit_unknown_programs(shard)
        else:
            await self._acting.claim(shard)

    async def _seal(self, number: int, record: ShardRecord) -> SealReply | None:
        """Returns None where the standby can't be asked."""
        if not record.standby_address:
            return None
        request = SealRequest(number, record.epoch)
        here = (self._identity.address, self._identity.port)
        if (record.standby_address, record.standby_port) == here:
            return self._acting.seal(request)
        peer = self._hosts.client(record.standby_address, record.standby_port)
        outcome = await peer.call(SEAL, request, _CALL_TIMEOUT_S)
        if isinstance(outcome, Failed):
            logs.write_bounded(
                "copy_not_sealed",
                shard=number,
                standby=record.standby_address,
                reason=str(outcome.failure()),
            )
            return None
        reply = outcome.unwrap()
        logs.write(
            "standby_sealed",
            shard=number,
            epoch=record.epoch,
            standby=record.standby_address,
            held=reply.held,
            acted=reply.acted,
            accounts=len(reply.accounts),
        )
        return reply

    def _needs_standby(self, shard: OwnedShard) -> bool:
        is_broken = shard.number in self._owner.replication_failure_by_shard
        if is_broken or shard.isolation is not None or shard.is_standby_leaving:
            return True
        return (
            shard.copier is None
            and self._claims.partners.choose_standby() is not None
        )

    async def _hand_over(self, shard: OwnedShard) -> None:
        """Offers a shard to one host after the other, until one takes it."""
        if self._is_store_lost():
            # Nobody could write that the shard is theirs. The standby consents
            # until the end here, and acts afterwards.
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
        """Returns what the next owner is to know of a shard.

        A standby that does not learn of the hand-over misses this host once it
        has ended, and would act with shares that nobody counts. Sealed it does
        not; where it can't be sealed its shares count as spent.
        """
        exact = TakeoverState(
            PreviousOwner.ENDED, shard.states(None), shard.incomplete_for_s
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
        """Returns whether the target surely has not taken the shard."""
        offer = HandOver(
            shard.number,
            shard.view.version,
            takeover.accounts,
            takeover.incomplete_for_s,
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
        # If it may have been taken, the other host may own it with these
        # accounts. To admit turns here too would spend a budget twice; the
        # shard waits for its takeover.
        if isinstance(outcome, Failed):
            return not may_have_been_sent(failure)
        return failure.kind is not ErrorKind.WRITE_UNKNOWN

    def _handover_targets(self) -> list[HostAddress]:
        """Returns the hosts that may take a shard, the least loaded first.

        Any host that lives can, not only those that own shards already: in a
        rolling restart all shards would end up at the host that is stopped
        last, and with nobody to take them their accounts would be lost.
        """
        shards_by_address: collections.Counter[tuple[str, int]] = (
            collections.Counter()
        )
        host_by_address = {(h.address, h.port): h for h in self._seen.live()}
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
