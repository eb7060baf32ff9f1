"""Tests of the peer client over loopback sockets."""

import asyncio
import unittest

import hosts
from returns.result import Success

from masticdale_common import ErrorKind
from masticdale_peers import (
    Heartbeat,
    PoolLimits,
    ReadRequest,
    Submission,
    SubmitReply,
    may_have_been_sent,
)

HEARTBEAT = Heartbeat("host-a", "d1", "1")


def submission(operation):
    return Submission(operation, "w", 1000, "host-a")


async def never_reply(reader, writer):
    """Keeps a connection open without ever replying."""
    await reader.read()
    writer.close()


class CallTest(unittest.IsolatedAsyncioTestCase):
    async def test_consecutive_calls_reuse_the_connection(self):
        async with (
            hosts.serving(hosts.EchoHandler()) as address,
            hosts.client_of(address) as client,
        ):
            for operation in ("one", "two"):
                reply = await client.submit(submission(operation))
                self.assertEqual(reply, Success(SubmitReply(operation)))
            self.assertEqual(client.state()["calls"]["opened"], 1)

    async def test_a_handler_error_keeps_the_connection_open(self):
        # The caller gets INTERNAL, not PEER_UNAVAILABLE, because the host is
        # live. The connection is reused for the next call.
        async with (
            hosts.serving(hosts.EchoHandler()) as address,
            hosts.client_of(address) as client,
        ):
            failed = await client.submit(submission("raise"))
            self.assertIs(failed.failure().kind, ErrorKind.INTERNAL)
            reply = await client.submit(submission("next"))
            self.assertEqual(reply, Success(SubmitReply("next")))
            self.assertEqual(client.state()["calls"]["opened"], 1)

    async def test_a_refused_connection_counts_as_not_sent(self):
        # The caller may report the request as not run, or retry elsewhere.
        async with hosts.client_of(hosts.free_address()) as client:
            failure = (await client.submit(submission("x"))).failure()
        self.assertIs(failure.kind, ErrorKind.PEER_UNAVAILABLE)
        self.assertFalse(may_have_been_sent(failure))


class LateReplyTest(unittest.IsolatedAsyncioTestCase):
    async def test_a_late_reply_never_reaches_the_next_call(self):
        # The first call times out before its reply arrives. If the connection
        # were reused, the second caller would read that reply as its own.
        handler = hosts.EchoHandler()
        limits = PoolLimits(connections=1)
        async with (
            hosts.serving(handler) as address,
            hosts.client_of(address, limits=limits) as client,
        ):
            handler.hold.clear()
            late = await client.submit(submission("late"), 0.05)
            self.assertTrue(may_have_been_sent(late.failure()))
            handler.hold.set()
            reply = await client.submit(submission("next"))
            self.assertEqual(reply, Success(SubmitReply("next")))

    async def test_cancelled_call_closes_its_connection(self):
        # The next call must not read the reply to a cancelled call.
        handler = hosts.EchoHandler()
        limits = PoolLimits(connections=1)
        async with (
            hosts.serving(handler) as address,
            hosts.client_of(address, limits=limits) as client,
        ):
            handler.hold.clear()
            call = asyncio.create_task(client.submit(submission("gone")))
            await handler.arrived.acquire()
            call.cancel()
            await asyncio.gather(call, return_exceptions=True)
            handler.hold.set()
            reply = await client.submit(submission("next"))
            self.assertEqual(reply, Success(SubmitReply("next")))
            self.assertEqual(client.state()["calls"]["opened"], 2)


class UnresponsiveConnectionTest(unittest.IsolatedAsyncioTestCase):
    async def test_an_unresponsive_connection_is_replaced(self):
        # The server never replies. The heartbeat that times out closes its
        # connection, and the next one opens a new one.
        accepted = []

        async def accept(reader, writer):
            accepted.append(writer)
            await never_reply(reader, writer)

        server = await asyncio.start_server(accept, "127.0.0.1", 0)
        address = hosts.Address(
            ip="127.0.0.1", port=server.sockets[0].getsockname()[1]
        )
        async with hosts.client_of(address) as client:
            for _ in range(2):
                result = await client.heartbeat(HEARTBEAT, 0.05)
                self.assertIs(result.failure().kind, ErrorKind.PEER_UNAVAILABLE)
        server.close()
        self.assertEqual(len(accepted), 2)

    async def test_a_heartbeat_timeout_closes_idle_connections(self):
        # A firewall drops the state of all open connections, in one or both
        # directions; new connections work. The heartbeat that times out must
        # also close the idle connections, so that no call waits for its
        # timeout.
        for directions in (("to", "from"), ("to",), ("from",)):
            async with (
                hosts.serving(hosts.EchoHandler()) as address,
                hosts.TcpProxy(address) as relay,
                hosts.client_of(relay.address) as client,
            ):
                (await client.heartbeat(HEARTBEAT, 1.0)).unwrap()
                (await client.submit(submission("before"))).unwrap()
                relay.drop_traffic(*directions)
                lost = await client.heartbeat(HEARTBEAT, 0.1)
                self.assertTrue(may_have_been_sent(lost.failure()))
                (await client.heartbeat(HEARTBEAT, 1.0)).unwrap()
                reply = await client.submit(submission("after"), 5.0)
                self.assertEqual(reply, Success(SubmitReply("after")))

    async def test_a_call_timeout_replaces_its_connection(self):
        # The same fault before a heartbeat detects it: one call times out
        # and counts as possibly sent, and the next one is answered.
        async with (
            hosts.serving(hosts.EchoHandler()) as address,
            hosts.TcpProxy(address) as relay,
            hosts.client_of(relay.address) as client,
        ):
            (await client.submit(submission("before"))).unwrap()
            relay.drop_traffic("from")
            lost = await client.submit(submission("lost"), 0.1)
            self.assertTrue(may_have_been_sent(lost.failure()))
            reply = await client.submit(submission("after"), 5.0)
            self.assertEqual(reply, Success(SubmitReply("after")))

    async def test_an_exhausted_pool_does_not_block_heartbeats(self):
        # Long reads occupy all connections of the pool. Heartbeats must not
        # wait for them, or a busy host would be considered dead.
        handler = hosts.EchoHandler()
        limits = PoolLimits(connections=2)
        async with (
            hosts.serving(handler) as address,
            hosts.client_of(address, limits=limits) as client,
        ):
            read = ReadRequest("p", "r", 0, wait_ms=60_000)
            reads = [asyncio.create_task(client.read(read)) for _ in range(3)]
            for _ in range(limits.connections):
                await handler.arrived.acquire()
            waiting = await client.submit(submission("x"), 0.05)
            self.assertFalse(may_have_been_sent(waiting.failure()))
            reply = await client.heartbeat(HEARTBEAT, 1.0)
            self.assertEqual(reply.unwrap().beat.host, hosts.HOST)
            for task in reads:
                task.cancel()
            await asyncio.gather(*reads, return_exceptions=True)


if __name__ == "__main__":
    unittest.main()
