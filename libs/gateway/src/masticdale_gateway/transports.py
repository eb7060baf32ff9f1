"""Transport with write backpressure, for server and client connections."""

import asyncio
from typing import Any

# Shared by all connections, since each read is parsed before the next one.
_read_buffer = memoryview(bytearray(65_536))


class ConnectionLostError(Exception):
    """The peer closed or reset the connection."""


class TransportProtocol(asyncio.BufferedProtocol):
    """Protocol that holds its transport and applies write backpressure.

    Subclasses parse what was read in ``data_received``.

    Attributes:
        lost: Set once the connection is closed.
        read_bytes: What is read at once. Parsing it holds up all other
            connections.
    """

    read_bytes = len(_read_buffer)

    def __init__(self) -> None:
        self.lost = asyncio.Event()
        self._transport: asyncio.Transport | None = None
        self._writable = asyncio.Event()
        self._writable.set()

    def connection_made(self, transport: Any) -> None:
        """See ``asyncio.BaseProtocol``."""
        self._transport = transport

    def get_buffer(self, sizehint: int) -> memoryview:
        """See ``asyncio.BufferedProtocol``."""
        del sizehint
        return _read_buffer[: self.read_bytes]

    def buffer_updated(self, nbytes: int) -> None:
        """See ``asyncio.BufferedProtocol``."""
        self.data_received(bytes(_read_buffer[:nbytes]))

    def data_received(self, data: bytes) -> None:
        """Parses what was read."""
        raise NotImplementedError

    def connection_lost(self, exc: Exception | None) -> None:
        """See ``asyncio.BaseProtocol``."""
        self.lost.set()
        self._writable.set()

    def pause_writing(self) -> None:
        """See ``asyncio.BaseProtocol``."""
        self._writable.clear()

    def resume_writing(self) -> None:
        """See ``asyncio.BaseProtocol``."""
        self._writable.set()

    @property
    def transport(self) -> asyncio.Transport:
        """The open transport."""
        if self._transport is None:
            raise ConnectionLostError
        return self._transport

    @property
    def is_writable(self) -> bool:
        """Whether the peer takes what is written."""
        return self._writable.is_set()

    @property
    def has_pending_writes(self) -> bool:
        """Whether the write buffer is not empty."""
        return self.transport.get_write_buffer_size() > 0

    def write(self, data: bytes) -> None:
        """Appends bytes to the write buffer.

        Raises:
            ConnectionLostError: The connection is closed or closing.
        """
        if self.lost.is_set() or self.transport.is_closing():
            raise ConnectionLostError
        self.transport.write(data)

    async def drain(self) -> None:
        """Waits until the write buffer is below its low-water mark.

        Raises:
            ConnectionLostError: The connection is closed.
        """
        await self._writable.wait()
        if self.lost.is_set():
            raise ConnectionLostError

    def abort(self) -> None:
        """Closes immediately and discards the write buffer."""
        if self._transport is not None:
            self._transport.abort()

    def close(self) -> None:
        """Closes after the write buffer is flushed."""
        if self._transport is not None:
            self._transport.close()
