"""Tests of cutting a stream into events."""

import itertools
import unittest

import hypothesis
from hypothesis import strategies as st

from masticdale_gateway.events import EventSplitter

STREAM = b"".join(b"id: %d\ndata: piece %d\n\n" % (n, n) for n in range(20))


class EventSplitterTest(unittest.TestCase):
    @hypothesis.settings(derandomize=True, deadline=None)
    @hypothesis.given(st.lists(st.integers(0, len(STREAM)), max_size=30))
    def test_any_cuts_give_the_same_events(self, cuts):
        splitter = EventSplitter()
        points = [0, *sorted(cuts), len(STREAM)]
        events = []
        for start, end in itertools.pairwise(points):
            events += splitter.feed(STREAM[start:end])
        self.assertEqual(b"".join(e.data for e in events), STREAM)
        self.assertEqual([e.id for e in events], [str(n) for n in range(20)])
        self.assertFalse(splitter.has_partial_event)

    def test_a_beginning_is_kept_back(self):
        splitter = EventSplitter()
        self.assertEqual(splitter.feed(b"id: 1\ndata: hal"), [])
        self.assertTrue(splitter.has_partial_event)

    def test_line_ends_of_both_kinds(self):
        events = EventSplitter().feed(b"id:7\r\ndata: a\r\n\r\n")
        self.assertEqual([e.id for e in events], ["7"])


if __name__ == "__main__":
    unittest.main()
