"""Tests of the exchange of crash reports through the store."""

import asyncio
import json
import unittest

from masticdale_entry import crash_reports
from masticdale_entry.crash_reports import REPORT_PREFIX, CrashReports
from masticdale_platform import WatchBatch
from masticdale_platform.testing import MemoryStore
from masticdale_routing.crashes import CrashEvidence


class Host:
    """A host's evidence and its reports, with a watch of the store."""

    def __init__(self, store, name):
        self.evidence = CrashEvidence()
        self.notices = []
        self.reports = CrashReports(
            store, self.evidence, name, self._notify_hosts
        )
        self._store = store
        self._tasks = [
            asyncio.create_task(self.reports.run()),
            asyncio.create_task(self._watch()),
        ]

    def crash(self, content, *incarnations):
        for incarnation in incarnations:
            self.evidence.record_crash(
                content, incarnation, now(), was_suspected=True
            )

    def is_held(self, content):
        suspicion = self.evidence.suspicion(content)
        return suspicion is not None and suspicion.is_held

    def stop(self):
        for task in self._tasks:
            task.cancel()

    async def _watch(self):
        position = 0
        while True:
            batch = await self._store.watch(REPORT_PREFIX, position, 1.0)
            self.reports.apply(batch.unwrap(), after_outage=False)
            position = batch.unwrap().position

    async def _notify_hosts(self, reports):
        self.notices.append(reports)


def now():
    return asyncio.get_running_loop().time()


async def settle():
    await asyncio.sleep(0.05)


class CrashReportsTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.store = MemoryStore()
        self.hosts = []

    async def asyncTearDown(self):
        for host in self.hosts:
            host.stop()

    async def add_host(self, name):
        host = Host(self.store, name)
        self.hosts.append(host)
        await settle()
        return host

    async def stored(self):
        objects = (await self.store.list(REPORT_PREFIX)).unwrap()
        return {item.key: json.loads(item.value) for item in objects}

    async def test_a_crash_reaches_other_hosts_at_once(self):
        first, second = await self.add_host("h1"), await self.add_host("h2")
        first.crash("bad", "a", "b")
        second.crash("bad", "c")
        await settle()
        self.assertTrue(first.is_held("bad"))
        self.assertTrue(second.is_held("bad"))
        self.assertEqual(first.notices, [])

    async def test_a_restarted_host_keeps_its_reports(self):
        """Guards against a first write that replaces those of before."""
        first = await self.add_host("h1")
        first.crash("bad", "a", "b")
        await settle()
        first.stop()
        # It writes before it has read anything.
        again = Host(self.store, "h1")
        self.hosts.append(again)
        again.crash("bad", "c")
        await asyncio.sleep(crash_reports._RETRY_S + 0.2)
        self.assertTrue(again.is_held("bad"))
        second = await self.add_host("h2")
        self.assertTrue(second.is_held("bad"))

    async def test_clears_are_written_later_unless_held(self):
        first, second = await self.add_host("h1"), await self.add_host("h2")
        first.crash("x", "a")
        first.crash("bad", "a", "b", "c")
        await settle()
        second.evidence.record_success("x", now())
        await settle()
        self.assertTrue(first.evidence.suspicion("x"))
        second.evidence.record_success("bad", now())
        await settle()
        self.assertFalse(first.evidence.has_suspects)

    async def test_an_operator_releases_by_deleting_the_objects(self):
        first, second = await self.add_host("h1"), await self.add_host("h2")
        first.crash("bad", "a", "b", "c")
        await settle()
        (stored,) = (await self.store.list(REPORT_PREFIX)).unwrap()
        await self.store.delete(stored.key, stored.version)
        await settle()
        self.assertFalse(first.evidence.has_suspects)
        self.assertFalse(second.evidence.has_suspects)
        first.crash("bad", "d")
        await settle()
        self.assertEqual(second.evidence.suspicion("bad").crashes, 1)

    async def test_an_old_deletion_drops_no_new_crash(self):
        """Guards against a watch that reports a deletion after a new write."""
        host = await self.add_host("h1")
        host.crash("bad", "a", "b", "c")
        await settle()
        stale = WatchBatch(0, (), (REPORT_PREFIX + "h1",), is_snapshot=False)
        host.reports.apply(stale, after_outage=False)
        self.assertTrue(host.is_held("bad"))

    async def test_hosts_are_told_while_the_store_takes_no_writes(self):
        """Guards against crashes that wait for the end of an outage."""
        host = await self.add_host("h1")
        self.store.faults.drop_writes = 2
        host.crash("bad", "a")
        await settle()
        self.assertEqual(len(host.notices), 1)
        await asyncio.sleep(2 * crash_reports._RETRY_S + 0.3)
        self.assertEqual(len(host.notices), 1)
        self.assertIn(REPORT_PREFIX + "h1", await self.stored())

    async def test_hosts_are_told_while_the_store_is_slow(self):
        host = await self.add_host("h1")
        self.store.faults.delay_s = 0.3
        host.crash("bad", "a")
        await asyncio.sleep(0.15)
        self.assertEqual(len(host.notices), 1)

    async def test_unreadable_reports_blame_nothing(self):
        host = await self.add_host("h1")
        for number, value in enumerate(
            (b"null", b"[]", b'{"reports": 1}', b'{"reports": [{}]}', b"\xff")
        ):
            await self.store.write(f"{REPORT_PREFIX}x{number}", value, 0)
        await settle()
        self.assertFalse(host.evidence.has_suspects)

    async def test_reports_of_hosts_that_are_gone_are_deleted(self):
        host = await self.add_host("h1")
        host.crash("bad", "a")
        old = b'{"reports": [], "at_ms": 1}'
        await self.store.write(REPORT_PREFIX + "gone", old, 0)
        await settle()
        await host.reports.delete_abandoned()
        self.assertEqual(set(await self.stored()), {REPORT_PREFIX + "h1"})


if __name__ == "__main__":
    unittest.main()
