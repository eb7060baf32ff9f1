"""Doubles for tests of connections."""


class FakeTransport:
    """Accepts what a connection does, and sends nothing.

    Attributes:
        is_reading: Whether the connection reads.
        is_aborted: Whether the connection was aborted.
    """

    def __init__(self) -> None:
        self.is_reading = True
        self.is_aborted = False

    def write(self, data: bytes) -> None:
        """See ``asyncio.Transport``; drops the bytes."""

    def abort(self) -> None:
        """See ``asyncio.Transport``."""
        self.is_aborted = True

    def is_closing(self) -> bool:
        """See ``asyncio.Transport``."""
        return self.is_aborted

    def pause_reading(self) -> None:
        """See ``asyncio.Transport``."""
        self.is_reading = False

    def resume_reading(self) -> None:
        """See ``asyncio.Transport``."""
        self.is_reading = True

    def get_write_buffer_size(self) -> int:
        """See ``asyncio.Transport``."""
        return 0
