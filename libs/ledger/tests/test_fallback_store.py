"""Tests of store calls that are relayed through another host."""

import asyncio
import unittest

from returns.result import Failure as Failed
from returns.result import Success

from masticdale_common import ErrorKind, Failure, Metrics
from masticdale_ledger.fallback_store import FallbackStore
from masticdale_ledger.messages import StoreRequest
from masticdale_ledger.peer_store import serve_store
from masticdale_platform.testing import MemoryStore
from masticdale_rpc import unavailable


class StubPeer:
    """Another host, which reaches the store itself."""

    def __init__(self, store):
        self.store = store
        self.calls = 0
        self.is_reachable = True

    async def call(self, rpc, request, timeout_s=None):
        del rpc, timeout_s
        self.calls += 1
        if not self.is_reachable:
            return Failed(Failure(ErrorKind.PEER_UNAVAILABLE, "cut off"))
        return Success(await serve_store(self.store, request))


class RemovedPeer:
    """A host that has been removed: no connection can be opened."""

    def __init__(self):
        self.calls = 0

    async def call(self, rpc, request, timeout_s=None):
        self.calls += 1
        return Failed(unavailable("c", "no connection", sent=False))


class FallbackTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.direct = MemoryStore()
        self.peer = StubPeer(MemoryStore())
        self.store = FallbackStore(self.direct, lambda: [self.peer], Metrics())

    async def test_a_reachable_store_is_called_directly(self):
        (await self.store.write("a/x", b"{}", 0)).unwrap()
        self.assertEqual(self.peer.calls, 0)
        self.assertEqual(self.direct.write_count, 1)

    async def test_calls_are_relayed_if_the_store_is_unreachable(self):
        self.direct.faults.down = True
        version = (await self.store.write("a/x", b"{}", 0)).unwrap()
        found = (await self.store.read("a/x")).unwrap()
        self.assertEqual((found.value, found.version), (b"{}", version))
        listed = (await self.store.list("a/")).unwrap()
        self.assertEqual([item.key for item in listed], ["a/x"])
        batch = (await self.store.watch("a/", 0, 0.1)).unwrap()
        self.assertTrue(batch.is_snapshot)
        (await self.store.delete("a/x", version)).unwrap()
        self.assertIsNone((await self.store.read("a/x")).unwrap())

    async def test_relayed_conflicts_and_unknown_outcomes_are_reported(self):
        """Guards against a writer that takes another's record for its own.

        A relayed write must report conflicts and unknown outcomes as a direct
        one does.
        """
        self.direct.faults.down = True
        await self.store.write("a/x", b"{}", 0)
        kind = (await self.store.write("a/x", b"{}", 0)).failure().kind
        self.assertIs(kind, ErrorKind.CONFLICT)
        self.peer.store.faults.lose_write_answers = 1
        kind = (await self.store.write("a/y", b"{}", 0)).failure().kind
        self.assertIs(kind, ErrorKind.WRITE_UNKNOWN)
        self.peer.is_reachable = False
        kind = (await self.store.write("a/z", b"{}", 0)).failure().kind
        self.assertIs(kind, ErrorKind.WRITE_UNKNOWN)

    async def test_a_write_of_unknown_outcome_is_not_sent_again(self):
        self.direct.faults.lose_write_answers = 1
        kind = (await self.store.write("a/x", b"{}", 0)).failure().kind
        self.assertIs(kind, ErrorKind.WRITE_UNKNOWN)
        self.assertEqual(self.peer.calls, 0)

    async def test_calls_fail_fast_if_no_host_reaches_the_store(self):
        """Guards against turns that wait for an unreachable store."""
        self.direct.faults.down = True
        self.peer.store.faults.down = True
        await self.store.read("a/x")
        self.assertTrue(self.store.is_store_unreachable)
        self.direct.faults.delay_s = self.peer.store.faults.delay_s = 5.0
        async with asyncio.timeout(0.5):
            kind = (await self.store.read("a/x")).failure().kind
        self.assertIs(kind, ErrorKind.PLATFORM_UNAVAILABLE)

    async def test_a_relay_that_was_never_reached_is_followed_by_another(self):
        """Guards against a claim that waits a second for a removed host.

        Nothing was sent, so the write has certainly not been done.
        """
        removed = RemovedPeer()
        self.store = FallbackStore(
            self.direct, lambda: [removed, self.peer], Metrics()
        )
        self.direct.faults.down = True
        for number in range(10):
            (await self.store.write(f"a/{number}", b"{}", 0)).unwrap()
        self.assertLessEqual(removed.calls, 1)

    async def test_a_host_without_the_store_relays_no_calls(self):
        """Guards against relayed calls to a store that nobody reaches."""
        (await self.direct.write("a/x", b"{}", 0)).unwrap()
        request = StoreRequest("read", "a/x")
        reply = await serve_store(self.direct, request, can_relay=False)
        self.assertIs(reply.failure.kind, ErrorKind.PLATFORM_UNAVAILABLE)

    async def test_a_watch_detects_that_the_store_is_reachable_again(self):
        self.direct.faults.down = True
        self.peer.store.faults.down = True
        await self.store.read("a/x")
        self.direct.faults.down = False
        async with asyncio.timeout(3.0):
            while self.store.is_store_unreachable:
                await self.store.watch("a/", 0, 0.1)
                await asyncio.sleep(0.1)
        (await self.store.write("a/x", b"{}", 0)).unwrap()
        self.assertEqual(self.direct.write_count, 1)


