"""Tests of claims of single runs of held contents."""

import unittest
from unittest import mock

from masticdale_entry import crash_trials
from masticdale_entry.crash_trials import TRIAL_PREFIX, StoredTrials
from masticdale_platform.testing import MemoryStore
from masticdale_routing.crashes import RETENTION_S


class StoredTrialsTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.store = MemoryStore()
        self.hosts = [StoredTrials(self.store) for _ in range(3)]
        self.now_ms = 1_000_000_000
        patch = mock.patch.object(crash_trials, "_now_ms")
        patch.start().side_effect = lambda: self.now_ms
        self.addCleanup(patch.stop)

    async def claims(self):
        """Returns what each host is told when it claims the content."""
        return [await host.claim("bad") for host in self.hosts]

    async def test_one_host_gets_the_trial(self):
        """Guards against a trial at each host."""
        waits = await self.claims()
        self.assertEqual(waits[0], 0.0)
        self.assertTrue(all(wait > 3.0 for wait in waits[1:]))

    async def test_trials_become_rare(self):
        """Guards against ending a replica every few seconds for ever."""
        granted = 0
        for _ in range(660):
            granted += (await self.claims()).count(0.0)
            self.now_ms += 1_000
        self.assertLessEqual(granted, 3)

    async def test_a_withdrawn_trial_is_free_again(self):
        """Guards against a long refusal after a trial that did not run."""
        first, second, _ = self.hosts
        self.assertEqual(await first.claim("bad"), 0.0)
        await first.withdraw("bad")
        self.assertEqual(await second.claim("bad"), 0.0)
        self.now_ms += 61_000
        self.assertEqual(await second.claim("bad"), 0.0)
        await second.withdraw("bad")
        self.assertEqual(await first.claim("bad"), 0.0)
        self.assertGreater(await second.claim("bad"), 61.0)

    async def test_a_content_that_is_held_again_begins_anew(self):
        first, second, _ = self.hosts
        await first.claim("bad")
        await first.end("bad")
        self.assertEqual(await second.claim("bad"), 0.0)

    async def test_no_trial_without_the_store(self):
        self.store.faults.down = True
        self.assertTrue(all(wait > 0.0 for wait in await self.claims()))

    async def test_a_claim_of_unknown_outcome_is_no_trial(self):
        self.store.faults.lose_write_answers = 1
        self.assertTrue(all(wait > 0.0 for wait in await self.claims()))

    async def test_unreadable_trials_count_as_none(self):
        await self.store.write(TRIAL_PREFIX + "bad", b"null", 0)
        self.assertEqual((await self.claims()).count(0.0), 1)

    async def test_old_trials_are_deleted(self):
        await self.claims()
        self.now_ms += int(3_000 * RETENTION_S)
        await self.hosts[0].claim("other")
        await self.hosts[0].delete_abandoned()
        listed = (await self.store.list(TRIAL_PREFIX)).unwrap()
        self.assertEqual([s.key for s in listed], [TRIAL_PREFIX + "other"])


if __name__ == "__main__":
    unittest.main()
