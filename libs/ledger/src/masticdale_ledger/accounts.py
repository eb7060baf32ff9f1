"""Token accounting of program budgets; performs no I/O.

The owner of a shard counts the first part of each budget in memory only.
Beyond that unrecorded limit, tokens are granted only after a record in the
store holds a higher upper bound. A new owner that has lost all accounts
therefore still has an upper bound of what was spent: the record, or the
unrecorded limit. This guarantees that a program exceeds its budget by at most
one turn, also when hosts and their accounts are lost.
"""

import collections
import dataclasses

from masticdale_gateway.calls import AdmissionClaim

# Share of a budget that is granted without a record. Programs that end below
# it cause no store writes.
_UNRECORDED_SHARE = 0.5
# Turns of maximum size by which a bound exceeds the turn that needs it, so that
# one record serves several turns. The bound counts as spent once all accounts
# are lost; if it is too high, programs with tokens left are rejected.
_RECORD_AHEAD_TURNS = 1
# Programs without an admission request for this long are evicted, in seconds,
# unless turns are in flight. Must exceed the time within which callers resume a
# program; it is twice as long.
_IDLE_TIMEOUT_S = 120.0
# Programs with turns in flight are evicted after this long, in seconds, since
# the settlements of their turns may be lost. Must exceed the longest turn.
_UNSETTLED_TIMEOUT_S = 2 * _IDLE_TIMEOUT_S
# Maximum number of accounts per shard; the least recently used is evicted
# first, if possible one without turns in flight. What such a program has spent
# is forgotten.
_MAX_ACCOUNTS = 20_000


def unrecorded_limit_tokens(budget_tokens: int) -> int:
    """Returns how many tokens of a budget are granted without a record."""
    return int(_UNRECORDED_SHARE * budget_tokens)


@dataclasses.dataclass(frozen=True, slots=True)
class Admitted:
    """The turn is admitted."""


@dataclasses.dataclass(frozen=True, slots=True)
class BudgetExceeded:
    """The turn does not fit the budget.

    Attributes:
        spent_tokens: Tokens counted as spent.
        reserved_tokens: Tokens reserved by turns in flight.
        is_final: Whether the turn would not fit even if the turns in flight
            used nothing.
    """

    spent_tokens: int
    reserved_tokens: int
    is_final: bool


@dataclasses.dataclass(frozen=True, slots=True)
class NeedsRecord:
    """The store must record a higher bound before the turn is admitted.

    Attributes:
        bound_tokens: The bound to write.
        version: Current version of the record; 0 if there is none.
    """

    bound_tokens: int
    version: int


Verdict = Admitted | BudgetExceeded | NeedsRecord


@dataclasses.dataclass(frozen=True, slots=True)
class Bound:
    """The upper bound of a program's spending that the store holds.

    Attributes:
        tokens: Most tokens that the program may have spent.
        version: Version of the record.
    """

    tokens: int
    version: int


