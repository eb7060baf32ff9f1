"""Tests of the placement policies and of probing."""

import unittest

from hypothesis import given, settings
from hypothesis import strategies as st
from returns.result import Success

from masticdale_common import ErrorKind
from masticdale_routing import (
    Affinity,
    Candidate,
    LeastCost,
    LeastInFlight,
    Location,
    PlacementRequest,
    RoundRobin,
    choose_probes,
    place,
)


def chosen(request, candidates, policy):
    return place(request, candidates, policy).unwrap().replica


class PlacementTest(unittest.TestCase):
    def test_branch_stays_unless_moving_saves_the_margin(self):
        request = PlacementRequest("p", 20_000, last_replica="a")
        policy = LeastCost(margin_s=1.0, margin_share=0.0)

        def place_with_wait(wait_s):
            own = Candidate("a", "d1", wait_s, cached_tokens=20_000)
            return chosen(request, [own, Candidate("b", "d2")], policy)

        self.assertEqual(place_with_wait(2.9), "a")
        self.assertEqual(place_with_wait(3.1), "b")

    def test_slow_decoding_counts_as_cost(self):
        request = PlacementRequest("p", 100, expected_tokens=500)
        slow = Candidate("a", "d1", decode_tokens_per_s=10.0)
        candidates = [slow, Candidate("b", "d2", 5.0)]
        self.assertEqual(chosen(request, candidates, LeastCost()), "b")

    def test_nearly_equal_costs_do_not_send_all_to_one_replica(self):
        # A replica whose estimated speed is slightly higher must not get every
        # new program while the others idle.
        request = PlacementRequest("p", 100, expected_tokens=32)
        fast = Candidate("a", "d", decode_tokens_per_s=1000.0, in_flight=6)
        idle = Candidate("b", "d", decode_tokens_per_s=900.0)
        self.assertEqual(chosen(request, [fast, idle], LeastCost()), "b")

    def test_ties_are_broken_by_the_calls_in_flight(self):
        request = PlacementRequest("p", 100)
        busy = Candidate("a", "d1", 0.0, in_flight=5)
        candidates = [busy, Candidate("b", "d2", 0.2, in_flight=1)]
        self.assertEqual(chosen(request, candidates, LeastCost()), "b")
        exact = LeastCost(tie_s=0.0)
        self.assertEqual(chosen(request, candidates, exact), "a")

    def test_baselines(self):
        request = PlacementRequest("p", 100, last_replica="b")
        candidates = [
            Candidate("a", "d", in_flight=1),
            Candidate("b", "d", 9.0, in_flight=2),
        ]
        policy = RoundRobin()
        spread = {chosen(request, candidates, policy) for _ in range(2)}
        self.assertEqual(spread, {"a", "b"})
        self.assertEqual(chosen(request, candidates, LeastInFlight()), "a")
        self.assertEqual(chosen(request, candidates, Affinity()), "b")

    def test_no_usable_replica_fails_with_no_upstream(self):
        request = PlacementRequest("p", 100)
        result = place(
            request, [Candidate("a", "d", usable=False)], LeastCost()
        )
        self.assertIs(result.failure().kind, ErrorKind.NO_UPSTREAM)

    @settings(derandomize=True, max_examples=200, deadline=None)
    @given(
        st.lists(
            st.tuples(st.floats(0, 60), st.integers(0, 9_000), st.booleans()),
            min_size=1,
            max_size=12,
        ),
        st.sampled_from(
            [RoundRobin(), LeastInFlight(), Affinity(), LeastCost()]
        ),
    )
    def test_chosen_replica_is_usable_and_costs_no_more_than_staying(
        self, rows, policy
    ):
        candidates = [
            Candidate(f"r{i}", "d", wait, cached, usable=usable)
            for i, (wait, cached, usable) in enumerate(rows)
        ]
        request = PlacementRequest("p", 9_000, last_replica="r0")
        result = place(request, candidates, policy)
        usable = {c.replica for c in candidates if c.usable}
        if not isinstance(result, Success):
            self.assertFalse(usable)
            return
        placement = result.unwrap()
        self.assertIn(placement.replica, usable)
        if isinstance(policy, LeastCost) and "r0" in usable:
            first = rows[0]
            stay_cost_s = first[0] + (9_000 - first[1]) / 10_000
            self.assertLessEqual(placement.cost_s, stay_cost_s + 1e-6)


class ProbeTest(unittest.TestCase):
    LOCATIONS = tuple(Location(f"r{i}", f"d{i % 4}") for i in range(28))

    @settings(derandomize=True, max_examples=100, deadline=None)
    @given(st.text(max_size=8), st.integers(1, 6))
    def test_probes_spread_over_failure_domains(self, key, count):
        probes = choose_probes(key, self.LOCATIONS, count)
        domains = {
            x.failure_domain for x in self.LOCATIONS if x.replica in probes
        }
        self.assertEqual(len(set(probes)), count)
        self.assertEqual(len(domains), min(4, count))

    def test_excluded_replicas_are_not_probed(self):
        excluded = {f"r{i}" for i in range(26)}
        probes = choose_probes("p", self.LOCATIONS, 3, excluded)
        self.assertEqual(set(probes), {"r26", "r27"})


if __name__ == "__main__":
    unittest.main()
