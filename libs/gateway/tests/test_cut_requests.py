"""Tests of requests that stop early and are followed by another one."""

import asyncio
import itertools
import unittest
from unittest import mock

from masticdale_common import Failure
from masticdale_gateway.callers import CallerConnection

FIELDS = ("Host", "Request-Id", "Api-Key", "Content-Length")


def request(number, names=FIELDS):
    """Returns the bytes of a request whose parts all have its number."""
    body = b"body-%d" % number
    value_by_name = {
        "Host": "a.example",
        "Request-Id": f"r{number}",
        "Api-Key": f"k{number}",
        "Content-Length": str(len(body)),
    }
    lines = [f"POST /orders/{number} HTTP/1.1"]
    lines += [f"{name}: {value_by_name[name]}" for name in names]
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


def chunked(number):
    head, _, body = request(number, FIELDS[:3]).partition(b"\r\n\r\n")
    chunk = b"%x\r\n%b\r\n" % (len(body), body)
    head += b"\r\nTransfer-Encoding: chunked\r\n\r\n"
    return head + chunk + b"0\r\nNote: a\r\n\r\n"


def parts_of(received):
    """Returns target, id and body of a request."""
    return (
        received.target,
        received.headers.get(b"request-id"),
        received.body,
    )


WHOLE = tuple(
    (b"/orders/%d" % number, b"r%d" % number, b"body-%d" % number)
    for number in (1, 2)
)


class CutRequestTest(unittest.IsolatedAsyncioTestCase):
    async def receive(self, *pieces):
        """Returns the requests that would be run, as parts."""
        received = []

        async def serve(connection):
            while True:
                outcome = await connection.next_request()
                if outcome is None or isinstance(outcome, Failure):
                    return
                received.append(parts_of(outcome))

        connection = CallerConnection(serve, set())
        transport = mock.Mock(spec=asyncio.Transport)
        transport.is_closing.return_value = False
        transport.get_write_buffer_size.return_value = 0
        connection.connection_made(transport)
        for piece in pieces:
            connection.data_received(piece)
        for _ in range(4):
            await asyncio.sleep(0)
        connection.connection_lost(None)
        return received

    async def find_wrong(self, first, second, cuts):
        wrong = []
        for cut in cuts:
            received = await self.receive(first[:cut], second)
            if any(parts not in WHOLE for parts in received):
                wrong.append((first[:cut], received))
        return wrong

    async def test_a_cut_head_never_takes_parts_of_the_next_request(self):
        """Guards against a request with the path of another one."""
        wrong = []
        for names in itertools.permutations(FIELDS):
            first, second = request(1, names), request(2, names)
            head = first.index(b"\r\n\r\n") + 4
            wrong += await self.find_wrong(first, second, range(1, head))
            second = second.replace(b"HTTP/1.1", b"HTTP/1.0")
            wrong += await self.find_wrong(first, second, range(1, head))
        self.assertEqual((len(wrong), wrong[:1]), (0, []))

    async def test_a_cut_chunk_or_trailer_never_takes_the_next_request(self):
        """Guards against a request that is read from the body of another."""
        first = chunked(1)
        body_at = first.index(b"\r\n\r\n") + 4
        inner = request(3, FIELDS)
        second = (
            b"POST /orders/2 HTTP/1.1\r\nHost: a.example\r\n"
            b"Content-Length: %d\r\n\r\n" % len(inner)
        ) + inner
        cuts = range(body_at, len(first))
        wrong = await self.find_wrong(first, second, cuts)
        self.assertEqual((len(wrong), wrong[:1]), (0, []))

    async def test_values_that_name_the_protocol_pass(self):
        """Guards against refusing what callers legally send."""
        for value in (b"HTTP/1.1 proxy", b"HTTP/1.1", b"says GET / to HTTP/1"):
            with self.subTest(value=value):
                data = request(1).replace(b"k1", value)
                self.assertEqual(await self.receive(data), [WHOLE[0]])


if __name__ == "__main__":
    unittest.main()
