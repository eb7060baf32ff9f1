"""A shard's journal: one conditional head object, sealed segments, epochs.

``shards/{n}/head`` holds the owner's epoch and the newest records; when these
grow, they are sealed into an immutable ``shards/{n}/segments/...`` object
that the head refers to. Every commit is a conditional update of the head, so
the commit of an owner that was deposed fails whatever that owner believes.
"""

import asyncio
import dataclasses
import uuid
from collections.abc import Callable, Sequence

import pydantic
from returns.result import Failure as Failed
from returns.result import Result, Success

from masticdale_common import ErrorKind, Failure, logs
from masticdale_platform import MUST_NOT_EXIST, ObjectStore
from masticdale_programs import records as codec
from masticdale_programs.records import Record, TaggedRecord

TAIL_LIMIT_BYTES = 64_000
BATCH_LIMIT_BYTES = 600_000
_RETRY_FIRST_S = 0.05
_RETRY_MOST_S = 2.0
_NONCE_DIGITS = 12


class Head(pydantic.BaseModel):
    """The head object of a shard.

    Attributes:
        epoch: Grows with each owner.
        owner: Host that holds the shard.
        writer: Names one opening by one process.
        sequence: Number of the newest commit.
        released: True once the owner handed the shard over.
        segments: Keys of the sealed segments, oldest first.
        tail: Records since the newest segment.
    """

    epoch: int
    owner: str
    writer: str
    sequence: int
    released: bool
    segments: tuple[str, ...]
    tail: tuple[TaggedRecord, ...]


OnCommitted = Callable[[Record], None]


@dataclasses.dataclass(slots=True)
class _Pending:
    """Records that wait for one commit."""

    records: tuple[Record, ...]
    size: int
    done: asyncio.Future[Result[None, Failure]]


