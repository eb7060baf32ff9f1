"""Limits of a workspace that hold across all hosts.

Each host enforces its own share; the shares of all live hosts add up to the
limit exactly, so no messages are needed for a call.
"""

import dataclasses
from collections.abc import Collection

from returns.result import Failure as Failed
from returns.result import Result, Success

from masticdale_common import ErrorKind, Failure, hashing

_CONCURRENCY_RETRY_MS = 500
_MIN_RATE = 1e-9


@dataclasses.dataclass(frozen=True, slots=True)
class WorkspaceLimits:
    """Limits of one workspace.

    Attributes:
        concurrent_turns: Turns in flight at once, over all hosts.
        turns_per_s: Turns begun per second, over all hosts.
        burst: Turns that may begin at once after a quiet time.
    """

    concurrent_turns: int
    turns_per_s: float
    burst: float


@dataclasses.dataclass(frozen=True, slots=True)
class HostShare:
    """One host's part of a workspace's limits.

    Attributes:
        concurrent_turns: Turns in flight at once at this host.
        turns_per_s: Turns begun per second at this host.
        burst: Turns that may begin at once at this host.
        other_host: A host with a share, to go to when this one has none.
    """

    concurrent_turns: int
    turns_per_s: float
    burst: float
    redirect_host: str = ""


def split_share(
    limits: WorkspaceLimits,
    workspace: str,
    host: str,
    live_hosts: Collection[str],
) -> HostShare:
    """Returns a host's part of a workspace's limits.

    Args:
        limits: The limits over all hosts.
        workspace: Whose limits; decides which hosts get the remainder.
        host: The host.
        live_hosts: All live hosts.
    """
    ranked = hashing.rank(workspace, {*live_hosts, host})
    whole, rest = divmod(limits.concurrent_turns, len(ranked))
    own = whole + (1 if ranked.index(host) < rest else 0)
    # Rate and burst go only to hosts that may run a turn at all.
    holders = len(ranked) if whole > 0 else max(1, rest)
    part = 1 / holders if own > 0 else 0.0
    return HostShare(
        own,
        limits.turns_per_s * part,
        max(1.0, limits.burst * part) if own > 0 else 0.0,
        "" if own > 0 else ranked[0],
    )


class TokenBucket:
    """A rate with a burst."""

    def __init__(self, rate: float, burst: float, now: float) -> None:
        self._rate = rate
        self._burst = burst
        self._tokens = burst
        self._updated_at = now

    def update_rate(self, rate: float, burst: float, now: float) -> None:
        """Sets another rate and burst; what is saved up stays bounded."""
        self._refill(now)
        self._rate = rate
        self._burst = burst
        self._tokens = min(self._tokens, burst)

    def try_acquire(self, now: float) -> bool:
        """Takes one token; False when none is left."""
        self._refill(now)
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True

    def wait_s(self, now: float) -> float:
        """Returns the seconds until a token is there."""
        self._refill(now)
        return max(0.0, 1 - self._tokens) / max(_MIN_RATE, self._rate)

    def _refill(self, now: float) -> None:
        added = max(0.0, now - self._updated_at) * self._rate
        self._tokens = min(self._burst, self._tokens + added)
        self._updated_at = max(self._updated_at, now)


class HostShareLimiter:
    """Enforces one host's share of a workspace's limits."""

    def __init__(self, share: HostShare, now: float) -> None:
        self._share = share
        self._bucket = TokenBucket(share.turns_per_s, share.burst, now)
        self._active: set[str] = set()

    @property
    def active(self) -> int:
        """Turns in flight."""
        return len(self._active)

    def update_share(self, share: HostShare, now: float) -> None:
        """Sets another share, after hosts came or left."""
        self._share = share
        self._bucket.update_rate(share.turns_per_s, share.burst, now)

    def begin(self, turn_id: str, now: float) -> Result[None, Failure]:
        """Begins a turn; idempotent by its id.

        Args:
            turn_id: The turn.
            now: Present time.

        Returns:
            Nothing, or LIMIT_REACHED with the time to come back and, where
            this host has no share, the host to go to.
        """
        if turn_id in self._active:
            return Success(None)
        if len(self._active) >= self._share.concurrent_turns:
            return Failed(self._refusal(_CONCURRENCY_RETRY_MS))
        if not self._bucket.try_acquire(now):
            wait_ms = int(1000 * self._bucket.wait_s(now)) + 1
            return Failed(self._refusal(wait_ms))
        self._active.add(turn_id)
        return Success(None)

    def end(self, turn_id: str) -> None:
        """Ends a turn; an unknown id is ignored."""
        self._active.discard(turn_id)

    def _refusal(self, retry_ms: int) -> Failure:
        return Failure(
            ErrorKind.LIMIT_REACHED,
            retry_after_ms=retry_ms,
            host=self._share.redirect_host,
        )
