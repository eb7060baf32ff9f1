"""Tests of closing idle connections, with real sockets."""

import asyncio
import socket
import unittest

from test_closing_connections import REQUEST, create_relay

from masticdale_gateway import listen

BACKLOG = 100


class ClosingIdleTest(unittest.IsolatedAsyncioTestCase):
    async def test_a_request_that_the_kernel_holds_is_answered(self):
        """Guards against resetting a caller whose request was not read yet.

        On a host that is short of processor time, it arrives while other
        callbacks of the same step of the event loop run.
        """
        relay = create_relay()
        self.addCleanup(relay.abort)
        server = await listen(relay, "127.0.0.1", 0, BACKLOG)
        self.addCleanup(server.close)
        with socket.socket() as caller:
            caller.connect(server.sockets[0].getsockname())
            while not relay.connections:
                await asyncio.sleep(0)
            await asyncio.sleep(0.01)
            caller.sendall(REQUEST)
            relay.close_idle()
            caller.setblocking(False)
            loop = asyncio.get_running_loop()
            try:
                async with asyncio.timeout(1.0):
                    data = await loop.sock_recv(caller, 1 << 16)
            except ConnectionResetError:
                data = b"reset"
        self.assertEqual(data[:12], b"HTTP/1.1 404")


if __name__ == "__main__":
    unittest.main()
