"""Tests that old revisions and snapshots go and nothing is lost by it."""

import unittest
from unittest import mock

from masticdale_common import ErrorKind
from masticdale_config import (
    ActiveConfig,
    ConfigStore,
    catch_up,
    storage,
    testing,
    trimming,
)
from masticdale_platform.testing import MemoryStore
from masticdale_platform.types import MUST_NOT_EXIST

KEPT = 4
SNAPSHOT_EVERY = 3
CHANGES = 30


class TrimmingTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        patch = mock.patch.object(trimming, "KEPT_REVISIONS", KEPT)
        patch.start()
        self.addCleanup(patch.stop)
        self.store = MemoryStore()
        self.operator = ConfigStore(
            self.store, ActiveConfig(), SNAPSHOT_EVERY, backoff_s=0.0
        )
        self.seen = None

    async def change(self, *numbers):
        for number in numbers:
            engine = testing.engine("e", "m", port=8000 + number)
            edit = testing.put(engine, self.seen)
            change = testing.change(f"c{number}", edit)
            (await self.operator.apply(change)).unwrap()
            self.seen = engine

    async def stored_revisions(self):
        listed = (await self.store.list(storage.REVISION_PREFIX)).unwrap()
        return [i for i in listed if i.value != trimming.TOMBSTONE]

    async def test_what_is_stored_is_bounded(self):
        await self.change(*range(1, CHANGES + 1))
        stored = await self.stored_revisions()
        self.assertLessEqual(len(stored), KEPT + 2 * SNAPSHOT_EVERY)
        snapshots = (await self.store.list(storage.SNAPSHOT_PREFIX)).unwrap()
        self.assertEqual(len(snapshots), storage.KEPT_SNAPSHOTS)
        fresh = ActiveConfig()
        self.assertEqual((await catch_up(self.store, fresh)).unwrap(), CHANGES)
        self.assertIsNone((await self.operator.revision(1)).unwrap())

    async def test_a_host_paused_past_the_trimming_catches_up(self):
        """A host stands still while more revisions pass than are kept.

        The one it needs next is trimmed. Taken for the end of the sequence,
        it would stay at its old revision for good and believe it is newest.
        """
        await self.change(1, 2)
        paused = ActiveConfig()
        await catch_up(self.store, paused)
        await self.change(*range(3, CHANGES + 1))
        self.assertEqual((await catch_up(self.store, paused)).unwrap(), CHANGES)

    async def test_a_trimmed_number_is_never_free_again(self):
        """A host is paused between reading the newest revision and writing.

        When it wakes up, the number it wants to create was trimmed long ago.
        Were the key free, its change would be accepted into the past.
        """
        await self.change(*range(1, CHANGES + 1))
        key = storage.revision_key(2)
        written = await self.store.write(key, b"late", MUST_NOT_EXIST)
        self.assertIs(written.failure().kind, ErrorKind.CONFLICT)

    async def test_trimming_that_failed_is_made_up_for(self):
        """The platform drops writes just while revisions are trimmed.

        The change is accepted all the same; what stayed is trimmed later.
        """
        await self.change(*range(1, 12))
        overwrite = mock.AsyncMock(return_value=False)
        with mock.patch.object(trimming, "_overwrite", overwrite):
            await self.change(12)
        self.assertTrue(overwrite.called)
        await self.change(*range(13, CHANGES + 1))
        stored = await self.stored_revisions()
        self.assertLessEqual(len(stored), KEPT + 2 * SNAPSHOT_EVERY)


if __name__ == "__main__":
    unittest.main()
