"""What programs have spent of their budgets; decides without I/O.

Up to the first step of a budget the owner of a program's shard counts in
memory only. What lies beyond is spent only after a record in the store says
so. Whoever takes the shard over, after the loss of any memory, therefore knows
a bound of what was spent: the record, or the first step.
"""

import collections
import dataclasses

from masticdale_gateway.calls import TurnClaim

# Share of a budget up to which no record is written: most programs end below
# it, and cost the store nothing.
_UNRECORDED_SHARE = 0.5
# How far a record reaches beyond the turn that needs it, in turns at their
# most. A turn uses a part of its most, so that one record lasts for some turns.
# One that reached further would count as spent after a loss of all memory, and
# tell programs that they have spent what they never used.
_RECORD_AHEAD_TURNS = 1
# A program without a turn for this long is forgotten, in seconds; twice the
# time within which programs come back.
_IDLE_TIMEOUT_S = 120.0
# Most programs held; the longest unused go first.
_MAX_ACCOUNTS = 20_000


def unrecorded_limit_tokens(budget_tokens: int) -> int:
    """Returns how much of a budget is spent without a record in the store."""
    return int(_UNRECORDED_SHARE * budget_tokens)


@dataclasses.dataclass(frozen=True, slots=True)
class Admitted:
    """The turn may run."""


@dataclasses.dataclass(frozen=True, slots=True)
class BudgetExceeded:
    """The budget does not hold the turn.

    Attributes:
        spent_tokens: What counts as spent.
        reserved_tokens: What turns under way may still use.
        is_final: Whether the turn would not fit if those used nothing.
    """

    spent_tokens: int
    reserved_tokens: int
    is_final: bool


@dataclasses.dataclass(frozen=True, slots=True)
class NeedsRecord:
    """The store has to hold a higher bound first.

    Attributes:
        bound_tokens: The bound to write.
        version: Version of the record now; 0 where there is none.
    """

    bound_tokens: int
    version: int


Verdict = Admitted | BudgetExceeded | NeedsRecord


@dataclasses.dataclass(frozen=True, slots=True)
class Bound:
    """What a record in the store says of a program.

    Attributes:
        tokens: The program may have spent up to this.
        version: Version of the record.
    """

    tokens: int
    version: int


@dataclasses.dataclass(slots=True)
class Account:
    """One program.

    Attributes:
        program_id: The program.
        budget_tokens: Its whole budget.
        spent_tokens: Output tokens of its ended turns.
        bound: Its record; None where it has none.
        counts_from_start: Whether every turn has been counted here, so that
            no record is needed below the first step.
        reserved_by_request_id: The most that each turn under way may use.
        last_used_at: When it was last asked for, in seconds.
        most_tokens: The most that any of its turns might have used.
        awaits_standby_ack: Whether no standby has acknowledged it yet.
    """

    program_id: str
    budget_tokens: int
    spent_tokens: int
    bound: Bound | None
    counts_from_start: bool
    reserved_by_request_id: dict[str, int]
    last_used_at: float
    most_tokens: int = 0
    awaits_standby_ack: bool = False

    @property
    def reserved_tokens(self) -> int:
        """What turns under way may still use."""
        return sum(self.reserved_by_request_id.values())

    @property
    def committed_tokens(self) -> int:
        """What is spent, or may still be by turns under way."""
        return self.spent_tokens + self.reserved_tokens

    @property
    def ceiling_tokens(self) -> int:
        """What counts as spent after the loss of all memory."""
        if self.bound is not None:
            return self.bound.tokens
        return unrecorded_limit_tokens(self.budget_tokens)

    def evaluate(self, claim: TurnClaim) -> Verdict:
        """Decides on a turn; takes nothing."""
        if claim.request_id in self.reserved_by_request_id:
            return Admitted()
        needed = self.committed_tokens + claim.turn_tokens
        # A bound is rarely reached. Where it stands in for the true count,
        # one turn may go beyond the budget, which the promise allows; without
        # it, programs with tokens left were told 402 after a loss of all hosts.
        slack = 0 if self.counts_from_start else claim.turn_tokens
        limit = self.budget_tokens + slack
        if needed > limit:
            is_final = self.spent_tokens + claim.turn_tokens > limit
            return BudgetExceeded(
                self.spent_tokens, self.reserved_tokens, is_final
            )
        is_counted = self.bound is not None or self.counts_from_start
        if is_counted and needed <= self.ceiling_tokens:
            return Admitted()
        version = self.bound.version if self.bound else 0
        ahead = needed + _RECORD_AHEAD_TURNS * claim.turn_tokens
        return NeedsRecord(max(needed, min(ahead, self.budget_tokens)), version)


