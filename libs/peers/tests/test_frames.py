"""Tests of the frame decoder with malformed input."""

import asyncio
import unittest

import hosts
import hypothesis
from hypothesis import strategies as st
from returns.result import Success
from thriftpy2.thrift import TMessageType

from masticdale_peers import (
    Heartbeat,
    PeerNews,
    Submission,
    SubmitReply,
)
from masticdale_peers.messages import PEER, to_wire
from masticdale_rpc import frames

HEARTBEAT = Heartbeat(
    "host-a", "d", "1", news=(PeerNews("x", "1", accusers=("b",)),)
)
LENGTH_BYTES = 4
HUGE = (0x7FFFFFFF).to_bytes(4, "big")
HEADER = b"\x80\x01\x00\x01\x00\x00\x00\x09heartbeat\x00\x00\x00\x01"
LIST_OF_UNKNOWN_TYPE = b"\x0f\x00\x63\x00" + HUGE
MALFORMED_BODIES = {
    "giant frame": HUGE,
    "giant string": b"\x0c\x00\x01\x0b\x00\x01" + HUGE,
    "negative string": b"\x0c\x00\x01\x0b\x00\x01\xff\xff\xff\xff",
    "giant list": b"\x0c\x00\x01\x0f\x00\x07\x0c" + HUGE,
    "list of unknown type": LIST_OF_UNKNOWN_TYPE,
    "string for a number": b"\x0c\x00\x01\x0b\x00\x04" + HUGE,
    "deep": b"\x0c\x00\x63" * 5000,
}


def valid_frame():
    body = PEER.service.heartbeat_args(to_wire(HEARTBEAT))
    return frames.encode("heartbeat", TMessageType.CALL, 1, body)


def add_length_prefix(message):
    return len(message).to_bytes(LENGTH_BYTES, "big") + message


def decode(message):
    body = PEER.service.heartbeat_args()
    frames.Message(message).read(body)
    return body


@st.composite
def corrupted_messages(draw):
    frame = bytearray(valid_frame())
    for _ in range(draw(st.integers(1, 4))):
        offset = draw(st.integers(LENGTH_BYTES, len(frame) - 1))
        frame[offset] = draw(st.integers(0, 255))
    return bytes(frame[LENGTH_BYTES : draw(st.integers(5, len(frame)))])


class FrameTest(unittest.TestCase):
    def test_a_valid_frame_is_decoded(self):
        body = decode(valid_frame()[LENGTH_BYTES:])
        self.assertEqual(body, PEER.service.heartbeat_args(to_wire(HEARTBEAT)))

    @hypothesis.settings(derandomize=True, deadline=None, max_examples=500)
    @hypothesis.given(st.binary(max_size=200) | corrupted_messages())
    def test_arbitrary_bytes_decode_or_raise_malformed_frame(self, message):
        try:
            decode(message)
        except frames.MalformedFrameError:
            pass

    def test_malformed_bodies_are_rejected(self):
        for name, message in MALFORMED_BODIES.items():
            with (
                self.subTest(name),
                self.assertRaises(frames.MalformedFrameError),
            ):
                decode(HEADER + message)


class MalformedInputTest(unittest.IsolatedAsyncioTestCase):
    async def test_other_connections_are_unaffected(self):
        # A connection sends bytes that would make the decoder allocate 2 GB
        # or loop two billion times. Only that connection may be closed; calls
        # on another one are still answered.
        async with (
            hosts.serving(hosts.EchoHandler()) as address,
            hosts.client_of(address) as client,
        ):
            for name, message in MALFORMED_BODIES.items():
                frame = add_length_prefix(HEADER + message)
                if name == "giant frame":
                    frame = message + HEADER
                for sent in (frame, frame[:-1]):
                    await self.send(address, sent)
                    reply = await client.submit(Submission("x", "w", 1, "a"))
                    self.assertEqual(reply, Success(SubmitReply("x")))
            self.assertEqual(client.state()["calls"]["opened"], 1)

    async def send(self, address, data):
        reader, writer = await asyncio.open_connection(
            str(address.ip), address.port
        )
        writer.write(data)
        writer.write_eof()
        try:
            await reader.read()
        except ConnectionResetError:
            pass
        writer.close()

    async def test_an_answer_too_large_to_send_fails_alone(self):
        # The peer would drop the connection over it. The caller sees the
        # call fail, as an error of the handler.
        text = "x" * frames.MAX_FRAME_BYTES
        async with (
            hosts.serving(hosts.EchoHandler()) as address,
            hosts.client_of(address) as client,
        ):
            result = await client.submit(Submission(text, "w", 1, "a"))
            self.assertIn("bytes", result.failure().detail)
            reply = await client.submit(Submission("x", "w", 1, "a"))
            self.assertEqual(reply, Success(SubmitReply("x")))


if __name__ == "__main__":
    unittest.main()
