"""What one host knows of one peer."""

import dataclasses
import math

from masticdale_common import JsonValue
from masticdale_peers.gossip import heartbeat_from_update, version_key
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
    heartbeat_received_at: float | None = None
    heartbeat: Heartbeat | None = None
    last_update_at: float | None = None
    suspicion_expires_at: float | None = None
    suspected_at: float | None = None
    listed: bool = False
    listed_leaving: bool = False
    removed: bool = False
    consecutive_failures: int = 0

    def is_live(self, now: float, limits: MembershipLimits) -> bool:
        """Returns whether the peer is a member."""
        if self.removed:
            return False
        if self.is_neighbour:
            return self.has_valid_lease(now, limits)
        return self.is_reported_live(now)

    def live_until(self, limits: MembershipLimits) -> float:
        """Returns when the live peer stops to be one, if nothing is heard."""
        if self.is_neighbour:
            return (self.answered_at or 0.0) + limits.lease_s
        return (
            math.inf
            if self.suspicion_expires_at is None
            else self.suspicion_expires_at
        )

    def has_valid_lease(self, now: float, limits: MembershipLimits) -> bool:
        """Returns whether it answered this host within its lease."""
        if self.answered_at is None:
            return False
        return now - self.answered_at <= limits.lease_s

    def is_reported_live(self, now: float) -> bool:
        """Returns whether it is live by the news of other hosts."""
        if self.last_update_at is None:
            return False
        return (
            self.suspicion_expires_at is None or now < self.suspicion_expires_at
        )

    def apply_update(
        self, update: PeerNews, now: float, limits: MembershipLimits
    ) -> None:
        """Takes the latest news of the peer."""
        was_live = self.is_reported_live(now)
        self.last_update_at = now
        if self.heartbeat is None or version_key(update) > version_key(
            self.heartbeat
        ):
            self.heartbeat = heartbeat_from_update(update)
        if not update.accusers:
            self.suspicion_expires_at = None
            return
        # One neighbour may have lost its own way to the peer, and the peer
        # may be one that was only slow. So it stays a member for as long as
        # its refutation takes to cross the hosts. A host that was not known
        # to be live gets no such time: a host just started would otherwise
        # take all the dead for live at first.
        is_confirmed = len(update.accusers) > 1
        suspicion_timeout_s = (
            limits.refute_s if is_confirmed else limits.suspect_s
        )
        expires_at = now + suspicion_timeout_s if was_live else now
        if self.suspicion_expires_at is not None:
            expires_at = min(expires_at, self.suspicion_expires_at)
        self.suspicion_expires_at = expires_at

    def become_neighbour(self, now: float) -> None:
        """Starts to go by the peer's own answers."""
        if not self.is_neighbour and self.is_reported_live(now):
            # It has had no time to answer yet: without a lease it would be
            # gone from the view until it does.
            self.answered_at = now
        self.is_neighbour = True

    def become_non_neighbour(
        self, now: float, limits: MembershipLimits
    ) -> None:
        """Starts to go by the news of the peer."""
        if self.is_neighbour and self.last_update_at is None:
            # With a ninth peer the calls to all turn into calls to a few:
            # those that answered until now stay, though no news has come.
            self.last_update_at = (
                now if self.has_valid_lease(now, limits) else None
            )
        self.is_neighbour = False

    def extend_deadlines(self, seconds: float) -> None:
        """Moves every time limit on by a pause of this process."""
        if self.answered_at is not None:
            self.answered_at += seconds
        if self.suspicion_expires_at is not None:
            self.suspicion_expires_at += seconds

    def to_member(self, now: float) -> Member:
        """Returns the live peer as others see it."""
        assert self.heartbeat is not None
        leaving = self.heartbeat.leaving or self.listed_leaving
        return Member(
            self.heartbeat,
            _seconds_since(self._last_contact_at(), now) or 0.0,
            leaving,
        )

    def state(self, now: float) -> JsonValue:
        """Returns what the state dump shows."""
        heartbeat = self.heartbeat
        return {
            "neighbour": self.is_neighbour,
            "incarnation": heartbeat.incarnation if heartbeat else None,
            "revision": heartbeat.revision if heartbeat else None,
            "leaving": self.listed_leaving
            or bool(heartbeat and heartbeat.leaving),
            "removed": self.removed,
            "failures": self.consecutive_failures,
            "answered_s_ago": _seconds_since(self.answered_at, now),
            "called_s_ago": _seconds_since(self.heartbeat_received_at, now),
            "heard_s_ago": _seconds_since(self.last_update_at, now),
            "condemned": self.suspicion_expires_at is not None,
        }

    def _last_contact_at(self) -> float | None:
        return self.answered_at if self.is_neighbour else self.last_update_at


def _seconds_since(at: float | None, now: float) -> float | None:
    return None if at is None else round(now - at, 3)
