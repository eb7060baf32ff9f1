"""Bounded store of exported prefixes, outside the engines."""

import collections


class ExportStore:
    """Stores exported tokens by key; evicts the least recently used."""

    def __init__(self, capacity_tokens: int) -> None:
        self._capacity_tokens = capacity_tokens
        self._used_tokens = 0
        self._tokens_by_key: collections.OrderedDict[str, int] = (
            collections.OrderedDict()
        )

    def tokens(self, key: str) -> int:
        """Returns the number of exported tokens; 0 for an unknown key."""
        return self._tokens_by_key.get(key, 0)

    def put(self, key: str, tokens: int) -> None:
        """Stores a prefix and evicts others beyond the capacity."""
        self.drop(key)
        self._tokens_by_key[key] = tokens
        self._used_tokens += tokens
        while self._used_tokens > self._capacity_tokens:
            _, dropped = self._tokens_by_key.popitem(last=False)
            self._used_tokens -= dropped

    def drop(self, key: str) -> None:
        """Removes a prefix if present."""
        self._used_tokens -= self._tokens_by_key.pop(key, 0)
