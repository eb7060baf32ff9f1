"""Budgets over hosts that are cut off, stopped and killed in any order."""

import asyncio
import unittest

from hosts_case import MOST, SHARD, World, play, random_steps, simulated

from masticdale_ledger.messages import SealRequest

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
)


class HostsCase(unittest.IsolatedAsyncioTestCase):
    """Four hosts; the first to look owns the shard, another is its standby."""

    async def asyncSetUp(self):
        self.world = World(budget=750)
        self.enterContext(simulated(self.world))
        await self.world.begin()
        record = self.world.process_by_name["a"].map.get(SHARD).record
        self.owner = self.world.process_by_name["a"]
        standby = self.world.names[record.standby_port]
        self.standby = self.world.process_by_name[standby]
        await self.owner.owner.copy_changed()
        await self.world.turn("a", "old")
        await self.world.end_turn(20)
        await self.owner.owner.copy_changed()

    def cut(self, *names):
        self.world.cuts.add(frozenset(names))

    async def ask(self, process, program, count):
        """Returns how many turns of a program a host's callers are given."""
        given = 0
        for _ in range(count):
            self.world.clock.now_s += 0.31
            given += await self.world.turn(process.name, program)
            await self.world.step("programs", 0, 0)
        return given

    def assert_within_budget(self, program):
        given = self.world.given_by_program.get(program, {})
        self.assertLessEqual(sum(given.values()), self.world.budget + MOST)


class CutOffStandbyTest(HostsCase):
    """A program got 1.5 times its budget from two hosts.

    A standby is cut off from its owner and from the store; callers still reach
    it. It takes the owner for lost and the store for down, acts, and takes new
    programs. The owner reaches the store, names another standby, and counts
    the same programs from zero when their next turns arrive there.
    """

    async def test_cut_off_alone_it_takes_no_new_programs(self):
        self.cut("a", self.standby.name)
        self.standby.store.is_cut = True
        given = await self.ask(self.standby, "new", 6)
        await self.standby.keeper.look()
        given += await self.ask(self.standby, "new", 6)
        self.assertEqual(given, 0)
        # The programs that both know go on.
        self.assertGreater(await self.ask(self.standby, "old", 3), 0)

    async def test_after_an_outage_its_owner_counts_what_it_may_have_given(
        self,
    ):
        self.world.store.faults.down = True
        await self.owner.owner.copy_changed()
        await self.ask(self.owner, "old", 1)
        self.cut("a", self.standby.name)
        await self.ask(self.standby, "new", 2)
        await self.standby.keeper.look()
        self.assertGreater(await self.ask(self.standby, "new", 6), 0)
        # The store is back for the owner alone.
        self.standby.store.is_cut = True
        self.world.store.faults.down = False
        await self.ask(self.owner, "old", 1)
        for _ in range(3):
            await self.owner.keeper.look()
        await self.ask(self.owner, "new", 12)
        self.assert_within_budget("new")

    async def test_once_the_outage_is_over_new_programs_count_from_zero(self):
        """Each loss of a standby would cost new programs half of a budget."""
        self.world.store.faults.down = True
        await self.owner.owner.copy_changed()
        self.world.store.faults.down = False
        await self.owner.owner.copy_changed()
        self.world.kill(self.standby.name)
        await self.ask(self.owner, "old", 1)
        for _ in range(3):
            await self.owner.keeper.look()
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
        await self.owner.owner.copy_changed()
        self.assertTrue(self.owner.owner.owned()[SHARD].is_standby_leaving)
        self.standby.store.is_cut = True
        await self.owner.keeper.look()
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
        await self.owner.keeper.look()
        self.assertIsNotNone(self.owner.owner.owned()[SHARD].alone)
        self.assertEqual(await self.ask(self.owner, "new", 6), 0)
        self.assertGreater(await self.ask(self.owner, "old", 3), 0)


class AnyOrderTest(unittest.TestCase):
    def check(self, seed, budget):
        # Not a test's own loop, whose debug mode takes twenty times as long.
        world = asyncio.run(play(budget, random_steps(seed, _EVENTS)))
        self.assertEqual(world.overspent(), {}, f"seed {seed}")

    def test_old_plans(self):
        for seed, turns in _OLD_SEEDS:
            with self.subTest(seed=seed):
                self.check(seed, int(turns * MOST))

    def test_no_order_hands_out_more_than_the_budget_and_one_turn(self):
        """A program that loops would be served beyond what its caller set.

        Links are cut or lose answers, the store is down, cut off from some, or
        does writes without an answer; hosts are killed, stopped and started:
        in any order, overlapping, with programs that begin at any time.
        """
        for seed in _SEEDS:
            with self.subTest(seed=seed):
                self.check(seed, int(1.5 * (1 + seed % 8) * MOST))


if __name__ == "__main__":
    unittest.main()
