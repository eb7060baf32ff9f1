"""The storage host process: keeps histories and confirms its retirement."""

import asyncio
import time
from collections.abc import Awaitable, Callable
from typing import TYPE_CHECKING

from returns.result import Failure as Failed
from returns.result import Result

from masticdale_adapter import (
    CONFIGURATION_KEY,
    CONFIGURATION_PREFIX,
    RETIREMENT_PREFIX,
    PlatformObjectStore,
    confirm_retirement,
    read_configuration,
    report_retirement_running,
)
from masticdale_common import Failure, Metrics, TimerService, logs
from masticdale_entry.settings import Settings
from masticdale_entry.tasks import log_failure
from masticdale_entry.watched_state import ActiveConfiguration
from masticdale_entry.watching import Watcher, WatchTarget
from masticdale_platform import WatchBatch

if TYPE_CHECKING:
    # A process without history routes does not load these modules.
    from masticdale_entry.history_storage import HistoryStorage

_WATCH_TIMEOUT_S = 28.0
# Pause after the status of a retirement could not be written.
_RETRY_S = 0.5
# Folder below ``data_dir`` in which an earlier process has kept histories.
_TURNS_FOLDER = "turns"


class StorageHost:
    """The process of one storage host.

    All durable data but the histories of turns is in the platform's store, so
    a storage host without histories can be removed at any time.
    """

    def __init__(self, settings: Settings) -> None:
        self._settings = settings
        self._metrics = Metrics()
        self._timers = TimerService()
        self._store = PlatformObjectStore(
            str(settings.store.ip), settings.store.port, self._metrics
        )
        self._configuration = ActiveConfiguration(
            CONFIGURATION_KEY, read_configuration
        )
        self._own_key = RETIREMENT_PREFIX + settings.host
        self._is_configured = asyncio.Event()
        self._are_retirements_loaded = asyncio.Event()
        self._is_retiring = False
        self._retention_s: float | None = None
        self._opening: asyncio.Task[HistoryStorage] | None = None
        self._tasks: set[asyncio.Task[None]] = set()

    @property
    def metrics(self) -> Metrics:
        """The metrics of the process."""
        return self._metrics

    @property
    def storage(self) -> "HistoryStorage | None":
        """The histories on this host; None unless they are open."""
        opening = self._opening
        if opening is None or not opening.done() or opening.cancelled():
            return None
        # A failure is logged by the task that waits for the histories.
        return None if opening.exception() else opening.result()

    async def run(self, stop: asyncio.Event) -> None:
        """Serves until ``stop`` is set."""
        has_turns = await asyncio.to_thread(self._has_turns)
        if has_turns:
            # The others need its records also while the platform's store is
            # unavailable and the configuration unknown.
            self._keep_histories()
        for prefix, apply in (
            (RETIREMENT_PREFIX, self._apply_retirements),
            (CONFIGURATION_PREFIX, self._apply_configuration),
        ):
            target = WatchTarget(prefix, _WATCH_TIMEOUT_S, apply)
            self._start(Watcher(self._store, target).run())
        await stop.wait()
        await self.close()

    async def close(self) -> None:
        """Stops all tasks and closes the disk."""
        await self._timers.close()
        tasks = list(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        if self._opening is None:
            return
        storage = self.storage
        if storage is not None:
            await storage.close()
            return
        self._opening.cancel()

    def _has_turns(self) -> bool:
        folder = self._settings.data_dir
        return folder is not None and (folder / _TURNS_FOLDER).exists()

    def _start(self, work: Awaitable[None]) -> None:
        task = asyncio.ensure_future(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        task.add_done_callback(log_failure)

    def _apply_configuration(
        self, batch: WatchBatch, after_outage: bool
    ) -> None:
        self._configuration.apply(batch, after_outage)
        current = self._configuration.current
        if current is not None:
            self._apply_retention(current.table.longest_retention_s)
        self._is_configured.set()

    def _apply_retention(self, retention_s: float | None) -> None:
        if retention_s is None:
            return
        # Turns that ended before a change keep their longer retention.
        self._retention_s = max(retention_s, self._retention_s or 0.0)
        if not self._is_retiring:
            self._keep_histories()

    def _keep_histories(self) -> None:
        if self._opening is not None:
            return
        from masticdale_entry import history_disk, history_storage

        settings = history_disk.read_history_settings(self._settings)
        if settings is None:
            logs.write("history_not_kept", reason="the host has no disk")
            return
        self._opening = asyncio.create_task(
            history_storage.open_history_storage(
                settings,
                self._store,
                lambda: self._retention_s,
                self._metrics,
                self._timers,
            )
        )
        self._start(self._serve_histories(self._opening))

    async def _serve_histories(
        self, opening: "asyncio.Task[HistoryStorage]"
    ) -> None:
        storage = await asyncio.shield(opening)
        await self._are_retirements_loaded.wait()
        if not self._is_retiring:
            await storage.serve()

    def _apply_retirements(self, batch: WatchBatch, after_outage: bool) -> None:
        del after_outage
        is_ordered = any(s.key == self._own_key for s in batch.changed)
        if is_ordered and not self._is_retiring:
            self._is_retiring = True
            self._start(self._retire())
        self._are_retirements_loaded.set()

    async def _retire(self) -> None:
        """Empties the disk and confirms the retirement.

        A withdrawn order has no effect until the process restarts: the host
        may have confirmed it, and be removed with its disk at any time.
        """
        await self._is_configured.wait()
        if self._opening is not None:
            storage = await asyncio.shield(self._opening)
            if not storage.was_emptied:
                await self._report("running", report_retirement_running)
            await storage.empty()
        await self._report("completed", confirm_retirement)

    async def _report(
        self,
        state: str,
        write: Callable[
            [PlatformObjectStore, str], Awaitable[Result[None, Failure]]
        ],
    ) -> None:
        """Writes the status of the retirement until that succeeds."""
        started_s = time.monotonic()
        while True:
            outcome = await write(self._store, self._own_key)
            logs.write_bounded(
                "retirement_answered",
                key=self._own_key,
                state=state,
                outcome=str(outcome),
                after_s=round(time.monotonic() - started_s, 3),
            )
            if not isinstance(outcome, Failed):
                return
            await asyncio.sleep(_RETRY_S)
