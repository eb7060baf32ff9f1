"""A holder's copies of other hosts' shards, bounded, in memory."""

import dataclasses

from returns.result import Failure as Failed
from returns.result import Result, Success

from masticdale_common import ErrorKind, Failure
from masticdale_programs import records as codec
from masticdale_programs.copies import CopyBatch, CopyEntry

DEFAULT_LIMIT_BYTES = 64_000_000


@dataclasses.dataclass(slots=True)
class _ShardCopies:
    """What is held of one shard.

    Attributes:
        epoch: The owner's epoch.
        drained: The platform holds every commit up to this one.
        entry_by_sequence: Commits beyond it, without a gap.
        size_by_sequence: Their sizes in bytes.
    """

    epoch: int
    drained: int
    entry_by_sequence: dict[int, CopyEntry] = dataclasses.field(
        default_factory=dict
    )
    size_by_sequence: dict[int, int] = dataclasses.field(default_factory=dict)

    @property
    def last_sequence(self) -> int:
        """The newest commit that the holder or the platform has."""
        return max(self.entry_by_sequence, default=self.drained)


class CopyStore:
    """Holds copies of any number of shards up to a limit of bytes."""

    def __init__(self, limit_bytes: int = DEFAULT_LIMIT_BYTES) -> None:
        self._limit_bytes = limit_bytes
        self._copies_by_shard: dict[int, _ShardCopies] = {}
        self._sealed_by_shard: dict[int, int] = {}

    @property
    def held_bytes(self) -> int:
        """Size of everything held."""
        return sum(
            size
            for copies in self._copies_by_shard.values()
            for size in copies.size_by_sequence.values()
        )

    def put(self, batch: CopyBatch) -> Result[None, Failure]:
        """Holds a batch and drops what the platform has.

        Args:
            batch: Without entries it tells what is drained and asks whether
                the holder has everything up to ``after``.

        Returns:
            Success once everything up to the batch's end is held; NOT_OWNER
            when a later epoch sealed the shard; NOT_FOUND when commits before
            the batch are missing here, as after a restart: the owner then
            sends everything that is not drained; OVERLOADED when full.
        """
        copies = self._copies_by_shard.get(batch.shard)
        newest_epoch = max(
            self._sealed_by_shard.get(batch.shard, 0),
            copies.epoch if copies else 0,
        )
        if batch.epoch < newest_epoch:
            return _failure(ErrorKind.NOT_OWNER, batch.shard)
        if copies is None or copies.epoch < batch.epoch:
            # A holder that lost its copies must not begin in the middle: a
            # taker would miss what was acknowledged before.
            if batch.after != batch.drained:
                return _failure(ErrorKind.NOT_FOUND, batch.shard)
            copies = _ShardCopies(batch.epoch, batch.drained)
            self._copies_by_shard[batch.shard] = copies
        _drop_drained(copies, batch.drained)
        if batch.after > copies.last_sequence:
            return _failure(ErrorKind.NOT_FOUND, batch.shard)
        return self._add(copies, batch)

    def seal(self, shard: int, epoch: int) -> Result[CopyBatch, Failure]:
        """Refuses smaller epochs from now on and returns what is held.

        Args:
            shard: The shard.
            epoch: The taker's epoch.

        Returns:
            The copies with their owner's epoch; NOT_FOUND where nothing is
            known of the shard, which does not say that nothing was held.
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
