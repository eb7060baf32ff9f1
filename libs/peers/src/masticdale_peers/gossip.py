"""News of other hosts, passed on to each neighbour once."""

import dataclasses
import itertools
import random

from masticdale_peers.messages import Heartbeat, PeerNews

MAX_ACCUSERS = 2

_QUIET_MESSAGES_PER_REPEAT = 4


def news_of(beat: Heartbeat) -> PeerNews:
    """Returns what a host says about itself as news for others."""
    return PeerNews(
        host=beat.host,
        incarnation=beat.incarnation,
        revision=beat.revision,
        leaving=beat.leaving,
        version=beat.version,
        domain=beat.domain,
    )


def beat_of(news: PeerNews) -> Heartbeat:
    """Returns the heartbeat that a host not called directly would send."""
    return Heartbeat(
        host=news.host,
        domain=news.domain,
        incarnation=news.incarnation,
        revision=news.revision,
        leaving=news.leaving,
        version=news.version,
    )


def age_order(item: PeerNews | Heartbeat) -> tuple[str, int]:
    """Returns a key that sorts what a host said by when it said it."""
    return (item.incarnation, item.version)


def merge(known: PeerNews | None, item: PeerNews) -> PeerNews:
    """Returns what is known of a host after one more piece of news.

    An accusation holds only for the version it was made of: the accused host
    refutes it by raising its version.
    """
    if known is None or age_order(item) > age_order(known):
        return item
    is_older = age_order(item) < age_order(known)
    if is_older or len(known.accusers) == MAX_ACCUSERS:
        return known
    accusers = sorted({*known.accusers, *item.accusers})[:MAX_ACCUSERS]
    return accused(known, accusers)


def accused(known: PeerNews, accusers: list[str]) -> PeerNews:
    """Returns the news with its accusers replaced."""
    return dataclasses.replace(
        known, accusers=tuple(accusers), suspect=bool(accusers)
    )


@dataclasses.dataclass(slots=True)
class _Link:
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
    repeated: int = 0
    quiet_messages: int = 0

    def add(self, host: str, *, urgent: bool) -> None:
        """Queues a host's news."""
        if urgent:
            self.routine.pop(host, None)
            self.urgent.setdefault(host)
        elif host not in self.urgent:
            self.routine.setdefault(host)

    def drop(self, host: str) -> None:
        """Forgets a host's news: the neighbour has heard it."""
        self.urgent.pop(host, None)
        self.routine.pop(host, None)


class NewsBoard:
    """The latest news of each host and who has still to hear it."""

    def __init__(self, per_message: int, seed: str = "") -> None:
        self._per_message = per_message
        self._random = random.Random(seed)
        self._news_by_host: dict[str, PeerNews] = {}
        self._link_by_host: dict[str, _Link] = {}

    def get(self, host: str) -> PeerNews | None:
        """Returns the latest news of a host."""
        return self._news_by_host.get(host)

    def open_link(self, neighbour: str, incarnation: str) -> None:
        """Starts to queue news for a neighbour; all, for a new process."""
        link = self._link_by_host.get(neighbour)
        if link is not None and link.incarnation >= incarnation:
            return
        link = _Link(incarnation, routine=dict.fromkeys(self._news_by_host))
        self._link_by_host[neighbour] = link

    def close_link(self, neighbour: str) -> None:
        """Drops the news queued for a host that is no neighbour any more."""
        self._link_by_host.pop(neighbour, None)

    def forget(self, host: str) -> None:
        """Drops a host that is no peer any more."""
        self._news_by_host.pop(host, None)
        self.close_link(host)
        for link in self._link_by_host.values():
            link.drop(host)

    def links(self) -> tuple[str, ...]:
        """Returns the neighbours that news is queued for."""
        return tuple(self._link_by_host)

    def merge(self, item: PeerNews, source: str = "") -> bool:
        """Takes one piece of news and queues it for the other neighbours.

        Args:
            item: The news.
            source: The neighbour it came from; empty for this host's own.

        Returns:
            True where it said something new.
        """
        known = self._news_by_host.get(item.host)
        merged = merge(known, item)
        if merged != known:
            self._news_by_host[item.host] = merged
            self._queue(merged, urgent=_is_urgent(known, merged))
        link = self._link_by_host.get(source)
        if link is None:
            return merged != known
        if merged == item:
            link.drop(item.host)
        else:
            link.add(item.host, urgent=True)  # It told what is out of date.
        return merged != known

    def take(self, neighbour: str) -> tuple[PeerNews, ...]:
        """Returns the next news for a neighbour, no longer queued."""
        link = self._link_by_host.get(neighbour)
        if link is None:
            return ()
        own = self._news_by_host.get(neighbour)
        if own is not None and own.accusers:
            # Only the accused host itself can refute the accusation.
            link.add(neighbour, urgent=True)
        chosen = self._next(link) or self._repeat(link)
        for host in chosen:
            link.drop(host)
        return tuple(self._news_by_host[host] for host in chosen)

    def put_back(self, neighbour: str, news: tuple[PeerNews, ...]) -> None:
        """Queues news again that may not have reached the neighbour."""
        link = self._link_by_host.get(neighbour)
        if link is None:
            return
        for item in news:
            if item.host in self._news_by_host:
                link.add(item.host, urgent=True)

    def _queue(self, item: PeerNews, *, urgent: bool) -> None:
        for neighbour, link in self._link_by_host.items():
            if neighbour != item.host or item.accusers:
                link.add(item.host, urgent=urgent)

    def _next(self, link: _Link) -> list[str]:
        chosen = list(itertools.islice(link.urgent, self._per_message))
        count = min(self._per_message - len(chosen), len(link.routine))
        # At random: in the same order, all neighbours of a host would tell it
        # the same news at the same time, and most of them for nothing.
        return chosen + self._random.sample(list(link.routine), count)

    def _repeat(self, link: _Link) -> list[str]:
        # A reply may be lost after its news were taken off the queue, and the
        # neighbour would keep a stale view for good. One old item in each
        # few quiet messages mends that in time.
        link.quiet_messages += 1
        hosts = list(self._news_by_host)
        if not hosts or link.quiet_messages % _QUIET_MESSAGES_PER_REPEAT:
            return []
        link.repeated = (link.repeated + 1) % len(hosts)
        return [hosts[link.repeated]]


def _is_urgent(known: PeerNews | None, item: PeerNews) -> bool:
    if known is None:
        return True
    return (known.incarnation, known.leaving, known.accusers) != (
        item.incarnation,
        item.leaving,
        item.accusers,
    )
