"""Counts the requests of workspaces against their usage caps.

One host counts the requests of a workspace for all hosts, in a token bucket of
the cap's rate and burst. The operator tolerates an excess in each window of
time. Requests of programs under way may use a part of it, since a refusal ends
the program and wastes what it has used; the rest covers the loss of a counter.
"""

import dataclasses
import enum

from masticdale_workspaces.workspaces import UsageCap

# Part of the tolerated excess that programs under way may use.
_OVERDRAFT_SHARE = 0.7
# The same in the first window after the levels are lost. The lost counter may
# have granted its whole overdraft in the same window; the sum of both stays
# below what is tolerated.
_OVERDRAFT_SHARE_AFTER_LOSS = 0.15
# Part of the overdraft that turns may use. A refused turn is sent again, a
# refused call of a tool ends its program.
_TURN_SHARE = 0.5
# Requests that may be granted before the standby has acknowledged them, in
# seconds of the cap's rate, and at least.
_RESERVE_S = 0.25
_MIN_RESERVE = 4
# Longest time for which a refused request is told to wait, in seconds. Those
# that never return must not delay the others.
_MAX_PLACE_S = 2.0


class Demand(enum.Enum):
    """What a request continues.

    Attributes:
        NEW: Begins a program, or belongs to none.
        TURN: A turn of a program under way.
        CALL: Any other request of a program under way.
    """

    NEW = enum.auto()
    TURN = enum.auto()
    CALL = enum.auto()


_OVERDRAFT_BY_DEMAND = {
    Demand.NEW: 0.0,
    Demand.TURN: _TURN_SHARE,
    Demand.CALL: 1.0,
}


@dataclasses.dataclass(frozen=True, slots=True)
class UsageTolerance:
    """The excess over caps that the operator tolerates in a window of time.

    Attributes:
        window_s: Length of the window, in seconds.
        share: Excess as a share of what the cap allows in the window.
        requests: Excess in requests, besides the share.
    """

    window_s: float = 5.0
    share: float = 0.0
    requests: float = 0.0

    def excess(self, cap: UsageCap) -> float:
        """Returns the tolerated excess in requests."""
        allowed = cap.rate_per_s * self.window_s + cap.burst
        return self.share * allowed + self.requests


@dataclasses.dataclass(frozen=True, slots=True)
class UsageClaim:
    """A request that counts against the usage cap of a workspace.

    Attributes:
        workspace: Name of the workspace.
        cap: Its cap in the asking host's configuration.
        version: Version of that configuration; the newest one applies.
    """

    workspace: str
    cap: UsageCap
    version: int


@dataclasses.dataclass(frozen=True, slots=True)
class UsageLevel:
    """What one workspace may still use; sent to other hosts.

    Attributes:
        workspace: Name of the workspace.
        rate_per_s: Rate of its cap.
        burst: Burst of its cap.
        version: Version of the configuration that states the cap.
        level: Requests left; negative after an overdraft.
    """

    workspace: str
    rate_per_s: float
    burst: float
    version: int
    level: float

    def after(self, elapsed_s: float) -> "UsageLevel":
        """Returns the level after some seconds without requests."""
        refilled = self.level + max(0.0, elapsed_s) * self.rate_per_s
        return dataclasses.replace(self, level=min(self.burst, refilled))


class _Bucket:
    """The token bucket of one workspace.

    Attributes:
        granted: Requests granted so far.
        acknowledged: Value of ``granted`` up to which the standby has counted.
    """

    def __init__(
        self, cap: UsageCap, version: int, level: float, now: float
    ) -> None:
        self.cap = cap
        self.version = version
        self.level = level
        self.updated_at = now
        self.place_until = now
        self.granted = 0
        self.acknowledged = 0

    @property
    def reserve(self) -> int:
        """Requests that a copy for the standby counts ahead."""
        return max(_MIN_RESERVE, int(_RESERVE_S * self.cap.rate_per_s))

    @property
    def unused_reserve(self) -> int:
        """Requests that may be granted without another copy."""
        return self.acknowledged - self.granted

    def refill(self, share: float, now: float) -> None:
        """Adds what the rate has allowed since the last call."""
        elapsed_s = max(0.0, now - self.updated_at)
        added = elapsed_s * share * self.cap.rate_per_s
        self.level = min(self.cap.burst, self.level + added)
        self.updated_at = now


