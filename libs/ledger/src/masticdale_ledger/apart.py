"""An owner and its standby without each other while the store is away."""

import dataclasses

from masticdale_ledger.accounts import Account, unrecorded_limit_tokens
from masticdale_ledger.arbiter import Side
from masticdale_ledger.messages import AccountState
from masticdale_ledger.states import account_from_state


@dataclasses.dataclass(frozen=True, slots=True)
class Alone:
    """How far an owner and its standby may go without each other.

    Both know the same accounts when they lose each other. While the store is
    away neither can be replaced, and no record can be written. Each then takes
    a part of what is left up to the first step, which is what counts as spent
    if both lose their memory afterwards. Where each took all of it, programs
    that loop got half of their budget a second time after a loss of all hosts.
    A program that has a record waits.

    Attributes:
        share_by_id: Shares in the programs known when they lost each other.
        takes_new: Whether other programs are admitted too. Only the standby
            does, and only without the store: whoever takes the shard over
            later can seal the standby, and learns of them.
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


def shares_of(
    accounts: list[Account], *, acting: bool, holder: Side = Side.STANDBY
) -> dict[str, Share]:
    """Returns the share of one host in each program.

    The two may differ in which turns under way have ended already. A turn under
    way lowers the limit and not what the other may have, so that the sum stays
    within the ceiling whichever of them knows more.

    Args:
        accounts: The programs that both know.
        acting: Whether the shares are those of the standby.
        holder: Who may have the turn that half does not hold; where that isn't
            known, the other host. Without an arbiter it is the standby.
    """
    side = Side.STANDBY if acting else Side.OWNER
    return {a.program_id: _share(a, side is holder) for a in accounts}


def _share(account: Account, is_holder: bool) -> Share:
    if account.bound is not None:
        # A record leaves two turns at most. Half of that holds none, and
        # would still count as spent after each loss of an owner.
        return Share(account.spent_tokens, 0)
    most = account.most_tokens
    free = max(0, account.ceiling_tokens - account.committed_tokens)
    most_free = max(0, account.ceiling_tokens - account.spent_tokens)
    if account.awaits_standby_ack:
        # Whoever seals the standby learns of no such program and counts it from
        # zero. An owner that had been replaced without knowing it admitted some
        # of its turns a second time.
        free = 0
    return Share(
        limit_tokens=account.spent_tokens + _part(free, most, is_holder),
        elsewhere_tokens=_part(most_free, most, not is_holder),
    )


def _part(free: int, most: int, is_holder: bool) -> int:
    """Returns half, or for one of the two a turn that half does not hold.

    Programs of few turns soon have room for one more turn and not for two.
    """
    half = free // 2
    holders = half if half >= most else min(free, most)
    return holders if is_holder else free - holders


def limited(state: AccountState, holder: Side = Side.STANDBY) -> AccountState:
    """Returns an account as it has to be if its last owner may have gone on.

    Without standby and store that owner had its share of the programs that it
    knew, also if it was killed afterwards and its host is back.

    Args:
        state: The account as its standby held it.
        holder: See ``shares_of``.
    """
    shares = shares_of([account_from_state(state)], acting=True, holder=holder)
    return with_elsewhere(state, shares[state.program_id])


def with_elsewhere(state: AccountState, share: Share) -> AccountState:
    """Returns an account that counts what the other host may have given."""
    spent = state.spent_tokens + share.elsewhere_tokens
    return dataclasses.replace(state, spent_tokens=spent)


def unknown_here(state: AccountState) -> AccountState:
    """Returns an account as that of a program that began elsewhere.

    A turn that is refused leaves an account behind. Its caller may go to the
    standby next, which takes the program; counted by the account it began from
    zero here, and got a part of its budget twice.
    """
    unseen_tokens = unrecorded_limit_tokens(state.budget_tokens)
    return dataclasses.replace(
        state,
        spent_tokens=max(state.spent_tokens, unseen_tokens),
        counts_from_start=False,
    )


def acted_states(
    states: tuple[AccountState, ...], share_by_id: dict[str, Share]
) -> tuple[AccountState, ...]:
    """Returns the accounts of a shard that may have gone on elsewhere too.

    Args:
        states: The accounts as this host counted them.
        share_by_id: The shares of the programs that may have.
    """
    return tuple(
        with_elsewhere(state, share_by_id[state.program_id])
        if state.program_id in share_by_id
        else state
        for state in states
    )
