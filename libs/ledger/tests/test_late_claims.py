"""Tests of shards that a host comes to own after its stop has begun."""

import asyncio
import unittest
from unittest import mock

from hosts_case import SHARD, World

BUDGET = 1000


class LateClaimTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.world = World(BUDGET, "ab")
        for name in "ab":
            await self.world.start(name)
        self.first, self.second = self.world.process_by_name.values()
        for process in (self.first, self.second):
            process.map.is_loaded = True
            for other in (self.first, self.second):
                process.live_hosts.record_request(other.identity.host_address)

    async def test_a_claim_being_written_as_the_stop_begins_is_handed_over(
        self,
    ):
        """Guards against ending as the owner of a shard.

        Turns of its programs wait until other hosts find the owner lost.
        """
        write = self.first.store.write
        is_writing, may_write = asyncio.Event(), asyncio.Event()

        async def write_late(key, value, expected_version):
            is_writing.set()
            await may_write.wait()
            return await write(key, value, expected_version)

        self.first.store.write = write_late
        due = mock.patch.object(
            self.first.reconciler, "_is_claim_due", return_value=True
        )
        due.start()
        self.addCleanup(due.stop)
        claiming = asyncio.create_task(self.first.reconciler.reconcile())
        await is_writing.wait()
        self.first.stop()
        handing_over = asyncio.create_task(
            self.first.reconciler.hand_over_all()
        )
        await asyncio.sleep(0)
        may_write.set()
        await asyncio.gather(claiming, handing_over)
        self.assertNotIn(SHARD, self.first.owner.owned())


if __name__ == "__main__":
    unittest.main()
