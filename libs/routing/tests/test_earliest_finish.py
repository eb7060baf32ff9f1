"""Tests of the choice among uneven replicas for unary calls."""

import collections
import random
import unittest

from hypothesis import given
from hypothesis import strategies as st

from masticdale_routing.fleet import Fleet, Replica, ReportedLoad

SLOTS = 6


def replica(name, **changes):
    fields = {
        "id": name,
        "service": "tools",
        "address": "127.0.0.1",
        "port": 1000,
        "failure_domain": "a",
        "slots": SLOTS,
        "is_draining": False,
    }
    return Replica(**(fields | changes))


def fleet_of(*replicas):
    fleet = Fleet("a", seed=1)
    for item in replicas:
        fleet.put(item)
    return fleet


def choose(fleet, now):
    return fleet.choose("tools", None, now).replica.id


def least_utilized(fleet, rng, now):
    """Chooses as before the fourth figure: the least utilized replica."""

    def cost(state):
        domain = state.replica.failure_domain
        penalty = 0.12 if domain != "a" else 0.0
        if fleet.failures.has_failed(state.replica.id, 1.5, now):
            penalty += 0.7
        return state.utilization(now) + penalty

    states = fleet.healthy("tools", now)
    return min(rng.sample(states, len(states)), key=cost).replica.id


class EarliestFinishTest(unittest.TestCase):
    def setUp(self):
        self.fleet = fleet_of(*(replica(f"r{n}") for n in range(3)))
        self.state_by_id = {s.replica.id: s for s in self.fleet.states()}

    def report(self, name, running=0, waiting=0, slowdown=100, at=0.0):
        self.state_by_id[name].record_load(
            ReportedLoad(running, waiting, at, slowdown)
        )

    def learn(self, factor_by_name, now=0.0):
        for _ in range(40):
            for name, factor in factor_by_name.items():
                self.fleet.call_paces.observe(
                    self.state_by_id[name].replica.incarnation,
                    "search",
                    0.05 * factor,
                    1.0,
                    now,
                )

    def test_a_slow_replica_gets_calls_when_the_fast_ones_are_busy(self):
        """Guards against a replica 2.2 times slower with as many calls."""
        self.learn({"r0": 1.0, "r1": 1.0, "r2": 2.2})
        for name in self.state_by_id:
            self.report(name)
        chosen = collections.Counter()
        for _ in range(9):
            name = choose(self.fleet, 0.1)
            self.state_by_id[name].in_flight += 1
            chosen[name] += 1
        self.assertEqual(chosen["r2"], 0)
        for _ in range(9):
            name = choose(self.fleet, 0.1)
            self.state_by_id[name].in_flight += 1
            chosen[name] += 1
        self.assertGreater(chosen["r2"], 0)
        self.assertLess(chosen["r2"], 7)

    def test_a_momentary_slowdown_counts_for_300_ms(self):
        """Guards against calls sent to a replica that others slow down.

        Load: a replica is slowed 2.5 times, for 600 ms at a time.
        """
        for name in self.state_by_id:
            self.report(name, slowdown=250 if name != "r1" else 100)
        self.assertEqual({choose(self.fleet, 0.29) for _ in range(30)}, {"r1"})
        self.assertEqual(
            {choose(self.fleet, 0.31) for _ in range(60)}, {"r0", "r1", "r2"}
        )

    def test_absurd_figures_are_bounded(self):
        """Guards against a figure of 0 that draws every call."""
        self.report("r0", running=5, slowdown=0)
        self.report("r1", slowdown=10**17)
        self.report("r2", slowdown=100)
        self.state_by_id["r2"].in_flight = 1
        self.assertNotEqual(choose(self.fleet, 0.1), "r1")
        self.assertGreaterEqual(self.state_by_id["r0"].slowdown(0.1), 0.1)

    def test_a_failing_replica_is_avoided_however_fast_it_is(self):
        """Guards against errors that draw calls by answering quickly."""
        self.learn({"r0": 0.3, "r1": 1.0, "r2": 1.0})
        for name in self.state_by_id:
            self.report(name, running=0 if name == "r0" else 5)
        self.fleet.failures.record("r0", 0.0)
        self.assertNotEqual(choose(self.fleet, 0.1), "r0")
        self.report("r1", running=SLOTS, at=0.1)
        self.report("r2", running=SLOTS, at=0.1)
        self.assertEqual(choose(self.fleet, 0.105), "r0")

    def test_a_replica_that_refuses_comes_last_for_a_moment(self):
        """Guards against a call sent to a full replica before one with room."""
        self.learn({"r0": 0.3, "r1": 1.0, "r2": 1.0})
        for name in self.state_by_id:
            self.report(name, running=4)
        self.assertEqual(choose(self.fleet, 0.0), "r0")
        self.state_by_id["r0"].record_refusal(0.0)
        self.assertNotEqual(choose(self.fleet, 0.005), "r0")
        self.assertEqual(choose(self.fleet, 0.1), "r0")

    def test_calls_sent_since_the_report_count(self):
        """Guards against a burst sent to the replica with the best report."""
        for name in self.state_by_id:
            self.report(name, running=2)
        chosen = collections.Counter()
        for _ in range(6):
            name = choose(self.fleet, 0.05)
            self.state_by_id[name].in_flight += 1
            chosen[name] += 1
        self.assertEqual(set(chosen.values()), {2})

    def test_another_failure_domain_needs_a_reason(self):
        """Guards against needless traffic between failure domains."""
        fleet = fleet_of(replica("near"), replica("far", failure_domain="b"))
        state_by_id = {s.replica.id: s for s in fleet.states()}
        for state in state_by_id.values():
            state.record_load(ReportedLoad(0, 0, 0.0, 100))
        self.assertEqual({choose(fleet, 0.1) for _ in range(20)}, {"near"})
        state_by_id["near"].in_flight = 2
        self.assertEqual({choose(fleet, 0.1) for _ in range(20)}, {"far"})


