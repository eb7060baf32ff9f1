"""Who owns which shard of the ledger, as the store says."""

import asyncio
import contextlib
import dataclasses
import enum

import pydantic

from masticdale_common import logs
from masticdale_platform import StoredObject, WatchBatch

SHARD_PREFIX = "ledger-shards/"


class PreviousOwner(enum.StrEnum):
    """What is known of the owner before."""

    NONE = "none"
    ENDED = "ended"
    LOST = "lost"


class ShardRecord(pydantic.BaseModel):
    """The store's object of one shard.

    Attributes:
        owner: Name of the owning host.
        incarnation: Its process; another one has none of its memory.
        address: Where it listens for other hosts: an IP number.
        port: And the port.
        epoch: One more than the last owner's.
        previous: Whether the last owner surely acts no more.
        standby_address: Host without whose consent the owner admits nothing;
            empty for none.
        standby_port: And its port.
        arbiter_address: Host that lets one of the two go on where both may
            not; empty for none.
        arbiter_port: And its port.
    """

    model_config = pydantic.ConfigDict(frozen=True)

    owner: str
    incarnation: str
    address: str
    port: int
    epoch: int
    previous: PreviousOwner
    standby_address: str = ""
    standby_port: int = 0
    arbiter_address: str = ""
    arbiter_port: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class ShardView:
    """A shard's record and its version in the store."""

    record: ShardRecord
    version: int


def shard_key(shard: int) -> str:
    """Returns the key of a shard's object."""
    return f"{SHARD_PREFIX}shard-{shard}"


def parse_shard(stored: StoredObject) -> ShardView | None:
    """Returns a shard's record; None where the object is none."""
    try:
        record = ShardRecord.model_validate_json(stored.value)
    except pydantic.ValidationError as error:
        logs.write_bounded(
            "shard_record_unreadable", key=stored.key, error=str(error)
        )
        return None
    return ShardView(record, stored.version)


class ShardMap:
    """The newest known owner of each shard.

    Attributes:
        is_loaded: Whether the store has been read.
    """

    def __init__(self) -> None:
        self.is_loaded = False
        self._view_by_shard: dict[int, ShardView] = {}
        self._changed = asyncio.Event()

    def get(self, shard: int) -> ShardView | None:
        """Returns what is known of a shard."""
        return self._view_by_shard.get(shard)

    def views(self) -> dict[int, ShardView]:
        """Returns every known shard by number."""
        return dict(self._view_by_shard)

    def apply(self, batch: WatchBatch) -> None:
        """Takes what a watch returned; older versions change nothing."""
        for stored in batch.changed:
            self.put(stored)
        if batch.is_snapshot:
            self.is_loaded = True
        self._notify_waiters()

    def put(self, stored: StoredObject) -> None:
        """Takes one object of the store."""
        shard = _shard_number(stored.key)
        if shard is None:
            return
        known = self._view_by_shard.get(shard)
        if known is not None and known.version >= stored.version:
            return
        view = parse_shard(stored)
        if view is None:
            return
        record = view.record
        self._view_by_shard[shard] = view
        logs.write_bounded(
            "shard_owner",
            shard=shard,
            owner=record.owner,
            epoch=record.epoch,
            previous=record.previous,
            standby=record.standby_address,
            version=stored.version,
        )
        self._notify_waiters()

    async def wait_for_change(self, timeout_s: float) -> None:
        """Waits for any change, at most so long."""
        changed = self._changed
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(timeout_s):
                await changed.wait()

    def _notify_waiters(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()


def _shard_number(key: str) -> int | None:
    number = key.removeprefix(f"{SHARD_PREFIX}shard-")
    return int(number) if number.isdigit() else None
