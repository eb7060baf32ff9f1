"""Tests of storage hosts whose disk or tasks fail unexpectedly."""

import asyncio
import errno
import unittest
from unittest import mock

import eliot
from storage_case import StorageCase

from masticdale_entry import history_disk
from masticdale_entry.history_storage import HistoryStorage
from masticdale_history.markers import DiskMarkers

# Longer than a host takes to open its disk and begin to serve.
REACTION_S = 1.0


class FailingDiskTest(StorageCase):
    def setUp(self):
        self.lines = []
        eliot.add_destinations(self.lines.append)
        self.addCleanup(eliot.remove_destination, self.lines.append)

    def fail_writes(self, method, name):
        """Makes the next write of a marker fail, as on a full disk."""
        write = getattr(DiskMarkers, method)
        failures = [OSError(errno.ENOSPC, "No space left on device")]

        def fail_once(markers, marker):
            if marker == name and failures:
                raise failures.pop()
            write(markers, marker)

        self.enterContext(mock.patch.object(DiskMarkers, method, fail_once))
        return failures

    def assert_logged(self, message_type):
        found = [line.get("message_type") for line in self.lines]
        self.assertIn(message_type, found)

    async def test_the_mark_of_an_emptied_disk_is_retried(self):
        """Guards against a retirement that ends silently."""
        await self.save_turns(1, 1)
        failures = self.fail_writes("set", "emptied")
        host = self.hosts[0]
        self.retire(host)
        await self.until(lambda: self.retirement_state(host) == "completed")
        self.assertEqual(failures, [])
        self.assert_logged("history_marker_not_written")

    async def test_the_marks_of_a_returning_host_are_retried(self):
        """Guards against a registration that ends silently."""
        host = self.hosts[0]
        self.retire(host)
        await self.until(lambda: self.retirement_state(host) == "completed")
        await host.stop()
        self.store.remove("retirements", host.name)
        for path in host.folder.glob("complete"):
            path.unlink()
        failures = [
            self.fail_writes("clear", "emptied"),
            self.fail_writes("set", "complete"),
        ]
        host.start()
        await self.until(lambda: host.name in self.store.names("history-hosts"))
        self.assertEqual(failures, [[], []])
        await self.until_complete(host)

    async def test_a_task_that_fails_is_logged(self):
        """Guards against an exception that nobody sees."""
        host = self.hosts[0]
        await host.stop()
        with mock.patch.object(
            HistoryStorage, "serve", side_effect=RuntimeError("injected")
        ):
            host.start()
            await self.until(lambda: host.host.storage is not None)
            await asyncio.sleep(REACTION_S)
        self.assert_logged("task_failed")

    async def test_an_opening_that_fails_is_logged(self):
        """Guards against a process that can't end after its disk failed."""
        host = self.hosts[0]
        await host.stop()
        with mock.patch.object(
            history_disk, "open_store", side_effect=RuntimeError("injected")
        ):
            host.start()
            await asyncio.sleep(REACTION_S)
        self.assert_logged("task_failed")
        self.assertIsNone(host.host.storage)
        await host.stop()


if __name__ == "__main__":
    unittest.main()
