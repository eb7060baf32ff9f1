"""Tests of retry budgets and circuit breakers."""

import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from masticdale_common import ErrorKind, Failure
from masticdale_routing import (
    CircuitBreaker,
    CircuitBreakerSettings,
    CircuitState,
    FailedAttempt,
    GiveUp,
    RetryAfter,
    RetryBudget,
    RetrySettings,
    decide_retry,
)

FAILED = Failure(ErrorKind.UPSTREAM_FAILED)


class RetryTest(unittest.TestCase):
    @settings(derandomize=True, max_examples=100, deadline=None)
    @given(st.lists(st.booleans(), max_size=300))
    def test_retries_stay_within_the_ratio_of_first_attempts(
        self, failed_attempts
    ):
        """Retries must not multiply the load on a failing upstream.

        They stay within the burst plus a tenth of the first attempts.
        """
        budget = RetryBudget(RetrySettings(retry_ratio=0.1, burst=5.0))
        retries = 0
        for is_failed in failed_attempts:
            budget.record_first_attempt()
            attempt = FailedAttempt(FAILED, 1, 100.0)
            if is_failed:
                decision = decide_retry(attempt, budget, 0.0)
                retries += isinstance(decision, RetryAfter)
        self.assertLessEqual(retries, 5 + 0.1 * len(failed_attempts))

    def test_gives_up_at_once_if_a_retry_cannot_help(self):
        budget = RetryBudget(RetrySettings())
        refused = Failure(ErrorKind.QUARANTINED)
        for attempt in (
            FailedAttempt(refused, 1, 100.0),
            FailedAttempt(FAILED, 3, 100.0),
            FailedAttempt(FAILED, 1, 0.01),
        ):
            decision = decide_retry(attempt, budget, 0.0)
            self.assertEqual(decision, GiveUp(attempt.failure))
        self.assertEqual(budget.available, 10.0)


class CircuitBreakerTest(unittest.TestCase):
    def test_circuit_opens_and_is_probed_by_one_call(self):
        """A failing replica must get one probe at a time.

        A failed probe doubles the open period; a successful one closes the
        circuit.
        """
        circuit = CircuitBreaker(CircuitBreakerSettings(3, 1.0, 30.0))
        for _ in range(3):
            self.assertTrue(circuit.try_acquire(0.0))
            circuit.record_failure(0.0)
        self.assertFalse(circuit.try_acquire(0.9))
        self.assertTrue(circuit.try_acquire(1.1))
        self.assertFalse(circuit.try_acquire(1.1))
        circuit.record_failure(1.2)
        self.assertIs(circuit.state(3.1), CircuitState.OPEN)
        self.assertTrue(circuit.try_acquire(3.3))
        circuit.record_success()
        self.assertIs(circuit.state(3.3), CircuitState.CLOSED)

    def test_probe_without_an_outcome_expires(self):
        """The host of a probe dies; the circuit must not stay half open."""
        circuit = CircuitBreaker(CircuitBreakerSettings(1, 1.0, 30.0))
        circuit.record_failure(0.0)
        self.assertTrue(circuit.try_acquire(2.0))
        self.assertFalse(circuit.try_acquire(31.0))
        self.assertTrue(circuit.try_acquire(33.0))


if __name__ == "__main__":
    unittest.main()
