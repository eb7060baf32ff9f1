"""Copies of other hosts' shards.

An owner admits a turn only after its standby holds the account. So a standby
that is sealed stops the owner at once, whatever clocks say, and whoever takes
the shard over gets exact accounts. The loss of one host costs no budget.
"""

import collections
import dataclasses

from masticdale_common import logs
from masticdale_ledger.leases import boot_time_s
from masticdale_ledger.messages import (
    AccountState,
    CopyReply,
    CopyRequest,
    SealReply,
    SealRequest,
)

# Programs kept of one shard; the longest unchanged go first. As many as an
# owner keeps.
_MAX_ACCOUNTS = 20_000


@dataclasses.dataclass(slots=True)
class _ShardCopy:
    """What is held of one shard.

    Attributes:
        epoch: The owner's epoch.
        account_by_id: Its accounts.
        complete_from: Clock seconds from which no program is missing.
        owner_has_store: Whether its owner reached the store with its last copy.
        was_stop_announced: Whether its owner was told that this host stops.
        was_acting: Whether it counts what was given here, and what its owner
            may have given meanwhile.
    """

    epoch: int
    account_by_id: collections.OrderedDict[str, AccountState]
    complete_from: float
    owner_has_store: bool
    was_stop_announced: bool = False
    was_acting: bool = False


class StandbyCopies:
    """The copies that this host holds.

    Attributes:
        is_stopping: Whether this host is about to end. Owners are told, and
            name another standby while this one still answers: none of their
            turns has to wait for a host that is gone.
    """

    def __init__(self) -> None:
        self.is_stopping = False
        self._copy_by_shard: dict[int, _ShardCopy] = {}
        self._sealed_epoch_by_shard: dict[int, int] = {}

    def put(self, request: CopyRequest) -> CopyReply:
        """Takes changed accounts from an owner."""
        if request.epoch <= self._sealed_epoch_by_shard.get(request.shard, 0):
            return CopyReply(sealed=True)
        copy = self._copy_by_shard.get(request.shard)
        if copy is not None and copy.epoch > request.epoch:
            return CopyReply(sealed=True)
        is_held = copy is not None and copy.epoch == request.epoch
        if request.is_snapshot and (is_held or not request.renews):
            copy = _ShardCopy(
                request.epoch, collections.OrderedDict(), 0.0, True
            )
            self._copy_by_shard[request.shard] = copy
        if copy is None or copy.epoch != request.epoch:
            # This process started after the copy was made. It may have been
            # sealed before: with consent from now on, an owner that was
            # replaced went on beside the next one. The owner has to name it
            # again, by a write that fails if it was replaced.
            return CopyReply(held=False)
        copy.complete_from = boot_time_s() + request.incomplete_for_s
        copy.owner_has_store = request.owner_has_store
        for account in request.accounts:
            copy.account_by_id[account.program_id] = account
            copy.account_by_id.move_to_end(account.program_id)
        while len(copy.account_by_id) > _MAX_ACCOUNTS:
            copy.account_by_id.popitem(last=False)
        copy.was_stop_announced = self.is_stopping
        return CopyReply(held=True, stops=self.is_stopping)

    def is_usable(self, shard: int, epoch: int) -> bool:
        """Returns whether there is a copy of an epoch to act on.

        A sealed one is none. Nor is one whose owner was told that this host
        stops: it names another standby, and counts nothing for this one.
        """
        copy = self._copy_by_shard.get(shard)
        if copy is None or copy.epoch != epoch or copy.was_stop_announced:
            return False
        return epoch > self._sealed_epoch_by_shard.get(shard, 0)

    def owner_lost_store(self, shard: int, epoch: int) -> bool:
        """Returns whether an owner said so with its last copy of an epoch."""
        copy = self._copy_by_shard.get(shard)
        return (
            copy is not None
            and copy.epoch == epoch
            and not copy.owner_has_store
        )

    def replace_sealed(
        self,
        shard: int,
        epoch: int,
        accounts: tuple[AccountState, ...],
        incomplete_for_s: float,
    ) -> None:
        """Replaces a sealed copy by what became of it while this host acted.

        An owner that was only cut off may have sent a copy of its next epoch
        meanwhile, which then stays.

        Args:
            shard: The shard.
            epoch: The epoch whose copy was sealed to act for its owner.
            accounts: All accounts, with what was given here.
            incomplete_for_s: Programs of before may be missing for so long.
        """
        held = self._copy_by_shard.get(shard)
        if held is not None and held.epoch > epoch:
            return
        self._copy_by_shard[shard] = _ShardCopy(
            epoch,
            collections.OrderedDict((a.program_id, a) for a in accounts),
            boot_time_s() + incomplete_for_s,
            owner_has_store=False,
            was_acting=True,
        )

    def seal(self, request: SealRequest) -> SealReply:
        """Takes no more copies up to an epoch; returns what is held of it."""
        sealed = self._sealed_epoch_by_shard.get(request.shard, 0)
        self._sealed_epoch_by_shard[request.shard] = max(sealed, request.epoch)
        copy = self._copy_by_shard.get(request.shard)
        is_held = copy is not None and copy.epoch == request.epoch
        logs.write(
            "copy_sealed",
            shard=request.shard,
            epoch=request.epoch,
            held=is_held,
            accounts=len(copy.account_by_id) if copy and is_held else 0,
        )
        if copy is None or not is_held:
            return SealReply()
        return SealReply(
            held=True,
            accounts=tuple(copy.account_by_id.values()),
            incomplete_for_s=max(0.0, copy.complete_from - boot_time_s()),
            acted=copy.was_acting,
        )
