"""Queue of a journal's commits, from the callers to the platform."""

import asyncio
import dataclasses
from collections import deque
from collections.abc import Callable, Sequence

from returns.result import Failure as Failed
from returns.result import Result

from masticdale_common import ErrorKind, Failure
from masticdale_programs.copies import CopyEntry
from masticdale_programs.records import Record

# Maximum size in bytes of a commit and of the commits in one head write.
# Together with the tail it stays below the platform's object size limit.
BATCH_LIMIT_BYTES = 600_000
# Maximum backlog of one shard that waits for the platform, in bytes.
BACKLOG_LIMIT_BYTES = 4_000_000

OnCommitted = Callable[[Record], None]


@dataclasses.dataclass(slots=True, eq=False)
class PendingCommit:
    """Records of one caller that are not yet part of a batch.

    Attributes:
        records: The records.
        size: Encoded size in bytes.
        needs_platform: Whether copies are not enough to acknowledge them.
        done: Set to the outcome.
    """

    records: tuple[Record, ...]
    size: int
    needs_platform: bool
    done: asyncio.Future[Result[None, Failure]]


@dataclasses.dataclass(slots=True, eq=False)
class Batch:
    """One numbered commit of the journal that the platform may not have yet.

    Attributes:
        entry: Its sequence number and records.
        size: Encoded size in bytes.
        pending: The callers' commits that it combines.
        is_acknowledged: Whether the platform or both holders have it.
    """

    entry: CopyEntry
    size: int
    pending: list[PendingCommit]
    is_acknowledged: bool = False


class CommitQueue:
    """Combines callers' commits into numbered batches and reports outcomes.

    Attributes:
        last_sequence: Number of the newest batch.
        pending: Commits that are not part of a batch yet, oldest first.
        batches: The backlog: batches that the platform is not known to have,
            oldest first.
    """

    def __init__(self, last_sequence: int, on_committed: OnCommitted) -> None:
        self.last_sequence = last_sequence
        self.pending: list[PendingCommit] = []
        self.batches: deque[Batch] = deque()
        self._on_committed = on_committed

    @property
    def is_empty(self) -> bool:
        """Whether there are neither pending commits nor batches."""
        return not self.pending and not self.batches

    @property
    def backlog_bytes(self) -> int:
        """Encoded size of the backlog, in bytes."""
        return sum(batch.size for batch in self.batches)

    def add(
        self, records: Sequence[Record], size: int, needs_platform: bool
    ) -> asyncio.Future[Result[None, Failure]]:
        """Adds a pending commit; returns a future of its outcome."""
        done: asyncio.Future[Result[None, Failure]]
        done = asyncio.get_running_loop().create_future()
        self.pending.append(
            PendingCommit(tuple(records), size, needs_platform, done)
        )
        return done

    def batch_pending(self) -> None:
        """Combines pending commits into a batch, in their order."""
        self._create_batch(self.pending)

    def next_to_copy(self) -> Batch | None:
        """Returns the oldest unacknowledged batch; creates one if needed.

        Commits that need the platform are left out of a new batch. Once
        copied, they could no longer be reported as not written.
        """
        for batch in self.batches:
            if not batch.is_acknowledged:
                return batch
        copyable = [p for p in self.pending if not p.needs_platform]
        if not copyable or self.backlog_bytes > BACKLOG_LIMIT_BYTES:
            return None
        return self._create_batch(copyable)

    def oldest_batches(self) -> list[Batch]:
        """Returns the oldest batches that fit into one write."""
        taken: list[Batch] = []
        size = 0
        for batch in self.batches:
            size += batch.size
            if taken and size > BATCH_LIMIT_BYTES:
                break
            taken.append(batch)
        return taken

    def entries_up_to(self, batch: Batch) -> list[CopyEntry]:
        """Returns the entries of the backlog up to a batch."""
        return [
            each.entry
            for each in self.batches
            if each.entry.sequence <= batch.entry.sequence
        ]

    def acknowledge(self, batch: Batch, outcome: Result[None, Failure]) -> None:
        """Applies a batch to the state and resolves its callers' commits.

        Records are applied here, in journal order, so that the state always
        equals that of a replay.
        """
        if not batch.is_acknowledged:
            batch.is_acknowledged = True
            for record in batch.entry.records:
                self._on_committed(record)
        resolve(batch.pending, outcome)

    def drop_oldest(self) -> None:
        """Drops the oldest batch after the platform has stored it."""
        self.batches.popleft()

    def fail_pending(
        self, failed: Failed[Failure], only_needing_platform: bool = False
    ) -> None:
        """Fails pending commits; they have certainly not been written."""
        rejected = [
            p
            for p in self.pending
            if p.needs_platform or not only_needing_platform
        ]
        self.pending = [p for p in self.pending if p not in rejected]
        resolve(rejected, failed)

    def fail_batches(self, failed: Failed[Failure]) -> None:
        """Fails the commits in batches that have no outcome yet."""
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
    """Sets the outcome of those commits that do not have one yet."""
    for pending in waiting:
        if not pending.done.done():
            pending.done.set_result(outcome)


def not_owner(shard: int) -> Failed[Failure]:
    """Returns the failure of records that were certainly not written."""
    return Failed(Failure(ErrorKind.NOT_OWNER, f"shard {shard}"))


def write_unknown(shard: int) -> Failed[Failure]:
    """Returns the failure of records that may have been written."""
    return Failed(Failure(ErrorKind.WRITE_UNKNOWN, f"shard {shard}"))


def platform_unavailable() -> Failed[Failure]:
    """Returns the failure of records that need the platform."""
    return Failed(Failure(ErrorKind.PLATFORM_UNAVAILABLE))
