"""The state of a shard that this host owns, or acts for as standby."""

import time

from returns.result import Failure as Failed
from returns.result import Result, Success

from masticdale_common import ErrorKind, Failure
from masticdale_gateway.calls import AdmissionClaim
from masticdale_ledger.account_codec import account_to_state
from masticdale_ledger.accounts import Account, Accounts
from masticdale_ledger.copier import AccountSource, Copier, CopyHeader
from masticdale_ledger.isolation import Isolation, charge_peer_quotas
from masticdale_ledger.leases import Lease
from masticdale_ledger.messages import AccountState
from masticdale_ledger.records import record_name
from masticdale_ledger.shards import VersionedShardRecord
from masticdale_workspaces import UsageCopy, UsageCounter, UsageTolerance

# Share of each usage cap that a host may grant while another one may count
# against the same caps.
_SHARED_USAGE = 0.5
# Time in seconds for which a host that can't reach the other side grants this
# share. Must be shorter than ``claims.USAGE_SHARED_S``.
_ALONE_LIMIT_S = 6.0


class OwnedShard(AccountSource):
    """A shard that this host owns, or acts for as standby.

    Attributes:
        number: Its number.
        view: Its record in the store, by which it is owned.
        accounts: The accounts of its programs.
        copier: Replicates accounts to the standby; None without a standby.
        predecessor_incarnation: The process whose accounts were taken over
            exactly; empty if they may lack changes of the previous owner.
        is_handing_over: Whether it is being handed over.
        is_acting: Whether this host is the standby acting for the owner.
        isolation: Limits while this host can't coordinate with the other side,
            its standby or the owner for which it acts; None otherwise.
        won_arbitration: Whether the arbiter has decided for this host.
        usage: Counts requests against the usage caps of workspaces.
    """

    def __init__(
        self,
        number: int,
        view: VersionedShardRecord,
        accounts: Accounts,
        incomplete_for_s: float,
        lease: Lease,
        copier: Copier | None,
        predecessor_incarnation: str = "",
        usage: UsageCounter | None = None,
        usage_shared_for_s: float = 0.0,
    ) -> None:
        """Creates the state of an owned shard.

        Args:
            number: Its number.
            view: Its record in the store, by which it is owned.
            accounts: The accounts known of its programs.
            incomplete_for_s: Seconds for which an unknown program may have
                had turns under an earlier owner; 0 if it is certainly new.
            lease: Lease of this host, whose clock measures that time.
            copier: Replicates accounts to the standby.
            predecessor_incarnation: See the attribute.
            usage: The counted usage; None to begin with full bursts.
            usage_shared_for_s: Seconds for which another host may count
                against the same caps.
        """
        self.number = number
        self.view = view
        self.accounts = accounts
        self.copier = copier
        self.predecessor_incarnation = predecessor_incarnation
        self.is_handing_over = False
        self.is_acting = False
        self.isolation: Isolation | None = None
        self.won_arbitration = False
        self.usage = usage or UsageCounter(UsageTolerance(), lease.now())
        self._usage_shared_until = lease.now() + usage_shared_for_s
        self._complete_from = lease.now() + incomplete_for_s
        self._lease = lease

    def is_blocked_by_isolation(self, claim: AdmissionClaim) -> bool:
        """Returns whether an isolated shard must refuse a turn for now."""
        if self.isolation is None:
            return False
        quota = self.isolation.quota_by_program_id.get(claim.program_id)
        if quota is None:
            return not self.isolation.admits_unknown
        account = self.accounts.get(claim.program_id)
        if account is None:
            return True
        is_reserved = claim.request_id in account.reserved_by_request_id
        if is_reserved and not self.is_acting:
            return False
        # The owner may have refused a turn whose copy arrived here without an
        # answer. It then counts the turn's tokens as its own or as unspent, so
        # that the turn must fit the quota of this side.
        needed = account.committed_tokens
        if not is_reserved:
            needed += claim.turn_tokens
        return needed > quota.limit_tokens

    @property
    def usage_shared_for_s(self) -> float:
        """Seconds for which another host may count against the same caps."""
        return max(0.0, self._usage_shared_until - self._lease.now())

    @property
    def usage_share(self) -> float:
        """Share of each usage cap that this host may grant now.

        While it can't reach the other side, only the host for which the
        arbiter has decided grants anything. It can't tell whether a third host
        has claimed the shard meanwhile.
        """
        isolation = self.isolation
        if isolation is not None:
            alone_s = self._lease.now() - isolation.began_at
            is_allowed = self.won_arbitration and alone_s < _ALONE_LIMIT_S
            return _SHARED_USAGE if is_allowed else 0.0
        return _SHARED_USAGE if self.usage_shared_for_s > 0 else 1.0

    @property
    def now(self) -> float:
        """Present seconds of the clock by which usage is counted."""
        return self._lease.now()

    @property
    def incomplete_for_s(self) -> float:
        """Seconds for which unknown programs may have had turns before."""
        return max(0.0, self._complete_from - self._lease.now())

    def get_or_create(self, claim: AdmissionClaim) -> Account:
        """Returns the account of a claim's program; creates it if missing."""
        is_known = self.accounts.get(claim.program_id) is not None
        account = self.accounts.get_or_create(
            claim,
            record_name(claim.program_id),
            self.incomplete_for_s == 0,
            time.monotonic(),
        )
        if not is_known:
            account.awaits_standby_ack = True
        return account

    def states(self, program_ids: list[str] | None) -> tuple[AccountState, ...]:
        """See ``AccountSource.states``."""
        if program_ids is None:
            return tuple(account_to_state(a) for a in self.accounts.all())
        found = (self.accounts.get(i) for i in program_ids)
        return tuple(account_to_state(a) for a in found if a is not None)

    def usage_copies(
        self, workspaces: list[str] | None
    ) -> tuple[UsageCopy, ...]:
        """See ``AccountSource.usage_copies``."""
        return self.usage.copies(workspaces, self.now)

    @property
    def needs_replication(self) -> bool:
        """Whether the standby lacks changes or the state of the store."""
        has_store = not self._lease.is_store_unreachable
        return self.copier is not None and self.copier.has_pending(
            owner_has_store=has_store
        )

    @property
    def standby_may_have_admitted_unknown(self) -> bool:
        """Whether the standby may have admitted programs unknown here."""
        if self.copier is None or not self.copier.standby_may_hold_copy:
            return False
        has_arbiter = bool(self.view.record.arbiter_address)
        return self.copier.standby_may_admit_unknown or (
            has_arbiter
            and not self.won_arbitration
            and not self.copier.is_standby_stopping
        )

    @property
    def standby_may_act(self) -> bool:
        """Whether the standby may become the acting owner."""
        return self.copier is not None and self.copier.standby_may_hold_copy

    @property
    def is_standby_stopping(self) -> bool:
        """Whether the standby has said that it is stopping."""
        return self.copier is not None and self.copier.is_standby_stopping

    def unacknowledged_program_ids(self) -> set[str]:
        """Returns the programs that no standby has acknowledged."""
        return {
            a.program_id for a in self.accounts.all() if a.awaits_standby_ack
        }

    def states_with_peer_spending(self) -> tuple[AccountState, ...]:
        """Returns all accounts, charged with the quotas of the other side."""
        quota_by_program_id = (
            self.isolation.quota_by_program_id if self.isolation else {}
        )
        return charge_peer_quotas(self.states(None), quota_by_program_id)

    async def replicate(self) -> Result[None, Failure]:
        """Replicates all changes, unless isolated or without a standby."""
        if self.copier is None or self.isolation is not None:
            return Success(None)
        return await self.replicate_now()

    async def replicate_now(self) -> Result[None, Failure]:
        """Replicates all changes, also while the shard is isolated."""
        if self.copier is None:
            return Failed(Failure(ErrorKind.PEER_UNAVAILABLE, "no standby"))
        header = CopyHeader(
            self.number,
            self.view.record.epoch,
            self.incomplete_for_s,
            owner_has_store=not self._lease.is_store_unreachable,
            usage_incomplete_for_s=self.usage.incomplete_for_s(self.now),
        )
        return await self.copier.send(header, self)
