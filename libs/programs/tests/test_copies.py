"""Tests of copies: acknowledged in an outage, sealed by a taker, not lost."""

import asyncio
import unittest

from returns.result import Success

from masticdale_common import ErrorKind
from masticdale_platform.testing import MemoryStore
from masticdale_programs import CopyBatch, CopyEntry, CopyStore, choose_holders
from masticdale_programs.records import ProgramForgotten
from masticdale_programs.takeovers import open_journal
from masticdale_programs.testing_hosts import HostCopies, HostFaults, HostStore
from masticdale_programs.testing_time import run

SHARD = 3


def record(name):
    return ProgramForgotten(name)


def batch(epoch, drained, after, *sequences):
    entries = [CopyEntry(n, (record(f"p{n}"),)) for n in sequences]
    return CopyBatch(SHARD, epoch, drained, after, tuple(entries))


class CopyStoreTest(unittest.TestCase):
    def setUp(self):
        self.store = CopyStore(limit_bytes=2000)
        self.store.put(batch(1, 4, 4))

    def refused_as(self, given):
        return self.store.put(given).failure().kind

    def sealed_sequences(self, epoch=2):
        sealed = self.store.seal(SHARD, epoch).unwrap()
        return [entry.sequence for entry in sealed.entries]

    def test_drained_commits_are_dropped_and_later_ones_kept(self):
        self.store.put(batch(1, 4, 4, 5, 6, 7))
        self.store.put(batch(1, 6, 7))
        self.assertEqual(self.sealed_sequences(), [7])

    def test_sent_again_is_held_once(self):
        self.store.put(batch(1, 4, 4, 5))
        self.store.put(batch(1, 4, 4, 5, 6))
        self.assertEqual(self.sealed_sequences(), [5, 6])

    def test_gap_is_refused(self):
        self.assertIs(self.refused_as(batch(1, 4, 5, 6)), ErrorKind.NOT_FOUND)

    def test_restarted_holder_does_not_begin_in_the_middle(self):
        # Commit 5 was acknowledged and lost by the restart. Had the holder
        # taken commit 6, a taker would believe that it is all there was.
        self.store = CopyStore()
        self.assertIs(self.refused_as(batch(1, 4, 5, 6)), ErrorKind.NOT_FOUND)
        self.assertIs(self.refused_as(batch(1, 4, 5)), ErrorKind.NOT_FOUND)
        sealed = self.store.seal(SHARD, 1)
        self.assertIs(sealed.failure().kind, ErrorKind.NOT_FOUND)
        self.assertIsInstance(self.store.put(batch(1, 4, 4, 5, 6)), Success)

    def test_sealed_holder_refuses_earlier_epochs(self):
        self.store.seal(SHARD, 2)
        self.assertIs(self.refused_as(batch(1, 4, 4, 5)), ErrorKind.NOT_OWNER)

    def test_full_store_refuses(self):
        big = batch(1, 4, 4, *range(5, 105))
        self.assertIs(self.refused_as(big), ErrorKind.OVERLOADED)

    def test_holders_stand_in_domains_of_their_own(self):
        domains = {"a1": "a", "a2": "a", "b1": "b", "b2": "b", "c1": "c"}
        chosen = choose_holders(SHARD, "a1", domains, ("b2",))
        self.assertEqual(chosen, ("b2", "c1"))
        del domains["c1"]
        self.assertEqual(choose_holders(SHARD, "a1", domains, ()), ())


class World:
    """One store, three holders, journals of several hosts."""

    def __init__(self):
        self.store = MemoryStore()
        self.holders = {name: CopyStore() for name in ("c1", "c2", "c3")}
        self.found = []

    async def open(self, **options):
        self.found = []
        self.faults = HostFaults()
        opened = await open_journal(
            HostStore(self.store, self.faults),
            SHARD,
            "host",
            "process",
            lambda added: self.found.append(added.program_id),
            HostCopies(self.holders, self.faults),
            **options,
        )
        if isinstance(opened, Success):
            await opened.unwrap().refresh_copy_holders()
        return opened

    async def start(self):
        journal = (await self.open()).unwrap()
        await journal.commit([record("p1")])
        self.faults.is_partitioned = True
        return journal


