"""Tests of a store that accepts calls of some hosts but never responds."""

import asyncio
import unittest

from case import EntryCase, RunningHost, configuration, route

from masticdale_soak.proxies import LinkFault, LinkState, Proxy
from masticdale_standins.testing import free_port

# Time in which an acknowledged change must take effect.
IN_FORCE_S = 2.0
# Time after which hosts make no calls but their watches.
SETTLE_S = 1.5


class SilentSeedTest(EntryCase):
    async def asyncSetUp(self):
        await self.start_stand_ins()
        self.store_proxy = Proxy()
        await self.store_proxy.start(self.store.port)
        self.addAsyncCleanup(self.store_proxy.stop)
        # Seeds know each other, so this one can read through the other one.
        ports = [free_port(), free_port()]
        self.seed = await self.start_host(
            "seed", self.store_proxy.port, ports, ports[0]
        )
        self.other_seed = await self.start_host(
            "other-seed", self.store.port, ports, ports[1]
        )
        self.other_host = await self.start_host(
            "follower", self.store.port, seeds=[self.seed.peers_port]
        )
        # Hosts claim shards at startup, and then only watch the store.
        await self.wait_shards_owned()
        await asyncio.sleep(SETTLE_S)

    async def start_host(self, name, store_port, seeds, peers_port=None):
        host = RunningHost(name, store_port, seeds, peers_port)
        self.hosts.append(host)
        host.start()
        await host.wait_ready()
        return host

    async def test_hosts_leave_a_seed_whose_store_is_silent(self):
        """Guards against serving an outdated configuration for seconds.

        The store goes silent for the host whose watches others share. Its
        watches look like watches without changes, and it makes no other call
        that would fail.
        """
        self.store_proxy.set_link_state(LinkState(LinkFault.PARTITION))
        await asyncio.sleep(0.1)
        routes = [route("/new/", "idempotent", "desk")]
        self.store.put("config", "main", configuration(3, routes))
        async with asyncio.timeout(IN_FORCE_S):
            await self.wait_served(self.other_host, "/new/")

    async def test_the_seed_reads_through_another_host(self):
        """Guards against the same failure at the seed itself."""
        self.store_proxy.set_link_state(LinkState(LinkFault.PARTITION))
        await asyncio.sleep(0.1)
        routes = [route("/new/", "idempotent", "desk")]
        self.store.put("config", "main", configuration(3, routes))
        async with asyncio.timeout(2 * IN_FORCE_S):
            await self.wait_served(self.seed, "/new/")

    async def wait_served(self, host, path):
        while (await self.send(path, "probe", host=host)).status_code != 200:
            await asyncio.sleep(0.02)


if __name__ == "__main__":
    unittest.main()
