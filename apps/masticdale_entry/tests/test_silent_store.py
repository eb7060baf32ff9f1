"""Tests of a store that takes the calls of some hosts and answers none."""

import asyncio
import unittest

from case import EntryCase, RunningHost, configuration, route

from masticdale_soak.proxies import Link, LinkFault, Proxy
from masticdale_standins.testing import free_port

# A change is to be in force so long after it was acknowledged.
IN_FORCE_S = 2.0
# Until the hosts make no calls of their own but their watches.
QUIET_S = 1.5


class SilentSeedTest(EntryCase):
    async def asyncSetUp(self):
        await self.start_stand_ins()
        self.way = Proxy()
        await self.way.start(self.store.port)
        self.addAsyncCleanup(self.way.stop)
        # Seeds know each other; this one can ask the other one.
        ports = [free_port(), free_port()]
        self.seed = await self.start_host(
            "seed", self.way.port, ports, ports[0]
        )
        self.other_seed = await self.start_host(
            "other-seed", self.store.port, ports, ports[1]
        )
        self.follower = await self.start_host(
            "follower", self.store.port, seeds=[self.seed.peers_port]
        )
        # Hosts claim shards at their start. After that they leave the store
        # alone.
        await self.wait_owned()
        await asyncio.sleep(QUIET_S)

    async def start_host(self, name, store_port, seeds, peers_port=None):
        host = RunningHost(name, store_port, seeds, peers_port)
        self.hosts.append(host)
        host.start()
        await host.wait_ready()
        return host

    async def test_hosts_do_not_follow_a_seed_that_hears_nothing(self):
        """Callers are served by a configuration of nine seconds ago.

        The store goes silent to the host whose watches others follow. Its
        watches wait on, as they would without a change, and it makes no other
        call that would show it. Those that follow it reach the store, and are
        told that there is nothing new. Traced on a day of 171 hosts: 61 of
        them had a version of 2.75 s only when the silence ended, at 11.64 s,
        and no host had written ``store_lost`` by then.
        """
        self.way.set_link(Link(LinkFault.SILENT))
        await asyncio.sleep(0.1)
        routes = [route("/new/", "idempotent", "desk")]
        self.store.put("config", "main", configuration(3, routes))
        async with asyncio.timeout(IN_FORCE_S):
            await self.wait_served(self.follower, "/new/")

    async def test_the_seed_itself_asks_through_another_host(self):
        """The same at the seed, which callers reach."""
        self.way.set_link(Link(LinkFault.SILENT))
        await asyncio.sleep(0.1)
        routes = [route("/new/", "idempotent", "desk")]
        self.store.put("config", "main", configuration(3, routes))
        async with asyncio.timeout(2 * IN_FORCE_S):
            await self.wait_served(self.seed, "/new/")

    async def wait_served(self, host, path):
        while (await self.ask(path, "probe", host=host)).status_code != 200:
            await asyncio.sleep(0.02)


if __name__ == "__main__":
    unittest.main()
