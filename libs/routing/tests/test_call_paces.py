"""Tests of the learned pace of replicas for unary calls."""

import random
import unittest

from hypothesis import given
from hypothesis import strategies as st

from masticdale_routing.call_paces import CallPaces

REPLICAS = ("fast-1", "fast-2", "slow")
FACTOR_BY_REPLICA = {"fast-1": 1.0, "fast-2": 1.0, "slow": 2.2}
DURATION_BY_ROUTE = {"search": 0.02, "build": 0.4}


def observe(paces, rng, replica, now, slowdown=1.0, route="search"):
    """Records a call that varies by a factor of about 1.4."""
    duration_s = DURATION_BY_ROUTE[route] * FACTOR_BY_REPLICA[replica]
    duration_s *= slowdown * rng.lognormvariate(0, 0.35)
    paces.observe(replica, route, duration_s, slowdown, now)


class CallPacesTest(unittest.TestCase):
    """Load: three replicas, of which one is 2.2 times slower."""

    def setUp(self):
        self.paces = CallPaces()
        self.random = random.Random(5)

    def pace(self, now=60.0):
        return self.paces.pace_by_replica(REPLICAS, now)

    def test_a_slow_replica_is_found_whatever_the_routes(self):
        """Guards against long calls that make their replica look slow.

        Most calls at one fast replica are long, and few elsewhere. One host
        sees few calls that vary much, so that many hosts are looked at.
        """
        ratios = [self.learn_ratios(seed) for seed in range(60)]
        slow, fast = (sorted(values) for values in zip(*ratios, strict=True))
        self.assertLess(abs(slow[30] / 2.2 - 1), 0.15)
        self.assertLess(abs(fast[30] - 1), 0.15)
        # Nine hosts out of ten.
        self.assertGreater(slow[3], 1.5)
        self.assertLess(slow[56], 3.0)
        self.assertGreater(fast[3], 0.65)
        self.assertLess(fast[56], 1.5)

    def learn_ratios(self, seed):
        """Returns the paces of a slow and a fast replica to another's."""
        rng = random.Random(seed)
        paces = CallPaces()
        for n in range(150):
            replica = rng.choice(REPLICAS)
            long_share = 0.8 if replica == "fast-1" else 0.2
            route = "build" if rng.random() < long_share else "search"
            observe(paces, rng, replica, n * 0.4, route=route)
        pace = paces.pace_by_replica(REPLICAS, 60.0)
        return pace["slow"] / pace["fast-2"], pace["fast-1"] / pace["fast-2"]

    def test_a_momentary_slowdown_is_not_learned(self):
        """Guards against a replica avoided long after it was slowed down.

        Load: others slow a replica 2.5 times for 600 ms at a time.
        """
        for n in range(90):
            slowdown = 2.5 if n // 6 % 2 else 1.0
            for replica in ("fast-1", "fast-2"):
                is_slowed = replica == "fast-1"
                observe(
                    self.paces,
                    self.random,
                    replica,
                    n * 0.1,
                    slowdown=slowdown if is_slowed else 1.0,
                )
        pace = self.paces.pace_by_replica(REPLICAS, 9.0)
        self.assertLess(abs(pace["fast-1"] / pace["fast-2"] - 1), 0.3)

    def test_one_call_that_hung_is_bounded(self):
        """Guards against one outlier that empties a replica."""
        for n in range(60):
            observe(self.paces, self.random, REPLICAS[n % 2], n * 0.1)
        before = self.paces.pace_by_replica(REPLICAS, 6.0)["fast-1"]
        self.paces.observe("fast-1", "search", 60.0, 1.0, 6.0)
        after = self.paces.pace_by_replica(REPLICAS, 6.0)["fast-1"]
        self.assertLess(after / before, 1.6)

    def test_an_old_pace_is_forgotten(self):
        """Guards against a replica that is never tried again."""
        for n in range(60):
            observe(self.paces, self.random, REPLICAS[n % 3], n * 0.1)
        self.assertGreater(self.pace(6.0)["slow"], 1.5)
        for n in range(60):
            observe(self.paces, self.random, REPLICAS[n % 2], 46 + n * 0.1)
        self.assertEqual(self.pace(52.0)["slow"], 1.0)

    def test_nothing_is_known_at_first(self):
        """Guards against a choice by one host's first call."""
        self.assertEqual(self.pace(), dict.fromkeys(REPLICAS, 1.0))
        self.assertEqual(self.paces.expected_s("search", REPLICAS), 0.0)
        self.paces.observe("slow", "search", 0.05, 1.0, 0.0)
        self.assertEqual(self.pace(1.0), dict.fromkeys(REPLICAS, 1.0))
        expected_s = self.paces.expected_s("search", REPLICAS)
        self.assertAlmostEqual(expected_s, 0.05)

    @given(
        st.lists(
            st.tuples(
                st.sampled_from(REPLICAS),
                st.sampled_from(("search", "build")),
                st.floats(0, 1e6),
                st.floats(0, 100),
            )
        )
    )
    def test_any_observations_leave_finite_paces(self, observations):
        """Guards against figures that break every later choice."""
        paces = CallPaces()
        for now, (replica, route, duration_s, slowdown) in enumerate(
            observations
        ):
            paces.observe(replica, route, duration_s, slowdown, now / 10)
        pace_by_replica = paces.pace_by_replica(
            REPLICAS, len(observations) / 10
        )
        for pace in pace_by_replica.values():
            self.assertGreater(pace, 0)
            self.assertLess(pace, 1e12)


if __name__ == "__main__":
    unittest.main()
