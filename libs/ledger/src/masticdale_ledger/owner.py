"""Admits the requests of the shards that this host owns."""

import asyncio
import collections
import dataclasses
import time

from returns.result import Failure as Failed
from returns.result import Result, Success

from masticdale_common import ErrorKind, Failure, Metrics, logs
from masticdale_gateway.calls import AdmissionClaim
from masticdale_ledger.accounts import (
    Account,
    Admitted,
    BudgetExceeded,
    NeedsRecord,
)
from masticdale_ledger.leases import Lease
from masticdale_ledger.messages import Settlement
from masticdale_ledger.owned_shard import OwnedShard
from masticdale_ledger.records import ProgramRecords
from masticdale_ledger.shards import LEDGER_SHARD_COUNT
from masticdale_routing.assignments import TurnAssignments, TurnEnd, TurnKey
from masticdale_workspaces import Demand

# Interval at which settled turns are replicated to standbys, in seconds.
REPLICATION_INTERVAL_S = 0.15
# The owner of this shard deletes the expired records of all shards, at this
# interval in seconds.
_CLEANUP_SHARD = 0
_CLEANUP_INTERVAL_S = 3600.0
# Attempts to evaluate one turn and raise its bound. After a conflict the next
# attempt starts from the bound found in the store. If conflicts persist, the
# turn is rejected with LEDGER_UNAVAILABLE.
_MAX_ATTEMPTS = 4
# Time in seconds for which a turn that is over budget only because of reserved
# tokens waits for them to be settled: about three turns. Turns reserve their
# maximum and use a fifth to a half of it. Without the wait, sub-agents that
# start together would get a 402, which ends their program.
_RESERVATION_WAIT_S = 1.0
_RETRY_INTERVAL_S = 0.03


@dataclasses.dataclass(frozen=True, slots=True)
class _OverBudget:
    """A turn that does not fit the budget at present."""

    account: Account
    verdict: BudgetExceeded


