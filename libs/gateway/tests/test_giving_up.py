"""Tests of the final responses of a relay that gives up its requests."""

import unittest

from test_closing_connections import (
    REQUEST,
    Transport,
    close,
    create_relay,
    run_steps,
)


class SlowTransport(Transport):
    """A transport whose peer reads slowly."""

    def __init__(self, protocol):
        super().__init__(protocol)
        self.pending_bytes = 0

    def get_write_buffer_size(self):
        return self.pending_bytes


class ConnectionCase(unittest.IsolatedAsyncioTestCase):
    """A relay with an open connection of a caller."""

    async def asyncSetUp(self):
        self.relay = create_relay()
        self.connection = self.relay.create_connection()
        self.transport = SlowTransport(self.connection)
        self.connection.connection_made(self.transport)
        self.addAsyncCleanup(close, self.transport)


class GivingUpTest(ConnectionCase):
    async def asyncSetUp(self):
        await super().asyncSetUp()
        await run_steps()

    async def test_a_request_read_in_part_is_refused(self):
        """Guards against silence for a request that was not executed."""
        self.connection.data_received(REQUEST[:-2])
        await run_steps()
        self.relay.give_up()
        await run_steps()
        self.assertIn(b"HTTP/1.1 503", self.transport.written)

    async def test_a_request_read_in_part_behind_a_response_is_refused(self):
        """Guards against skipping a caller that still reads a response."""
        self.connection.data_received(REQUEST)
        await run_steps()
        self.transport.pending_bytes = 1
        self.connection.data_received(REQUEST[:-2])
        await run_steps()
        self.relay.give_up()
        self.transport.pending_bytes = 0
        await run_steps()
        self.assertIn(b"HTTP/1.1 503", self.transport.written)

    async def test_a_request_told_to_continue_is_refused(self):
        """Guards against skipping a caller that was asked for its body."""
        head = REQUEST[:-4].replace(
            b"Content-Length", b"Expect: 100-continue\r\nContent-Length"
        )
        self.connection.data_received(head)
        self.transport.pending_bytes = 1
        await run_steps()
        self.relay.give_up()
        self.transport.pending_bytes = 0
        await run_steps()
        self.assertIn(b"HTTP/1.1 503", self.transport.written)

    async def test_a_request_read_whole_after_giving_up_is_answered(self):
        """Guards against serving a request that nobody waits for."""
        self.relay.is_stopping = True
        self.relay.give_up()
        self.connection.data_received(REQUEST)
        await run_steps()
        self.assertEqual(self.transport.written.count(b"HTTP/1.1 "), 1)
        self.assertTrue(self.transport.is_closing())

    async def test_a_request_read_in_part_after_giving_up_is_refused(self):
        """Guards against silence for a request that begins too late."""
        self.relay.is_stopping = True
        self.relay.give_up()
        self.connection.data_received(REQUEST[:-2])
        await run_steps()
        self.relay.close_idle()
        await run_steps()
        self.assertIn(b"HTTP/1.1 503", self.transport.written)


class IdleTest(ConnectionCase):
    """A relay is not idle while it owes a response, in any state."""

    async def test_a_request_read_before_the_first_step_of_its_task(self):
        """Guards against a stop that does not see a new connection."""
        relay = create_relay()
        connection = relay.create_connection()
        transport = SlowTransport(connection)
        connection.connection_made(transport)
        self.addAsyncCleanup(close, transport)
        connection.data_received(REQUEST)
        self.assertFalse(relay.is_idle)

    async def test_a_request_read_in_part(self):
        """Guards against a stop that ends between two parts of a request."""
        await run_steps()
        self.connection.data_received(REQUEST[:-2])
        await run_steps()
        self.assertFalse(self.relay.is_idle)

    async def test_a_response_that_is_not_sent_whole(self):
        """Guards against a stop that ends before a slow reader has read."""
        await run_steps()
        self.connection.data_received(REQUEST)
        await run_steps()
        self.assertTrue(self.relay.is_idle)
        self.transport.pending_bytes = 1
        self.assertFalse(self.relay.is_idle)


if __name__ == "__main__":
    unittest.main()
