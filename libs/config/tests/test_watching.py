"""Tests that accepted changes reach a watching host."""

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
PATIENCE_S = 20.0


class _SilentWatchStore(MemoryStore):
    async def watch(self, prefix, position, wait_s):
        await asyncio.Event().wait()


class WatcherTest(unittest.IsolatedAsyncioTestCase):
    async def _follow(self, store, poll_period_s):
        followed = ActiveConfig()
        watcher = ConfigWatcher(store, followed, Metrics(), poll_period_s)
        task = asyncio.create_task(watcher.run())
        operator = ConfigStore(store, ActiveConfig())
        arrived = asyncio.Event()
        followed.subscribe(lambda _: arrived.set())
        try:
            for name in ("e1", "e2", "e3"):
                engine = testing.engine(name, "m")
                arrived.clear()
                await operator.apply(testing.change(name, testing.put(engine)))
                async with asyncio.timeout(PATIENCE_S):
                    await arrived.wait()
        finally:
            task.cancel()
            await asyncio.gather(task, return_exceptions=True)
        return followed.number

    async def test_the_watch_alone_brings_each_revision(self):
        self.assertEqual(await self._follow(MemoryStore(), NO_POLL_S), 3)

    async def test_a_watch_gone_silent_does_not_stop_changes(self):
        """The watch's connection hangs for good while others work.

        No batch ever comes and no error either. The poll reads the next
        revision by itself, so changes still come into force.
        """
        store = _SilentWatchStore()
        self.assertEqual(await self._follow(store, POLL_PERIOD_S), 3)


if __name__ == "__main__":
    unittest.main()
