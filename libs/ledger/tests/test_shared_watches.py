"""Tests of hosts that follow the store watches of other hosts."""

import asyncio
import random
import unittest
from unittest import mock

from returns.result import Failure as Failed
from returns.result import Success

from masticdale_common import ErrorKind, Failure, Metrics
from masticdale_ledger.fallback_store import FallbackStore
from masticdale_ledger.peer_store import serve_store
from masticdale_ledger.shared_watches import SharedWatches
from masticdale_platform import CheckIntervals, StoredObject, WatchBatch
from masticdale_platform.testing import MemoryStore

PREFIX = "a/"


class CountingStore(MemoryStore):
    """A store that counts the watches that reach it."""

    def __init__(self):
        super().__init__()
        self.watches = 0

    async def watch(self, prefix, position, wait_s):
        self.watches += 1
        return await super().watch(prefix, position, wait_s)


class WatchSource:
    """A host that watches the store and serves the results to followers."""

    def __init__(self, store):
        self.shared = SharedWatches()
        self.store = FallbackStore(store, list, Metrics(), None, self.shared)
        self.direct = store
        self.is_unresponsive = False
        self.position = 0

    async def step(self, wait_s=0.0):
        outcome = await self.store.watch(PREFIX, self.position, wait_s)
        if isinstance(outcome, Failed):
            self.position = 0
        else:
            self.position = outcome.unwrap().position

    async def call(self, rpc, request, timeout_s):
        if self.is_unresponsive:
            await asyncio.sleep(timeout_s)
            return Failed(Failure(ErrorKind.PEER_UNAVAILABLE, "silent"))
        # The checks of its watch, which these tests do not run.
        self.shared.confirm(PREFIX, self.position, 0.0)
        return Success(await serve_store(self.direct, request, self.shared))


class FollowingTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.direct = CountingStore()
        self.watch_sources = [WatchSource(self.direct) for _ in range(2)]
        await self.direct.write("a/x", b"1", 0)
        for source in self.watch_sources:
            await source.step()
        self.store = FallbackStore(
            self.direct, list, Metrics(), self.watch_sources
        )
        self.direct.watches = 0

    async def test_a_hanging_watch_ends_when_a_source_has_the_store_again(
        self,
    ):
        """Guards against old owners and replicas used after an outage.

        The store falls silent: the sources say so, and the follower asks the
        store, whose watch hangs. The outage is over before that times out.
        """
        batch = (await self.store.watch(PREFIX, 0, 5.0)).unwrap()
        for source in self.watch_sources:
            source.shared.mark_store_unreachable()
        hanging = asyncio.create_task(
            self.store.watch(PREFIX, batch.position, 28.0)
        )
        await asyncio.sleep(0.5)
        for source in self.watch_sources:
            source.shared.mark_store_reachable()
        async with asyncio.timeout(1.5):
            outcome = await hanging
        # A failure, so that the watch begins again from a list and replicas
        # that lapsed in the outage are kept for a while.
        self.assertIsInstance(outcome, Failed)
        async with asyncio.timeout(0.5):
            again = await self.store.watch(PREFIX, 0, 28.0)
        self.assertTrue(again.unwrap().is_snapshot)

    async def test_a_watch_does_not_hang_if_the_store_is_lost_meanwhile(self):
        """Guards against an owner that probes a lost store only 6 s later.

        A call finds the store lost while the watches still wait for silent
        sources. They must not ask it with their long wait then.
        """
        batch = (await self.store.watch(PREFIX, 0, 5.0)).unwrap()
        for source in self.watch_sources:
            source.is_unresponsive = True
        hanging = asyncio.create_task(
            self.store.watch(PREFIX, batch.position, 28.0)
        )
        await asyncio.sleep(0.2)
        self.direct.faults.down = True
        await self.store.read("a/x")
        self.assertFalse(self.store.is_directly_reachable)
        self.direct.faults.down = False
        async with asyncio.timeout(2.0):
            self.assertIsInstance(await hanging, Failed)

    async def test_a_silent_source_is_replaced_by_one_that_answers(self):
        """Guards against replicas kept as if the store had been away.

        The store was never lost, so that this is no failure: after one, what
        is missing from the list would be used for two seconds more.
        """
        batch = (await self.store.watch(PREFIX, 0, 5.0)).unwrap()
        self.watch_sources[0].is_unresponsive = True
        async with asyncio.timeout(4.0):
            outcome = await self.store.watch(PREFIX, batch.position, 28.0)
        self.assertEqual(outcome.unwrap().position, batch.position)

    async def test_a_follower_makes_no_store_calls(self):
        """Guards against a load on the store that grows with the hosts."""
        batch = (await self.store.watch(PREFIX, 0, 5.0)).unwrap()
        self.assertTrue(batch.is_snapshot)
        self.assertEqual([s.value for s in batch.changed], [b"1"])
        waiting = asyncio.create_task(
            self.store.watch(PREFIX, batch.position, 5.0)
        )
        await asyncio.sleep(0.05)
        await self.direct.write("a/y", b"2", 0)
        for source in self.watch_sources:
            await source.step()
        newer = (await waiting).unwrap()
        self.assertFalse(newer.is_snapshot)
        self.assertEqual({s.key: s.value for s in newer.changed}, {"a/y": b"2"})
        self.assertEqual(newer.deleted_keys, ())
        self.assertEqual(self.direct.watches, 2)

    async def test_a_deleted_object_is_reported_to_followers(self):
        first = (await self.store.watch(PREFIX, 0, 5.0)).unwrap()
        found = (await self.direct.read("a/x")).unwrap()
        await self.direct.delete("a/x", found.version)
        for source in self.watch_sources:
            await source.step()
        later = (await self.store.watch(PREFIX, first.position, 5.0)).unwrap()
        self.assertEqual(later.deleted_keys, ("a/x",))
        self.assertEqual(later.changed, ())
        again = (await self.store.watch(PREFIX, 0, 5.0)).unwrap()
        self.assertTrue(again.is_snapshot)
        self.assertEqual(again.changed, ())

    async def test_an_unresponsive_source_costs_one_timeout(self):
        """Guards against changes that take effect late on followers.

        After one timeout of a source, the follower asks the store itself.
        """
        first = (await self.store.watch(PREFIX, 0, 5.0)).unwrap()
        for source in self.watch_sources:
            source.is_unresponsive = True
        await self.direct.write("a/y", b"2", 0)
        loop = asyncio.get_running_loop()
        began = loop.time()
        later = (await self.store.watch(PREFIX, first.position, 5.0)).unwrap()
        self.assertLess(loop.time() - began, 1.5)
        self.assertEqual([s.key for s in later.changed], ["a/y"])

    async def test_after_a_source_without_the_store_the_next_is_asked(self):
        """Guards against followers that keep outdated lists of replicas."""
        first = (await self.store.watch(PREFIX, 0, 5.0)).unwrap()
        for source in self.watch_sources:
            source.shared.mark_store_unreachable()
        await self.direct.write("a/y", b"2", 0)
        await self.watch_sources[1].step()
        later = (await self.store.watch(PREFIX, first.position, 5.0)).unwrap()
        self.assertEqual(later.position, self.watch_sources[1].position)
        self.assertEqual(self.direct.watches, 1)

    async def test_followers_of_partitioned_sources_ask_the_store_at_once(self):
        """Guards against followers that take their sources' loss for an outage.

        They reach the store themselves and must ask it without delay.
        """
        first = (await self.store.watch(PREFIX, 0, 5.0)).unwrap()
        for source in self.watch_sources:
            source.shared.mark_store_unreachable()
        position = first.position
        for number in range(5):
            await self.direct.write(f"a/new-{number}", b"2", 0)
            async with asyncio.timeout(0.2):
                outcome = await self.store.watch(PREFIX, position, 5.0)
            position = outcome.unwrap().position
        self.assertEqual(position, first.position + 5)

    async def test_changes_that_a_source_received_by_relay_are_served(self):
        """Guards against new work for a replica that is leaving.

        A source must also serve the changes that it received through another
        host while it could not reach the store.
        """
        first = (await self.store.watch(PREFIX, 0, 5.0)).unwrap()
        source = self.watch_sources[0]
        self.watch_sources[1].is_unresponsive = True
        source.shared.mark_store_unreachable()
        found = (await self.direct.read("a/x")).unwrap()
        await self.direct.write("a/x", b"leaves", found.version)
        relayed = (await self.direct.watch(PREFIX, source.position, 0)).unwrap()
        source.shared.apply(PREFIX, source.position, relayed)
        source.position = relayed.position
        await self.direct.write("a/y", b"2", 0)
        await source.step()
        later = (await self.store.watch(PREFIX, first.position, 5.0)).unwrap()
        self.assertEqual(
            {s.key: s.value for s in later.changed},
            {"a/x": b"leaves", "a/y": b"2"},
        )

    async def test_a_source_with_a_gap_in_its_changes_serves_none(self):
        source = self.watch_sources[0]
        found = (await self.direct.read("a/x")).unwrap()
        await self.direct.write("a/x", b"leaves", found.version)
        missed = (await self.direct.watch(PREFIX, source.position, 0)).unwrap()
        source.position = missed.position
        await self.direct.write("a/y", b"2", 0)
        await source.step()
        outcome = await source.shared.wait_newer(PREFIX, 0, 0.0)
        self.assertIs(outcome.failure().kind, ErrorKind.NOT_FOUND)

    async def test_a_list_older_than_the_known_position_is_rejected(self):
        """Guards against a replica that is leaving but looks ready again.

        The follower lists everything again at another source, whose own watch
        has stalled for longer.
        """
        await self.direct.write("a/y", b"2", 0)
        await self.watch_sources[0].step()
        newest = (await self.store.watch(PREFIX, 0, 5.0)).unwrap()
        self.assertEqual(newest.position, self.watch_sources[0].position)
        self.watch_sources[0].shared.mark_store_unreachable()
        again = (await self.store.watch(PREFIX, 0, 5.0)).unwrap()
        self.assertGreaterEqual(again.position, newest.position)
        self.assertEqual(len(again.changed), 2)

    async def test_a_source_with_an_older_position_returns_no_changes(self):
        await self.direct.write("a/y", b"2", 0)
        await self.watch_sources[0].step()
        newest = self.watch_sources[0].position
        self.watch_sources[0].is_unresponsive = True
        outcome = await self.watch_sources[1].shared.wait_newer(
            PREFIX, newest, 0.05
        )
        batch = outcome.unwrap()
        self.assertEqual((batch.position, batch.changed), (newest, ()))
        self.assertFalse(batch.is_snapshot)


