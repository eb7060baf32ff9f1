"""Tests of connections that are replaced when one goes silent."""

import asyncio
import unittest

from masticdale_upstreams.connections import create_connections


class ForgetfulServer:
    """Answers on a connection until told to forget all open ones."""

    def __init__(self):
        self.connections = 0
        self.forgotten = 0

    async def serve(self, reader, writer):
        self.connections += 1
        number = self.connections
        try:
            while await reader.readuntil(b"\r\n\r\n"):
                if number > self.forgotten:
                    writer.write(
                        b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n"
                    )
        except asyncio.IncompleteReadError:
            writer.close()


class ConnectionsTest(unittest.IsolatedAsyncioTestCase):
    async def test_a_silent_connection_retires_the_idle_ones_too(self):
        """The caller sees one call time out and the next one answered.

        Two connections idle in the pool; something on the way forgets both;
        the next call is taken and never answered. Without retiring the pool
        the call after it would wait on the other dead connection.
        """
        forgetful = ForgetfulServer()
        server = await asyncio.start_server(forgetful.serve, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        connections = create_connections(f"http://127.0.0.1:{port}", 5)
        await asyncio.gather(
            *(connections.send("GET", "/", 5) for _ in range(2))
        )
        forgetful.forgotten = forgetful.connections
        with self.assertRaises(TimeoutError):
            await connections.send("GET", "/", 0.1)
        response = await connections.send("GET", "/", 5)
        self.assertEqual(response.status_code, 200)
        self.assertEqual(forgetful.connections, forgetful.forgotten + 1)
        await connections.close()
        server.close()


if __name__ == "__main__":
    unittest.main()
