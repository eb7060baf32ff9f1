"""Tests of the record of how long callers can hold streams."""

import asyncio
import unittest
from unittest import mock

from masticdale_common import Metrics
from masticdale_entry import stream_holds
from masticdale_entry.stream_holds import HOLD_KEY, StoredHold
from masticdale_platform.testing import MemoryStore
from masticdale_routing.versions import MAX_HOLD_S, MIN_HOLD_S

# Most time for a call that the store delays, with time for a busy machine.
MOST_WAIT_S = 0.5


class StoredHoldTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.store = MemoryStore()
        self.hosts = [StoredHold(self.store, Metrics()) for _ in range(3)]
        patch = mock.patch.object(stream_holds, "_RETRY_S", 0.02)
        patch.start()
        self.addCleanup(patch.stop)

    async def asyncTearDown(self):
        for host in self.hosts:
            await host.close()

    async def test_without_a_record_the_shortest_time_holds(self):
        self.assertEqual(await self.hosts[0].read(), MIN_HOLD_S)

    async def test_another_host_reads_what_was_raised(self):
        """Guards against a record that a loss of all hosts ends."""
        await self.hosts[0].raise_to(32.5)
        self.assertEqual(self.hosts[0].known_s, 64.0)
        self.assertEqual(await self.hosts[1].read(), 64.0)

    async def test_deadlines_of_all_lengths_cause_few_writes(self):
        """Guards against a write for each stream."""
        for tenths in range(81, 20_000):
            host = self.hosts[tenths % 3]
            if tenths / 10 > host.known_s:
                await host.raise_to(tenths / 10)
        self.assertEqual(self.store.write_count, 8)

    async def test_hosts_that_raise_at_once_agree_on_the_longest(self):
        """Guards against a longer time that a shorter one replaces."""
        await asyncio.gather(
            *(
                host.raise_to(hold_s)
                for host, hold_s in zip(
                    self.hosts, (100.0, 20.0, 50.0), strict=True
                )
            )
        )
        reader = StoredHold(self.store, Metrics())
        self.assertEqual(await reader.read(), 128.0)

    async def test_the_store_is_away(self):
        """Guards against a first event that waits, or a time never recorded.

        A resumed stream is not taken for a short one meanwhile.
        """
        self.store.faults.down = True
        async with asyncio.timeout(MOST_WAIT_S):
            await self.hosts[0].raise_to(20.0)
        self.assertEqual(self.hosts[0].known_s, MIN_HOLD_S)
        self.assertIsNone(await self.hosts[1].read())
        self.store.faults.down = False
        async with asyncio.timeout(MOST_WAIT_S):
            while self.hosts[0].known_s < 32.0:
                await asyncio.sleep(0.01)
        self.assertEqual(await self.hosts[1].read(), 32.0)

    async def test_the_store_is_silent(self):
        """Guards against streams that wait for a store that hangs."""
        self.store.faults.delay_s = 60.0
        async with asyncio.timeout(MOST_WAIT_S):
            await self.hosts[0].raise_to(20.0)
            self.assertIsNone(await self.hosts[0].read())

    async def test_writes_without_an_answer(self):
        """Guards against a write that is taken for done, or done twice."""
        self.store.faults.drop_writes = 1
        self.store.faults.lose_write_answers = 1
        await self.hosts[0].raise_to(20.0)
        async with asyncio.timeout(MOST_WAIT_S):
            while self.hosts[0].known_s < 32.0:
                await asyncio.sleep(0.01)
        self.assertEqual(await self.hosts[1].read(), 32.0)
        self.assertEqual(self.store.write_count, 1)

    async def test_many_resumptions_read_once(self):
        """Guards against a call to the store for each stream of a lost host.

        A record is used again while it covers all but the last streams.
        """
        with mock.patch.object(
            self.store, "read", wraps=self.store.read
        ) as read:
            await asyncio.gather(*(self.hosts[0].read() for _ in range(50)))
            await self.hosts[0].read()
            self.assertEqual(read.call_count, 1)
            with mock.patch.object(stream_holds, "_REUSE_S", 0.0):
                await self.hosts[1].raise_to(20.0)
                self.assertEqual(await self.hosts[0].read(), 32.0)

    async def test_a_record_that_is_not_readable_allows_no_inference(self):
        """Guards against a damaged record taken for none."""
        await self.store.write(HOLD_KEY, b"[]", 0)
        self.assertEqual(await self.hosts[0].read(), MAX_HOLD_S)

    async def test_a_deleted_record_is_written_again(self):
        """Guards against a host that takes its own memory for the record."""
        await self.hosts[0].raise_to(20.0)
        stored = (await self.store.read(HOLD_KEY)).unwrap()
        await self.store.delete(HOLD_KEY, stored.version)
        self.assertEqual(await self.hosts[0].read(), MIN_HOLD_S)
        await self.hosts[0].raise_to(20.0)
        self.assertEqual(await self.hosts[1].read(), 32.0)


if __name__ == "__main__":
    unittest.main()
