"""Applying new revisions from the platform on the few watching hosts."""

import asyncio

from returns.result import Failure as Failed
from returns.result import Result

from masticdale_common import Failure, Metrics, logs
from masticdale_config import storage
from masticdale_config.active_config import ActiveConfig
from masticdale_platform.types import ObjectStore, WatchBatch

POLL_PERIOD_S = 2.0
WATCH_WAIT_S = 20.0
_WATCH_GRACE_S = 2.0
_RETRY_S = 0.5


class ConfigWatcher:
    """Applies revisions as soon as they are written.

    A watch and a poll run concurrently. The watch delivers a revision within
    milliseconds, but its connection can hang forever while new connections
    work, and accepted changes would then never arrive. The poll therefore
    reads the next revision over another connection every ``POLL_PERIOD_S``,
    and a watch that exceeds its own wait time is cancelled and restarted.
    """

    def __init__(
        self,
        store: ObjectStore,
        active_config: ActiveConfig,
        metrics: Metrics,
        poll_period_s: float = POLL_PERIOD_S,
        watch_wait_s: float = WATCH_WAIT_S,
    ) -> None:
        self._store = store
        self._active_config = active_config
        self._metrics = metrics
        self._poll_period_s = poll_period_s
        self._watch_wait_s = watch_wait_s

    async def run(self) -> None:
        """Watches and polls until cancelled."""
        async with asyncio.TaskGroup() as tasks:
            tasks.create_task(self._watch(), name="config-watch")
            tasks.create_task(self._poll(), name="config-poll")

    async def _poll(self) -> None:
        while True:
            await self._catch_up()
            await asyncio.sleep(self._poll_period_s)

    async def _watch(self) -> None:
        prefix = ""
        position = 0
        while True:
            wanted = storage.block_prefix(self._active_config.number + 1)
            if wanted != prefix:
                prefix, position = wanted, 0
            outcome = await self._watch_once(prefix, position)
            if outcome is None or isinstance(outcome, Failed):
                self._metrics.count("config_watch_failures_total")
                position = 0
                await asyncio.sleep(_RETRY_S)
                continue
            batch = outcome.unwrap()
            position = batch.position
            await self._apply_batch(batch)

    async def _watch_once(
        self, prefix: str, position: int
    ) -> Result[WatchBatch, Failure] | None:
        limit_s = self._watch_wait_s + _WATCH_GRACE_S
        try:
            async with asyncio.timeout(limit_s):
                return await self._store.watch(
                    prefix, position, self._watch_wait_s
                )
        except TimeoutError:
            return None

    async def _apply_batch(self, batch: WatchBatch) -> None:
        changed = sorted(batch.changed, key=lambda stored: stored.key)
        if not changed:
            return
        applied = await self._active_config.apply_revisions_in_thread(
            stored.value for stored in changed
        )
        if isinstance(applied, Failed):
            await self._catch_up()

    async def _catch_up(self) -> None:
        caught_up = await storage.catch_up(self._store, self._active_config)
        if isinstance(caught_up, Failed):
            self._metrics.count("config_read_failures_total")
            logs.write("config_read_failed", error=str(caught_up.failure()))
