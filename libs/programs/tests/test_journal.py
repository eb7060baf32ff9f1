"""Tests of a shard's journal: one writer, truthful answers, no hanging."""

import asyncio
import unittest

from returns.result import Success

from masticdale_common import ErrorKind
from masticdale_platform.testing import MemoryStore
from masticdale_programs.records import ProgramForgotten
from masticdale_programs.takeovers import open_journal

SHARD = 3
HUGE = ProgramForgotten("p" * 700_000)


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

    async def test_too_large_is_refused_and_holds_nothing_up(self):
        # The caller sees TOO_LARGE. The platform would refuse the write for
        # ever, and each later commit of the shard would wait behind it.
        refused = await self.journal.commit([HUGE])
        self.assertIs(refused.failure().kind, ErrorKind.TOO_LARGE)
        after = await self.journal.commit([ProgramForgotten("p1")])
        self.assertIsInstance(after, Success)

    async def test_close_answers_the_commit_under_way(self):
        # The write may have taken effect: its waiter is told so instead of
        # waiting for a task that no longer runs.
        self.store.faults.delay_s = 60
        waiting = asyncio.create_task(
            self.journal.commit([ProgramForgotten("p1")])
        )
        await asyncio.sleep(0.01)
        await self.journal.close()
        outcome = await asyncio.wait_for(waiting, 5)
        self.assertIs(outcome.failure().kind, ErrorKind.WRITE_UNKNOWN)
        self.store.faults.delay_s = 0

    async def test_release_loses_no_commit_that_comes_with_it(self):
        # The daemon hands over while calls still commit: what was answered
        # with success must be there for the next owner.
        self.store.faults.delay_s = 0.005
        names = [f"p{number}" for number in range(20)]
        commits = []
        for name in names:
            commit = self.journal.commit([ProgramForgotten(name)])
            commits.append(asyncio.create_task(commit))
            if name == "p10":
                handed = asyncio.create_task(self.journal.release())
            await asyncio.sleep(0.001)
        outcomes = await asyncio.gather(*commits)
        self.assertIsInstance(await handed, Success)
        done = [
            n
            for n, o in zip(names, outcomes, strict=True)
            if isinstance(o, Success)
        ]
        self.assertEqual(await self.stored_ids(), done)

    async def test_second_opening_by_the_same_process_deposes_the_first(self):
        # Both openings carry the host's name; the second's write was lost
        # before it took effect, the first one's arrived. If the second took
        # the head for its own, each would overwrite the other's records.
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

    async def test_deposed_by_a_taker_that_may_have_the_records(self):
        # The write's answer is lost and so is the platform; a taker found
        # the record in the head. "Not written" would be false.
        self.store.faults.lose_write_answers = 1
        taken = asyncio.Event()
        read = self.store.read

        async def read_late(key):
            await taken.wait()
            return await read(key)

        self.store.read = read_late
        commit = asyncio.create_task(
            self.journal.commit([ProgramForgotten("p1")])
        )
        await asyncio.sleep(0.01)
        self.store.read = read
        self.assertEqual(await self.stored_ids(), ["p1"])
        taken.set()
        outcome = await commit
        self.assertIs(outcome.failure().kind, ErrorKind.WRITE_UNKNOWN)

    async def test_writer_that_fails_gives_the_shard_up(self):
        def fail(record):
            raise ValueError(record.program_id)

        journal = await self.open(fail)
        outcome = await journal.commit([ProgramForgotten("p1")])
        self.assertIs(outcome.failure().kind, ErrorKind.WRITE_UNKNOWN)
        self.assertFalse(journal.is_owned)


if __name__ == "__main__":
    unittest.main()