class Accounts:
    """The programs of one shard."""

    def __init__(self, bound_by_record: dict[str, Bound] | None = None) -> None:
        """Begins without any account.

        Args:
            bound_by_record: What the store holds, by name of the record.
        """
        self._bound_by_record = bound_by_record or {}
        self._account_by_id: collections.OrderedDict[str, Account] = (
            collections.OrderedDict()
        )

    def __len__(self) -> int:
        return len(self._account_by_id)

    def get(self, program_id: str) -> Account | None:
        """Returns a program's account, if there is one."""
        return self._account_by_id.get(program_id)

    def all(self) -> list[Account]:
        """Returns every account."""
        return list(self._account_by_id.values())

    def get_or_create(
        self, claim: TurnClaim, record: str, is_new: bool, now: float
    ) -> Account:
        """Returns the account of a claim's program; makes it if need be.

        Args:
            claim: The turn.
            record: Name of the program's record in the store.
            is_new: Whether the program surely had no turn before that ended
                elsewhere: then nothing of its budget is spent.
            now: Present seconds.
        """
        account = self._account_by_id.get(claim.program_id)
        if account is None:
            account = self._create(claim, record, is_new, now)
            self._account_by_id[claim.program_id] = account
            if len(self._account_by_id) > _MAX_ACCOUNTS:
                self._account_by_id.popitem(last=False)
        account.last_used_at = now
        account.most_tokens = max(account.most_tokens, claim.turn_tokens)
        self._account_by_id.move_to_end(claim.program_id)
        return account

    def reserve(self, claim: TurnClaim) -> Account:
        """Takes what an admitted turn may use; returns its account."""
        account = self._account_by_id[claim.program_id]
        account.reserved_by_request_id[claim.request_id] = claim.turn_tokens
        return account

    def settle(self, program_id: str, request_id: str, used: int) -> None:
        """Replaces a reservation by what was used."""
        account = self._account_by_id.get(program_id)
        if account is None:
            return
        if account.reserved_by_request_id.pop(request_id, None) is not None:
            account.spent_tokens += used

    def set_bound(self, program_id: str, bound: Bound) -> None:
        """Notes that the store holds a bound.

        A higher bound than the one that was asked for was written by another
        owner, under whom the program may have spent all of it.
        """
        account = self._account_by_id.get(program_id)
        if account is not None:
            account.bound = bound

    def restore(self, accounts: list[Account]) -> None:
        """Takes over the accounts of the shard's last owner."""
        for account in accounts:
            self._account_by_id[account.program_id] = account

    def evict_idle(self, now: float) -> list[Account]:
        """Drops the programs that were not asked for in a long time.

        Returns:
            What was dropped.
        """
        forgotten: list[Account] = []
        while self._account_by_id:
            oldest = next(iter(self._account_by_id.values()))
            if now - oldest.last_used_at < _IDLE_TIMEOUT_S:
                break
            self._account_by_id.popitem(last=False)
            forgotten.append(oldest)
        return forgotten

    def _create(
        self, claim: TurnClaim, record: str, is_new: bool, now: float
    ) -> Account:
        bound = self._bound_by_record.get(record)
        spent = 0
        if bound is not None:
            spent = bound.tokens
        elif not is_new:
            spent = unrecorded_limit_tokens(claim.budget_tokens)
        return Account(
            program_id=claim.program_id,
            budget_tokens=claim.budget_tokens,
            spent_tokens=spent,
            bound=bound,
            counts_from_start=bound is None and is_new,
            reserved_by_request_id={},
            last_used_at=now,
        )
