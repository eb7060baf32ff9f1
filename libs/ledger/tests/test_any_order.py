"""Budgets over hosts that are cut off, stopped and killed in any order."""

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
from masticdale_ledger.owner import OwnedShard

# Plans played with each run, of this many events.
_SEEDS = range(150)
_EVENTS = 250
# Plans that once handed out more than the budget and one turn: seed, and the
# budget in turns at their most.
_OLD_SEEDS = (
    # A standby that was cut off took new programs, which its owner, back at
    # the store, counted from zero.
    (20300, 7.5),
    (10181, 9.0),
    # A standby that had said that it stops acted for its owner.
    (20500, 7.5),
    # An owner that had been replaced gave a program that its standby had never
    # agreed to, while it was alone.
    (11270, 10.5),
    (10885, 9.0),
    # A host that took an offered shard had owned it before, and counted with
    # what it remembered in place of what it was offered.
    (50067, 6.0),
    (62253, 9.0),
    # A program whose first turn was refused at its owner, and which a standby
    # then took, counted from zero at that owner.
    (72678, 10.5),
    (90886, 10.5),
    (91686, 10.5),
    # A standby that was started again had forgotten that it was sealed, and
    # consented to an owner that had been replaced.
    (150715, 6.0),
)


class HostsCase(unittest.IsolatedAsyncioTestCase):
    """Four hosts; the first to look owns the shard, another is its standby."""

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

    def cut(self, *names):
        self.world.partitions.add(frozenset(names))

    async def ask(self, process, program, count):
        """Returns how many turns of a program a host's callers are given."""
        given = 0
        for _ in range(count):
            self.world.clock.now_s += 0.31
            given += await self.world.turn(process.name, program)
            await self.world.step("next-program", 0, 0)
        return given

    def assert_within_budget(self, program):
        given = self.world.granted_by_program.get(program, {})
        self.assertLessEqual(
            sum(given.values()), self.world.budget + MAX_TURN_TOKENS
        )