class WriteBehindTest(unittest.TestCase):
    def test_owner_that_dies_in_an_outage_loses_nothing(self):
        # Two commits were acknowledged while the platform was down; then the
        # owner and one of its holders died. The taker has both commits.
        async def check():
            world = World()
            journal = await world.start()
            for name in ("p2", "p3"):
                outcome = await journal.commit([record(name)])
                self.assertIsInstance(outcome, Success)
            await journal.close()
            del world.holders[journal.copy_holders[0]]
            await (await world.open()).unwrap().close()
            self.assertEqual(world.found, ["p1", "p2", "p3"])

        run(check())

    def test_owner_that_was_cut_off_cannot_acknowledge_after_a_takeover(self):
        # Only the owner is cut off from the platform. A taker that had not
        # sealed a holder would never hear of what the owner says is done.
        async def check():
            world = World()
            journal = await world.start()
            await journal.commit([record("p2")])
            taker = (await world.open()).unwrap()
            late = asyncio.create_task(journal.commit([record("p3")]))
            await asyncio.sleep(30)
            self.assertFalse(late.done())
            self.assertIsNotNone(journal.admission_failure())
            self.assertEqual(world.found, ["p1", "p2"])
            await journal.close()
            await taker.close()

        run(check())

    def test_intent_is_refused_in_an_outage(self):
        async def check():
            world = World()
            journal = await world.start()
            await journal.commit([record("p2")])
            intent = journal.commit([record("i")], needs_platform=True)
            kind = (await intent).failure().kind
            self.assertIs(kind, ErrorKind.PLATFORM_UNAVAILABLE)
            await journal.close()
            await (await world.open()).unwrap().close()
            self.assertNotIn("i", world.found)

        run(check())

    def test_intent_under_way_when_the_outage_begins_is_not_acknowledged(self):
        # Its write may have reached the platform, so its commit is copied
        # whole; but the call must not be sent, and its owner voids it.
        async def check():
            world = World()
            journal = await world.start()
            intent = await journal.commit([record("i")], needs_platform=True)
            self.assertIs(intent.failure().kind, ErrorKind.WRITE_UNKNOWN)
            await journal.close()

        run(check())

    def test_return_of_the_platform_drains_in_order(self):
        async def check():
            world = World()
            journal = await world.start()
            names = [f"p{n}" for n in range(2, 9)]
            for name in names:
                await journal.commit([record(name)])
            world.faults.is_partitioned = False
            await asyncio.sleep(10)
            self.assertEqual(journal.backlog_bytes, 0)
            await journal.refresh_copy_holders()
            held = [store.held_bytes for store in world.holders.values()]
            self.assertEqual(held, [0, 0, 0])
            await journal.close()
            world.holders.clear()
            await (await world.open(forced=True)).unwrap().close()
            self.assertEqual(world.found, ["p1", *names])

        run(check())

    def test_without_a_holder_calls_are_refused_before_they_run(self):
        async def check():
            world = World()
            journal = await world.start()
            del world.holders[journal.copy_holders[0]]
            commit = asyncio.create_task(journal.commit([record("p2")]))
            await asyncio.sleep(5)
            self.assertFalse(commit.done())
            kind = journal.admission_failure().kind
            self.assertIs(kind, ErrorKind.PLATFORM_UNAVAILABLE)
            await journal.close()

        run(check())

    def test_slow_platform_is_waited_for_while_a_holder_restarts(self):
        # Callers were refused in a rolling restart beside heavy load. The
        # platform took longer than the time after which commits are copied,
        # and a copy holder was being restarted; no call had failed.
        async def check():
            world = World()
            journal = (await world.open()).unwrap()
            await journal.commit([record("p1")])
            del world.holders[journal.copy_holders[0]]
            world.store.faults.delay_s = 1.0
            commit = asyncio.create_task(journal.commit([record("p2")]))
            await asyncio.sleep(0.8)
            self.assertFalse(commit.done())
            self.assertIsNone(journal.admission_failure())
            intent = await journal.commit([record("i")], needs_platform=True)
            self.assertIsInstance(intent, Success)
            self.assertIsInstance(await commit, Success)
            await journal.close()
            world.store.faults.delay_s = 0.0
            await (await world.open(forced=True)).unwrap().close()
            self.assertEqual(world.found, ["p1", "p2", "i"])

        run(check())

    def test_waiting_intent_is_refused_once_the_platform_fails(self):
        # Its call must not be sent on copies alone, and its caller is told at
        # once that it was not run.
        async def check():
            world = World()
            journal = (await world.open()).unwrap()
            await journal.commit([record("p1")])
            world.store.faults.delay_s = 1.0
            commit = asyncio.create_task(journal.commit([record("p2")]))
            await asyncio.sleep(0.8)
            intent = asyncio.create_task(
                journal.commit([record("i")], needs_platform=True)
            )
            world.faults.is_partitioned = True
            world.store.faults.delay_s = 0.0
            kind = (await intent).failure().kind
            self.assertIs(kind, ErrorKind.PLATFORM_UNAVAILABLE)
            self.assertIsInstance(await commit, Success)
            await journal.close()

        run(check())

    def test_refusals_end_with_the_outage_although_a_holder_is_gone(self):
        # Callers were refused for ever after an outage: the journal learnt
        # that the platform is back only from a write, and refused every call
        # that would have led to one.
        async def check():
            world = World()
            journal = await world.start()
            del world.holders[journal.copy_holders[0]]
            commit = asyncio.create_task(journal.commit([record("p2")]))
            await asyncio.sleep(5)
            self.assertIsNotNone(journal.admission_failure())
            world.faults.is_partitioned = False
            self.assertIsInstance(await commit, Success)
            await journal.probe_platform()
            self.assertIsNone(journal.admission_failure())
            await journal.close()

        run(check())

    def test_restarted_holder_gets_everything_again(self):
        # One holder lost its copies in the outage and the other one died
        # after it: the taker must still find every acknowledged commit.
        async def check():
            world = World()
            journal = await world.start()
            await journal.commit([record("p2")])
            first, second = journal.copy_holders
            world.holders[first] = CopyStore()
            outcome = await journal.commit([record("p3")])
            self.assertIsInstance(outcome, Success)
            await journal.close()
            del world.holders[second]
            await (await world.open()).unwrap().close()
            self.assertEqual(world.found, ["p1", "p2", "p3"])

        run(check())

    def test_taker_without_copies_fails_unless_it_is_forced(self):
        async def check():
            world = World()
            journal = await world.start()
            await journal.commit([record("p2")])
            await journal.close()
            for name in journal.copy_holders:
                world.holders[name] = CopyStore()
            refused = await world.open()
            self.assertIn("may be lost", refused.failure().detail)
            await (await world.open(forced=True)).unwrap().close()
            self.assertEqual(world.found, ["p1"])

        run(check())

    def test_holders_sealed_by_a_taker_that_died_serve_again(self):
        # A taker sealed the holders and died before it took the head. The
        # owner raises its epoch, or the next outage would stop its programs.
        async def check():
            world = World()
            journal = await world.start()
            world.faults.is_partitioned = False
            for store in world.holders.values():
                store.seal(SHARD, journal.epoch + 1)
            for _ in range(2):
                await journal.refresh_copy_holders()
            world.faults.is_partitioned = True
            outcome = await journal.commit([record("p2")])
            self.assertIsInstance(outcome, Success)
            await journal.close()

        run(check())


if __name__ == "__main__":
    unittest.main()
