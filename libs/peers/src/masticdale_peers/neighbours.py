"""Selection of the peers that a host sends heartbeats to."""

import dataclasses
import itertools
from collections.abc import Callable, Iterable

from masticdale_common import hashing

IsLive = Callable[[str], bool]

_RING_DIVISOR = 2


@dataclasses.dataclass(frozen=True, slots=True)
class PeerOrder:
    """All peers in the two orders from which neighbours are chosen.

    Attributes:
        ring: Clockwise on the hash ring, starting after the host itself.
        by_weight: By rendezvous weight, a different order on each host.
    """

    ring: tuple[str, ...]
    by_weight: tuple[str, ...]


def order_peers(name: str, peer_names: Iterable[str]) -> PeerOrder:
    """Returns the orders from which a host chooses its neighbours."""
    peers = set(peer_names) - {name}
    ring = sorted({*peers, name}, key=lambda host: (hashing.digest(host), host))
    index = ring.index(name)
    successors = (*ring[index + 1 :], *ring[:index])
    return PeerOrder(successors, tuple(hashing.rendezvous_rank(name, peers)))


def choose_neighbours(
    order: PeerOrder, is_live: IsLive, fan_out: int
) -> tuple[str, ...]:
    """Returns the peers to heartbeat; all of them up to the fan-out.

    Args:
        order: The host's peers.
        is_live: Returns whether a peer is known to be live.
        fan_out: Number of live peers to choose.
    """
    if len(order.ring) <= fan_out:
        return order.ring
    ring_count = fan_out // _RING_DIVISOR
    successors = _nearest_successors(order.ring, is_live, ring_count)
    others = (h for h in order.by_weight if h not in successors and is_live(h))
    return (*successors, *itertools.islice(others, fan_out - ring_count))


def _nearest_successors(
    ring: tuple[str, ...], is_live: IsLive, count: int
) -> tuple[str, ...]:
    # Returns the nearest `count` live successors and all dead hosts between
    # them, so that every host, live or dead, is monitored by its nearest live
    # predecessors. With a fixed assignment, a failed domain could take all
    # monitors of a host with it. Without the dead hosts, the two sides of a
    # healed partition would never call each other again.
    chosen = []
    for host in ring:
        if not count:
            break
        chosen.append(host)
        count -= is_live(host)
    return tuple(chosen)
