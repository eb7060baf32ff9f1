"""A heap with removal by id in amortized logarithmic time."""

import heapq
import itertools
from typing import Any, Generic, TypeVar

KeyT = TypeVar("KeyT", bound=Any)

_COMPACTION_SLACK = 32


class LazyHeap(Generic[KeyT]):
    """A min-heap of ids with lazy deletion; equal keys keep insertion order."""

    def __init__(self) -> None:
        self._entries: list[tuple[KeyT, int, str]] = []
        self._order_by_id: dict[str, int] = {}
        self._counter = itertools.count()

    def __len__(self) -> int:
        return len(self._order_by_id)

    def __contains__(self, item_id: str) -> bool:
        return item_id in self._order_by_id

    def push(self, item_id: str, key: KeyT) -> None:
        """Adds an id or changes its key."""
        order = next(self._counter)
        self._order_by_id[item_id] = order
        heapq.heappush(self._entries, (key, order, item_id))
        self._compact()

    def discard(self, item_id: str) -> None:
        """Removes an id if present."""
        if self._order_by_id.pop(item_id, None) is not None:
            self._compact()

    def peek(self) -> tuple[KeyT, str] | None:
        """Returns the smallest key and its id, or None if empty."""
        while self._entries:
            key, order, item_id = self._entries[0]
            if self._order_by_id.get(item_id) == order:
                return key, item_id
            heapq.heappop(self._entries)
        return None

    def _compact(self) -> None:
        # Removed entries stay in the list until they reach the top. Without
        # compaction, repeated pushes and removals would grow it without bound.
        if len(self._entries) <= 2 * len(self._order_by_id) + _COMPACTION_SLACK:
            return
        self._entries = [
            entry
            for entry in self._entries
            if self._order_by_id.get(entry[2]) == entry[1]
        ]
        heapq.heapify(self._entries)
