"""Bounds what the connections of all callers make a process hold.

Limits on one request do not bound a process: a caller may open many
connections. Each connection reports what it holds. When the sum exceeds the
budget, connections give up what no caller is owed a response for, the largest
first, so that small requests still pass beside large ones.
"""

import asyncio
import dataclasses
import resource
from typing import Protocol

from masticdale_common.dumps import JsonValue

# Connections accepted in one turn of the event loop: the backlog with which to
# create a server. Those that are closed to make room are gone some turns later.
ACCEPTED_AT_ONCE = 4
# Up to this size a connection counts as small. Large ones leave a part of the
# budget to the small ones.
_SMALL_BYTES = 65_536
_LARGE_SHARE = 0.75
# The part of a host's memory that callers may make its process hold.
_MEMORY_SHARE = 0.25
_DEFAULT_MEMORY_BYTES = 32_000_000
# Descriptors that the platform reserves for files.
_RESERVED_DESCRIPTORS = 200
# Of the others, those for the store, other hosts and probes, and connections
# that are about to close: the least number, and the share.
_MIN_OWN_DESCRIPTORS = 96
_OWN_SHARE = 0.125


@dataclasses.dataclass(frozen=True, slots=True)
class BudgetLimits:
    """Limits on what the connections of all callers hold.

    Attributes:
        memory_bytes: Memory. One large request alone may exceed it.
        descriptors: Their descriptors, with those of connections to replicas
            for the requests that are being served.
    """

    memory_bytes: int = _DEFAULT_MEMORY_BYTES
    descriptors: int = 4096


def limits_of_host(
    memory_mb: int | None, max_descriptors: int | None
) -> BudgetLimits:
    """Returns the limits that suit a host.

    Args:
        memory_mb: Memory of the process in MB; None if unknown.
        max_descriptors: Limit on its descriptors; None for the limit of the
            operating system.
    """
    memory_bytes = _DEFAULT_MEMORY_BYTES
    if memory_mb is not None:
        memory_bytes = int(memory_mb * 1_000_000 * _MEMORY_SHARE)
    if max_descriptors is None:
        max_descriptors, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    usable = max_descriptors - _RESERVED_DESCRIPTORS
    own = max(_MIN_OWN_DESCRIPTORS, int(usable * _OWN_SHARE))
    return BudgetLimits(memory_bytes, max(1, usable - own))


def set_backlog(server: asyncio.Server, backlog: int) -> None:
    """Sets the size of a server's accept queue.

    asyncio has one number for it and for the connections accepted at once.

    Args:
        server: A server that listens.
        backlog: The size.
    """
    for listening in server.sockets:
        with listening.dup() as duplicate:
            duplicate.listen(backlog)


class Holder(Protocol):
    """A connection whose account is open."""

    def give_up_unserved(self) -> None:
        """Gives up what no caller is owed a response for.

        Incomplete requests and those that are not served yet are refused, a
        response that the caller does not read is broken off, and an idle
        connection is closed.
        """
        ...

    def close_unserved(self) -> None:
        """Closes the connection, on which no caller is owed a response.

        No request is being served, or its response is not read.
        """
        ...


class Account:
    """What one connection holds.

    Attributes:
        holder: The connection.
        held_bytes: Memory that it holds.
        unserved_bytes: The part of it that the connection can give up.
        is_serving: Whether a request is being served.
        is_blocked: Whether the caller does not take what is written.
    """

    __slots__ = (
        "_budget",
        "held_bytes",
        "holder",
        "is_blocked",
        "is_serving",
        "unserved_bytes",
    )

    def __init__(self, budget: "ConnectionBudget", holder: Holder) -> None:
        self.holder = holder
        self.held_bytes = 0
        self.unserved_bytes = 0
        self.is_serving = False
        self.is_blocked = False
        self._budget = budget

    @property
    def is_small(self) -> bool:
        """Whether it may use the part of the budget left to small ones."""
        return self.held_bytes <= _SMALL_BYTES

    @property
    def is_within_budget(self) -> bool:
        """Whether what it holds fits into the budget beside the others."""
        return not self._budget.is_exceeded_by(self)

    def update(self, held_bytes: int, unserved_bytes: int) -> None:
        """Records what the connection holds; others may have to give up.

        Args:
            held_bytes: Memory that it holds.
            unserved_bytes: The part of it that it can give up.
        """
        budget = self._budget
        is_growing = held_bytes > self.held_bytes
        budget.held_bytes += held_bytes - self.held_bytes
        budget.large -= not self.is_small
        self.held_bytes = held_bytes
        budget.large += not self.is_small
        self.unserved_bytes = unserved_bytes
        if is_growing and budget.is_exceeded_by(self):
            budget.reclaim_memory(self)

    def begin_serving(self) -> bool:
        """Records that a request is about to be served.

        Returns:
            Whether the budget has room for it; if not, it must be refused.
        """
        budget = self._budget
        if self.is_serving:
            return True
        if not self.is_within_budget:
            return False
        self.is_serving = True
        budget.serving += 1
        budget.reclaim_descriptors(self)
        if budget.has_free_descriptors:
            return True
        self.end_serving()
        return False

    def end_serving(self) -> None:
        """Records that the response is written, or that there is none."""
        if self.is_serving:
            self.is_serving = False
            self._budget.serving -= 1

    def touch(self) -> None:
        """Makes the connection the last one to be closed for its descriptor."""
        self._budget.touch(self)

    def close(self) -> None:
        """Returns everything to the budget; may be called again."""
        self.end_serving()
        self.update(0, 0)
        self._budget.remove(self)