@dataclasses.dataclass(slots=True)
class Account:
    """The account of one program.

    Attributes:
        program_id: The program.
        budget_tokens: Its total budget.
        spent_tokens: Tokens that its completed turns used, and those that it
            may have used without being counted here.
        bound: The bound in the store; None without a record.
        counts_from_start: Whether this account has counted every turn of the
            program, so that no record is needed below the unrecorded limit.
        reserved_by_request_id: Maximum tokens of each turn in flight.
        last_used_at: Monotonic seconds of its last admission request, or of
            its arrival from another host.
        most_tokens: Largest turn_tokens of any request of the program.
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
    def has_turns_in_flight(self) -> bool:
        """Whether any of its turns is reserved and not settled."""
        return bool(self.reserved_by_request_id)

    @property
    def reserved_tokens(self) -> int:
        """Tokens that turns in flight may still use."""
        return sum(self.reserved_by_request_id.values())

    @property
    def committed_tokens(self) -> int:
        """Tokens spent and reserved."""
        return self.spent_tokens + self.reserved_tokens

    @property
    def ceiling_tokens(self) -> int:
        """Tokens that count as spent if all accounts are lost."""
        if self.bound is not None:
            return self.bound.tokens
        return unrecorded_limit_tokens(self.budget_tokens)

    def evaluate(self, claim: AdmissionClaim) -> Verdict:
        """Decides whether a turn may run; reserves nothing."""
        if claim.request_id in self.reserved_by_request_id:
            return Admitted()
        needed = self.committed_tokens + claim.turn_tokens
        # An inexact count is an upper bound that is rarely reached. Without the
        # one turn of slack that the guarantee allows, programs with tokens left
        # would get 402 after the loss of all hosts.
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
    """The accounts of one shard."""

    def __init__(self, bound_by_record: dict[str, Bound] | None = None) -> None:
        """Starts without accounts.

        Args:
            bound_by_record: Bounds in the store by record name.
        """
        self._bound_by_record = bound_by_record or {}
        self._account_by_id: collections.OrderedDict[str, Account] = (
            collections.OrderedDict()
        )

    def __len__(self) -> int:
        return len(self._account_by_id)

    def get(self, program_id: str) -> Account | None:
        """Returns a program's account, or None."""
        return self._account_by_id.get(program_id)

    def all(self) -> list[Account]:
        """Returns every account."""
        return list(self._account_by_id.values())

    def get_or_create(
        self, claim: AdmissionClaim, record: str, is_new: bool, now: float
    ) -> Account:
        """Returns the account of a claim's program; creates it if missing.

        Args:
            claim: The turn.
            record: Name of the program's record in the store.
            is_new: Whether no turn of the program can have completed under
                another owner. An unknown program then starts with nothing
                spent.
            now: Current monotonic seconds.
        """
        account = self._account_by_id.get(claim.program_id)
        if account is None:
            if len(self._account_by_id) >= _MAX_ACCOUNTS:
                self._evict_one()
            account = self._create(claim, record, is_new, now)
            self._account_by_id[claim.program_id] = account
        account.last_used_at = now
        account.most_tokens = max(account.most_tokens, claim.turn_tokens)
        self._account_by_id.move_to_end(claim.program_id)
        return account

    def reserve(self, claim: AdmissionClaim) -> Account:
        """Reserves the maximum of an admitted turn; returns the account."""
        account = self._account_by_id[claim.program_id]
        account.reserved_by_request_id[claim.request_id] = claim.turn_tokens
        return account

    def settle(self, program_id: str, request_id: str, used: int) -> None:
        """Replaces a reservation by the tokens that the turn used."""
        account = self._account_by_id.get(program_id)
        if account is None:
            return
        if account.reserved_by_request_id.pop(request_id, None) is not None:
            account.spent_tokens += used

    def set_bound(self, program_id: str, bound: Bound) -> None:
        """Sets the bound that this process has written to the store.

        It exceeds the requested bound if the answer to an earlier write was
        lost.
        """
        account = self._account_by_id.get(program_id)
        if account is not None:
            account.bound = bound

    def restore(self, accounts: list[Account]) -> None:
        """Adds accounts received from another host; replaces known ones."""
        for account in accounts:
            self._account_by_id[account.program_id] = account

    def evict_idle(self, now: float) -> list[Account]:
        """Evicts the programs that have been idle for the timeout.

        Returns:
            The evicted accounts.
        """
        evicted: list[Account] = []
        for account in self._account_by_id.values():
            idle_s = now - account.last_used_at
            if idle_s < _IDLE_TIMEOUT_S:
                break
            if not account.has_turns_in_flight or idle_s > _UNSETTLED_TIMEOUT_S:
                evicted.append(account)
        for account in evicted:
            del self._account_by_id[account.program_id]
        return evicted

    def _evict_one(self) -> None:
        accounts = self._account_by_id.values()
        idle = (a for a in accounts if not a.has_turns_in_flight)
        evicted = next(idle, next(iter(accounts)))
        del self._account_by_id[evicted.program_id]

    def _create(
        self, claim: AdmissionClaim, record: str, is_new: bool, now: float
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