def head_key(shard: int) -> str:
    """Returns the key of a shard's head object."""
    return f"shards/{shard:03d}/head"


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
    ) -> None:
        self._on_committed = on_committed
        self._store = store
        self._shard = shard
        self._head = head
        self._version = version
        self._tail_bytes = len(codec.encode(head.tail))
        self._pending: list[_Pending] = []
        self._writing: list[_Pending] = []
        self._wake = asyncio.Event()
        self._deposed = False
        self._releasing = False
        self._task = asyncio.create_task(
            self._write_batches(), name=f"journal-{shard}"
        )

    @property
    def epoch(self) -> int:
        """The epoch this host owns the shard under."""
        return self._head.epoch

    @property
    def is_held(self) -> bool:
        """False once another host took the shard over."""
        return not self._deposed

    async def commit(self, records: Sequence[Record]) -> Result[None, Failure]:
        """Appends records durably.

        Commits that arrive while a write is in flight share the next write.

        Args:
            records: Appended together or not at all.

        Returns:
            Success once the platform holds them; NOT_OWNER when this host was
            deposed and TOO_LARGE when they fit no object, which both mean
            that they were not written; WRITE_UNKNOWN when this host was
            deposed and the next owner may have found them. The call waits
            through an outage: a caller that gives up must assume they may be
            written.
        """
        if self._deposed or self._releasing:
            return _not_owner(self._shard)
        size = len(codec.encode(records))
        if size > BATCH_LIMIT_BYTES:
            # The platform would refuse the head for ever, and every later
            # commit of the shard would wait behind it.
            return Failed(Failure(ErrorKind.TOO_LARGE, f"{size} bytes"))
        return await self._enqueue(records, size)

    async def check_head(self) -> Result[None, Failure]:
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
        return self._depose()

    def _is_own(self, value: bytes) -> bool:
        found = Head.model_validate_json(value)
        held = self._head
        return (found.epoch, found.writer) == (held.epoch, held.writer)

    async def _enqueue(
        self, records: Sequence[Record], size: int
    ) -> Result[None, Failure]:
        future: asyncio.Future[Result[None, Failure]]
        future = asyncio.get_running_loop().create_future()
        self._pending.append(_Pending(tuple(records), size, future))
        self._wake.set()
        return await asyncio.shield(future)

    async def release(self) -> Result[None, Failure]:
        """Hands the shard over after everything pending is written.

        The writing task itself marks the head as released: two writers at
        once would each take the other's head for their own older one and
        overwrite the records that it had just acknowledged.
        """
        if self._deposed or self._releasing:
            return _not_owner(self._shard)
        self._releasing = True
        outcome = await self._enqueue((), 0)
        await self.close()
        return outcome

    async def close(self) -> None:
        """Stops writing.

        What is pending fails with NOT_OWNER; what is being written fails
        with WRITE_UNKNOWN, because the write may have taken effect.
        """
        self._depose()
        self._task.cancel()
        await asyncio.gather(self._task, return_exceptions=True)

    async def _write_batches(self) -> None:
        try:
            while not self._deposed:
                await self._wake.wait()
                self._wake.clear()
                while self._pending and not self._deposed:
                    await self._write_batch(self._take_batch())
        except Exception as error:
            # A dead writer would leave every later commit waiting for ever;
            # given up, the shard is opened again from what is stored.
            logs.write("journal_failed", shard=self._shard, error=repr(error))
        finally:
            self._resolve(self._writing, _unknown(self._shard))
            self._depose()

    def _take_batch(self) -> list[_Pending]:
        taken: list[_Pending] = []
        size = 0
        while self._pending:
            size += self._pending[0].size
            if taken and size > BATCH_LIMIT_BYTES:
                break
            taken.append(self._pending.pop(0))
        return taken

    async def _write_batch(self, batch: list[_Pending]) -> None:
        self._writing = batch
        added = [record for pending in batch for record in pending.records]
        outcome = await self._append(added)
        if isinstance(outcome, Success):
            # Applied here, in the journal's order, so that memory never
            # differs from what a replay of the journal would build.
            for record in added:
                self._on_committed(record)
        self._resolve(batch, outcome)

    def _resolve(
        self, batch: list[_Pending], outcome: Result[None, Failure]
    ) -> None:
        for pending in batch:
            if not pending.done.done():
                pending.done.set_result(outcome)

    async def _append(self, added: list[Record]) -> Result[None, Failure]:
        is_last = self._releasing and not self._pending
        size = len(codec.encode(added))
        segments = self._head.segments
        tail = self._head.tail
        tail_bytes = self._tail_bytes
        if tail and tail_bytes + size > TAIL_LIMIT_BYTES:
            segments = (*segments, await self._seal(tail))
            tail = ()
            tail_bytes = 0
        head = self._head.model_copy(
            update={
                "sequence": self._head.sequence + 1,
                "segments": segments,
                "tail": (*tail, *added),
                "released": is_last,
            }
        )
        outcome = await self._swap(head)
        if isinstance(outcome, Success):
            self._tail_bytes = tail_bytes + size
        return outcome

    async def _seal(self, tail: Sequence[Record]) -> str:
        """Writes the tail as a segment and returns its key.

        The key carries the writer, so only this owner writes it and an
        existing object is this same segment, written before.
        """
        name = f"{self._head.sequence:012d}-{self._head.writer}"
        key = f"shards/{self._shard:03d}/segments/{name}"
        value = codec.encode(tail)
        delay_s = _RETRY_FIRST_S
        while True:
            outcome = await self._store.write(key, value, MUST_NOT_EXIST)
            if isinstance(outcome, Success):
                return key
            if outcome.failure().kind is ErrorKind.CONFLICT:
                return key
            await asyncio.sleep(delay_s)
            delay_s = min(delay_s * 2, _RETRY_MOST_S)

    async def _swap(self, head: Head) -> Result[None, Failure]:
        """Replaces the head; tries until it knows whether that took effect."""
        value = head.model_dump_json().encode()
        delay_s = _RETRY_FIRST_S
        may_be_written = False
        while True:
            outcome = await self._store.write(
                head_key(self._shard), value, self._version
            )
            if isinstance(outcome, Success):
                self._head = head
                self._version = outcome.unwrap()
                return Success(None)
            kind = outcome.failure().kind
            may_be_written |= kind is ErrorKind.WRITE_UNKNOWN
            if kind in (ErrorKind.CONFLICT, ErrorKind.WRITE_UNKNOWN):
                settled = await self._read_back(head)
                if isinstance(settled, Failed) and may_be_written:
                    return _unknown(self._shard)
                if settled is not None:
                    return settled
            await asyncio.sleep(delay_s)
            delay_s = min(delay_s * 2, _RETRY_MOST_S)

    async def _read_back(self, head: Head) -> Result[None, Failure] | None:
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
            return self._depose()
        found = Head.model_validate_json(stored.value)
        self._version = stored.version
        if found == head:
            self._head = head
            return Success(None)
        if found == self._head:
            return None
        return self._depose()

    def _depose(self) -> Failed[Failure]:
        if not self._deposed:
            logs.write("journal_closed", shard=self._shard, epoch=self.epoch)
        self._deposed = True
        failed = _not_owner(self._shard)
        self._resolve(self._pending, failed)
        self._pending.clear()
        self._wake.set()
        return failed


