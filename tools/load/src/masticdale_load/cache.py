"""Bounded LRU prefix cache of a simulated engine."""

import collections
import dataclasses
from collections.abc import Callable

EvictionListener = Callable[[str, int, int], None]


@dataclasses.dataclass(slots=True)
class _Entry:
    tokens: int
    pins: int = 0


class PrefixCache:
    """Caches prefixes by key; evicts the tail of the least recently used.

    Prefixes in use are pinned. The cache may exceed its capacity when every
    prefix is pinned, because the model does not preempt running calls.
    """

    def __init__(self, capacity_tokens: int, interval: int = 1) -> None:
        self.capacity_tokens = capacity_tokens
        self.used_tokens = 0
        self._interval = max(1, interval)
        self._entry_by_key: collections.OrderedDict[str, _Entry] = (
            collections.OrderedDict()
        )
        self._listeners: list[EvictionListener] = []

    def listen(self, listener: EvictionListener) -> None:
        """Adds a listener for evictions: key, tokens left, tokens freed."""
        self._listeners.append(listener)

    def tokens(self, key: str) -> int:
        """Returns the number of cached tokens of a prefix."""
        entry = self._entry_by_key.get(key)
        return entry.tokens if entry else 0

    def pin(self, key: str) -> None:
        """Protects a prefix from eviction; creates it if absent."""
        self._entry_by_key.setdefault(key, _Entry(0)).pins += 1

    def unpin(self, key: str) -> None:
        """Removes one pin; an unpinned prefix may be evicted."""
        entry = self._entry_by_key.get(key)
        if entry is not None:
            entry.pins = max(0, entry.pins - 1)

    def store(self, key: str, tokens: int) -> None:
        """Stores a prefix as most recently used; never shortens it."""
        entry = self._entry_by_key.setdefault(key, _Entry(0))
        grown = max(0, tokens - entry.tokens)
        entry.tokens += grown
        self.used_tokens += grown
        self._entry_by_key.move_to_end(key)
        self._evict()

    def release(self, key: str) -> None:
        """Removes a prefix unless it is pinned."""
        entry = self._entry_by_key.get(key)
        if entry is None or entry.pins > 0:
            return
        del self._entry_by_key[key]
        self.used_tokens -= entry.tokens

    def clear(self) -> None:
        """Removes all prefixes, as a crash does."""
        self._entry_by_key.clear()
        self.used_tokens = 0

    def _evict(self) -> None:
        excess = self.used_tokens - self.capacity_tokens
        if excess <= 0:
            return
        for key in list(self._entry_by_key):
            entry = self._entry_by_key[key]
            if entry.pins > 0:
                continue
            excess -= self._shrink(key, entry, excess)
            if excess <= 0:
                return

    def _shrink(self, key: str, entry: _Entry, excess: int) -> int:
        remaining = max(0, entry.tokens - excess)
        remaining -= remaining % self._interval
        freed = entry.tokens - remaining
        entry.tokens = remaining
        self.used_tokens -= freed
        if remaining == 0:
            del self._entry_by_key[key]
        for listener in self._listeners:
            listener(key, remaining, freed)
        return freed
