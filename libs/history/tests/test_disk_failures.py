"""Tests of power losses, failing disks and the identity of a disk."""

import contextlib
import itertools
import os
import pathlib
import random
import tempfile
import unittest
from unittest import mock

from store_case import (
    RETENTION_MS,
    CrashingDisk,
    PowerCutError,
    StoreCase,
    turn,
)

from masticdale_common import ErrorKind, MasticdaleError
from masticdale_history import CLOCK_MARGIN_MS, open_store, segments
from masticdale_history.codec import compute_checksum


class PowerLossTest(StoreCase):
    async def test_synced_records_survive_and_torn_ones_are_not_shown(self):
        """Guards against a torn tail that hides or changes synced records."""
        for seed in range(40):
            first, second = turn(f"{seed}a"), turn(f"{seed}b", f"{seed}a")
            await self.append(first)
            self.disk.cut_power_after(0)
            outcome = await self.append(second)
            self.assertIs(outcome, ErrorKind.INTERNAL)
            await self.lose_power(seed)
            self.assertEqual(await self.read(first.turn_id), [first])
            chain = await self.read(second.turn_id)
            self.assertIn(chain, (None, [first, second]))

    async def test_a_record_seen_after_a_kill_survives_a_power_loss(self):
        """Guards against counting records that are in the page cache only."""
        for seed in range(10):
            record = turn(str(seed))
            # The first append also syncs the new segment and its folder.
            self.disk.cut_power_after(2)
            await self.append(record)
            self.disk.restore_power()
            await self.restart()
            self.assertEqual(await self.read(record.turn_id), [record])
            await self.lose_power(seed)
            self.assertEqual(await self.read(record.turn_id), [record])

    async def test_a_torn_tail_is_counted_and_cut_off(self):
        """Guards against torn bytes that count as room or as damage later."""
        await self.append(turn("1"))
        size_bytes = self.store.stats().size_bytes
        await self.store.close()
        path = next(self.disk.folder.glob("*.turns"))
        path.write_bytes(path.read_bytes() + bytes(100))
        self.store = self.open()
        self.assertEqual(self.store.stats().torn_bytes, 100)
        self.assertEqual(self.store.stats().size_bytes, size_bytes)
        self.assertEqual(path.stat().st_size, size_bytes)
        await self.append(turn("2"))
        await self.restart()
        self.assertEqual(self.store.stats().torn_bytes, 0)
        self.assertFalse(self.store.was_created)

    async def test_any_cut_of_a_segment_shows_only_whole_records(self):
        """Guards against frames that are accepted although they are cut."""
        records = [turn("1"), turn("2", "1")]
        await self.append(*records)
        await self.store.close()
        path = next(self.disk.folder.glob("*.turns"))
        data = path.read_bytes()
        for size in range(len(data)):
            path.write_bytes(data[:size])
            self.store = self.open()
            self.assertIsNone(await self.read("2"))
            self.assertIn(await self.read("1"), (None, records[:1]))
            await self.store.close()

    async def test_any_changed_byte_hides_its_record(self):
        """Guards against torn bytes that are shown as a record."""
        await self.append(turn("1"))
        await self.store.close()
        path = next(self.disk.folder.glob("*.turns"))
        data = path.read_bytes()
        for index in range(len(data)):
            changed = bytearray(data)
            changed[index] ^= 1 << (index % 8)
            path.write_bytes(changed)
            self.store = self.open()
            self.assertEqual(self.store.stats().records, 0)
            await self.store.close()


