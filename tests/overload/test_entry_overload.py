"""Tests of an entry host whose callers do not behave.

Each test starts a process with few descriptors. A crowd stays connected while
an ordinary request is sent; memory and descriptors must stay within those of
the machine.
"""

import unittest

from crowd import chunked_body, head, odd_lines, short_lines
from entry_case import (
    HOST,
    IDEMPOTENT,
    MAX_BODY_BYTES,
    MAX_HEADER_BYTES,
    STREAMING,
    EntryCase,
)

CHUNKED = b"Transfer-Encoding: chunked"
END = b"\r\n"
# What the other lines of a head take.
HEAD_BYTES = 200
# Longer than a test.
BUSY_S = 300.0


def post(*lines, request_id="r"):
    return head(b"POST", IDEMPOTENT + "x", HOST, *lines, request_id=request_id)


def get(path, request_id):
    return head(b"GET", path + "x", HOST, request_id=request_id) + END


class IncompleteRequestTest(EntryCase):
    async def test_large_chunks(self):
        """Guards against bodies that stop short of their end, in memory."""
        body = chunked_body(MAX_BODY_BYTES - 65_536, 65_536)
        message = post(CHUNKED) + END + body
        await self.crowd.join([message] * 32)
        await self.check_host()

    async def test_declared_lengths(self):
        """Guards against bodies that are shorter than they declare."""
        length = b"Content-Length: %d" % MAX_BODY_BYTES
        message = post(length) + END + b"x" * (MAX_BODY_BYTES - 1)
        await self.crowd.join([message] * 32)
        await self.check_host()

    async def test_small_chunks(self):
        """Guards against chunks that take many times their size."""
        message = post(CHUNKED) + END + chunked_body(524_288, 2)
        await self.crowd.join([message] * 12)
        await self.check_host()

    async def test_short_header_lines(self):
        """Guards against fields that take many times their size."""
        message = post() + short_lines(MAX_HEADER_BYTES - HEAD_BYTES)
        await self.crowd.join([message] * 400)
        await self.check_host()

    async def test_odd_header_lines(self):
        """Guards against fields with odd names and blank values."""
        message = post() + odd_lines(MAX_HEADER_BYTES - HEAD_BYTES)
        await self.crowd.join([message] * 400)
        await self.check_host()

    async def test_connections_that_come_again(self):
        """Guards against bodies that outlive their connection."""
        message = post(CHUNKED) + END + chunked_body(MAX_BODY_BYTES // 2, 8192)
        for _ in range(8):
            await self.crowd.join([message] * 12)
            self.crowd.leave()
        await self.check_host()

    async def test_connections(self):
        """Guards against callers that take every descriptor."""
        await self.crowd.join([b"POST"] * 600)
        await self.check_host()


class CompleteRequestTest(EntryCase):
    async def asyncSetUp(self):
        await super().asyncSetUp()
        self.desk.behaviour.processing_s = BUSY_S

    async def test_large_bodies(self):
        """Guards against bodies that wait for a busy replica, in memory."""
        length = b"Content-Length: %d" % MAX_BODY_BYTES
        body = b"x" * MAX_BODY_BYTES
        await self.crowd.join(
            post(length, request_id=f"r{n}") + END + body for n in range(24)
        )
        await self.check_host()

    async def test_short_header_lines(self):
        """Guards against fields of requests that wait for a busy replica."""
        lines = short_lines(MAX_HEADER_BYTES - HEAD_BYTES)
        await self.crowd.join(
            post(b"Content-Length: 0", request_id=f"r{n}") + lines + END
            for n in range(200)
        )
        await self.check_host()

    async def test_pipelined_requests(self):
        """Guards against requests that are parsed ahead of their turn."""
        first = get(IDEMPOTENT, "first")
        rest = head(b"GET", "/", HOST) + END
        message = first + rest * (524_288 // len(rest))
        await self.crowd.join([message] * 100)
        await self.check_host()


class UnreadResponseTest(EntryCase):
    async def test_large_responses(self):
        """Guards against whole responses that wait for a slow reader."""
        self.desk.behaviour.body_bytes = 12 << 20
        await self.crowd.join(get(IDEMPOTENT, f"r{n}") for n in range(16))
        await self.check_host()

    async def test_pipelined_responses(self):
        """Guards against writing on while the caller does not read."""
        self.desk.behaviour.body_bytes = 1 << 20
        await self.crowd.join(
            b"".join(get(IDEMPOTENT, f"r{n}-{i}") for i in range(24))
            for n in range(16)
        )
        await self.check_host()

    async def test_streams(self):
        """Guards against streams whose callers do not read."""
        self.engine.behaviour.events = 400
        self.engine.behaviour.data_lines = 400
        await self.crowd.join(get(STREAMING, f"r{n}") for n in range(100))
        await self.check_host()


class LegalRequestTest(EntryCase):
    """In calm, a single request inside the limits is served."""

    async def test_a_largest_body_in_small_chunks(self):
        """Guards against a limit that a legal request exceeds."""

        async def parts():
            for _ in range(MAX_BODY_BYTES // 64):
                yield b"x" * 64

        answer = await self.send(IDEMPOTENT, "r1", content=parts())
        self.assertEqual(answer.status_code, 200)
        received = self.desk.received_requests[-1].body
        self.assertEqual(len(received), MAX_BODY_BYTES)
        await self.check_host()

    async def test_a_largest_body_in_the_smallest_chunks(self):
        """Guards against one legal request that takes the whole memory."""
        body = chunked_body(MAX_BODY_BYTES, 2) + b"0\r\n\r\n"
        await self.crowd.join([post(CHUNKED) + END + body])
        await self.check_host()
        received = self.desk.received_requests[-1].body
        self.assertEqual(len(received), MAX_BODY_BYTES)

    async def test_a_largest_head_without_spaces(self):
        """Guards against a head that counts more than its bytes."""
        lines = b"a:\r\n" * ((MAX_HEADER_BYTES - 300) // 4)
        message = post(b"Content-Length: 0") + lines + END
        self.assertLess(len(message), MAX_HEADER_BYTES)
        await self.crowd.join([message])
        await self.check_host()
        self.assertEqual(len(self.desk.received_requests), 1)

    async def test_a_largest_head_of_short_lines(self):
        """Guards against a limit on the number of fields."""
        lines = {f"n{n:04}": "v" for n in range(1500)}
        answer = await self.send(IDEMPOTENT, "r1", **lines)
        self.assertEqual(answer.status_code, 200)
        received = self.desk.received_requests[-1].header_by_name
        self.assertLessEqual(lines.items(), received.items())
        await self.check_host()

    async def test_a_largest_response(self):
        """Guards against a limit that a response of a replica exceeds."""
        self.desk.behaviour.body_bytes = 16 << 20
        answer = await self.send(IDEMPOTENT, "r1")
        self.assertEqual(len(answer.content), 16 << 20)
        self.assertEqual(answer.status_code, 200)


if __name__ == "__main__":
    unittest.main()
