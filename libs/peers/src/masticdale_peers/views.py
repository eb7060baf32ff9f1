"""What membership tells the rest of the process."""

import dataclasses
from collections.abc import Awaitable, Callable
from typing import Protocol

from masticdale_peers.messages import Heartbeat


@dataclasses.dataclass(frozen=True, slots=True)
class MembershipLimits:
    """Timing of the heartbeats.

    Attributes:
        period_s: Between two heartbeats to one peer.
        timeout_s: For one heartbeat; then its connection is replaced.
        lease_s: A peer that did not answer for this long is no member.
        fan_out: With more peers, only so many live ones are called and the
            others are known by news.
        news_per_beat: Most news in one heartbeat or reply.
        refute_s: How long a host that two neighbours accuse has to refute it.
        suspect_s: The same for a host that only one neighbour accuses.
        accuse_again_s: Before a host is accused again of the same silence.
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
    """A live host, itself included.

    Attributes:
        heartbeat: What it last said about itself.
        age_s: Seconds since it said so, or since the news of it came.
        leaving: It said so itself, or the platform's list does.
        is_self: True for this host.
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
    """What subscribers are told.

    Attributes:
        members: The members now.
        restarted: Names of peers whose process is a new one.
    """

    members: tuple[Member, ...]
    restarted: tuple[str, ...] = ()


ChangeCallback = Callable[[MembershipChange], None]
PauseCallback = Callable[[float], Awaitable[None]]


class ListedPeer(Protocol):
    """A host on the platform's list; the platform client's type fits."""

    @property
    def name(self) -> str:
        """The host's name."""
        ...

    @property
    def leaving(self) -> bool:
        """True once the platform has begun to take it away."""
        ...
