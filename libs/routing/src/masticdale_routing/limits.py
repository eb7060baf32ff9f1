"""Workspace limits that are enforced across all hosts.

Each host enforces its own share, so that hosts need not communicate per call.
While hosts agree on which of them are live, their shares add up to the limits
of concurrent turns and of the rate. The burst of a share is at least one turn,
or its host could never start one; bursts may add up to more than the limit.
"""

import dataclasses
from collections.abc import Collection

from returns.result import Failure as Failed
from returns.result import Result, Success

from masticdale_common import ErrorKind, Failure, hashing

_CONCURRENCY_RETRY_MS = 500
# Avoids division by zero for a rate of zero.
_MIN_RATE = 1e-9


@dataclasses.dataclass(frozen=True, slots=True)
class WorkspaceLimits:
    """Limits of one workspace.

    Attributes:
        concurrent_turns: Maximum turns in flight, over all hosts.
        turns_per_s: Maximum turns started per second, over all hosts.
        burst: Capacity of the token bucket, in turns.
    """

    concurrent_turns: int
    turns_per_s: float
    burst: float


@dataclasses.dataclass(frozen=True, slots=True)
class HostShare:
    """One host's share of a workspace's limits.

    Attributes:
        concurrent_turns: Maximum turns in flight at this host.
        turns_per_s: Maximum turns started per second at this host.
        burst: Capacity of this host's token bucket, in turns.
        redirect_host: A host with a share, set if this host has none.
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
    """Returns a host's share of a workspace's limits.

    Args:
        limits: The limits over all hosts.
        workspace: Name of the workspace; ranks the hosts for the remainder.
        host: The host whose share is computed.
        live_hosts: All live hosts.
    """
    ranked = hashing.rendezvous_rank(workspace, {*live_hosts, host})
    quotient, remainder = divmod(limits.concurrent_turns, len(ranked))
    own_turns = quotient + (1 if ranked.index(host) < remainder else 0)
    # Only hosts that may run a turn get a part of the rate and the burst.
    holders = len(ranked) if quotient > 0 else max(1, remainder)
    part = 1 / holders if own_turns > 0 else 0.0
    return HostShare(
        own_turns,
        limits.turns_per_s * part,
        max(1.0, limits.burst * part) if own_turns > 0 else 0.0,
        "" if own_turns > 0 else ranked[0],
    )


class TokenBucket:
    """A token bucket: a rate limit that allows bursts."""

    def __init__(self, rate: float, burst: float, now: float) -> None:
        self._rate = rate
        self._burst = burst
        self._tokens = burst
        self._updated_at = now

    def update_rate(self, rate: float, burst: float, now: float) -> None:
        """Changes rate and burst; surplus tokens are discarded."""
        self._refill(now)
        self._rate = rate
        self._burst = burst
        self._tokens = min(self._tokens, burst)

    def try_acquire(self, now: float) -> bool:
        """Takes one token; returns False if none is available."""
        self._refill(now)
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True

    def wait_s(self, now: float) -> float:
        """Returns the seconds until a token is available."""
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
        """Number of turns in flight."""
        return len(self._active)

    def update_share(self, share: HostShare, now: float) -> None:
        """Replaces the share after a change of the live hosts."""
        self._share = share
        self._bucket.update_rate(share.turns_per_s, share.burst, now)

    def begin(self, turn_id: str, now: float) -> Result[None, Failure]:
        """Starts a turn; idempotent by its id.

        Args:
            turn_id: Id of the turn.
            now: Current time in seconds.

        Returns:
            Nothing, or LIMIT_REACHED with the time after which to retry and,
            if this host has no share, the host to retry at.
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
