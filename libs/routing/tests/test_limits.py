"""Tests of workspace limits."""

import unittest

from hypothesis import given, settings
from hypothesis import strategies as st
from returns.result import Success

from masticdale_common import ErrorKind
from masticdale_routing import (
    HostShare,
    HostShareLimiter,
    WorkspaceLimits,
    split_share,
)

HOSTS = tuple(f"h{i}" for i in range(9))


class ShareTest(unittest.TestCase):
    @settings(derandomize=True, max_examples=100, deadline=None)
    @given(st.integers(0, 200), st.integers(1, 9), st.text(max_size=5))
    def test_shares_sum_to_the_limit(self, limit, host_count, workspace):
        limits = WorkspaceLimits(limit, 18.0, 90.0)
        hosts = HOSTS[:host_count]
        shares = [split_share(limits, workspace, h, hosts) for h in hosts]
        self.assertEqual(sum(s.concurrent_turns for s in shares), limit)
        if limit > 0:
            rate = sum(s.turns_per_s for s in shares)
            self.assertAlmostEqual(rate, 18.0)
        for share in shares:
            has_none = share.concurrent_turns == 0
            self.assertEqual(bool(share.redirect_host), has_none)


class HostShareLimiterTest(unittest.TestCase):
    def test_refuses_beyond_the_share_with_a_usable_retry_time(self):
        limiter = HostShareLimiter(HostShare(2, 2.0, 2.0), 0.0)
        self.assertEqual(limiter.begin("a", 0.0), Success(None))
        self.assertEqual(limiter.begin("a", 0.0), Success(None))
        self.assertEqual(limiter.begin("b", 0.0), Success(None))
        full = limiter.begin("c", 0.0).failure()
        self.assertIs(full.kind, ErrorKind.LIMIT_REACHED)
        limiter.end("a")
        too_fast = limiter.begin("c", 0.0).failure()
        wait_s = too_fast.retry_after_ms / 1000
        self.assertAlmostEqual(wait_s, 0.5, delta=0.01)
        self.assertEqual(limiter.begin("c", wait_s), Success(None))


if __name__ == "__main__":
    unittest.main()
