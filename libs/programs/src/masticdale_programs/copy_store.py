"""A copy holder's bounded in-memory store of other hosts' commits."""

import dataclasses

from returns.result import Failure as Failed
from returns.result import Result, Success

from masticdale_common import ErrorKind, Failure
from masticdale_programs import records as codec
from masticdale_programs.copies import CopyBatch, CopyEntry

DEFAULT_LIMIT_BYTES = 64_000_000


@dataclasses.dataclass(slots=True)
class _ShardCopies:
    """The copies of one shard.

    Attributes:
        epoch: Epoch of the owner that sent them.
        drained: Sequence number up to which the platform has every commit.
        entry_by_sequence: Later commits, without a gap.
        size_by_sequence: Their encoded sizes in bytes.
    """

    epoch: int
    drained: int
    entry_by_sequence: dict[int, CopyEntry] = dataclasses.field(
        default_factory=dict
    )
    size_by_sequence: dict[int, int] = dataclasses.field(default_factory=dict)

    @property
    def last_sequence(self) -> int:
        """Number of the newest commit that the holder or the platform has."""
        return max(self.entry_by_sequence, default=self.drained)


class CopyStore:
    """Stores copies of any number of shards up to a size limit in bytes."""

    def __init__(self, limit_bytes: int = DEFAULT_LIMIT_BYTES) -> None:
        self._limit_bytes = limit_bytes
        self._copies_by_shard: dict[int, _ShardCopies] = {}
        self._sealed_by_shard: dict[int, int] = {}

    @property
    def held_bytes(self) -> int:
        """Encoded size of all copies, in bytes."""
        return sum(
            size
            for copies in self._copies_by_shard.values()
            for size in copies.size_by_sequence.values()
        )

    def put(self, batch: CopyBatch) -> Result[None, Failure]:
        """Stores a batch and drops the commits that the platform has.

        Args:
            batch: The batch. Without entries it updates ``drained`` and
                checks that the holder has every commit up to ``after``.

        Returns:
            Success if every commit up to the end of the batch is stored;
            NOT_OWNER if a later epoch has sealed or written the shard;
            NOT_FOUND if earlier commits are missing, for example after a
            restart, so that the owner has to send every commit that is not
            drained; OVERLOADED if the store is full.
        """
        copies = self._copies_by_shard.get(batch.shard)
        newest_epoch = max(
            self._sealed_by_shard.get(batch.shard, 0),
            copies.epoch if copies else 0,
        )
        if batch.epoch < newest_epoch:
            return _failure(ErrorKind.NOT_OWNER, batch.shard)
        if copies is None or copies.epoch < batch.epoch:
            # A holder that lost its copies must not accept later commits
            # alone: a new owner would miss the acknowledged ones before.
            if batch.after != batch.drained:
                return _failure(ErrorKind.NOT_FOUND, batch.shard)
            copies = _ShardCopies(batch.epoch, batch.drained)
            self._copies_by_shard[batch.shard] = copies
        _drop_drained(copies, batch.drained)
        if batch.after > copies.last_sequence:
            return _failure(ErrorKind.NOT_FOUND, batch.shard)
        return self._add(copies, batch)

    def seal(self, shard: int, epoch: int) -> Result[CopyBatch, Failure]:
        """Fences earlier epochs and returns the copies.

        Args:
            shard: Number of the shard.
            epoch: Epoch of the new owner; batches of earlier epochs are
                rejected from now on.

        Returns:
            The copies with the epoch of the owner that sent them. NOT_FOUND
            if there are none; they may have been lost in a restart.
        """
        sealed = self._sealed_by_shard.get(shard, 0)
        self._sealed_by_shard[shard] = max(sealed, epoch)
        copies = self._copies_by_shard.get(shard)
        if copies is None:
            return _failure(ErrorKind.NOT_FOUND, shard)
        entries = copies.entry_by_sequence
        return Success(
            CopyBatch(
                shard,
                copies.epoch,
                copies.drained,
                copies.drained,
                tuple(entries[key] for key in sorted(entries)),
            )
        )

    def _add(
        self, copies: _ShardCopies, batch: CopyBatch
    ) -> Result[None, Failure]:
        added = [e for e in batch.entries if e.sequence > copies.last_sequence]
        sizes = [len(codec.encode(entry.records)) for entry in added]
        if added and self.held_bytes + sum(sizes) > self._limit_bytes:
            return _failure(ErrorKind.OVERLOADED, batch.shard)
        for entry, size in zip(added, sizes, strict=True):
            copies.entry_by_sequence[entry.sequence] = entry
            copies.size_by_sequence[entry.sequence] = size
        return Success(None)


def _drop_drained(copies: _ShardCopies, drained: int) -> None:
    copies.drained = max(copies.drained, drained)
    for sequence in list(copies.entry_by_sequence):
        if sequence <= copies.drained:
            del copies.entry_by_sequence[sequence]
            del copies.size_by_sequence[sequence]


def _failure(kind: ErrorKind, shard: int) -> Failed[Failure]:
    return Failed(Failure(kind, f"copies of shard {shard}"))
