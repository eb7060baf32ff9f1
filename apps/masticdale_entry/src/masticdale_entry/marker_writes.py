"""Writes of the markers of a disk, in a thread and with retries."""

import asyncio
from collections.abc import Callable

from masticdale_common import logs
from masticdale_history.markers import DiskMarkers

# Pause after a write has failed.
_RETRY_S = 1.0


class MarkerWriter:
    """Writes the markers of a disk that may be full or fail."""

    def __init__(self, markers: DiskMarkers) -> None:
        self._markers = markers

    async def try_set(self, name: str) -> bool:
        """Sets a marker; returns whether that succeeded."""
        return await self._write(self._markers.set, name)

    async def set(self, name: str) -> None:
        """Sets a marker; retries until that succeeds."""
        while not await self.try_set(name):
            await asyncio.sleep(_RETRY_S)

    async def clear(self, name: str) -> None:
        """Removes a marker; retries until that succeeds."""
        while not await self._write(self._markers.clear, name):
            await asyncio.sleep(_RETRY_S)

    async def _write(self, write: Callable[[str], None], name: str) -> bool:
        try:
            await asyncio.to_thread(write, name)
        except OSError as error:
            logs.write_bounded(
                "history_marker_not_written", marker=name, reason=repr(error)
            )
            return False
        return True