class UsageCopy:
    """One workspace's level as sent to the standby."""

    def __init__(self, level: UsageLevel, bucket: _Bucket) -> None:
        self.level = level
        self._bucket = bucket
        self._granted = bucket.granted + bucket.reserve

    def confirm(self) -> None:
        """Records that the standby holds the copy."""
        self._bucket.acknowledged = max(
            self._bucket.acknowledged, self._granted
        )


class UsageCounter:
    """Counts the requests of the workspaces of one shard.

    A copy for the standby counts a reserve ahead of what is granted. Requests
    are granted at once within the acknowledged reserve, so that a standby that
    takes over has counted each of them.
    """

    def __init__(
        self,
        tolerance: UsageTolerance,
        now: float,
        levels: tuple[UsageLevel, ...] = (),
        incomplete_for_s: float = 0.0,
    ) -> None:
        """Starts with the levels that another counter had.

        Args:
            tolerance: The excess that the operator tolerates.
            now: Current time in seconds, on the clock of all calls.
            levels: The known levels.
            incomplete_for_s: Seconds for which workspaces without a level may
                have used theirs at another counter; these start with nothing.
        """
        self._tolerance = tolerance
        self._share = 1.0
        self._began_at = now
        self._complete_from = now + incomplete_for_s
        self._is_restricted = False
        self._bucket_by_workspace: dict[str, _Bucket] = {}
        for known in levels:
            cap = UsageCap(known.rate_per_s, known.burst)
            self._bucket_by_workspace[known.workspace] = _Bucket(
                cap, known.version, known.level, now
            )

    def incomplete_for_s(self, now: float) -> float:
        """Returns for how many seconds other levels may be missing."""
        return max(0.0, self._complete_from - now)

    def set_share(self, share: float, now: float) -> None:
        """Sets the share of each rate that this counter may grant.

        Below 1 while another host may count the same workspaces.
        """
        if share == self._share:
            return
        for bucket in self._bucket_by_workspace.values():
            bucket.refill(min(share, self._share), now)
        self._share = share

    def restrict_to_reserve(self) -> None:
        """Keeps only what the standby has counted, since it may take over.

        The standby may grant the rest, and whole bursts to workspaces that
        have no level here.
        """
        self._is_restricted = True
        for bucket in self._bucket_by_workspace.values():
            bucket.level = min(bucket.level, bucket.unused_reserve)

    def lift_restriction(self) -> None:
        """Ends the restriction to the reserve."""
        self._is_restricted = False

    def level(self, claim: UsageClaim, now: float) -> float:
        """Returns how many requests a workspace has left."""
        return round(self._current_bucket(claim, now).level, 1)

    def wait_s(
        self, claim: UsageClaim, demand: Demand, now: float
    ) -> float | None:
        """Returns the seconds until a request fits its cap; counts nothing.

        A request that begins a program and is refused takes the next place, so
        that the following one is told to wait longer.

        Returns:
            0 if it fits now; None if this counter may grant nothing more.
        """
        bucket = self._current_bucket(claim, now)
        missing = self._floor(bucket, demand, now) + 1 - bucket.level
        if missing <= 0:
            return 0.0
        rate_per_s = self._share * bucket.cap.rate_per_s
        if rate_per_s <= 0:
            return None
        free_at = now + missing / rate_per_s
        if demand is Demand.NEW:
            # Refused requests are told to return one after another, at the
            # pace at which they can be served.
            free_at = max(free_at, bucket.place_until)
            free_at = min(free_at, now + _MAX_PLACE_S)
            bucket.place_until = free_at + 1 / rate_per_s
        return free_at - now

    def take(self, claim: UsageClaim, now: float) -> bool:
        """Counts a granted request; call only if ``wait_s`` returned 0.

        Returns:
            Whether the standby has counted it already. If not, it must
            acknowledge a copy before the request is sent.
        """
        bucket = self._current_bucket(claim, now)
        bucket.level -= 1
        bucket.granted += 1
        return bucket.unused_reserve >= 0

    def give_back(self, claim: UsageClaim, now: float) -> None:
        """Takes back a granted request that was not sent."""
        bucket = self._current_bucket(claim, now)
        bucket.level = min(bucket.cap.burst, bucket.level + 1)

    def needs_copy(self, workspace: str) -> bool:
        """Returns whether the standby should get a new copy soon."""
        bucket = self._bucket_by_workspace.get(workspace)
        return bucket is not None and bucket.unused_reserve < bucket.reserve / 2

    def levels(self, now: float) -> tuple[UsageLevel, ...]:
        """Returns all levels, for a host that takes over from here."""
        return tuple(
            self._level(workspace, bucket, now)
            for workspace, bucket in self._bucket_by_workspace.items()
        )

    def copies(
        self, workspaces: list[str] | None, now: float
    ) -> tuple[UsageCopy, ...]:
        """Returns what to send to the standby; for None, all workspaces."""
        names = workspaces
        if names is None:
            names = list(self._bucket_by_workspace)
        return tuple(
            self._copy(name, self._bucket_by_workspace[name], now)
            for name in names
            if name in self._bucket_by_workspace
        )

    def evict_full(self, now: float) -> None:
        """Forgets the workspaces that have used nothing of their burst."""
        for workspace, bucket in list(self._bucket_by_workspace.items()):
            bucket.refill(self._share, now)
            is_full = bucket.level >= bucket.cap.burst
            if is_full and now >= self._complete_from:
                del self._bucket_by_workspace[workspace]

    def _copy(self, workspace: str, bucket: _Bucket, now: float) -> UsageCopy:
        level = self._level(workspace, bucket, now)
        ahead = dataclasses.replace(level, level=level.level - bucket.reserve)
        return UsageCopy(ahead, bucket)

    def _level(self, workspace: str, bucket: _Bucket, now: float) -> UsageLevel:
        bucket.refill(self._share, now)
        return UsageLevel(
            workspace,
            bucket.cap.rate_per_s,
            bucket.cap.burst,
            bucket.version,
            bucket.level,
        )

    def _current_bucket(self, claim: UsageClaim, now: float) -> _Bucket:
        bucket = self._bucket_by_workspace.get(claim.workspace)
        if bucket is None:
            bucket = _Bucket(
                claim.cap, claim.version, self._first_level(claim.cap, now), now
            )
            self._bucket_by_workspace[claim.workspace] = bucket
        bucket.refill(self._share, now)
        if claim.version > bucket.version:
            bucket.version = claim.version
            bucket.cap = claim.cap
            bucket.level = min(bucket.level, claim.cap.burst)
        return bucket

    def _first_level(self, cap: UsageCap, now: float) -> float:
        if self._is_restricted:
            return 0.0
        if now >= self._complete_from:
            return cap.burst
        earned = (now - self._began_at) * self._share * cap.rate_per_s
        return min(cap.burst, earned)

    def _floor(self, bucket: _Bucket, demand: Demand, now: float) -> float:
        """Returns the level to which a request may lower a bucket."""
        if self._is_restricted:
            return 0.0
        share = _OVERDRAFT_SHARE
        if now < self._complete_from:
            share = _OVERDRAFT_SHARE_AFTER_LOSS
        excess = self._tolerance.excess(bucket.cap)
        return -share * _OVERDRAFT_BY_DEMAND[demand] * excess
