"""Admits turns of the shards that this host owns."""

import asyncio
import collections
import dataclasses
import time

from returns.result import Failure as Failed
from returns.result import Result, Success

from masticdale_common import ErrorKind, Failure, Metrics, logs
from masticdale_gateway.calls import TurnClaim
from masticdale_ledger.accounts import (
    Account,
    Accounts,
    Admitted,
    Bound,
    NeedsRecord,
    Spent,
)
from masticdale_ledger.leases import LEASE_S, Lease
from masticdale_ledger.messages import AccountState, Settlement
from masticdale_ledger.records import ProgramRecords, record_name
from masticdale_ledger.shards import Previous, ShardView

# Rounds of judging and writing for one turn. Each conflict raises the bound
# to another owner's, so that three rounds pass every step.
_ROUNDS = 4


@dataclasses.dataclass(slots=True)
class _OwnedShard:
    """A shard while this host owns it.

    Attributes:
        view: The record by which it is owned.
        accounts: Its programs.
        exclusive_at: Lease seconds from which the last owner surely acts no more.
        is_moving: Whether it is being handed over.
    """

    view: ShardView
    accounts: Accounts
    exclusive_at: float
    is_moving: bool = False


class ShardOwner:
    """The shards of this host."""

    def __init__(
        self, records: ProgramRecords, lease: Lease, metrics: Metrics
    ) -> None:
        self._records = records
        self._lease = lease
        self._metrics = metrics
        self._shard_by_number: dict[int, _OwnedShard] = {}
        self._write_lock_by_program: dict[str, asyncio.Lock] = (
            collections.defaultdict(asyncio.Lock)
        )

    def owned(self) -> dict[int, ShardView]:
        """Returns the shards owned, by number."""
        return {n: s.view for n, s in self._shard_by_number.items()}

    def take(
        self,
        shard: int,
        view: ShardView,
        bound_by_record: dict[str, Bound],
        accounts: list[Account] | None = None,
    ) -> None:
        """Begins to own a shard.

        Args:
            shard: Its number.
            view: The record by which it is owned.
            bound_by_record: Every record, read after that one was written.
            accounts: What the last owner handed over; None if it didn't.
        """
        wait_s = LEASE_S if view.record.previous is Previous.LOST else 0.0
        owned = _OwnedShard(
            view, Accounts(bound_by_record), self._lease.now() + wait_s
        )
        owned.accounts.adopt(accounts or [])
        self._shard_by_number[shard] = owned

    def drop(self, shard: int) -> None:
        """Stops to own a shard."""
        self._shard_by_number.pop(shard, None)

    def begin_move(self, shard: int) -> list[AccountState]:
        """Admits no more turns of a shard; returns what is to be handed over.

        ``end_move`` or ``drop`` follows.
        """
        owned = self._shard_by_number[shard]
        owned.is_moving = True
        return [_state(a) for a in owned.accounts.all()]

    def end_move(self, shard: int) -> None:
        """Goes on to admit: the shard could not be handed over."""
        owned = self._shard_by_number.get(shard)
        if owned is not None:
            owned.is_moving = False

    async def admit(
        self, shard: int, claim: TurnClaim
    ) -> Result[None, Failure]:
        """Reserves what a turn may use; see ``BudgetLedger.admit``."""
        for _ in range(_ROUNDS):
            owned = self._shard_by_number.get(shard)
            if owned is None or owned.is_moving:
                return Failed(Failure(ErrorKind.NOT_OWNER, f"shard {shard}"))
            if not self._lease.is_valid:
                detail = f"lease of shard {shard}, age {self._lease.age_s}"
                return Failed(Failure(ErrorKind.LEDGER_UNAVAILABLE, detail))
            account = self._open(owned, claim)
            verdict = account.judge(claim)
            if isinstance(verdict, Admitted):
                owned.accounts.reserve(claim)
                return Success(None)
            if isinstance(verdict, Spent):
                return Failed(self._spent(shard, claim, account, verdict))
            written = await self._write(owned, claim, account)
            if isinstance(written, Failed):
                return written
        return Failed(Failure(ErrorKind.LEDGER_UNAVAILABLE, "contended"))

    def settle(self, settlement: Settlement) -> bool:
        """Notes what a turn used; False where another host owns the shard."""
        owned = self._shard_by_number.get(settlement.shard)
        if owned is None or owned.is_moving:
            return False
        owned.accounts.settle(
            settlement.program_id,
            settlement.request_id,
            settlement.used_tokens,
        )
        return True

    async def forget_old(self) -> None:
        """Drops programs that will not come back, and their records."""
        for owned in list(self._shard_by_number.values()):
            before = {a.program_id: a for a in owned.accounts.all()}
            owned.accounts.forget_old(time.monotonic())
            for account in owned.accounts.all():
                before.pop(account.program_id, None)
            for account in before.values():
                self._write_lock_by_program.pop(account.program_id, None)
                if account.bound is not None:
                    await self._records.delete(
                        account.program_id, account.bound.version
                    )

    def _open(self, owned: _OwnedShard, claim: TurnClaim) -> Account:
        # Until the last owner has surely ended, it may count the same program
        # from nothing too; then only what a record grants may be spent here.
        is_exclusive = self._lease.now() >= owned.exclusive_at
        return owned.accounts.open(
            claim,
            record_name(claim.program_id),
            claim.is_first_turn and is_exclusive,
            time.monotonic(),
        )

    async def _write(
        self, owned: _OwnedShard, claim: TurnClaim, account: Account
    ) -> Result[None, Failure]:
        async with self._write_lock_by_program[claim.program_id]:
            verdict = account.judge(claim)
            if not isinstance(verdict, NeedsRecord):
                return Success(None)
            outcome = await self._records.raise_bound(
                claim.program_id, verdict.bound_tokens, verdict.version
            )
            if not isinstance(outcome, Failed):
                self._metrics.count("ledger_records_total")
                owned.accounts.set_bound(claim.program_id, outcome.unwrap())
                return Success(None)
            if outcome.failure().kind is not ErrorKind.CONFLICT:
                detail = f"record: {outcome.failure()}"
                return Failed(Failure(ErrorKind.LEDGER_UNAVAILABLE, detail))
            return await self._take_stored(claim, account)

    async def _take_stored(
        self, claim: TurnClaim, account: Account
    ) -> Result[None, Failure]:
        found = await self._records.read(claim.program_id)
        if isinstance(found, Failed):
            detail = f"record: {found.failure()}"
            return Failed(Failure(ErrorKind.LEDGER_UNAVAILABLE, detail))
        bound = found.unwrap()
        account.bound = bound
        account.counts_from_start = False
        if bound is not None:
            account.spent_tokens = max(account.spent_tokens, bound.tokens)
        logs.write_bounded(
            "ledger_bound_of_another_owner",
            program_id=claim.program_id,
            bound_tokens=bound.tokens if bound else 0,
        )
        return Success(None)

    def _spent(
        self, shard: int, claim: TurnClaim, account: Account, verdict: Spent
    ) -> Failure:
        self._metrics.count("ledger_refusals_total")
        logs.write_bounded(
            "budget_spent",
            request_id=claim.request_id,
            program_id=claim.program_id,
            shard=shard,
            budget_tokens=claim.budget_tokens,
            spent_tokens=verdict.spent_tokens,
            reserved_tokens=verdict.reserved_tokens,
            turn_tokens=claim.turn_tokens,
            counted_from_start=account.counts_from_start,
            lease_age_s=self._lease.age_s,
        )
        return Failure(ErrorKind.BUDGET_EXCEEDED)


def _state(account: Account) -> AccountState:
    bound = account.bound or Bound(0, 0)
    reserved = account.reserved_by_request_id
    return AccountState(
        program_id=account.program_id,
        budget_tokens=account.budget_tokens,
        spent_tokens=account.spent_tokens,
        counts_from_start=account.counts_from_start,
        bound_tokens=bound.tokens,
        bound_version=bound.version,
        reserved_ids=tuple(reserved),
        reserved_tokens=tuple(reserved.values()),
    )


def account_of(state: AccountState) -> Account:
    """Returns the account that another owner has handed over."""
    bound = None
    if state.bound_version:
        bound = Bound(state.bound_tokens, state.bound_version)
    return Account(
        program_id=state.program_id,
        budget_tokens=state.budget_tokens,
        spent_tokens=state.spent_tokens,
        bound=bound,
        counts_from_start=state.counts_from_start,
        reserved_by_request_id=dict(
            zip(state.reserved_ids, state.reserved_tokens, strict=True)
        ),
        used_at=time.monotonic(),
    )
