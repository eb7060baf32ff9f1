"""Tests of hanging connections and network partitions."""

import asyncio
import unittest

from system_case import SystemCase

from masticdale_load.system_relays import running_relays

TURNS = 4
RECOVERY_TIMEOUT_S = 15.0


class SilenceTest(SystemCase):
    """Routes connections to the platform and between hosts through relays."""

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
            cls.route_through_relays(handle.settings)
            handle.process.terminate()
            handle.process.wait()
            cls.cluster.restart_daemon(handle.name)
        for name in handles:
            cls.cluster.wait_ready(name)

    @classmethod
    def route_through_relays(cls, settings):
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

    async def run_on_relays(self, work):
        await asyncio.to_thread(self.relays.run_on_loop, work)

    async def send_turns_through_all_hosts(self, program, label):
        """Sends one turn through each host."""
        for host in self.other_hosts():
            client = self.client_for(host)
            async with asyncio.timeout(RECOVERY_TIMEOUT_S):
                await self.send_turn(program, f"{label}-{host}", client)

    async def test_silent_connections_between_hosts_are_replaced(self):
        # All open connections between hosts hang, as after a middlebox loses
        # its state: calls must time out and be retried on new connections.
        program = await self.create_program()
        await self.send_turns_through_all_hosts(program, "before")
        for relay in self.peer_relay_by_host.values():
            await self.run_on_relays(relay.stall_connections())
        await self.send_turns_through_all_hosts(program, "after")
        await self.check_history(program)

    async def test_connections_fall_silent_under_a_stream(self):
        # Connections between hosts hang during a stream that another host
        # relays: it must be resumed at its offset on a new connection.
        program = await self.create_program()
        owner = await self.owner_of(program)
        entry = self.client_for(self.other_hosts(owner)[0])
        turn = asyncio.create_task(self.send_turn(program, "first", entry))
        await self.wait_until_in_flight(program, self.client_for(owner))
        for relay in self.peer_relay_by_host.values():
            await self.run_on_relays(relay.stall_connections())
        async with asyncio.timeout(RECOVERY_TIMEOUT_S):
            await turn
        await self.check_history(program)

    async def test_silent_connections_to_the_platform_are_replaced(self):
        # Connections to the platform hang: commits must read back their outcome
        # on a new connection.
        program = await self.create_program()
        for number in range(TURNS):
            await self.run_on_relays(self.platform_relay.stall_connections())
            async with asyncio.timeout(RECOVERY_TIMEOUT_S):
                await self.send_turn(program, f"turn-{number}")
        outcome = await self.send_unrepeatable_call(program, "filing")
        self.assertEqual(outcome.unwrap().status, "done")
        self.assertEqual(self.execution_count(program, "filing"), 1)
        await self.check_history(program)

    async def test_owner_cut_off_from_its_peers_one_way(self):
        # In a one-way partition, the owner reaches its peers, but they do not
        # reach it. Another host must take over its programs and also serve the
        # callers of the old owner, with nothing lost or executed twice.
        program = await self.create_program()
        await self.send_turn(program, "first")
        owner = await self.owner_of(program)
        relay = self.peer_relay_by_host[owner]
        await self.run_on_relays(relay.partition())
        try:
            elsewhere = self.client_for(*self.other_hosts(owner))
            await self.send_turn(program, "second", elsewhere)
            await self.send_turn(program, "third", self.client_for(owner))
            outcome = await self.send_unrepeatable_call(
                program, "filing", self.client_for(owner)
            )
            self.assertEqual(outcome.unwrap().status, "done")
        finally:
            await self.run_on_relays(relay.heal())
        await self.send_turn(program, "fourth")
        self.assertEqual(self.execution_count(program, "filing"), 1)
        view = await self.check_history(program)
        self.assertEqual(len(view.history), 5)


if __name__ == "__main__":
    unittest.main()
