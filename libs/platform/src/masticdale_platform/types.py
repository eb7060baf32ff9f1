"""What the platform's object API offers, as the rest of the system sees it.

``ObjectStore`` is the narrow interface; ``client`` speaks HTTP to the real
service or its stand-in, ``testing`` keeps objects in memory and fails on
request.
"""

import dataclasses
from typing import Protocol

from returns.result import Result

from masticdale_common import Failure

MUST_NOT_EXIST = 0
MAX_VALUE_BYTES = 1_000_000


@dataclasses.dataclass(frozen=True, slots=True)
class StoredObject:
    """One object.

    Attributes:
        key: Slash-separated path.
        version: Grows with each write of this key, also across a delete;
            never 0.
        value: Up to ``MAX_VALUE_BYTES`` bytes.
    """

    key: str
    version: int
    value: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class WatchBatch:
    """What a watch returned.

    Attributes:
        position: Where the next watch continues.
        changed: Objects written since, the newest version of each.
        deleted_keys: Keys deleted since.
        is_snapshot: Whether it holds everything that is stored, so that keys
            not in it are gone.
    """

    position: int
    changed: tuple[StoredObject, ...]
    deleted_keys: tuple[str, ...]
    is_snapshot: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class ListedHost:
    """A host or upstream on the platform's list, which lags.

    Attributes:
        name: Name of the host.
        leaving: True once the platform has begun to take it away.
    """

    name: str
    leaving: bool


class ObjectStore(Protocol):
    """Versioned objects with conditional writes.

    Failures: PLATFORM_UNAVAILABLE when the call surely had no effect,
    WRITE_UNKNOWN when a write may have taken effect, CONFLICT when the
    expected version was not the stored one (nothing was written).
    """

    async def read(self, key: str) -> Result[StoredObject | None, Failure]:
        """Returns the object, or None where there is none."""
        ...

    async def write(
        self, key: str, value: bytes, expected_version: int
    ) -> Result[int, Failure]:
        """Writes if the stored version is the expected one.

        Args:
            key: The object's key.
            value: At most ``MAX_VALUE_BYTES``.
            expected_version: The version it must have now;
                ``MUST_NOT_EXIST`` to create.

        Returns:
            The new version.
        """
        ...

    async def delete(
        self, key: str, expected_version: int
    ) -> Result[None, Failure]:
        """Deletes if the stored version is the expected one."""
        ...

    async def list(
        self, prefix: str
    ) -> Result[tuple[StoredObject, ...], Failure]:
        """Returns every object whose key starts with the prefix."""
        ...

    async def watch(
        self, prefix: str, position: int, wait_s: float
    ) -> Result[WatchBatch, Failure]:
        """Waits for changes after a position.

        Args:
            prefix: Keys to watch.
            position: 0 for the present state, else a batch's position.
            wait_s: How long to wait before an empty batch is returned.

        Failures: HISTORY_GONE where the changes since the position are no
        longer known: begin again from 0.
        """
        ...

    async def hosts(self) -> Result[tuple[ListedHost, ...], Failure]:
        """Returns the list of live and leaving hosts and upstreams."""
        ...
