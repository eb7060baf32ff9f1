"""Tests of the choice of a replica."""

import collections
import unittest

from masticdale_routing.fleet import Fleet, Replica, ReportedLoad


def replica(name, **changes):
    fields = {
        "id": name,
        "service": "engine",
        "address": "127.0.0.1",
        "port": 1000,
        "failure_domain": "a",
        "slots": 10,
        "is_draining": False,
    }
    return Replica(**(fields | changes))


def fleet_of(*replicas):
    fleet = Fleet("a", seed=1)
    for item in replicas:
        fleet.put(item)
    return fleet


class DrainingTest(unittest.TestCase):
    """Guards against new requests after an older entry arrives last."""

    def setUp(self):
        self.fleet = fleet_of(replica("r1", is_draining=True))

    def chosen(self):
        return self.fleet.choose("engine", "p", 0.0)

    def test_a_replica_that_drains_is_not_ready_again(self):
        self.fleet.put(replica("r1"))
        self.assertIsNone(self.chosen())

    def test_a_removed_replica_that_drained_is_not_ready_again(self):
        self.fleet.remove("r1")
        self.fleet.put(replica("r1"))
        self.assertIsNone(self.chosen())

    def test_another_process_of_the_replica_is_ready(self):
        self.fleet.put(replica("r1", started_at_ms=5))
        self.assertEqual(self.chosen().replica.started_at_ms, 5)
        self.fleet.remove("r1")
        self.fleet.put(replica("r1", service="other"))
        self.assertIsNotNone(self.fleet.choose("other", "p", 0.0))

    def test_a_replica_that_changes_its_service_is_listed(self):
        self.fleet.put(replica("r1", service="other"))
        self.assertFalse(self.fleet.find("r1").is_leaving)
        self.assertIsNone(self.chosen())


class ChooseTest(unittest.TestCase):
    def test_requests_of_a_program_go_to_one_replica(self):
        fleet = fleet_of(*(replica(f"r{n}") for n in range(5)))
        chosen = {fleet.choose("engine", "p", 0.0).replica.id for _ in range(9)}
        self.assertEqual(len(chosen), 1)

    def test_programs_spread_over_replicas(self):
        """Rendezvous hashing must not leave a replica idle or overload one.

        Each of five replicas gets between half and twice the mean share.
        """
        fleet = fleet_of(*(replica(f"r{n}") for n in range(5)))
        count = collections.Counter(
            fleet.choose("engine", f"p{n}", 0.0).replica.id for n in range(500)
        )
        self.assertEqual(len(count), 5)
        self.assertGreater(min(count.values()), 50)
        self.assertLess(max(count.values()), 200)

    def test_a_full_replica_spills_over_to_the_second(self):
        fleet = fleet_of(*(replica(f"r{n}") for n in range(5)))
        first = fleet.choose("engine", "p", 0.0)
        first.in_flight = 10
        second = fleet.choose("engine", "p", 0.0)
        self.assertNotEqual(first.replica.id, second.replica.id)

    def test_draining_and_excluded_replicas_are_not_chosen(self):
        fleet = fleet_of(
            replica("draining", is_draining=True), replica("r1"), replica("r2")
        )
        chosen = {
            fleet.choose("engine", f"p{n}", 0.0, {"r1"}).replica.id
            for n in range(50)
        }
        self.assertEqual(chosen, {"r2"})

    def test_without_eligible_replicas_none_is_chosen(self):
        fleet = fleet_of(replica("r1", is_draining=True))
        self.assertIsNone(fleet.choose("engine", "p", 0.0))
        self.assertIsNone(fleet.choose("other", "p", 0.0))

    def test_a_failing_replica_is_skipped_and_retried(self):
        fleet = fleet_of(replica("r1"), replica("r2"))
        state = {s.replica.id: s for s in fleet.states()}["r1"]
        state.circuit.record_failure(0.0)
        state.circuit.record_failure(0.0)
        chosen = {
            fleet.choose("engine", None, 0.1).replica.id for _ in range(20)
        }
        self.assertEqual(chosen, {"r2"})
        later = {
            fleet.choose("engine", None, 1.0).replica.id for _ in range(40)
        }
        self.assertEqual(later, {"r1", "r2"})

    def test_a_service_with_all_circuits_open_stays_usable(self):
        """All calls of this host fail, as in a network partition.

        Skipping all replicas would refuse requests that one may serve.
        """
        fleet = fleet_of(replica("r1"), replica("r2"))
        for state in fleet.states():
            for _ in range(5):
                state.circuit.record_failure(0.0)
        self.assertIsNotNone(fleet.choose("engine", None, 0.1))

    def test_stateless_requests_go_to_the_least_utilized(self):
        """A replica in another failure domain is chosen only under load.

        A load report that has expired is ignored.
        """
        fleet = fleet_of(
            replica("near", slots=6),
            replica("far", slots=6, failure_domain="b"),
        )
        state_by_id = {s.replica.id: s for s in fleet.states()}
        self.assertEqual(fleet.choose("engine", None, 0.0).replica.id, "near")
        state_by_id["near"].record_load(ReportedLoad(5, 2, at=0.0))
        self.assertEqual(fleet.choose("engine", None, 0.1).replica.id, "far")
        self.assertEqual(fleet.choose("engine", None, 9.0).replica.id, "near")

    def test_a_restart_under_the_same_id_resets_the_state(self):
        fleet = fleet_of(replica("r1", started_at_ms=1))
        before = next(iter(fleet.states()))
        fleet.put(replica("r1", started_at_ms=2))
        self.assertIsNot(next(iter(fleet.states())), before)

    def test_a_changed_entry_keeps_the_state(self):
        fleet = fleet_of(replica("r1", started_at_ms=1))
        before = next(iter(fleet.states()))
        fleet.put(replica("r1", started_at_ms=1, is_draining=True))
        self.assertIs(next(iter(fleet.states())), before)


if __name__ == "__main__":
    unittest.main()