class FailingDiskTest(StoreCase):
    async def test_after_a_failed_sync_no_record_is_accepted(self):
        """Guards against acknowledging records on a disk that loses them."""
        await self.append(turn("1"))
        self.disk.fail_syncs()
        self.assertIs(await self.append(turn("2")), ErrorKind.INTERNAL)
        self.assertTrue(self.store.has_failed)
        self.disk.restore_power()
        self.assertIs(await self.append(turn("3")), ErrorKind.INTERNAL)
        self.assertEqual(await self.read("1"), [turn("1")])
        self.assertIsNone(await self.append(turn("1")))
        self.assertFalse(self.store.holds("w", "2"))

    async def test_a_restart_does_not_show_records_whose_sync_failed(self):
        """Guards against pages that a failed sync left marked as clean."""
        await self.append(turn("1"))
        self.disk.fail_syncs()
        await self.append(turn("2"))
        self.disk.restore_power()
        await self.restart()
        self.assertFalse(self.store.holds("w", "2"))
        self.assertFalse(self.store.has_failed)
        self.assertIsNone(await self.append(turn("2")))

    async def test_a_failed_write_stops_the_store(self):
        """Guards against frames behind a partly written one."""
        await self.append(turn("1"))
        error = OSError(28, "No space left on device")
        with mock.patch.object(os, "pwrite", side_effect=error):
            self.assertIs(await self.append(turn("2")), ErrorKind.INTERNAL)
        self.assertIs(await self.append(turn("3")), ErrorKind.INTERNAL)
        self.assertTrue(self.store.has_failed)

    async def test_a_failed_append_ends_those_that_follow_it(self):
        """Guards against copies that compaction makes after a failed sync."""
        log = segments.SegmentLog(self.disk.folder)
        self.addCleanup(log.close)
        log.scan(lambda *frame: None)
        self.disk.fail_syncs()
        with self.assertRaises(OSError):
            log.append([b"frame"])
        self.disk.restore_power()
        with self.assertRaises(OSError):
            log.append([b"frame"])
        self.assertEqual(log.total_bytes, 0)

    async def test_a_short_write_is_completed(self):
        """Guards against acknowledging a part of a record."""
        write = os.pwrite

        def write_a_part(descriptor, data, offset):
            return write(descriptor, data[:10], offset)

        with mock.patch.object(os, "pwrite", write_a_part):
            self.assertIsNone(await self.append(turn("1")))
        await self.restart()
        self.assertEqual(await self.read("1"), [turn("1")])

    async def test_a_failed_compaction_keeps_the_records(self):
        """Guards against deleting a segment whose copies were not synced."""
        record = turn("1", ended_at_ms=40_000)
        with mock.patch.object(segments, "SEGMENT_BYTES", 1):
            await self.append(record, turn("2", size_bytes=500))
            await self.append(turn("3"))
        self.now_ms = 70_000
        self.disk.fail_syncs()
        await self.store.expire()
        self.assertTrue(self.store.has_failed)
        self.assertEqual(await self.read("1"), [record])
        self.disk.restore_power()
        await self.restart()
        self.assertEqual(await self.read("1"), [record])

    async def test_a_record_that_cannot_be_read_is_not_absent(self):
        """Guards against a wrong 404 for a turn on a damaged disk."""
        await self.append(turn("1"))
        await self.restart()
        path = next(self.disk.folder.glob("*.turns"))
        path.write_bytes(bytes(path.stat().st_size))
        with self.assertRaises(MasticdaleError) as raised:
            await self.read("1")
        self.assertIs(raised.exception.failure.kind, ErrorKind.INTERNAL)
        self.assertTrue(self.store.has_failed)


