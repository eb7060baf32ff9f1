"""Holds copies of the accounts of shards for which this host is the standby.

While an owner reaches its standby, it admits a turn only after the standby has
acknowledged the account. The next owner seals the copy, and the standby rejects
further copies. This fences the old owner at once, independently of clocks: it
admits no more than its isolation quotas, which the next owner charges. The
sealed copy holds every other turn, so the loss of one host costs no budget.
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
from masticdale_workspaces import UsageLevel

# Maximum number of accounts in a copy; the least recently changed is evicted
# first. Must not be less than an owner keeps (``accounts._MAX_ACCOUNTS``).
_MAX_ACCOUNTS = 20_000


# Maximum number of usage levels in a copy. A workspace without one counts as
# unused, so that this must exceed the workspaces that send at the same time.
_MAX_USAGES = 20_000


@dataclasses.dataclass(frozen=True, slots=True)
class _ReceivedUsage:
    """A usage level, and when it arrived, in seconds of the boot clock."""

    level: UsageLevel
    received_at: float


@dataclasses.dataclass(slots=True)
class _ShardCopy:
    """The copy of one shard.

    Attributes:
        epoch: Epoch of the shard's record; copies of earlier ones are rejected.
        account_by_id: The accounts, by program ID.
        complete_from: Time on the boot clock, in seconds, from which a program
            without an account has had no turns before.
        owner_has_store: Whether the owner reached the store at its last copy.
        was_stop_announced: Whether the owner was told that this host stops.
        was_acting: Whether this host was the acting owner: the accounts then
            include the turns that it admitted and those that the owner may
            have admitted meanwhile.
        usage_by_workspace: The levels of usage caps.
        usage_complete_from: Time on the boot clock, in seconds, from which a
            workspace without a level has used nothing.
    """

    epoch: int
    account_by_id: collections.OrderedDict[str, AccountState]
    complete_from: float
    owner_has_store: bool
    was_stop_announced: bool = False
    was_acting: bool = False
    usage_by_workspace: collections.OrderedDict[str, _ReceivedUsage] = (
        dataclasses.field(default_factory=collections.OrderedDict)
    )
    usage_complete_from: float = 0.0

    def put_usages(
        self, levels: tuple[UsageLevel, ...], incomplete_for_s: float
    ) -> None:
        """Replaces the levels of some workspaces."""
        now = boot_time_s()
        self.usage_complete_from = now + incomplete_for_s
        for level in levels:
            self.usage_by_workspace[level.workspace] = _ReceivedUsage(
                level, now
            )
            self.usage_by_workspace.move_to_end(level.workspace)
        while len(self.usage_by_workspace) > _MAX_USAGES:
            self.usage_by_workspace.popitem(last=False)

    def usages(self) -> tuple[UsageLevel, ...]:
        """Returns the levels as they are now without further requests."""
        now = boot_time_s()
        return tuple(
            usage.level.after(now - usage.received_at)
            for usage in self.usage_by_workspace.values()
        )


class StandbyCopies:
    """The copies that this host holds as a standby.

    Attributes:
        is_stopping: Whether this host is stopping. Owners are told, and name
            another standby while this one still answers, so that no turn has
            to wait for a stopped host.
    """

    def __init__(self) -> None:
        self.is_stopping = False
        self._copy_by_shard: dict[int, _ShardCopy] = {}
        self._sealed_epoch_by_shard: dict[int, int] = {}

    def put(self, request: CopyRequest) -> CopyReply:
        """Applies a copy from an owner; rejects it if its epoch is sealed."""
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
            # No copy of this epoch has arrived, or this process has restarted
            # since, and may have been sealed before. If it accepted, a replaced
            # owner could admit turns beside the next one. The owner has to
            # assign a standby again, by a write that fails if it was replaced.
            return CopyReply(held=False)
        copy.complete_from = boot_time_s() + request.incomplete_for_s
        copy.owner_has_store = request.owner_has_store
        for account in request.accounts:
            copy.account_by_id[account.program_id] = account
            copy.account_by_id.move_to_end(account.program_id)
        copy.put_usages(request.usages, request.usage_incomplete_for_s)
        while len(copy.account_by_id) > _MAX_ACCOUNTS:
            copy.account_by_id.popitem(last=False)
        copy.was_stop_announced = self.is_stopping
        return CopyReply(held=True, stops=self.is_stopping)

    def is_usable(self, shard_number: int, epoch: int) -> bool:
        """Returns whether this host may take over with its copy of an epoch.

        It may not with a sealed copy, nor if the owner was told that this host
        stops: that owner does not count what this host would admit.
        """
        copy = self._copy_by_shard.get(shard_number)
        if copy is None or copy.epoch != epoch or copy.was_stop_announced:
            return False
        return epoch > self._sealed_epoch_by_shard.get(shard_number, 0)

    def owner_lost_store(self, shard_number: int, epoch: int) -> bool:
        """Returns whether an epoch's last copy said that the store was lost."""
        copy = self._copy_by_shard.get(shard_number)
        return (
            copy is not None
            and copy.epoch == epoch
            and not copy.owner_has_store
        )

    def replace_sealed(
        self,
        shard_number: int,
        epoch: int,
        accounts: tuple[AccountState, ...],
        incomplete_for_s: float,
        usages: tuple[UsageLevel, ...] = (),
        usage_incomplete_for_s: float = 0.0,
    ) -> None:
        """Replaces a sealed copy by the accounts of the acting owner.

        A copy of a later epoch stays: it comes from an owner that was only
        partitioned meanwhile.

        Args:
            shard_number: The shard.
            epoch: The epoch whose copy was sealed when this host took over.
            accounts: All accounts, with the turns admitted here.
            incomplete_for_s: For how many more seconds a program without an
                account may have had turns before.
            usages: All levels of usage caps.
            usage_incomplete_for_s: For how many more seconds other levels may
                be missing.
        """
        held = self._copy_by_shard.get(shard_number)
        if held is not None and held.epoch > epoch:
            return
        copy = _ShardCopy(
            epoch,
            collections.OrderedDict((a.program_id, a) for a in accounts),
            boot_time_s() + incomplete_for_s,
            owner_has_store=False,
            was_acting=True,
        )
        copy.put_usages(usages, usage_incomplete_for_s)
        self._copy_by_shard[shard_number] = copy

    def seal(self, request: SealRequest) -> SealReply:
        """Rejects copies up to an epoch from now on; returns its last copy."""
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
            usages=copy.usages(),
            usage_incomplete_for_s=max(
                0.0, copy.usage_complete_from - boot_time_s()
            ),
        )
