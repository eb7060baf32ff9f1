"""Tests of copies: acknowledgement in an outage, sealing and takeover."""

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

    def rejection_kind(self, given):
        return self.store.put(given).failure().kind

    def sealed_sequences(self, epoch=2):
        sealed = self.store.seal(SHARD, epoch).unwrap()
        return [entry.sequence for entry in sealed.entries]

    def test_drained_commits_are_dropped_and_later_ones_kept(self):
        self.store.put(batch(1, 4, 4, 5, 6, 7))
        self.store.put(batch(1, 6, 7))
        self.assertEqual(self.sealed_sequences(), [7])

    def test_duplicate_commit_is_stored_once(self):
        self.store.put(batch(1, 4, 4, 5))
        self.store.put(batch(1, 4, 4, 5, 6))
        self.assertEqual(self.sealed_sequences(), [5, 6])

    def test_gap_is_rejected(self):
        self.assertIs(
            self.rejection_kind(batch(1, 4, 5, 6)), ErrorKind.NOT_FOUND
        )

    def test_restarted_holder_rejects_later_commits(self):
        # Commit 5 was acknowledged and lost in a restart. If the holder
        # accepted commit 6, a new owner would miss commit 5.
        self.store = CopyStore()
        self.assertIs(
            self.rejection_kind(batch(1, 4, 5, 6)), ErrorKind.NOT_FOUND
        )
        self.assertIs(self.rejection_kind(batch(1, 4, 5)), ErrorKind.NOT_FOUND)
        sealed = self.store.seal(SHARD, 1)
        self.assertIs(sealed.failure().kind, ErrorKind.NOT_FOUND)
        self.assertIsInstance(self.store.put(batch(1, 4, 4, 5, 6)), Success)

    def test_sealed_holder_rejects_earlier_epochs(self):
        self.store.seal(SHARD, 2)
        self.assertIs(
            self.rejection_kind(batch(1, 4, 4, 5)), ErrorKind.NOT_OWNER
        )

    def test_full_store_rejects(self):
        big = batch(1, 4, 4, *range(5, 105))
        self.assertIs(self.rejection_kind(big), ErrorKind.OVERLOADED)

    def test_holders_are_in_different_failure_domains(self):
        domains = {"a1": "a", "a2": "a", "b1": "b", "b2": "b", "c1": "c"}
        chosen = choose_holders(SHARD, "a1", domains, ("b2",))
        self.assertEqual(chosen, ("b2", "c1"))
        del domains["c1"]
        self.assertEqual(choose_holders(SHARD, "a1", domains, ()), ())


class Cluster:
    """One store, three copy holders, and journals opened by several hosts."""

    def __init__(self):
        self.store = MemoryStore()
        self.holders = {name: CopyStore() for name in ("c1", "c2", "c3")}
        self.committed_ids = []

    async def open(self, **options):
        self.committed_ids = []
        self.faults = HostFaults()
        opened = await open_journal(
            HostStore(self.store, self.faults),
            SHARD,
            "host",
            "process",
            lambda record: self.committed_ids.append(record.program_id),
            HostCopies(self.holders, self.faults),
            **options,
        )
        if isinstance(opened, Success):
            await opened.unwrap().refresh_copy_holders()
        return opened

    async def start_partitioned(self):
        journal = (await self.open()).unwrap()
        await journal.commit([record("p1")])
        self.faults.is_partitioned = True
        return journal


