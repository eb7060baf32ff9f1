"""Tests of budgets under partitions, stops and crashes in any order."""

import asyncio
import unittest

from hosts_case import (
    MAX_TURN_TOKENS,
    SHARD,
    World,
    random_steps,
    run_plan,
    simulated,
)

from masticdale_ledger.leases import Lease
from masticdale_ledger.messages import SealRequest
from masticdale_ledger.owned_shard import OwnedShard

# Seeds of the random plans played in each run, and events per plan.
_SEEDS = range(150)
_EVENTS_PER_PLAN = 250
# Regression plans, which once exceeded the budget by more than one turn: seed,
# and the budget in turns of maximum size.
_REGRESSION_SEEDS = (
    # A partitioned standby admitted new programs, which its owner counted from
    # zero once it reached the store again.
    (20300, 7.5),
    (10181, 9.0),
    # A standby took over although it had announced that it stops.
    (20500, 7.5),
    # A replaced owner that was isolated admitted a program that its standby
    # had never acknowledged.
    (11270, 10.5),
    (10885, 9.0),
    # A host that accepted a shard had owned it before, and used its own stale
    # accounts instead of the offered ones.
    (50067, 6.0),
    (62253, 9.0),
    # An owner rejected a program's first turn, a standby then admitted the
    # program, and the owner counted it from zero.
    (72678, 10.5),
    (90886, 10.5),
    (91686, 10.5),
    # A restarted standby no longer knew that it was sealed, and acknowledged
    # copies of a replaced owner.
    (150715, 6.0),
)


class HostsCase(unittest.IsolatedAsyncioTestCase):
    """Four hosts: "a" owns the shard, another one is its standby."""

    budget = 750

    async def asyncSetUp(self):
        self.world = World(self.budget)
        self.enterContext(simulated(self.world))
        await self.world.begin()
        record = self.world.process_by_name["a"].map.get(SHARD).record
        self.owner = self.world.process_by_name["a"]
        standby = self.world.names[record.standby_port]
        self.standby = self.world.process_by_name[standby]
        await self.owner.owner.replicate_changes()
        await self.world.turn("a", "old")
        await self.world.end_turn(20)
        await self.owner.owner.replicate_changes()

    def partition(self, *names):
        self.world.partitions.add(frozenset(names))

    async def admit_turns(self, process, program, count):
        """Returns how many of a program's turns are admitted at a host."""
        admitted = 0
        for _ in range(count):
            self.world.clock.now_s += 0.31
            admitted += await self.world.turn(process.name, program)
            await self.world.step("next-program", 0, 0)
        return admitted

    def assert_within_budget(self, program):
        admitted = self.world.granted_by_program.get(program, {})
        self.assertLessEqual(
            sum(admitted.values()), self.world.budget + MAX_TURN_TOKENS
        )


