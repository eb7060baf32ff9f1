"""Which hosts are live, by heartbeats over the peer connections.

With few peers each host calls them all and believes only their answers. With
more it calls a constant number of neighbours; what it learns from them it
passes on as news, and it believes news of those it does not call.

Membership is soft: two hosts may see different members for a while, so
nothing that has to be safe rests on it.
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
    NewsBoard,
    accused,
    age_order,
    news_of,
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
BeatSource = Callable[[], Heartbeat]

_TICK_TIMER = "membership-tick"
_TICKS_PER_PERIOD = 2
_JITTER_SHARE = 0.1
_INCARNATION_DIGITS = 16
_MAX_UNKNOWN_HOSTS = 16
_MAX_KEYS = 4096


@dataclasses.dataclass(frozen=True, slots=True)
class _Place:
    """A live host in the view that decides who owns what."""

    name: str
    leaving: bool


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
        metrics: Metrics,
    ) -> None:
        self._own_beat = own_beat
        self._name = own_beat().host
        self._peers = peers
        self._timers = timers
        self._limits = limits
        self._clock = clock
        self._metrics = metrics
        self._record_by_host: dict[str, PeerRecord] = {}
        self._board = NewsBoard(limits.news_per_beat, self._name)
        self._version = 0
        self._said: Heartbeat | None = None
        self._unknown_hosts: set[str] = set()
        self._random = random.Random(self._name)
        self._task_by_host: dict[str, asyncio.Task[None]] = {}
        self._change_callbacks: list[ChangeCallback] = []
        self._pause_callbacks: list[PauseCallback] = []
        self._pending_pause_s = 0.0
        self._looked_at = clock()
        self._neighbours: tuple[str, ...] = ()
        self._cached_view: tuple[_Place, ...] | None = None
        self._cached_until = 0.0
        self._cached_own: _Place | None = None
        self._owner_by_key: dict[str, str] = {}
        self._owners_view: tuple[_Place, ...] = ()
        self._last_view: tuple[_Place, ...] = ()
        self.set_peers(peer_names)

    def start(self) -> None:
        """Starts one task for each neighbour and the tick."""
        self._match_tasks()
        period_s = self._limits.period_s / _TICKS_PER_PERIOD
        self._timers.subscribe(Subscription(_TICK_TIMER, period_s, self._tick))

    async def close(self) -> None:
        """Stops the tasks."""
        self._timers.unsubscribe(_TICK_TIMER)
        tasks = list(self._task_by_host.values())
        self._task_by_host.clear()
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def members(self) -> tuple[Member, ...]:
        """Returns the live hosts by name, this one included."""
        self._note_pause()
        now = self._clock()
        own_beat = self._own_beat()
        found = [Member(own_beat, 0.0, own_beat.leaving, True)]
        for record in self._record_by_host.values():
            if record.is_live(now, self._limits):
                found.append(record.member(now))
        return tuple(sorted(found, key=lambda member: member.name))

    def live_names(self) -> tuple[str, ...]:
        """Returns the names of the live hosts, this one included."""
        return tuple(place.name for place in self._view())

    def owner_names(self) -> tuple[str, ...]:
        """Returns the hosts that may take new work: live, not leaving."""
        staying = tuple(p.name for p in self._view() if not p.leaving)
        # With nobody else left, the last host goes on until it exits.
        return staying or (self._name,)

    def owner_of(self, key: str) -> str:
        """Returns the host that a key belongs to, as seen from here."""
        view = self._view()
        if view is not self._owners_view or len(self._owner_by_key) > _MAX_KEYS:
            self._owners_view = view
            self._owner_by_key.clear()
        owner = self._owner_by_key.get(key)
        if owner is None:
            owner = hashing.choose(key, self.owner_names()) or self._name
            self._owner_by_key[key] = owner
        return owner

    def neighbour_names(self) -> tuple[str, ...]:
        """Returns the peers that this host heartbeats."""
        return self._neighbours

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

    def set_peers(self, peer_names: Iterable[str]) -> None:
        """Takes the hosts of changed settings; those named before stay.

        Args:
            peer_names: Every other host in the settings now.
        """
        names = sorted(set(peer_names) - {self._name})
        for host in self._record_by_host.keys() - set(names):
            self._board.forget(host)
        self._record_by_host = {
            name: self._record_by_host.get(name) or PeerRecord()
            for name in names
        }
        self._unknown_hosts -= set(names)
        self._order = neighbours.order_peers(self._name, names)
        self._uses_news = len(names) > self._limits.fan_out
        self._choose_neighbours()
        self._notify_changes()

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
        self._forget_view()
        self._notify_changes()

    def receive_heartbeat(self, beat: Heartbeat) -> HeartbeatReply:
        """Takes a peer's heartbeat; the handler's answer to it.

        A peer that reaches this host does not become a member by that: calls
        to it may still fail, and a program sent there would wait for ever.
        Only an answer to this host's own heartbeat, or to a neighbour's,
        shows that.
        """
        record = self._record_by_host.get(beat.host)
        if record is None:
            self._note_unknown(beat.host)
            return HeartbeatReply(self._say_to(beat.host))
        record.called_at = self._clock()
        self._take_beat(record, beat)
        self._take_news(beat)
        self._notify_changes()
        return HeartbeatReply(self._say_to(beat.host))

    async def send_heartbeat(self, host: str) -> None:
        """Sends one heartbeat to a peer and takes its answer."""
        record = self._record_by_host.get(host)
        if record is None:
            return  # New settings have just dropped it.
        said = self._say_to(host)
        started_at = self._clock()
        result = await self._peers.client(host).heartbeat(
            said, self._limits.timeout_s
        )
        if self._record_by_host.get(host) is not record:
            return  # New settings dropped it during the call.
        if not isinstance(result, Success):
            self._board.put_back(host, said.news)
            self._note_failure(record, host)
            return
        beat = result.unwrap().beat
        if beat.host != host:
            # The address now belongs to another host: its answer must not
            # keep this one alive.
            self._board.put_back(host, said.news)
            self._note_failure(record, host)
            logs.write("peer_has_other_name", peer=host, answered=beat.host)
            return
        record.failures = 0
        if not record.has_answered(self._clock(), self._limits):
            self._forget_view()
        record.answered_at = self._clock()
        self._metrics.observe(
            "peer_heartbeat_seconds", record.answered_at - started_at
        )
        self._take_beat(record, beat)
        if self._uses_news:
            self._post(news_of(beat), source=host)
        self._take_news(beat)
        self._notify_changes()

    async def tick(self) -> None:
        """Notices expired leases and pauses of this process."""
        self._accuse_silent()
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
        """Returns what the state dump shows."""
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
        self._match_tasks()

    def _match_tasks(self) -> None:
        for host in self._task_by_host.keys() - set(self._neighbours):
            self._task_by_host.pop(host).cancel()
        for host in self._neighbours:
            if host not in self._task_by_host:
                self._task_by_host[host] = asyncio.create_task(
                    self._keep_beating(host), name=f"heartbeat-{host}"
                )

    async def _keep_beating(self, host: str) -> None:
        # Starting before its first news, a host calls each peer it knows of:
        # spread out, so that they are not all called in the same instant.
        await asyncio.sleep(self._random.random() * self._pace_s(host, 0.0))
        while True:
            try:
                await self.send_heartbeat(host)
            except Exception as error:
                logs.write("heartbeat_failed", peer=host, error=repr(error))
            jitter = self._random.uniform(-_JITTER_SHARE, _JITTER_SHARE)
            pace_s = self._pace_s(host, self._limits.period_s)
            await asyncio.sleep(pace_s * (1 + jitter))

    def _pace_s(self, host: str, least_s: float) -> float:
        # A live host gets its heartbeat each period. All the silent ones
        # together get a fan-out of calls each period, so that hosts in the
        # settings that are not there cost the same however many they are.
        now = self._clock()
        silent = [
            name
            for name in self._neighbours
            if not self._record_by_host[name].has_answered(now, self._limits)
        ]
        if host not in silent:
            return least_s
        rounds = math.ceil(len(silent) / self._limits.fan_out)
        return least_s if rounds <= 1 else rounds * self._limits.period_s

    def _choose_neighbours(self) -> None:
        now = self._clock()
        found = neighbours.choose_neighbours(
            self._order, self._is_live, self._limits.fan_out
        )
        if found != self._neighbours:
            self._neighbours = found
            self._take_neighbours(set(found), now)
        for host in self._board.links():
            if not self._is_linked(host):
                self._board.close_link(host)

    def _take_neighbours(self, chosen: set[str], now: float) -> None:
        self._forget_view()
        for host, record in self._record_by_host.items():
            if host in chosen:
                record.become_neighbour(now)
            else:
                record.become_distant(now, self._limits)

    def _is_live(self, host: str) -> bool:
        record = self._record_by_host[host]
        return record.is_live(self._clock(), self._limits)

    def _is_linked(self, host: str) -> bool:
        record = self._record_by_host.get(host)
        if record is None:
            return False
        if record.is_neighbour or record.called_at is None:
            return record.is_neighbour
        return self._clock() - record.called_at <= self._limits.lease_s

    def _accuse_silent(self) -> None:
        if not self._uses_news:
            return
        self._note_pause()
        now = self._clock()
        for host in self._neighbours:
            record = self._record_by_host[host]
            news = self._board.get(host)
            if news is None or record.has_answered(now, self._limits):
                continue
            if self._may_accuse(record, news, now):
                record.accused_at = now
                self._post(accused(news, [*news.accusers, self._name]))

    def _may_accuse(
        self, record: PeerRecord, news: PeerNews, now: float
    ) -> bool:
        if len(news.accusers) == MAX_ACCUSERS or self._name in news.accusers:
            return False
        # Where only this host's own way to the peer is cut, the peer refutes
        # each accusation. Made at once again, accusation and refutation
        # would cross all the hosts without end.
        at = record.accused_at
        return at is None or now - at > self._limits.accuse_again_s

    def _say_to(self, peer: str) -> Heartbeat:
        beat = dataclasses.replace(self._own_beat(), news=(), version=0)
        if self._said is not None and beat != self._said:
            self._version += 1
        self._said = beat
        news = self._board.take(peer)
        return dataclasses.replace(beat, version=self._version, news=news)

    def _take_news(self, beat: Heartbeat) -> None:
        if not self._uses_news:
            return
        self._board.open_link(beat.host, beat.incarnation)
        for item in beat.news:
            if item.host == self._name:
                self._refute(item)
            elif item.host in self._record_by_host:
                self._post(item, source=beat.host)
            else:
                self._note_unknown(item.host)

    def _post(self, item: PeerNews, source: str = "") -> None:
        if not self._board.merge(item, source):
            return
        latest = self._board.get(item.host)
        record = self._record_by_host[item.host]
        assert latest is not None
        known = record.beat
        record.take_news(latest, self._clock(), self._limits)
        self._forget_view()
        self._notify_restart(known, record)

    def _refute(self, item: PeerNews) -> None:
        if item.incarnation != self._own_beat().incarnation:
            return  # It is about the process before this one.
        if item.accusers and item.version >= self._version:
            self._version = item.version + 1
            self._metrics.count("peer_accusations_refuted_total")

    def _note_unknown(self, host: str) -> None:
        # Known by name only, it could not be called: it becomes a peer when
        # this host's settings name it. Bounded, lest a peer fill the memory.
        if len(self._unknown_hosts) < _MAX_UNKNOWN_HOSTS:
            self._unknown_hosts.add(host)

    def _note_failure(self, record: PeerRecord, host: str) -> None:
        record.failures += 1
        self._metrics.count("peer_heartbeat_failures_total", peer=host)
        self._notify_changes()

    def _take_beat(self, record: PeerRecord, beat: Heartbeat) -> None:
        known = record.beat
        if known is not None and age_order(beat) < age_order(known):
            return  # A late message, of the process before perhaps.
        record.beat = dataclasses.replace(beat, news=())
        if record.beat != known:
            self._forget_view()
        self._notify_restart(known, record)

    def _notify_restart(
        self, known: Heartbeat | None, record: PeerRecord
    ) -> None:
        beat = record.beat
        if known is None or beat is None:
            return
        if known.incarnation != beat.incarnation:
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
            record.shift(paused_s)
        self._forget_view()

    def _view(self) -> tuple[_Place, ...]:
        # Asked for with every call that is placed, and hundreds of hosts take
        # a millisecond to look through: kept until something is heard or the
        # first lease in it ends.
        self._note_pause()
        now = self._clock()
        own = _Place(self._name, self._own_beat().leaving)
        kept = self._cached_view
        is_fresh = now < self._cached_until and own == self._cached_own
        if kept is not None and is_fresh:
            return kept
        self._cached_own = own
        members = self.members()
        view = tuple(_Place(m.name, m.leaving) for m in members)
        self._cached_until = min(
            (
                self._record_by_host[place.name].live_until(self._limits)
                for place in view
                if place.name != self._name
            ),
            default=math.inf,
        )
        self._cached_view = kept if view == kept else view
        return self._cached_view or view

    def _forget_view(self) -> None:
        self._cached_until = 0.0

    def _notify_changes(self) -> None:
        view = self._view()
        if view is self._last_view:
            return
        self._last_view = view
        self._metrics.gauge("peers_live", len(view))
        self._notify(MembershipChange(self.members()))

    def _notify(self, change: MembershipChange) -> None:
        for callback in self._change_callbacks:
            try:
                callback(change)
            except Exception as error:
                logs.write("membership_callback_failed", error=repr(error))


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
    metrics: Metrics | None = None,
) -> Membership:
    """Returns a membership that knows no live peer yet.

    Args:
        own_beat: Returns what this host says about itself now.
        peer_names: Every other host in the settings.
        peers: The calls to them.
        timers: Ticks now and then once it is started.
        limits: Timing; the defaults where None.
        clock: Returns monotonic seconds.
        metrics: Where heartbeats and pauses are counted; nowhere where None.
    """
    limits = limits or MembershipLimits()
    metrics = metrics or Metrics()
    return Membership(
        own_beat, peer_names, peers, timers, limits, clock, metrics
    )
