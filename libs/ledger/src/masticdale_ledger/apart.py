"""An owner and its standby without each other while the store is away."""

import dataclasses

from masticdale_ledger.accounts import Account
from masticdale_ledger.messages import AccountState
from masticdale_ledger.states import account_of


@dataclasses.dataclass(frozen=True, slots=True)
class Alone:
    """How far an owner and its standby may go without each other.

    Both know the same accounts when they lose each other. While the store is
    away neither can be replaced, and no record can be written. Each then takes
    half of what is left up to a program's record, or up to the first step,
    which is what counts as spent if both lose their memory afterwards. Where
    each took all of it, programs that loop got half of their budget a second
    time after a loss of all hosts.

    Attributes:
        share_by_id: Shares in the programs known when they lost each other.
        takes_new: Whether other programs are admitted too. Only the standby
            does: whoever takes the shard over later can seal the standby, and
            learns of them.
    """

    share_by_id: dict[str, "Share"]
    takes_new: bool


@dataclasses.dataclass(frozen=True, slots=True)
class Share:
    """One program while owner and standby are apart.

    Attributes:
        limit_tokens: This host may let the program get so far.
        elsewhere_tokens: The other may have handed out so much meanwhile.
    """

    limit_tokens: int
    elsewhere_tokens: int


def shares_of(accounts: list[Account]) -> dict[str, Share]:
    """Returns the share of one host in each program.

    The two may differ in which turns under way have ended already. A turn under
    way lowers the limit and not what the other may have, so that the sum stays
    within the ceiling whichever of them knows more.
    """
    return {
        account.program_id: Share(
            account.spent_tokens
            + account.share_of(account.ceiling_tokens - account.taken_tokens),
            account.share_of(account.ceiling_tokens - account.spent_tokens + 1),
        )
        for account in accounts
    }


def limited(state: AccountState) -> AccountState:
    """Returns an account as it has to be if its last owner may have gone on.

    Without standby and store that owner had its share of the programs that it
    knew, also if it was killed afterwards and its host is back.
    """
    share = shares_of([account_of(state)])[state.program_id]
    return with_elsewhere(state, share)


def with_elsewhere(state: AccountState, share: Share) -> AccountState:
    """Returns an account that counts what the other host may have given."""
    spent = state.spent_tokens + share.elsewhere_tokens
    return dataclasses.replace(state, spent_tokens=spent)


def acted_states(
    states: tuple[AccountState, ...], alone: Alone | None
) -> tuple[AccountState, ...]:
    """Returns the accounts of a shard that may have gone on elsewhere too.

    Args:
        states: The accounts as this host counted them.
        alone: The shares; None if the shard was never apart.
    """
    shares = alone.share_by_id if alone else {}
    return tuple(
        with_elsewhere(state, shares[state.program_id])
        if state.program_id in shares
        else state
        for state in states
    )
