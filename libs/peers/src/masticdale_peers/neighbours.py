"""Which peers a host heartbeats where there are too many to call them all."""

import dataclasses
import itertools
from collections.abc import Callable, Iterable

from masticdale_common import hashing

IsLive = Callable[[str], bool]

_RING_DIVISOR = 2


@dataclasses.dataclass(frozen=True, slots=True)
class PeerOrder:
    """All peers in the two orders that neighbours are taken from.

    Attributes:
        ring: From the host's place on the hash ring of names onwards.
        far: By rendezvous weight, each host's own order.
    """

    ring: tuple[str, ...]
    by_weight: tuple[str, ...]


def order_peers(name: str, peer_names: Iterable[str]) -> PeerOrder:
    """Returns the orders in which a host looks for its neighbours."""
    peers = set(peer_names) - {name}
    ring = sorted({*peers, name}, key=lambda host: (hashing.digest(host), host))
    index = ring.index(name)
    successors = (*ring[index + 1 :], *ring[:index])
    return PeerOrder(successors, tuple(hashing.rank(name, peers)))


def choose_neighbours(
    order: PeerOrder, is_live: IsLive, fan_out: int
) -> tuple[str, ...]:
    """Returns the peers to heartbeat; all of them up to the fan-out.

    Args:
        order: The host's peers.
        is_live: Whether a peer is live as far as is known.
        fan_out: How many live peers to heartbeat.
    """
    if len(order.ring) <= fan_out:
        return order.ring
    ring_count = fan_out // _RING_DIVISOR
    successors = _nearest_successors(order.ring, is_live, ring_count)
    weighted = (
        h for h in order.by_weight if h not in successors and is_live(h)
    )
    return (*successors, *itertools.islice(weighted, fan_out - ring_count))


def _nearest_successors(
    ring: tuple[str, ...], is_live: IsLive, count: int
) -> tuple[str, ...]:
    # The dead hosts passed on the way stay neighbours: with static places, a
    # failure domain that goes down could take all who watch a host, and two
    # halves of a healed partition would never call each other again. So each
    # host, live or dead, is watched by its nearest live predecessors.
    chosen = []
    for host in ring:
        if not count:
            break
        chosen.append(host)
        count -= is_live(host)
    return tuple(chosen)
