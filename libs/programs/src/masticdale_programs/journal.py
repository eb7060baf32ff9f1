"""A shard's journal: a head object updated by compare-and-swap, and segments.

``shards/{n}/head`` holds the owner's epoch and the newest records. When these
exceed a size limit, they are sealed into an immutable
``shards/{n}/segments/...`` object that the head refers to. Every commit is a
conditional update of the head, which fences former owners. "The platform" is
the platform's object store, on which every safeguard here relies.
"""

import asyncio
import functools
from collections.abc import Awaitable, Callable, Sequence

from returns.result import Failure as Failed
from returns.result import Result, Success

from masticdale_common import ErrorKind, Failure, logs
from masticdale_platform import MUST_NOT_EXIST, ObjectStore
from masticdale_programs import records as codec
from masticdale_programs.commit_queue import (
    BACKLOG_LIMIT_BYTES,
    BATCH_LIMIT_BYTES,
    Batch,
    CommitQueue,
    OnCommitted,
    not_owner,
    platform_unavailable,
    resolve,
    write_unknown,
)
from masticdale_programs.copies import CopyHolders
from masticdale_programs.copy_writer import CopyWriter
from masticdale_programs.heads import Head, head_key, segment_key
from masticdale_programs.records import Record

# Size of the tail, in bytes, from which it is sealed into a segment: each
# commit writes the whole head.
TAIL_LIMIT_BYTES = 64_000
# Exponential backoff between attempts of a failed write, in seconds.
_RETRY_INITIAL_S = 0.05
_RETRY_MAX_S = 2.0
# Delay before a failed copy is retried, in seconds.
_COPY_RETRY_S = 0.2
# Duration of a head write, in seconds, after which commits are acknowledged
# by the copy holders instead.
_OUTAGE_AFTER_S = 0.5
# Backlog from which new calls are rejected; the rest of the limit is for the
# commits of the calls in flight.
_ADMISSION_LIMIT_BYTES = BACKLOG_LIMIT_BYTES * 3 // 4


