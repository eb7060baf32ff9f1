"""Tests of responses that end while the request is still being written."""

import asyncio
import unittest

from masticdale_gateway.transports import ConnectionLostError
from masticdale_gateway.upstreams import UpstreamConnection, matches_any

# More than the kernel buffers of both ends hold.
REQUEST = b"POST / HTTP/1.1\r\n\r\n" + b"x" * (16 << 20)
HEAD = b"HTTP/1.1 %d X\r\nKeep-Alive: timeout=5\r\n\r\n"
PART = b"a part of the body"


class EarlyResponseTest(unittest.IsolatedAsyncioTestCase):
    """Guards against a part of a body that is taken for the whole one.

    A replica that fails answers without a length before it has read the
    request, sends a part of the body and ends its side of the connection, or
    resets it.
    """

    async def asyncSetUp(self):
        self.status = 200
        self.is_reset = False
        server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.addCleanup(server.close)
        _, self.connection = await asyncio.get_running_loop().create_connection(
            UpstreamConnection, *server.sockets[0].getsockname()
        )
        self.addCleanup(self.connection.abort)

    async def serve(self, reader, writer):
        await reader.read(1000)
        writer.write(HEAD % self.status + PART)
        await writer.drain()
        if self.is_reset:
            await asyncio.sleep(0.05)
            writer.transport.abort()
            return
        writer.write_eof()
        await asyncio.sleep(0.5)
        writer.close()

    async def read(self, request=REQUEST):
        self.connection.send(request, matches_any)
        async with asyncio.timeout(5):
            head = await self.connection.read_head()
            return head.status, await self.connection.read_body(1000)

    async def test_a_success_that_ends_early_is_not_whole(self):
        with self.assertRaises(ConnectionLostError):
            await self.read()

    async def test_a_success_that_is_reset_is_not_whole(self):
        self.is_reset = True
        with self.assertRaises(ConnectionLostError):
            await self.read()

    async def test_a_failure_that_ends_early_is_passed_on(self):
        self.status = 413
        self.assertEqual(await self.read(), (413, PART))

    async def test_a_success_after_the_request_is_whole(self):
        self.assertEqual(await self.read(REQUEST[:500]), (200, PART))


if __name__ == "__main__":
    unittest.main()
