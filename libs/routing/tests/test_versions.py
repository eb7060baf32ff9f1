"""Tests of what a host knows of software versions, without a network."""

import math
import unittest

from hypothesis import given
from hypothesis import strategies as st

from masticdale_routing.fleet import Fleet, Replica
from masticdale_routing.routes import Route, RouteKind, RouteTable
from masticdale_routing.versions import (
    MAX_HOLD_S,
    MIN_HOLD_S,
    KnownVersions,
    VersionHistory,
    hold_s,
)

SERVICE = "engine"
# Twice the timeout of the only route with streams.
LIFETIME_S = 8.0


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


class VersionHistoryTest(unittest.TestCase):
    def setUp(self):
        self.fleet = Fleet("a")
        self.is_fresh = True
        self.table = RouteTable(
            [
                Route(
                    "r", "h", "/", RouteKind.STREAMING, 4.0, 1, 0, (), 1, True
                ),
                Route(
                    "s", "h", "/s/", RouteKind.IDEMPOTENT, 9, 1, 0, (), 1, True
                ),
            ]
        )
        self.history = VersionHistory(
            self.fleet, lambda: self.table, lambda: self.is_fresh
        )

    def test_a_gap_restarts_the_watched_time(self):
        """Guards against a version that came and went while a host stood."""
        gap_at = -math.inf
        history = VersionHistory(
            self.fleet, lambda: self.table, lambda: True, lambda: gap_at
        )
        self.list({1: "v1"}, 0.0)
        history.update(0.0)
        self.assertEqual(history.known(SERVICE, 20.0).watched_s, 20.0)
        gap_at = 15.0
        self.assertEqual(history.known(SERVICE, 20.0).watched_s, 5.0)

    def list(self, version_by_number, now):
        for known in self.fleet.replicas():
            self.fleet.remove(known.id)
        for number, version in version_by_number.items():
            self.fleet.put(replica(number, version))
        self.history.update(now)

    def sole_version(self, now, within_s=LIFETIME_S):
        return self.history.known(SERVICE, now).sole_version(within_s)

    def test_a_host_that_has_just_started_knows_nothing(self):
        """Guards against trusting a list read after a version has left."""
        self.list({1: "v2"}, 0.0)
        self.assertIsNone(self.sole_version(LIFETIME_S - 0.1))
        self.assertEqual(self.sole_version(LIFETIME_S), "v2")

    def test_a_version_that_has_left_counts_for_the_life_of_a_stream(self):
        """Guards against resuming its streams at the version that stays."""
        self.list({1: "v1", 2: "v2"}, 0.0)
        self.list({2: "v2"}, 100.0)
        self.assertIsNone(self.sole_version(100.0 + LIFETIME_S - 0.1))
        self.assertEqual(self.sole_version(100.0 + LIFETIME_S), "v2")

    def test_a_list_that_may_be_outdated_does_not_count(self):
        """Guards against a host cut off from the store during a release."""
        self.list({1: "v1"}, 0.0)
        self.is_fresh = False
        self.assertIsNone(self.sole_version(100.0))

    def test_a_gap_in_the_list_counts_for_the_life_of_a_stream(self):
        """Guards against a version that comes and goes in an outage."""
        self.list({1: "v1"}, 0.0)
        self.is_fresh = False
        self.history.update(100.0)
        self.is_fresh = True
        self.history.update(105.0)
        self.assertIsNone(self.sole_version(105.0 + LIFETIME_S - 0.1))
        self.assertEqual(self.sole_version(105.0 + LIFETIME_S), "v1")

    def test_no_stream_is_known_before_a_configuration(self):
        """Guards against a lifetime of none while routes are unknown."""
        self.table = None
        self.list({1: "v1"}, 0.0)
        lifetime_s = self.history.lifetime_s
        self.assertIsNone(self.sole_version(LIFETIME_S, lifetime_s))

    def test_versions_of_another_service_do_not_count(self):
        self.fleet.put(replica(3, "v9", service="desk"))
        self.list({1: "v1"}, 0.0)
        self.assertEqual(self.sole_version(100.0), "v1")

    @given(
        st.lists(
            st.tuples(
                st.floats(0.0, 20.0),
                st.dictionaries(
                    st.integers(1, 3), st.sampled_from(["", "v1", "v2"])
                ),
            ),
            min_size=1,
            max_size=12,
        ),
        st.floats(0.0, LIFETIME_S),
    )
    def test_a_sole_version_is_that_of_every_stream(self, changes, age_s):
        """Guards against a stream resumed at a version that did not begin it.

        The version of a stream is any that was listed at some time within a
        stream's life before now.
        """
        self.setUp()
        now = 0.0
        listed: list[tuple[float, set[str]]] = []
        for wait_s, version_by_number in changes:
            now += wait_s
            self.list(version_by_number, now)
            listed.append((now, set(version_by_number.values())))
        now += 1.0
        sole = self.sole_version(now)
        if sole is None:
            return
        ends = [at for at, _ in listed[1:]] + [math.inf]
        possible = {
            version
            for (_, versions), end in zip(listed, ends, strict=True)
            for version in versions
            if end > now - age_s
        }
        self.assertLessEqual(possible, {sole})

    def test_what_two_hosts_know_together(self):
        """Guards against ignoring a version that only one host has seen."""
        old = KnownVersions({"v1": 0.0}, 8.0)
        new = KnownVersions({"v2": 0.0})
        self.assertIsNone(old.union(new).sole_version(8.0))
        self.assertEqual(old.union(KnownVersions()).sole_version(8.0), "v1")

    def test_another_host_answers_only_for_the_time_that_it_has_watched(self):
        """Guards against one that started after the version in question left.

        Times of two hosts are not added, since there may be a gap between.
        """
        asked = KnownVersions({"v2": 0.0}, 20.0)
        known = KnownVersions({"v2": 0.0}, 15.0).union(asked)
        self.assertEqual(known.sole_version(20.0), "v2")
        self.assertIsNone(known.sole_version(32.0))
        longer = KnownVersions({"v2": 0.0, "v1": 25.0}, 100.0)
        self.assertEqual(known.union(longer).sole_version(20.0), "v2")
        self.assertIsNone(known.union(longer).sole_version(32.0))
        self.assertEqual(longer.union(known).sole_version(25.0), "v2")

    def test_a_lower_timeout_shortens_no_time_that_callers_hold(self):
        """Guards against forgetting a version that has left with the timeout.

        The configuration lowers the timeout while streams are under way.
        """
        self.list({1: "v1", 2: "v2"}, 0.0)
        self.list({2: "v2"}, 100.0)
        self.table = RouteTable(
            [Route("r", "h", "/", RouteKind.STREAMING, 0.5, 1, 0, (), 1, True)]
        )
        self.history.update(101.0)
        self.history.update(116.0)
        self.assertEqual(self.history.lifetime_s, MIN_HOLD_S)
        self.assertEqual(self.sole_version(116.0, MIN_HOLD_S), "v2")
        self.assertIsNone(self.sole_version(116.0, 32.0))
        self.assertEqual(self.sole_version(133.0, 32.0), "v2")

    def test_a_version_is_forgotten_once_no_caller_can_hold_a_stream(self):
        """Guards against a history that grows with each release."""
        self.list({1: "v1", 2: "v2"}, 0.0)
        self.list({2: "v2"}, 100.0)
        self.history.update(100.0 + MAX_HOLD_S)
        known = self.history.known(SERVICE, 100.0 + MAX_HOLD_S)
        self.assertEqual(known.age_by_version, {"v2": 0.0})

    def test_a_stream_is_held_past_its_deadline(self):
        """Guards against a replica that begins streams after it has left.

        Hosts hear of it late. An endless deadline counts as the longest.
        """
        self.assertGreater(hold_s(30.0), 31.0)
        self.assertEqual(hold_s(1e12), MAX_HOLD_S)


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
