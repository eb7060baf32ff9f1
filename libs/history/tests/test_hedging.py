"""Tests of the steps at which a save takes further hosts, without I/O."""

import math
import unittest

from masticdale_history.hedging import (
    HEDGE_DELAY_S,
    LATE_WAKE_S,
    SETTLE_S,
    HedgeSteps,
)


class HedgeStepsTest(unittest.TestCase):
    def setUp(self):
        self.steps = HedgeSteps()
        self.awaited = {"a", "b", "c"}
        for host in sorted(self.awaited):
            self.steps.add(host, 0.0)

    def step(self, now):
        return self.steps.step(self.awaited, now)

    def wake_at(self):
        return self.steps.wake_at(self.awaited)

    def run_step(self):
        """Wakes up as planned until a host is overdue; returns the time."""
        for _ in range(10):
            now = self.wake_at()
            overdue = self.step(now)
            if overdue is not None:
                self.awaited.remove(overdue)
                return now
        raise AssertionError("no host is overdue")

    def test_one_host_is_overdue_for_each_step(self):
        """Guards against writes that double while all disks are slow."""
        times = [self.run_step() for _ in range(3)]
        delay_s = HEDGE_DELAY_S + SETTLE_S
        for number, at in enumerate(times, start=1):
            self.assertAlmostEqual(at, number * delay_s)
        self.assertEqual(self.wake_at(), math.inf)

    def test_replies_are_read_before_a_host_is_overdue(self):
        """Guards against a host replaced while its reply is in the socket."""
        self.assertIsNone(self.step(HEDGE_DELAY_S))
        self.assertAlmostEqual(self.wake_at(), HEDGE_DELAY_S + SETTLE_S)
        self.assertIsNone(self.step(HEDGE_DELAY_S + SETTLE_S / 2))
        self.awaited.clear()
        self.assertIsNone(self.step(HEDGE_DELAY_S + SETTLE_S))

    def test_a_step_after_a_stall_is_skipped(self):
        """Guards against hosts replaced for a stall of the own event loop."""
        stalled_until = HEDGE_DELAY_S + 2 * LATE_WAKE_S
        self.assertIsNone(self.step(stalled_until))
        self.assertAlmostEqual(self.wake_at(), stalled_until + HEDGE_DELAY_S)
        self.run_step()
        self.assertEqual(len(self.awaited), 2)

    def test_a_step_after_a_stall_while_replies_are_read_is_skipped(self):
        """Guards against a stall just before the decision."""
        self.step(HEDGE_DELAY_S)
        self.assertIsNone(self.step(HEDGE_DELAY_S + 2 * LATE_WAKE_S))
        self.assertGreater(self.wake_at(), 2 * HEDGE_DELAY_S)

    def test_a_host_sent_to_later_is_overdue_later(self):
        """Guards against a replacement that is replaced too early."""
        sent_at = HEDGE_DELAY_S - 0.01
        self.steps.add("d", sent_at)
        self.awaited = {"d"}
        self.assertAlmostEqual(self.wake_at(), sent_at + HEDGE_DELAY_S)

    def test_the_host_that_was_sent_to_first_is_overdue_first(self):
        """Guards against a new host replaced before a frozen one."""
        self.steps.add("d", 0.02)
        self.awaited = {"d", "c"}
        self.run_step()
        self.assertEqual(self.awaited, {"d"})


if __name__ == "__main__":
    unittest.main()
