"""Tests of the selection of heartbeat neighbours."""

import unittest

import hypothesis
from hypothesis import strategies as st

from masticdale_peers.neighbours import choose_neighbours, order_peers

NAMES = tuple(f"h{number:02}" for number in range(20))
FAN_OUT = 4


def neighbours_of(name, live, names=NAMES):
    order = order_peers(name, names)
    return choose_neighbours(order, live.__contains__, FAN_OUT)


class NeighboursTest(unittest.TestCase):
    @hypothesis.settings(derandomize=True, deadline=None)
    @hypothesis.given(st.sets(st.sampled_from(NAMES), min_size=1))
    def test_every_host_is_monitored_within_the_fan_out(self, live):
        # Whichever hosts are dead, every host, live or dead, is monitored by
        # half a fan-out of live hosts, or by all other live hosts if fewer.
        monitor_count = dict.fromkeys(NAMES, 0)
        for name in live:
            neighbours = neighbours_of(name, live)
            self.assertEqual(len(neighbours), len(set(neighbours)))
            self.assertLessEqual(len(live.intersection(neighbours)), FAN_OUT)
            for host in neighbours:
                monitor_count[host] += 1
        for host in NAMES:
            required = min(FAN_OUT // 2, len(live - {host}))
            self.assertGreaterEqual(monitor_count[host], required)

    def test_few_peers_are_all_neighbours(self):
        neighbours = neighbours_of("h00", set(), NAMES[: FAN_OUT + 1])
        self.assertEqual(set(neighbours), set(NAMES[1 : FAN_OUT + 1]))


if __name__ == "__main__":
    unittest.main()
