"""The list of storage hosts that keep histories, in the platform's store."""

import asyncio
import random
from collections.abc import Awaitable, Callable

from returns.result import Failure as Failed
from returns.result import Success

from masticdale_common import ErrorKind, logs
from masticdale_history import (
    Member,
    MemberDirectory,
    encode_member,
    member_key,
    parse_member,
)
from masticdale_platform import (
    MUST_NOT_EXIST,
    ObjectStore,
    StoredObject,
    WatchBatch,
)

# Exponential backoff after a failed write, with jitter, since all hosts lose
# the store at the same moment.
_INITIAL_BACKOFF_S = 0.1
_MAX_BACKOFF_S = 2.0


class HistoryHosts:
    """Follows the list and keeps the object of this host as it should be.

    Attributes:
        directory: The members.
        was_listed: Whether the first list had an object of this host, even an
            unreadable one; False until it is loaded.
    """

    def __init__(
        self,
        store: ObjectStore,
        own_host: str,
        pause: Callable[[float], Awaitable[None]] = asyncio.sleep,
    ) -> None:
        """Creates the list; ``run`` writes the object of this host.

        Args:
            store: The platform's store.
            own_host: Name of this host.
            pause: Sleeps for a number of seconds after a failed write.
        """
        self.directory = MemberDirectory()
        self.was_listed = False
        self._store = store
        self._own_host = own_host
        self._own_key = member_key(own_host)
        self._pause = pause
        self._version_by_key: dict[str, int] = {}
        self._stored: StoredObject | None = None
        self._wanted: Member | None = None
        self._is_decided = False
        self._changed = asyncio.Event()
        self._settled = asyncio.Event()

    @property
    def is_settled(self) -> bool:
        """Whether the store lists this host as requested."""
        return self._settled.is_set()

    def apply(self, batch: WatchBatch, after_outage: bool) -> None:
        """Applies a batch of changes of the list."""
        if batch.is_snapshot:
            self._version_by_key.clear()
        for key in batch.deleted_keys:
            self._version_by_key.pop(key, None)
        for stored in batch.changed:
            self._version_by_key[stored.key] = stored.version
        self._apply_own(batch)
        if batch.is_snapshot and not self.directory.is_loaded:
            self.was_listed = self._stored is not None
        # Last, since it notifies those that read the state of this object.
        self.directory.apply(batch, after_outage)
        self._changed.set()

    def request(self, member: Member | None) -> None:
        """Sets how this host shall be listed.

        Args:
            member: This host; None to be listed no more.
        """
        self._wanted = member
        self._is_decided = True
        self._settled.clear()
        self._changed.set()

    async def wait_settled(self) -> None:
        """Waits until the store lists this host as requested."""
        await self._settled.wait()

    async def run(self) -> None:
        """Writes the object of this host until cancelled.

        It is written again when it was changed or deleted by others.
        """
        backoff_s = _INITIAL_BACKOFF_S
        while True:
            await self._changed.wait()
            self._changed.clear()
            while self._needs_write():
                if await self._write():
                    backoff_s = _INITIAL_BACKOFF_S
                    continue
                await self._pause(backoff_s * random.uniform(0.5, 1.5))
                backoff_s = min(_MAX_BACKOFF_S, 2 * backoff_s)
            if self._is_decided and self.directory.is_loaded:
                self._settled.set()

    async def delete_lost(self, member: Member) -> None:
        """Deletes the object of another host that was lost."""
        key = member_key(member.host)
        version = self._version_by_key.get(key)
        if version is None:
            return
        outcome = await self._store.delete(key, version)
        logs.write(
            "history_host_deleted", lost=member.host, outcome=f"{outcome}"
        )

    def _apply_own(self, batch: WatchBatch) -> None:
        found = [s for s in batch.changed if s.key == self._own_key]
        if found:
            self._stored = found[-1]
        elif batch.is_snapshot or self._own_key in batch.deleted_keys:
            self._stored = None

    def _needs_write(self) -> bool:
        if not self._is_decided or not self.directory.is_loaded:
            return False
        if self._stored is None or self._wanted is None:
            return self._stored is not None or self._wanted is not None
        listed = parse_member(self._own_host, self._stored.value)
        return listed != Success(self._wanted)

    async def _write(self) -> bool:
        """Writes or deletes the object; returns whether that succeeded."""
        wanted, stored = self._wanted, self._stored
        if wanted is None:
            version = stored.version if stored is not None else 0
            deletion = await self._store.delete(self._own_key, version)
            if not isinstance(deletion, Failed):
                self._stored = None
                return True
            return await self._recover(deletion.failure().kind)
        version = MUST_NOT_EXIST if stored is None else stored.version
        value = encode_member(wanted)
        outcome = await self._store.write(self._own_key, value, version)
        if not isinstance(outcome, Failed):
            new_version = outcome.unwrap()
            self._stored = StoredObject(self._own_key, new_version, value)
            logs.write(
                "history_host_registered",
                disk_id=wanted.disk_id,
                is_emptying=wanted.is_emptying,
                version=new_version,
            )
            return True
        return await self._recover(outcome.failure().kind)

    async def _recover(self, kind: ErrorKind) -> bool:
        """Reads the object after a failed write; returns whether it changed.

        An earlier process of this host may have written it, or the write whose
        answer was lost.
        """
        logs.write_bounded("history_host_not_written", reason=kind.value)
        outcome = await self._store.read(self._own_key)
        if isinstance(outcome, Failed):
            return False
        before, self._stored = self._stored, outcome.unwrap()
        return self._stored != before
