"""A shard's journal: one conditional head object, sealed segments, epochs.

``shards/{n}/head`` holds the owner's epoch and the newest records; when these
grow, they are sealed into an immutable ``shards/{n}/segments/...`` object
that the head refers to. Every commit is a conditional update of the head, so
the commit of an owner that was deposed fails whatever that owner believes.
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

# Records beyond this are sealed into a segment, in bytes: each commit writes
# the whole head.
TAIL_LIMIT_BYTES = 64_000
# Between two tries of a write that failed, in seconds; doubles to the second.
_RETRY_INITIAL_S = 0.05
_RETRY_MAX_S = 2.0
# Between two tries of a copy, in seconds; a holder restarts within some.
_COPY_RETRY_S = 0.2
# From a head's write without an answer until commits are copied instead, in
# seconds: a hundred usual writes, and shorter than callers notice.
_OUTAGE_AFTER_S = 0.5
# The rest is for the calls that run when the limit is reached.
_ADMISSION_LIMIT_BYTES = BACKLOG_LIMIT_BYTES * 3 // 4


class Journal:
    """The journal of one shard while this host owns it.

    ``open_journal`` takes the shard over; ``commit`` appends; ``release``
    hands the shard over. After a lost race every call answers NOT_OWNER.
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
        """The epoch this host owns the shard under."""
        return self._head.epoch

    @property
    def is_owned(self) -> bool:
        """False once another host took the shard over."""
        return not self._ownership_lost

    @property
    def copy_holders(self) -> tuple[str, ...]:
        """The hosts that hold copies in an outage."""
        return self._head.copy_holders

    @property
    def backlog_bytes(self) -> int:
        """Size of what is not yet known to be in the platform."""
        return self._queue.backlog_bytes

    def admission_failure(self) -> Failure | None:
        """Returns why a new call could not be acknowledged now.

        To refuse before a call runs is true and cheap; a call that ran while
        nobody can hold its record is lost work for its caller. A platform
        that has only been slow so far is waited for: a restart of one copy
        holder would else have callers refused on every busy moment.
        """
        if self._copy_writer is None or not self._in_outage:
            return None
        is_full = self.backlog_bytes > _ADMISSION_LIMIT_BYTES
        is_lost = self._copy_writer.is_failing and self._write_failed
        if not is_full and not is_lost:
            return None
        detail = "copies are full" if is_full else "a copy holder is gone"
        return Failure(ErrorKind.PLATFORM_UNAVAILABLE, detail)

    async def commit(
        self, records: Sequence[Record], needs_platform: bool = False
    ) -> Result[None, Failure]:
        """Appends records durably.

        Commits that arrive while a write is in flight share the next write.

        Args:
            records: Appended together or not at all.
            needs_platform: Copies do not do: refuses once a call of the
                platform has failed, waits while it is only slow.

        Returns:
            Success once the platform or, in an outage, owner and both copy
            holders have them; NOT_OWNER when this host was
            deposed and TOO_LARGE when they fit no object, which both mean
            that they were not written, as does PLATFORM_UNAVAILABLE;
            WRITE_UNKNOWN when the next owner may find them. Without copies
            the call waits through an outage: a caller that gives up must
            assume they may be written.
        """
        if self._ownership_lost or self._releasing:
            return not_owner(self._shard)
        size = len(codec.encode(records))
        if size > BATCH_LIMIT_BYTES:
            # The platform would refuse the head for ever, and every later
            # commit of the shard would wait behind it.
            return Failed(Failure(ErrorKind.TOO_LARGE, f"{size} bytes"))
        if (
            self._is_platform_down
            and self._copy_writer is not None
            and needs_platform
        ):
            return platform_unavailable()
        return await self._enqueue(records, size, needs_platform)

    async def refresh_copy_holders(self) -> None:
        """Names the copy holders that should be, once they confirm.

        Call it every few seconds: a holder that was restarted begins anew,
        so that a later taker can tell "nothing held" from "lost".
        """
        if self._copy_writer is None or self._ownership_lost or self._releasing:
            return
        wanted = self._copy_writer.choose_holders(self._head)
        confirmed = await self._copy_writer.confirm_holders(
            wanted, self._head, self._queue.last_sequence
        )
        if (
            self._in_outage
            or self._ownership_lost
            or self._releasing
            or self._queue.batches
        ):
            return
        if self._copy_writer.is_sealed:
            # Sealed by a taker that never took the head: the holders take
            # copies again under an epoch beyond that one's.
            self._must_raise_epoch = True
            wanted = ()
        elif not confirmed:
            wanted = ()
        if wanted != self._head.copy_holders or self._must_raise_epoch:
            self._proposed_holders = wanted
            outcome = await self._enqueue((), 0, needs_platform=True)
            if _is_unavailable(outcome):
                self._proposed_holders = None
                self._must_raise_epoch = False

    async def probe_platform(self) -> None:
        """Ends an outage once the platform answers and nothing waits for it.

        A write ends an outage, too; but calls are refused while a copy holder
        is gone, so without this no write would ever come and the refusals
        would outlast the outage for good.
        """
        if not self._in_outage or self._queue.batches:
            return
        outcome = await self.check_ownership()
        if isinstance(outcome, Success) and not self._queue.batches:
            self._in_outage = False
            self._write_failed = False

    async def check_ownership(self) -> Result[None, Failure]:
        """Finds out whether another host took the shard over.

        Without it, an owner that was paused goes on accepting calls until
        its next commit fails.

        Returns:
            NOT_OWNER after a takeover; a failed read says nothing.
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
        """Whether the platform has failed, and was not only slow."""
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
        """Hands the shard over after everything pending is written.

        The writing task itself marks the head as released: two writers at
        once would each take the other's head for their own older one and
        overwrite the records that it had just acknowledged.
        """
        if self._ownership_lost or self._releasing:
            return not_owner(self._shard)
        self._releasing = True
        outcome = await self._enqueue((), 0, needs_platform=True)
        await self.close()
        return outcome

    async def close(self) -> None:
        """Stops writing.

        What is pending fails with NOT_OWNER; what is being written fails
        with WRITE_UNKNOWN, because the write may have taken effect.
        """
        self._lose_ownership()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _run_guarded(self, work: Callable[[], Awaitable[None]]) -> None:
        try:
            await work()
        except Exception as error:
            # A dead writer would leave every later commit waiting for ever;
            # given up, the shard is opened again from what is stored.
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
        began = loop.time()
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
        if loop.time() - began < _OUTAGE_AFTER_S:
            self._in_outage = False

    def _record_write_failure(self) -> None:
        self._write_failed = True
        # What can't be copied is refused from now on.
        self._copy_wakeup.set()

    def _begin_outage(self) -> None:
        if self._copy_writer is None:
            return
        self._in_outage = True
        self._copy_writer.is_failing = False
        self._copy_wakeup.set()

    async def _copy_batches(self, copy_writer: CopyWriter) -> None:
        """Acknowledges through copies while the platform is silent."""
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
        """Returns whether the batch is acknowledged, one way or the other."""
        if self._proposed_holders is not None:
            # It is unknown which holders a taker would find in the head.
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
        """Replaces the head; tries until it knows whether that took effect."""
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
        """Finds out whether a write whose answer was lost took effect.

        Without this, an owner would take its own write, answered late, for
        another's and give the shard up, or append the batch twice. Writer,
        epoch and sequence together name one write of one process.

        Returns:
            Success if the head is ours, NOT_OWNER if another's, None if the
            write must be tried again.
        """
        outcome = await self._store.read(head_key(self._shard))
        if isinstance(outcome, Failed):
            return None
        stored = outcome.unwrap()
        if stored is None:
            return self._lose_ownership()
        found = Head.model_validate_json(stored.value)
        self._version = stored.version
        if found == head:
            self._head = head
            return Success(None)
        if found == self._head:
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
