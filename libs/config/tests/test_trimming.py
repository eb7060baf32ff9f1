"""Tests that old revisions and snapshots are trimmed without losing data."""

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

    async def test_storage_is_bounded(self):
        await self.change(*range(1, CHANGES + 1))
        stored = await self.stored_revisions()
        self.assertLessEqual(len(stored), KEPT + 2 * SNAPSHOT_EVERY)
        snapshots = (await self.store.list(storage.SNAPSHOT_PREFIX)).unwrap()
        self.assertEqual(len(snapshots), storage.KEPT_SNAPSHOTS)
        fresh = ActiveConfig()
        self.assertEqual((await catch_up(self.store, fresh)).unwrap(), CHANGES)
        self.assertIsNone((await self.operator.revision(1)).unwrap())

    async def test_a_host_behind_trimmed_revisions_catches_up(self):
        """A host is paused until the revision it needs next is trimmed.

        If it took the tombstone for the end of the sequence, it would keep
        its old revision forever.
        """
        await self.change(1, 2)
        paused = ActiveConfig()
        await catch_up(self.store, paused)
        await self.change(*range(3, CHANGES + 1))
        self.assertEqual((await catch_up(self.store, paused)).unwrap(), CHANGES)

    async def test_a_trimmed_revision_cannot_be_created_again(self):
        """A paused host tries to create a revision that is long trimmed.

        If the key were free, the change would be accepted but never applied.
        """
        await self.change(*range(1, CHANGES + 1))
        key = storage.revision_key(2)
        written = await self.store.write(key, b"late", MUST_NOT_EXIST)
        self.assertIs(written.failure().kind, ErrorKind.CONFLICT)

    async def test_failed_trimming_is_retried_later(self):
        """The platform fails while revisions are trimmed.

        The change must be accepted, and the revisions be trimmed later.
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
