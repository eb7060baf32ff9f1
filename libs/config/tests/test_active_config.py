"""Tests that a host applies revisions in order and never reverts."""

import asyncio
import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from masticdale_common import ErrorKind
from masticdale_config import ActiveConfig, ConfigStore, storage, testing
from masticdale_platform.testing import MemoryStore

REVISION_COUNT = 6


async def _revisions(count=REVISION_COUNT):
    store = MemoryStore()
    operator = ConfigStore(store, ActiveConfig())
    seen = None
    for number in range(1, count + 1):
        engine = testing.engine("e", "m", port=8000 + number)
        change = testing.change(f"c{number}", testing.put(engine, seen))
        (await operator.apply(change)).unwrap()
        seen = engine
    stored = (await store.list(storage.REVISION_PREFIX)).unwrap()
    return [item.value for item in stored]


class ActiveConfigTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.revisions = await _revisions()

    async def test_a_gap_is_rejected_after_earlier_revisions_apply(self):
        active = ActiveConfig()
        outcome = active.apply_revisions([self.revisions[0], self.revisions[2]])
        self.assertIs(outcome.failure().kind, ErrorKind.OUT_OF_ORDER)
        self.assertEqual(active.number, 1)

    async def test_subscribers_are_notified_once_of_the_newest(self):
        active = ActiveConfig()
        notified = []
        active.subscribe(lambda config: notified.append(config.revision))
        active.apply_revisions(self.revisions)
        active.apply_revisions(self.revisions)
        self.assertEqual(notified, [REVISION_COUNT])

    async def test_a_peer_catches_up_by_revisions_or_snapshot(self):
        active = ActiveConfig()
        active.apply_revisions(self.revisions)
        behind, fresh = ActiveConfig(), ActiveConfig()
        behind.apply_revisions(self.revisions[:3])
        fresh.apply_snapshot(active.export_after(-1).snapshot)
        behind.apply_export(active.export_after(behind.number))
        for peer in (behind, fresh):
            self.assertEqual(peer.state, active.state)

    async def test_a_damaged_snapshot_changes_nothing(self):
        active = ActiveConfig()
        active.apply_revisions(self.revisions)
        snapshot = active.export_after(-1).snapshot
        corrupted = snapshot.replace(b"8006", b"8007")
        fresh = ActiveConfig()
        for value in (corrupted, snapshot[:-5]):
            outcome = fresh.apply_snapshot(value)
            self.assertIs(outcome.failure().kind, ErrorKind.INTERNAL)
        self.assertEqual(fresh.number, 0)

    async def test_a_late_result_of_a_thread_does_not_revert(self):
        """A thread renders revisions while a peer delivers newer ones.

        The older result of the thread arrives last. It must neither replace
        the newer revisions nor enter the backlog twice.
        """
        active = ActiveConfig()
        late = asyncio.create_task(
            active.apply_revisions_in_thread(self.revisions[:2])
        )
        await asyncio.sleep(0)
        active.apply_revisions(self.revisions).unwrap()
        await late
        self.assertEqual(active.number, REVISION_COUNT)
        export = active.export_after(REVISION_COUNT - 3)
        self.assertEqual(export.revisions, tuple(self.revisions[-3:]))
        self.assertEqual(
            active.export_after(0).revisions, tuple(self.revisions)
        )

    async def test_exports_built_on_a_thread_are_equal(self):
        active = ActiveConfig()
        active.apply_revisions(self.revisions)
        for number in (-1, 2, REVISION_COUNT):
            made = await active.export_after_in_thread(number)
            self.assertEqual(made, active.export_after(number))
            peer = ActiveConfig()
            peer.apply_revisions(self.revisions[:2])
            self.assertEqual(
                (await peer.apply_export_in_thread(made)).unwrap(),
                2 if number > 2 else REVISION_COUNT,
            )

    def test_out_of_order_arrival_never_reverts_a_host(self):
        """Watch, poll and peers deliver revisions late, twice and reordered.

        If an older revision replaced a newer one, an accepted change would be
        reverted on this host alone.
        """
        revisions = self.revisions
        expected = ActiveConfig()
        expected.apply_revisions(revisions)

        @settings(derandomize=True, deadline=None, max_examples=60)
        @given(st.lists(st.integers(0, REVISION_COUNT), max_size=20))
        def check(arrivals):
            active = ActiveConfig()
            for arrival in arrivals:
                before = active.number
                if arrival == REVISION_COUNT:
                    peer = ActiveConfig()
                    peer.apply_revisions(revisions[: before // 2 + 2])
                    snapshot = peer.export_after(-1).snapshot
                    active.apply_snapshot(snapshot)
                else:
                    active.apply_revisions([revisions[arrival]])
                self.assertGreaterEqual(active.number, before)
            active.apply_revisions(revisions)
            self.assertEqual(active.current, expected.current)

        check()


if __name__ == "__main__":
    unittest.main()
