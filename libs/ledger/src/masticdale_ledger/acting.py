"""The standby in place of an owner that is lost while the store is away."""

from returns.result import Failure as Failed

from masticdale_common import logs
from masticdale_ledger.accounts import Accounts
from masticdale_ledger.apart import Alone, shares_of
from masticdale_ledger.claims import ShardClaims
from masticdale_ledger.hosts import Hosts, Identity
from masticdale_ledger.leases import Lease
from masticdale_ledger.messages import (
    SETTLE,
    SealReply,
    SealRequest,
    SettleRequest,
)
from masticdale_ledger.owner import OwnedShard, ShardOwner
from masticdale_ledger.shards import ShardMap, ShardView
from masticdale_ledger.standby import StandbyCopies
from masticdale_ledger.states import account_of

# One question to the owner whether it lives, in seconds.
_CALL_TIMEOUT_S = 0.5
# Store and owner are asked this often for a shard, in seconds, however many
# turns come for it.
_ASK_EVERY_S = 0.3


class ActingStandby:
    """Goes on with shards whose owner is lost, and gives them up again."""

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

    async def act(self, number: int) -> None:
        """Goes on with a shard if nobody else can.

        Nobody can take the shard over while the store is away. The standby
        seals its own copy and admits what needs no record; see ``Alone``.
        """
        view = self._map.get(number)
        if view is None or number in self._owner.owned():
            return
        record = view.record
        here = (self._identity.address, self._identity.port)
        if (record.standby_address, record.standby_port) != here:
            return
        if not self._copies.holds(number, record.epoch):
            return
        if not self._is_due(number) or await self._claims.refresh(number):
            return
        owner = self._hosts.client(record.address, record.port)
        answer = await owner.call(SETTLE, SettleRequest(()), _CALL_TIMEOUT_S)
        if not isinstance(answer, Failed) or number in self._owner.owned():
            return
        if not self._copies.holds(number, record.epoch):
            return
        self._begin(number, view)

    def seal(self, request: SealRequest) -> SealReply:
        """Stops the owner of a shard that is being taken over elsewhere."""
        shard = self._owner.owned().get(request.shard)
        reply = self._copies.seal(request)
        if shard is None or not shard.is_acting:
            return reply
        self._owner.drop(request.shard)
        return SealReply(
            held=True,
            accounts=shard.acted_states(),
            incomplete_for_s=shard.incomplete_for_s,
        )

    def _is_due(self, number: int) -> bool:
        now = self._lease.now()
        if now - self._asked_at_by_shard.get(number, 0.0) < _ASK_EVERY_S:
            return False
        self._asked_at_by_shard[number] = now
        return True

    def _begin(self, number: int, view: ShardView) -> None:
        record = view.record
        copy = self._copies.seal(SealRequest(number, record.epoch))
        accounts = Accounts()
        accounts.adopt([account_of(state) for state in copy.accounts])
        shard = OwnedShard(
            number, view, accounts, copy.incomplete_for_s, self._lease, None
        )
        shard.alone = Alone(shares_of(accounts.all()), takes_new=True)
        self._owner.take(shard)
        logs.write(
            "shard_acted_for",
            shard=number,
            epoch=record.epoch,
            owner=record.owner,
            accounts=len(copy.accounts),
        )
