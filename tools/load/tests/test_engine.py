"""Tests of the simulated engine and its prefix cache."""

import asyncio
import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from masticdale_load import virtual_time
from masticdale_load.cache import PrefixCache
from masticdale_load.engine import EngineCall, EngineModel, EngineSpec

SPEC = EngineSpec(2, 0.02, 0.001, 10_000.0, 0.5, 1, 50_000.0)


def call(branch, prompt=1_000, generated=100):
    return EngineCall(branch, "t", 200, prompt, generated)


class EngineTest(unittest.TestCase):
    def run_calls(self, *calls, capacity=10_000, crash_at=None):
        async def main():
            engine = EngineModel(SPEC, PrefixCache(capacity))
            loop = asyncio.get_running_loop()
            if crash_at is not None:
                loop.call_later(crash_at, engine.crash)

            async def timed(each):
                return await engine.run(each), loop.time()

            return await asyncio.gather(*map(timed, calls))

        return virtual_time.run(main())

    def test_single_call_takes_prefill_plus_decode_time(self):
        [(result, ended_at)] = self.run_calls(call("a"))
        self.assertFalse(result.crashed)
        self.assertAlmostEqual(ended_at, 0.1 + 100 * 0.021, places=3)

    def test_prefill_slows_decoding_and_slots_are_first_come_first_served(self):
        ends = [at for _, at in self.run_calls(*map(call, "abc"))]
        self.assertLess(ends[0], ends[1])
        # The third call starts when the first one frees its slot.
        self.assertGreater(ends[2], ends[0] + 100 * 0.021)
        self.assertGreater(ends[0], 0.1 + 100 * 0.021 + 0.04)

    def test_crash_fails_all_calls_and_clears_the_cache(self):
        """Guards against a call that hangs after a crash.

        The engine crashes while two calls run and one waits for a slot.
        """
        results = self.run_calls(*map(call, "abc"), crash_at=1.0)
        self.assertEqual([r.crashed for r, _ in results], [True] * 3)
        self.assertEqual({at for _, at in results}, {1.0})


class CacheTest(unittest.TestCase):
    def test_tail_of_the_least_recently_used_prefix_is_evicted_first(self):
        cache = PrefixCache(1_000, interval=64)
        for key in "abc":
            cache.store(key, 400)
        left = [cache.tokens(key) for key in "abc"]
        self.assertEqual(left, [192, 400, 400])

    @settings(derandomize=True, max_examples=100, deadline=None)
    @given(st.lists(st.tuples(st.sampled_from("abcdef"), st.integers(0, 700))))
    def test_unpinned_prefixes_never_exceed_the_capacity(self, steps):
        cache = PrefixCache(1_000)
        for key, tokens in steps:
            cache.store(key, tokens)
            held = sum(cache.tokens(k) for k in "abcdef")
            self.assertEqual(held, cache.used_tokens)
            self.assertLessEqual(held, 1_000)


if __name__ == "__main__":
    unittest.main()
