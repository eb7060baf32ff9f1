"""Tests of reading the responses of one connection."""

import asyncio
import itertools
import tracemalloc
import unittest

import hypothesis
from hypothesis import strategies as st

from masticdale_gateway.testing import FakeTransport
from masticdale_gateway.upstreams import (
    OversizedResponseError,
    UpstreamConnection,
)

HEAD = b"HTTP/1.1 200 OK\r\nRequest-Id: r1\r\n"
# A tenth of the growth that ten endless responses at once may cause.
MAX_RESPONSE_BYTES = 2 << 20
OTHER = HEAD.replace(b"r1", b"r0")


def matches(head):
    return head.headers.get(b"request-id") == b"r1"


def chunked(body, size):
    parts = [body[at : at + size] for at in range(0, len(body), size)]
    framed = b"".join(b"%x\r\n%b\r\n" % (len(p), p) for p in parts)
    return HEAD + b"Transfer-Encoding: chunked\r\n\r\n" + framed


def connect():
    """Returns a connection that awaits a response, and its transport."""
    transport = FakeTransport()
    connection = UpstreamConnection()
    connection.connection_made(transport)
    connection.send(b"request", matches)
    return connection, transport


async def read(pieces):
    """Feeds pieces while the connection reads; returns head and body."""
    connection, transport = connect()
    left = list(pieces)
    body = b""
    head = None
    while True:
        while left and transport.is_reading:
            connection.data_received(left.pop(0))
            if transport.is_aborted:
                left.clear()
        async with asyncio.timeout(1):
            if head is None:
                head = await connection.read_head()
                continue
            chunk = await connection.read_chunk()
        if chunk is None:
            return head, body
        body += chunk


class LimitTest(unittest.IsolatedAsyncioTestCase):
    async def assert_oversized(self, pieces):
        with self.assertRaises(OversizedResponseError):
            await read(pieces)

    async def test_a_large_head_is_refused_however_it_arrives(self):
        """Guards against a limit that depends on how the network splits."""
        fields = b"".join(b"Field-%d: x\r\n" % n for n in range(6_000))
        data = HEAD + fields + b"Content-Length: 0\r\n\r\n"
        for size in (len(data), 30_000, 1_000):
            with self.subTest(size=size):
                await self.assert_oversized(
                    data[at : at + size] for at in range(0, len(data), size)
                )

    async def test_many_small_fields_take_little_memory(self):
        """Guards against fields that take some twenty times their size."""
        connection, _ = connect()
        # As much as one read of a socket may give.
        data = HEAD + b"ab: cd\r\n" * 32_000
        tracemalloc.start()
        self.addCleanup(tracemalloc.stop)
        connection.data_received(data)
        _, highest_bytes = tracemalloc.get_traced_memory()
        self.assertLess(highest_bytes, MAX_RESPONSE_BYTES)
        with self.assertRaises(OversizedResponseError):
            await connection.read_head()

    async def test_interim_responses_without_end(self):
        """Guards against reading heads that are no response for ever."""
        interim = b"HTTP/1.1 103 Early Hints\r\n\r\n" * 100
        await self.assert_oversized([interim] * 100)

    async def test_responses_to_other_requests_without_end(self):
        """Guards against skipping late responses for ever."""
        other = OTHER + b"Content-Length: 0\r\n\r\n"
        await self.assert_oversized([other * 10] * 10)

    async def test_a_response_to_another_request_without_end(self):
        """Guards against skipping one late response for ever."""
        head = OTHER + b"Connection: close\r\n\r\n"
        await self.assert_oversized([head, *[b"x" * 100_000] * 100])

    async def test_framing_that_exceeds_the_body(self):
        """Guards against a body that is mostly chunk sizes."""
        await self.assert_oversized([chunked(b"x" * 100_000, 1)])

    async def test_trailers_without_end(self):
        """Guards against fields that the parser keeps after the body."""
        data = chunked(b"x" * 1_000, 100) + b"0\r\n"
        await self.assert_oversized([data, *[b"a: b\r\n" * 1_000] * 100])

    async def test_reading_pauses_while_nobody_reads(self):
        """Guards against buffering a body for a slow caller."""
        connection, transport = connect()
        connection.data_received(
            HEAD + b"Content-Length: 9000000\r\n\r\n" + b"x" * 200_000
        )
        self.assertFalse(transport.is_reading)
        await connection.read_head()
        self.assertEqual(len(await connection.read_chunk()), 200_000)
        self.assertTrue(transport.is_reading)


class SplitTest(unittest.TestCase):
    @hypothesis.settings(derandomize=True, deadline=None, max_examples=50)
    @hypothesis.given(
        st.lists(st.integers(0, 300_000), max_size=20),
        st.sampled_from([1, 7, 200, 65_536]),
        st.integers(0, 20_000),
    )
    def test_split_points_do_not_change_the_response(
        self, split_points, chunk_size, length
    ):
        body = bytes(n % 251 for n in range(length))
        data = chunked(body, chunk_size) + b"0\r\n\r\n"
        # Otherwise the framing exceeds the body by too much.
        hypothesis.assume(len(data) < 2 * length + 65_536)
        points = [0, *sorted(p % len(data) for p in split_points), len(data)]
        pieces = [data[a:b] for a, b in itertools.pairwise(points) if a < b]
        head, received = asyncio.run(read(pieces))
        self.assertEqual(head.status, 200)
        self.assertEqual(received, body)


class LegalResponseTest(unittest.IsolatedAsyncioTestCase):
    async def test_a_large_body_after_late_responses(self):
        """Guards against counting what was skipped against the response."""
        other = OTHER + b"Content-Length: 300000\r\n\r\n" + b"o" * 300_000
        data = HEAD + b"Content-Length: 900000\r\n\r\n"
        _, body = await read([other, other, data, *[b"x" * 100_000] * 9])
        self.assertEqual(body, b"x" * 900_000)

    async def test_trailers_do_not_change_the_head(self):
        """Guards against fields that are forwarded as if they were headers."""
        data = chunked(b"body", 4) + b"0\r\nRequest-Id: r9\r\nNote: a\r\n\r\n"
        head, body = await read([data])
        self.assertEqual(body, b"body")
        self.assertIsNone(head.headers.get(b"note"))


if __name__ == "__main__":
    unittest.main()
