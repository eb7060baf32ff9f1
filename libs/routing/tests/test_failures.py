"""Load test: many hosts, few replicas, one of which goes down and up.

Pattern: each of dozens of hosts sends a few requests a second that must not be
repeated, and a replica of their service fails by turns.
"""

import random
import unittest

from masticdale_routing.failures import FailureReport, ReplicaFailures
from masticdale_routing.fleet import Fleet, Replica

HOSTS = 56
REPLICAS = 6
DURATION_S = 12.0
REQUESTS_PER_S = 300
# The sick replica is down in every other period, in seconds.
FLAP_PERIOD_S = 0.7
# Time until a failure at one host is known at the others, in seconds.
SPREAD_S = 0.1


def replica(name):
    return Replica(name, "desk", "127.0.0.1", 1, "a", 6, is_draining=False)


def is_down(now):
    return int(now / FLAP_PERIOD_S) % 2 == 1


class FlappingReplicaTest(unittest.TestCase):
    """Guards against each host losing requests to learn what others know."""

    def play(self, *, hosts_talk):
        """Returns the lost requests that must not be repeated."""
        chooser = random.Random(1)
        fleets = [Fleet("a", seed) for seed in range(HOSTS)]
        for fleet in fleets:
            for number in range(REPLICAS):
                fleet.put(replica(f"r{number}"))
        reports = []
        lost = 0
        for step in range(int(DURATION_S * REQUESTS_PER_S)):
            now = step / REQUESTS_PER_S
            while reports and now - reports[0][0] >= SPREAD_S:
                failed_at, replica_id = reports.pop(0)
                report = FailureReport(replica_id, now - failed_at)
                for fleet in fleets if hosts_talk else ():
                    fleet.failures.merge([report], now)
            fleet = chooser.choice(fleets)
            may_be_repeated = chooser.random() < 0.6
            state = fleet.choose(
                "desk", None, now, may_be_repeated=may_be_repeated
            )
            if state.replica.id != "r0" or not is_down(now):
                continue
            state.record_failure(now)
            reports.append((now, "r0"))
            lost += not may_be_repeated
        return lost

    def test_few_requests_are_lost_at_a_replica_that_others_saw_fail(self):
        alone = self.play(hosts_talk=False)
        self.assertGreater(alone, 20)
        self.assertLessEqual(self.play(hosts_talk=True), alone / 4)


class ReplicaFailuresTest(unittest.TestCase):
    def test_a_busy_service_uses_replicas_that_have_failed(self):
        """Guards against a service whose replicas are all set aside."""
        fleet = Fleet("a", 1)
        for name in ("r0", "r1"):
            fleet.put(replica(name))
        states = {state.replica.id: state for state in fleet.states()}
        fleet.failures.record("r0", 0.0)
        chosen = set()
        for _ in range(20):
            state = fleet.choose("desk", None, 0.1, may_be_repeated=False)
            state.in_flight += 1
            chosen.add(state.replica.id)
        self.assertEqual(chosen, {"r0", "r1"})
        self.assertGreater(states["r1"].in_flight, states["r0"].in_flight)

    def test_a_failure_is_reported_once_in_a_while(self):
        """Guards against a message for each request that fails."""
        failures = ReplicaFailures()
        told = []
        failures.on_news = lambda: told.append(None)
        for step in range(100):
            failures.record("r0", step / 100)
        self.assertLessEqual(len(told), 2)
        self.assertEqual(len(failures.take_news(1.0)), 1)
        self.assertEqual(failures.take_news(1.0), ())

    def test_a_single_failure_does_not_make_a_replica_sick(self):
        failures = ReplicaFailures()
        failures.record("r0", 0.0)
        failures.merge([FailureReport("r0", 0.95)], 1.0)
        self.assertFalse(failures.fails_repeatedly("r0", 3.0, 1.0))
        failures.merge([FailureReport("r0", 0.0)], 1.0)
        self.assertTrue(failures.fails_repeatedly("r0", 3.0, 1.0))
        self.assertFalse(failures.fails_repeatedly("r0", 3.0, 3.5))

    def test_replicas_that_are_gone_are_forgotten(self):
        """Guards against a host that keeps the id of each past replica."""
        failures = ReplicaFailures()
        for number in range(1_000):
            failures.record(f"r{number}", float(number))
        self.assertLess(len(failures._failed_at_by_id), 20)

    def test_an_older_report_changes_nothing(self):
        failures = ReplicaFailures()
        failures.record("r0", 10.0)
        failures.merge([FailureReport("r0", 5.0)], 10.0)
        self.assertTrue(failures.has_failed("r0", 1.0, 10.5))
        self.assertEqual(failures.reports(100.0), ())


if __name__ == "__main__":
    unittest.main()
