"""Failover of a shard from a lost owner to its standby."""

import asyncio
import dataclasses

from returns.result import Failure as Failed

from masticdale_common import ErrorKind, logs
from masticdale_ledger.account_codec import account_from_state
from masticdale_ledger.accounts import Accounts
from masticdale_ledger.arbiter import Side
from masticdale_ledger.claims import ShardClaims, TakeoverState
from masticdale_ledger.hosts import Hosts, Identity
from masticdale_ledger.isolation import Isolation, isolation_quotas
from masticdale_ledger.leases import Lease
from masticdale_ledger.messages import (
    SETTLE,
    SealReply,
    SealRequest,
    SettleRequest,
)
from masticdale_ledger.owned_shard import OwnedShard
from masticdale_ledger.owner import ShardOwner
from masticdale_ledger.shards import (
    PreviousOwnerState,
    ShardMap,
    VersionedShardRecord,
)
from masticdale_ledger.standby import StandbyCopies

# Timeout of a ping, in seconds: about a hundred round trips between failure
# domains. An owner that does not answer within it counts as lost. The host that
# calls the standby has waited for the owner before, so that a busy owner was
# silent for longer than this.
_PING_TIMEOUT_S = 0.25
# Shortest time between two pings of a shard's owner, in seconds, however many
# turns arrive.
_PING_INTERVAL_S = 0.3


