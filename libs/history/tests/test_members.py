"""Tests of the list of storage hosts."""

import json
import unittest
from unittest import mock

from returns.result import Failure as Failed

from masticdale_common import ErrorKind
from masticdale_history import (
    Member,
    MemberDirectory,
    encode_member,
    member_key,
    parse_member,
)
from masticdale_platform import StoredObject, WatchBatch

MEMBER = Member("h1", "10.0.0.1", 7000, "north", "disk-1")
OTHER = Member("h2", "10.0.0.2", 7000, "south", "disk-2", is_emptying=True)


def stored(member):
    return StoredObject(member_key(member.host), 1, encode_member(member))


def snapshot(*objects):
    return WatchBatch(1, objects, (), is_snapshot=True)


class EncodingTest(unittest.TestCase):
    def test_the_fields_are_those_of_the_page(self):
        """Guards against hosts that can't read each other's entries."""
        self.assertEqual(
            json.loads(encode_member(OTHER)),
            {
                "address": "10.0.0.2",
                "port": 7000,
                "failure_domain": "south",
                "disk_id": "disk-2",
                "state": "emptying",
            },
        )

    def test_an_entry_is_read_as_it_was_written(self):
        """Guards against an emptying host that is taken for a serving one."""
        for member in (MEMBER, OTHER):
            parsed = parse_member(member.host, encode_member(member))
            self.assertEqual(parsed.unwrap(), member)

    def test_fields_of_newer_versions_are_ignored(self):
        """Guards against members that vanish in a rolling restart."""
        value = json.loads(encode_member(MEMBER)) | {"newer": 1}
        parsed = parse_member("h1", json.dumps(value).encode())
        self.assertEqual(parsed.unwrap(), MEMBER)

    def test_invalid_entries_are_refused(self):
        """Guards against calls to addresses that can't exist."""
        valid = json.loads(encode_member(MEMBER))
        for change in (
            {"address": "nowhere"},
            {"port": 0},
            {"port": 70_000},
            {"disk_id": ""},
            {"state": "other"},
        ):
            with self.subTest(**change):
                value = json.dumps(valid | change).encode()
                outcome = parse_member("h1", value)
                self.assertIsInstance(outcome, Failed)
                self.assertIs(outcome.failure().kind, ErrorKind.BAD_REQUEST)
        for value in (b"", b"\xff\xfe", b"[]", b"{}"):
            with self.subTest(value=value):
                self.assertIsInstance(parse_member("h1", value), Failed)


class DirectoryTest(unittest.TestCase):
    def setUp(self):
        self.directory = MemberDirectory()
        self.on_change = mock.Mock()
        self.directory.on_change.append(self.on_change)

    def test_only_a_snapshot_loads_the_list(self):
        """Guards against 404s decided by a part of the members."""
        self.directory.apply(WatchBatch(1, (stored(MEMBER),), ()), False)
        self.assertFalse(self.directory.is_loaded)
        self.directory.apply(snapshot(), False)
        self.assertTrue(self.directory.is_loaded)
        self.assertEqual(self.directory.members(), [])

    def test_entries_are_added_replaced_and_deleted(self):
        """Guards against calls to hosts that were removed."""
        self.directory.apply(snapshot(stored(MEMBER), stored(OTHER)), False)
        self.assertEqual(self.directory.members(), [MEMBER, OTHER])
        moved = Member("h1", "10.0.0.9", 7000, "north", "disk-9")
        self.directory.apply(WatchBatch(2, (stored(moved),), ()), False)
        self.assertEqual(self.directory.members(), [moved, OTHER])
        self.directory.apply(WatchBatch(3, (), (member_key("h2"),)), False)
        self.assertEqual(self.directory.members(), [moved])
        self.assertEqual(self.on_change.call_count, 3)

    def test_a_batch_without_changes_is_not_reported(self):
        """Guards against repairs that start without a reason."""
        self.directory.apply(snapshot(stored(MEMBER)), False)
        self.directory.apply(snapshot(stored(MEMBER)), True)
        self.directory.apply(WatchBatch(3, (), ()), False)
        self.assertEqual(self.on_change.call_count, 1)

    def test_an_unreadable_entry_removes_only_its_host(self):
        """Guards against one bad entry that hides all storage hosts."""
        self.directory.apply(snapshot(stored(MEMBER), stored(OTHER)), False)
        bad = StoredObject(member_key("h1"), 2, b"\xff{")
        self.directory.apply(WatchBatch(2, (bad,), ()), False)
        self.assertEqual(self.directory.members(), [OTHER])


if __name__ == "__main__":
    unittest.main()
