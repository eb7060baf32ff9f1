"""Tests of closing callers' connections, with forced orders of events."""

import asyncio
import time
import types
import unittest

from masticdale_common import Metrics
from masticdale_gateway.callers import CallerConnection, ReadLimits
from masticdale_gateway.codec import RequestMetadata
from masticdale_gateway.relay import Relay, RelayDependencies
from masticdale_routing.fleet import Fleet

IDLE_TIMEOUT_S = 0.05
REQUEST = (
    b"POST /x HTTP/1.1\r\nHost: a.example\r\nContent-Length: 4\r\n\r\nbody"
)


class Transport(asyncio.Transport):
    """An open transport that keeps what is written to it."""

    def __init__(self, protocol):
        super().__init__()
        self.written = b""
        self._protocol = protocol
        self._is_closing = False

    def write(self, data):
        self.written += data

    def is_closing(self):
        return self._is_closing

    def close(self):
        if not self._is_closing:
            self._is_closing = True
            loop = asyncio.get_running_loop()
            loop.call_soon(self._protocol.connection_lost, None)

    abort = close

    def pause_reading(self):
        pass

    def resume_reading(self):
        pass

    def get_write_buffer_size(self):
        return 0

    def set_write_buffer_limits(self, high=None, low=None):
        pass


class Codec:
    def parse_request(self, headers):
        return RequestMetadata(request_id="r")

    def error_headers(self, request_id, retry_after_s):
        return []


def create_relay(idle_timeout_s=60.0):
    """Creates a relay without routes; it answers every request with 404."""
    configuration = types.SimpleNamespace(
        version=1,
        table=types.SimpleNamespace(find=lambda host, path: None),
        limits=types.SimpleNamespace(
            header_bytes=16_384,
            body_bytes=1 << 20,
            request_timeout_s=10.0,
            idle_timeout_s=idle_timeout_s,
        ),
    )
    return Relay(
        RelayDependencies(
            configuration=lambda: configuration,
            fleet=Fleet("a"),
            ledger=None,
            codec=Codec(),
            metrics=Metrics(),
        )
    )


def pause_process(seconds):
    """Blocks the event loop, as a lack of processor time does."""
    time.sleep(seconds)


async def run_steps(count=10):
    """Lets everything run that waits for no time and no peer."""
    for _ in range(count):
        await asyncio.sleep(0)


async def close(transport):
    transport.close()
    await run_steps()


class ClosingTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.relay = create_relay()
        self.connection = self.relay.create_connection()
        self.transport = Transport(self.connection)
        self.connection.connection_made(self.transport)
        self.addAsyncCleanup(close, self.transport)
        await run_steps()

    async def test_an_idle_connection_is_closed(self):
        self.relay.close_idle()
        self.assertTrue(self.transport.is_closing())

    async def test_a_request_read_but_not_yet_served_is_answered(self):
        """Guards against closing a connection whose task was not resumed."""
        self.connection.data_received(REQUEST)
        self.relay.close_idle()
        await run_steps()
        self.assertIn(b"HTTP/1.1 404", self.transport.written)

    async def test_a_request_whose_body_arrives_is_answered(self):
        """Guards against closing a connection in the middle of a request.

        The rest may be in the kernel already, and the caller has sent all.
        """
        self.connection.data_received(REQUEST[:-2])
        await run_steps()
        self.relay.close_idle()
        if not self.transport.is_closing():
            self.connection.data_received(REQUEST[-2:])
        await run_steps()
        self.assertIn(b"HTTP/1.1 404", self.transport.written)

    async def test_a_request_that_was_told_to_continue_is_answered(self):
        """Guards against asking for a body and then closing."""
        head = REQUEST[:-4].replace(
            b"Content-Length", b"Expect: 100-continue\r\nContent-Length"
        )
        self.connection.data_received(head)
        await run_steps()
        self.assertIn(b"100 Continue", self.transport.written)
        self.relay.close_idle()
        if not self.transport.is_closing():
            self.connection.data_received(REQUEST[-4:])
        await run_steps()
        self.assertIn(b"HTTP/1.1 404", self.transport.written)


class IdleTimeoutTest(unittest.IsolatedAsyncioTestCase):
    async def test_a_request_that_meets_the_idle_timeout_is_answered(self):
        """Guards against dropping a whole request as the idle time ends.

        After a pause of the process, both are due in the same step.
        """
        relay = create_relay(IDLE_TIMEOUT_S)
        connection = relay.create_connection()
        transport = Transport(connection)
        connection.connection_made(transport)
        self.addAsyncCleanup(close, transport)
        await run_steps()
        pause_process(2 * IDLE_TIMEOUT_S)
        asyncio.get_running_loop().call_soon(connection.data_received, REQUEST)
        await run_steps()
        self.assertIn(b"HTTP/1.1 404", transport.written)

    async def test_a_request_just_before_the_idle_timeout_is_returned(self):
        connection = CallerConnection(lambda _: asyncio.sleep(60.0), set())
        connection.limits = ReadLimits(idle_timeout_s=IDLE_TIMEOUT_S)
        transport = Transport(connection)
        connection.connection_made(transport)
        self.addAsyncCleanup(close, transport)
        arrived = asyncio.create_task(connection.next_request())
        await run_steps()
        connection.data_received(REQUEST)
        pause_process(2 * IDLE_TIMEOUT_S)
        request = await arrived
        self.assertEqual(request.body, b"body")


if __name__ == "__main__":
    unittest.main()
