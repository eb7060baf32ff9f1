"""Tests of the decision whether the own disk is complete."""

import unittest

from simulation import RETENTION_S

from masticdale_history.completeness import Completeness, DiskOrigin
from masticdale_history.placement import Member
from masticdale_history.turn_index import CLOCK_MARGIN_MS


class OwnDiskTest(unittest.TestCase):
    def setUp(self):
        self.now_ms = 1_000_000

    def completeness(self, **origin):
        return Completeness(
            DiskOrigin("disk", self.now_ms, **origin),
            "s0",
            2,
            lambda: self.now_ms,
        )

    def members(self, *names):
        return [Member(n, n, 1, "d", f"disk-{n}") for n in names]

    def test_it_is_incomplete_while_the_members_are_unknown(self):
        """Guards against absences claimed without the others' repairs."""
        completeness = self.completeness()
        self.now_ms += int(RETENTION_S * 10_000)
        self.assertFalse(completeness.update(None, RETENTION_S))

    def test_a_short_list_of_members(self):
        """Guards against a list that lacks the holders of lost records."""
        completeness = self.completeness()
        members = self.members("s0", "s1")
        self.assertFalse(completeness.update(members[:1], RETENTION_S))
        self.assertFalse(completeness.update([], RETENTION_S))
        completeness.record_finish("s1", "disk")
        self.assertFalse(completeness.update(members, RETENTION_S))
        self.assertFalse(completeness.update(members[1:], RETENTION_S))

    def test_the_records_of_the_lost_disk_have_expired(self):
        """Guards against a clock margin that is left out."""
        completeness = self.completeness()
        members = self.members("s0", "s1", "s2", "s3")
        self.now_ms += int(RETENTION_S * 1000) + CLOCK_MARGIN_MS - 1
        self.assertFalse(completeness.update(members, RETENTION_S))
        self.assertFalse(completeness.update(members, None))
        self.now_ms += 1
        self.assertTrue(completeness.update(members, RETENTION_S))

    def test_a_host_that_the_first_list_has(self):
        """Guards against a lost disk that counts as a new one."""
        completeness = self.completeness()
        members = self.members("s0", "s1", "s2", "s3")
        self.assertFalse(completeness.update(members, RETENTION_S))
        self.assertFalse(completeness.update(members[1:], RETENTION_S))

    def test_a_host_that_the_first_list_lacks(self):
        """Guards against new hosts that wait for each other's repairs."""
        completeness = self.completeness()
        members = self.members("s1", "s2", "s3")
        self.assertTrue(completeness.update(members, RETENTION_S))

    def test_an_unreadable_entry_of_the_own_host(self):
        """Guards against a lost disk whose entry is left out of the list."""
        completeness = self.completeness()
        members = self.members("s1", "s2", "s3")
        self.assertFalse(
            completeness.update(members, RETENTION_S, was_listed=True)
        )

    def test_a_disk_with_records_of_a_host_that_is_not_listed(self):
        """Guards against a damaged disk that counts as a new one."""
        completeness = self.completeness(has_data=True)
        members = self.members("s1", "s2", "s3")
        self.assertFalse(completeness.update(members, RETENTION_S))


if __name__ == "__main__":
    unittest.main()
