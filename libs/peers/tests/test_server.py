"""Tests of the peer server: binding, plaintext, TLS and shutdown."""

import asyncio
import pathlib
import tempfile
import unittest
from unittest import mock

import hosts
import trustme
from returns.result import Success

from masticdale_common import ErrorKind, MasticdaleError
from masticdale_peers import (
    Address,
    Heartbeat,
    Submission,
    SubmitReply,
    TlsSettings,
    serve,
)
from masticdale_peers.messages import PEER, SUBMIT
from masticdale_rpc.connection import Connection

SUBMISSION = Submission("x", "w", 1000, "host-a")
GRACE_S = 5.0


class BindTest(unittest.IsolatedAsyncioTestCase):
    async def test_second_server_on_a_port_is_refused(self):
        # With SO_REUSEPORT a second daemon would start without an error and
        # receive part of the first one's connections.
        async with hosts.serving(hosts.EchoHandler()) as address:
            with self.assertRaises(MasticdaleError) as caught:
                await serve(hosts.EchoHandler(), address, None)
        failure = caught.exception.failure
        self.assertIs(failure.kind, ErrorKind.INVALID_SETTINGS)
        self.assertIn("Hint", failure.detail)

    async def test_plaintext_is_refused_beyond_loopback(self):
        with self.assertRaises(MasticdaleError) as caught:
            address = Address(ip="192.0.2.1", port=7000)
            await serve(hosts.EchoHandler(), address, None)
        self.assertIn("plaintext", caught.exception.failure.detail)

    async def test_close_drains_calls_in_flight(self):
        # In a planned shutdown the server stops listening but still sends
        # the reply to a call in flight.
        handler = hosts.EchoHandler()
        handler.hold.clear()
        address = hosts.free_address()
        server = await serve(handler, address, None)
        async with hosts.client_of(address) as client:
            call = asyncio.create_task(client.submit(SUBMISSION))
            await handler.arrived.acquire()
            closing = asyncio.create_task(server.close(5.0))
            await asyncio.sleep(0)
            handler.hold.set()
            self.assertEqual(await call, Success(SubmitReply("x")))
            await closing


class ClosingTest(unittest.IsolatedAsyncioTestCase):
    """Calls that the server has read whole when it closes."""

    async def asyncSetUp(self):
        await self.open_connection()

    async def open_connection(self):
        """Creates a server and a connection of a peer to it."""
        self.handler = hosts.EchoHandler()
        with mock.patch("asyncio.start_server") as start_server:
            start_server.return_value = mock.Mock(spec=asyncio.Server)
            self.server = await serve(self.handler, hosts.free_address(), None)
        self.transport = hosts.SlowTransport(start_server.call_args.args[0])
        await hosts.settle()

    async def test_reply_that_the_peer_takes_slowly_is_sent_to_its_end(self):
        """A call ran, but the unsent rest of its reply was discarded."""
        errors = []
        loop = asyncio.get_running_loop()
        loop.set_exception_handler(lambda _, context: errors.append(context))
        self.transport.receive(submit_frame())
        await hosts.settle()
        closing = asyncio.create_task(self.server.close(GRACE_S))
        await hosts.settle()
        self.transport.flush()
        await closing
        self.assertEqual(await read_reply(self.transport), SubmitReply("x"))
        self.assertEqual(errors, [])

    async def test_call_received_in_the_moment_of_the_close_is_answered(self):
        """A request was read, but its connection aborted before it ran."""
        for grace_s in (GRACE_S, 0.0):
            with self.subTest(grace_s=grace_s):
                await self.open_connection()
                self.transport.flush()
                closing = asyncio.create_task(self.server.close(grace_s))
                self.transport.receive(submit_frame())
                await closing
                reply = await read_reply(self.transport)
                self.assertEqual(reply, SubmitReply("x"))

    async def test_call_received_as_the_last_one_ends_is_answered(self):
        """A request was read while the server waited for another call."""
        self.transport.flush()
        other = hosts.SlowTransport(self.transport.on_connection)
        self.handler.hold.clear()
        self.transport.receive(submit_frame())
        await hosts.settle()
        closing = asyncio.create_task(self.server.close(GRACE_S))
        await hosts.settle()
        self.handler.hold.set()
        # The held call ends in the next step, the close in the one after it.
        await asyncio.sleep(0)
        other.flush()
        other.receive(submit_frame())
        await closing
        self.assertEqual(await read_reply(self.transport), SubmitReply("x"))
        self.assertEqual(await read_reply(other), SubmitReply("x"))

    async def test_connection_opened_during_the_close_is_not_served(self):
        """A call ran in a closed server, whose process then ended."""
        self.transport.abort()
        await hosts.settle()
        closing = asyncio.create_task(self.server.close(GRACE_S))
        # The close waits for no connection after its first step.
        await asyncio.sleep(0)
        late = hosts.SlowTransport(self.transport.on_connection)
        await closing
        await hosts.settle()
        late.receive(submit_frame())
        await hosts.settle()
        self.assertTrue(self.handler.arrived.locked())
        self.assertTrue(late.is_closing())

    async def test_peer_that_takes_nothing_does_not_hold_up_the_close(self):
        """A host that stands still delayed the end of another's process."""
        self.transport.receive(submit_frame())
        await hosts.settle()
        async with asyncio.timeout(GRACE_S):
            await self.server.close(0.05)
        self.assertTrue(self.transport.is_closing())


