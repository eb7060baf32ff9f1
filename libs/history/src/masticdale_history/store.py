"""The store of the turn records of a host, on its disk."""

import asyncio
import collections
import concurrent.futures
import dataclasses
import pathlib
from collections.abc import Callable, Sequence
from typing import TypeVar

from returns.result import Failure as Failed
from returns.result import Result, Success

from masticdale_common import ErrorKind, Failure, MasticdaleError, logs
from masticdale_history.batches import Batch
from masticdale_history.codec import decode_record
from masticdale_history.disks import OpenedDisk, open_disk
from masticdale_history.record_cache import RecordCache
from masticdale_history.records import Chain, TurnKey, TurnRecord
from masticdale_history.segments import Position, SegmentLog
from masticdale_history.turn_index import CLOCK_MARGIN_MS, TurnEntry

T = TypeVar("T")

# Above this share of the capacity, new records are refused. The rest is room
# for compaction.
_REFUSAL_SHARE = 0.85
# Above this share the store says that it is full. Turns that run by then can
# still be appended.
_FULL_SHARE = 0.80
# A segment with a smaller share of live bytes is compacted.
_COMPACTION_SHARE = 0.25
# The most bytes that are written before a sync, so that appends that arrive
# meanwhile do not wait longer for the next one.
_MAX_BATCH_BYTES = 1024 * 1024
# The same for compaction, which appends and reads wait for.
_MAX_MOVE_BYTES = 256 * 1024
_CACHE_BYTES = 16 * 1024 * 1024


@dataclasses.dataclass(frozen=True, slots=True)
class StoreStats:
    """State of a store.

    Attributes:
        records: Number of records.
        size_bytes: Size of all segments, with expired records.
        segments: Number of segments.
        syncs: Syncs of records since the start.
        torn_bytes: Bytes cut off at the start because they were torn.
    """

    records: int
    size_bytes: int
    segments: int
    syncs: int
    torn_bytes: int


@dataclasses.dataclass(frozen=True, slots=True)
class _Append:
    """A call of ``append`` that waits for its sync."""

    records: tuple[TurnRecord, ...]
    outcome: asyncio.Future[Result[None, Failure]]
    size_bytes: int


def open_store(
    folder: pathlib.Path, capacity_bytes: int, wall_ms: Callable[[], int]
) -> "TurnStore":
    """Opens the store in a folder, which is created if needed. Blocks.

    A disk on which records are missing that had been synced gets a new id, as
    an empty one does: it must not count as one that has all its records.

    Args:
        folder: Used by this store alone.
        capacity_bytes: Size of the disk.
        wall_ms: Returns wall-clock milliseconds.

    Raises:
        MasticdaleError: INTERNAL if the disk has failed or holds files in
            another format.
    """
    try:
        disk = open_disk(folder, wall_ms())
    except OSError as error:
        failure = Failure(ErrorKind.INTERNAL, f"opening {folder}: {error!r}")
        raise MasticdaleError(failure) from error
    return TurnStore(disk, capacity_bytes, wall_ms)


