"""Tests of reaching the store by way of another host."""

import asyncio
import unittest

from returns.result import Failure as Failed
from returns.result import Success

from masticdale_common import ErrorKind, Failure, Metrics
from masticdale_ledger.peer_store import serve_store
from masticdale_ledger.store_relay import FallbackStore
from masticdale_platform.testing import MemoryStore


class StubPeer:
    """Another host, which has its own way to the same store."""

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


class FallbackTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.direct = MemoryStore()
        self.peer = StubPeer(MemoryStore())
        self.store = FallbackStore(self.direct, lambda: [self.peer], Metrics())

    async def test_the_direct_way_comes_first(self):
        (await self.store.write("a/x", b"{}", 0)).unwrap()
        self.assertEqual(self.peer.calls, 0)
        self.assertEqual(self.direct.write_count, 1)

    async def test_another_host_is_asked_where_the_direct_way_is_closed(self):
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

    async def test_conflicts_and_lost_answers_come_through(self):
        """A writer would take another's record for its own.

        What the store says of a write has to mean the same by way of another
        host: a conflict is one, and a lost answer leaves the outcome open.
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

    async def test_a_store_that_nobody_reaches_fails_at_once(self):
        """Each turn that needs a record would wait for several timeouts."""
        self.direct.faults.down = True
        self.peer.store.faults.down = True
        await self.store.read("a/x")
        self.assertTrue(self.store.is_unreachable)
        self.direct.faults.delay_s = self.peer.store.faults.delay_s = 5.0
        async with asyncio.timeout(0.5):
            kind = (await self.store.read("a/x")).failure().kind
        self.assertIs(kind, ErrorKind.PLATFORM_UNAVAILABLE)

    async def test_a_watch_finds_the_direct_way_again(self):
        self.direct.faults.down = True
        self.peer.store.faults.down = True
        await self.store.read("a/x")
        self.direct.faults.down = False
        async with asyncio.timeout(3.0):
            while self.store.is_unreachable:
                await self.store.watch("a/", 0, 0.1)
                await asyncio.sleep(0.1)
        (await self.store.write("a/x", b"{}", 0)).unwrap()
        self.assertEqual(self.direct.write_count, 1)


if __name__ == "__main__":
    unittest.main()