class OtherServicesTest(unittest.TestCase):
    @given(
        st.lists(
            st.tuples(
                st.integers(0, 2),
                st.integers(0, 9),
                st.integers(0, 3),
                st.booleans(),
                st.booleans(),
            ),
            max_size=20,
        ),
        st.integers(0, 5),
    )
    def test_without_the_fourth_figure_the_choice_is_as_before(
        self, events, seed
    ):
        """Guards against changes for services that report three figures."""
        fleet = Fleet("a", seed=seed)
        rng = random.Random(seed)
        for n in range(3):
            domain = "b" if n == 2 else "a"
            fleet.put(replica(f"r{n}", failure_domain=domain))
        states = list(fleet.states())
        now = 0.0
        for index, running, waiting, is_failed, is_refused in events:
            now += 0.13
            state = states[index]
            state.record_load(ReportedLoad(running, waiting, now))
            if is_failed:
                state.record_failure(now)
            if is_refused:
                state.record_refusal(now)
            fleet.call_paces.observe(
                state.replica.incarnation, "search", running + 1, 1.0, now
            )
            expected = least_utilized(fleet, rng, now)
            self.assertEqual(choose(fleet, now), expected)
            state.in_flight += 1

    def test_a_key_is_placed_alike_with_three_and_four_figures(self):
        """Guards against streams that move because of the fourth figure."""
        for running in range(9):
            chosen = set()
            for slowdown in (None, 100, 250):
                fleet = fleet_of(*(replica(f"r{n}") for n in range(3)))
                first = fleet.choose("tools", "program", 0.0)
                first.record_load(ReportedLoad(running, 0, 0.0, slowdown))
                chosen.add(fleet.choose("tools", "program", 0.1).replica.id)
            self.assertEqual(len(chosen), 1)


