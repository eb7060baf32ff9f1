"""Tests of the homes of replicas."""

import asyncio
import unittest

from masticdale_common import ErrorKind, Metrics
from masticdale_config import testing as config_testing
from masticdale_peers import PrefixNote, TicketRequest
from masticdale_peers.testing import MemoryNetwork
from masticdale_platform.testing import MemoryStore
from masticdale_programs.testing import FakeExecutor
from masticdale_upstreams.testing import FakeEngine
from masticdaled.replicas.homes import ReplicaHomes
from masticdaled.replicas.orders import OrderDispatcher
from masticdaled.testing import create_memory_host
from masticdaled.upstream_clients import UpstreamClients

REPLICA = "permit-1"


class FakeClients(UpstreamClients):
    def __init__(self):
        super().__init__(Metrics())
        self.fakes = {}

    def engine(self, upstream):
        return self.fakes.setdefault(upstream.name, FakeEngine())


def ticket_request(number):
    return TicketRequest(
        ticket_id=f"t{number}",
        replica=REPLICA,
        origin="host-1",
        workspace=config_testing.TENGRI,
        priority=0,
        attained_s=0.0,
        waited_ms=0,
        deadline_ms=10_000,
        prompt_tokens=10,
        uncached_tokens=10,
        max_tokens=10,
        program_id="p",
        content_digest="d",
        prefix=PrefixNote("main"),
    )


class LeavingTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        in_force = config_testing.active_config(*config_testing.tengri_trails())
        store = MemoryStore()
        self.host = create_memory_host(
            "host-1",
            ("host-1",),
            MemoryNetwork(),
            store,
            in_force,
            FakeExecutor(),
        )
        self.clients = FakeClients()
        metrics = Metrics()
        orders = OrderDispatcher(store, "host-1", metrics)
        self.homes = ReplicaHomes(
            self.host.cluster, in_force, self.clients, orders, metrics
        )

    async def asyncTearDown(self):
        await self.homes.close()
        await self.host.close()

    async def check(self):
        await self.homes.tick()
        await asyncio.sleep(0.05)

    async def test_list_does_not_override_an_engine_that_reports_leaving(self):
        # Guards against new work for a leaving engine: a platform list that
        # does not show it yet must not reopen its queue.
        await self.check()
        self.assertTrue(self.homes.enqueue(ticket_request(1)).granted)
        self.clients.fakes[REPLICA].leaving = True
        await self.check()
        self.homes.set_leaving(())
        refused = self.homes.enqueue(ticket_request(2)).failure
        self.assertIs(refused.kind, ErrorKind.NO_UPSTREAM)
        self.clients.fakes[REPLICA].leaving = False
        await self.check()
        self.assertTrue(self.homes.enqueue(ticket_request(3)).granted)

    async def test_engine_listed_as_leaving_gets_no_new_work(self):
        await self.check()
        self.homes.set_leaving([REPLICA])
        refused = self.homes.enqueue(ticket_request(1)).failure
        self.assertIs(refused.kind, ErrorKind.NO_UPSTREAM)


if __name__ == "__main__":
    unittest.main()