class CutOffStandbyTest(HostsCase):
    """A program got 1.5 times its budget from two hosts.

    A standby is cut off from its owner and from the store; callers still reach
    it. It takes the owner for lost and the store for down, acts, and takes new
    programs. The owner reaches the store, names another standby, and counts
    the same programs from zero when their next turns arrive there.
    """

    async def test_cut_off_alone_it_takes_no_new_programs(self):
        for name in "abcd":
            self.cut(name, self.standby.name)
        self.standby.store.is_cut = True
        given = await self.ask(self.standby, "new", 6)
        await self.standby.reconciler.reconcile()
        given += await self.ask(self.standby, "new", 6)
        self.assertEqual(given, 0)
        # The programs that both know go on.
        self.assertGreater(await self.ask(self.standby, "old", 3), 0)

    async def test_with_the_arbiter_its_owner_counts_what_it_may_have_given(
        self,
    ):
        self.cut("a", self.standby.name)
        self.standby.store.is_cut = True
        await self.ask(self.standby, "new", 2)
        await self.standby.reconciler.reconcile()
        self.assertGreater(await self.ask(self.standby, "new", 6), 0)
        await self.ask(self.owner, "old", 1)
        for _ in range(3):
            await self.owner.reconciler.reconcile()
        await self.ask(self.owner, "new", 12)
        self.assert_within_budget("new")

    async def test_an_owner_that_was_let_go_on_counts_new_programs_from_zero(
        self,
    ):
        """Each loss of a standby would cost new programs half of a budget.

        The standby, cut off later from owner and store, takes none.
        """
        self.cut("a", self.standby.name)
        await self.ask(self.owner, "old", 1)
        for _ in range(3):
            await self.owner.reconciler.reconcile()
        self.assertTrue(await self.world.turn("a", "new"))
        account = self.owner.owner.owned()[SHARD].accounts.get("new")
        self.assertTrue(account.counts_from_start)
        self.standby.store.is_cut = True
        await self.ask(self.standby, "other", 2)
        await self.standby.reconciler.reconcile()
        self.assertEqual(await self.ask(self.standby, "other", 6), 0)

    async def test_an_arbiter_that_has_forgotten_lets_nobody_go_on(self):
        """A standby and its owner would be let go on one after the other."""
        record = self.owner.map.get(SHARD).record
        arbiter = self.world.names[record.arbiter_port]
        self.cut("a", self.standby.name)
        self.standby.store.is_cut = True
        await self.ask(self.standby, "new", 2)
        await self.standby.reconciler.reconcile()
        self.world.kill(arbiter)
        await self.world.start(arbiter)
        await self.ask(self.owner, "old", 1)
        for _ in range(3):
            await self.owner.reconciler.reconcile()
        await self.ask(self.standby, "new", 6)
        await self.ask(self.owner, "new", 12)
        self.assert_within_budget("new")

    async def test_another_standby_does_not_shorten_how_long_programs_miss(
        self,
    ):
        """A program would get its budget from its lost owner and the next one.

        Whoever took the shard from an owner that may act on for its lease
        counts unknown programs as half spent for 150 s. The standby is lost
        too, and the time began anew with 120 s.
        """
        known = self.owner.owner.owned()[SHARD]
        lease = Lease(self.world.clock)
        self.owner.owner.take(
            OwnedShard(
                SHARD, known.view, known.accounts, 150.0, lease, known.copier
            )
        )
        for name in "bcd":
            self.cut("a", name)
        await self.ask(self.owner, "old", 1)
        for _ in range(3):
            await self.owner.reconciler.reconcile()
        shard = self.owner.owner.owned()[SHARD]
        self.assertGreater(shard.view.version, known.view.version)
        self.assertGreater(shard.incomplete_for_s, 140.0)

    async def test_after_an_outage_its_owner_counts_what_it_may_have_given(
        self,
    ):
        self.world.store.faults.down = True
        await self.owner.owner.replicate_changes()
        await self.ask(self.owner, "old", 1)
        self.cut("a", self.standby.name)
        await self.ask(self.standby, "new", 2)
        await self.standby.reconciler.reconcile()
        self.assertGreater(await self.ask(self.standby, "new", 6), 0)
        # The store is back for the owner alone.
        self.standby.store.is_cut = True
        self.world.store.faults.down = False
        await self.ask(self.owner, "old", 1)
        for _ in range(3):
            await self.owner.reconciler.reconcile()
        await self.ask(self.owner, "new", 12)
        self.assert_within_budget("new")

    async def test_once_the_outage_is_over_new_programs_count_from_zero(self):
        """Each loss of a standby would cost new programs half of a budget."""
        self.world.store.faults.down = True
        await self.owner.owner.replicate_changes()
        self.world.store.faults.down = False
        await self.owner.owner.replicate_changes()
        self.world.kill(self.standby.name)
        await self.ask(self.owner, "old", 1)
        for _ in range(3):
            await self.owner.reconciler.reconcile()
        self.assertTrue(await self.world.turn("a", "new"))
        account = self.owner.owner.owned()[SHARD].accounts.get("new")
        self.assertTrue(account.counts_from_start)


class LeavingStandbyTest(HostsCase):
    """A program got a part of its budget twice around a planned stop.

    A standby that stops says so with its next copy. The owner names another one
    and counts nothing for the one that leaves. That one is cut off from the
    store, does not learn of it, and acts as soon as it misses its owner.
    """

    async def test_a_standby_that_has_said_that_it_stops_does_not_act(self):
        self.standby.stop()
        await self.ask(self.owner, "old", 1)
        await self.world.end_turn(20)
        await self.owner.owner.replicate_changes()
        self.assertTrue(self.owner.owner.owned()[SHARD].is_standby_leaving)
        self.standby.store.is_cut = True
        await self.owner.reconciler.reconcile()
        self.cut("a", self.standby.name)
        self.assertEqual(await self.ask(self.standby, "old", 6), 0)


class ReplacedOwnerTest(HostsCase):
    """A program got a part of its budget twice from two owners.

    Another host takes the shard over and seals the standby. A turn of a new
    program reaches the old owner, which asks the sealed standby in vain: the
    turn is refused, and the program has an account there. The old owner then
    loses the store, goes alone, and admits that program up to its share. The
    new owner knows nothing of it and counts from zero.

    Lines: ``copy_sealed`` with one account, ``copy_refused`` at the old owner,
    ``shard_alone`` there with two programs.
    """

    async def test_alone_it_gives_only_what_its_standby_had_agreed_to(self):
        record = self.owner.map.get(SHARD).record
        self.standby.acting.seal(SealRequest(SHARD, record.epoch))
        self.assertEqual(await self.ask(self.owner, "new", 1), 0)
        self.owner.store.is_cut = True
        await self.owner.reconciler.reconcile()
        self.assertIsNotNone(self.owner.owner.owned()[SHARD].isolation)
        self.assertEqual(await self.ask(self.owner, "new", 6), 0)
        self.assertGreater(await self.ask(self.owner, "old", 3), 0)


