"""Tests of a shard's journal: fencing, commit outcomes and liveness."""

import asyncio
import unittest

from returns.result import Success

from masticdale_common import ErrorKind
from masticdale_platform.testing import MemoryStore
from masticdale_programs.records import ProgramForgotten
from masticdale_programs.takeovers import open_journal

SHARD = 3
TOO_LARGE = ProgramForgotten("p" * 700_000)


class JournalTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.store = MemoryStore()
        self.journals = []
        self.journal = await self.open()

    async def asyncTearDown(self):
        for each in self.journals:
            await each.close()

    async def open(self, on_committed=lambda record: None):
        opened = await open_journal(
            self.store, SHARD, "host-1", "process-1", on_committed
        )
        self.journals.append(opened.unwrap())
        return opened.unwrap()

    async def stored_ids(self):
        found = []
        await self.open(lambda record: found.append(record.program_id))
        return found

    async def test_too_large_commit_is_rejected_and_blocks_no_other(self):
        # The platform would reject the write forever, and later commits of
        # the shard would wait behind it.
        rejected = await self.journal.commit([TOO_LARGE])
        self.assertIs(rejected.failure().kind, ErrorKind.TOO_LARGE)
        later = await self.journal.commit([ProgramForgotten("p1")])
        self.assertIsInstance(later, Success)

    async def test_close_resolves_the_commit_in_flight(self):
        # The caller would wait forever for a writer task that has ended. The
        # write may have taken effect, so the outcome is WRITE_UNKNOWN.
        self.store.faults.delay_s = 60
        waiting = asyncio.create_task(
            self.journal.commit([ProgramForgotten("p1")])
        )
        await asyncio.sleep(0.01)
        await self.journal.close()
        outcome = await asyncio.wait_for(waiting, 5)
        self.assertIs(outcome.failure().kind, ErrorKind.WRITE_UNKNOWN)
        self.store.faults.delay_s = 0

    async def test_release_loses_no_concurrent_commit(self):
        # Calls may commit during a handoff. The next owner must read every
        # commit that succeeded.
        self.store.faults.delay_s = 0.005
        program_ids = [f"p{number}" for number in range(20)]
        commits = []
        for program_id in program_ids:
            commit = self.journal.commit([ProgramForgotten(program_id)])
            commits.append(asyncio.create_task(commit))
            if program_id == "p10":
                release = asyncio.create_task(self.journal.release())
            await asyncio.sleep(0.001)
        outcomes = await asyncio.gather(*commits)
        self.assertIsInstance(await release, Success)
        committed = [
            program_id
            for program_id, outcome in zip(program_ids, outcomes, strict=True)
            if isinstance(outcome, Success)
        ]
        self.assertEqual(await self.stored_ids(), committed)

    async def test_second_opening_by_the_same_process_is_told_apart(self):
        # Two openings by one process race, and the write of one is dropped.
        # If it mistook the other's head for its own, each would overwrite the
        # other's records.
        self.store.faults.drop_writes = 1
        self.store.faults.delay_s = 0.001
        results = await asyncio.gather(
            *(
                open_journal(
                    self.store, SHARD, "host-1", "process-1", lambda _: None
                )
                for _ in range(2)
            )
        )
        opened = [r.unwrap() for r in results if isinstance(r, Success)]
        self.journals.extend(opened)
        self.assertEqual(len(opened), 1)

    async def test_commit_that_a_new_owner_may_have_is_unknown(self):
        # The response of a write is lost, and a new owner reads its record
        # before the old one reads the head. NOT_OWNER would be false.
        self.store.faults.lose_write_answers = 1
        taken_over = asyncio.Event()
        read = self.store.read

        async def delayed_read(key):
            await taken_over.wait()
            return await read(key)

        self.store.read = delayed_read
        commit = asyncio.create_task(
            self.journal.commit([ProgramForgotten("p1")])
        )
        await asyncio.sleep(0.01)
        self.store.read = read
        self.assertEqual(await self.stored_ids(), ["p1"])
        taken_over.set()
        outcome = await commit
        self.assertIs(outcome.failure().kind, ErrorKind.WRITE_UNKNOWN)

    async def test_failed_writer_gives_up_ownership(self):
        def fail(record):
            raise ValueError(record.program_id)

        journal = await self.open(fail)
        outcome = await journal.commit([ProgramForgotten("p1")])
        self.assertIs(outcome.failure().kind, ErrorKind.WRITE_UNKNOWN)
        self.assertFalse(journal.is_owned)


if __name__ == "__main__":
    unittest.main()