class StandbyFailover:
    """Makes this host the acting owner of shards whose owner is lost.

    The standby holds every account. Hosts call it after the owner has not
    answered or has answered NOT_OWNER, and for a while after a failed call they
    call it first. The standby then pings the owner. If there is no answer, it
    admits turns of the programs that it knows, and meanwhile claims the shard
    in the store. Other hosts wait longer before they claim the shard.
    """

    def __init__(
        self,
        identity: Identity,
        shard_map: ShardMap,
        owner: ShardOwner,
        lease: Lease,
        copies: StandbyCopies,
        claims: ShardClaims,
        hosts: Hosts,
    ) -> None:
        self._identity = identity
        self._map = shard_map
        self._owner = owner
        self._lease = lease
        self._copies = copies
        self._hosts = hosts
        self._claims = claims
        self._pinged_at_by_shard: dict[int, float] = {}
        self._claim_tasks: set[asyncio.Task[None]] = set()

    async def fail_over(self, shard_number: int) -> None:
        """Takes a shard over if this host is its standby and the owner is lost.

        Args:
            shard_number: The shard.
        """
        view = self._map.get(shard_number)
        if view is None or not self._can_take_over(shard_number, view):
            return
        if not self._may_ping(shard_number):
            return
        record = view.record
        owner = self._hosts.client(record.address, record.port)
        answer = await owner.call(SETTLE, SettleRequest(()), _PING_TIMEOUT_S)
        if not isinstance(answer, Failed):
            return
        side = await self._claims.arbiter_client.decide(
            Side.STANDBY, shard_number, record
        )
        if not self._can_take_over(shard_number, view):
            return
        shard = self._take_over(
            shard_number, view, won_arbitration=side is Side.STANDBY
        )
        if shard.won_arbitration:
            # The owner counts new programs as half spent from now on, and a
            # host that takes over learns of them from the sealed copy. Waiting
            # for the claim would stop them for as long as the store is silent.
            self.admit_unknown_programs(shard)
        task = asyncio.create_task(self.claim(shard))
        self._claim_tasks.add(task)
        task.add_done_callback(self._claim_tasks.discard)

    async def claim(self, shard: OwnedShard) -> None:
        """Claims a shard of which this host is the acting owner."""
        # If another host seals the copy meanwhile, this one stops admitting
        # turns. Of the two claims, the one written first succeeds.
        outcome = await self._claims.claim(
            shard.number,
            shard.view.version,
            TakeoverState(PreviousOwnerState.ENDED, acting_shard=shard),
        )
        if not isinstance(outcome, Failed):
            return
        failure = outcome.failure()
        logs.write_bounded(
            "shard_not_claimed",
            shard=shard.number,
            previous="acted for",
            reason=str(failure),
        )
        if failure.kind is not ErrorKind.CONFLICT:
            self.admit_unknown_programs(shard)

    def admit_unknown_programs(self, shard: OwnedShard) -> None:
        """Admits programs, too, that the last owner did not know.

        The owner may be alive, assign another standby and count unknown
        programs from zero; programs admitted here too would exceed their budget
        by half. They are therefore admitted only if the arbiter has decided for
        this host, or if the store can't be reached and the owner's last copy
        said that it can't reach it either. In both cases a live owner counts
        unknown programs as spent up to the unrecorded limit.
        """
        if shard.isolation is None or shard.isolation.admits_unknown:
            return
        record = shard.view.record
        if not shard.won_arbitration and not self._copies.owner_lost_store(
            shard.number, record.epoch
        ):
            return
        shard.isolation = dataclasses.replace(
            shard.isolation, admits_unknown=True
        )
        logs.write("shard_takes_new", shard=shard.number, epoch=record.epoch)

    def seal(self, request: SealRequest) -> SealReply:
        """Seals the copy of a shard that another host is taking over.

        The sealing host may lose this reply, crash, or fail to claim the shard.
        The copy therefore keeps the turns admitted as acting owner for every
        host that seals it later. Otherwise nobody would count them, and
        programs could exceed their budget.
        """
        shard = self._owner.owned().get(request.shard)
        if shard is not None and shard.is_acting:
            epoch = shard.view.record.epoch
            if request.epoch >= epoch:
                self._owner.drop(request.shard)
                self._copies.replace_sealed(
                    request.shard,
                    epoch,
                    shard.states_with_peer_spending(),
                    shard.incomplete_for_s,
                    shard.usage.levels(shard.now),
                    shard.usage.incomplete_for_s(shard.now),
                )
        return self._copies.seal(request)

    def _may_ping(self, shard_number: int) -> bool:
        """Returns whether a ping is due; if so, records its time."""
        now = self._lease.now()
        if (
            now - self._pinged_at_by_shard.get(shard_number, 0.0)
            < _PING_INTERVAL_S
        ):
            return False
        self._pinged_at_by_shard[shard_number] = now
        return True

    def _can_take_over(
        self, shard_number: int, view: VersionedShardRecord
    ) -> bool:
        record = view.record
        own_endpoint = (self._identity.address, self._identity.port)
        return (
            shard_number not in self._owner.owned()
            and (record.standby_address, record.standby_port) == own_endpoint
            and self._copies.is_usable(shard_number, record.epoch)
        )

    def _take_over(
        self,
        shard_number: int,
        view: VersionedShardRecord,
        *,
        won_arbitration: bool,
    ) -> OwnedShard:
        record = view.record
        self._claims.peer_selector.mark_failed(record.address, record.port)
        copy = self._copies.seal(SealRequest(shard_number, record.epoch))
        accounts = Accounts()
        accounts.restore([account_from_state(state) for state in copy.accounts])
        shard = OwnedShard(
            shard_number,
            view,
            accounts,
            copy.incomplete_for_s,
            self._lease,
            None,
            record.incarnation,
            self._claims.usage_counter(
                copy.usages, copy.usage_incomplete_for_s
            ),
        )
        shard.is_acting = True
        shard.won_arbitration = won_arbitration
        is_remainder_side = won_arbitration or not record.arbiter_address
        quotas = isolation_quotas(
            accounts.all(),
            is_standby=True,
            remainder_side=Side.STANDBY if is_remainder_side else Side.OWNER,
        )
        shard.isolation = Isolation(
            quotas, admits_unknown=False, began_at=shard.now
        )
        self._owner.take(shard)
        logs.write(
            "shard_acted_for",
            shard=shard_number,
            epoch=record.epoch,
            owner=record.owner,
            accounts=len(copy.accounts),
            has_decision=won_arbitration,
        )
        return shard