class WriteBehindTest(unittest.TestCase):
    def test_owner_that_fails_in_an_outage_loses_nothing(self):
        # The owner and one holder fail after two commits were acknowledged
        # during an outage. The new owner must have both.
        async def check():
            cluster = Cluster()
            journal = await cluster.start_partitioned()
            for name in ("p2", "p3"):
                outcome = await journal.commit([record(name)])
                self.assertIsInstance(outcome, Success)
            await journal.close()
            del cluster.holders[journal.copy_holders[0]]
            await (await cluster.open()).unwrap().close()
            self.assertEqual(cluster.committed_ids, ["p1", "p2", "p3"])

        run(check())

    def test_partitioned_owner_cannot_acknowledge_after_a_takeover(self):
        # Only the owner is partitioned from the platform. The new owner would
        # miss commits acknowledged by copies if it did not seal a holder.
        async def check():
            cluster = Cluster()
            journal = await cluster.start_partitioned()
            await journal.commit([record("p2")])
            new_owner = (await cluster.open()).unwrap()
            late = asyncio.create_task(journal.commit([record("p3")]))
            await asyncio.sleep(30)
            self.assertFalse(late.done())
            self.assertIsNotNone(journal.admission_failure())
            self.assertEqual(cluster.committed_ids, ["p1", "p2"])
            await journal.close()
            await new_owner.close()

        run(check())

    def test_intent_is_rejected_in_an_outage(self):
        async def check():
            cluster = Cluster()
            journal = await cluster.start_partitioned()
            await journal.commit([record("p2")])
            intent = journal.commit([record("i")], needs_platform=True)
            kind = (await intent).failure().kind
            self.assertIs(kind, ErrorKind.PLATFORM_UNAVAILABLE)
            await journal.close()
            await (await cluster.open()).unwrap().close()
            self.assertNotIn("i", cluster.committed_ids)

        run(check())

    def test_intent_in_flight_when_the_outage_begins_is_unknown(self):
        # Its write may have reached the platform, so the commit is copied.
        # But it is not acknowledged: the call must not be sent.
        async def check():
            cluster = Cluster()
            journal = await cluster.start_partitioned()
            intent = await journal.commit([record("i")], needs_platform=True)
            self.assertIs(intent.failure().kind, ErrorKind.WRITE_UNKNOWN)
            await journal.close()

        run(check())

    def test_backlog_drains_in_order_after_an_outage(self):
        async def check():
            cluster = Cluster()
            journal = await cluster.start_partitioned()
            names = [f"p{n}" for n in range(2, 9)]
            for name in names:
                await journal.commit([record(name)])
            cluster.faults.is_partitioned = False
            await asyncio.sleep(10)
            self.assertEqual(journal.backlog_bytes, 0)
            await journal.refresh_copy_holders()
            held = [store.held_bytes for store in cluster.holders.values()]
            self.assertEqual(held, [0, 0, 0])
            await journal.close()
            cluster.holders.clear()
            await (await cluster.open(forced=True)).unwrap().close()
            self.assertEqual(cluster.committed_ids, ["p1", *names])

        run(check())

    def test_without_a_holder_calls_are_rejected_before_they_run(self):
        async def check():
            cluster = Cluster()
            journal = await cluster.start_partitioned()
            del cluster.holders[journal.copy_holders[0]]
            commit = asyncio.create_task(journal.commit([record("p2")]))
            await asyncio.sleep(5)
            self.assertFalse(commit.done())
            kind = journal.admission_failure().kind
            self.assertIs(kind, ErrorKind.PLATFORM_UNAVAILABLE)
            await journal.close()

        run(check())

    def test_calls_are_accepted_while_platform_is_slow_and_holder_down(self):
        # Calls must not be rejected while writes take longer than the outage
        # threshold and a holder restarts, if no write has failed.
        async def check():
            cluster = Cluster()
            journal = (await cluster.open()).unwrap()
            await journal.commit([record("p1")])
            del cluster.holders[journal.copy_holders[0]]
            cluster.store.faults.delay_s = 1.0
            commit = asyncio.create_task(journal.commit([record("p2")]))
            await asyncio.sleep(0.8)
            self.assertFalse(commit.done())
            self.assertIsNone(journal.admission_failure())
            intent = await journal.commit([record("i")], needs_platform=True)
            self.assertIsInstance(intent, Success)
            self.assertIsInstance(await commit, Success)
            await journal.close()
            cluster.store.faults.delay_s = 0.0
            await (await cluster.open(forced=True)).unwrap().close()
            self.assertEqual(cluster.committed_ids, ["p1", "p2", "i"])

        run(check())

    def test_waiting_intent_is_rejected_once_the_platform_fails(self):
        # An intent must not be acknowledged by copies alone, and its caller
        # must not wait for the end of the outage.
        async def check():
            cluster = Cluster()
            journal = (await cluster.open()).unwrap()
            await journal.commit([record("p1")])
            cluster.store.faults.delay_s = 1.0
            commit = asyncio.create_task(journal.commit([record("p2")]))
            await asyncio.sleep(0.8)
            intent = asyncio.create_task(
                journal.commit([record("i")], needs_platform=True)
            )
            cluster.faults.is_partitioned = True
            cluster.store.faults.delay_s = 0.0
            kind = (await intent).failure().kind
            self.assertIs(kind, ErrorKind.PLATFORM_UNAVAILABLE)
            self.assertIsInstance(await commit, Success)
            await journal.close()

        run(check())

    def test_rejections_end_with_the_outage_while_a_holder_is_down(self):
        # Calls would be rejected forever if only a write could end the
        # outage, because rejected calls cause no write.
        async def check():
            cluster = Cluster()
            journal = await cluster.start_partitioned()
            del cluster.holders[journal.copy_holders[0]]
            commit = asyncio.create_task(journal.commit([record("p2")]))
            await asyncio.sleep(5)
            self.assertIsNotNone(journal.admission_failure())
            cluster.faults.is_partitioned = False
            self.assertIsInstance(await commit, Success)
            await journal.probe_platform()
            self.assertIsNone(journal.admission_failure())
            await journal.close()

        run(check())

    def test_restarted_holder_receives_the_whole_backlog(self):
        # One holder loses its copies in an outage, then the other fails. The
        # new owner must still have every acknowledged commit.
        async def check():
            cluster = Cluster()
            journal = await cluster.start_partitioned()
            await journal.commit([record("p2")])
            first, second = journal.copy_holders
            cluster.holders[first] = CopyStore()
            outcome = await journal.commit([record("p3")])
            self.assertIsInstance(outcome, Success)
            await journal.close()
            del cluster.holders[second]
            await (await cluster.open()).unwrap().close()
            self.assertEqual(cluster.committed_ids, ["p1", "p2", "p3"])

        run(check())

    def test_takeover_without_copies_fails_unless_forced(self):
        async def check():
            cluster = Cluster()
            journal = await cluster.start_partitioned()
            await journal.commit([record("p2")])
            await journal.close()
            for name in journal.copy_holders:
                cluster.holders[name] = CopyStore()
            rejected = await cluster.open()
            self.assertIn("may be lost", rejected.failure().detail)
            await (await cluster.open(forced=True)).unwrap().close()
            self.assertEqual(cluster.committed_ids, ["p1"])

        run(check())

    def test_holders_sealed_by_an_abandoned_takeover_are_used_again(self):
        # A host seals the holders and fails before it replaces the head. The
        # owner must raise its epoch to be able to use the holders.
        async def check():
            cluster = Cluster()
            journal = await cluster.start_partitioned()
            cluster.faults.is_partitioned = False
            for store in cluster.holders.values():
                store.seal(SHARD, journal.epoch + 1)
            for _ in range(2):
                await journal.refresh_copy_holders()
            cluster.faults.is_partitioned = True
            outcome = await journal.commit([record("p2")])
            self.assertIsInstance(outcome, Success)
            await journal.close()

        run(check())


if __name__ == "__main__":
    unittest.main()