class IdentityTest(StoreCase):
    async def test_the_identity_survives_power_losses(self):
        """Guards against a disk that forgets that it is another one."""
        disk_id = self.store.disk_id
        self.assertTrue(self.store.was_created)
        self.now_ms += 5_000
        await self.lose_power()
        self.assertEqual(self.store.disk_id, disk_id)
        self.assertFalse(self.store.was_created)
        self.assertEqual(self.store.created_at_ms, 1_000)

    async def test_an_empty_folder_gets_another_identity(self):
        """Guards against taking an empty disk for the one that was lost."""
        folder = pathlib.Path(self.enterContext(tempfile.TemporaryDirectory()))
        other = open_store(folder / "new", 1_000_000, lambda: self.now_ms)
        self.assertNotEqual(other.disk_id, self.store.disk_id)
        self.assertTrue(other.was_created)
        await other.close()

    async def test_a_disk_that_lost_synced_records_gets_a_new_identity(self):
        """Guards against certain absences from a damaged disk."""
        disk_id = self.store.disk_id
        with mock.patch.object(segments, "SEGMENT_BYTES", 1):
            await self.append(turn("1"))
            await self.append(turn("2"))
        await self.store.close()
        path = min(self.disk.folder.glob("*.turns"))
        path.write_bytes(path.read_bytes()[:-1])
        self.store = self.open()
        self.assertNotEqual(self.store.disk_id, disk_id)
        self.assertTrue(self.store.was_created)
        self.assertEqual(await self.read("2"), [turn("2")])

    async def test_a_start_that_ends_early_does_not_hide_damage(self):
        """Guards against a damaged disk that keeps its earlier identity."""
        for syncs, is_power_lost in itertools.product(range(12), (False, True)):
            folder = self.enterContext(tempfile.TemporaryDirectory())
            disk = CrashingDisk(folder)
            with disk.patched():
                old_id = await self.damage(disk)
                disk.cut_power_after(syncs)
                has_started = False
                with contextlib.suppress(PowerCutError):
                    store = open_store(disk.folder, 10**6, lambda: self.now_ms)
                    await store.close()
                    has_started = True
                disk.restore_power()
                if is_power_lost:
                    disk.lose_power(random.Random(syncs))
                store = open_store(disk.folder, 10**6, lambda: self.now_ms)
                self.assertNotEqual(store.disk_id, old_id)
                await store.close()
        # The last start must not have been cut short.
        self.assertTrue(has_started)

    async def damage(self, disk):
        """Cuts the oldest of three segments; returns the id of the disk."""
        store = open_store(disk.folder, 10**6, lambda: self.now_ms)
        with mock.patch.object(segments, "SEGMENT_BYTES", 1):
            for name in ("1", "2", "3"):
                await store.append((turn(name),))
        await store.close()
        path = min(disk.folder.glob("*.turns"))
        path.write_bytes(path.read_bytes()[:-1])
        return store.disk_id

    async def test_damaged_tails_are_cut_off(self):
        """Guards against damage that is found again at each start."""
        await self.store.close()
        await self.damage(self.disk)
        self.store = self.open()
        disk_id = self.store.disk_id
        self.assertGreater(self.store.stats().torn_bytes, 0)
        await self.restart()
        self.assertEqual(self.store.disk_id, disk_id)
        self.assertEqual(self.store.stats().torn_bytes, 0)

    async def test_a_turn_without_its_chain_is_left_out_after_damage(self):
        """Guards against reading a part of a chain as if it were whole."""
        with mock.patch.object(segments, "SEGMENT_BYTES", 1):
            await self.append(turn("1"))
            await self.append(turn("2", "1"))
        await self.store.close()
        min(self.disk.folder.glob("*.turns")).unlink()
        self.store = self.open()
        self.assertFalse(self.store.holds("w", "2"))
        self.assertTrue(self.store.was_created)

    async def test_an_expired_turn_without_its_chain_is_no_damage(self):
        """Guards against repairing a whole disk after a deleted segment."""
        with mock.patch.object(segments, "SEGMENT_BYTES", 1):
            await self.append(turn("1"))
            await self.append(turn("2", "1"))
        self.now_ms += RETENTION_MS + CLOCK_MARGIN_MS
        await self.store.expire()
        self.assertEqual(self.store.stats().segments, 1)
        await self.restart()
        self.assertFalse(self.store.was_created)
        self.assertEqual(self.store.stats().records, 0)

    async def test_a_first_start_may_lose_power_at_any_sync(self):
        """Guards against a disk that can't be opened after its first start."""
        for syncs, seed in itertools.product(range(6), range(10)):
            folder = self.enterContext(tempfile.TemporaryDirectory())
            disk = CrashingDisk(folder)
            disk.cut_power_after(syncs)
            with disk.patched(), contextlib.suppress(PowerCutError):
                store = open_store(disk.folder, 1_000_000, lambda: self.now_ms)
                await store.close()
            disk.lose_power(random.Random(seed))
            store = open_store(disk.folder, 1_000_000, lambda: self.now_ms)
            await store.close()

    async def test_a_folder_in_another_format_is_refused(self):
        """Guards against cutting off records of a later version."""
        await self.store.close()
        path = self.disk.folder / "disk"
        text = path.read_text()
        path.write_text("masticdale-turns-2 id 5\n")
        with self.assertRaises(MasticdaleError):
            self.open()
        path.write_text(text)
        self.store = self.open()

    async def test_a_damaged_identity_is_reported(self):
        """Guards against an exception that ends the opening for good."""
        await self.store.close()
        path = self.disk.folder / "disk"
        data = path.read_bytes()
        for damaged in (
            b"masticdale-turns-1 id 12x4\n",
            b"masticdale-turns-1 id\n",
            b"\xff" + data[1:],
            b"",
        ):
            path.write_bytes(damaged)
            with self.assertRaises(MasticdaleError) as raised:
                self.open()
            self.assertIs(raised.exception.failure.kind, ErrorKind.INTERNAL)
        path.write_bytes(data)
        self.store = self.open()

    async def test_a_frame_that_is_no_record_is_reported(self):
        """Guards against an exception that ends the opening for good."""
        await self.store.close()
        for payload in (b"short", b"\xff" * 60):
            frame = segments.encode_frame(payload, compute_checksum(payload))
            path = self.disk.folder / "0000000009.turns"
            path.write_bytes(frame)
            with self.assertRaises(MasticdaleError) as raised:
                self.open()
            self.assertIs(raised.exception.failure.kind, ErrorKind.INTERNAL)
        path.unlink()
        self.store = self.open()

    async def test_a_disk_that_fails_at_the_start_is_reported(self):
        """Guards against serving from a disk that can't be synced."""
        await self.store.close()
        self.disk.fail_syncs()
        with self.assertRaises(MasticdaleError):
            self.open()
        self.disk.restore_power()
        self.store = self.open()


if __name__ == "__main__":
    unittest.main()