class Journal:
    """The journal of one shard while this host owns it.

    ``open_journal`` takes the shard over, ``commit`` appends and ``release``
    hands the shard off. Once ownership is lost, calls fail with NOT_OWNER.
    """

    def __init__(
        self,
        store: ObjectStore,
        shard: int,
        head: Head,
        version: int,
        on_committed: OnCommitted,
        copies: CopyHolders | None = None,
    ) -> None:
        self._store = store
        self._shard = shard
        self._head = head
        self._version = version
        self._tail_bytes = len(codec.encode(head.tail))
        self._queue = CommitQueue(head.sequence, on_committed)
        self._write_wakeup = asyncio.Event()
        self._copy_wakeup = asyncio.Event()
        self._ownership_lost = False
        self._releasing = False
        self._in_outage = False
        self._write_failed = False
        self._proposed_holders: tuple[str, ...] | None = None
        self._must_raise_epoch = False
        self._copy_writer = CopyWriter(copies, shard) if copies else None
        self._tasks = [
            asyncio.create_task(self._run_guarded(self._write_batches))
        ]
        if self._copy_writer is not None:
            copying = functools.partial(self._copy_batches, self._copy_writer)
            self._tasks.append(asyncio.create_task(self._run_guarded(copying)))

    @property
    def epoch(self) -> int:
        """The epoch under which this host owns the shard."""
        return self._head.epoch

    @property
    def is_owned(self) -> bool:
        """Whether this host still owns the shard, as far as it knows."""
        return not self._ownership_lost

    @property
    def copy_holders(self) -> tuple[str, ...]:
        """The hosts that keep copies during an outage."""
        return self._head.copy_holders

    @property
    def backlog_bytes(self) -> int:
        """Encoded size of the commits that the platform may not have yet."""
        return self._queue.backlog_bytes

    def admission_failure(self) -> Failure | None:
        """Returns the failure of new calls while commits can't be acknowledged.

        Rejecting a call before it runs avoids work whose result can't be
        committed. Calls are not rejected while the platform is only slow:
        otherwise the restart of a copy holder under load would reject calls.
        """
        if self._copy_writer is None or not self._in_outage:
            return None
        is_full = self.backlog_bytes > _ADMISSION_LIMIT_BYTES
        is_holder_down = self._copy_writer.is_failing and self._write_failed
        if not is_full and not is_holder_down:
            return None
        detail = "commit backlog is full" if is_full else "copy holder is down"
        return Failure(ErrorKind.PLATFORM_UNAVAILABLE, detail)

    async def commit(
        self, records: Sequence[Record], needs_platform: bool = False
    ) -> Result[None, Failure]:
        """Appends records durably.

        Commits that arrive while a write is in flight share the next write.
        Without copy holders a commit waits for the end of an outage; a caller
        that stops waiting must assume that the records may be written.

        Args:
            records: Records to append atomically.
            needs_platform: Copies are not enough: the commit fails once a
                write to the platform has failed, and waits while the platform
                is only slow.

        Returns:
            Success once the platform has the records or, in an outage, the
            owner and both copy holders. NOT_OWNER, TOO_LARGE and
            PLATFORM_UNAVAILABLE mean that the records were not written;
            WRITE_UNKNOWN means that the next owner may find them.
        """
        if self._ownership_lost or self._releasing:
            return not_owner(self._shard)
        size = len(codec.encode(records))
        if size > BATCH_LIMIT_BYTES:
            # The platform would reject every attempt to write the head, and
            # all later commits of the shard would wait behind it.
            return Failed(Failure(ErrorKind.TOO_LARGE, f"{size} bytes"))
        if (
            self._is_platform_down
            and self._copy_writer is not None
            and needs_platform
        ):
            return platform_unavailable()
        return await self._enqueue(records, size, needs_platform)

    async def refresh_copy_holders(self) -> None:
        """Updates the copy holders in the head once the holders confirm.

        Call it every few seconds. It initializes a restarted holder, so that
        a new owner can tell a holder without copies from one that lost them.
        """
        if self._copy_writer is None or self._ownership_lost or self._releasing:
            return
        holders = self._copy_writer.choose_holders(self._head)
        confirmed = await self._copy_writer.confirm_holders(
            holders, self._head, self._queue.last_sequence
        )
        if (
            self._in_outage
            or self._ownership_lost
            or self._releasing
            or self._queue.batches
        ):
            return
        if self._copy_writer.is_sealed:
            # A host sealed the holders but did not take the shard over. They
            # accept copies again under a higher epoch.
            self._must_raise_epoch = True
            holders = ()
        elif not confirmed:
            holders = ()
        if holders != self._head.copy_holders or self._must_raise_epoch:
            self._proposed_holders = holders
            outcome = await self._enqueue((), 0, needs_platform=True)
            if _is_unavailable(outcome):
                self._proposed_holders = None
                self._must_raise_epoch = False

    async def probe_platform(self) -> None:
        """Ends the outage if the platform responds and the backlog is empty.

        A successful write ends an outage too. But while a copy holder is down
        calls are rejected, so there may be no write, and without this probe
        calls would be rejected forever.
        """
        if not self._in_outage or self._queue.batches:
            return
        outcome = await self.check_ownership()
        if isinstance(outcome, Success) and not self._queue.batches:
            self._in_outage = False
            self._write_failed = False

    async def check_ownership(self) -> Result[None, Failure]:
        """Reads the head to check whether another host took the shard over.

        Otherwise an owner that was paused would accept calls until its next
        commit fails.

        Returns:
            NOT_OWNER after a takeover; other failures mean that the head
            could not be read.
        """
        outcome = await self._store.read(head_key(self._shard))
        if isinstance(outcome, Failed):
            return outcome
        stored = outcome.unwrap()
        if stored is not None and self._is_own(stored.value):
            return Success(None)
        return self._lose_ownership()

    @property
    def _is_platform_down(self) -> bool:
        """Whether a write failed in this outage, rather than being slow."""
        return self._in_outage and self._write_failed

    def _is_own(self, value: bytes) -> bool:
        return Head.model_validate_json(value).writer == self._head.writer

    async def _enqueue(
        self, records: Sequence[Record], size: int, needs_platform: bool
    ) -> Result[None, Failure]:
        future = self._queue.add(records, size, needs_platform)
        self._write_wakeup.set()
        self._copy_wakeup.set()
        return await asyncio.shield(future)

    async def release(self) -> Result[None, Failure]:
        """Hands the shard off after all pending commits are written.

        The writer task marks the head as released. A second concurrent writer
        could mistake the first one's head for its own earlier write and
        overwrite records that were already acknowledged.
        """
        if self._ownership_lost or self._releasing:
            return not_owner(self._shard)
        self._releasing = True
        try:
            return await self._enqueue((), 0, needs_platform=True)
        finally:
            # Also where the caller stops waiting: the head may say released.
            await self.close()

    async def close(self) -> None:
        """Stops writing.

        Pending commits fail with NOT_OWNER. Commits that are being written
        fail with WRITE_UNKNOWN, because the write may take effect.
        """
        self._lose_ownership()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _run_guarded(self, work: Callable[[], Awaitable[None]]) -> None:
        try:
            await work()
        except Exception as error:
            # Without a writer task, later commits would wait forever. The
            # journal gives up ownership, so that the shard is opened again
            # from the store.
            logs.write("journal_failed", shard=self._shard, error=repr(error))
        finally:
            self._lose_ownership()

    async def _write_batches(self) -> None:
        try:
            while not self._ownership_lost:
                await self._write_wakeup.wait()
                self._write_wakeup.clear()
                while not self._queue.is_empty and not self._ownership_lost:
                    await self._write_batch()
        finally:
            self._queue.fail_batches(write_unknown(self._shard))

    async def _write_batch(self) -> None:
        if not self._queue.batches:
            self._queue.batch_pending()
        batches = self._queue.oldest_batches()
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        outage_timer = loop.call_later(_OUTAGE_AFTER_S, self._begin_outage)
        try:
            outcome = await self._append_batches(batches)
        finally:
            outage_timer.cancel()
        if isinstance(outcome, Failed):
            for batch in batches:
                resolve(batch.pending, outcome)
            return
        for batch in batches:
            self._queue.acknowledge(batch, outcome)
            self._queue.drop_oldest()
        if loop.time() - started_at < _OUTAGE_AFTER_S:
            self._in_outage = False

    def _record_write_failure(self) -> None:
        self._write_failed = True
        # Commits that need the platform now fail.
        self._copy_wakeup.set()

    def _begin_outage(self) -> None:
        if self._copy_writer is None:
            return
        self._in_outage = True
        self._copy_writer.is_failing = False
        self._copy_wakeup.set()

    async def _copy_batches(self, copy_writer: CopyWriter) -> None:
        """Replicates and acknowledges batches during an outage."""
        while not self._ownership_lost:
            await self._copy_wakeup.wait()
            self._copy_wakeup.clear()
            while self._in_outage and not self._ownership_lost:
                if self._is_platform_down:
                    self._queue.fail_pending(
                        platform_unavailable(), only_needing_platform=True
                    )
                batch = self._queue.next_to_copy()
                if batch is None:
                    break
                if not await self._copy_batch(copy_writer, batch):
                    await asyncio.sleep(_COPY_RETRY_S)

    async def _copy_batch(self, copy_writer: CopyWriter, batch: Batch) -> bool:
        """Replicates a batch; returns False if it has to be retried."""
        if self._proposed_holders is not None:
            # A head with other holders may have been written, so it is not
            # known which holders a new owner would seal.
            copy_writer.is_failing = True
            return False
        entries = self._queue.entries_up_to(batch)
        is_replicated = await copy_writer.replicate(self._head, entries)
        if batch.is_acknowledged or self._ownership_lost:
            return True
        if is_replicated:
            for pending in batch.pending:
                if pending.needs_platform:
                    resolve([pending], write_unknown(self._shard))
            self._queue.acknowledge(batch, Success(None))
        return is_replicated

    async def _append_batches(
        self, batches: list[Batch]
    ) -> Result[None, Failure]:
        added = [r for batch in batches for r in batch.entry.records]
        is_last = (
            len(batches) == len(self._queue.batches) and not self._queue.pending
        )
        size = sum(batch.size for batch in batches)
        segments = self._head.segments
        tail = self._head.tail
        tail_bytes = self._tail_bytes
        if tail and tail_bytes + size > TAIL_LIMIT_BYTES:
            segments = (*segments, await self._seal_segment(tail))
            tail = ()
            tail_bytes = 0
        holders = self._head.copy_holders
        proposed = self._proposed_holders
        head = self._head.model_copy(
            update={
                "epoch": self._head.epoch + self._must_raise_epoch,
                "sequence": batches[-1].entry.sequence,
                "segments": segments,
                "tail": (*tail, *added),
                "released": self._releasing and is_last,
                "copy_holders": holders if proposed is None else proposed,
            }
        )
        outcome = await self._swap_head(head)
        if isinstance(outcome, Success):
            self._tail_bytes = tail_bytes + size
            if proposed is not None:
                self._proposed_holders = None
                self._must_raise_epoch = False
        return outcome

    async def _seal_segment(self, tail: Sequence[Record]) -> str:
        """Writes the tail as a segment and returns its key."""
        key = segment_key(self._shard, self._head.sequence, self._head.writer)
        value = codec.encode(tail)
        delay_s = _RETRY_INITIAL_S
        while True:
            outcome = await self._store.write(key, value, MUST_NOT_EXIST)
            if isinstance(outcome, Success):
                return key
            if outcome.failure().kind is ErrorKind.CONFLICT:
                return key
            self._record_write_failure()
            await asyncio.sleep(delay_s)
            delay_s = min(delay_s * 2, _RETRY_MAX_S)

    async def _swap_head(self, head: Head) -> Result[None, Failure]:
        """Replaces the head; retries until the outcome is known."""
        value = head.model_dump_json().encode()
        delay_s = _RETRY_INITIAL_S
        may_be_written = False
        while True:
            outcome = await self._store.write(
                head_key(self._shard), value, self._version
            )
            if isinstance(outcome, Success):
                self._head = head
                self._version = outcome.unwrap()
                self._write_failed = False
                return Success(None)
            kind = outcome.failure().kind
            may_be_written |= kind is ErrorKind.WRITE_UNKNOWN
            if kind in (ErrorKind.CONFLICT, ErrorKind.WRITE_UNKNOWN):
                resolved = await self._resolve_head_write(head)
                if isinstance(resolved, Failed) and may_be_written:
                    return write_unknown(self._shard)
                if resolved is not None:
                    return resolved
            self._record_write_failure()
            await asyncio.sleep(delay_s)
            delay_s = min(delay_s * 2, _RETRY_MAX_S)

    async def _resolve_head_write(
        self, head: Head
    ) -> Result[None, Failure] | None:
        """Reads the head to resolve a write whose response was lost.

        Otherwise the owner could mistake its own write for another host's and
        give the shard up, or append the batch twice. Writer, epoch and
        sequence together identify one write.

        Returns:
            Success if the write took effect, NOT_OWNER if another host wrote
            the head, None if the write must be retried.
        """
        outcome = await self._store.read(head_key(self._shard))
        if isinstance(outcome, Failed):
            return None
        stored = outcome.unwrap()
        if stored is None:
            return self._lose_ownership()
        stored_head = Head.model_validate_json(stored.value)
        self._version = stored.version
        if stored_head == head:
            self._head = head
            return Success(None)
        if stored_head == self._head:
            return None
        return self._lose_ownership()

    def _lose_ownership(self) -> Failed[Failure]:
        if not self._ownership_lost:
            logs.write("journal_closed", shard=self._shard, epoch=self.epoch)
        self._ownership_lost = True
        failed = not_owner(self._shard)
        self._queue.fail_pending(failed)
        self._write_wakeup.set()
        self._copy_wakeup.set()
        return failed


def _is_unavailable(outcome: Result[None, Failure]) -> bool:
    if not isinstance(outcome, Failed):
        return False
    return outcome.failure().kind is ErrorKind.PLATFORM_UNAVAILABLE
