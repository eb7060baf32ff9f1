"""Tests of the server side of HTTP/1.1."""

import asyncio
import gc
import tracemalloc
import unittest
import weakref
from unittest import mock

from masticdale_common import BudgetLimits, ConnectionBudget, Failure
from masticdale_gateway.callers import CallerConnection, ConnectionState
from masticdale_gateway.messages import Request

_HEAD = b"POST /x HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\n\r\n"
_CHUNKED = b"POST /x HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"


class ConnectionCase(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.connect()

    def connect(self):
        self.connection = self.create_connection()
        self.addCleanup(self.connection.connection_lost, None)

    def create_connection(self, budget=None):
        connection = CallerConnection(self._serve, set(), budget)
        self.transport = mock.Mock(spec=asyncio.Transport)
        self.transport.is_closing.return_value = False
        self.transport.get_write_buffer_size.return_value = 0
        connection.connection_made(self.transport)
        return connection

    async def _serve(self, connection):
        connection.request = await connection.next_request()
        await asyncio.Event().wait()


class ConnectionStateTest(ConnectionCase):
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


class MemoryTest(ConnectionCase):
    async def test_a_closed_connection_is_freed_at_once(self):
        """Guards against bodies that wait for the garbage collector."""
        gc.disable()
        self.addCleanup(gc.enable)
        connection = self.create_connection()
        connection.data_received(_HEAD + b"bo")
        await asyncio.sleep(0)
        connection.connection_lost(None)
        # Lets the task end.
        for _ in range(3):
            await asyncio.sleep(0)
        freed = weakref.ref(connection)
        del connection
        self.assertIsNone(freed())

    async def test_parts_of_a_body_take_no_more_than_their_size(self):
        """Guards against chunks that each become an object."""
        self.connection.data_received(_CHUNKED)
        tracemalloc.start()
        self.addCleanup(tracemalloc.stop)
        for _ in range(100):
            self.connection.data_received(b"2\r\nxx\r\n" * 1000)
        held_bytes, _ = tracemalloc.get_traced_memory()
        self.assertLess(held_bytes, 2 * 200_000)

    async def test_queued_requests_are_served_in_turns(self):
        """Guards against a caller whose requests hold up all others."""
        self.connection.data_received(b"GET / HTTP/1.1\r\nHost: a\r\n\r\n" * 3)
        turns = asyncio.Event()
        asyncio.get_running_loop().call_soon(turns.set)
        await self.connection.next_request()
        self.assertTrue(turns.is_set())


class BudgetTest(ConnectionCase):
    def connect_many(self, count, data):
        """Opens connections that share 1 MB, and feeds each the same bytes."""
        self.budget = ConnectionBudget(BudgetLimits(1_000_000))
        self.transports = []
        for _ in range(count):
            connection = self.create_connection(self.budget)
            self.transports.append(self.transport)
            self.addCleanup(connection.connection_lost, None)
            if data:
                connection.data_received(data)

    async def request_after(self, count, data):
        """Returns what becomes of a request beside such connections."""
        self.connect_many(count, data)
        connection = self.create_connection(self.budget)
        self.addCleanup(connection.connection_lost, None)
        connection.data_received(_HEAD + b"body")
        for _ in range(3):
            await asyncio.sleep(0)
        return connection.request

    async def test_idle_connections_give_way_one_by_one(self):
        """Guards against idle connections that fill the memory budget."""
        served = await self.request_after(120, b"")
        self.assertIsInstance(served, Request)
        closed = sum(t.close.called for t in self.transports)
        # What one over the budget, and the request, need.
        self.assertLess(closed, 30)

    async def test_short_beginnings_give_way_one_by_one(self):
        """Guards against refusing all callers for what one of them holds."""
        served = await self.request_after(120, b"POST /")
        self.assertIsInstance(served, Request)
        self.assertLess(self.budget.given_up, 30)


class EndlessRequestTest(ConnectionCase):
    async def feed(self, beginning, part):
        """Feeds 1 MiB in parts; returns why the request is refused."""
        self.connection.data_received(beginning)
        for _ in range(0, 1 << 20, len(part)):
            self.connection.data_received(part)
        async with asyncio.timeout(1):
            return await self.connection.next_request()

    async def test_bytes_after_the_head_without_end(self):
        """Guards against what the parser keeps besides the body."""
        cases = {
            "one trailer": (_CHUNKED + b"0\r\na: ", b"x" * 4096),
            "trailers": (_CHUNKED + b"0\r\n", b"ab: cd\r\n" * 512),
            "a chunk extension": (_CHUNKED + b"4;", b"x" * 4096),
            "a chunk size": (_CHUNKED, b"0" * 4096),
        }
        for name, (beginning, part) in cases.items():
            with self.subTest(name):
                self.connect()
                outcome = await self.feed(beginning, part)
                self.assertIsInstance(outcome, Failure)

    async def test_a_body_in_chunks_of_one_byte_passes(self):
        """Guards against a limit that legal requests exceed."""
        self.connection.data_received(_CHUNKED)
        for _ in range(100):
            self.connection.data_received(b"1\r\nx\r\n" * 1_000)
        self.connection.data_received(b"0\r\nnote: x\r\n\r\n")
        # Lets the task take up the request.
        await asyncio.sleep(0.01)
        self.assertEqual(self.connection.request.body, b"x" * 100_000)


if __name__ == "__main__":
    unittest.main()
