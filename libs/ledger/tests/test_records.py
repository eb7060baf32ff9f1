"""Tests of the records that bound what programs may have spent."""

import json
import unittest
from unittest import mock

from masticdale_ledger import records
from masticdale_ledger.records import RECORD_PREFIX, ProgramRecords
from masticdale_platform.testing import MemoryStore

DAY_MS = 86_400_000


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
        await program_records.delete_old(DAY_MS + 1)
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
        self.assertEqual(left.tokens, 200)


if __name__ == "__main__":
    unittest.main()
