"""Tests that usage caps hold over losses of their counters."""

import bisect
import random
import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from masticdale_workspaces import (
    Demand,
    UsageCap,
    UsageClaim,
    UsageCounter,
    UsageTolerance,
)

CAP = UsageCap(rate_per_s=40.0, burst=40.0)
TOLERANCE = UsageTolerance(window_s=5.0, share=0.1, requests=20.0)
ALLOWED = CAP.rate_per_s * TOLERANCE.window_s + CAP.burst
EXCESS = TOLERANCE.excess(CAP)


def claim(cap=CAP, version=1):
    return UsageClaim("w", cap, version)


def most_in_window(times):
    """Returns the most requests granted in any window of the tolerance."""
    return max(
        (
            bisect.bisect_right(times, begin + TOLERANCE.window_s) - index
            for index, begin in enumerate(times)
        ),
        default=0,
    )


def grant(counter, demand, now):
    """Asks for one request; returns whether it is granted."""
    if counter.wait_s(claim(), demand, now) != 0:
        return False
    counter.take(claim(), now)
    return True


class UsageCounterTest(unittest.TestCase):
    def setUp(self):
        self.counter = UsageCounter(TOLERANCE, 0.0)

    def granted_at_once(self, demand, now=0.0):
        count = 0
        while grant(self.counter, demand, now):
            count += 1
        return count

    def test_new_programs_may_use_the_burst(self):
        self.assertEqual(self.granted_at_once(Demand.NEW), CAP.burst)

    def test_programs_under_way_go_before_new_ones(self):
        """Guards against programs that end as others of theirs begin."""
        self.granted_at_once(Demand.NEW)
        turns = self.granted_at_once(Demand.TURN)
        calls = self.granted_at_once(Demand.CALL)
        self.assertGreater(turns, 10)
        self.assertGreater(calls, 10)
        self.assertLessEqual(turns + calls, EXCESS)

    def test_a_refused_request_learns_when_its_turn_comes(self):
        for _ in range(int(CAP.burst)):
            self.assertTrue(grant(self.counter, Demand.NEW, 0.0))
        waits = [
            self.counter.wait_s(claim(), Demand.NEW, 0.0) for _ in range(3)
        ]
        for number, wait_s in enumerate(waits, start=1):
            self.assertAlmostEqual(wait_s, number / CAP.rate_per_s)
        self.assertTrue(grant(self.counter, Demand.NEW, waits[0] + 0.001))

    def test_a_lower_cap_applies_at_once(self):
        self.counter.take(claim(), 0.0)
        low = claim(UsageCap(1.0, 2.0), version=2)
        self.counter.wait_s(low, Demand.NEW, 0.0)
        self.assertEqual(self.granted_at_once(Demand.NEW), 2)

    def test_a_host_with_an_old_configuration_changes_no_cap(self):
        low = claim(UsageCap(1.0, 2.0), version=2)
        self.counter.wait_s(low, Demand.NEW, 0.0)
        self.assertEqual(self.counter.level(claim(version=1), 100.0), 2.0)

    def test_nothing_is_granted_without_a_share(self):
        self.counter.restrict_to_reserve()
        self.counter.set_share(0.0, 0.0)
        self.assertIsNone(self.counter.wait_s(claim(), Demand.CALL, 10.0))

    def test_a_full_workspace_is_forgotten(self):
        self.counter.take(claim(), 0.0)
        self.counter.evict_full(0.0)
        self.assertEqual(len(self.counter.levels(0.0)), 1)
        self.counter.evict_full(10.0)
        self.assertEqual(self.counter.levels(10.0), ())


class Chain:
    """Counters of one shard, one after another, as its hosts are lost."""

    def __init__(self, seed):
        self.random = random.Random(seed)
        self.now = 0.0
        self.granted_at = []
        self.counter = UsageCounter(TOLERANCE, 0.0)
        self.held = ()
        self.held_at = 0.0

    def copy(self):
        """Sends a copy to the standby; its answer may be lost."""
        copies = self.counter.copies(None, self.now)
        self.held = tuple(copy.level for copy in copies)
        self.held_at = self.now
        if self.random.random() < 0.8:
            for copy in copies:
                copy.confirm()
            return True
        return False

    def ask(self):
        demand = self.random.choice(list(Demand))
        if self.counter.wait_s(claim(), demand, self.now) != 0:
            return
        if self.counter.take(claim(), self.now) or self.copy():
            self.granted_at.append(self.now)
        else:
            self.counter.give_back(claim(), self.now)

    def fail_over(self):
        """The standby goes on from its copy."""
        elapsed_s = self.now - self.held_at
        levels = tuple(level.after(elapsed_s) for level in self.held)
        incomplete_for_s = self.counter.incomplete_for_s(self.held_at)
        self.counter = UsageCounter(
            TOLERANCE, self.now, levels, max(0.0, incomplete_for_s - elapsed_s)
        )
        self.copy()

    def lose_all(self):
        """Owner and standby are lost with their levels."""
        self.counter = UsageCounter(TOLERANCE, self.now, (), TOLERANCE.window_s)
        self.copy()

    def play(self, steps, losses_of_all):
        self.copy()
        for _ in range(steps):
            self.now += self.random.expovariate(4 * CAP.rate_per_s)
            drawn = self.random.random()
            if drawn < 0.004:
                self.fail_over()
            elif drawn < 0.01:
                self.copy()
            elif losses_of_all and drawn < 0.0105:
                losses_of_all -= 1
                self.lose_all()
            else:
                self.ask()


class LossTest(unittest.TestCase):
    """Guards against bursts that are granted once by each counter."""

    @settings(max_examples=60, deadline=None)
    @given(st.integers(0, 1 << 30))
    def test_no_window_exceeds_the_cap_over_failovers(self, seed):
        chain = Chain(seed)
        chain.play(4_000, losses_of_all=0)
        self.assertLessEqual(most_in_window(chain.granted_at), ALLOWED + EXCESS)
        self.assertGreater(len(chain.granted_at), 0.5 * CAP.rate_per_s * 20)

    @settings(max_examples=60, deadline=None)
    @given(st.integers(0, 1 << 30))
    def test_no_window_exceeds_the_cap_after_the_loss_of_all_levels(self, seed):
        chain = Chain(seed)
        chain.play(4_000, losses_of_all=1)
        self.assertLessEqual(most_in_window(chain.granted_at), ALLOWED + EXCESS)

    def test_two_hosts_that_share_a_cap_stay_within_it(self):
        """Guards against an isolated owner beside its acting standby."""
        owner = UsageCounter(TOLERANCE, 0.0)
        while grant(owner, Demand.CALL, 0.0):
            if owner.needs_copy("w"):
                copies = owner.copies(None, 0.0)
                for copy in copies:
                    copy.confirm()
            if owner.level(claim(), 0.0) < 10:
                break
        granted_at = [0.0] * int(CAP.burst - 10)
        levels = tuple(copy.level for copy in copies)
        standby = UsageCounter(TOLERANCE, 0.0, levels)
        owner.restrict_to_reserve()
        owner.set_share(0.5, 0.0)
        standby.set_share(0.5, 0.0)
        for step in range(1, 1_500):
            now = step / 300
            for counter in (owner, standby):
                if grant(counter, Demand.CALL, now):
                    granted_at.append(now)
        self.assertLessEqual(most_in_window(granted_at), ALLOWED + EXCESS)


if __name__ == "__main__":
    unittest.main()
