"""News of other hosts, passed on to each neighbour once."""

import dataclasses
import itertools
import random

from masticdale_peers.messages import Heartbeat, PeerNews

MAX_ACCUSERS = 2

_EMPTY_MESSAGES_PER_RESEND = 4


def update_from_heartbeat(heartbeat: Heartbeat) -> PeerNews:
    """Returns what a host says about itself as news for others."""
    return PeerNews(
        host=heartbeat.host,
        incarnation=heartbeat.incarnation,
        revision=heartbeat.revision,
        leaving=heartbeat.leaving,
        version=heartbeat.version,
        domain=heartbeat.domain,
    )


def heartbeat_from_update(update: PeerNews) -> Heartbeat:
    """Returns the heartbeat that a host not called directly would send."""
    return Heartbeat(
        host=update.host,
        domain=update.domain,
        incarnation=update.incarnation,
        revision=update.revision,
        leaving=update.leaving,
        version=update.version,
    )


def version_key(message: PeerNews | Heartbeat) -> tuple[str, int]:
    """Returns a key that sorts what a host said by when it said it."""
    return (message.incarnation, message.version)


def merge(known: PeerNews | None, update: PeerNews) -> PeerNews:
    """Returns what is known of a host after one more piece of news.

    An accusation holds only for the version it was made of: the accused host
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
    """Returns the news with its accusers replaced."""
    return dataclasses.replace(
        known, accusers=tuple(accusers), suspect=bool(accusers)
    )


@dataclasses.dataclass(slots=True)
class _SendQueue:
    """What a neighbour has still to hear, oldest first.

    Attributes:
        incarnation: The neighbour's process; a new one knows nothing.
        urgent: Hosts that came, went, were accused or cleared.
        routine: Hosts that only changed their revision, and those that a new
            neighbour has not heard of.
        repeated: The place in the repetition of old news.
        quiet_messages: Messages without news.
    """

    incarnation: str
    urgent: dict[str, None] = dataclasses.field(default_factory=dict)
    routine: dict[str, None] = dataclasses.field(default_factory=dict)
    resend_index: int = 0
    empty_messages: int = 0

    def add(self, host: str, *, urgent: bool) -> None:
        """Queues a host's news."""
        if urgent:
            self.routine.pop(host, None)
            self.urgent.setdefault(host)
        elif host not in self.urgent:
            self.routine.setdefault(host)

    def remove(self, host: str) -> None:
        """Forgets a host's news: the neighbour has heard it."""
        self.urgent.pop(host, None)
        self.routine.pop(host, None)


class GossipState:
    """The latest news of each host and who has still to hear it."""

    def __init__(self, updates_per_message: int, seed: str = "") -> None:
        self._updates_per_message = updates_per_message
        self._random = random.Random(seed)
        self._update_by_host: dict[str, PeerNews] = {}
        self._queue_by_neighbour: dict[str, _SendQueue] = {}

    def get(self, host: str) -> PeerNews | None:
        """Returns the latest news of a host."""
        return self._update_by_host.get(host)

    def add_neighbour(self, neighbour: str, incarnation: str) -> None:
        """Starts to queue news for a neighbour; all, for a new process."""
        queue = self._queue_by_neighbour.get(neighbour)
        if queue is not None and queue.incarnation >= incarnation:
            return
        queue = _SendQueue(
            incarnation, routine=dict.fromkeys(self._update_by_host)
        )
        self._queue_by_neighbour[neighbour] = queue

    def remove_neighbour(self, neighbour: str) -> None:
        """Drops the news queued for a host that is no neighbour any more."""
        self._queue_by_neighbour.pop(neighbour, None)

    def remove_host(self, host: str) -> None:
        """Drops a host that is no peer any more."""
        self._update_by_host.pop(host, None)
        self.remove_neighbour(host)
        for queue in self._queue_by_neighbour.values():
            queue.remove(host)

    def neighbours(self) -> tuple[str, ...]:
        """Returns the neighbours that news is queued for."""
        return tuple(self._queue_by_neighbour)

    def merge(self, update: PeerNews, source: str = "") -> bool:
        """Takes one piece of news and queues it for the other neighbours.

        Args:
            update: The news.
            source: The neighbour it came from; empty for this host's own.

        Returns:
            True where it said something new.
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
            queue.add(update.host, urgent=True)  # It told what is out of date.
        return merged != known

    def dequeue(self, neighbour: str) -> tuple[PeerNews, ...]:
        """Returns the next news for a neighbour, no longer queued."""
        queue = self._queue_by_neighbour.get(neighbour)
        if queue is None:
            return ()
        about_neighbour = self._update_by_host.get(neighbour)
        if about_neighbour is not None and about_neighbour.accusers:
            # Only the accused host itself can refute the accusation.
            queue.add(neighbour, urgent=True)
        chosen = self._select_queued(queue) or self._select_resend(queue)
        for host in chosen:
            queue.remove(host)
        return tuple(self._update_by_host[host] for host in chosen)

    def requeue(self, neighbour: str, updates: tuple[PeerNews, ...]) -> None:
        """Queues news again that may not have reached the neighbour."""
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
        # At random: in the same order, all neighbours of a host would tell it
        # the same news at the same time, and most of them for nothing.
        return chosen + self._random.sample(list(queue.routine), count)

    def _select_resend(self, queue: _SendQueue) -> list[str]:
        # A reply may be lost after its news were taken off the queue, and the
        # neighbour would keep a stale view for good. One old item in each
        # few quiet messages mends that in time.
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
