"""Limits and charges while a shard's owner and standby are partitioned.

A shard is isolated on a host that can't coordinate with the other side: the
owner or its acting standby. Each side may then use a quota of the tokens left
below the unrecorded limit, which is the part of a budget that is granted
without a record in the store (see ``accounts``). Whoever owns the shard next
charges the quota of the side whose turns it does not know.
"""

import dataclasses

from masticdale_ledger.account_codec import account_from_state
from masticdale_ledger.accounts import Account, unrecorded_limit_tokens
from masticdale_ledger.arbiter import Side
from masticdale_ledger.messages import AccountState


@dataclasses.dataclass(frozen=True, slots=True)
class Isolation:
    """Limits of an owner or a standby that is partitioned from the other.

    Both hold the same accounts when the partition begins. The tokens left below
    the unrecorded limit are split between the two, since only that limit counts
    as spent if both lose their accounts. If each could grant all of them, a
    program could exceed its budget by half after the loss of all hosts.
    Programs with a record get no quota.

    Attributes:
        quota_by_program_id: Quotas of the programs known when the partition
            began.
        admits_unknown: Whether other programs are admitted too. Only the
            standby admits them, and only while the store is unreachable: the
            next owner seals the standby and so learns of them.
        began_at: Time of its beginning on the clock of the lease, in seconds.
    """

    quota_by_program_id: dict[str, "IsolationQuota"]
    admits_unknown: bool
    began_at: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class IsolationQuota:
    """The part of one program's budget that each side may use.

    Attributes:
        limit_tokens: Spent and reserved tokens up to which this host admits
            the program.
        peer_tokens: Tokens that turns admitted by the other host may use.
    """

    limit_tokens: int
    peer_tokens: int


def isolation_quotas(
    accounts: list[Account],
    *,
    is_standby: bool,
    remainder_side: Side = Side.STANDBY,
) -> dict[str, IsolationQuota]:
    """Returns the quota of one host for each program, by program ID.

    The two hosts may disagree on which turns have ended. Each counts a turn
    against its limit, at its maximum until it ends, so that the limit itself
    leaves turns in flight out. An ended turn raises a host's limit by no more
    than it used. The grants of both therefore stay within the ceiling whichever
    host has received more settlements.

    Args:
        accounts: The accounts that both hosts hold.
        is_standby: Whether the quotas are those of the standby.
        remainder_side: The side that gets a whole turn where half of the
            tokens left is less than a turn. Without an arbiter, the standby. A
            host for which the arbiter has not decided passes the other side.
    """
    side = Side.STANDBY if is_standby else Side.OWNER
    return {
        a.program_id: _isolation_quota(a, side is remainder_side)
        for a in accounts
    }


def _isolation_quota(
    account: Account, is_remainder_side: bool
) -> IsolationQuota:
    if account.bound is not None:
        # A record leaves room for at most two turns. Half of that may not
        # cover a turn, yet would count as spent after each loss of an owner.
        return IsolationQuota(account.spent_tokens, 0)
    turn_tokens = account.most_tokens
    unspent_tokens = max(0, account.ceiling_tokens - account.spent_tokens)
    peer_tokens = _split_tokens(
        unspent_tokens, turn_tokens, not is_remainder_side
    )
    if account.awaits_standby_ack:
        # The standby does not hold this account, so a host that seals the
        # standby would count the program from zero. A replaced owner must not
        # admit its turns as well.
        return IsolationQuota(account.spent_tokens, peer_tokens)
    own_tokens = _split_tokens(unspent_tokens, turn_tokens, is_remainder_side)
    return IsolationQuota(account.spent_tokens + own_tokens, peer_tokens)


def _split_tokens(
    unspent_tokens: int, turn_tokens: int, is_remainder_side: bool
) -> int:
    """Returns half of the tokens, or a whole turn if half is less than one.

    Only the remainder side gets the whole turn; the other gets the rest. If
    each got half, programs near their limit would be admitted by neither.
    """
    half = unspent_tokens // 2
    larger_part = (
        half if half >= turn_tokens else min(unspent_tokens, turn_tokens)
    )
    return larger_part if is_remainder_side else unspent_tokens - larger_part


def charge_owner_quota(
    state: AccountState, remainder_side: Side = Side.STANDBY
) -> AccountState:
    """Charges an account with what its owner may have used while isolated.

    The owner may have used its quota even if it was killed afterwards and its
    host has restarted.

    Args:
        state: The account as its standby held it.
        remainder_side: See ``isolation_quotas``.
    """
    quotas = isolation_quotas(
        [account_from_state(state)],
        is_standby=True,
        remainder_side=remainder_side,
    )
    return charge_peer_quota(state, quotas[state.program_id])


def charge_peer_quota(
    state: AccountState, quota: IsolationQuota
) -> AccountState:
    """Charges an account with the tokens that the other host may have used."""
    spent = state.spent_tokens + quota.peer_tokens
    return dataclasses.replace(state, spent_tokens=spent)


def charge_unrecorded_limit(state: AccountState) -> AccountState:
    """Charges an account with the unrecorded limit of its budget.

    For a program that no standby has acknowledged. After a turn was rejected
    here, its caller may have reached the standby, which admitted the program;
    counted from zero here, the program would get part of its budget twice.
    """
    unseen_tokens = unrecorded_limit_tokens(state.budget_tokens)
    return dataclasses.replace(
        state,
        spent_tokens=max(state.spent_tokens, unseen_tokens),
        counts_from_start=False,
    )


def charge_peer_quotas(
    states: tuple[AccountState, ...],
    quota_by_program_id: dict[str, IsolationQuota],
) -> tuple[AccountState, ...]:
    """Charges accounts with the tokens that the other host may have used.

    Args:
        states: The accounts as this host counted them.
        quota_by_program_id: The quotas of the programs that the other host
            may have admitted.
    """
    return tuple(
        charge_peer_quota(state, quota_by_program_id[state.program_id])
        if state.program_id in quota_by_program_id
        else state
        for state in states
    )
