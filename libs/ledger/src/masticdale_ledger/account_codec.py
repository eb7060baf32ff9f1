"""Conversion between accounts and their message form."""

import time

from masticdale_ledger.accounts import Account, Bound
from masticdale_ledger.messages import AccountState


def account_to_state(account: Account) -> AccountState:
    """Returns the message form of an account."""
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
        most_tokens=account.most_tokens,
    )


def account_from_state(state: AccountState) -> Account:
    """Returns the account of a message received from another host."""
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
        last_used_at=time.monotonic(),
        most_tokens=state.most_tokens,
    )
