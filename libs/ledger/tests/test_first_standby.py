"""Tests of the choice of the first standby of a shard."""

import asyncio
import unittest

from hosts_case import SHARD, World, simulated


class FirstStandbyTest(unittest.IsolatedAsyncioTestCase):
    """Guards against a seed that is the standby of several shards.

    When the first owners claim their shards, no host has sent a request, and
    only seeds and owners are known. If the host with several roles is lost
    while the store is away, several owners are left without a standby.
    """

    async def asyncSetUp(self):
        self.world = World(budget=1_000)
        self.enterContext(simulated(self.world))
        for name in self.world.names.values():
            await self.world.start(name)
        self.owner = self.world.process_by_name["a"]
        await self.owner.reconciler.reconcile()
        await self.world.refresh_maps()

    def record(self):
        return self.owner.map.get(SHARD).record

    async def test_none_is_named_before_hosts_have_sent_requests(self):
        await self.owner.reconciler.reconcile()
        self.assertEqual(self.record().owner, "a")
        self.assertEqual(self.record().standby_address, "")

    async def test_one_is_named_soon_after_the_first_requests(self):
        self.assertTrue(await self.world.turn("c", "p"))
        await asyncio.sleep(0.25)
        await self.owner.reconciler.reconcile()
        standby = self.world.names[self.record().standby_port]
        self.assertEqual(standby, "c")
        # Guards against a standby without a copy until the next turn.
        await self.owner.owner.replicate_changes()
        await self.world.refresh_maps()
        self.world.kill("a")
        await self.world.turn("d", "p")
        shard = self.world.process_by_name["c"].owner.owned()[SHARD]
        self.assertIsNotNone(shard.accounts.get("p"))

    async def test_an_owner_that_alone_has_callers_names_a_candidate(self):
        self.assertTrue(await self.world.turn("a", "p"))
        await asyncio.sleep(0.25)
        await self.owner.reconciler.reconcile()
        self.assertNotEqual(self.record().standby_address, "")


if __name__ == "__main__":
    unittest.main()