class FullnessTest(unittest.TestCase):
    """Load: a burst fills all replicas."""

    def setUp(self):
        self.fleet = fleet_of(*(replica(f"r{n}") for n in range(3)))
        self.states = list(self.fleet.states())

    def room_in_s(self, now):
        return self.fleet.room_in_s("tools", now)

    def test_room_is_expected_where_the_first_refusal_ends(self):
        """Guards against calls that wait although one replica has room."""
        for state in self.states:
            self.assertEqual(self.room_in_s(0.0), 0)
            state.record_refusal(0.0)
        self.assertGreater(self.room_in_s(0.0), 0.01)
        self.assertLess(self.room_in_s(0.0), 0.02)
        self.states[1].record_completion(0.1)
        self.assertEqual(self.room_in_s(0.0), 0)

    def test_repeated_refusals_make_the_pause_longer_up_to_a_bound(self):
        """Guards against hosts that keep full replicas busy with refusals."""
        (state, *_) = self.states
        pauses = []
        now = 0.0
        for _ in range(30):
            state.record_refusal(now)
            pauses.append(state.full_for_s(now))
            now += pauses[-1]
        self.assertLess(pauses[0], 0.02)
        self.assertGreater(min(pauses[-10:]), 0.06)
        self.assertLess(max(pauses), 0.14)
        state.record_completion(0.1)
        state.record_refusal(now)
        self.assertLess(state.full_for_s(now), 0.02)

    def test_reports_show_a_full_replica_and_room(self):
        """Guards against a call sent to be refused."""
        for state in self.states:
            state.record_load(ReportedLoad(SLOTS, 0, 0.0, 100))
        self.assertEqual(self.fleet.count_full("tools", 0.0), 3)
        self.assertGreater(self.room_in_s(0.0), 0)
        self.states[0].record_load(ReportedLoad(SLOTS - 1, 0, 0.0, 100))
        self.assertEqual(self.room_in_s(0.0), 0)

    def test_a_completion_frees_no_slot_where_calls_queue(self):
        """Guards against calls sent into the queue of a replica."""
        (state, *_) = self.states
        state.record_load(ReportedLoad(SLOTS, 4, 0.0, 100))
        state.record_completion(0.1)
        self.assertGreater(state.full_for_s(0.0), 0)

    def test_a_long_queue_holds_calls_back_for_longer(self):
        """Guards against deadlines that pass in the queue of a replica."""
        (state, *_) = self.states
        for _ in range(9):
            state.record_load(ReportedLoad(1, 0, 0.0, 100))
            state.record_completion(0.12)
        held_s = []
        for waiting in (0, 12, 600):
            state.record_load(ReportedLoad(1, 0, 0.0, 100))
            state.record_load(ReportedLoad(SLOTS, waiting, 0.0, 100))
            held_s.append(state.full_for_s(0.0))
        # Half of the time in which 1, 13 and 601 calls leave the slots.
        for actual_s, expected_s in zip(
            held_s, (0.015, 0.13, 0.5), strict=True
        ):
            self.assertAlmostEqual(actual_s, expected_s, delta=0.4 * expected_s)

    def test_the_wait_in_a_queue_is_not_the_pace_of_a_replica(self):
        """Guards against a replica that looks slow because many choose it."""
        (state, *_) = self.states
        state.record_load(ReportedLoad(SLOTS, 2 * SLOTS, 0.0, 100))
        self.assertAlmostEqual(state.record_completion(0.3), 0.1)
        state.record_load(ReportedLoad(2, 0, 0.0, 100))
        self.assertAlmostEqual(state.record_completion(0.1), 0.1)

    def test_a_host_has_one_call_at_a_replica_with_a_queue(self):
        """Guards against 50 hosts that fill the queue of a replica together."""
        (state, *_) = self.states
        state.in_flight = 1
        state.record_load(ReportedLoad(SLOTS, 1, 0.0, 100))
        self.assertGreater(state.full_for_s(0.3), 0)
        state.in_flight = 0
        self.assertEqual(state.full_for_s(0.3), 0)
        state.in_flight = 1
        self.assertEqual(state.full_for_s(3.0), 0)
        state.record_load(ReportedLoad(SLOTS - 1, 0, 3.0, 100))
        self.assertEqual(state.full_for_s(3.0), 0)

    def test_the_wait_in_a_queue_is_predicted_from_its_last_report(self):
        """Guards against calls that time out in a queue known to be long."""
        for state in self.states:
            state.record_completion(0.12)
            state.record_load(ReportedLoad(SLOTS, 59, 0.0, 100))
        self.assertAlmostEqual(self.fleet.shortest_queue_s("tools", 0.0), 1.2)
        self.assertAlmostEqual(self.fleet.shortest_queue_s("tools", 0.7), 0.5)
        self.assertEqual(self.fleet.shortest_queue_s("tools", 9.0), 0)
        for state in self.states:
            state.record_load(ReportedLoad(SLOTS, 10**17, 10.0, 100))
        self.assertGreater(self.fleet.shortest_queue_s("tools", 10.0), 99)
        self.assertEqual(self.fleet.shortest_queue_s("tools", 13.0), 0)
        self.assertEqual(self.fleet.room_in_s("tools", 13.0), 0)
        self.states[0].record_load(ReportedLoad(1, 0, 0.0, 100))
        self.assertEqual(self.fleet.shortest_queue_s("tools", 0.0), 0)

    def test_own_calls_fill_a_replica(self):
        """Guards against more calls of one host than a replica has slots."""
        for state in self.states:
            state.in_flight = SLOTS
        self.assertGreater(self.room_in_s(0.0), 0)
        self.states[2].in_flight -= 1
        self.assertEqual(self.room_in_s(0.0), 0)


if __name__ == "__main__":
    unittest.main()
