"""Tests of choices among replicas of several software versions."""

import unittest

from masticdale_routing.fleet import Fleet, Replica

SERVICE = "engine"


def replica(number, version, **changes):
    fields = {
        "id": f"i-{number}",
        "service": SERVICE,
        "address": "10.0.0.1",
        "port": 80 + number,
        "failure_domain": "a",
        "slots": 8,
        "is_draining": False,
        "software_version": version,
    }
    return Replica(**(fields | changes))


class FleetTest(unittest.TestCase):
    def setUp(self):
        self.fleet = Fleet("a", seed=1)

    def choose(self, version, now=100.0, **options):
        state = self.fleet.choose(
            SERVICE, "program", now, software_version=version, **options
        )
        return state.replica.id if state else None

    def test_only_replicas_of_the_version_are_chosen(self):
        """Guards against the choices that pass over the version of a stream.

        Assigned replicas, isolated contents and keys each select a replica.
        """
        for number in range(8):
            self.fleet.put(replica(number, f"v{number % 4}"))
        for options in ({}, {"assigned_id": "i-1"}, {"isolation_key": "c"}):
            with self.subTest(options=options):
                chosen = self.choose("v2", **options)
                self.assertIn(chosen, ("i-2", "i-6"))
        self.assertIsNone(self.choose("v9"))
        self.assertIsNone(self.choose("v2", excluded=("i-2", "i-6")))

    def test_a_draining_replica_runs_what_no_other_one_may(self):
        """Guards against breaking off streams of a version that is leaving."""
        self.fleet.put(replica(1, "v1"))
        self.fleet.put(replica(2, "v2"))
        self.fleet.put(replica(1, "v1", is_draining=True), now=100.0)
        self.assertEqual(self.choose("v1", 100.9), "i-1")
        self.assertIsNone(self.choose("v1", 101.1))
        self.assertEqual(self.choose(None, 100.1), "i-2")

    def test_one_that_was_found_draining_runs_nothing(self):
        """Guards against work for a replica that is about to end."""
        self.fleet.put(replica(1, "v1", is_draining=True), now=100.0)
        self.assertIsNone(self.choose("v1", 100.1))

    def test_another_version_under_the_same_id_is_another_process(self):
        """Guards against events of two versions from one replica's id."""
        self.fleet.put(replica(1, "v1"))
        before = self.fleet.find("i-1")
        self.fleet.put(replica(1, "v2"))
        self.assertIsNot(self.fleet.find("i-1"), before)
        self.assertFalse(before.is_listed)
        self.assertIsNone(self.choose("v1"))


if __name__ == "__main__":
    unittest.main()
