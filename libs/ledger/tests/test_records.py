"""Tests of the records that bound what programs may have spent."""

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


class CleaningTest(unittest.IsolatedAsyncioTestCase):
    async def test_records_that_nobody_deletes_are_deleted_after_a_day(self):
        """Takeovers would take longer with each loss of an owner.

        Owners delete the records of programs that they forget. Those of an
        owner that died stay, and whoever takes a shard over reads them all.
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

    async def test_a_record_that_was_raised_meanwhile_stays(self):
        store = MemoryStore()
        program_records = ProgramRecords(store, "writer")
        with mock.patch.object(records.time, "time_ns", return_value=0):
            bound = (await program_records.raise_bound("p", 100, 0)).unwrap()
        await program_records.raise_bound("p", 200, bound.version)
        await program_records.delete("p", bound.version)
        left = (await program_records.read("p")).unwrap()
        self.assertEqual(left.bound.tokens, 200)


class LostAnswerTest(unittest.IsolatedAsyncioTestCase):
    """A program would be told 402 with a fifth of its budget used.

    The store does a write and its answer is lost, and so is the question
    whether it was done. The owner writes again, meets its own record, and
    takes it for what another owner may have spent.
    """

    def setUp(self):
        self.store = MemoryStore()
        self.records = ProgramRecords(self.store, "writer")

    async def lose(self, program, tokens):
        """Raises a bound; neither the answer nor the read back arrives."""
        self.store.faults.lose_write_answers = 1
        read = mock.AsyncMock(return_value=Failed(Failure(UNAVAILABLE)))
        with mock.patch.object(self.store, "read", read):
            outcome = await self.records.raise_bound(program, tokens, 0)
        self.assertIsInstance(outcome, Failed)

    async def test_its_own_record_is_its_bound(self):
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
