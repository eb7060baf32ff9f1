"""Which hosts are live, by heartbeats over the peer connections.

Membership is soft: two hosts may see different members for a while, so
nothing that has to be safe rests on it.
"""

import asyncio
import dataclasses
import random
import secrets
import time
from collections.abc import Awaitable, Callable, Iterable
from typing import Protocol

from returns.result import Success

from masticdale_common import (
    JsonValue,
    Subscription,
    TimerService,
    hashing,
    logs,
)
from masticdale_peers.interfaces import Peers
from masticdale_peers.messages import Heartbeat, HeartbeatReply

Clock = Callable[[], float]
BeatSource = Callable[[], Heartbeat]

_TICK_TIMER = "membership-tick"
_JITTER_SHARE = 0.1
_INCARNATION_DIGITS = 16


@dataclasses.dataclass(frozen=True, slots=True)
class MembershipLimits:
    """Timing of the heartbeats.

    Attributes:
        period_s: Between two heartbeats to one peer.
        timeout_s: For one heartbeat; then its connection is replaced.
        lease_s: A peer that did not answer for this long is no member.
    """

    period_s: float = 0.5
    timeout_s: float = 0.75
    lease_s: float = 2.5


@dataclasses.dataclass(frozen=True, slots=True)
class Member:
    """A live host, itself included.

    Attributes:
        beat: What it last said about itself.
        age_s: Seconds since it said so.
        leaving: It said so itself, or the platform's list does.
        is_self: True for this host.
    """

    beat: Heartbeat
    age_s: float
    leaving: bool
    is_self: bool = False

    @property
    def name(self) -> str:
        """The host's name."""
        return self.beat.host


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


@dataclasses.dataclass(slots=True)
class _Record:
    """What is known of one peer.

    Attributes:
        answered_at: When it last answered this host's heartbeat.
        called_at: When its own heartbeat last reached this host.
        beat: What it last said about itself.
        listed: It has been on the platform's list.
        listed_leaving: The list says that it leaves.
        removed: It was on the list and no longer is.
        failures: Heartbeats without an answer since the last one with.
    """

    answered_at: float | None = None
    called_at: float | None = None
    beat: Heartbeat | None = None
    listed: bool = False
    listed_leaving: bool = False
    removed: bool = False
    failures: int = 0


