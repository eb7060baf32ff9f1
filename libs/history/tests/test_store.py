"""Tests of appends, reads, expiry and room of the store."""

import asyncio
import dataclasses
import os
import time
import unittest
from unittest import mock

from store_case import RETENTION_MS, StoreCase, turn

from masticdale_common import ErrorKind, MasticdaleError
from masticdale_history import (
    CLOCK_MARGIN_MS,
    TurnEntry,
    TurnKey,
    segments,
    store,
)

_KEPT_MS = RETENTION_MS + CLOCK_MARGIN_MS


class AppendTest(StoreCase):
    async def test_a_chain_is_read_from_the_disk_as_it_was_appended(self):
        """Guards against records that change on the disk."""
        first = turn("1", workspace="ä", size_bytes=13_000)
        second = turn("2", "1", workspace="ä")
        self.assertIsNone(await self.append(first))
        self.assertIsNone(await self.append(second))
        await self.restart()
        self.assertEqual(await self.read("2", "ä"), [first, second])
        self.assertEqual(await self.read("1", "ä"), [first])

    async def test_a_record_of_another_workspace_is_not_shown(self):
        """Guards against reading a turn of another workspace by its id."""
        await self.append(turn("1", workspace="v"))
        await self.append(turn("2", workspace=""))
        self.assertIsNone(await self.read("1", "w"))
        self.assertIsNone(await self.read("2", "w"))
        self.assertFalse(self.store.holds("w", "1"))

    async def test_a_previous_turn_of_another_workspace_is_missing(self):
        """Guards against chains that cross workspaces."""
        await self.append(turn("1", workspace="v"))
        outcome = await self.append(turn("2", "1", workspace="w"))
        self.assertIs(outcome, ErrorKind.MISSING_PREVIOUS)

    async def test_a_turn_without_its_previous_turn_is_refused(self):
        """Guards against disks that hold a part of a chain."""
        first, second, third = turn("1"), turn("2", "1"), turn("3", "2")
        outcome = await self.append(second, third)
        self.assertIs(outcome, ErrorKind.MISSING_PREVIOUS)
        outcome = await self.append(first, third)
        self.assertIs(outcome, ErrorKind.MISSING_PREVIOUS)
        self.assertEqual(self.store.stats().records, 0)
        self.assertIsNone(await self.append(first, second, third))
        self.assertEqual(await self.read("3"), [first, second, third])

    async def test_a_record_that_is_held_is_skipped(self):
        """Guards against repairs and retries that fill the disk."""
        await self.append(turn("1"))
        await self.restart()
        size_bytes = self.store.stats().size_bytes
        self.assertIsNone(await self.append(turn("1"), turn("1")))
        self.assertEqual(self.store.stats().size_bytes, size_bytes)

    async def test_other_contents_of_a_held_turn_are_refused(self):
        """Guards against a record that replaces an acknowledged one."""
        await self.append(turn("1"))
        outcome = await self.append(turn("2", "1"), turn("1", seed=1))
        self.assertIs(outcome, ErrorKind.CONFLICT)
        await self.restart()
        self.assertIs(await self.append(turn("1", seed=1)), ErrorKind.CONFLICT)
        self.assertEqual(await self.read("1"), [turn("1")])
        self.assertFalse(self.store.holds("w", "2"))

    async def test_other_contents_in_the_same_batch_are_refused(self):
        """Guards against two records of one turn in one sync."""
        outcomes = await asyncio.gather(
            self.append(turn("1")), self.append(turn("1", seed=1))
        )
        self.assertEqual(outcomes, [None, ErrorKind.CONFLICT])

    async def test_a_record_that_cannot_be_encoded_fails_alone(self):
        """Guards against one record that fails a batch and the store."""
        outcomes = await asyncio.gather(
            self.append(dataclasses.replace(turn("0"), turn_id="\ud800")),
            self.append(turn("1", ended_at_ms=2**63)),
            self.append(turn("2")),
        )
        bad = ErrorKind.BAD_REQUEST
        self.assertEqual(outcomes, [bad, bad, None])
        self.assertFalse(self.store.has_failed)

    async def test_waiting_appends_share_a_sync(self):
        """Guards against one sync for each record under load."""
        await asyncio.gather(*(self.append(turn(str(i))) for i in range(200)))
        self.assertEqual(self.store.stats().records, 200)
        self.assertLessEqual(self.store.stats().syncs, 2)

    async def test_a_record_is_not_shown_before_its_sync(self):
        """Guards against counting a copy that a power loss may remove."""
        appending = asyncio.create_task(self.append(turn("1")))
        await asyncio.sleep(0)
        self.assertFalse(self.store.holds("w", "1"))
        self.assertIsNone(await self.read("1"))
        self.assertEqual(self.store.entries(), [])
        self.assertIsNone(await appending)
        self.assertTrue(self.store.holds("w", "1"))

    async def test_an_append_whose_caller_left_does_not_stop_others(self):
        """Guards against a cancelled call that blocks the batch."""
        cancelled = asyncio.create_task(self.append(turn("1")))
        await asyncio.sleep(0)
        cancelled.cancel()
        self.assertIsNone(await self.append(turn("2")))

    async def test_a_closed_store_refuses_calls(self):
        """Guards against calls that hang or fail oddly while a host stops."""
        appending = asyncio.create_task(self.append(turn("1")))
        await asyncio.sleep(0)
        await self.store.close()
        self.assertIsNone(await appending)
        self.assertIs(await self.append(turn("2")), ErrorKind.STOPPING)
        with self.assertRaises(MasticdaleError):
            await self.read("1")
        await self.store.expire()

    async def test_entries_describe_the_records(self):
        """Guards against repairs that miss or misplace records."""
        await self.append(turn("1"), turn("2", "1", ended_at_ms=500))
        frame_bytes = self.store.stats().size_bytes // 2
        first = TurnKey("w", "1")
        expected = [
            TurnEntry(first, None, "chain", frame_bytes, RETENTION_MS),
            TurnEntry(
                TurnKey("w", "2"),
                first,
                "chain",
                frame_bytes + 1,
                RETENTION_MS + 500,
            ),
        ]
        self.assertEqual(self.store.entries(), expected)
        await self.restart()
        self.assertEqual(self.store.entries(), expected)


