"""Tests of the adaptive in-flight limit."""

import unittest

from masticdale_routing.inflight import InFlightLimit, InFlightSettings


class InFlightLimitTest(unittest.TestCase):
    def test_one_fast_call_does_not_collapse_the_idle_limit(self):
        # One outlier must not make each later call count as slow: the limit
        # would fall to 1, and turns would queue for an idle replica.
        limit = InFlightLimit(InFlightSettings(initial=8))
        limit.record_finished(5000.0, at_limit=False, now=0.0)
        for number in range(200):
            limit.record_finished(500.0, at_limit=False, now=float(number))
        self.assertEqual(limit.limit, 8)

    def test_noise_under_load_leaves_half_of_the_initial_limit(self):
        limit = InFlightLimit(InFlightSettings(initial=8))
        for number in range(500):
            speed = 5000.0 if number % 50 == 0 else 500.0
            limit.record_finished(speed, at_limit=True, now=float(number))
        self.assertGreaterEqual(limit.limit, 4)

    def test_a_slow_batch_lowers_the_limit(self):
        limit = InFlightLimit(InFlightSettings(initial=32))
        for number in range(100):
            limit.record_finished(100.0, at_limit=False, now=float(number))
        for number in range(200):
            limit.record_finished(20.0, at_limit=True, now=float(number))
        self.assertLess(limit.limit, 20)


if __name__ == "__main__":
    unittest.main()
