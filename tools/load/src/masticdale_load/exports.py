"""Exported prefixes, kept outside the engines in bounded memory."""

import collections


class ExportStore:
    """Exported tokens by cache key; the least recently used go first."""

    def __init__(self, capacity_tokens: int) -> None:
        self._capacity_tokens = capacity_tokens
        self._used_tokens = 0
        self._tokens_by_key: collections.OrderedDict[str, int] = (
            collections.OrderedDict()
        )

    def tokens(self, key: str) -> int:
        """Returns the tokens exported, 0 for none."""
        return self._tokens_by_key.get(key, 0)

    def put(self, key: str, tokens: int) -> None:
        """Stores a prefix, dropping others where there is no room."""
        self.drop(key)
        self._tokens_by_key[key] = tokens
        self._used_tokens += tokens
        while self._used_tokens > self._capacity_tokens:
            _, dropped = self._tokens_by_key.popitem(last=False)
            self._used_tokens -= dropped

    def drop(self, key: str) -> None:
        """Forgets a prefix."""
        self._used_tokens -= self._tokens_by_key.pop(key, 0)
