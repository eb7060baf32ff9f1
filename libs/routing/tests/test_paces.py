"""Tests of the estimated speed of replicas."""

import unittest

from masticdale_routing.paces import ReplicaPaces

IDS = ("a", "b", "c", "d")


class SlownessTest(unittest.TestCase):
    def setUp(self):
        self.paces = ReplicaPaces()

    def observe(self, count=10, now=0.0, **interval_by_id):
        for _ in range(count):
            for replica_id, interval_s in interval_by_id.items():
                self.paces.observe(replica_id, interval_s, now)

    def test_a_replica_is_compared_with_the_median(self):
        self.observe(a=0.033, b=0.034, c=0.033, d=0.044)
        slowness = self.paces.slowness(IDS, 0.0)
        self.assertEqual(slowness, {"a": 1.0, "b": 1.0, "c": 1.0, "d": 1.25})

    def test_differences_that_come_from_load_are_ignored(self):
        self.observe(a=0.033, b=0.036, c=0.034, d=0.037)
        self.assertEqual(set(self.paces.slowness(IDS, 0.0).values()), {1.0})

    def test_an_outlier_changes_little(self):
        """Guards against a paused host that makes a replica look slow."""
        self.observe(a=0.033, b=0.033, c=0.033, d=0.033)
        self.observe(count=1, d=5.0)
        self.assertLess(self.paces.slowness(IDS, 0.0)["d"], 1.5)

    def test_old_estimates_are_forgotten(self):
        """Guards against a replica that is avoided after it has recovered."""
        self.observe(a=0.033, b=0.033, c=0.033, d=0.3)
        self.observe(now=30.0, a=0.033, b=0.033, c=0.033)
        self.assertNotIn("d", self.paces.slowness(IDS, 30.0))

    def test_nothing_is_known_at_first(self):
        self.assertEqual(self.paces.slowness(IDS, 0.0), {})


if __name__ == "__main__":
    unittest.main()
