"""Chains in memory, so that most turns are continued without a read."""

import collections

from masticdale_history.records import Chain, TurnKey, TurnRecord

CACHE_BYTES = 4 << 20
# Size of a record's fields and of its places in the cache, besides its input
# and output; an estimate.
_RECORD_OVERHEAD_BYTES = 1_000


class ChainCache:
    """Least recently used chains by the key of their newest turn.

    Chains that begin with the same turns share these records, and each record
    counts once. So the entry of a turn may stay when the turn is continued,
    for other turns that continue it too.

    Attributes:
        size_bytes: Size of the cached records.
    """

    def __init__(self, capacity_bytes: int = CACHE_BYTES) -> None:
        self.size_bytes = 0
        self._capacity_bytes = capacity_bytes
        self._chain_by_key: collections.OrderedDict[TurnKey, Chain] = (
            collections.OrderedDict()
        )
        self._record_by_key: dict[TurnKey, TurnRecord] = {}
        self._uses_by_key: dict[TurnKey, int] = {}

    def __len__(self) -> int:
        return len(self._chain_by_key)

    def get(self, key: TurnKey, now_ms: int) -> Chain | None:
        """Returns a turn and all turns before it.

        Args:
            key: Key of the turn.
            now_ms: Wall-clock milliseconds.

        Returns:
            The chain; None if it is not cached or its newest turn is expired.
        """
        chain = self._chain_by_key.get(key)
        if chain is None:
            return None
        if chain.records[-1].expires_at_ms <= now_ms:
            self._remove(key)
            return None
        self._chain_by_key.move_to_end(key)
        return chain

    def put(self, chain: Chain) -> None:
        """Adds a chain; evicts others if the capacity is exceeded.

        A chain is not added if it is larger than the cache, or if it contains
        a turn that is cached with other content.
        """
        if not chain.records or _chain_bytes(chain) > self._capacity_bytes:
            return
        known = self._record_by_key
        if any(known.get(r.key, r) != r for r in chain.records):
            return
        key = chain.records[-1].key
        if key in self._chain_by_key:
            self._remove(key)
        records = tuple(self._share(record) for record in chain.records)
        self._chain_by_key[key] = Chain(records)
        while self.size_bytes > self._capacity_bytes:
            self._remove(next(iter(self._chain_by_key)))

    def _share(self, record: TurnRecord) -> TurnRecord:
        key = record.key
        known = self._record_by_key.setdefault(key, record)
        uses = self._uses_by_key.get(key, 0)
        self._uses_by_key[key] = uses + 1
        if not uses:
            self.size_bytes += _record_bytes(known)
        return known

    def _remove(self, key: TurnKey) -> None:
        for record in self._chain_by_key.pop(key).records:
            self._uses_by_key[record.key] -= 1
            if self._uses_by_key[record.key]:
                continue
            del self._uses_by_key[record.key]
            del self._record_by_key[record.key]
            self.size_bytes -= _record_bytes(record)


def _record_bytes(record: TurnRecord) -> int:
    return len(record.input) + len(record.output) + _RECORD_OVERHEAD_BYTES


def _chain_bytes(chain: Chain) -> int:
    return sum(_record_bytes(record) for record in chain.records)
