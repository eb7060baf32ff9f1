"""Tests that a host follows revisions in order and never goes back."""

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


class InForceTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.revisions = await _revisions()

    async def test_a_gap_is_refused_and_what_came_before_it_holds(self):
        holder = ActiveConfig()
        outcome = holder.apply_revisions([self.revisions[0], self.revisions[2]])
        self.assertIs(outcome.failure().kind, ErrorKind.OUT_OF_ORDER)
        self.assertEqual(holder.number, 1)

    async def test_subscribers_hear_of_the_newest_once(self):
        holder = ActiveConfig()
        heard = []
        holder.subscribe(lambda config: heard.append(config.revision))
        holder.apply_revisions(self.revisions)
        holder.apply_revisions(self.revisions)
        self.assertEqual(heard, [REVISION_COUNT])

    async def test_a_peer_catches_up_by_revisions_or_snapshot(self):
        holder = ActiveConfig()
        holder.apply_revisions(self.revisions)
        behind, fresh = ActiveConfig(), ActiveConfig()
        behind.apply_revisions(self.revisions[:3])
        fresh.apply_snapshot(holder.export_after(-1).snapshot)
        behind.apply_export(holder.export_after(behind.number))
        for peer in (behind, fresh):
            self.assertEqual(peer.state, holder.state)

    async def test_a_damaged_snapshot_changes_nothing(self):
        holder = ActiveConfig()
        holder.apply_revisions(self.revisions)
        snapshot = holder.export_after(-1).snapshot
        wrong = snapshot.replace(b"8006", b"8007")
        fresh = ActiveConfig()
        for value in (wrong, snapshot[:-5]):
            outcome = fresh.apply_snapshot(value)
            self.assertIs(outcome.failure().kind, ErrorKind.INTERNAL)
        self.assertEqual(fresh.number, 0)

    async def test_what_is_followed_off_the_loop_never_goes_back(self):
        """One revision is rendered on a thread while a peer hands over more.

        The thread's result comes last and is older. It must not replace what
        came into force in the meantime, and nothing may be kept twice.
        """
        holder = ActiveConfig()
        slow = asyncio.create_task(
            holder.apply_revisions_in_thread(self.revisions[:2])
        )
        await asyncio.sleep(0)
        holder.apply_revisions(self.revisions).unwrap()
        await slow
        self.assertEqual(holder.number, REVISION_COUNT)
        export = holder.export_after(REVISION_COUNT - 3)
        self.assertEqual(export.revisions, tuple(self.revisions[-3:]))
        self.assertEqual(
            holder.export_after(0).revisions, tuple(self.revisions)
        )

    async def test_exports_made_off_the_loop_are_the_same(self):
        holder = ActiveConfig()
        holder.apply_revisions(self.revisions)
        for number in (-1, 2, REVISION_COUNT):
            made = await holder.export_after_in_thread(number)
            self.assertEqual(made, holder.export_after(number))
            peer = ActiveConfig()
            peer.apply_revisions(self.revisions[:2])
            self.assertEqual(
                (await peer.apply_export_in_thread(made)).unwrap(),
                2 if number > 2 else REVISION_COUNT,
            )

    def test_no_order_of_arrival_takes_a_host_back(self):
        """Revisions reach a host by watch, poll and peers at once.

        They come late, twice and crossed. If a late one were applied over a
        newer one, an accepted change would revert on this host alone.
        """
        revisions = self.revisions
        whole = ActiveConfig()
        whole.apply_revisions(revisions)

        @settings(derandomize=True, deadline=None, max_examples=60)
        @given(st.lists(st.integers(0, REVISION_COUNT), max_size=20))
        def check(arrivals):
            holder = ActiveConfig()
            for arrival in arrivals:
                before = holder.number
                if arrival == REVISION_COUNT:
                    peer = ActiveConfig()
                    peer.apply_revisions(revisions[: before // 2 + 2])
                    snapshot = peer.export_after(-1).snapshot
                    holder.apply_snapshot(snapshot)
                else:
                    holder.apply_revisions([revisions[arrival]])
                self.assertGreaterEqual(holder.number, before)
            holder.apply_revisions(revisions)
            self.assertEqual(holder.current, whole.current)

        check()


if __name__ == "__main__":
    unittest.main()