class ExpiryTest(StoreCase):
    async def test_a_record_stays_for_its_retention_and_the_clock_margin(self):
        """Guards against turns that are dropped early by a skewed clock."""
        await self.append(turn("1"))
        self.now_ms = _KEPT_MS - 1
        await self.store.expire()
        self.assertEqual(await self.read("1"), [turn("1")])
        self.assertEqual(len(self.store.entries()), 1)
        self.now_ms += 1
        self.assertIsNone(await self.read("1"))
        self.assertEqual(self.store.entries(), [])
        await self.store.expire()
        self.assertFalse(self.store.holds("w", "1"))

    async def test_clock_steps_and_a_slow_save_do_not_shorten_the_retention(
        self,
    ):
        """Guards against a margin without the time that a save may take."""
        clock_step_ms, save_ms, calls_ms = 2_000, 2_000, 1_000
        await self.append(turn("1"))
        self.now_ms = RETENTION_MS + 2 * clock_step_ms + save_ms + calls_ms - 1
        await self.store.expire()
        self.assertEqual(await self.read("1"), [turn("1")])

    async def test_a_chain_stays_as_long_as_a_turn_that_continues_it(self):
        """Guards against a live turn whose chain is incomplete."""
        chain = [turn("1"), turn("2", "1"), turn("3", "2", ended_at_ms=50_000)]
        await self.append(*chain)
        await self.append(turn("other", "1"))
        for _ in range(2):
            self.now_ms = 50_000 + _KEPT_MS - 1
            await self.store.expire()
            self.assertEqual(await self.read("3"), chain)
            (entry,) = self.store.entries()
            self.assertEqual(entry.key.turn_id, "3")
            self.assertTrue(self.store.holds("w", "2"))
            self.assertFalse(self.store.holds("w", "other"))
            await self.restart()
        self.now_ms += 1
        await self.store.expire()
        self.assertEqual(self.store.stats().records, 0)

    async def test_a_previous_turn_stays_while_its_successor_is_written(self):
        """Guards against an expiry between the check and the sync."""
        await self.append(turn("1"))
        self.now_ms = _KEPT_MS
        second = turn("2", "1", ended_at_ms=self.now_ms)
        expiring = []
        sync = os.fdatasync

        def expire_and_sync(descriptor):
            expiring.append(
                asyncio.run_coroutine_threadsafe(self.store.expire(), loop)
            )
            time.sleep(0.02)
            sync(descriptor)

        loop = asyncio.get_running_loop()
        with mock.patch.object(os, "fdatasync", expire_and_sync):
            self.assertIsNone(await self.append(second))
        await asyncio.wrap_future(expiring[0])
        self.assertEqual(await self.read("2"), [turn("1"), second])

    async def test_an_expired_turn_may_be_appended_with_other_contents(self):
        """Guards against an old record that reappears after a restart."""
        await self.append(turn("1"))
        self.now_ms = _KEPT_MS
        await self.store.expire()
        again = turn("1", ended_at_ms=self.now_ms, seed=1)
        self.assertIsNone(await self.append(again))
        await self.restart()
        self.assertEqual(await self.read("1"), [again])


