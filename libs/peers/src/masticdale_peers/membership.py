"""Membership and failure detection by heartbeats and gossip.

Up to a configured number of peers, each host sends heartbeats to all of them
and relies on their replies alone. With more peers it sends heartbeats to a
fixed number of live neighbours and learns about all others by gossip.

Membership is eventually consistent: hosts may see different members for a
while. Do not rely on it for safety.
"""

import asyncio
import dataclasses
import math
import random
import secrets
import time
from collections.abc import Callable, Iterable

from returns.result import Success

from masticdale_common import (
    JsonValue,
    Metrics,
    Subscription,
    TimerService,
    hashing,
    logs,
)
from masticdale_peers import neighbours
from masticdale_peers.gossip import (
    MAX_ACCUSERS,
    GossipState,
    update_from_heartbeat,
    version_key,
    with_accusers,
)
from masticdale_peers.interfaces import Peers
from masticdale_peers.messages import Heartbeat, HeartbeatReply, PeerNews
from masticdale_peers.records import PeerRecord
from masticdale_peers.views import (
    ChangeCallback,
    ListedPeer,
    Member,
    MembershipChange,
    MembershipLimits,
    PauseCallback,
)

Clock = Callable[[], float]
HeartbeatSource = Callable[[], Heartbeat]

_TICK_TIMER = "membership-tick"
_TICKS_PER_PERIOD = 2
_JITTER_FRACTION = 0.1
_INCARNATION_DIGITS = 16
_MAX_UNKNOWN_HOSTS = 16
_MAX_CACHED_OWNERS = 4096


@dataclasses.dataclass(frozen=True, slots=True)
class _ViewEntry:
    """A live host in the view from which owners are chosen."""

    name: str
    leaving: bool