class UnconfirmedStateTest(unittest.IsolatedAsyncioTestCase):
    """Guards against followers of a source whose watch has stopped."""

    INTERVALS = CheckIntervals(default_s=0.1)

    async def asyncSetUp(self):
        self.shared = SharedWatches(self.INTERVALS)
        self.shared.mark_store_reachable()
        self.shared.apply(PREFIX, 0, WatchBatch(7, (), (), is_snapshot=True))

    async def test_state_that_was_not_confirmed_is_not_served(self):
        await asyncio.sleep(self.INTERVALS.max_age_s(PREFIX) + 0.05)
        outcome = await self.shared.wait_newer(PREFIX, 0, 0.0)
        self.assertIs(outcome.failure().kind, ErrorKind.NOT_FOUND)
        self.shared.confirm(PREFIX, 7, 0.0)
        self.assertEqual(
            (await self.shared.wait_newer(PREFIX, 0, 0.0)).unwrap().position, 7
        )

    async def test_followers_learn_the_age_of_the_state(self):
        self.shared.confirm(PREFIX, 7, 0.0)
        await asyncio.sleep(0.2)
        outcome = await self.shared.wait_newer(PREFIX, 7, 0.0)
        self.assertGreaterEqual(outcome.unwrap().age_s, 0.2)

    async def test_an_older_position_confirms_nothing(self):
        await asyncio.sleep(0.2)
        self.shared.confirm(PREFIX, 6, 0.0)
        outcome = await self.shared.wait_newer(PREFIX, 7, 0.0)
        self.assertGreaterEqual(outcome.unwrap().age_s, 0.2)


