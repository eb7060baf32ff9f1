"""Tests of the records that bound the spending of programs."""

import json
import unittest
from unittest import mock

from returns.result import Failure as Failed

from masticdale_common import ErrorKind, Failure
from masticdale_ledger import records
from masticdale_ledger.records import RECORD_PREFIX, ProgramRecords
from masticdale_platform.testing import MemoryStore

DAY_MS = 86_400_000
UNAVAILABLE = ErrorKind.PLATFORM_UNAVAILABLE


class RecordCleanupTest(unittest.IsolatedAsyncioTestCase):
    async def test_orphaned_records_are_deleted_after_a_day(self):
        """Guards against takeovers that slow down with each lost owner.

        A dead owner leaves its records behind, and every takeover reads all
        records.
        """
        store = MemoryStore()
        program_records = ProgramRecords(store, "writer")
        for program, at_ms in (("old", 0), ("young", DAY_MS)):
            now_ns = at_ms * 1_000_000
            with mock.patch.object(
                records.time, "time_ns", return_value=now_ns
            ):
                await program_records.raise_bound(program, 100, 0)
        await program_records.delete_expired(DAY_MS + 1)
        left = (await store.list(RECORD_PREFIX)).unwrap()
        self.assertEqual([json.loads(i.value)["at_ms"] for i in left], [DAY_MS])

    async def test_a_record_raised_since_is_not_deleted(self):
        store = MemoryStore()
        program_records = ProgramRecords(store, "writer")
        with mock.patch.object(records.time, "time_ns", return_value=0):
            bound = (await program_records.raise_bound("p", 100, 0)).unwrap()
        await program_records.raise_bound("p", 200, bound.version)
        await program_records.delete("p", bound.version)
        left = (await program_records.read("p")).unwrap()
        self.assertEqual(left.bound.tokens, 200)


class LostAnswerTest(unittest.IsolatedAsyncioTestCase):
    """Guards against 402 for a program with most of its budget left.

    A write succeeds, but its answer and the read that checks it are lost. When
    the owner writes again, its own record must not count as another owner's.
    """

    def setUp(self):
        self.store = MemoryStore()
        self.records = ProgramRecords(self.store, "writer")

    async def lose(self, program, tokens):
        """Raises a bound; loses the answer and the read that checks it."""
        self.store.faults.lose_write_answers = 1
        read = mock.AsyncMock(return_value=Failed(Failure(UNAVAILABLE)))
        with mock.patch.object(self.store, "read", read):
            outcome = await self.records.raise_bound(program, tokens, 0)
        self.assertIsInstance(outcome, Failed)

    async def test_its_own_record_is_not_a_conflict(self):
        await self.lose("p", 300)
        bound = (await self.records.raise_bound("p", 300, 0)).unwrap()
        self.assertEqual(bound.tokens, 300)

    async def test_its_own_lower_record_is_raised(self):
        await self.lose("p", 300)
        bound = (await self.records.raise_bound("p", 400, 0)).unwrap()
        written = (await self.records.read("p")).unwrap()
        self.assertEqual(bound, written.bound)
        self.assertEqual(bound.tokens, 400)

    async def test_another_owners_record_is_a_conflict(self):
        await ProgramRecords(self.store, "other").raise_bound("p", 300, 0)
        outcome = await self.records.raise_bound("p", 300, 0)
        self.assertIs(outcome.failure().kind, ErrorKind.CONFLICT)


if __name__ == "__main__":
    unittest.main()
