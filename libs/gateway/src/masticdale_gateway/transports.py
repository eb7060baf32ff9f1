"""A transport with write backpressure, shared by both directions."""

import asyncio
from typing import Any


class ConnectionLostError(Exception):
    """The other end closed or reset the connection."""


class TransportProtocol(asyncio.Protocol):
    """Keeps the transport and lets a writer wait for the other end.

    Attributes:
        lost: Set once nothing can be read any more.
    """

    def __init__(self) -> None:
        self.lost = asyncio.Event()
        self._transport: asyncio.Transport | None = None
        self._writable = asyncio.Event()
        self._writable.set()

    def connection_made(self, transport: Any) -> None:
        """See ``asyncio.Protocol``."""
        self._transport = transport

    def connection_lost(self, exc: Exception | None) -> None:
        """See ``asyncio.Protocol``."""
        self.lost.set()
        self._writable.set()

    def pause_writing(self) -> None:
        """See ``asyncio.Protocol``."""
        self._writable.clear()

    def resume_writing(self) -> None:
        """See ``asyncio.Protocol``."""
        self._writable.set()

    @property
    def transport(self) -> asyncio.Transport:
        """The open transport."""
        if self._transport is None:
            raise ConnectionLostError
        return self._transport

    @property
    def has_pending_writes(self) -> bool:
        """Whether bytes wait for the other end to read."""
        return self.transport.get_write_buffer_size() > 0

    def write(self, data: bytes) -> None:
        """Queues bytes.

        Raises:
            ConnectionLostError: Nobody can receive them.
        """
        if self.lost.is_set() or self.transport.is_closing():
            raise ConnectionLostError
        self.transport.write(data)

    async def drain(self) -> None:
        """Waits until the other end has taken most of what was written.

        Raises:
            ConnectionLostError: It never will.
        """
        await self._writable.wait()
        if self.lost.is_set():
            raise ConnectionLostError

    def abort(self) -> None:
        """Closes at once; the other end sees that something was cut off."""
        if self._transport is not None:
            self._transport.abort()

    def close(self) -> None:
        """Closes after everything written has been sent."""
        if self._transport is not None:
            self._transport.close()