def submit_frame():
    """Returns the bytes of a call of ``submit``."""
    writer = mock.Mock(spec=asyncio.StreamWriter)
    connection = Connection(PEER, mock.Mock(), writer)
    # The request is written before the first suspension.
    exchange = connection.exchange(SUBMIT, SUBMISSION)
    writer.drain.side_effect = asyncio.CancelledError
    try:
        exchange.send(None)
    except asyncio.CancelledError:
        pass
    return writer.write.call_args.args[0]


async def read_reply(transport):
    """Returns the reply that a peer has received; None without any byte."""
    if not transport.sent:
        return None
    reader = asyncio.StreamReader()
    reader.feed_data(bytes(transport.sent))
    reader.feed_eof()
    writer = mock.Mock(spec=asyncio.StreamWriter)
    return await Connection(PEER, reader, writer).exchange(SUBMIT, SUBMISSION)


class TlsTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        directory = tempfile.TemporaryDirectory()
        self.addCleanup(directory.cleanup)
        self.folder = pathlib.Path(directory.name)
        self.authority = trustme.CA()

    def certificate(self, name, authority=None):
        issued = (authority or self.authority).issue_cert(name)
        certificate = self.folder / f"{name}.pem"
        key = self.folder / f"{name}.key"
        authorities = self.folder / "ca.pem"
        issued.private_key_pem.write_to_path(key)
        issued.cert_chain_pems[0].write_to_path(certificate)
        self.authority.cert_pem.write_to_path(authorities)
        return TlsSettings(
            certificate=certificate, key=key, authorities=authorities
        )

    async def call(self, server_tls, client_tls):
        heartbeat = Heartbeat("host-a", "d1", "1")
        async with (
            hosts.serving(hosts.EchoHandler(), server_tls) as address,
            hosts.client_of(address, client_tls) as client,
        ):
            return await client.heartbeat(heartbeat, 2.0)

    async def test_valid_certificates_are_accepted(self):
        result = await self.call(
            self.certificate(hosts.HOST), self.certificate("host-a")
        )
        self.assertEqual(result.unwrap().beat.host, hosts.HOST)

    async def test_client_of_another_authority_is_refused(self):
        untrusted = self.certificate("host-a", trustme.CA())
        result = await self.call(self.certificate(hosts.HOST), untrusted)
        self.assertIs(result.failure().kind, ErrorKind.PEER_UNAVAILABLE)

    async def test_plaintext_client_is_refused(self):
        result = await self.call(self.certificate(hosts.HOST), None)
        self.assertIs(result.failure().kind, ErrorKind.PEER_UNAVAILABLE)

    async def test_server_with_another_hosts_certificate_is_refused(self):
        # The address now belongs to another host: the right authority signed
        # its certificate, but not for the peer's name.
        result = await self.call(
            self.certificate("host-c"), self.certificate("host-a")
        )
        self.assertIs(result.failure().kind, ErrorKind.PEER_UNAVAILABLE)

    async def test_missing_files_are_invalid_settings(self):
        tls = TlsSettings(certificate="no", key="no", authorities="no")
        with self.assertRaises(MasticdaleError):
            await serve(hosts.EchoHandler(), hosts.free_address(), tls)


if __name__ == "__main__":
    unittest.main()