class TurnStore:
    """Keeps turn records. Only records that are synced can be seen.

    All disk I/O runs in one worker thread in the order of submission. The
    index changes only on the event loop. A read is therefore submitted before
    the deletion of a segment that its positions refer to.
    """

    def __init__(
        self,
        disk: OpenedDisk,
        capacity_bytes: int,
        wall_ms: Callable[[], int],
    ) -> None:
        """Use ``open_store``."""
        self._identity = disk.identity
        self._was_created = disk.was_created
        self._log = disk.log
        self._index = disk.index
        self._torn_bytes = disk.torn_bytes
        self._refusal_bytes = int(capacity_bytes * _REFUSAL_SHARE)
        self._full_bytes = int(capacity_bytes * _FULL_SHARE)
        self._wall_ms = wall_ms
        self._cache = RecordCache(_CACHE_BYTES)
        self._worker = concurrent.futures.ThreadPoolExecutor(
            1, thread_name_prefix="turn-store"
        )
        self._waiting: collections.deque[_Append] = collections.deque()
        self._committer: asyncio.Task[None] | None = None
        # Held while a batch is checked and written, and while records are
        # dropped: the previous turn of a record in the batch must stay.
        self._index_lock = asyncio.Lock()
        self._expiry_lock = asyncio.Lock()
        self._has_failed = False
        self._is_closed = False

    @property
    def disk_id(self) -> str:
        """Identifies the contents of the disk."""
        return self._identity.disk_id

    @property
    def created_at_ms(self) -> int:
        """Wall-clock milliseconds at which the disk id was generated."""
        return self._identity.created_at_ms

    @property
    def was_created(self) -> bool:
        """Whether this start generated the disk id."""
        return self._was_created

    @property
    def is_full(self) -> bool:
        """Whether new turns should not be started for this disk.

        It is set before records are refused, so that running turns can still
        be appended.
        """
        return self._log.total_bytes >= self._full_bytes

    @property
    def has_failed(self) -> bool:
        """Whether the disk has failed; no more records are accepted."""
        return self._has_failed

    async def append(
        self, records: Sequence[TurnRecord]
    ) -> Result[None, Failure]:
        """Adds records of one chain and returns when they are synced.

        Records that are already held are skipped. Either all others are added
        or none.

        Args:
            records: Oldest first.

        Failures: MISSING_PREVIOUS if a previous turn is not held; STORE_FULL;
            CONFLICT if a record is held with other contents; BAD_REQUEST if a
            record can't be encoded; INTERNAL if the disk has failed; STOPPING
            after ``close``.
        """
        if self._is_closed:
            return Failed(Failure(ErrorKind.STOPPING))
        outcome = asyncio.get_running_loop().create_future()
        size_bytes = sum(len(r.input) + len(r.output) for r in records)
        self._waiting.append(_Append(tuple(records), outcome, size_bytes))
        if self._committer is None or self._committer.done():
            self._committer = asyncio.create_task(self._commit_waiting())
        result: Result[None, Failure] = await outcome
        return result

    async def read_chain(self, workspace: str, turn_id: str) -> Chain | None:
        """Returns a turn with all turns before it.

        Returns:
            None if the turn is not held or is older than its retention by the
            clock margin.

        Raises:
            MasticdaleError: INTERNAL if the disk has failed. The turn is then
                not known to be absent. STOPPING after ``close``.
        """
        if self._is_closed:
            raise MasticdaleError(Failure(ErrorKind.STOPPING))
        turn = self._index.get(TurnKey(workspace, turn_id))
        if turn is None or not self._is_retained(turn.entry):
            return None
        chain = self._index.chain(turn)
        record_by_key: dict[TurnKey, TurnRecord] = {}
        missing = []
        for part in chain:
            record = self._cache.get(part.entry.key)
            if record is None:
                missing.append(part)
                continue
            record_by_key[part.entry.key] = record
        if missing:
            positions = [part.position for part in missing]
            for record in await self._read(positions):
                record_by_key[record.key] = record
                if record.key in self._index:
                    self._cache.put(record)
        try:
            return Chain(tuple(record_by_key[t.entry.key] for t in chain))
        except KeyError as error:
            raise self._fail("read", error) from error

    def holds(self, workspace: str, turn_id: str) -> bool:
        """Returns whether a record is on the disk, with its whole chain."""
        return TurnKey(workspace, turn_id) in self._index

    def entries(self) -> list[TurnEntry]:
        """Returns the records that are not older than their retention.

        The clock margin is added to the retention. Turns that are only kept
        for others that continue them are left out.
        """
        limit_ms = self._wall_ms() - CLOCK_MARGIN_MS
        return [
            turn.entry
            for turn in self._index.turns()
            if turn.entry.expires_at_ms > limit_ms
        ]

    async def expire(self) -> None:
        """Drops expired records and frees their space.

        A record expires once neither it nor any turn that continues it ended
        less than its retention and ``CLOCK_MARGIN_MS`` ago.
        """
        async with self._expiry_lock:
            if self._is_closed:
                return
            async with self._index_lock:
                for key in self._index.drop_expired(self._wall_ms()):
                    self._cache.discard(key)
            try:
                await self._reclaim_space()
            except OSError as error:
                self._fail("expire", error)

    def stats(self) -> StoreStats:
        """Returns the state of the store."""
        return StoreStats(
            records=len(self._index),
            size_bytes=self._log.total_bytes,
            segments=self._log.segment_count,
            syncs=self._log.syncs,
            torn_bytes=self._torn_bytes,
        )

    async def close(self) -> None:
        """Closes the files after the appends made so far."""
        if self._is_closed:
            return
        self._is_closed = True
        if self._committer is not None:
            await self._committer
        async with self._expiry_lock:
            await self._run(self._log.close)
        self._worker.shutdown(wait=False)

    async def _commit_waiting(self) -> None:
        while self._waiting:
            async with self._index_lock:
                batch = self._take_batch()
                try:
                    await self._commit(batch)
                except Exception as error:
                    # The records may be on the disk and not in the index.
                    failure = self._fail("append", error).failure
                    _resolve(batch, Failed(failure))

    def _take_batch(self) -> list[_Append]:
        batch = []
        size_bytes = 0
        while self._waiting and size_bytes < _MAX_BATCH_BYTES:
            append = self._waiting.popleft()
            size_bytes += append.size_bytes
            batch.append(append)
        return batch

    async def _commit(self, appends: list[_Append]) -> None:
        batch = Batch(self._index)
        accepted = []
        for append in appends:
            outcome = batch.add(append.records, self._refusal())
            if isinstance(outcome, Failed):
                _resolve([append], outcome)
                continue
            accepted.append(append)
        if batch.turns:
            frames = [new.frame for new in batch.turns]
            positions = await self._run(self._log.append, frames)
            for new, position in zip(batch.turns, positions, strict=True):
                self._index.add(new.indexed_at(position))
                self._cache.put(new.record)
        _resolve(accepted, Success(None))

    def _refusal(self) -> Failure | None:
        """Returns why no new records are accepted; None if they are."""
        if self._has_failed:
            return Failure(ErrorKind.INTERNAL, "the disk has failed")
        if self._log.total_bytes >= self._refusal_bytes:
            return Failure(ErrorKind.STORE_FULL)
        return None

    async def _read(self, positions: list[Position]) -> list[TurnRecord]:
        try:
            return await self._run(_read_records, self._log, positions)
        except OSError as error:
            raise self._fail("read", error) from error

    async def _reclaim_space(self) -> None:
        sizes = await self._run(self._log.closed_sizes)
        for number, size_bytes in sizes.items():
            while live_bytes := self._index.live_bytes(number):
                is_sparse = live_bytes < size_bytes * _COMPACTION_SHARE
                if self._has_failed or not is_sparse:
                    break
                await self._move_some(number)
            if not live_bytes:
                await self._run(self._log.delete, number)
                self._index.forget_segment(number)

    async def _move_some(self, number: int) -> None:
        """Copies records of a segment to the current one."""
        turns = []
        size_bytes = 0
        for turn in self._index.turns_in(number):
            turns.append(turn)
            size_bytes += turn.position.size_bytes
            if size_bytes >= _MAX_MOVE_BYTES:
                break
        positions = [turn.position for turn in turns]
        moved = await self._run(_copy_frames, self._log, positions)
        for turn, position in zip(turns, moved, strict=True):
            self._index.move(turn, position)

    def _is_retained(self, entry: TurnEntry) -> bool:
        return self._wall_ms() < entry.expires_at_ms + CLOCK_MARGIN_MS

    def _fail(self, operation: str, error: Exception) -> MasticdaleError:
        """Stops accepting records; returns the error for the caller."""
        self._has_failed = True
        logs.write_bounded(
            "history_disk_failed", operation=operation, error=repr(error)
        )
        detail = f"{operation}: the disk has failed: {error!r}"
        return MasticdaleError(Failure(ErrorKind.INTERNAL, detail))

    async def _run(self, operation: Callable[..., T], *arguments: object) -> T:
        loop = asyncio.get_running_loop()
        return await loop.run_in_executor(self._worker, operation, *arguments)


def _resolve(appends: list[_Append], outcome: Result[None, Failure]) -> None:
    for append in appends:
        if not append.outcome.done():
            append.outcome.set_result(outcome)


def _read_records(
    log: SegmentLog, positions: list[Position]
) -> list[TurnRecord]:
    return [decode_record(payload) for payload in log.read(positions)]


def _copy_frames(log: SegmentLog, positions: list[Position]) -> list[Position]:
    return log.append(log.read_frames(positions))
