"""Tests of the calls to a peer over real sockets on loopback."""

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
    was_sent,
)

BEAT = Heartbeat("host-a", "d1", "1")


def submission(operation):
    return Submission(operation, "w", 1000, "host-a")


async def swallow(reader, writer):
    """A connection that has gone silent: open, and nothing ever comes."""
    await reader.read()
    writer.close()


class CallTest(unittest.IsolatedAsyncioTestCase):
    async def test_answers_and_reuses_the_connection(self):
        async with (
            hosts.serving(hosts.EchoHandler()) as address,
            hosts.client_of(address) as client,
        ):
            for operation in ("one", "two"):
                reply = await client.submit(submission(operation))
                self.assertEqual(reply, Success(SubmitReply(operation)))
            self.assertEqual(client.state()["calls"]["opened"], 1)

    async def test_a_raising_handler_keeps_its_connection(self):
        # The caller sees INTERNAL, not PEER_UNAVAILABLE: the host lives. The
        # next call goes over the same connection and is answered.
        async with (
            hosts.serving(hosts.EchoHandler()) as address,
            hosts.client_of(address) as client,
        ):
            failed = await client.submit(submission("raise"))
            self.assertIs(failed.failure().kind, ErrorKind.INTERNAL)
            reply = await client.submit(submission("next"))
            self.assertEqual(reply, Success(SubmitReply("next")))
            self.assertEqual(client.state()["calls"]["opened"], 1)

    async def test_refused_connect_is_known_as_not_sent(self):
        # Nobody listens: the caller may say "not run" and try elsewhere.
        async with hosts.client_of(hosts.free_address()) as client:
            failure = (await client.submit(submission("x"))).failure()
        self.assertIs(failure.kind, ErrorKind.PEER_UNAVAILABLE)
        self.assertFalse(was_sent(failure))


class LateAnswerTest(unittest.IsolatedAsyncioTestCase):
    async def test_late_answer_never_reaches_the_next_call(self):
        # The first caller times out while the peer still works. Its answer
        # comes later; on the same connection the second caller would read
        # it as its own. The connection was closed, so it cannot.
        handler = hosts.EchoHandler()
        limits = PoolLimits(connections=1)
        async with (
            hosts.serving(handler) as address,
            hosts.client_of(address, limits=limits) as client,
        ):
            handler.hold.clear()
            late = await client.submit(submission("late"), 0.05)
            self.assertTrue(was_sent(late.failure()))
            handler.hold.set()
            reply = await client.submit(submission("next"))
            self.assertEqual(reply, Success(SubmitReply("next")))

    async def test_cancelled_call_closes_its_connection(self):
        # The caller goes away in the middle of its call; whoever gets the
        # pool's place next must not read the answer left behind.
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


class SilentConnectionTest(unittest.IsolatedAsyncioTestCase):
    async def test_silent_connection_is_replaced(self):
        # The first connection goes silent while new ones work. The caller
        # sees one heartbeat time out; the next goes over a new connection.
        accepted = []

        async def accept(reader, writer):
            accepted.append(writer)
            await swallow(reader, writer)

        silent = await asyncio.start_server(accept, "127.0.0.1", 0)
        address = hosts.Address(
            ip="127.0.0.1", port=silent.sockets[0].getsockname()[1]
        )
        async with hosts.client_of(address) as client:
            for _ in range(2):
                result = await client.heartbeat(BEAT, 0.05)
                self.assertIs(result.failure().kind, ErrorKind.PEER_UNAVAILABLE)
        silent.close()
        self.assertEqual(len(accepted), 2)

    async def test_calls_leave_connections_that_something_lost(self):
        # What lies between two hosts loses track of the connections open
        # now, both ways or one way; new ones work. The next heartbeat times
        # out, is sent again over a new connection, and with it go the idle
        # connections for calls: no caller waits for its timeout.
        for ways in (("to", "from"), ("to",), ("from",)):
            async with (
                hosts.serving(hosts.EchoHandler()) as address,
                hosts.Relay(address) as relay,
                hosts.client_of(relay.address) as client,
            ):
                (await client.heartbeat(BEAT, 1.0)).unwrap()
                (await client.submit(submission("before"))).unwrap()
                relay.lose(*ways)
                lost = await client.heartbeat(BEAT, 0.1)
                self.assertTrue(was_sent(lost.failure()))
                (await client.heartbeat(BEAT, 1.0)).unwrap()
                reply = await client.submit(submission("after"), 5.0)
                self.assertEqual(reply, Success(SubmitReply("after")))

    async def test_a_call_replaces_its_lost_connection(self):
        # The same before any heartbeat notices: one call fails, known as
        # perhaps sent, and the next one is answered.
        async with (
            hosts.serving(hosts.EchoHandler()) as address,
            hosts.Relay(address) as relay,
            hosts.client_of(relay.address) as client,
        ):
            (await client.submit(submission("before"))).unwrap()
            relay.lose("from")
            lost = await client.submit(submission("lost"), 0.1)
            self.assertTrue(was_sent(lost.failure()))
            reply = await client.submit(submission("after"), 5.0)
            self.assertEqual(reply, Success(SubmitReply("after")))

    async def test_full_pool_does_not_stop_heartbeats(self):
        # Every connection of the pool waits in a long read. Were heartbeats
        # to wait behind them, a busy host would be taken for a dead one.
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
            self.assertFalse(was_sent(waiting.failure()))
            beat = await client.heartbeat(BEAT, 1.0)
            self.assertEqual(beat.unwrap().beat.host, hosts.HOST)
            for task in reads:
                task.cancel()
            await asyncio.gather(*reads, return_exceptions=True)


if __name__ == "__main__":
    unittest.main()
