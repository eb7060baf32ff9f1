"""Tests of the soak's replicas; no host runs."""

import asyncio
import unittest

from masticdale_soak.environment import Replica
from masticdale_standins.objects import FakeObjectStore


class PortTakenTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.store = FakeObjectStore()
        self.replica = Replica("desk", False, self.store)
        await self.replica.start()
        self.other = None

    async def asyncTearDown(self):
        await self.replica.close()
        self.other.close()

    async def take(self, port):
        """Listens on a port, as another process may while it is free."""
        self.other = await asyncio.start_server(
            lambda reader, writer: writer.close(), "127.0.0.1", port
        )

    async def assert_serves_at_its_entry(self):
        entry = self.store.get("servers", self.replica.fake.id)
        address, _, port = entry["address"].partition(":")
        reader, writer = await asyncio.open_connection(address, int(port))
        writer.write(b"GET /x HTTP/1.1\r\nHost: a\r\n\r\n")
        async with asyncio.timeout(2.0):
            line = await reader.readline()
        writer.close()
        self.assertEqual(line, b"HTTP/1.1 200 Stand-in\r\n")

    async def test_a_replica_comes_back_though_its_port_is_taken(self):
        """Guards against a run without a verdict: the restart failed."""
        await self.replica.crash()
        await self.take(self.replica.fake.port)
        await self.replica.start()
        await self.assert_serves_at_its_entry()

    async def test_a_proxy_comes_back_though_its_port_is_taken(self):
        await self.replica.crash()
        self.replica.proxy.refuse()
        await self.take(self.replica.proxy.port)
        await self.replica.start()
        await self.assert_serves_at_its_entry()


if __name__ == "__main__":
    unittest.main()