class ChangesTest(unittest.IsolatedAsyncioTestCase):
    """Guards against watch sources that send whole lists at each change.

    With hundreds of followers and thousands of replicas, one change took
    megabytes from a source and most of its memory.
    """

    def setUp(self):
        self.shared = SharedWatches()
        self.shared.mark_store_reachable()
        self.position = 0

    def apply(self, changed=(), deleted=(), is_snapshot=False):
        before = self.position
        self.position += max(1, len(changed))
        objects = tuple(
            StoredObject(f"a/{name}", before + number, b"{}")
            for number, name in enumerate(changed, start=1)
        )
        keys = tuple(f"a/{name}" for name in deleted)
        batch = WatchBatch(self.position, objects, keys, is_snapshot)
        self.shared.apply(PREFIX, before, batch)

    async def read(self, position):
        outcome = await self.shared.wait_newer(PREFIX, position, 0.0)
        return outcome.unwrap()

    async def test_only_changes_are_sent(self):
        self.apply([f"r{n}" for n in range(1000)], is_snapshot=True)
        first = await self.read(0)
        self.assertEqual((first.is_snapshot, len(first.changed)), (True, 1000))
        self.apply(["r7"])
        later = await self.read(first.position)
        self.assertFalse(later.is_snapshot)
        self.assertEqual([s.key for s in later.changed], ["a/r7"])

    async def test_what_was_deleted_and_created_again_is_not_deleted(self):
        """Guards against the loss of a replica that came back."""
        self.apply(["x"], is_snapshot=True)
        first = await self.read(0)
        self.apply(deleted=["x"])
        self.apply(["x"])
        later = await self.read(first.position)
        self.assertEqual(later.deleted_keys, ())
        self.assertEqual([s.key for s in later.changed], ["a/x"])

    async def test_a_follower_from_before_the_list_gets_a_list(self):
        """The source does not know what was deleted before its list."""
        self.position = 10
        self.apply(["x"], is_snapshot=True)
        self.assertTrue((await self.read(5)).is_snapshot)

    async def test_forgotten_deletions_lead_to_a_list(self):
        with mock.patch("masticdale_ledger.shared_watches._MAX_DELETIONS", 3):
            self.apply([f"r{n}" for n in range(6)], is_snapshot=True)
            first = await self.read(0)
            for number in range(5):
                self.apply(deleted=[f"r{number}"])
        old = await self.read(first.position)
        self.assertTrue(old.is_snapshot)
        self.assertEqual([s.key for s in old.changed], ["a/r5"])
        newer = await self.read(self.position - 2)
        self.assertEqual(newer.deleted_keys, ("a/r3", "a/r4"))

    async def test_any_follower_ends_with_the_state_of_the_store(self):
        """Applies random changes; followers read at random moments."""
        rnd = random.Random(4)
        names = [f"r{n}" for n in range(8)]
        followers = [(0, {}) for _ in range(5)]
        state = {}
        with mock.patch("masticdale_ledger.shared_watches._MAX_DELETIONS", 4):
            for step in range(400):
                changed = rnd.sample(names, rnd.randrange(3))
                deleted = [n for n in rnd.sample(names, 2) if n not in changed]
                is_snapshot = step == 0 or rnd.random() < 0.05
                if is_snapshot:
                    changed, deleted, state = names[:4], [], {}
                self.apply(changed, deleted, is_snapshot)
                for number, name in enumerate(changed, start=1):
                    base = self.position - max(1, len(changed))
                    state[f"a/{name}"] = base + number
                for name in deleted:
                    state.pop(f"a/{name}", None)
                for index, (position, seen) in enumerate(followers):
                    if rnd.random() < 0.7:
                        continue
                    batch = await self.read(position)
                    held = {} if batch.is_snapshot else dict(seen)
                    held |= {s.key: s.version for s in batch.changed}
                    for key in batch.deleted_keys:
                        held.pop(key, None)
                    self.assertEqual(held, state, f"step {step}")
                    followers[index] = (batch.position, held)


if __name__ == "__main__":
    unittest.main()
