"""Tests of turns in flight while an owner and its standby are partitioned."""

import asyncio
import unittest

from hosts_case import MAX_TURN_TOKENS, SHARD
from test_any_order import HostsCase

from masticdale_ledger.accounts import unrecorded_limit_tokens
from masticdale_ledger.messages import AdmitRequest


class RepeatedTurnTest(HostsCase):
    """Turns that an owner refused and its standby may hold as reserved."""

    budget = 1600

    async def ask(self, process, request_id):
        """Asks one host for a turn; records it if it is granted."""
        self.world.clock.now_s += 0.31
        request = AdmitRequest(
            SHARD,
            "old",
            request_id,
            self.budget,
            MAX_TURN_TOKENS,
            process.identity.host_address,
        )
        reply = await process.service.admit(request)
        if reply.failure is None:
            granted = self.world.granted_by_program["old"]
            granted[request_id] = MAX_TURN_TOKENS

    async def refuse_turns(self, request_ids):
        """Has turns refused whose copy arrives without an answer."""
        link = (self.owner.name, self.standby.name)
        self.world.lost_answers.add(link)
        await asyncio.gather(*(self.ask(self.owner, i) for i in request_ids))
        self.world.lost_answers.clear()

    async def isolate(self):
        """Partitions owner and standby from each other and the store."""
        self.world.store.faults.down = True
        self.partition(self.owner.name, self.standby.name)
        await self.owner.owner.replicate_changes()
        await self.owner.reconciler.reconcile()
        self.assertIsNotNone(self.owner.owner.owned()[SHARD].isolation)

    async def test_a_standby_admits_refused_turns_within_its_quota(self):
        """Guards against tokens granted by both sides of a partition.

        The copies of the turns arrive, but their answers are lost, so that the
        owner refuses the turns. Their callers then ask the standby.
        """
        request_ids = [f"s{n}" for n in range(7)]
        await self.refuse_turns(request_ids)
        await self.isolate()
        for request_id in request_ids:
            await self.ask(self.standby, request_id)
        self.assertTrue(self.standby.owner.owned()[SHARD].is_acting)
        for number in range(7):
            await self.ask(self.owner, f"o{number}")
        granted = self.world.granted_by_program["old"]
        self.assertGreaterEqual(len(granted), 3)
        self.assertLessEqual(
            sum(granted.values()), unrecorded_limit_tokens(self.budget)
        )

    async def test_a_standby_admits_one_granted_turn_again(self):
        """Guards against turns that wait for the end of an outage.

        The owner grants a turn and is lost before its caller knows.
        """
        await self.ask(self.owner, "s0")
        granted = self.world.granted_by_program["old"]
        self.assertIn("s0", granted)
        del granted["s0"]
        self.world.store.faults.down = True
        self.world.kill(self.owner.name)
        await self.ask(self.standby, "s0")
        self.assertIn("s0", granted)


if __name__ == "__main__":
    unittest.main()
