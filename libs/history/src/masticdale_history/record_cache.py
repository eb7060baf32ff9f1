"""A cache of records, bounded by their size."""

import collections

from masticdale_history.records import TurnKey, TurnRecord

# Memory of a record besides its input and output, in bytes: its objects, its
# ids and its place in the cache.
_RECORD_OVERHEAD_BYTES = 800


class RecordCache:
    """Keeps the records that were used last."""

    def __init__(self, capacity_bytes: int) -> None:
        """Initializes an empty cache.

        Args:
            capacity_bytes: The most memory that it uses.
        """
        self._capacity_bytes = capacity_bytes
        self._size_bytes = 0
        self._record_by_key: collections.OrderedDict[TurnKey, TurnRecord] = (
            collections.OrderedDict()
        )

    def get(self, key: TurnKey) -> TurnRecord | None:
        """Returns a record; None if it is not cached."""
        record = self._record_by_key.get(key)
        if record is not None:
            self._record_by_key.move_to_end(key)
        return record

    def put(self, record: TurnRecord) -> None:
        """Adds a record, in place of those that were not used for longest."""
        self.discard(record.key)
        self._record_by_key[record.key] = record
        self._size_bytes += _size_bytes(record)
        while self._size_bytes > self._capacity_bytes:
            _, oldest = self._record_by_key.popitem(last=False)
            self._size_bytes -= _size_bytes(oldest)

    def discard(self, key: TurnKey) -> None:
        """Removes a record if it is cached."""
        record = self._record_by_key.pop(key, None)
        if record is not None:
            self._size_bytes -= _size_bytes(record)


def _size_bytes(record: TurnRecord) -> int:
    return len(record.input) + len(record.output) + _RECORD_OVERHEAD_BYTES
