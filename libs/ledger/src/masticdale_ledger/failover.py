"""The standby in place of an owner that is lost."""

import asyncio
import dataclasses

from returns.result import Failure as Failed

from masticdale_common import ErrorKind, logs
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
from masticdale_ledger.owner import OwnedShard, ShardOwner
from masticdale_ledger.shards import PreviousOwner, ShardMap, ShardView
from masticdale_ledger.standby import StandbyCopies
from masticdale_ledger.states import account_from_state

# One question to the owner whether it lives, in seconds: a hundred round trips
# between failure domains. Whoever asked the standby has waited for the owner
# before, so that a busy owner was silent for longer than this.
_PING_TIMEOUT_S = 0.25
# The owner is asked this often for a shard, in seconds, however many turns
# come for it.
_ASK_EVERY_S = 0.3


class StandbyFailover:
    """Goes on with shards whose owner is lost, until the store says whose.

    The standby has every account, and hosts that miss the owner come to it. It
    asks the owner once, goes on with the programs that it knows, and claims the
    shard meanwhile. Any other host that misses the owner has to wait for longer
    before it may claim the shard, and the programs with it.
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
        self._asked_at_by_shard: dict[int, float] = {}
        self._claiming: set[asyncio.Task[None]] = set()

    async def fail_over(self, number: int) -> None:
        """Goes on with a shard whose owner does not answer."""
        view = self._map.get(number)
        if view is None or not self._can_take_over(number, view):
            return
        if not self._is_due(number):
            return
        record = view.record
        owner = self._hosts.client(record.address, record.port)
        answer = await owner.call(SETTLE, SettleRequest(()), _PING_TIMEOUT_S)
        if not isinstance(answer, Failed):
            return
        side = await self._claims.arbitration.decide(
            Side.STANDBY, number, record
        )
        if not self._can_take_over(number, view):
            return
        shard = self._begin(number, view, has_decision=side is Side.STANDBY)
        task = asyncio.create_task(self.claim(shard))
        self._claiming.add(task)
        task.add_done_callback(self._claiming.discard)

    async def claim(self, shard: OwnedShard) -> None:
        """Claims a shard that is acted for; its accounts stay."""
        # If another host seals the shard meanwhile, nothing more is given here.
        # Its claim then fails where this one is written first.
        outcome = await self._claims.claim(
            shard.number,
            shard.view.version,
            TakeoverState(PreviousOwner.ENDED, acting_shard=shard),
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

        Only where the store is reached by no way. A standby that is cut off
        alone can't tell itself from one whose owner is lost. Its owner, which
        lives and has the store, names another standby and counts such programs
        from zero: they got 1.5 times their budget from the two. So the owner
        has to have told, with its last copy, that it lost the store too, or the
        arbiter to let this host go on. In both cases an owner that lives counts
        programs that it does not know as half spent.
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
        """Stops the owner of a shard that is being taken over elsewhere.

        A host that seals a shard may lose the race for it, its answer, or its
        life. What was given while acting therefore stays here, in the copy, for
        every host that seals the shard after it. Handed to the first one alone,
        it was forgotten, and its programs got a budget again.
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
                )
        return self._copies.seal(request)

    def _is_due(self, number: int) -> bool:
        now = self._lease.now()
        if now - self._asked_at_by_shard.get(number, 0.0) < _ASK_EVERY_S:
            return False
        self._asked_at_by_shard[number] = now
        return True

    def _can_take_over(self, number: int, view: ShardView) -> bool:
        record = view.record
        here = (self._identity.address, self._identity.port)
        return (
            number not in self._owner.owned()
            and (record.standby_address, record.standby_port) == here
            and self._copies.is_usable(number, record.epoch)
        )

    def _begin(
        self, number: int, view: ShardView, *, has_decision: bool
    ) -> OwnedShard:
        record = view.record
        self._claims.partners.mark_failed(record.address, record.port)
        copy = self._copies.seal(SealRequest(number, record.epoch))
        accounts = Accounts()
        accounts.restore([account_from_state(state) for state in copy.accounts])
        shard = OwnedShard(
            number,
            view,
            accounts,
            copy.incomplete_for_s,
            self._lease,
            None,
            record.incarnation,
        )
        shard.is_acting = True
        shard.won_arbitration = has_decision
        is_holder = has_decision or not record.arbiter_address
        shares = isolation_quotas(
            accounts.all(),
            is_standby=True,
            remainder_side=Side.STANDBY if is_holder else Side.OWNER,
        )
        shard.isolation = Isolation(shares, admits_unknown=False)
        self._owner.take(shard)
        logs.write(
            "shard_acted_for",
            shard=number,
            epoch=record.epoch,
            owner=record.owner,
            accounts=len(copy.accounts),
            has_decision=has_decision,
        )
        return shard