class ShardOwner:
    """Admits and settles turns of the shards that this host owns.

    Attributes:
        replication_failure_by_shard: Why a shard's standby needs replacing.
    """

    def __init__(
        self,
        records: ProgramRecords,
        lease: Lease,
        metrics: Metrics,
        assignments: TurnAssignments | None = None,
    ) -> None:
        """Creates an owner of no shards.

        Args:
            records: The records of programs in the store.
            lease: Lease of this host.
            metrics: Metrics registry.
            assignments: Assigns replicas to admitted turns; None for none.
        """
        self._assignments = assignments
        self.replication_failure_by_shard: dict[int, Failure] = {}
        self._records = records
        self._lease = lease
        self._metrics = metrics
        self._cleaned_at = time.monotonic()
        self._shard_by_number: dict[int, OwnedShard] = {}
        self._write_lock_by_program: dict[str, asyncio.Lock] = (
            collections.defaultdict(asyncio.Lock)
        )

    def owned(self) -> dict[int, OwnedShard]:
        """Returns the owned shards by number."""
        return dict(self._shard_by_number)

    def take(self, shard: OwnedShard) -> None:
        """Starts to own a shard."""
        self._shard_by_number[shard.number] = shard
        self.replication_failure_by_shard.pop(shard.number, None)

    def drop(self, shard_number: int) -> None:
        """Stops owning a shard."""
        if self._assignments is not None:
            self._assignments.drop_shard(shard_number)
        self._shard_by_number.pop(shard_number, None)
        self.replication_failure_by_shard.pop(shard_number, None)

    async def admit(
        self, shard_number: int, claim: AdmissionClaim
    ) -> Result[None, Failure]:
        """Reserves the maximum of a turn; see ``BudgetLedger.admit``."""
        wait_until = time.monotonic() + _RESERVATION_WAIT_S
        while True:
            outcome = await self._decide(shard_number, claim)
            if not isinstance(outcome, _OverBudget):
                return outcome
            if outcome.verdict.is_final or time.monotonic() >= wait_until:
                return Failed(
                    self._over_budget_failure(shard_number, claim, outcome)
                )
            await asyncio.sleep(_RETRY_INTERVAL_S)

    async def _decide(
        self, shard_number: int, claim: AdmissionClaim
    ) -> "Result[None, Failure] | _OverBudget":
        for _ in range(_MAX_ATTEMPTS):
            shard = self._shard_by_number.get(shard_number)
            if shard is None or shard.is_handing_over:
                return Failed(
                    Failure(ErrorKind.NOT_OWNER, f"shard {shard_number}")
                )
            if not self._lease.is_valid and not shard.is_acting:
                detail = (
                    f"lease of shard {shard_number}, age {self._lease.age_s}"
                )
                return Failed(Failure(ErrorKind.LEDGER_UNAVAILABLE, detail))
            refusal = self._usage_refusal(shard, claim)
            if refusal is not None:
                return Failed(refusal)
            if not claim.is_turn:
                return await self._count_call(shard, claim)
            if shard.is_blocked_by_isolation(claim):
                return _isolated_failure(shard_number)
            account = shard.get_or_create(claim)
            verdict = account.evaluate(claim)
            if isinstance(verdict, Admitted):
                return await self._reserve(shard, claim)
            if isinstance(verdict, BudgetExceeded):
                return _OverBudget(account, verdict)
            if shard.isolation is not None:
                # A higher bound would allow tokens here that the other side
                # may have granted already.
                return _isolated_failure(shard_number)
            written = await self._raise_stored_bound(shard, claim, account)
            if isinstance(written, Failed):
                return written
        return Failed(
            Failure(ErrorKind.LEDGER_UNAVAILABLE, "too many record conflicts")
        )

    def assign_replica(self, shard_number: int, claim: AdmissionClaim) -> str:
        """Assigns a replica to an admitted turn; empty if none is known."""
        shard = self._shard_by_number.get(shard_number)
        if self._assignments is None or shard is None:
            return ""
        owned_share = len(self._shard_by_number) / LEDGER_SHARD_COUNT
        replica_id = self._assignments.assign(
            TurnKey(shard_number, claim.program_id, claim.request_id),
            claim.prompt,
            owned_share,
            time.monotonic(),
        )
        logs.write_bounded(
            "replica_assigned",
            request_id=claim.request_id,
            program_id=claim.program_id,
            shard=shard_number,
            replica=replica_id,
            turns=self._assignments.turns_at(replica_id),
            owned_share=owned_share,
        )
        return replica_id

    def settle(self, settlement: Settlement) -> bool:
        """Settles a turn; returns False if another host owns the shard."""
        shard = self._shard_by_number.get(settlement.shard)
        if shard is None or shard.is_handing_over:
            return False
        shard.accounts.settle(
            settlement.program_id,
            settlement.request_id,
            settlement.used_tokens,
        )
        if shard.copier is not None:
            shard.copier.mark_changed(settlement.program_id)
        if self._assignments is not None:
            self._assignments.release(
                TurnKey(
                    settlement.shard,
                    settlement.program_id,
                    settlement.request_id,
                ),
                TurnEnd(
                    settlement.replica_id,
                    settlement.failed_replica_ids,
                    settlement.event_interval_s,
                ),
                time.monotonic(),
            )
        return True

    async def replicate_changes(self) -> None:
        """Replicates settled turns to the standbys.

        A turn whose settlement the standby lacks counts at its maximum after a
        takeover, which exhausts the budget of its program too early.
        """
        for shard in list(self._shard_by_number.values()):
            if not shard.needs_replication:
                continue
            copied = await shard.replicate()
            if isinstance(copied, Failed):
                self.replication_failure_by_shard[shard.number] = (
                    copied.failure()
                )

    async def evict_idle_programs(self) -> None:
        """Evicts idle programs; deletes their records and expired ones."""
        for shard in list(self._shard_by_number.values()):
            shard.usage.evict_full(shard.now)
            for account in shard.accounts.evict_idle(time.monotonic()):
                self._write_lock_by_program.pop(account.program_id, None)
                if account.bound is not None:
                    await self._records.delete(
                        account.program_id, account.bound.version
                    )
        is_due = time.monotonic() - self._cleaned_at >= _CLEANUP_INTERVAL_S
        if is_due and _CLEANUP_SHARD in self._shard_by_number:
            self._cleaned_at = time.monotonic()
            await self._records.delete_expired(time.time_ns() // 1_000_000)

    async def _reserve(
        self, shard: OwnedShard, claim: AdmissionClaim
    ) -> Result[None, Failure]:
        if not _is_reserved(shard, claim):
            self._take_usage(shard, claim)
        account = shard.accounts.reserve(claim)
        if shard.copier is not None:
            shard.copier.mark_changed(claim.program_id)
        copied = await self._replicate(shard)
        if not isinstance(copied, Failed):
            if shard.isolation is None:
                account.awaits_standby_ack = False
            return copied
        if copied.failure().kind is ErrorKind.LEDGER_UNAVAILABLE:
            shard.accounts.settle(claim.program_id, claim.request_id, 0)
            self._give_back_usage(shard, claim)
        return copied

    async def _count_call(
        self, shard: OwnedShard, claim: AdmissionClaim
    ) -> Result[None, Failure]:
        """Counts a call that claims no tokens against its usage cap."""
        if self._take_usage(shard, claim):
            return Success(None)
        copied = await self._replicate(shard)
        if isinstance(copied, Failed):
            self._give_back_usage(shard, claim)
        return copied

    async def _replicate(self, shard: OwnedShard) -> Result[None, Failure]:
        copied = await shard.replicate()
        # Another host may have taken the shard over meanwhile, for example
        # while this one was suspended.
        if self._shard_by_number.get(shard.number) is not shard:
            detail = f"shard {shard.number}"
            return Failed(Failure(ErrorKind.NOT_OWNER, detail))
        if not isinstance(copied, Failed):
            return Success(None)
        self.replication_failure_by_shard[shard.number] = copied.failure()
        detail = f"standby of shard {shard.number}: {copied.failure()}"
        return Failed(Failure(ErrorKind.LEDGER_UNAVAILABLE, detail))

    def _usage_refusal(
        self, shard: OwnedShard, claim: AdmissionClaim
    ) -> Failure | None:
        """Returns why a request does not fit its usage cap, or None."""
        usage = claim.usage
        if usage is None or _is_reserved(shard, claim):
            return None
        share = shard.usage_share
        shard.usage.set_share(share, shard.now)
        demand = _demand(shard, claim)
        wait_s = shard.usage.wait_s(usage, demand, shard.now)
        if wait_s == 0:
            return None
        logs.write_bounded(
            "usage_refused",
            request_id=claim.request_id,
            program_id=claim.program_id,
            workspace=usage.workspace,
            shard=shard.number,
            demand=demand.name.lower(),
            level=shard.usage.level(usage, shard.now),
            rate_per_s=usage.cap.rate_per_s,
            burst=usage.cap.burst,
            version=usage.version,
            share=share,
            wait_ms=None if wait_s is None else round(1000 * wait_s),
        )
        self._metrics.count("usage_refusals_total", demand=demand.name.lower())
        if wait_s is None:
            detail = f"usage of shard {shard.number} can't be counted"
            return Failure(ErrorKind.LEDGER_UNAVAILABLE, detail)
        return Failure(
            ErrorKind.LIMIT_REACHED, retry_after_ms=1 + int(1000 * wait_s)
        )

    def _take_usage(self, shard: OwnedShard, claim: AdmissionClaim) -> bool:
        """Counts a request; returns whether the standby has counted it."""
        if claim.usage is None:
            return True
        is_covered = shard.usage.take(claim.usage, shard.now)
        self._metrics.count("usage_counted_total")
        workspace = claim.usage.workspace
        if shard.copier is None:
            return True
        if claim.is_turn or shard.usage.needs_copy(workspace):
            shard.copier.mark_usage_changed(workspace)
        return is_covered

    def _give_back_usage(
        self, shard: OwnedShard, claim: AdmissionClaim
    ) -> None:
        if claim.usage is not None:
            shard.usage.give_back(claim.usage, shard.now)

    async def _raise_stored_bound(
        self, shard: OwnedShard, claim: AdmissionClaim, account: Account
    ) -> Result[None, Failure]:
        async with self._write_lock_by_program[claim.program_id]:
            verdict = account.evaluate(claim)
            if not isinstance(verdict, NeedsRecord):
                return Success(None)
            outcome = await self._records.raise_bound(
                claim.program_id, verdict.bound_tokens, verdict.version
            )
            if not isinstance(outcome, Failed):
                self._metrics.count("ledger_records_total")
                shard.accounts.set_bound(claim.program_id, outcome.unwrap())
                return Success(None)
            if outcome.failure().kind is not ErrorKind.CONFLICT:
                detail = f"record: {outcome.failure()}"
                return Failed(Failure(ErrorKind.LEDGER_UNAVAILABLE, detail))
            return await self._adopt_stored_bound(shard, claim, account)

    async def _adopt_stored_bound(
        self, shard: OwnedShard, claim: AdmissionClaim, account: Account
    ) -> Result[None, Failure]:
        found = await self._records.read(claim.program_id)
        if isinstance(found, Failed):
            detail = f"record: {found.failure()}"
            return Failed(Failure(ErrorKind.LEDGER_UNAVAILABLE, detail))
        written = found.unwrap()
        account.bound = written.bound if written else None
        account.counts_from_start = False
        # Without a record, which may have expired, the account's own count
        # stands and the next attempt creates a new record. A write of the
        # predecessor may have been in flight when it handed its accounts over;
        # it then admitted no turn under that bound.
        is_known = (
            written is not None
            and written.writer_incarnation == shard.predecessor_incarnation
        )
        if written is not None and not is_known:
            account.spent_tokens = max(
                account.spent_tokens, written.bound.tokens
            )
        logs.write_bounded(
            "ledger_bound_of_another_owner",
            program_id=claim.program_id,
            bound_tokens=written.bound.tokens if written else 0,
            writer=written.writer_incarnation if written else "",
            counts_as_spent=not is_known,
        )
        return Success(None)

    def _over_budget_failure(
        self, shard_number: int, claim: AdmissionClaim, outcome: "_OverBudget"
    ) -> Failure:
        account, verdict = outcome.account, outcome.verdict
        self._metrics.count("ledger_refusals_total")
        logs.write_bounded(
            "budget_spent",
            request_id=claim.request_id,
            program_id=claim.program_id,
            shard=shard_number,
            budget_tokens=claim.budget_tokens,
            spent_tokens=verdict.spent_tokens,
            reserved_tokens=verdict.reserved_tokens,
            turn_tokens=claim.turn_tokens,
            counted_from_start=account.counts_from_start,
            lease_age_s=self._lease.age_s,
        )
        return Failure(ErrorKind.BUDGET_EXCEEDED)


def _is_reserved(shard: OwnedShard, claim: AdmissionClaim) -> bool:
    """Returns whether a turn was admitted before, so that it counts no more."""
    account = shard.accounts.get(claim.program_id)
    return account is not None and (
        claim.request_id in account.reserved_by_request_id
    )


def _demand(shard: OwnedShard, claim: AdmissionClaim) -> Demand:
    if not claim.program_id:
        return Demand.NEW
    if not claim.is_turn:
        return Demand.CALL
    is_known = shard.accounts.get(claim.program_id) is not None
    return Demand.TURN if is_known else Demand.NEW


def _isolated_failure(shard_number: int) -> Result[None, Failure]:
    detail = f"shard {shard_number} is isolated; no quota for the turn"
    return Failed(Failure(ErrorKind.LEDGER_UNAVAILABLE, detail))