class OutageTest(unittest.IsolatedAsyncioTestCase):
    """Pattern: many hosts lose the store at once, for some seconds."""

    HOSTS = 30
    PREFIXES = ("a/", "b/", "c/")
    OUTAGE_S = 2.0

    async def test_each_host_calls_the_store_about_once_a_second(self):
        """Guards against hosts that send each other's calls to a lost store.

        A host may find the outage with one call for each prefix; after that
        it may probe at most every 0.8 s.
        """
        direct = MemoryStore()
        direct.faults.down = True
        peers = []
        stores = [
            FallbackStore(direct, lambda: list(peers), Metrics())
            for _ in range(self.HOSTS)
        ]
        peers += [RelayingPeer(store, direct) for store in stores]
        watches = [
            asyncio.create_task(self.watch(store, prefix))
            for store in stores
            for prefix in self.PREFIXES
        ]
        await asyncio.sleep(self.OUTAGE_S)
        for task in watches:
            task.cancel()
        probes = 1 + int(self.OUTAGE_S / 0.8)
        most = self.HOSTS * (len(self.PREFIXES) + probes)
        self.assertLessEqual(direct.calls_while_down, most)

    async def watch(self, store, prefix):
        while True:
            await store.watch(prefix, 0, 1.0)
            await store.wait_before_retry(0.1)


class RelayingPeer:
    """Another host that may have lost the store too."""

    def __init__(self, store, direct):
        self.store = store
        self.direct = direct

    async def call(self, rpc, request, timeout_s=None):
        can_relay = self.store.is_directly_reachable
        reply = await serve_store(self.direct, request, can_relay=can_relay)
        return Success(reply)


class TurnedAwayTest(unittest.IsolatedAsyncioTestCase):
    """A store that turns a third of the hosts away.

    Guards against budgets that wait for the store although most hosts reach
    it: two hosts asked at random are often both turned away.
    """

    async def asyncSetUp(self):
        self.reachable = MemoryStore()
        self.closed = MemoryStore()
        self.closed.faults.down = True
        self.direct = MemoryStore()
        self.direct.faults.down = True

    def create_store(self, closed_count, open_count):
        self.peers = [StubPeer(self.closed) for _ in range(closed_count)]
        self.peers += [StubPeer(self.reachable) for _ in range(open_count)]
        return FallbackStore(self.direct, lambda: self.peers, Metrics())

    async def test_a_host_that_reaches_it_is_found(self):
        for _ in range(30):
            store = self.create_store(closed_count=4, open_count=6)
            await store.list("a/")
            self.assertFalse(store.is_store_unreachable)

    async def test_the_host_that_answered_is_asked_first(self):
        store = self.create_store(closed_count=4, open_count=6)
        for _ in range(20):
            (await store.list("a/")).unwrap()
        calls = [peer.calls for peer in self.peers if peer.calls]
        self.assertEqual(max(calls), 20)
        self.assertLessEqual(sum(calls), 20 + 4)

    async def test_an_outage_for_all_hosts_costs_few_calls(self):
        """Guards against hosts that ask each other all through an outage."""
        store = self.create_store(closed_count=10, open_count=0)
        for _ in range(50):
            await store.watch("a/", 0, 0.0)
        self.assertLessEqual(sum(peer.calls for peer in self.peers), 10)


if __name__ == "__main__":
    unittest.main()
