"""What this host's watches have returned, for hosts that watch through it.

Each change costs every host that watches the store a call, and each outage
some calls a second for as long as it lasts. Where three hosts watch and the
others ask them, the calls follow the changes and not the number of hosts. It
costs each host that follows about a call a second and kind between hosts.
"""

import asyncio
import contextlib
import dataclasses

from returns.result import Failure as Failed
from returns.result import Result, Success

from masticdale_common import ErrorKind, Failure
from masticdale_platform import StoredObject, WatchBatch


@dataclasses.dataclass(slots=True)
class _Part:
    """One followed prefix.

    Attributes:
        position: The store's position of what is held.
        object_by_key: The objects.
    """

    position: int = 0
    object_by_key: dict[str, StoredObject] = dataclasses.field(
        default_factory=dict
    )


class SharedWatches:
    """The newest of each prefix that this host watches."""

    def __init__(self) -> None:
        self._part_by_prefix: dict[str, _Part] = {}
        self._is_lost = True
        self._changed = asyncio.Event()

    def take(self, prefix: str, asked_from: int, batch: WatchBatch) -> None:
        """Takes what a watch of this host has returned, by whichever way.

        Args:
            prefix: What was watched.
            asked_from: The position from which it was.
            batch: What came.
        """
        part = self._part_by_prefix.get(prefix)
        if batch.is_snapshot:
            part = self._part_by_prefix[prefix] = _Part()
        elif part is None or part.position != asked_from:
            # What lies between was taken elsewhere. Passed on with a newer
            # position, hosts would miss it for good: a replica that leaves
            # would get new work from all who follow this one.
            self._part_by_prefix.pop(prefix, None)
            self._wake()
            return
        for stored in batch.changed:
            part.object_by_key[stored.key] = stored
        for key in batch.deleted_keys:
            part.object_by_key.pop(key, None)
        part.position = batch.position
        self._wake()

    def regain(self) -> None:
        """Notes that the store answers this host."""
        self._is_lost = False
        self._wake()

    def lose(self) -> None:
        """Notes that the store does not answer this host."""
        self._is_lost = True
        self._wake()

    async def newer(
        self, prefix: str, position: int, wait_s: float
    ) -> Result[WatchBatch, Failure]:
        """Waits for something newer than a position.

        Returns:
            All objects, or an empty batch after the wait. NOT_FOUND where the
            prefix is not followed here; PLATFORM_UNAVAILABLE where the store
            does not answer this host either.
        """
        deadline = asyncio.get_running_loop().time() + wait_s
        while True:
            part = self._part_by_prefix.get(prefix)
            if part is None:
                return Failed(Failure(ErrorKind.NOT_FOUND, prefix))
            if self._is_lost:
                detail = "the host asked has lost the store"
                failure = Failure(ErrorKind.PLATFORM_UNAVAILABLE, detail)
                return Failed(failure)
            # A host that knows more has asked another one before.
            if part.position > position:
                return Success(_snapshot(part))
            rest_s = deadline - asyncio.get_running_loop().time()
            if rest_s <= 0:
                return Success(WatchBatch(position, (), (), False))
            changed = self._changed
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(rest_s):
                    await changed.wait()

    def _wake(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()


def _snapshot(part: _Part) -> WatchBatch:
    return WatchBatch(
        part.position, tuple(part.object_by_key.values()), (), True
    )