class Membership:
    """The live hosts as seen by this host; created by ``join``."""

    def __init__(
        self,
        own_heartbeat: HeartbeatSource,
        peer_names: Iterable[str],
        peers: Peers,
        timers: TimerService,
        limits: MembershipLimits,
        clock: Clock,
        metrics: Metrics,
    ) -> None:
        self._own_heartbeat = own_heartbeat
        self._name = own_heartbeat().host
        self._peers = peers
        self._timers = timers
        self._limits = limits
        self._clock = clock
        self._metrics = metrics
        self._record_by_host: dict[str, PeerRecord] = {}
        self._gossip = GossipState(limits.news_per_beat, self._name)
        self._version = 0
        self._last_own_heartbeat: Heartbeat | None = None
        self._unknown_hosts: set[str] = set()
        self._random = random.Random(self._name)
        self._task_by_host: dict[str, asyncio.Task[None]] = {}
        self._change_callbacks: list[ChangeCallback] = []
        self._pause_callbacks: list[PauseCallback] = []
        self._pending_pause_s = 0.0
        self._last_checked_at = clock()
        self._neighbours: tuple[str, ...] = ()
        self._cached_view: tuple[_ViewEntry, ...] | None = None
        self._cached_until = 0.0
        self._cached_own_entry: _ViewEntry | None = None
        self._owner_by_key: dict[str, str] = {}
        self._owner_cache_view: tuple[_ViewEntry, ...] = ()
        self._notified_view: tuple[_ViewEntry, ...] = ()
        self.set_peers(peer_names)

    def start(self) -> None:
        """Starts the heartbeat tasks and the periodic tick."""
        self._reconcile_tasks()
        period_s = self._limits.period_s / _TICKS_PER_PERIOD
        self._timers.subscribe(Subscription(_TICK_TIMER, period_s, self._tick))

    async def close(self) -> None:
        """Stops the tick and the heartbeat tasks."""
        self._timers.unsubscribe(_TICK_TIMER)
        tasks = list(self._task_by_host.values())
        self._task_by_host.clear()
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def members(self) -> tuple[Member, ...]:
        """Returns the live hosts, including this one, sorted by name."""
        self._detect_pause()
        now = self._clock()
        own_heartbeat = self._own_heartbeat()
        members = [Member(own_heartbeat, 0.0, own_heartbeat.leaving, True)]
        for record in self._record_by_host.values():
            if record.is_live(now, self._limits):
                members.append(record.to_member(now))
        return tuple(sorted(members, key=lambda member: member.name))

    def live_names(self) -> tuple[str, ...]:
        """Returns the names of the live hosts, including this one."""
        return tuple(entry.name for entry in self._view())

    def owner_names(self) -> tuple[str, ...]:
        """Returns the hosts eligible for new work: live and not leaving."""
        candidates = tuple(
            entry.name for entry in self._view() if not entry.leaving
        )
        # If all hosts are leaving, this one stays eligible until it exits.
        return candidates or (self._name,)

    def owner_of(self, key: str) -> str:
        """Returns the host that owns a key in this host's view."""
        view = self._view()
        if (
            view is not self._owner_cache_view
            or len(self._owner_by_key) > _MAX_CACHED_OWNERS
        ):
            self._owner_cache_view = view
            self._owner_by_key.clear()
        owner = self._owner_by_key.get(key)
        if owner is None:
            owner = (
                hashing.rendezvous_choose(key, self.owner_names()) or self._name
            )
            self._owner_by_key[key] = owner
        return owner

    def neighbour_names(self) -> tuple[str, ...]:
        """Returns the peers that this host sends heartbeats to."""
        return self._neighbours

    def subscribe(self, callback: ChangeCallback) -> None:
        """Registers a callback for changes of membership.

        Args:
            callback: Called when a member joins, fails, restarts or starts
                to leave. It runs in the event loop and must not block.
        """
        self._change_callbacks.append(callback)

    def subscribe_pause(self, callback: PauseCallback) -> None:
        """Registers a callback for pauses of this process.

        Args:
            callback: Called with the seconds of each pause longer than the
                lease. Other hosts may have taken over this host's shards.
        """
        self._pause_callbacks.append(callback)

    def set_peers(self, peer_names: Iterable[str]) -> None:
        """Replaces the set of peers; keeps the state of those that remain.

        Args:
            peer_names: Every other host in the current settings.
        """
        names = sorted(set(peer_names) - {self._name})
        for host in self._record_by_host.keys() - set(names):
            self._gossip.remove_host(host)
        self._record_by_host = {
            name: self._record_by_host.get(name) or PeerRecord()
            for name in names
        }
        self._unknown_hosts -= set(names)
        self._peer_order = neighbours.order_peers(self._name, names)
        self._uses_gossip = len(names) > self._limits.fan_out
        self._choose_neighbours()
        self._notify_changes()

    def set_listed(self, listed: Iterable[ListedPeer]) -> None:
        """Applies the platform's list of hosts.

        The list is updated late, so it can only take hosts away: those marked
        as leaving, and those that were on the list and no longer are. A host
        that has never been listed is not considered removed.

        Args:
            listed: The complete list.
        """
        leaving_by_host = {peer.name: peer.leaving for peer in listed}
        for host, record in self._record_by_host.items():
            is_listed = host in leaving_by_host
            record.removed = record.listed and not is_listed
            record.listed = record.listed or is_listed
            record.listed_leaving = leaving_by_host.get(host, False)
        self._invalidate_view()
        self._notify_changes()

    def receive_heartbeat(self, heartbeat: Heartbeat) -> HeartbeatReply:
        """Processes a peer's heartbeat and returns the reply.

        A received heartbeat does not make the peer a member: calls in the
        other direction may still fail, and a program sent there would wait
        forever. Only a reply to this host's own heartbeat, or to that of a
        neighbour, shows that the peer is reachable.
        """
        record = self._record_by_host.get(heartbeat.host)
        if record is None:
            self._record_unknown(heartbeat.host)
            return HeartbeatReply(self._next_heartbeat(heartbeat.host))
        record.heartbeat_received_at = self._clock()
        self._apply_heartbeat(record, heartbeat)
        self._apply_gossip(heartbeat)
        self._notify_changes()
        return HeartbeatReply(self._next_heartbeat(heartbeat.host))

    async def send_heartbeat(self, host: str) -> None:
        """Sends one heartbeat to a peer and processes the reply."""
        record = self._record_by_host.get(host)
        if record is None:
            return  # The settings no longer name the peer.
        sent = self._next_heartbeat(host)
        started_at = self._clock()
        result = await self._peers.client(host).heartbeat(
            sent, self._limits.timeout_s
        )
        if self._record_by_host.get(host) is not record:
            return  # The peer was removed from the settings during the call.
        if not isinstance(result, Success):
            self._gossip.requeue(host, sent.news)
            self._record_failure(record, host)
            return
        heartbeat = result.unwrap().beat
        if heartbeat.host != host:
            # The address now belongs to another host, whose reply must not
            # renew this peer's lease.
            self._gossip.requeue(host, sent.news)
            self._record_failure(record, host)
            logs.write(
                "peer_has_other_name", peer=host, answered=heartbeat.host
            )
            return
        record.consecutive_failures = 0
        if not record.has_valid_lease(self._clock(), self._limits):
            self._invalidate_view()
        record.answered_at = self._clock()
        self._metrics.observe(
            "peer_heartbeat_seconds", record.answered_at - started_at
        )
        self._apply_heartbeat(record, heartbeat)
        if self._uses_gossip:
            self._merge_update(update_from_heartbeat(heartbeat), source=host)
        self._apply_gossip(heartbeat)
        self._notify_changes()

    async def tick(self) -> None:
        """Handles expired leases and pauses of this process."""
        self._suspect_unresponsive()
        self._choose_neighbours()
        self._notify_changes()
        paused_s, self._pending_pause_s = self._pending_pause_s, 0.0
        if not paused_s:
            return
        self._metrics.count("host_pauses_total")
        logs.write("host_was_paused", seconds=paused_s)
        for callback in self._pause_callbacks:
            await callback(paused_s)

    def state(self) -> JsonValue:
        """Returns the membership part of the state dump."""
        now = self._clock()
        return {
            "members": list(self.live_names()),
            "neighbours": [*self._neighbours],
            "unknown_hosts": [*sorted(self._unknown_hosts)],
            "peers": {
                host: record.state(now)
                for host, record in self._record_by_host.items()
            },
        }

    async def _tick(self) -> None:
        await self.tick()
        self._reconcile_tasks()

    def _reconcile_tasks(self) -> None:
        for host in self._task_by_host.keys() - set(self._neighbours):
            self._task_by_host.pop(host).cancel()
        for host in self._neighbours:
            if host not in self._task_by_host:
                self._task_by_host[host] = asyncio.create_task(
                    self._send_heartbeats(host), name=f"heartbeat-{host}"
                )

    async def _send_heartbeats(self, host: str) -> None:
        # A random initial delay spreads the first heartbeats of a host that
        # has just started, which go to every peer in its settings.
        await asyncio.sleep(
            self._random.random() * self._heartbeat_interval_s(host, 0.0)
        )
        while True:
            try:
                await self.send_heartbeat(host)
            except Exception as error:
                logs.write("heartbeat_failed", peer=host, error=repr(error))
            jitter = self._random.uniform(-_JITTER_FRACTION, _JITTER_FRACTION)
            interval_s = self._heartbeat_interval_s(host, self._limits.period_s)
            await asyncio.sleep(interval_s * (1 + jitter))

    def _heartbeat_interval_s(self, host: str, base_interval_s: float) -> float:
        # Live neighbours get a heartbeat every period. The unresponsive ones
        # together get at most `fan_out` heartbeats per period, so the load
        # does not grow with the number of absent hosts in the settings.
        now = self._clock()
        unresponsive = [
            name
            for name in self._neighbours
            if not self._record_by_host[name].has_valid_lease(now, self._limits)
        ]
        if host not in unresponsive:
            return base_interval_s
        rounds = math.ceil(len(unresponsive) / self._limits.fan_out)
        return (
            base_interval_s if rounds <= 1 else rounds * self._limits.period_s
        )

    def _choose_neighbours(self) -> None:
        now = self._clock()
        chosen = neighbours.choose_neighbours(
            self._peer_order, self._is_live, self._limits.fan_out
        )
        if chosen != self._neighbours:
            self._neighbours = chosen
            self._apply_neighbours(set(chosen), now)
        for host in self._gossip.neighbours():
            if not self._exchanges_gossip(host):
                self._gossip.remove_neighbour(host)

    def _apply_neighbours(self, chosen: set[str], now: float) -> None:
        self._invalidate_view()
        for host, record in self._record_by_host.items():
            if host in chosen:
                record.become_neighbour(now)
            else:
                record.become_non_neighbour(now, self._limits)

    def _is_live(self, host: str) -> bool:
        record = self._record_by_host[host]
        return record.is_live(self._clock(), self._limits)

    def _exchanges_gossip(self, host: str) -> bool:
        record = self._record_by_host.get(host)
        if record is None:
            return False
        if record.is_neighbour or record.heartbeat_received_at is None:
            return record.is_neighbour
        return (
            self._clock() - record.heartbeat_received_at <= self._limits.lease_s
        )

    def _suspect_unresponsive(self) -> None:
        if not self._uses_gossip:
            return
        self._detect_pause()
        now = self._clock()
        for host in self._neighbours:
            record = self._record_by_host[host]
            update = self._gossip.get(host)
            if update is None or record.has_valid_lease(now, self._limits):
                continue
            if self._may_suspect(record, update, now):
                record.suspected_at = now
                self._merge_update(
                    with_accusers(update, [*update.accusers, self._name])
                )

    def _may_suspect(
        self, record: PeerRecord, update: PeerNews, now: float
    ) -> bool:
        if (
            len(update.accusers) == MAX_ACCUSERS
            or self._name in update.accusers
        ):
            return False
        # If only the link from this host to the peer is down, the peer
        # refutes every suspicion. Without a minimum interval, suspicions and
        # refutations would flood all hosts.
        suspected_at = record.suspected_at
        return (
            suspected_at is None
            or now - suspected_at > self._limits.accuse_again_s
        )

    def _next_heartbeat(self, peer: str) -> Heartbeat:
        heartbeat = dataclasses.replace(
            self._own_heartbeat(), news=(), version=0
        )
        if (
            self._last_own_heartbeat is not None
            and heartbeat != self._last_own_heartbeat
        ):
            self._version += 1
        self._last_own_heartbeat = heartbeat
        updates = self._gossip.dequeue(peer)
        return dataclasses.replace(
            heartbeat, version=self._version, news=updates
        )

    def _apply_gossip(self, heartbeat: Heartbeat) -> None:
        if not self._uses_gossip:
            return
        self._gossip.add_neighbour(heartbeat.host, heartbeat.incarnation)
        for update in heartbeat.news:
            if update.host == self._name:
                self._refute(update)
            elif update.host in self._record_by_host:
                self._merge_update(update, source=heartbeat.host)
            else:
                self._record_unknown(update.host)

    def _merge_update(self, update: PeerNews, source: str = "") -> None:
        if not self._gossip.merge(update, source):
            return
        latest = self._gossip.get(update.host)
        record = self._record_by_host[update.host]
        assert latest is not None
        known = record.heartbeat
        record.apply_update(latest, self._clock(), self._limits)
        self._invalidate_view()
        self._notify_restart(known, record)

    def _refute(self, update: PeerNews) -> None:
        if update.incarnation != self._own_heartbeat().incarnation:
            return  # The update is about an earlier process of this host.
        if update.accusers and update.version >= self._version:
            self._version = update.version + 1
            self._metrics.count("peer_accusations_refuted_total")

    def _record_unknown(self, host: str) -> None:
        # Only shown to operators: without an address the host cannot be
        # called until this host's settings name it. The limit keeps a faulty
        # peer from exhausting memory.
        if len(self._unknown_hosts) < _MAX_UNKNOWN_HOSTS:
            self._unknown_hosts.add(host)

    def _record_failure(self, record: PeerRecord, host: str) -> None:
        record.consecutive_failures += 1
        self._metrics.count("peer_heartbeat_failures_total", peer=host)
        self._notify_changes()

    def _apply_heartbeat(
        self, record: PeerRecord, heartbeat: Heartbeat
    ) -> None:
        known = record.heartbeat
        if known is not None and version_key(heartbeat) < version_key(known):
            return  # Delayed message, possibly of an earlier process.
        record.heartbeat = dataclasses.replace(heartbeat, news=())
        if record.heartbeat != known:
            self._invalidate_view()
        self._notify_restart(known, record)

    def _notify_restart(
        self, known: Heartbeat | None, record: PeerRecord
    ) -> None:
        heartbeat = record.heartbeat
        if known is None or heartbeat is None:
            return
        if known.incarnation != heartbeat.incarnation:
            self._notify(MembershipChange(self.members(), (heartbeat.host,)))

    def _detect_pause(self) -> None:
        now = self._clock()
        paused_s = now - self._last_checked_at
        self._last_checked_at = now
        if paused_s <= self._limits.lease_s:
            return
        # After a pause of this process all leases look expired, and this host
        # would consider itself alone and the owner of every shard. So the
        # deadlines of all peers are extended by the pause.
        self._pending_pause_s += paused_s
        for record in self._record_by_host.values():
            record.extend_deadlines(paused_s)
        self._invalidate_view()

    def _view(self) -> tuple[_ViewEntry, ...]:
        # Cached because every call placement reads the view, and computing it
        # takes time linear in the number of hosts. Valid until a peer's state
        # changes or the first lease in it expires.
        self._detect_pause()
        now = self._clock()
        own = _ViewEntry(self._name, self._own_heartbeat().leaving)
        cached = self._cached_view
        is_fresh = now < self._cached_until and own == self._cached_own_entry
        if cached is not None and is_fresh:
            return cached
        self._cached_own_entry = own
        members = self.members()
        view = tuple(_ViewEntry(m.name, m.leaving) for m in members)
        self._cached_until = min(
            (
                self._record_by_host[entry.name].live_until(self._limits)
                for entry in view
                if entry.name != self._name
            ),
            default=math.inf,
        )
        self._cached_view = cached if view == cached else view
        return self._cached_view or view

    def _invalidate_view(self) -> None:
        self._cached_until = 0.0

    def _notify_changes(self) -> None:
        view = self._view()
        if view is self._notified_view:
            return
        self._notified_view = view
        self._metrics.gauge("peers_live", len(view))
        self._notify(MembershipChange(self.members()))

    def _notify(self, change: MembershipChange) -> None:
        for callback in self._change_callbacks:
            try:
                callback(change)
            except Exception as error:
                logs.write("membership_callback_failed", error=repr(error))


def new_incarnation() -> str:
    """Returns an id of this process that sorts after those of earlier ones."""
    started = f"{time.time_ns():0{_INCARNATION_DIGITS}x}"
    return f"{started}-{secrets.token_hex(4)}"


def join(
    own_heartbeat: HeartbeatSource,
    peer_names: Iterable[str],
    peers: Peers,
    timers: TimerService,
    limits: MembershipLimits | None = None,
    clock: Clock = time.monotonic,
    metrics: Metrics | None = None,
) -> Membership:
    """Creates a membership that knows no live peer yet.

    Args:
        own_heartbeat: Returns this host's current heartbeat.
        peer_names: Every other host in the settings.
        peers: Clients of the peers.
        timers: Runs the periodic tick after ``Membership.start``.
        limits: Limits; None for the defaults.
        clock: Returns monotonic seconds.
        metrics: Receives heartbeat and pause metrics; None to discard them.
    """
    limits = limits or MembershipLimits()
    metrics = metrics or Metrics()
    return Membership(
        own_heartbeat, peer_names, peers, timers, limits, clock, metrics
    )
