"""Following the platform's revisions on the few hosts that watch."""

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
    """Brings revisions into force as soon as they are written.

    Two ways run side by side. The watch brings a revision within
    milliseconds, but its connection can go silent for good while new ones
    work: accepted changes would then never arrive. So each ``POLL_PERIOD_S``
    the next revision is read as well, on another connection, and a watch
    that outlives its own wait is given up and begun anew.
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
        """Watches and polls until it is cancelled."""
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