class PartitionedStandbyTest(HostsCase):
    """Guards against new programs that are admitted by two hosts.

    A standby partitioned from owner and store takes the owner for lost. The
    owner lives, names another standby and counts these programs from zero.
    """

    async def test_partitioned_it_admits_no_new_programs(self):
        for name in "abcd":
            self.partition(name, self.standby.name)
        self.standby.store.is_cut = True
        admitted = await self.admit_turns(self.standby, "new", 6)
        await self.standby.reconciler.reconcile()
        admitted += await self.admit_turns(self.standby, "new", 6)
        self.assertEqual(admitted, 0)
        # Turns of programs that both hosts know are admitted.
        self.assertGreater(await self.admit_turns(self.standby, "old", 3), 0)

    async def test_turns_that_the_arbiter_allowed_are_counted_by_the_owner(
        self,
    ):
        self.partition("a", self.standby.name)
        self.standby.store.is_cut = True
        await self.admit_turns(self.standby, "new", 2)
        await self.standby.reconciler.reconcile()
        self.assertGreater(await self.admit_turns(self.standby, "new", 6), 0)
        await self.admit_turns(self.owner, "old", 1)
        for _ in range(3):
            await self.owner.reconciler.reconcile()
        await self.admit_turns(self.owner, "new", 12)
        self.assert_within_budget("new")

    async def test_an_owner_decided_for_counts_new_programs_from_zero(
        self,
    ):
        """Guards against new programs that count as half spent needlessly.

        The standby, partitioned later from owner and store, admits none.
        """
        self.partition("a", self.standby.name)
        await self.admit_turns(self.owner, "old", 1)
        for _ in range(3):
            await self.owner.reconciler.reconcile()
        self.assertTrue(await self.world.turn("a", "new"))
        account = self.owner.owner.owned()[SHARD].accounts.get("new")
        self.assertTrue(account.counts_from_start)
        self.standby.store.is_cut = True
        await self.admit_turns(self.standby, "other", 2)
        await self.standby.reconciler.reconcile()
        self.assertEqual(await self.admit_turns(self.standby, "other", 6), 0)

    async def test_a_restarted_arbiter_decides_for_neither_side(self):
        """Guards against an arbiter that decides for both sides in turn."""
        record = self.owner.map.get(SHARD).record
        arbiter = self.world.names[record.arbiter_port]
        self.partition("a", self.standby.name)
        self.standby.store.is_cut = True
        await self.admit_turns(self.standby, "new", 2)
        await self.standby.reconciler.reconcile()
        self.world.kill(arbiter)
        await self.world.start(arbiter)
        await self.admit_turns(self.owner, "old", 1)
        for _ in range(3):
            await self.owner.reconciler.reconcile()
        await self.admit_turns(self.standby, "new", 6)
        await self.admit_turns(self.owner, "new", 12)
        self.assert_within_budget("new")

    async def test_another_standby_does_not_shorten_the_incomplete_period(
        self,
    ):
        """Guards against a program that spends its budget with two owners.

        An owner counts unknown programs as half spent for 150 s, as the last
        one may have admitted turns until its lease ended. Naming another
        standby must not shorten this time to 120 s.
        """
        known = self.owner.owner.owned()[SHARD]
        lease = Lease(self.world.clock)
        self.owner.owner.take(
            OwnedShard(
                SHARD, known.view, known.accounts, 150.0, lease, known.copier
            )
        )
        for name in "bcd":
            self.partition("a", name)
        await self.admit_turns(self.owner, "old", 1)
        for _ in range(3):
            await self.owner.reconciler.reconcile()
        shard = self.owner.owner.owned()[SHARD]
        self.assertGreater(shard.view.version, known.view.version)
        self.assertGreater(shard.incomplete_for_s, 140.0)

    async def test_after_an_outage_its_turns_are_counted_by_the_owner(
        self,
    ):
        self.world.store.faults.down = True
        await self.owner.owner.replicate_changes()
        await self.admit_turns(self.owner, "old", 1)
        self.partition("a", self.standby.name)
        await self.admit_turns(self.standby, "new", 2)
        await self.standby.reconciler.reconcile()
        self.assertGreater(await self.admit_turns(self.standby, "new", 6), 0)
        # The store is back, but only for the owner.
        self.standby.store.is_cut = True
        self.world.store.faults.down = False
        await self.admit_turns(self.owner, "old", 1)
        for _ in range(3):
            await self.owner.reconciler.reconcile()
        await self.admit_turns(self.owner, "new", 12)
        self.assert_within_budget("new")

    async def test_once_the_outage_is_over_new_programs_count_from_zero(self):
        """Guards against new programs that count as half spent needlessly."""
        self.world.store.faults.down = True
        await self.owner.owner.replicate_changes()
        self.world.store.faults.down = False
        await self.owner.owner.replicate_changes()
        self.world.kill(self.standby.name)
        await self.admit_turns(self.owner, "old", 1)
        for _ in range(3):
            await self.owner.reconciler.reconcile()
        self.assertTrue(await self.world.turn("a", "new"))
        account = self.owner.owner.owned()[SHARD].accounts.get("new")
        self.assertTrue(account.counts_from_start)


class StoppingStandbyTest(HostsCase):
    """Guards against a stopping standby that takes over for a live owner.

    The owner names another standby and does not count what the stopping one
    admits. Partitioned from the store, that one does not learn of it.
    """

    async def test_a_standby_that_has_announced_its_stop_does_not_take_over(
        self,
    ):
        self.standby.stop()
        await self.admit_turns(self.owner, "old", 1)
        await self.world.end_turn(20)
        await self.owner.owner.replicate_changes()
        self.assertTrue(self.owner.owner.owned()[SHARD].is_standby_stopping)
        self.standby.store.is_cut = True
        await self.owner.reconciler.reconcile()
        self.partition("a", self.standby.name)
        self.assertEqual(await self.admit_turns(self.standby, "old", 6), 0)


class ReplacedOwnerTest(HostsCase):
    """Guards against a program that spends its budget with two owners.

    A replaced owner rejects a new program's turn, since its standby is sealed.
    Isolated afterwards, it must not admit that program: the new owner does not
    know of it and counts it from zero.
    """

    async def test_isolated_it_admits_only_programs_its_standby_acknowledged(
        self,
    ):
        record = self.owner.map.get(SHARD).record
        self.standby.failover.seal(SealRequest(SHARD, record.epoch))
        self.assertEqual(await self.admit_turns(self.owner, "new", 1), 0)
        self.owner.store.is_cut = True
        await self.owner.reconciler.reconcile()
        self.assertIsNotNone(self.owner.owner.owned()[SHARD].isolation)
        self.assertEqual(await self.admit_turns(self.owner, "new", 6), 0)
        self.assertGreater(await self.admit_turns(self.owner, "old", 3), 0)


