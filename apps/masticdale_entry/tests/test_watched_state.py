"""Tests of configuration and replica lists while the store misbehaves."""

import asyncio
import unittest

from case import PLAIN, EntryCase, RunningHost, configuration, route

from masticdale_standins.objects import StoreFault

# When a change of the list has reached a host, in seconds; the promise for a
# replica that leaves is two.
LISTED_S = 0.8


class ConfigurationTest(EntryCase):
    async def status(self, path):
        return (await self.ask(path, "probe")).status_code

    async def wait_status(self, path, status, seconds):
        async with asyncio.timeout(seconds):
            while await self.status(path) != status:
                await asyncio.sleep(0.02)

    def add_route(self, version):
        self.store.put(
            "config",
            "main",
            configuration(version, [route("/new/", "idempotent", "desk")]),
        )

    async def test_a_change_takes_hold_and_an_older_version_does_not(self):
        """A host that falls back would serve a route that was dropped.

        Version 3 adds a route. The store then shows version 2 again, as a
        stale read does: the host keeps version 3.
        """
        self.add_route(3)
        await self.wait_status("/new/", 200, 1.0)
        self.store.put("config", "main", configuration(2))
        await asyncio.sleep(0.2)
        self.assertEqual(await self.status("/new/"), 200)

    async def test_a_forgotten_history_is_read_again(self):
        self.store.forget_history()
        self.add_route(3)
        await self.wait_status("/new/", 200, 2.0)

    async def test_a_change_right_after_an_outage(self):
        """A host would go on for seconds as if nothing had changed.

        The store answers 503 for a second. A change comes as it is back.
        """
        self.store.faults.fault = StoreFault.BUSY
        await asyncio.sleep(1.0)
        self.store.faults.fault = StoreFault.NONE
        self.add_route(3)
        await self.wait_status("/new/", 200, 2.0)

    async def test_a_watch_that_is_cut_is_not_taken_up_where_it_stopped(self):
        """A host would wait for a change that it has already missed.

        The store delivers nothing to its watches, a change is made, the
        watches are cut, and only then the history is dropped: a watch that
        goes on in between hears nothing of the change.
        """
        self.store.faults.deaf = True
        await asyncio.sleep(0.2)
        self.add_route(3)
        await asyncio.sleep(0.3)
        await self.store.cut_watches()
        await self.wait_status("/new/", 200, 1.5)

    async def test_a_store_that_falls_silent(self):
        self.store.faults.fault = StoreFault.SILENT
        await asyncio.sleep(0.2)
        self.assertEqual(await self.status(PLAIN), 200)

    async def test_an_unreadable_configuration_changes_nothing(self):
        self.store.put("config", "main", {"version": 9, "routes": "none"})
        await asyncio.sleep(0.2)
        self.assertEqual(await self.status(PLAIN), 200)

    async def test_a_starting_host_without_store_says_it_is_not_ready(self):
        """Callers would get false 404s from a host that knows no route."""
        self.store.faults.fault = StoreFault.BUSY
        host = RunningHost("late", self.store.port)
        self.hosts.append(host)
        host.start()
        await asyncio.sleep(0.3)
        page = await host.page(host.ports[1], "/api/ready")
        self.assertEqual(page.status_code, 503)
        response = await self.ask(PLAIN, "r1", host=host)
        self.assertEqual(response.status_code, 503)
        self.store.faults.fault = StoreFault.NONE
        await host.wait_ready()
        response = await self.ask(PLAIN, "r2", host=host)
        self.assertEqual(response.status_code, 200)

    async def test_a_host_cut_off_from_the_store_learns_by_another(self):
        """Only one host's way to the store is closed.

        It asks through another host, so that changes hold there too.
        """
        closed = await self.closed_store_port()
        host = RunningHost("cut", closed, seeds=[self.host.peers_port])
        self.hosts.append(host)
        host.start()
        await host.wait_ready()
        self.add_route(3)
        async with asyncio.timeout(3.0):
            while True:
                response = await self.ask("/new/", "r", host=host)
                if response.status_code == 200:
                    return
                await asyncio.sleep(0.05)

    async def closed_store_port(self):
        server = await asyncio.start_server(
            lambda _, writer: writer.transport.abort(), "127.0.0.1", 0
        )
        self.addAsyncCleanup(self.close_server, server)
        return server.sockets[0].getsockname()[1]

    async def close_server(self, server):
        server.close()


class ReplicaListTest(EntryCase):
    async def test_entries_that_are_none_name_no_replica(self):
        """One bad entry would hide all replicas, or crash the host.

        Other writers leave entries of any shape under the same kind.
        """
        good = self.desks[0].entry()
        for number, bad in enumerate(
            (
                None,
                "text",
                [],
                {},
                good | {"address": 7},
                good | {"address": "host.example:80"},
                good | {"address": "127.0.0.1:99999"},
                good | {"slots": "8"},
                good | {"slots": 0},
                good | {"state": "resting"},
                good | {"born": 1.5},
                {k: v for k, v in good.items() if k != "service"},
            )
        ):
            self.store.put("servers", f"i-bad-{number}", bad)
        await asyncio.sleep(LISTED_S)
        self.assertEqual(len(self.host.entry.replica_ids), 4)
        for n in range(4):
            response = await self.ask(PLAIN, f"r{n}")
            self.assertEqual(response.status_code, 200)

    async def test_a_draining_replica_gets_no_new_work(self):
        leaving = self.desks[0]
        self.store.put("servers", leaving.id, leaving.entry(state="draining"))
        await asyncio.sleep(LISTED_S)
        for n in range(6):
            await self.ask(PLAIN, f"r{n}")
        self.assertEqual(leaving.seen, [])

    async def test_a_removed_replica_gets_no_new_work(self):
        leaving = self.desks[0]
        self.store.remove("servers", leaving.id)
        await asyncio.sleep(LISTED_S)
        for n in range(6):
            await self.ask(PLAIN, f"r{n}")
        self.assertEqual(leaving.seen, [])

    async def test_entries_that_lapsed_in_an_outage_are_kept_for_a_while(self):
        """The whole fleet would vanish with each outage of the store.

        While the store is down entries lapse. They are back within two
        seconds of its return; one that is not is taken as gone.
        """
        gone, back = self.desks
        self.store.faults.fault = StoreFault.BUSY
        await asyncio.sleep(0.4)
        self.store.remove("servers", gone.id)
        self.store.remove("servers", back.id)
        response = await self.ask(PLAIN, "during")
        self.assertEqual(response.status_code, 200)
        self.store.faults.fault = StoreFault.NONE
        await asyncio.sleep(1.2)
        response = await self.ask(PLAIN, "after")
        self.assertEqual(response.status_code, 200)
        self.store.put("servers", back.id, back.entry())
        await asyncio.sleep(2.6)
        ids = self.host.entry.replica_ids
        self.assertIn(back.id, ids)
        self.assertNotIn(gone.id, ids)


if __name__ == "__main__":
    unittest.main()
