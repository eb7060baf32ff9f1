"""What one host knows of one peer."""

import dataclasses
import math

from masticdale_common import JsonValue
from masticdale_peers.gossip import age_order, beat_of
from masticdale_peers.messages import Heartbeat, PeerNews
from masticdale_peers.views import Member, MembershipLimits


@dataclasses.dataclass(slots=True)
class PeerRecord:
    """What is known of one peer.

    Attributes:
        is_neighbour: This host heartbeats it, and believes only its answers.
        answered_at: When it last answered this host's heartbeat.
        called_at: When its own heartbeat last reached this host.
        beat: What it last said about itself.
        heard_at: When news of it last came.
        condemned_at: When an accusation against it takes effect, as far as it
            is known by news; None where nobody accuses it.
        accused_at: When this host last accused it.
        listed: It has been on the platform's list.
        listed_leaving: The list says that it leaves.
        removed: It was on the list and no longer is.
        failures: Heartbeats without an answer since the last one with.
    """

    is_neighbour: bool = True
    answered_at: float | None = None
    called_at: float | None = None
    beat: Heartbeat | None = None
    heard_at: float | None = None
    condemned_at: float | None = None
    accused_at: float | None = None
    listed: bool = False
    listed_leaving: bool = False
    removed: bool = False
    failures: int = 0

    def is_live(self, now: float, limits: MembershipLimits) -> bool:
        """Returns whether the peer is a member."""
        if self.removed:
            return False
        if self.is_neighbour:
            return self.has_answered(now, limits)
        return self.is_reported_live(now)

    def live_until(self, limits: MembershipLimits) -> float:
        """Returns when the live peer stops to be one, if nothing is heard."""
        if self.is_neighbour:
            return (self.answered_at or 0.0) + limits.lease_s
        return math.inf if self.condemned_at is None else self.condemned_at

    def has_answered(self, now: float, limits: MembershipLimits) -> bool:
        """Returns whether it answered this host within its lease."""
        if self.answered_at is None:
            return False
        return now - self.answered_at <= limits.lease_s

    def is_reported_live(self, now: float) -> bool:
        """Returns whether it is live by the news of other hosts."""
        if self.heard_at is None:
            return False
        return self.condemned_at is None or now < self.condemned_at

    def take_news(
        self, item: PeerNews, now: float, limits: MembershipLimits
    ) -> None:
        """Takes the latest news of the peer."""
        was_live = self.is_reported_live(now)
        self.heard_at = now
        if self.beat is None or age_order(item) > age_order(self.beat):
            self.beat = beat_of(item)
        if not item.accusers:
            self.condemned_at = None
            return
        # One neighbour may have lost its own way to the peer, and the peer
        # may be one that was only slow. So it stays a member for as long as
        # its refutation takes to cross the hosts. A host that was not known
        # to be live gets no such time: a host just started would otherwise
        # take all the dead for live at first.
        is_agreed = len(item.accusers) > 1
        grace_s = limits.refute_s if is_agreed else limits.suspect_s
        condemned_at = now + grace_s if was_live else now
        if self.condemned_at is not None:
            condemned_at = min(condemned_at, self.condemned_at)
        self.condemned_at = condemned_at

    def become_neighbour(self, now: float) -> None:
        """Starts to go by the peer's own answers."""
        if not self.is_neighbour and self.is_reported_live(now):
            # It has had no time to answer yet: without a lease it would be
            # gone from the view until it does.
            self.answered_at = now
        self.is_neighbour = True

    def become_distant(self, now: float, limits: MembershipLimits) -> None:
        """Starts to go by the news of the peer."""
        if self.is_neighbour and self.heard_at is None:
            # With a ninth peer the calls to all turn into calls to a few:
            # those that answered until now stay, though no news has come.
            self.heard_at = now if self.has_answered(now, limits) else None
        self.is_neighbour = False

    def shift(self, seconds: float) -> None:
        """Moves every time limit on by a pause of this process."""
        if self.answered_at is not None:
            self.answered_at += seconds
        if self.condemned_at is not None:
            self.condemned_at += seconds

    def member(self, now: float) -> Member:
        """Returns the live peer as others see it."""
        assert self.beat is not None
        leaving = self.beat.leaving or self.listed_leaving
        return Member(self.beat, _age(self._known_at(), now) or 0.0, leaving)

    def state(self, now: float) -> JsonValue:
        """Returns what the state dump shows."""
        beat = self.beat
        return {
            "neighbour": self.is_neighbour,
            "incarnation": beat.incarnation if beat else None,
            "revision": beat.revision if beat else None,
            "leaving": self.listed_leaving or bool(beat and beat.leaving),
            "removed": self.removed,
            "failures": self.failures,
            "answered_s_ago": _age(self.answered_at, now),
            "called_s_ago": _age(self.called_at, now),
            "heard_s_ago": _age(self.heard_at, now),
            "condemned": self.condemned_at is not None,
        }

    def _known_at(self) -> float | None:
        return self.answered_at if self.is_neighbour else self.heard_at


def _age(at: float | None, now: float) -> float | None:
    return None if at is None else round(now - at, 3)
