"""Tests of the rate limit and the non-blocking stream of logs."""

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

    def test_a_burst_of_one_message_type_is_limited(self):
        """A burst of requests must not flood the log."""
        for number in range(500):
            logs.write_bounded("burst_test", number=number)
        kept = [m for m in self.lines if m["message_type"] == "burst_test"]
        self.assertLess(len(kept), 250)
        logs.write_bounded("other_test")
        self.assertEqual(self.lines[-1]["message_type"], "other_test")


class NonBlockingStreamTest(unittest.TestCase):
    def test_a_stopped_reader_does_not_block_the_writer(self):
        """A blocked write would stop the whole process.

        The buffer stays bounded, and dropped lines are reported once the
        reader continues.
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