async def read_head(
    store: ObjectStore, shard: int
) -> Result[Head | None, Failure]:
    """Returns a shard's head as it is stored now."""
    outcome = await store.read(head_key(shard))
    if isinstance(outcome, Failed):
        return outcome
    stored = outcome.unwrap()
    if stored is None:
        return Success(None)
    return Success(Head.model_validate_json(stored.value))


async def open_journal(
    store: ObjectStore,
    shard: int,
    host: str,
    writer: str,
    on_committed: OnCommitted,
) -> Result[Journal, Failure]:
    """Takes a shard over: from now on every earlier owner's commit fails.

    Args:
        store: The platform's objects.
        shard: Which shard.
        host: This host.
        writer: Incarnation of this process.
        on_committed: Called with every record, also those found in the
            journal, in the journal's order.

    Returns:
        The opened journal; CONFLICT when another host was faster.
    """
    outcome = await store.read(head_key(shard))
    if isinstance(outcome, Failed):
        return outcome
    stored = outcome.unwrap()
    version = stored.version if stored else MUST_NOT_EXIST
    found = (
        Head.model_validate_json(stored.value)
        if stored
        else Head(
            epoch=0,
            owner="",
            writer="",
            sequence=0,
            released=True,
            segments=(),
            tail=(),
        )
    )
    head = found.model_copy(
        update={
            "epoch": found.epoch + 1,
            "owner": host,
            # Two openings by one process must differ, or each would take
            # the other's writes for its own with a lost answer.
            "writer": f"{writer}-{uuid.uuid4().hex[:_NONCE_DIGITS]}",
            "released": False,
        }
    )
    taken = await _take(store, shard, head, version)
    if isinstance(taken, Failed):
        return taken
    # The segments are read after the head is ours: an earlier owner may
    # replace segments until then, and none may afterwards.
    loaded = await _load_segments(store, head)
    if isinstance(loaded, Failed):
        return loaded
    for record in (*loaded.unwrap(), *head.tail):
        on_committed(record)
    return Success(Journal(store, shard, head, taken.unwrap(), on_committed))


async def _take(
    store: ObjectStore, shard: int, head: Head, version: int
) -> Result[int, Failure]:
    value = head.model_dump_json().encode()
    outcome = await store.write(head_key(shard), value, version)
    if isinstance(outcome, Success):
        return outcome
    if outcome.failure().kind is not ErrorKind.WRITE_UNKNOWN:
        return outcome
    read = await store.read(head_key(shard))
    if isinstance(read, Failed):
        return read
    stored = read.unwrap()
    if stored is None or Head.model_validate_json(stored.value) != head:
        return Failed(Failure(ErrorKind.CONFLICT, f"shard {shard}"))
    return Success(stored.version)


async def _load_segments(
    store: ObjectStore, head: Head
) -> Result[list[Record], Failure]:
    loaded: list[Record] = []
    for key in head.segments:
        outcome = await store.read(key)
        if isinstance(outcome, Failed):
            return outcome
        stored = outcome.unwrap()
        if stored is None:
            detail = f"segment {key} is missing"
            return Failed(Failure(ErrorKind.INTERNAL, detail))
        loaded.extend(codec.decode(stored.value))
    return Success(loaded)


def _not_owner(shard: int) -> Failed[Failure]:
    return Failed(Failure(ErrorKind.NOT_OWNER, f"shard {shard}"))


def _unknown(shard: int) -> Failed[Failure]:
    return Failed(Failure(ErrorKind.WRITE_UNKNOWN, f"shard {shard}"))
