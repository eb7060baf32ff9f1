"""Tests of logs that are bounded and never waited for."""

import io
import json
import os
import unittest

import eliot

from masticdale_common import logs


class BoundedTest(unittest.TestCase):
    def setUp(self):
        self.lines = []
        eliot.add_destinations(self.lines.append)
        self.addCleanup(eliot.remove_destination, self.lines.append)

    def test_a_burst_of_one_kind_is_cut_and_counted(self):
        """A burst of callers must not become a burst of log lines."""
        for number in range(500):
            logs.write_bounded("burst_test", number=number)
        kept = [m for m in self.lines if m["message_type"] == "burst_test"]
        self.assertLess(len(kept), 250)
        logs.write_bounded("other_test")
        self.assertEqual(self.lines[-1]["message_type"], "other_test")


class NonBlockingStreamTest(unittest.TestCase):
    def test_a_reader_that_stops_holds_nobody_up(self):
        """The process would stand still as long as its log is not read.

        Nothing reads the pipe: writing goes on, memory stays bounded, and
        once somebody reads, a line says how many were left out.
        """
        reader, writer = os.pipe()
        stream = logs.NonBlockingStream(writer)
        line = json.dumps({"text": "x" * 1000}).encode() + b"\n"
        for _ in range(5000):
            stream.write(line)
            stream.flush()
        received = io.BytesIO()
        for _ in range(200):
            received.write(os.read(reader, 65536))
            stream.write(b"{}\n")
            stream.flush()
            if b"lines_lost" in received.getvalue():
                break
        self.assertIn(b"lines_lost", received.getvalue())
        self.assertLess(len(received.getvalue()), 4 << 20)
        os.close(reader)
        os.close(writer)


if __name__ == "__main__":
    unittest.main()
