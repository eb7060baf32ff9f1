"""Tests that a watching host applies accepted changes."""

import asyncio
import unittest

from masticdale_common import Metrics
from masticdale_config import (
    ActiveConfig,
    ConfigStore,
    ConfigWatcher,
    testing,
)
from masticdale_platform.testing import MemoryStore

POLL_PERIOD_S = 0.01
NO_POLL_S = 3600.0
TIMEOUT_S = 20.0


class _HangingWatchStore(MemoryStore):
    async def watch(self, prefix, position, wait_s):
        await asyncio.Event().wait()


class WatcherTest(unittest.IsolatedAsyncioTestCase):
    async def _follow(self, store, poll_period_s):
        active = ActiveConfig()
        watcher = ConfigWatcher(store, active, Metrics(), poll_period_s)
        task = asyncio.create_task(watcher.run())
        operator = ConfigStore(store, ActiveConfig())
        arrived = asyncio.Event()
        active.subscribe(lambda _: arrived.set())
        try:
            for name in ("e1", "e2", "e3"):
                engine = testing.engine(name, "m")
                arrived.clear()
                await operator.apply(testing.change(name, testing.put(engine)))
                async with asyncio.timeout(TIMEOUT_S):
                    await arrived.wait()
        finally:
            task.cancel()
            await asyncio.gather(task, return_exceptions=True)
        return active.number

    async def test_the_watch_alone_delivers_each_revision(self):
        self.assertEqual(await self._follow(MemoryStore(), NO_POLL_S), 3)

    async def test_a_hanging_watch_does_not_block_changes(self):
        """The connection of the watch hangs while other connections work.

        The watch yields neither a batch nor an error. The poll must still
        apply the changes.
        """
        store = _HangingWatchStore()
        self.assertEqual(await self._follow(store, POLL_PERIOD_S), 3)


if __name__ == "__main__":
    unittest.main()
