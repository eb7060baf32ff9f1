"""Tests that replicas get no new requests some time after they leave."""

import asyncio
import itertools
import time
import unittest

from case import IDEMPOTENT, EntryCase, RunningHost

from masticdale_standins.objects import StoreFault
from masticdale_standins.testing import free_port

# Time from the store's confirmation that a replica leaves until no request
# reaches it any more.
DRAIN_S = 2.0
# Time after that in which the replica must get no request.
WATCHED_S = 1.5
# Time after which hosts make no calls but their watches.
SETTLE_S = 1.5
SEND_INTERVAL_S = 0.02
# The store drops the changes of its watches for this long, then cuts them.
GAP_S = 1.0
# How long an older write of a replica is delayed.
LATE_WRITE_S = 1.0


class LeavingReplicaCase(EntryCase):
    """Three hosts; two watch the store, the third follows one of them."""

    async def asyncSetUp(self):
        await self.start_stand_ins()
        ports = [free_port(), free_port()]
        for name, seeds, port in (
            ("seed-1", ports, ports[0]),
            ("seed-2", ports, ports[1]),
            ("follower", ports[:1], None),
        ):
            host = RunningHost(name, self.store.port, seeds, port)
            self.hosts.append(host)
            host.start()
        for host in self.hosts:
            await host.wait_ready()
        await self.wait_shards_owned()
        await asyncio.sleep(SETTLE_S)
        self.leaving = self.unary_replicas[0]
        self.load = asyncio.create_task(self.send_requests())

    async def asyncTearDown(self):
        self.load.cancel()
        await asyncio.gather(self.load, return_exceptions=True)
        await super().asyncTearDown()

    async def send_requests(self):
        for number in itertools.count():
            host = self.hosts[number % len(self.hosts)]
            await self.send(IDEMPOTENT, f"r{number}", host=host)
            await asyncio.sleep(SEND_INTERVAL_S)

    def announce_draining(self):
        entry = self.leaving.entry(state="draining", sequence=2)
        self.store.put("servers", self.leaving.id, entry)

    async def assert_unused(self, left_at):
        """Fails if the replica gets a request when it is too late."""
        at = left_at + DRAIN_S
        await asyncio.sleep(at + WATCHED_S - time.monotonic())
        requests = self.leaving.executed_requests
        late = [r.arrived_at - at for r in requests if r.arrived_at > at]
        self.assertEqual(late, [])
        self.assertFalse(self.load.done())


class LostResponseTest(LeavingReplicaCase):
    """Guards against hosts that take a silent watch for one without news.

    All other calls to the store are answered.
    """

    async def test_the_response_to_the_watch_of_one_host_is_lost(self):
        self.store.faults.watch_responses_to_lose = 1
        self.announce_draining()
        await self.assert_unused(time.monotonic())

    async def test_the_responses_to_the_watches_of_all_hosts_are_lost(self):
        self.store.faults.watch_responses_to_lose = len(self.hosts)
        self.announce_draining()
        await self.assert_unused(time.monotonic())


class CutWatchTest(LeavingReplicaCase):
    async def test_a_removed_replica_is_not_kept_after_a_cut_watch(self):
        """Guards against taking a watch that was cut for an outage.

        The store drops the changes of its watches for a while and cuts them,
        and answers all other calls.
        """
        self.store.faults.omits_watch_events = True
        left_at = time.monotonic()
        self.store.remove("servers", self.leaving.id)
        await asyncio.sleep(GAP_S)
        self.store.faults.omits_watch_events = False
        await self.store.reset_connections()
        await self.assert_unused(left_at)


class LateWriteTest(LeavingReplicaCase):
    """Guards against an older write of a replica that arrives last."""

    async def test_a_draining_replica_is_not_ready_again(self):
        left_at = time.monotonic()
        self.announce_draining()
        await asyncio.sleep(LATE_WRITE_S)
        self.store.put("servers", self.leaving.id, self.leaving.entry())
        await self.assert_unused(left_at)

    async def test_a_removed_replica_that_drained_is_not_ready_again(self):
        left_at = time.monotonic()
        self.announce_draining()
        await asyncio.sleep(LATE_WRITE_S / 2)
        self.store.remove("servers", self.leaving.id)
        await asyncio.sleep(LATE_WRITE_S / 2)
        self.store.put("servers", self.leaving.id, self.leaving.entry())
        await self.assert_unused(left_at)


class UnreadableEntryTest(LeavingReplicaCase):
    """Guards against one entry that makes the whole list unreadable."""

    async def leave_beside(self, value):
        self.store.json_by_string["unreadable"] = value
        self.store.put("servers", "i-other-writer", {"slots": "unreadable"})
        await asyncio.sleep(SETTLE_S)
        self.announce_draining()
        await self.assert_unused(time.monotonic())

    async def test_a_number_with_thousands_of_digits(self):
        await self.leave_beside("1" * 5001)

    async def test_thousands_of_nested_arrays(self):
        await self.leave_beside("[" * 1500 + "]" * 1500)


class OutageTest(LeavingReplicaCase):
    async def test_a_host_that_misses_an_outage_uses_the_list(self):
        """Guards against watches that end for good in an outage."""
        self.store.faults.fault = StoreFault.BUSY
        await asyncio.sleep(GAP_S)
        self.store.faults.fault = StoreFault.NONE
        # Time until hosts have read their lists again.
        await asyncio.sleep(DRAIN_S)
        self.announce_draining()
        await self.assert_unused(time.monotonic())


if __name__ == "__main__":
    unittest.main()
