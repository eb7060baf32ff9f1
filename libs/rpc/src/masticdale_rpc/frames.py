"""Framed thrift messages, validated before they are decoded.

thriftpy2 trusts the lengths in a message. It allocates a string declared as
2 GB long and loops over a list declared with two billion elements, so a single
malformed message would block the whole process.
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

# The compiled decoder trusts lengths and reads beyond its buffer; the pure
# Python one stops at the end of the buffer. The compiled encoder is safe.
# Typed as Any because thriftpy2 has a py.typed marker but no types for these.
_READER: Any = TBinaryProtocol
_WRITER: Any = TCyBinaryProtocol
_BUFFER: Any = TCyMemoryBuffer


class MalformedFrameError(Exception):
    """The bytes are not a valid message, or exceed the size limit."""


async def read_frame(reader: asyncio.StreamReader) -> bytes:
    """Reads the next frame and returns it without its length prefix.

    Raises:
        MalformedFrameError: The declared length exceeds ``MAX_FRAME_BYTES``.
        asyncio.IncompleteReadError: The connection was closed.
    """
    length = int.from_bytes(await reader.readexactly(_LENGTH_BYTES), "big")
    if length > MAX_FRAME_BYTES:
        raise MalformedFrameError(
            f"frame of {length} bytes exceeds the limit of {MAX_FRAME_BYTES}"
        )
    return await reader.readexactly(length)


def encode(name: str, kind: int, sequence: int, body: Any) -> bytes:
    """Encodes a message as a frame with its length prefix.

    Args:
        name: Name of the RPC.
        kind: A ``TMessageType``.
        sequence: Number of the call on its connection.
        body: Thrift struct with the arguments, the result or the error.

    Raises:
        MalformedFrameError: The message exceeds ``MAX_FRAME_BYTES``.
    """
    buffer = _BUFFER()
    protocol = _WRITER(buffer)
    protocol.write_message_begin(name, kind, sequence)
    protocol.write_struct(body)
    protocol.write_message_end()
    message: bytes = buffer.getvalue()
    if len(message) > MAX_FRAME_BYTES:
        raise MalformedFrameError(
            f"message of {len(message)} bytes exceeds the limit of"
            f" {MAX_FRAME_BYTES}"
        )
    return len(message).to_bytes(_LENGTH_BYTES, "big") + message


class Message:
    """A received frame with its header decoded.

    Attributes:
        name: Name of the RPC.
        kind: A ``TMessageType``.
        sequence: Number of the call on its connection.
    """

    def __init__(self, frame: bytes) -> None:
        """Decodes the header.

        Raises:
            MalformedFrameError: The frame has no valid message header.
        """
        self._validator = _FrameValidator(frame)
        version = self._validator.read_int(4) & 0xFFFFFFFF
        if version & _VERSION_MASK != _VERSION_1:
            raise MalformedFrameError("unsupported thrift protocol version")
        self.kind = version & 0xFF
        if self.kind not in (*_CALL_KINDS, *_REPLY_KINDS):
            raise MalformedFrameError(f"unknown message type {self.kind}")
        self.name = self._validator.read_string()
        self.sequence = self._validator.read_int(4)
        self._frame = frame

    def read(self, body: Any) -> None:
        """Decodes the rest of the frame into a struct.

        Raises:
            MalformedFrameError: The rest is not a valid encoding of it.
        """
        start = self._validator.offset
        self._validator.check_struct(body.thrift_spec, MAX_DEPTH)
        if self._validator.offset != len(self._frame):
            raise MalformedFrameError("trailing bytes after the message")
        protocol = _READER(io.BytesIO(self._frame[start:]), strict_decode=True)
        try:
            protocol.read_struct(body)
        except (struct.error, UnicodeDecodeError, RecursionError) as error:
            raise MalformedFrameError(repr(error)) from error


_CALL_KINDS = (TMessageType.CALL, TMessageType.ONEWAY)
_REPLY_KINDS = (TMessageType.REPLY, TMessageType.EXCEPTION)


class _FrameValidator:
    """Rejects frames that the decoder cannot process safely.

    Every declared length must lie within the frame, and every element takes
    at least one byte, so the frame size bounds memory and time. A known field
    must have its declared type: the decoder does not check types, and would
    read a string as a number and misparse everything after it.

    Attributes:
        offset: Number of bytes read so far.
    """

    def __init__(self, frame: bytes) -> None:
        self.offset = 0
        self._frame = frame

    def read_int(self, size: int) -> int:
        """Reads a signed big-endian integer of ``size`` bytes."""
        start = self.offset
        self._skip(size)
        return int.from_bytes(
            self._frame[start : self.offset], "big", signed=True
        )

    def read_string(self) -> str:
        """Reads a UTF-8 string with its length prefix."""
        length = self.read_int(4)
        start = self.offset
        self._skip(length)
        try:
            return self._frame[start : self.offset].decode()
        except UnicodeDecodeError as error:
            raise MalformedFrameError(repr(error)) from error

    def check_struct(self, spec_by_id: dict[int, Any], depth: int) -> None:
        """Validates a struct and moves past it.

        Args:
            spec_by_id: Thrift specification of the known fields by field id.
            depth: Number of nesting levels still allowed.
        """
        if not depth:
            raise MalformedFrameError("message nested too deeply")
        while (kind := self.read_int(1)) != TType.STOP:
            spec = spec_by_id.get(self.read_int(2))
            if spec is None:
                self._check_value(kind, None, depth - 1)
                continue
            _require_type(kind, spec[0])
            type_spec = spec[2] if len(spec) > 3 else None
            self._check_value(kind, type_spec, depth - 1)

    def _check_value(self, kind: int, type_spec: Any, depth: int) -> None:
        size = _SIZE_BY_TYPE.get(kind)
        if size is not None:
            self._skip(size)
        elif kind in _BINARY_TYPES:
            self._skip(self.read_int(4))
        elif kind in _LIST_TYPES:
            self._check_list(type_spec, depth)
        elif kind == TType.STRUCT:
            self.check_struct(type_spec.thrift_spec if type_spec else {}, depth)
        else:
            raise MalformedFrameError(f"unsupported value type {kind}")

    def _check_list(self, type_spec: Any, depth: int) -> None:
        if not depth:
            raise MalformedFrameError("message nested too deeply")
        kind = self.read_int(1)
        count = self.read_int(4)
        if not 0 <= count <= len(self._frame) - self.offset:
            raise MalformedFrameError(
                f"list of {count} elements does not fit the frame"
            )
        element_spec = None
        if type_spec is not None:
            expected, element_spec = (
                type_spec if isinstance(type_spec, tuple) else (type_spec, None)
            )
            _require_type(kind, expected)
        for _ in range(count):
            self._check_value(kind, element_spec, depth - 1)

    def _skip(self, size: int) -> None:
        if not 0 <= size <= len(self._frame) - self.offset:
            raise MalformedFrameError(
                f"value of {size} bytes does not fit the frame"
            )
        self.offset += size


def _require_type(kind: int, expected: int) -> None:
    is_binary = kind in _BINARY_TYPES and expected in _BINARY_TYPES
    if kind != expected and not is_binary:
        raise MalformedFrameError(f"value has type {kind}, expected {expected}")