class HandOverTest(HostsCase):
    """The handover of a shard when its owner stops."""

    budget = 1500

    def third_host(self):
        """Returns a host that is neither the owner nor the standby."""
        taken = (self.owner, self.standby)
        processes = self.world.process_by_name.values()
        return next(p for p in processes if p not in taken)

    async def test_the_old_standby_does_not_take_over_after_it(self):
        """Guards against turns at the old standby that no host counts.

        Partitioned from the store, the standby does not learn of the handover
        and finds its owner gone.
        """
        self.standby.store.is_cut = True
        self.owner.stop()
        await self.owner.reconciler.hand_over_all()
        self.world.kill("a")
        successor = next(
            p
            for p in self.world.process_by_name.values()
            if SHARD in p.owner.owned()
        )
        for _ in range(5):
            if await self.admit_turns(self.standby, "old", 1):
                await self.world.end_turn(MAX_TURN_TOKENS)
        for _ in range(16):
            if await self.admit_turns(successor, "old", 1):
                await self.world.end_turn(MAX_TURN_TOKENS)
        self.assert_within_budget("old")

    async def test_a_former_owner_uses_the_offered_accounts(
        self,
    ):
        """Guards against a handover that restores stale accounts and epochs.

        The shard is offered to its former owner, which was partitioned and does
        not know yet that it was replaced.
        """
        self.world.partitions |= {frozenset(("a", n)) for n in "bcd"}
        for _ in range(2):
            await self.admit_turns(self.standby, "new", 2)
        self.assertFalse(self.standby.owner.owned()[SHARD].is_acting)
        self.world.partitions.clear()
        for process in self.world.process_by_name.values():
            process.reconciler.is_stopping = process is not self.owner
        epoch = self.standby.owner.owned()[SHARD].view.record.epoch
        self.standby.stop()
        await self.standby.reconciler.hand_over_all()
        shard = self.owner.owner.owned()[SHARD]
        self.assertGreater(shard.view.record.epoch, epoch)
        account = shard.accounts.get("new")
        self.assertIsNotNone(account)
        admitted = self.world.granted_by_program["new"]
        self.assertEqual(account.committed_tokens, sum(admitted.values()))


class TakeoverTest(HostsCase):
    async def test_accounts_of_an_acting_owner_are_charged_once(self):
        """Guards against programs that are rejected with 402 too early.

        The accounts of an acting owner already include the lost owner's quota,
        which the next owner must not add again.
        """
        self.world.store.faults.down = True
        await self.owner.owner.replicate_changes()
        self.world.kill("a")
        admitted = await self.admit_turns(self.standby, "new", 3)
        await self.standby.reconciler.reconcile()
        admitted += await self.admit_turns(self.standby, "new", 1)
        self.assertGreater(admitted, 0)
        self.standby.store.is_cut = True
        self.world.store.faults.down = False
        acting_states = self.standby.owner.owned()[
            SHARD
        ].states_with_peer_spending()
        successor = next(
            p
            for p in self.world.process_by_name.values()
            if p is not self.standby
        )
        await self.admit_turns(successor, "old", 1)
        self.world.kill(self.standby.name)
        self.world.process_by_name[self.standby.name] = self.standby
        await successor.reconciler.reconcile()
        accounts = successor.owner.owned()[SHARD].accounts
        for state in acting_states:
            with self.subTest(program=state.program_id):
                account = accounts.get(state.program_id)
                self.assertEqual(account.spent_tokens, state.spent_tokens)


class AnyOrderTest(unittest.TestCase):
    def check(self, seed, budget):
        # The event loop of IsolatedAsyncioTestCase runs in debug mode, which
        # is much slower.
        world = asyncio.run(
            run_plan(budget, random_steps(seed, _EVENTS_PER_PLAN))
        )
        self.assertEqual(world.overspent(), {}, f"seed {seed}")

    def test_regression_plans(self):
        for seed, turns in _REGRESSION_SEEDS:
            with self.subTest(seed=seed):
                self.check(seed, int(turns * MAX_TURN_TOKENS))

    def test_random_plans_exceed_no_budget_by_more_than_one_turn(self):
        """Guards against programs that exceed their budget under any faults.

        Partitions, lost answers, store outages, crashes, stops and restarts
        occur in random order and overlap; programs begin at any time.
        """
        for seed in _SEEDS:
            with self.subTest(seed=seed):
                self.check(seed, int(1.5 * (1 + seed % 8) * MAX_TURN_TOKENS))


if __name__ == "__main__":
    unittest.main()
