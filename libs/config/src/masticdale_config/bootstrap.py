"""What a host learns before it serves."""

import asyncio
import dataclasses
from collections.abc import Mapping

from returns.result import Failure as Failed
from returns.result import Success

from masticdale_config import storage
from masticdale_config.active_config import ActiveConfig
from masticdale_config.peer_sync import RevisionSource, pull_from
from masticdale_platform.types import ObjectStore

# Higher than any revision, so a peer answers with its number alone. Asked for
# all it has, each of hundreds of peers would send the whole configuration.
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
    """Brings the newest revision that can be found into force.

    A host keeps nothing over a restart. If it served from the first answer,
    a stale read or one peer that lags would take the configuration back for
    its callers, below what this host itself applied before. So it asks the
    platform and every live peer, and takes the highest.

    Args:
        store: The platform's service.
        active_config: Where revisions come into force.
        source_by_host: Every peer that membership holds for live.

    Returns:
        Whether this host may serve: the platform answered, or every live
        peer did and one of them holds a revision; and the highest number
        heard of is in force here.
    """
    asked = await asyncio.gather(
        *(_ask_newest(host, source) for host, source in source_by_host.items())
    )
    peers = [peer for peer in asked if peer is not None]
    platform = await storage.catch_up(store, active_config)
    newest = max((peer.newest for peer in peers), default=0)
    for peer in sorted(peers, key=_newest_first):
        if active_config.number >= newest:
            break
        await pull_from(active_config, peer.host, peer.source)
    peers_know = newest > 0 and len(peers) == len(source_by_host)
    is_complete = isinstance(platform, Success) or peers_know
    return is_complete and active_config.number >= newest


async def _ask_newest(host: str, source: RevisionSource) -> _Peer | None:
    answer = await source.revisions_after(NEWEST_ONLY)
    if isinstance(answer, Failed):
        return None
    return _Peer(host, source, answer.unwrap().newest)


def _newest_first(peer: _Peer) -> int:
    return -peer.newest