class SegmentNumberTest(StoreCase):
    async def test_segments_are_numbered_on_after_others_were_deleted(self):
        """Guards against a new segment that takes the name of a live one."""
        self.enterContext(mock.patch.object(segments, "SEGMENT_BYTES", 1))
        await self.append(turn("1"))
        self.now_ms = _KEPT_MS
        for turn_id in "234":
            await self.append(turn(turn_id, ended_at_ms=self.now_ms))
        await self.store.expire()
        self.assertEqual(self.store.stats().segments, 3)
        await self.restart()
        for turn_id in "567":
            record = turn(turn_id, ended_at_ms=self.now_ms)
            self.assertIsNone(await self.append(record))
        await self.restart()
        self.assertEqual(self.store.stats().records, 6)


class SpaceTest(StoreCase):
    capacity_bytes = 100_000

    def setUp(self):
        self.enterContext(mock.patch.object(segments, "SEGMENT_BYTES", 10_000))
        self.enterContext(
            mock.patch.multiple(store, _MAX_MOVE_BYTES=1_000, _CACHE_BYTES=0)
        )
        super().setUp()

    async def fill(self, name, ended_at_ms):
        """Appends until the store refuses; returns the failure."""
        for number in range(200):
            record = turn(f"{name}{number}", "", "w", ended_at_ms, 1_000)
            failure = await self.append(record)
            if failure is not None:
                return failure
        return None

    def folder_bytes(self):
        paths = self.disk.folder.glob("*.turns")
        return sum(path.stat().st_size for path in paths)

    async def test_a_full_disk_refuses_records_until_others_expire(self):
        """Guards against a disk that is filled, or that stays full."""
        self.assertIs(await self.fill("a", 0), ErrorKind.STORE_FULL)
        self.assertTrue(self.store.is_full)
        self.assertFalse(self.store.has_failed)
        self.assertLess(self.folder_bytes(), 0.88 * self.capacity_bytes)
        self.assertIsNone(await self.append(turn("a0", "", "w", 0, 1_000)))
        self.now_ms = _KEPT_MS
        await self.store.expire()
        self.assertFalse(self.store.is_full)
        self.assertEqual(self.folder_bytes(), self.store.stats().size_bytes)
        self.assertIs(await self.fill("b", _KEPT_MS), ErrorKind.STORE_FULL)

    async def test_a_disk_says_that_it_is_full_before_it_refuses(self):
        """Guards against turns that run and can't be appended at their end."""
        accepted_when_full = 0
        for number in range(200):
            was_full = self.store.is_full
            record = turn(str(number), size_bytes=1_000)
            if await self.append(record) is None:
                accepted_when_full += was_full
        self.assertGreaterEqual(accepted_when_full, 3)

    async def test_expired_segments_are_deleted(self):
        """Guards against disks that fill up with expired records."""
        await self.fill("a", 0)
        self.now_ms = _KEPT_MS
        await self.store.expire()
        self.assertLessEqual(self.store.stats().segments, 1)
        self.assertLess(self.folder_bytes(), 15_000)

    async def test_sparse_segments_are_compacted(self):
        """Guards against single live records that keep whole segments."""
        kept = []
        for number in range(50):
            ended_at_ms = 30_000 if number % 8 == 0 else 0
            record = turn(str(number), "", "w", ended_at_ms, 1_000)
            await self.append(record)
            kept += [record] if ended_at_ms else []
        self.assertGreaterEqual(self.store.stats().segments, 5)
        self.now_ms = _KEPT_MS
        await self.store.expire()
        self.assertLessEqual(self.store.stats().segments, 2)
        for _ in range(2):
            self.assertEqual(self.store.stats().records, len(kept))
            for record in kept:
                self.assertEqual(await self.read(record.turn_id), [record])
            await self.lose_power()

    async def test_reads_during_compaction_find_their_records(self):
        """Guards against reading a segment that was just deleted."""
        kept = []
        for number in range(50):
            ended_at_ms = 30_000 if number % 8 == 0 else 0
            record = turn(str(number), "", "w", ended_at_ms, 1_000)
            await self.append(record)
            kept += [record] if ended_at_ms else []
        self.now_ms = _KEPT_MS
        expiring = asyncio.create_task(self.store.expire())
        reads = 0
        while not expiring.done():
            chains = await asyncio.gather(*(self.read(r.turn_id) for r in kept))
            self.assertEqual(chains, [[record] for record in kept])
            reads += 1
        await expiring
        self.assertGreater(reads, 1)


if __name__ == "__main__":
    unittest.main()
