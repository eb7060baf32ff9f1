"""Bounds the memory of responses that are buffered whole."""

import asyncio
import dataclasses

from masticdale_gateway.upstreams import check_body_size

# Bodies up to this size are buffered without waiting for others.
_SMALL_BODY_BYTES = 65_536


@dataclasses.dataclass(frozen=True, slots=True)
class BodyLimits:
    """Limits on the bodies that are buffered whole.

    Attributes:
        max_bytes: Maximum size of a body whose length is declared.
        max_unsized_bytes: Maximum size of any other body, which may have no
            end. Larger bodies are buffered one at a time.
        max_large: Maximum number of bodies over 64 KiB that are buffered at a
            time.
    """

    max_bytes: int = 16 << 20
    max_unsized_bytes: int = 2 << 20
    max_large: int = 3


class BodyBuffers:
    """The permits that the buffers of large bodies share.

    Without them, a few large or endless responses at once take all memory of
    the process. A body that waits for a permit is not read meanwhile, so that
    its replica is held up and not this host.

    Attributes:
        limits: The limits.
    """

    def __init__(self, limits: BodyLimits) -> None:
        self.limits = limits
        self._large = asyncio.Semaphore(limits.max_large)
        self._largest = asyncio.Semaphore(1)

    def open(self, declared_bytes: int | None) -> "BodyBuffer":
        """Returns a buffer for one body.

        Args:
            declared_bytes: Length of the body; None if unknown.

        Raises:
            OversizedResponseError: The length exceeds the maximum size.
        """
        if declared_bytes is None:
            return BodyBuffer(self, self.limits.max_unsized_bytes)
        check_body_size(declared_bytes, self.limits.max_bytes)
        return BodyBuffer(self, self.limits.max_bytes)

    def permits(self, size: int) -> list[asyncio.Semaphore]:
        """Returns the permits that a body of a size needs, in order."""
        permits = []
        if size > _SMALL_BODY_BYTES:
            permits.append(self._large)
        if size > self.limits.max_unsized_bytes:
            permits.append(self._largest)
        return permits


class BodyBuffer:
    """Collects the body of one response; use it as a context manager."""

    def __init__(self, buffers: BodyBuffers, max_bytes: int) -> None:
        self._buffers = buffers
        self._max_bytes = max_bytes
        self._held: list[asyncio.Semaphore] = []
        self._data = bytearray()

    def __enter__(self) -> "BodyBuffer":
        return self

    def __exit__(self, *exc_info: object) -> None:
        for permit in self._held:
            permit.release()

    async def append(self, chunk: bytes) -> None:
        """Adds a chunk; a body that grows large waits for its turn.

        Raises:
            OversizedResponseError: The body exceeds its maximum size.
        """
        size = len(self._data) + len(chunk)
        check_body_size(size, self._max_bytes)
        for permit in self._buffers.permits(size)[len(self._held) :]:
            await permit.acquire()
            self._held.append(permit)
        self._data += chunk

    def content(self) -> bytes:
        """Returns the whole body."""
        return bytes(self._data)