class HandOverTest(HostsCase):
    """A shard that its owner offers to another host at a planned stop."""

    budget = 1500

    def other(self):
        """Returns a host that is neither the owner nor the standby."""
        taken = (self.owner, self.standby)
        processes = self.world.process_by_name.values()
        return next(p for p in processes if p not in taken)

    async def test_the_standby_of_before_does_not_act_after_it(self):
        """A program got a part of its budget twice around a planned stop.

        The owner gives its shard with exact accounts to another host and ends.
        Its standby is cut off from the store and does not learn of it. Callers
        there miss the owner, the standby acts with the old epoch, and nobody
        counts what it gives.

        Lines: ``shard_handed_over`` without a failure, ``stopped``, then
        ``shard_acted_for`` with the epoch before at the standby.
        """
        self.standby.store.is_cut = True
        self.owner.stop()
        await self.owner.reconciler.hand_over_all()
        self.world.kill("a")
        taker = next(
            p
            for p in self.world.process_by_name.values()
            if SHARD in p.owner.owned()
        )
        for _ in range(5):
            if await self.ask(self.standby, "old", 1):
                await self.world.end_turn(MAX_TURN_TOKENS)
        for _ in range(16):
            if await self.ask(taker, "old", 1):
                await self.world.end_turn(MAX_TURN_TOKENS)
        self.assert_within_budget("old")

    async def test_a_host_that_owned_the_shard_before_counts_what_it_is_offered(
        self,
    ):
        """A program got its budget a second time after a planned stop.

        A host was cut off and replaced as the owner, and does not know it yet.
        The new owner stops and offers the shard to just that host. It took its
        own old accounts for newer than the offered ones, and wrote an epoch
        that had been used before.

        Lines: ``shard_taken`` twice with the same epoch, the second time with
        fewer accounts than ``shard_handed_over`` names.
        """
        self.world.partitions |= {frozenset(("a", n)) for n in "bcd"}
        for _ in range(2):
            await self.ask(self.standby, "new", 2)
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
        given = self.world.granted_by_program["new"]
        self.assertEqual(account.committed_tokens, sum(given.values()))


class TakeoverTest(HostsCase):
    async def test_a_sealed_standby_that_acted_has_counted_its_owner_once(self):
        """Programs were told 402 too early after an outage.

        A standby that acted returns accounts in which the share of its lost
        owner counts as spent. Whoever took the shard over counted that share
        once more, also for programs that the owner had never known.
        """
        self.world.store.faults.down = True
        await self.owner.owner.replicate_changes()
        self.world.kill("a")
        await self.ask(self.standby, "new", 3)
        await self.standby.reconciler.reconcile()
        self.assertGreater(await self.ask(self.standby, "new", 1), 0)
        self.standby.store.is_cut = True
        self.world.store.faults.down = False
        acted = self.standby.owner.owned()[SHARD].states_with_peer_spending()
        taker = next(
            p
            for p in self.world.process_by_name.values()
            if p is not self.standby
        )
        await self.ask(taker, "old", 1)
        self.world.kill(self.standby.name)
        self.world.process_by_name[self.standby.name] = self.standby
        await taker.reconciler.reconcile()
        accounts = taker.owner.owned()[SHARD].accounts
        for state in acted:
            with self.subTest(program=state.program_id):
                account = accounts.get(state.program_id)
                self.assertEqual(account.spent_tokens, state.spent_tokens)


class AnyOrderTest(unittest.TestCase):
    def check(self, seed, budget):
        # Not a test's own loop, whose debug mode takes twenty times as long.
        world = asyncio.run(run_plan(budget, random_steps(seed, _EVENTS)))
        self.assertEqual(world.overspent(), {}, f"seed {seed}")

    def test_old_plans(self):
        for seed, turns in _OLD_SEEDS:
            with self.subTest(seed=seed):
                self.check(seed, int(turns * MAX_TURN_TOKENS))

    def test_no_order_hands_out_more_than_the_budget_and_one_turn(self):
        """A program that loops would be served beyond what its caller set.

        Links are cut or lose answers, the store is down, cut off from some, or
        does writes without an answer; hosts are killed, stopped and started:
        in any order, overlapping, with programs that begin at any time.
        """
        for seed in _SEEDS:
            with self.subTest(seed=seed):
                self.check(seed, int(1.5 * (1 + seed % 8) * MAX_TURN_TOKENS))


if __name__ == "__main__":
    unittest.main()
