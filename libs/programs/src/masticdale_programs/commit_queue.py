"""The commits of a shard's journal, from their callers to the platform."""

import asyncio
import dataclasses
from collections import deque
from collections.abc import Callable, Sequence

from returns.result import Failure as Failed
from returns.result import Result

from masticdale_common import ErrorKind, Failure
from masticdale_programs.copies import CopyEntry
from masticdale_programs.records import Record

# The most of one commit, in bytes: with the tail it stays below what the
# platform takes as one object.
BATCH_LIMIT_BYTES = 600_000
# The most of one shard that waits in memory for the platform, in bytes.
BACKLOG_LIMIT_BYTES = 4_000_000

OnCommitted = Callable[[Record], None]


@dataclasses.dataclass(slots=True, eq=False)
class PendingCommit:
    """Records that wait for one commit."""

    records: tuple[Record, ...]
    size: int
    needs_platform: bool
    done: asyncio.Future[Result[None, Failure]]


@dataclasses.dataclass(slots=True, eq=False)
class Batch:
    """One commit of the journal, from its number to the platform.

    Attributes:
        entry: Its number and records.
        size: Its size in bytes.
        pending: Who waits for it.
        is_acknowledged: Whether the platform or both holders have it.
    """

    entry: CopyEntry
    size: int
    pending: list[PendingCommit]
    is_acknowledged: bool = False


class CommitQueue:
    """Numbers what callers add, and tells them what became of it.

    Attributes:
        last_sequence: Number of the newest batch.
        pending: What has no number yet, oldest first.
        batches: What the platform isn't known to hold, oldest first.
    """

    def __init__(self, last_sequence: int, on_committed: OnCommitted) -> None:
        self.last_sequence = last_sequence
        self.pending: list[PendingCommit] = []
        self.batches: deque[Batch] = deque()
        self._on_committed = on_committed

    @property
    def is_empty(self) -> bool:
        """Whether nothing waits."""
        return not self.pending and not self.batches

    @property
    def backlog_bytes(self) -> int:
        """Size of what is not yet known to be in the platform."""
        return sum(batch.size for batch in self.batches)

    def add(
        self, records: Sequence[Record], size: int, needs_platform: bool
    ) -> asyncio.Future[Result[None, Failure]]:
        """Adds records; the future is done once their fate is known."""
        done: asyncio.Future[Result[None, Failure]]
        done = asyncio.get_running_loop().create_future()
        self.pending.append(
            PendingCommit(tuple(records), size, needs_platform, done)
        )
        return done

    def batch_pending(self) -> None:
        """Makes a batch of what waits, in its order."""
        self._create_batch(self.pending)

    def next_to_copy(self) -> Batch | None:
        """Returns the oldest batch that nobody has acknowledged.

        What needs the platform gets no number here: it would be copied, and
        its caller could then not be told that it has not been written.
        """
        for batch in self.batches:
            if not batch.is_acknowledged:
                return batch
        copied = [p for p in self.pending if not p.needs_platform]
        if not copied or self.backlog_bytes > BACKLOG_LIMIT_BYTES:
            return None
        return self._create_batch(copied)

    def oldest_batches(self) -> list[Batch]:
        """Returns the oldest batches, as many as fit into one write."""
        taken: list[Batch] = []
        size = 0
        for batch in self.batches:
            size += batch.size
            if taken and size > BATCH_LIMIT_BYTES:
                break
            taken.append(batch)
        return taken

    def entries_up_to(self, batch: Batch) -> list[CopyEntry]:
        """Returns the numbered commits up to one of them."""
        return [
            each.entry
            for each in self.batches
            if each.entry.sequence <= batch.entry.sequence
        ]

    def acknowledge(self, batch: Batch, outcome: Result[None, Failure]) -> None:
        """Applies a batch and tells who waits for it.

        Applied here, in the journal's order, so that memory never differs
        from what a replay of the journal would build.
        """
        if not batch.is_acknowledged:
            batch.is_acknowledged = True
            for record in batch.entry.records:
                self._on_committed(record)
        resolve(batch.pending, outcome)

    def drop_oldest(self) -> None:
        """Forgets the oldest batch: the platform holds it."""
        self.batches.popleft()

    def fail_pending(
        self, failed: Failed[Failure], only_needing_platform: bool = False
    ) -> None:
        """Refuses what has no number yet: it is surely not written."""
        refused = [
            p
            for p in self.pending
            if p.needs_platform or not only_needing_platform
        ]
        self.pending = [p for p in self.pending if p not in refused]
        resolve(refused, failed)

    def fail_batches(self, failed: Failed[Failure]) -> None:
        """Tells who waits for a number's fate that nobody knows it."""
        for batch in self.batches:
            resolve(batch.pending, failed)

    def _create_batch(self, waiting: Sequence[PendingCommit]) -> Batch:
        taken: list[PendingCommit] = []
        size = 0
        for pending in waiting:
            size += pending.size
            if taken and size > BATCH_LIMIT_BYTES:
                break
            taken.append(pending)
        self.pending = [p for p in self.pending if p not in taken]
        self.last_sequence += 1
        records = tuple(r for pending in taken for r in pending.records)
        entry = CopyEntry(self.last_sequence, records)
        batch = Batch(entry, sum(p.size for p in taken), taken)
        self.batches.append(batch)
        return batch


def resolve(
    waiting: Sequence[PendingCommit], outcome: Result[None, Failure]
) -> None:
    """Tells callers what became of their records, those not told before."""
    for pending in waiting:
        if not pending.done.done():
            pending.done.set_result(outcome)


def not_owner(shard: int) -> Failed[Failure]:
    """Returns the failure of records that were surely not written."""
    return Failed(Failure(ErrorKind.NOT_OWNER, f"shard {shard}"))


def write_unknown(shard: int) -> Failed[Failure]:
    """Returns the failure of records that the next owner may find."""
    return Failed(Failure(ErrorKind.WRITE_UNKNOWN, f"shard {shard}"))


def platform_unavailable() -> Failed[Failure]:
    """Returns the failure of records that need the platform."""
    return Failed(Failure(ErrorKind.PLATFORM_UNAVAILABLE))
