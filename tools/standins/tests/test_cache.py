"""Tests of the prefix cache."""

import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from masticdale_standins.cache import BranchKey, PrefixCache, split_into_blocks
from masticdale_upstreams import CacheEventKind

BLOCK = 2
CHARACTERS = BLOCK * 4
ANNE = BranchKey("anne", "main")
BEN = BranchKey("ben", "main")


def hashes(text):
    return split_into_blocks(text, BLOCK).hashes


def create_cache(blocks=100, restore_interval=0):
    events = []
    cache = PrefixCache(blocks * BLOCK, BLOCK, restore_interval, events.append)
    return cache, events


class PrefixCacheTest(unittest.TestCase):
    def test_matches_the_longest_common_prefix_in_whole_blocks(self):
        cache, _ = create_cache()
        cache.store(ANNE, hashes("a" * 24))
        cases = (("a" * 40, 6), ("a" * 20, 4), ("a" * 8 + "b" * 8, 2), ("b", 0))
        for text, tokens in cases:
            with self.subTest(text):
                self.assertEqual(cache.match(hashes(text)), tokens)

    def test_a_restore_interval_matches_at_multiples_and_prompt_ends(self):
        cache, _ = create_cache(restore_interval=3 * BLOCK)
        cache.store(ANNE, hashes("a" * 7 * CHARACTERS))
        cache.store(BEN, hashes("a" * 2 * CHARACTERS))
        for held, matched in ((1, 0), (2, 2), (3, 3), (5, 3), (6, 6), (9, 7)):
            with self.subTest(held=held):
                found = cache.match(hashes("a" * held * CHARACTERS))
                self.assertEqual(found, matched * BLOCK)

    def test_evicts_the_least_recently_used_from_its_end(self):
        cache, events = create_cache(blocks=4)
        cache.store(ANNE, hashes("a" * 3 * CHARACTERS))
        cache.store(BEN, hashes("b" * 2 * CHARACTERS))
        self.assertEqual(cache.tokens_by_program(), {"anne": 4, "ben": 4})
        self.assertEqual(cache.match(hashes("a" * 24)), 4)
        cache.store(BEN, hashes("b" * 4 * CHARACTERS))
        self.assertEqual(cache.tokens_by_program(), {"ben": 8})
        self.assertIs(events[-1].kind, CacheEventKind.EVICTED)
        self.assertEqual(events[-1].program_id, "anne")

    def test_release_keeps_what_others_share(self):
        cache, _ = create_cache()
        cache.store(ANNE, hashes("a" * 8 + "x" * 8))
        cache.store(BEN, hashes("a" * 8 + "y" * 8))
        cache.release("anne")
        self.assertEqual(cache.tokens_by_program(), {"ben": 4})
        self.assertEqual(cache.cached_tokens, 4)
        self.assertEqual(cache.match(hashes("a" * 8 + "x" * 8)), 2)

    @settings(derandomize=True, deadline=None, max_examples=100)
    @given(
        st.lists(
            st.tuples(
                st.sampled_from([ANNE, BEN, BranchKey("anne", "sub")]),
                st.text("ab", max_size=12 * CHARACTERS),
                st.booleans(),
            ),
            max_size=12,
        )
    )
    def test_memory_stays_in_bounds_and_accounted_for(self, steps):
        cache, _ = create_cache(blocks=8)
        for branch, text, is_release in steps:
            if is_release:
                cache.release(branch.program_id)
                self.assertNotIn(branch.program_id, cache.tokens_by_program())
            else:
                cache.store(branch, hashes(text))
            self.assertLessEqual(cache.cached_tokens, 8 * BLOCK)
            held = sum(cache.tokens_by_branch().values())
            self.assertGreaterEqual(held, cache.cached_tokens)
        cache.release("anne")
        cache.release("ben")
        self.assertEqual(cache.cached_tokens, 0)


if __name__ == "__main__":
    unittest.main()