class Membership:
    """The live hosts as this one sees them; made by ``join``."""

    def __init__(
        self,
        own_beat: BeatSource,
        peer_names: Iterable[str],
        peers: Peers,
        timers: TimerService,
        limits: MembershipLimits,
        clock: Clock,
    ) -> None:
        self._own_beat = own_beat
        self._name = own_beat().host
        self._peers = peers
        self._timers = timers
        self._limits = limits
        self._clock = clock
        self._record_by_host = {
            name: _Record() for name in peer_names if name != self._name
        }
        self._random = random.Random(self._name)
        self._tasks: list[asyncio.Task[None]] = []
        self._change_callbacks: list[ChangeCallback] = []
        self._pause_callbacks: list[PauseCallback] = []
        self._pending_pause_s = 0.0
        self._looked_at = clock()
        self._last_view = self._view()

    def start(self) -> None:
        """Starts one task for each peer and the tick."""
        for host in self._record_by_host:
            task = asyncio.create_task(self._keep_beating(host))
            self._tasks.append(task)
        self._timers.subscribe(
            Subscription(_TICK_TIMER, self._limits.period_s, self.tick)
        )

    async def close(self) -> None:
        """Stops the tasks."""
        self._timers.unsubscribe(_TICK_TIMER)
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        self._tasks.clear()

    def members(self) -> tuple[Member, ...]:
        """Returns the live hosts by name, this one included."""
        self._note_pause()
        now = self._clock()
        found = [Member(self._own_beat(), 0.0, self._own_beat().leaving, True)]
        for record in self._record_by_host.values():
            if self._is_live(record, now):
                found.append(_member(record, now))
        return tuple(sorted(found, key=lambda member: member.name))

    def live_names(self) -> tuple[str, ...]:
        """Returns the names of the live hosts, this one included."""
        return tuple(member.name for member in self.members())

    def owner_names(self) -> tuple[str, ...]:
        """Returns the hosts that may take new work: live, not leaving."""
        staying = tuple(m.name for m in self.members() if not m.leaving)
        # With nobody else left, the last host goes on until it exits.
        return staying or (self._name,)

    def owner_of(self, key: str) -> str:
        """Returns the host that a key belongs to, as seen from here."""
        return hashing.choose(key, self.owner_names()) or self._name

    def subscribe(self, callback: ChangeCallback) -> None:
        """Calls back when members come, go, restart or start to leave.

        Args:
            callback: Called in the event loop; it must not block.
        """
        self._change_callbacks.append(callback)

    def subscribe_pause(self, callback: PauseCallback) -> None:
        """Calls back with the seconds this process stood still.

        Args:
            callback: Called once for each pause longer than the lease.
                Others may have taken this host's shards over meanwhile.
        """
        self._pause_callbacks.append(callback)

    def set_listed(self, listed: Iterable[ListedPeer]) -> None:
        """Takes the platform's list of hosts.

        The list lags, so it is believed only where it takes a host away: one
        marked as leaving, and one that stood on the list and no longer does.
        A host it has never shown is new to it, not gone.

        Args:
            listed: The whole list.
        """
        leaving_by_host = {peer.name: peer.leaving for peer in listed}
        for host, record in self._record_by_host.items():
            is_listed = host in leaving_by_host
            record.removed = record.listed and not is_listed
            record.listed = record.listed or is_listed
            record.listed_leaving = leaving_by_host.get(host, False)
        self._notify_changes()

    def receive(self, beat: Heartbeat) -> HeartbeatReply:
        """Takes a peer's heartbeat; the handler's answer to it.

        A peer that reaches this host does not become a member by that: calls
        to it may still fail, and a program sent there would wait for ever.
        Only an answer to this host's own heartbeat shows that.
        """
        record = self._record_by_host.get(beat.host)
        if record is not None:
            record.called_at = self._clock()
            self._take_beat(record, beat)
        return HeartbeatReply(self._own_beat())

    async def beat(self, host: str) -> None:
        """Sends one heartbeat to a peer and takes its answer."""
        record = self._record_by_host[host]
        result = await self._peers.client(host).heartbeat(
            self._own_beat(), self._limits.timeout_s
        )
        if not isinstance(result, Success):
            record.failures += 1
            self._notify_changes()
            return
        beat = result.unwrap().beat
        if beat.host != host:
            # The address now belongs to another host: its answer must not
            # keep this one alive.
            record.failures += 1
            logs.write("peer_has_other_name", peer=host, answered=beat.host)
            return
        record.failures = 0
        record.answered_at = self._clock()
        self._take_beat(record, beat)
        self._notify_changes()

    async def tick(self) -> None:
        """Notices expired leases and pauses of this process."""
        self._notify_changes()
        paused_s, self._pending_pause_s = self._pending_pause_s, 0.0
        if not paused_s:
            return
        logs.write("host_was_paused", seconds=paused_s)
        for callback in self._pause_callbacks:
            await callback(paused_s)

    def state(self) -> JsonValue:
        """Returns what the state dump shows."""
        now = self._clock()
        return {
            "members": list(self.live_names()),
            "peers": {
                host: _record_state(record, now)
                for host, record in self._record_by_host.items()
            },
        }

    async def _keep_beating(self, host: str) -> None:
        while True:
            try:
                await self.beat(host)
            except Exception as error:
                logs.write("heartbeat_failed", peer=host, error=repr(error))
            jitter = self._random.uniform(-_JITTER_SHARE, _JITTER_SHARE)
            await asyncio.sleep(self._limits.period_s * (1 + jitter))

    def _is_live(self, record: _Record, now: float) -> bool:
        if record.answered_at is None or record.removed:
            return False
        return now - record.answered_at <= self._limits.lease_s

    def _take_beat(self, record: _Record, beat: Heartbeat) -> None:
        known = record.beat
        if known is not None and beat.incarnation < known.incarnation:
            return  # A late message of the process before.
        record.beat = beat
        if known is None or known.incarnation == beat.incarnation:
            return
        self._notify(MembershipChange(self.members(), (beat.host,)))

    def _note_pause(self) -> None:
        now = self._clock()
        paused_s = now - self._looked_at
        self._looked_at = now
        if paused_s <= self._limits.lease_s:
            return
        # After a pause every lease looks expired, although it was this host
        # that could not listen. Taken at its word it would be alone and own
        # every shard; so the peers get the pause on top of their leases.
        self._pending_pause_s += paused_s
        for record in self._record_by_host.values():
            if record.answered_at is not None:
                record.answered_at += paused_s

    def _view(self) -> tuple[tuple[str, bool], ...]:
        return tuple((m.name, m.leaving) for m in self.members())

    def _notify_changes(self) -> None:
        view = self._view()
        if view == self._last_view:
            return
        self._last_view = view
        self._notify(MembershipChange(self.members()))

    def _notify(self, change: MembershipChange) -> None:
        for callback in self._change_callbacks:
            try:
                callback(change)
            except Exception as error:
                logs.write("membership_callback_failed", error=repr(error))


def _member(record: _Record, now: float) -> Member:
    assert record.beat is not None
    assert record.answered_at is not None
    leaving = record.beat.leaving or record.listed_leaving
    return Member(record.beat, now - record.answered_at, leaving)


def _record_state(record: _Record, now: float) -> JsonValue:
    beat = record.beat
    return {
        "incarnation": beat.incarnation if beat else None,
        "revision": beat.revision if beat else None,
        "leaving": record.listed_leaving or bool(beat and beat.leaving),
        "removed": record.removed,
        "failures": record.failures,
        "answered_s_ago": _age(record.answered_at, now),
        "called_s_ago": _age(record.called_at, now),
    }


def _age(at: float | None, now: float) -> float | None:
    return None if at is None else round(now - at, 3)


def new_incarnation() -> str:
    """Returns a name for this process that sorts after its predecessors'."""
    started = f"{time.time_ns():0{_INCARNATION_DIGITS}x}"
    return f"{started}-{secrets.token_hex(4)}"


def join(
    own_beat: BeatSource,
    peer_names: Iterable[str],
    peers: Peers,
    timers: TimerService,
    limits: MembershipLimits | None = None,
    clock: Clock = time.monotonic,
) -> Membership:
    """Returns a membership that knows no live peer yet.

    Args:
        own_beat: Returns what this host says about itself now.
        peer_names: Every other host in the settings.
        peers: The calls to them.
        timers: Ticks now and then once it is started.
        limits: Timing; the defaults where None.
        clock: Returns monotonic seconds.
    """
    limits = limits or MembershipLimits()
    return Membership(own_beat, peer_names, peers, timers, limits, clock)
