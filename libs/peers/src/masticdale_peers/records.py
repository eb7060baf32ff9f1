"""A host's local state for each peer."""

import dataclasses
import math

from masticdale_common import JsonValue
from masticdale_peers.gossip import heartbeat_from_update, version_key
from masticdale_peers.messages import Heartbeat, PeerNews
from masticdale_peers.views import Member, MembershipLimits


@dataclasses.dataclass(slots=True)
class PeerRecord:
    """Local state of one peer; times are in seconds of the monotonic clock.

    Attributes:
        is_neighbour: Whether this host sends it heartbeats. If so, only its
            replies decide whether it is live; otherwise gossip does.
        answered_at: Time of its last reply to this host's heartbeat.
        heartbeat_received_at: Time of the last heartbeat it sent to this host.
        heartbeat: Its latest known heartbeat, without gossip.
        last_update_at: Time of the last gossip update about it.
        suspicion_expires_at: Time at which it counts as dead unless it
            refutes the suspicion; None if it is not suspected.
        suspected_at: Time at which this host last reported it as suspect.
        listed: Whether it has ever been on the platform's host list.
        listed_leaving: Whether the list marks it as leaving.
        removed: Whether it has been on the list and no longer is.
        consecutive_failures: Failed heartbeats since the last reply.
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
        """Returns whether this host counts the peer as a member."""
        if self.removed:
            return False
        if self.is_neighbour:
            return self.has_valid_lease(now, limits)
        return self.is_reported_live(now)

    def live_until(self, limits: MembershipLimits) -> float:
        """Returns when a live peer expires unless it is heard from."""
        if self.is_neighbour:
            return (self.answered_at or 0.0) + limits.lease_s
        return (
            math.inf
            if self.suspicion_expires_at is None
            else self.suspicion_expires_at
        )

    def has_valid_lease(self, now: float, limits: MembershipLimits) -> bool:
        """Returns whether it answered this host within the lease time."""
        if self.answered_at is None:
            return False
        return now - self.answered_at <= limits.lease_s

    def is_reported_live(self, now: float) -> bool:
        """Returns whether it is live according to gossip."""
        if self.last_update_at is None:
            return False
        return (
            self.suspicion_expires_at is None or now < self.suspicion_expires_at
        )

    def apply_update(
        self, update: PeerNews, now: float, limits: MembershipLimits
    ) -> None:
        """Applies a gossip update about the peer."""
        was_live = self.is_reported_live(now)
        self.last_update_at = now
        if self.heartbeat is None or version_key(update) > version_key(
            self.heartbeat
        ):
            self.heartbeat = heartbeat_from_update(update)
        if not update.accusers:
            self.suspicion_expires_at = None
            return
        # The peer may only be slow, or the link between it and the accuser
        # may be down. It stays a member until its refutation has had time to
        # spread. A peer not known to be live gets no such time: otherwise a
        # host that has just started would count all dead hosts as live.
        is_confirmed = len(update.accusers) > 1
        suspicion_timeout_s = (
            limits.refute_s if is_confirmed else limits.suspect_s
        )
        expires_at = now + suspicion_timeout_s if was_live else now
        if self.suspicion_expires_at is not None:
            expires_at = min(expires_at, self.suspicion_expires_at)
        self.suspicion_expires_at = expires_at

    def become_neighbour(self, now: float) -> None:
        """Starts to rely on the peer's replies to heartbeats."""
        if not self.is_neighbour and self.is_reported_live(now):
            # Start with a full lease. Otherwise the live peer would drop out
            # of the view until its first reply.
            self.answered_at = now
        self.is_neighbour = True

    def become_non_neighbour(
        self, now: float, limits: MembershipLimits
    ) -> None:
        """Starts to rely on gossip about the peer."""
        if self.is_neighbour and self.last_update_at is None:
            # Gossip starts when the peers outnumber the fan-out. A peer with
            # a valid lease stays live although no update has arrived yet.
            self.last_update_at = (
                now if self.has_valid_lease(now, limits) else None
            )
        self.is_neighbour = False

    def extend_deadlines(self, seconds: float) -> None:
        """Extends all deadlines by the duration of a process pause."""
        if self.answered_at is not None:
            self.answered_at += seconds
        if self.suspicion_expires_at is not None:
            self.suspicion_expires_at += seconds

    def to_member(self, now: float) -> Member:
        """Returns the membership entry of the live peer."""
        assert self.heartbeat is not None
        leaving = self.heartbeat.leaving or self.listed_leaving
        return Member(
            self.heartbeat,
            _seconds_since(self._last_contact_at(), now) or 0.0,
            leaving,
        )

    def state(self, now: float) -> JsonValue:
        """Returns the peer's part of the state dump."""
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
