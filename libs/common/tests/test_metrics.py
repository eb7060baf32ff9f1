"""Tests of the metrics registry."""

import unittest

from masticdale_common import Metrics


class MetricsTest(unittest.TestCase):
    def test_counts_by_label_and_renders(self):
        metrics = Metrics()
        metrics.count("turns_total", workspace="a")
        metrics.count("turns_total", workspace="a")
        metrics.gauge("queue", 3)
        metrics.observe("wait_seconds", 0.2)
        self.assertEqual(metrics.counter_value("turns_total", workspace="a"), 2)
        self.assertEqual(metrics.counter_value("other_total"), 0)
        self.assertIn(b"turns_total", metrics.render())


if __name__ == "__main__":
    unittest.main()
