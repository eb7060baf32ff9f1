"""Tests of the chains in memory."""

import unittest

from hypothesis import given
from hypothesis import strategies as st

from masticdale_history import Chain, TurnKey, TurnRecord
from masticdale_history.chain_cache import ChainCache


def record(turn_id, previous_id="", workspace="", ended_at_ms=0, size=100):
    return TurnRecord(
        turn_id,
        workspace,
        previous_id,
        "key",
        b"i" * size,
        b"o",
        ended_at_ms,
        60_000,
    )


FIRST = Chain((record("a"),))
SECOND = FIRST.with_turn(record("b", "a"))


class ChainCacheTest(unittest.TestCase):
    def test_a_turn_is_found_after_it_was_continued(self):
        """Guards against reads by each further turn that continues it."""
        cache = ChainCache()
        cache.put(FIRST)
        cache.put(SECOND)
        self.assertEqual(cache.get(TurnKey("", "a"), 0), FIRST)
        self.assertEqual(cache.get(TurnKey("", "b"), 0), SECOND)

    def test_shared_records_count_once(self):
        """Guards against long chains that displace all others."""
        cache = ChainCache()
        cache.put(SECOND)
        size = cache.size_bytes
        cache.put(FIRST)
        self.assertEqual(cache.size_bytes, size)

    def test_a_turn_of_another_workspace_is_not_found(self):
        """Guards against answers from the history of another workspace."""
        cache = ChainCache()
        cache.put(Chain((record("a", workspace="w1"),)))
        self.assertIsNone(cache.get(TurnKey("w2", "a"), 0))
        self.assertIsNone(cache.get(TurnKey("", "a"), 0))

    def test_an_entry_expires_with_its_turn(self):
        """Guards against turns that are continued after their retention."""
        cache = ChainCache()
        cache.put(FIRST.with_turn(record("b", "a", ended_at_ms=5_000)))
        self.assertIsNotNone(cache.get(TurnKey("", "b"), 64_999))
        self.assertIsNone(cache.get(TurnKey("", "b"), 65_000))
        self.assertEqual(cache.size_bytes, 0)

    def test_a_turn_with_other_content_is_not_mixed_into_a_chain(self):
        """Guards against a body that joins two runs of one turn."""
        cache = ChainCache()
        cache.put(FIRST)
        other = Chain((record("a", size=7),)).with_turn(record("b", "a"))
        cache.put(other)
        self.assertIsNone(cache.get(TurnKey("", "b"), 0))

    def test_a_chain_larger_than_the_cache_is_not_kept(self):
        """Guards against one chain that evicts all others."""
        cache = ChainCache(capacity_bytes=3_000)
        cache.put(FIRST)
        cache.put(Chain((record("big", size=4_000),)))
        self.assertIsNotNone(cache.get(TurnKey("", "a"), 0))

    def test_the_least_recently_used_chain_is_evicted(self):
        """Guards against reads by programs that are active."""
        cache = ChainCache(capacity_bytes=3_000)
        cache.put(Chain((record("a"),)))
        cache.put(Chain((record("b"),)))
        cache.get(TurnKey("", "a"), 0)
        cache.put(Chain((record("c"),)))
        self.assertIsNone(cache.get(TurnKey("", "b"), 0))
        self.assertIsNotNone(cache.get(TurnKey("", "a"), 0))

    @given(
        st.lists(
            st.tuples(st.integers(0, 5), st.integers(1, 6), st.booleans()),
            max_size=40,
        )
    )
    def test_the_size_is_bounded_and_returns_to_zero(self, steps):
        """Guards against memory that leaks with shared records."""
        cache = ChainCache(capacity_bytes=6_000)
        for number, length, is_read in steps:
            turns = [f"{number}-{i}" for i in range(length)]
            if is_read:
                cache.get(TurnKey("", turns[-1]), 0)
                continue
            records = [
                record(turn, previous)
                for previous, turn in zip(["", *turns], turns, strict=False)
            ]
            cache.put(Chain(tuple(records)))
            self.assertLessEqual(cache.size_bytes, 6_000)
        for number in range(6):
            for length in range(1, 7):
                cache.get(TurnKey("", f"{number}-{length - 1}"), 60_000)
        self.assertEqual((cache.size_bytes, len(cache)), (0, 0))


if __name__ == "__main__":
    unittest.main()
