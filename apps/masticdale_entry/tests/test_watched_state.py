"""Tests of the configuration and the replica list under store faults."""

import asyncio
import unittest

from case import HOST, IDEMPOTENT, EntryCase, RunningHost, configuration, route

from masticdale_standins.objects import StoreFault

# Time in which a change of the list reaches a host; the limit for a replica
# that is removed is 2 s.
PROPAGATION_S = 0.8


class ConfigurationTest(EntryCase):
    async def status(self, path):
        return (await self.send(path, "probe")).status_code

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

    async def test_a_newer_version_is_applied_and_an_older_one_is_not(self):
        """Guards against a stale read that reverts the configuration.

        The store returns version 2 after version 3.
        """
        self.add_route(3)
        await self.wait_status("/new/", 200, 1.0)
        self.store.put("config", "main", configuration(2))
        await asyncio.sleep(0.2)
        self.assertEqual(await self.status("/new/"), 200)

    async def test_a_compacted_history_triggers_a_full_read(self):
        self.store.compact_history()
        self.add_route(3)
        await self.wait_status("/new/", 200, 2.0)

    async def test_a_change_right_after_an_outage(self):
        """Guards against a change that is missed for seconds after an outage.

        The store responds with 503 for a second; the change is made right
        after that.
        """
        self.store.faults.fault = StoreFault.BUSY
        await asyncio.sleep(1.0)
        self.store.faults.fault = StoreFault.NONE
        self.add_route(3)
        await self.wait_status("/new/", 200, 2.0)

    async def test_a_cut_watch_restarts_from_a_full_list(self):
        """Guards against a watch that waits for a change it has missed.

        The store delivers nothing to its watches, a change is made, and the
        watches are cut. A watch that resumes from the old position misses the
        change.
        """
        self.store.faults.omits_watch_events = True
        await asyncio.sleep(0.2)
        self.add_route(3)
        await asyncio.sleep(0.3)
        await self.store.reset_connections()
        await self.wait_status("/new/", 200, 1.5)

    async def test_requests_are_served_while_the_store_is_silent(self):
        self.store.faults.fault = StoreFault.UNRESPONSIVE
        await asyncio.sleep(0.2)
        self.assertEqual(await self.status(IDEMPOTENT), 200)

    async def test_limits_apply_to_the_next_request_of_an_idle_connection(self):
        """Guards against 413 by the limits of an older version.

        The connection is idle while a version raises the limit.
        """
        small, large = b"x" * 1000, b"x" * 50_000
        for version, limit, body in ((2, 10_000, small), (3, 100_000, large)):
            self.store.put(
                "config",
                "main",
                configuration(version, max_body_bytes=limit),
            )
            await asyncio.sleep(0.5)
            response = await self.host.http.post(
                IDEMPOTENT + "x",
                headers={"Host": HOST, "Request-Id": f"r{version}"},
                content=body,
            )
            self.assertEqual(response.status_code, 200)

    async def test_an_unreadable_configuration_changes_nothing(self):
        self.store.put("config", "main", {"version": 9, "routes": "none"})
        await asyncio.sleep(0.2)
        self.assertEqual(await self.status(IDEMPOTENT), 200)

    async def test_a_starting_host_without_store_says_it_is_not_ready(self):
        """Guards against 404 responses from a host without configuration."""
        self.store.faults.fault = StoreFault.BUSY
        host = RunningHost("late", self.store.port)
        self.hosts.append(host)
        host.start()
        await asyncio.sleep(0.3)
        page = await host.fetch(host.ports[1], "/api/ready")
        self.assertEqual(page.status_code, 503)
        response = await self.send(IDEMPOTENT, "r1", host=host)
        self.assertEqual(response.status_code, 503)
        self.store.faults.fault = StoreFault.NONE
        await host.wait_ready()
        response = await self.send(IDEMPOTENT, "r2", host=host)
        self.assertEqual(response.status_code, 200)

    async def test_a_host_cut_off_from_the_store_reads_through_another(self):
        """Guards against a single host missing changes.

        Only this host can't reach the store; it reads through another one.
        """
        closed = await self.closed_store_port()
        host = RunningHost("cut", closed, seeds=[self.host.peers_port])
        self.hosts.append(host)
        host.start()
        await host.wait_ready()
        self.add_route(3)
        async with asyncio.timeout(3.0):
            while True:
                response = await self.send("/new/", "r", host=host)
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
    async def test_invalid_entries_are_ignored(self):
        """Guards against an invalid entry that hides replicas or crashes.

        Other writers may store arbitrary objects of the same kind.
        """
        good = self.unary_replicas[0].entry()
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
        await asyncio.sleep(PROPAGATION_S)
        self.assertEqual(len(self.host.entry.replica_ids), 4)
        for n in range(4):
            response = await self.send(IDEMPOTENT, f"r{n}")
            self.assertEqual(response.status_code, 200)

    async def test_a_draining_replica_gets_no_new_work(self):
        leaving = self.unary_replicas[0]
        self.store.put("servers", leaving.id, leaving.entry(state="draining"))
        await asyncio.sleep(PROPAGATION_S)
        for n in range(6):
            await self.send(IDEMPOTENT, f"r{n}")
        self.assertEqual(leaving.received_requests, [])

    async def test_a_removed_replica_gets_no_new_work(self):
        leaving = self.unary_replicas[0]
        self.store.remove("servers", leaving.id)
        await asyncio.sleep(PROPAGATION_S)
        for n in range(6):
            await self.send(IDEMPOTENT, f"r{n}")
        self.assertEqual(leaving.received_requests, [])

    async def test_entries_that_lapsed_in_an_outage_are_kept_for_a_while(self):
        """Guards against losing the whole fleet in an outage of the store.

        Entries that lapsed in the outage are kept for a grace period after it;
        those not renewed by then are removed.
        """
        lapsed, renewed = self.unary_replicas
        self.store.faults.fault = StoreFault.BUSY
        await asyncio.sleep(0.4)
        self.store.remove("servers", lapsed.id)
        self.store.remove("servers", renewed.id)
        response = await self.send(IDEMPOTENT, "during")
        self.assertEqual(response.status_code, 200)
        self.store.faults.fault = StoreFault.NONE
        await asyncio.sleep(1.2)
        response = await self.send(IDEMPOTENT, "after")
        self.assertEqual(response.status_code, 200)
        self.store.put("servers", renewed.id, renewed.entry())
        await asyncio.sleep(2.6)
        ids = self.host.entry.replica_ids
        self.assertIn(renewed.id, ids)
        self.assertNotIn(lapsed.id, ids)


if __name__ == "__main__":
    unittest.main()
