"""The prefix cache of a fake engine: limited tokens, least recently used."""

import collections
import dataclasses
from collections.abc import Callable

EvictionListener = Callable[[str, int, int], None]


@dataclasses.dataclass(slots=True)
class _Entry:
    tokens: int
    pins: int = 0


class PrefixCache:
    """Prefixes by key; the tail of the least recently used one goes first.

    A prefix in use is pinned. When only pinned ones are left the cache
    overflows: the engine is not modelled to swap running calls out.
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
        """Calls a listener with key, tokens left and tokens freed."""
        self._listeners.append(listener)

    def tokens(self, key: str) -> int:
        """Returns the tokens held."""
        entry = self._entry_by_key.get(key)
        return entry.tokens if entry else 0

    def pin(self, key: str) -> None:
        """Keeps a prefix until it is unpinned; creates it when absent."""
        self._entry_by_key.setdefault(key, _Entry(0)).pins += 1

    def unpin(self, key: str) -> None:
        """Lets a prefix be evicted again."""
        entry = self._entry_by_key.get(key)
        if entry is not None:
            entry.pins = max(0, entry.pins - 1)

    def store(self, key: str, tokens: int) -> None:
        """Stores a prefix, at least as long as before, as the latest used."""
        entry = self._entry_by_key.setdefault(key, _Entry(0))
        grown = max(0, tokens - entry.tokens)
        entry.tokens += grown
        self.used_tokens += grown
        self._entry_by_key.move_to_end(key)
        self._evict()

    def release(self, key: str) -> None:
        """Drops a prefix that is not in use."""
        entry = self._entry_by_key.get(key)
        if entry is None or entry.pins > 0:
            return
        del self._entry_by_key[key]
        self.used_tokens -= entry.tokens

    def clear(self) -> None:
        """Drops everything, as after a crash."""
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
