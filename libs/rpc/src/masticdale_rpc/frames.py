"""Frames of one thrift message each, checked before they are decoded.

thriftpy2 trusts what a message declares: a string said to be 2 GB long is
allocated, and a list of two billion elements of no known type is counted
through without a pause, so that one message stops the whole process.
"""

import asyncio
import io
import struct
from typing import Any

from thriftpy2.protocol import TCyBinaryProtocol
from thriftpy2.protocol.binary import TBinaryProtocol
from thriftpy2.thrift import TMessageType, TType
from thriftpy2.transport import TCyMemoryBuffer

MAX_FRAME_BYTES = 16 << 20
MAX_DEPTH = 16

_LENGTH_BYTES = 4
_VERSION_1 = 0x80010000
_VERSION_MASK = 0xFFFF0000
_BINARY_TYPES = (TType.STRING, TType.BINARY)
_LIST_TYPES = (TType.LIST, TType.SET)
_SIZE_BY_TYPE = {
    TType.BOOL: 1,
    TType.BYTE: 1,
    TType.I16: 2,
    TType.I32: 4,
    TType.I64: 8,
    TType.DOUBLE: 8,
}

# The compiled reader takes lengths on trust and reads beyond its buffer; the
# one in Python stops at the buffer's end. Writing has no such danger.
# thriftpy2 marks itself as typed without typing these.
_READER: Any = TBinaryProtocol
_WRITER: Any = TCyBinaryProtocol
_BUFFER: Any = TCyMemoryBuffer


class MalformedFrameError(Exception):
    """The bytes are no message of this service."""


async def read_frame(reader: asyncio.StreamReader) -> bytes:
    """Returns the next frame.

    Raises:
        MalformedFrameError: It is said to be larger than any message.
        asyncio.IncompleteReadError: The connection ended.
    """
    length = int.from_bytes(await reader.readexactly(_LENGTH_BYTES), "big")
    if length > MAX_FRAME_BYTES:
        raise MalformedFrameError(f"a frame of {length} bytes")
    return await reader.readexactly(length)


def encode(name: str, kind: int, sequence: int, body: Any) -> bytes:
    """Returns a message as a frame.

    Raises:
        MalformedFrameError: The peer would refuse it as too large.
    """
    buffer = _BUFFER()
    protocol = _WRITER(buffer)
    protocol.write_message_begin(name, kind, sequence)
    protocol.write_struct(body)
    protocol.write_message_end()
    message: bytes = buffer.getvalue()
    if len(message) > MAX_FRAME_BYTES:
        raise MalformedFrameError(f"a frame of {len(message)} bytes")
    return len(message).to_bytes(_LENGTH_BYTES, "big") + message


class Message:
    """A frame whose header has been read.

    Attributes:
        name: Name of the call.
        kind: A ``TMessageType``.
        sequence: Number of the call on its connection.
    """

    def __init__(self, frame: bytes) -> None:
        """Reads the header.

        Raises:
            MalformedFrameError: It is no header of a message.
        """
        self._check = _Check(frame)
        version = self._check.number(4) & 0xFFFFFFFF
        if version & _VERSION_MASK != _VERSION_1:
            raise MalformedFrameError("no thrift message")
        self.kind = version & 0xFF
        if self.kind not in (*_CALL_KINDS, *_ANSWER_KINDS):
            raise MalformedFrameError(f"message kind {self.kind}")
        self.name = self._check.text()
        self.sequence = self._check.number(4)
        self._frame = frame

    def read(self, body: Any) -> None:
        """Fills a struct from the rest of the frame.

        Raises:
            MalformedFrameError: The rest is no such struct.
        """
        start = self._check.place
        self._check.struct(body.thrift_spec, MAX_DEPTH)
        if self._check.place != len(self._frame):
            raise MalformedFrameError("bytes behind the message")
        protocol = _READER(io.BytesIO(self._frame[start:]), strict_decode=True)
        try:
            protocol.read_struct(body)
        except (struct.error, UnicodeDecodeError, RecursionError) as error:
            raise MalformedFrameError(repr(error)) from error


_CALL_KINDS = (TMessageType.CALL, TMessageType.ONEWAY)
_ANSWER_KINDS = (TMessageType.REPLY, TMessageType.EXCEPTION)


class _Check:
    """Walks over a frame and refuses what the decoder would not survive.

    Each declared length has to lie within the frame, and each element takes
    at least one byte of it, so neither memory nor time can exceed what the
    frame's own size allows. A known field has to be of its type: the decoder
    reads a string in place of a number as a number, and is lost from there.

    Attributes:
        place: How far the frame has been read.
    """

    def __init__(self, frame: bytes) -> None:
        self.place = 0
        self._frame = frame

    def number(self, size: int) -> int:
        """Reads a signed number."""
        start = self.place
        self._pass(size)
        return int.from_bytes(
            self._frame[start : self.place], "big", signed=True
        )

    def text(self) -> str:
        """Reads a string."""
        length = self.number(4)
        start = self.place
        self._pass(length)
        try:
            return self._frame[start : self.place].decode()
        except UnicodeDecodeError as error:
            raise MalformedFrameError(repr(error)) from error

    def struct(self, spec_by_id: dict[int, Any], depth: int) -> None:
        """Walks over a struct; an empty specification knows no field."""
        if not depth:
            raise MalformedFrameError("nested too deep")
        while (kind := self.number(1)) != TType.STOP:
            spec = spec_by_id.get(self.number(2))
            if spec is None:
                self._value(kind, None, depth - 1)
                continue
            _require_type(kind, spec[0])
            detail = spec[2] if len(spec) > 3 else None
            self._value(kind, detail, depth - 1)

    def _value(self, kind: int, detail: Any, depth: int) -> None:
        size = _SIZE_BY_TYPE.get(kind)
        if size is not None:
            self._pass(size)
        elif kind in _BINARY_TYPES:
            self._pass(self.number(4))
        elif kind in _LIST_TYPES:
            self._list(detail, depth)
        elif kind == TType.STRUCT:
            self.struct(detail.thrift_spec if detail else {}, depth)
        else:
            raise MalformedFrameError(f"value of type {kind}")

    def _list(self, detail: Any, depth: int) -> None:
        if not depth:
            raise MalformedFrameError("nested too deep")
        kind = self.number(1)
        count = self.number(4)
        if not 0 <= count <= len(self._frame) - self.place:
            raise MalformedFrameError(f"a list of {count}")
        element = None
        if detail is not None:
            wanted, element = (
                detail if isinstance(detail, tuple) else (detail, None)
            )
            _require_type(kind, wanted)
        for _ in range(count):
            self._value(kind, element, depth - 1)

    def _pass(self, size: int) -> None:
        if not 0 <= size <= len(self._frame) - self.place:
            raise MalformedFrameError(f"a value of {size} bytes")
        self.place += size


def _require_type(kind: int, wanted: int) -> None:
    is_binary = kind in _BINARY_TYPES and wanted in _BINARY_TYPES
    if kind != wanted and not is_binary:
        raise MalformedFrameError(f"type {kind} in place of {wanted}")
