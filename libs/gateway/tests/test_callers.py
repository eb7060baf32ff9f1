"""Tests of the server side of HTTP/1.1."""

import asyncio
import unittest
from unittest import mock

from masticdale_gateway.callers import CallerConnection, ConnectionState

_HEAD = b"POST /x HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\n\r\n"


class ConnectionStateTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.connection = CallerConnection(self._serve, set())
        self.transport = mock.Mock(spec=asyncio.Transport)
        self.transport.is_closing.return_value = False
        self.transport.get_write_buffer_size.return_value = 0
        self.connection.connection_made(self.transport)
        self.addCleanup(self.connection.connection_lost, None)

    async def _serve(self, connection):
        connection.request = await connection.next_request()
        await asyncio.Event().wait()

    async def test_states_follow_the_request(self):
        """Guards against a request that a planned stop takes for none."""
        states = [self.connection.state]
        for data in (_HEAD, b"body"):
            self.connection.data_received(data)
            states.append(self.connection.state)
        # Lets the task take up the request.
        await asyncio.sleep(0)
        await asyncio.sleep(0)
        states.append(self.connection.state)
        self.connection.request = None
        self.transport.get_write_buffer_size.return_value = 1
        states.append(self.connection.state)
        self.assertEqual(
            states,
            [
                ConnectionState.IDLE,
                ConnectionState.READING,
                ConnectionState.QUEUED,
                ConnectionState.SERVING,
                ConnectionState.FLUSHING,
            ],
        )

    async def test_headers_are_those_of_the_current_request(self):
        """Guards against a log line that names another request or none."""
        self.connection.data_received(_HEAD)
        self.assertEqual(self.connection.headers.get(b"host"), b"a")
        self.connection.data_received(b"body")
        self.assertEqual(self.connection.headers.get(b"host"), b"a")


if __name__ == "__main__":
    unittest.main()
