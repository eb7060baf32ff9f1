"""Catching up on revisions from peers."""

import asyncio
import random
from collections.abc import Mapping
from typing import Protocol

from returns.result import Failure as Failed
from returns.result import Result

from masticdale_common import Failure, logs
from masticdale_config.active_config import ActiveConfig, RevisionsExport

HEDGE_DELAY_S = 0.2
MAX_PEERS_ASKED = 4


class RevisionSource(Protocol):
    """A peer that serves revisions."""

    async def revisions_after(
        self, number: int
    ) -> Result[RevisionsExport, Failure]:
        """Returns the export for a host at the given revision number."""
        ...


async def pull_from(
    active_config: ActiveConfig, host: str, source: RevisionSource
) -> bool:
    """Applies a peer's newer revisions; returns whether the peer answered."""
    answer = await source.revisions_after(active_config.number)
    if isinstance(answer, Failed):
        return False
    applied = await active_config.apply_export_in_thread(answer.unwrap())
    if isinstance(applied, Failed):
        error = str(applied.failure())
        logs.write("revisions_refused", peer=host, error=error)
        return False
    return True


async def catch_up_from_peers(
    active_config: ActiveConfig,
    source_by_host: Mapping[str, RevisionSource],
    hedge_delay_s: float = HEDGE_DELAY_S,
) -> bool:
    """Catches up with peers that have reported a higher revision.

    Requests are hedged: a peer may have been paused or cut off since its last
    heartbeat, and waiting for its timeout would delay a change by seconds.
    The first answer cancels the other requests. Peers are asked in random
    order, so that hundreds of hosts do not all ask the same one.

    Args:
        active_config: The configuration to apply revisions to.
        source_by_host: Peers that reported a higher revision.
        hedge_delay_s: Delay before the next peer is asked as well.

    Returns:
        Whether one of them answered.
    """
    hosts = random.sample(
        sorted(source_by_host), min(MAX_PEERS_ASKED, len(source_by_host))
    )
    pending: set[asyncio.Task[bool]] = set()
    try:
        for host in hosts:
            pull = pull_from(active_config, host, source_by_host[host])
            pending.add(asyncio.create_task(pull))
            if await _any_answered(pending, hedge_delay_s):
                return True
        while pending:
            if await _any_answered(pending, None):
                return True
        return False
    finally:
        for task in pending:
            task.cancel()
        await asyncio.gather(*pending, return_exceptions=True)


async def _any_answered(
    pending: set[asyncio.Task[bool]], wait_s: float | None
) -> bool:
    done, _ = await asyncio.wait(
        pending, timeout=wait_s, return_when=asyncio.FIRST_COMPLETED
    )
    pending -= done
    return any(task.result() for task in done)
