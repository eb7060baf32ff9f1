"""Connections that fall silent, and hosts that are cut off."""

import asyncio
import unittest

from system_case import SystemCase

from masticdale_load.system_relays import running_relays

TURNS = 4
SHORT_S = 15.0


class SilenceTest(SystemCase):
    """Puts a relay before the platform and before each host's peers."""

    @classmethod
    def setUpClass(cls):
        super().setUpClass()
        cls.relays = cls.enterClassContext(running_relays())
        handles = cls.cluster.daemon_by_name
        cls.peer_relay_by_host = {
            name: cls.relays.relay_to(handle.peer_port)
            for name, handle in handles.items()
        }
        port = int(cls.cluster.platform.base_url.rsplit(":", 1)[1])
        cls.platform_relay = cls.relays.relay_to(port)
        for handle in list(handles.values()):
            cls.reroute(handle.settings)
            handle.process.terminate()
            handle.process.wait()
            cls.cluster.restart_daemon(handle.name)
        for name in handles:
            cls.cluster.wait_ready(name)

    @classmethod
    def reroute(cls, settings):
        port = cls.platform_relay.port
        settings["platform_url"] = f"http://127.0.0.1:{port}"
        settings["peers"] = [
            {
                **peer,
                "address": {
                    "ip": "127.0.0.1",
                    "port": cls.peer_relay_by_host[peer["name"]].port,
                },
            }
            for peer in settings["peers"]
        ]

    async def do(self, work):
        await asyncio.to_thread(self.relays.run_on_loop, work)

    async def turns_through_all(self, program, label):
        """Sends turns through each host in its turn."""
        for host in self.others():
            client = self.client_of(host)
            async with asyncio.timeout(SHORT_S):
                await self.turn(program, f"{label}-{host}", client)

    async def test_silent_connections_between_hosts_are_replaced(self):
        # A middle box loses track of every open connection between hosts;
        # new ones work. Calls that wait on the old ones time out, their
        # connections are replaced, and the callers get their answers.
        program = await self.begin()
        await self.turns_through_all(program, "before")
        for relay in self.peer_relay_by_host.values():
            await self.do(relay.stall_connections())
        await self.turns_through_all(program, "after")
        await self.check_kept(program)

    async def test_connections_fall_silent_under_a_stream(self):
        # As above, in the middle of a stream through another host than the
        # owner: it is resumed at its offset on a new connection.
        program = await self.begin()
        owner = await self.owner_of(program)
        entry = self.client_of(self.others(owner)[0])
        turn = asyncio.create_task(self.turn(program, "first", entry))
        await self.until_in_flight(program, self.client_of(owner))
        for relay in self.peer_relay_by_host.values():
            await self.do(relay.stall_connections())
        async with asyncio.timeout(SHORT_S):
            await turn
        await self.check_kept(program)

    async def test_silent_connections_to_the_platform_are_replaced(self):
        # The same between all hosts and the platform: commits that wait on
        # a silent connection read back what became of them on a new one.
        program = await self.begin()
        for number in range(TURNS):
            await self.do(self.platform_relay.stall_connections())
            async with asyncio.timeout(SHORT_S):
                await self.turn(program, f"turn-{number}")
        told = await self.call(program, "filing")
        self.assertEqual(told.unwrap().status, "done")
        self.assertEqual(self.executions(program, "filing"), 1)
        await self.check_kept(program)

    async def test_owner_cut_off_from_its_peers_one_way(self):
        # Nobody reaches the owner any more, but it reaches everybody. The
        # others take its programs over; callers at the cut-off host are
        # served by the new owner, and nothing is lost or done twice.
        program = await self.begin()
        await self.turn(program, "first")
        owner = await self.owner_of(program)
        relay = self.peer_relay_by_host[owner]
        await self.do(relay.partition())
        try:
            elsewhere = self.client_of(*self.others(owner))
            await self.turn(program, "second", elsewhere)
            await self.turn(program, "third", self.client_of(owner))
            told = await self.call(program, "filing", self.client_of(owner))
            self.assertEqual(told.unwrap().status, "done")
        finally:
            await self.do(relay.heal())
        await self.turn(program, "fourth")
        self.assertEqual(self.executions(program, "filing"), 1)
        view = await self.check_kept(program)
        self.assertEqual(len(view.history), 5)


if __name__ == "__main__":
    unittest.main()
