"""Finding the newest revision before a host serves."""

import asyncio
import dataclasses
from collections.abc import Mapping

from returns.result import Failure as Failed
from returns.result import Success

from masticdale_config import storage
from masticdale_config.active_config import ActiveConfig
from masticdale_config.peer_sync import RevisionSource, pull_from
from masticdale_platform.types import ObjectStore

# Higher than any revision, so that a peer returns its newest number without
# revisions. Otherwise each of hundreds of peers would send the whole
# configuration.
NEWEST_ONLY = 2**62


@dataclasses.dataclass(frozen=True, slots=True)
class _Peer:
    host: str
    source: RevisionSource
    newest: int


async def bootstrap_config(
    store: ObjectStore,
    active_config: ActiveConfig,
    source_by_host: Mapping[str, RevisionSource],
) -> bool:
    """Applies the newest revision known to the platform and the live peers.

    A host keeps no configuration across a restart. After a stale read or an
    answer from a lagging peer it would serve an older configuration than it
    did before the restart. It therefore asks the platform and every live peer
    and applies the highest revision.

    Args:
        store: The platform's object store.
        active_config: The configuration to apply revisions to.
        source_by_host: Every peer that is live according to membership.

    Returns:
        Whether this host may serve: the platform answered, or every live peer
        answered and one of them holds a revision; and the highest reported
        revision is active on this host.
    """
    answers = await asyncio.gather(
        *(_ask_newest(host, source) for host, source in source_by_host.items())
    )
    peers = [peer for peer in answers if peer is not None]
    platform = await storage.catch_up(store, active_config)
    newest = max((peer.newest for peer in peers), default=0)
    for peer in sorted(peers, key=_negated_newest):
        if active_config.number >= newest:
            break
        await pull_from(active_config, peer.host, peer.source)
    peers_suffice = newest > 0 and len(peers) == len(source_by_host)
    knows_newest = isinstance(platform, Success) or peers_suffice
    return knows_newest and active_config.number >= newest


async def _ask_newest(host: str, source: RevisionSource) -> _Peer | None:
    answer = await source.revisions_after(NEWEST_ONLY)
    if isinstance(answer, Failed):
        return None
    return _Peer(host, source, answer.unwrap().newest)


def _negated_newest(peer: _Peer) -> int:
    return -peer.newest
