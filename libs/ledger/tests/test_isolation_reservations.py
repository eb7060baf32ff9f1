"""Tests of turns in flight while an owner and its standby are partitioned."""

import asyncio
import unittest
from unittest import mock

import hosts_case
import hypothesis
from hosts_case import MAX_TURN_TOKENS, SHARD
from hypothesis import strategies as st
from test_any_order import HostsCase

from masticdale_ledger.accounts import Account, unrecorded_limit_tokens
from masticdale_ledger.arbiter import Side
from masticdale_ledger.isolation import isolation_quotas
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


class PendingCopyTest(HostsCase):
    """A turn whose copy is pending as its owner becomes isolated."""

    budget = 400

    async def test_a_refused_turn_is_admitted_when_it_comes_again(self):
        """Guards against turns that wait for the end of an outage.

        The standby is lost and its owner has a quota of one turn. A turn that
        is reserved as the quotas are computed, and refused afterwards because
        its copy fails, must not use up that quota.
        """
        is_copying, is_isolated = asyncio.Event(), asyncio.Event()
        turns = []
        call = hosts_case.Link.call
        write = self.owner.store.write

        async def call_late(link, rpc, request, timeout_s):
            if rpc.name == "copy" and turns:
                is_copying.set()
                await is_isolated.wait()
            return await call(link, rpc, request, timeout_s)

        async def write_during_a_turn(key, value, expected_version):
            turns.append(asyncio.create_task(self.world.turn("a", "old")))
            await is_copying.wait()
            return await write(key, value, expected_version)

        self.world.store.faults.down = True
        self.world.kill(self.standby.name)
        await self.owner.owner.replicate_changes()
        with mock.patch.object(hosts_case.Link, "call", call_late):
            self.owner.store.write = write_during_a_turn
            await self.owner.reconciler.reconcile()
            is_isolated.set()
            self.assertEqual(await asyncio.gather(*turns), [False])
        shard = self.owner.owner.owned()[SHARD]
        self.assertIsNotNone(shard.isolation)
        self.assertTrue(shard.won_arbitration)
        self.assertEqual(shard.accounts.get("old").reserved_tokens, 0)
        self.assertTrue(await self.world.turn("a", "old"))
        self.assertFalse(await self.world.turn("a", "old"))


def account_of(budget, spent, reserved):
    """Returns an account with its turns in flight as one reservation."""
    return Account(
        program_id="p",
        budget_tokens=budget,
        spent_tokens=spent,
        bound=None,
        counts_from_start=True,
        reserved_by_request_id={"r": reserved} if reserved else {},
        last_used_at=0.0,
        most_tokens=MAX_TURN_TOKENS,
    )


class QuotaTest(unittest.TestCase):
    @hypothesis.settings(derandomize=True, deadline=None, max_examples=2000)
    @hypothesis.given(
        unreserved_tokens=st.integers(0, 900),
        spent=st.integers(0, 300),
        turns=st.lists(
            st.tuples(
                st.integers(0, MAX_TURN_TOKENS), st.booleans(), st.booleans()
            ),
            max_size=6,
        ),
        remainder_side=st.sampled_from((Side.OWNER, Side.STANDBY)),
    )
    def test_both_quotas_stay_below_the_unrecorded_limit(
        self, unreserved_tokens, spent, turns, remainder_side
    ):
        """Guards against tokens granted by both sides of a partition.

        Each turn in flight uses any part of its maximum, and its settlement
        may have reached any of the two hosts as the partition begins. Each
        host then grants up to its limit, in the end counting each turn.
        """
        used = sum(u for u, _, _ in turns)
        maximum = MAX_TURN_TOKENS * len(turns)
        ceiling = spent + maximum + unreserved_tokens
        limits, peers = [], []
        for side, index in ((Side.OWNER, 1), (Side.STANDBY, 2)):
            settled = [t[0] for t in turns if t[index]]
            open_count = len(turns) - len(settled)
            account = account_of(
                2 * ceiling,
                spent + sum(settled),
                open_count * MAX_TURN_TOKENS,
            )
            quota = isolation_quotas(
                [account],
                is_standby=side is Side.STANDBY,
                remainder_side=remainder_side,
            )["p"]
            limits.append(quota.limit_tokens)
            peers.append(quota.peer_tokens)
        before = spent + used
        granted = [max(0, limit - before) for limit in limits]
        self.assertLessEqual(before + sum(granted), ceiling)
        # What each host charges covers what the other one may have granted.
        self.assertLessEqual(granted[0], peers[1])
        self.assertLessEqual(granted[1], peers[0])


if __name__ == "__main__":
    unittest.main()
