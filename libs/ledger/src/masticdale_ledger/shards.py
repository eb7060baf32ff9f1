"""Records in the store that name each shard's owner, standby and arbiter."""

import asyncio
import contextlib
import dataclasses
import enum

import pydantic

from masticdale_common import logs
from masticdale_platform import StoredObject, WatchBatch

SHARD_PREFIX = "ledger-shards/"
# Programs are hashed to this many shards; must be the same on all hosts. With
# four, the loss of one host affects a quarter of the programs.
LEDGER_SHARD_COUNT = 4


class PreviousOwnerState(enum.StrEnum):
    """State of the previous owner when a shard's record is written.

    Attributes:
        NONE: The shard had no owner.
        ENDED: The previous owner can admit no further turn that the new one
            does not account for. Its process has ended, it is fenced by a
            sealed standby, its isolation quota is charged, or it stays the
            owner and only replaces its standby.
        LOST: The previous owner does not answer. Unless its standby is sealed,
            it may admit turns until its lease expires.
    """

    NONE = "none"
    ENDED = "ended"
    LOST = "lost"


class ShardRecord(pydantic.BaseModel):
    """The JSON of a shard's object in the store.

    Attributes:
        owner: Name of the owning host.
        incarnation: Process of that host which owns the shard. Accounts in
            memory don't outlive it.
        address: IP address on which it listens for other hosts.
        port: Port of the address.
        epoch: One more than in the previous record, so that it rises with each
            change of owner or standby. Standbys and arbiters reject requests
            of an earlier epoch.
        previous: State of the previous owner.
        standby_address: Host that has to acknowledge each admitted turn;
            empty for none.
        standby_port: Port of that address.
        arbiter_address: Host that decides whether the owner or the standby
            may admit unknown programs while they are partitioned; empty for
            none.
        arbiter_port: Port of that address.
    """

    model_config = pydantic.ConfigDict(frozen=True)

    owner: str
    incarnation: str
    address: str
    port: int
    epoch: int
    previous: PreviousOwnerState
    standby_address: str = ""
    standby_port: int = 0
    arbiter_address: str = ""
    arbiter_port: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class VersionedShardRecord:
    """A shard's record and its version in the store."""

    record: ShardRecord
    version: int


def shard_key(shard_number: int) -> str:
    """Returns the key of a shard's record in the store."""
    return f"{SHARD_PREFIX}shard-{shard_number}"


def parse_shard(stored: StoredObject) -> VersionedShardRecord | None:
    """Parses a shard's record; returns None if it is invalid."""
    try:
        record = ShardRecord.model_validate_json(stored.value)
    except pydantic.ValidationError as error:
        logs.write_bounded(
            "shard_record_unreadable", key=stored.key, error=str(error)
        )
        return None
    return VersionedShardRecord(record, stored.version)


class ShardMap:
    """The latest known record of each shard.

    Attributes:
        is_loaded: Whether a snapshot of the store has been applied.
    """

    def __init__(self) -> None:
        self.is_loaded = False
        self._view_by_shard: dict[int, VersionedShardRecord] = {}
        self._changed = asyncio.Event()

    def get(self, shard_number: int) -> VersionedShardRecord | None:
        """Returns the latest known record of a shard, or None."""
        return self._view_by_shard.get(shard_number)

    def views(self) -> dict[int, VersionedShardRecord]:
        """Returns every known shard by number."""
        return dict(self._view_by_shard)

    def apply(self, batch: WatchBatch) -> None:
        """Applies a batch of a watch; ignores outdated versions."""
        for stored in batch.changed:
            self.put(stored)
        if batch.is_snapshot:
            self.is_loaded = True
        self._notify_waiters()

    def put(self, stored: StoredObject) -> None:
        """Applies one object of the store unless it is outdated."""
        shard_number = _shard_number(stored.key)
        if shard_number is None:
            return
        known = self._view_by_shard.get(shard_number)
        if known is not None and known.version >= stored.version:
            return
        view = parse_shard(stored)
        if view is None:
            return
        record = view.record
        self._view_by_shard[shard_number] = view
        logs.write_bounded(
            "shard_owner",
            shard=shard_number,
            owner=record.owner,
            epoch=record.epoch,
            previous=record.previous,
            standby=record.standby_address,
            version=stored.version,
        )
        self._notify_waiters()

    async def wait_for_change(self, timeout_s: float) -> None:
        """Waits for the next change of any shard, or the timeout."""
        changed = self._changed
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(timeout_s):
                await changed.wait()

    def _notify_waiters(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()


def _shard_number(key: str) -> int | None:
    shard_number = key.removeprefix(f"{SHARD_PREFIX}shard-")
    return int(shard_number) if shard_number.isdigit() else None
