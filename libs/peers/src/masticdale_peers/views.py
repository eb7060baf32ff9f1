"""Types of the membership interface."""

import dataclasses
from collections.abc import Awaitable, Callable
from typing import Protocol

from masticdale_peers.messages import Heartbeat


@dataclasses.dataclass(frozen=True, slots=True)
class MembershipLimits:
    """Limits of failure detection and gossip; times are in seconds.

    Attributes:
        period_s: Interval between heartbeats to the same peer.
        timeout_s: Timeout of a heartbeat; its connection is then replaced.
        lease_s: Time without a reply after which a neighbour is not a member.
        fan_out: Number of live peers to heartbeat. With more peers than this,
            the state of the others is learned by gossip.
        news_per_beat: Maximum number of updates in a heartbeat or reply.
        refute_s: Suspicion timeout of a host that two neighbours suspect.
        suspect_s: Suspicion timeout of a host that one neighbour suspects.
        accuse_again_s: Minimum interval between two suspicions of the same
            host by this host.
    """

    period_s: float = 0.5
    timeout_s: float = 0.75
    lease_s: float = 2.5
    fan_out: int = 8
    news_per_beat: int = 2
    refute_s: float = 2.0
    suspect_s: float = 4.0
    accuse_again_s: float = 10.0


@dataclasses.dataclass(frozen=True, slots=True)
class Member:
    """A live host.

    Attributes:
        heartbeat: Its latest known heartbeat.
        age_s: Seconds since its last reply, or since the last gossip update
            about it.
        leaving: Whether the host itself or the platform's list says that it
            is leaving.
        is_self: Whether it is this host.
    """

    heartbeat: Heartbeat
    age_s: float
    leaving: bool
    is_self: bool = False

    @property
    def name(self) -> str:
        """The host's name."""
        return self.heartbeat.host


@dataclasses.dataclass(frozen=True, slots=True)
class MembershipChange:
    """A change of membership.

    Attributes:
        members: The members after the change.
        restarted: Names of peers that have restarted.
    """

    members: tuple[Member, ...]
    restarted: tuple[str, ...] = ()


ChangeCallback = Callable[[MembershipChange], None]
PauseCallback = Callable[[float], Awaitable[None]]


class ListedPeer(Protocol):
    """A host on the platform's list."""

    @property
    def name(self) -> str:
        """The host's name."""
        ...

    @property
    def leaving(self) -> bool:
        """Whether the platform has started to remove the host."""
        ...
