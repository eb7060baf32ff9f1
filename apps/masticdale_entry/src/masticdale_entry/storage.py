"""The storage host process: holds no data and confirms its retirement."""

import asyncio

from masticdale_adapter import (
    RETIREMENT_PREFIX,
    PlatformObjectStore,
    confirm_retirement,
)
from masticdale_common import Metrics, logs
from masticdale_entry.settings import Settings
from masticdale_entry.watching import Watcher, WatchTarget
from masticdale_platform import WatchBatch

_WATCH_TIMEOUT_S = 28.0


class StorageHost:
    """The process of one storage host.

    All durable data is in the platform's store, so a storage host holds none
    and can be removed at any time.
    """

    def __init__(self, settings: Settings) -> None:
        self._settings = settings
        self._metrics = Metrics()
        self._store = PlatformObjectStore(
            str(settings.store.ip), settings.store.port, self._metrics
        )
        self._tasks: set[asyncio.Task[None]] = set()

    async def run(self, stop: asyncio.Event) -> None:
        """Serves until ``stop`` is set."""
        target = WatchTarget(RETIREMENT_PREFIX, _WATCH_TIMEOUT_S, self._apply)
        watcher = Watcher(self._store, target)
        task = asyncio.create_task(watcher.run())
        await stop.wait()
        task.cancel()

    def _apply(self, batch: WatchBatch, after_outage: bool) -> None:
        del after_outage
        own = RETIREMENT_PREFIX + self._settings.host
        if any(stored.key == own for stored in batch.changed):
            confirmation = asyncio.create_task(self._confirm_retirement(own))
            self._tasks.add(confirmation)
            confirmation.add_done_callback(self._tasks.discard)

    async def _confirm_retirement(self, key: str) -> None:
        outcome = await confirm_retirement(self._store, key)
        logs.write("retirement_answered", key=key, outcome=str(outcome))
