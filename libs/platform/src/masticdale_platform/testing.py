"""An in-memory ``ObjectStore`` with injected faults, for tests."""

import asyncio
import dataclasses

from returns.result import Failure as Failed
from returns.result import Result, Success

from masticdale_common import ErrorKind, Failure
from masticdale_platform.types import (
    MAX_VALUE_BYTES,
    ListedHost,
    StoredObject,
    WatchBatch,
)


@dataclasses.dataclass(slots=True)
class Faults:
    """Faults that a ``MemoryStore`` injects until they are reset.

    Attributes:
        down: Every call fails without effect.
        lose_write_answers: Number of writes that take effect, but fail with
            WRITE_UNKNOWN.
        drop_writes: Number of writes that have no effect and fail with
            WRITE_UNKNOWN.
        delay_s: Duration of each call.
        compacted_before: Watches from an earlier position than this fail.
    """

    down: bool = False
    lose_write_answers: int = 0
    drop_writes: int = 0
    delay_s: float = 0.0
    compacted_before: int = 0


class MemoryStore:
    """An ``ObjectStore`` that all clients of one test share.

    Attributes:
        faults: What goes wrong.
        listed_hosts: The hosts that it lists.
        calls_while_down: Calls received while it is down.
        write_count: Successful writes.
    """

    def __init__(self) -> None:
        self.faults = Faults()
        self.listed_hosts: list[ListedHost] = []
        self.calls_while_down = 0
        self.write_count = 0
        self._position = 0
        self._object_by_key: dict[str, StoredObject] = {}
        self._position_by_key: dict[str, int] = {}
        self._changed = asyncio.Event()

    async def read(self, key: str) -> Result[StoredObject | None, Failure]:
        """See ``ObjectStore.read``."""
        if await self._is_down_after_delay():
            return _unavailable()
        return Success(self._object_by_key.get(key))

    async def write(
        self, key: str, value: bytes, expected_version: int
    ) -> Result[int, Failure]:
        """See ``ObjectStore.write``."""
        if await self._is_down_after_delay():
            return _unavailable()
        if len(value) > MAX_VALUE_BYTES:
            return Failed(Failure(ErrorKind.TOO_LARGE, key))
        if self.faults.drop_writes > 0:
            self.faults.drop_writes -= 1
            return Failed(Failure(ErrorKind.WRITE_UNKNOWN, key))
        if not self._version_matches(key, expected_version):
            return Failed(Failure(ErrorKind.CONFLICT, key))
        self.write_count += 1
        version = self._record_change(key)
        self._object_by_key[key] = StoredObject(key, version, value)
        self._notify_watchers()
        if self.faults.lose_write_answers > 0:
            self.faults.lose_write_answers -= 1
            return Failed(Failure(ErrorKind.WRITE_UNKNOWN, key))
        return Success(version)

    async def delete(
        self, key: str, expected_version: int
    ) -> Result[None, Failure]:
        """See ``ObjectStore.delete``."""
        if await self._is_down_after_delay():
            return _unavailable()
        if not self._version_matches(key, expected_version):
            return Failed(Failure(ErrorKind.CONFLICT, key))
        self._record_change(key)
        self._object_by_key.pop(key, None)
        self._notify_watchers()
        return Success(None)

    async def list(
        self, prefix: str
    ) -> Result[tuple[StoredObject, ...], Failure]:
        """See ``ObjectStore.list``."""
        if await self._is_down_after_delay():
            return _unavailable()
        keys = sorted(k for k in self._object_by_key if k.startswith(prefix))
        return Success(tuple(self._object_by_key[k] for k in keys))

    async def watch(
        self, prefix: str, position: int, wait_s: float
    ) -> Result[WatchBatch, Failure]:
        """See ``ObjectStore.watch``."""
        if await self._is_down_after_delay():
            return _unavailable()
        if 0 < position < self.faults.compacted_before:
            return Failed(Failure(ErrorKind.HISTORY_GONE, prefix))
        batch = self._changes_since(prefix, position)
        if batch.changed or batch.deleted_keys:
            return Success(batch)
        try:
            async with asyncio.timeout(wait_s):
                while not (batch.changed or batch.deleted_keys):
                    await self._changed.wait()
                    batch = self._changes_since(prefix, position)
        except TimeoutError:
            pass
        if await self._is_down_after_delay():
            return _unavailable()
        return Success(batch)

    async def hosts(self) -> Result[tuple[ListedHost, ...], Failure]:
        """See ``ObjectStore.hosts``."""
        if await self._is_down_after_delay():
            return _unavailable()
        return Success(tuple(self.listed_hosts))

    async def _is_down_after_delay(self) -> bool:
        await asyncio.sleep(self.faults.delay_s)
        self.calls_while_down += self.faults.down
        return self.faults.down

    def _version_matches(self, key: str, expected_version: int) -> bool:
        stored = self._object_by_key.get(key)
        return (stored.version if stored else 0) == expected_version

    def _record_change(self, key: str) -> int:
        self._position += 1
        self._position_by_key[key] = self._position
        return self._position

    def _changes_since(self, prefix: str, position: int) -> WatchBatch:
        keys = [
            key
            for key, changed_at in self._position_by_key.items()
            if key.startswith(prefix) and changed_at > position
        ]
        changed = [k for k in keys if k in self._object_by_key]
        return WatchBatch(
            self._position,
            tuple(self._object_by_key[k] for k in changed),
            tuple(k for k in keys if k not in self._object_by_key),
            is_snapshot=position == 0,
        )

    def _notify_watchers(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()


def _unavailable() -> Failed[Failure]:
    return Failed(Failure(ErrorKind.PLATFORM_UNAVAILABLE, "store is down"))
