"""Gossip about other hosts, queued for each neighbour and resent."""

import dataclasses
import itertools
import random

from masticdale_peers.messages import Heartbeat, PeerNews

MAX_ACCUSERS = 2

_EMPTY_MESSAGES_PER_RESEND = 4


def update_from_heartbeat(heartbeat: Heartbeat) -> PeerNews:
    """Converts a host's heartbeat to a gossip update about that host."""
    return PeerNews(
        host=heartbeat.host,
        incarnation=heartbeat.incarnation,
        revision=heartbeat.revision,
        leaving=heartbeat.leaving,
        version=heartbeat.version,
        domain=heartbeat.domain,
    )


def heartbeat_from_update(update: PeerNews) -> Heartbeat:
    """Converts a gossip update about a host to that host's heartbeat."""
    return Heartbeat(
        host=update.host,
        domain=update.domain,
        incarnation=update.incarnation,
        revision=update.revision,
        leaving=update.leaving,
        version=update.version,
    )


def version_key(message: PeerNews | Heartbeat) -> tuple[str, int]:
    """Returns a key that sorts a host's messages from old to new."""
    return (message.incarnation, message.version)


def merge(known: PeerNews | None, update: PeerNews) -> PeerNews:
    """Merges an update about a host into the known one.

    A suspicion holds only for the version that it names: the suspected host
    refutes it by raising its version.
    """
    if known is None or version_key(update) > version_key(known):
        return update
    is_older = version_key(update) < version_key(known)
    if is_older or len(known.accusers) == MAX_ACCUSERS:
        return known
    accusers = sorted({*known.accusers, *update.accusers})[:MAX_ACCUSERS]
    return with_accusers(known, accusers)


def with_accusers(known: PeerNews, accusers: list[str]) -> PeerNews:
    """Returns a copy of the update with other accusers."""
    return dataclasses.replace(
        known, accusers=tuple(accusers), suspect=bool(accusers)
    )


@dataclasses.dataclass(slots=True)
class _SendQueue:
    """Hosts whose updates a neighbour has not received, oldest first.

    Attributes:
        incarnation: Incarnation of the neighbour; a restarted neighbour needs
            all updates again.
        urgent: Hosts that joined, restarted, are leaving, or whose accusers
            changed.
        routine: Hosts that only changed their revision, and all hosts for a
            new neighbour.
        resend_index: Index of the host last resent.
        empty_messages: Number of messages for which nothing was queued.
    """

    incarnation: str
    urgent: dict[str, None] = dataclasses.field(default_factory=dict)
    routine: dict[str, None] = dataclasses.field(default_factory=dict)
    resend_index: int = 0
    empty_messages: int = 0

    def add(self, host: str, *, urgent: bool) -> None:
        """Queues the update about a host."""
        if urgent:
            self.routine.pop(host, None)
            self.urgent.setdefault(host)
        elif host not in self.urgent:
            self.routine.setdefault(host)

    def remove(self, host: str) -> None:
        """Removes a host from the queue."""
        self.urgent.pop(host, None)
        self.routine.pop(host, None)


class GossipState:
    """The latest update about each host and a send queue per neighbour."""

    def __init__(self, updates_per_message: int, seed: str = "") -> None:
        self._updates_per_message = updates_per_message
        self._random = random.Random(seed)
        self._update_by_host: dict[str, PeerNews] = {}
        self._queue_by_neighbour: dict[str, _SendQueue] = {}

    def get(self, host: str) -> PeerNews | None:
        """Returns the latest update about a host."""
        return self._update_by_host.get(host)

    def add_neighbour(self, neighbour: str, incarnation: str) -> None:
        """Starts queueing for a neighbour; a new process gets all updates."""
        queue = self._queue_by_neighbour.get(neighbour)
        if queue is not None and queue.incarnation >= incarnation:
            return
        queue = _SendQueue(
            incarnation, routine=dict.fromkeys(self._update_by_host)
        )
        self._queue_by_neighbour[neighbour] = queue

    def remove_neighbour(self, neighbour: str) -> None:
        """Drops the send queue of a former neighbour."""
        self._queue_by_neighbour.pop(neighbour, None)

    def remove_host(self, host: str) -> None:
        """Drops everything about a former peer."""
        self._update_by_host.pop(host, None)
        self.remove_neighbour(host)
        for queue in self._queue_by_neighbour.values():
            queue.remove(host)

    def neighbours(self) -> tuple[str, ...]:
        """Returns the hosts that have a send queue."""
        return tuple(self._queue_by_neighbour)

    def merge(self, update: PeerNews, source: str = "") -> bool:
        """Merges an update and queues the result for the other neighbours.

        Args:
            update: The update.
            source: Neighbour that sent it; empty for this host's own.

        Returns:
            Whether the update changed what is known about the host.
        """
        known = self._update_by_host.get(update.host)
        merged = merge(known, update)
        if merged != known:
            self._update_by_host[update.host] = merged
            self._enqueue(merged, urgent=_is_urgent(known, merged))
        queue = self._queue_by_neighbour.get(source)
        if queue is None:
            return merged != known
        if merged == update:
            queue.remove(update.host)
        else:
            queue.add(update.host, urgent=True)  # The source is out of date.
        return merged != known

    def dequeue(self, neighbour: str) -> tuple[PeerNews, ...]:
        """Removes and returns the next updates for a neighbour."""
        queue = self._queue_by_neighbour.get(neighbour)
        if queue is None:
            return ()
        about_neighbour = self._update_by_host.get(neighbour)
        if about_neighbour is not None and about_neighbour.accusers:
            # Only the suspected host itself can refute the suspicion.
            queue.add(neighbour, urgent=True)
        chosen = self._select_queued(queue) or self._select_resend(queue)
        for host in chosen:
            queue.remove(host)
        return tuple(self._update_by_host[host] for host in chosen)

    def requeue(self, neighbour: str, updates: tuple[PeerNews, ...]) -> None:
        """Queues updates again that the neighbour may not have received."""
        queue = self._queue_by_neighbour.get(neighbour)
        if queue is None:
            return
        for update in updates:
            if update.host in self._update_by_host:
                queue.add(update.host, urgent=True)

    def _enqueue(self, update: PeerNews, *, urgent: bool) -> None:
        for neighbour, queue in self._queue_by_neighbour.items():
            if neighbour != update.host or update.accusers:
                queue.add(update.host, urgent=urgent)

    def _select_queued(self, queue: _SendQueue) -> list[str]:
        chosen = list(itertools.islice(queue.urgent, self._updates_per_message))
        count = min(self._updates_per_message - len(chosen), len(queue.routine))
        # Random order: otherwise all neighbours of a host would send it the
        # same updates at the same time, and all but one would be redundant.
        return chosen + self._random.sample(list(queue.routine), count)

    def _select_resend(self, queue: _SendQueue) -> list[str]:
        # A reply can be lost after its updates left the queue, which would
        # leave the neighbour's view stale. Resending one update every few
        # empty messages repairs it eventually.
        queue.empty_messages += 1
        hosts = list(self._update_by_host)
        if not hosts or queue.empty_messages % _EMPTY_MESSAGES_PER_RESEND:
            return []
        queue.resend_index = (queue.resend_index + 1) % len(hosts)
        return [hosts[queue.resend_index]]


def _is_urgent(known: PeerNews | None, update: PeerNews) -> bool:
    if known is None:
        return True
    return (known.incarnation, known.leaving, known.accusers) != (
        update.incarnation,
        update.leaving,
        update.accusers,
    )
