"""Tests of finding the causes of refused requests in log lines."""

import json
import unittest

from masticdale_load.traces import (
    WorkspaceCounts,
    count_by_workspace,
    count_refusals,
    read_lines,
    trace,
)


def line(at, host, kind, **fields):
    fields |= {"message_type": kind, "host": host, "timestamp": 0.0}
    return f"{at} {host} {json.dumps(fields)}"


LOG = [
    "day  worth  {not a line}",
    line(1.0, "a", "shard_acted_for", shard=2),
    line(9.0, "a", "store_lost", reason="timed out"),
    line(9.5, "b", "shard_alone", shard=1),
    line(9.6, "b", "shard_alone", shard=2),
    line(
        10.0,
        "c",
        "ledger_unavailable",
        request_id="r1",
        program_id="p",
        shard=1,
    ),
    line(
        10.0,
        "c",
        "request",
        request_id="r1",
        program_id="p",
        outcome="ledger_unavailable",
        detail="shard 1: record",
    ),
    line(
        11.0,
        "c",
        "request",
        request_id="r2",
        program_id="p",
        outcome="answered",
        detail="",
    ),
    '12.0 c {"message_type": "request", "request_id": "cut of',
]


class TraceTest(unittest.TestCase):
    def setUp(self):
        self.lines = list(read_lines(LOG))

    def test_truncated_and_foreign_lines_are_skipped(self):
        self.assertEqual(len(self.lines), 7)

    def test_trace_of_refused_request_includes_state_changes_of_its_shard(self):
        kinds = [found.kind for found in trace(self.lines, "r1")]
        self.assertEqual(
            kinds,
            ["store_lost", "shard_alone", "ledger_unavailable", "request"],
        )

    def test_trace_of_a_crashing_request_includes_its_crashes(self):
        fatal = [
            line(1.0, "a", "crash_suspect", content="c", crashes=1),
            line(2.0, "b", "crash_suspect", content="other", crashes=1),
            line(3.0, "b", "suspect_refused", request_id="r", content="c"),
            line(3.0, "b", "request", request_id="r", outcome="crash_suspect"),
        ]
        lines = list(read_lines(fatal))
        kinds = ["crash_suspect", "suspect_refused", "request"]
        self.assertEqual([f.kind for f in trace(lines, "r")], kinds)
        self.assertEqual([f.kind for f in trace(lines, "c")], kinds[:2])

    def test_trace_of_program_includes_all_its_requests(self):
        found = [x for x in trace(self.lines, "p") if x.kind == "request"]
        self.assertEqual(len(found), 2)

    def test_time_and_host_of_plain_json_line_come_from_its_fields(self):
        text = json.dumps(
            {"message_type": "started", "timestamp": 5.5, "host": "h"}
        )
        (found,) = read_lines([text])
        self.assertEqual((found.at, found.host), (5.5, "h"))

    def test_refusals_are_counted_by_window_and_reason(self):
        self.assertEqual(
            count_refusals(self.lines, 2.0),
            [(10.0, "ledger_unavailable: shard #: record", 1)],
        )

    def test_workspaces_are_counted_the_worst_served_first(self):
        texts = [
            line(1.0, "a", "request", workspace=name, outcome=outcome)
            for name, outcome in (
                ("beta", "answered"),
                ("alpha", "answered"),
                ("alpha", "limit_reached"),
                ("alpha", "budget_exceeded"),
                ("alpha", "upstream_failed"),
            )
        ]
        self.assertEqual(
            count_by_workspace(read_lines(texts)),
            [
                WorkspaceCounts("alpha", 4, 1, 1, 1),
                WorkspaceCounts("beta", 1, 1, 0, 0),
            ],
        )


if __name__ == "__main__":
    unittest.main()