class ConnectionBudget:
    """The budget that the connections of all callers share.

    Attributes:
        limits: The limits.
        held_bytes: Memory that the connections hold.
        large: Number of connections that are not small.
        serving: Number of requests that are being served.
        given_up: Number of times that a connection had to give up memory, or
            was closed for its descriptor.
    """

    def __init__(self, limits: BudgetLimits | None = None) -> None:
        self.limits = limits or BudgetLimits()
        self.held_bytes = 0
        self.large = 0
        self.serving = 0
        self.given_up = 0
        # By the time of the last response, or else of the opening.
        self._accounts: dict[Account, None] = {}

    @property
    def connections(self) -> int:
        """Number of open connections."""
        return len(self._accounts)

    @property
    def has_free_descriptors(self) -> bool:
        """Whether the descriptors in use are within the limit."""
        return self.connections + self.serving <= self.limits.descriptors

    def state(self) -> JsonValue:
        """Returns what the state dump shows."""
        return {
            "held_bytes": self.held_bytes,
            "max_bytes": self.limits.memory_bytes,
            "connections": self.connections,
            "serving": self.serving,
            "max_descriptors": self.limits.descriptors,
            "given_up": self.given_up,
        }

    def open(self, holder: Holder) -> Account | None:
        """Opens the account of a new connection.

        Returns:
            The account, or None if every descriptor is in use for a request
            that is being served.
        """
        account = Account(self, holder)
        self._accounts[account] = None
        self.reclaim_descriptors(account)
        if self.has_free_descriptors:
            return account
        self.remove(account)
        return None

    def touch(self, account: Account) -> None:
        """See ``Account.touch``."""
        if account in self._accounts:
            del self._accounts[account]
            self._accounts[account] = None

    def remove(self, account: Account) -> None:
        """Removes an account whose connection is closing."""
        self._accounts.pop(account, None)

    def is_exceeded_by(self, account: Account) -> bool:
        """Returns whether memory exceeds the limit that holds for an account.

        The only large connection is always within the limit.
        """
        limit = self.limits.memory_bytes
        if account.is_small:
            return self.held_bytes > limit
        return self.large > 1 and self.held_bytes > limit * _LARGE_SHARE

    def reclaim_memory(self, account: Account) -> None:
        """Lets connections give up memory until an account is within limits.

        The largest one goes first. Small accounts take it from other small
        ones, the oldest first.
        """
        while self.is_exceeded_by(account):
            next_one = self._next_to_give_up(account)
            if next_one is None:
                return
            self.given_up += 1
            next_one.holder.give_up_unserved()
            # Not again, also if its holder could not give up anything.
            next_one.unserved_bytes = 0

    def _next_to_give_up(self, account: Account) -> Account | None:
        candidates = [a for a in self._accounts if a.unserved_bytes]
        large = [a for a in candidates if not a.is_small]
        if large:
            return max(large, key=lambda a: a.unserved_bytes)
        if not account.is_small:
            return None
        # Among small ones, what came last may well be an ordinary request.
        others = (a for a in candidates if a is not account)
        return next(others, candidates[0] if candidates else None)

    def reclaim_descriptors(self, account: Account) -> None:
        """Closes connections until the descriptors suffice, the oldest first.

        Those on which no request is being served go before those whose callers
        do not read the response.

        Args:
            account: The account for which there must be room.
        """
        while not self.has_free_descriptors:
            oldest = self._next_to_close(account)
            if oldest is None:
                return
            self.given_up += 1
            self.remove(oldest)
            oldest.holder.close_unserved()

    def _next_to_close(self, account: Account) -> Account | None:
        blocked: Account | None = None
        for other in self._accounts:
            if other is account:
                continue
            if not other.is_serving:
                return other
            if blocked is None and other.is_blocked:
                blocked = other
        return blocked
