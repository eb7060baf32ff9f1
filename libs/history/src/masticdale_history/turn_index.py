"""The index of the records on a disk. No I/O."""

import collections
import dataclasses
import heapq
from collections.abc import Iterator

from masticdale_history.records import TurnKey
from masticdale_history.segments import Position

# A record is kept this much longer, in milliseconds, so that it is never
# dropped early: the clocks of the writer and of the disk may step by 2 s in
# opposite directions, a turn's end is taken before its save of up to 2 s, and
# calls may take 1 s.
CLOCK_MARGIN_MS = 7_000


@dataclasses.dataclass(frozen=True, slots=True)
class TurnEntry:
    """A record on the disk, without its contents.

    Attributes:
        key: Key of the turn.
        previous_key: The turn that it continues; None at the start of a chain.
        chain_key: Key that selects the hosts of the whole chain.
        size_bytes: Its size on the disk.
        expires_at_ms: Wall-clock milliseconds from which on it need not be
            kept for its own sake; turns that continue it may keep it longer.
    """

    key: TurnKey
    previous_key: TurnKey | None
    chain_key: str
    size_bytes: int
    expires_at_ms: int


@dataclasses.dataclass(slots=True)
class IndexedTurn:
    """A record in the index.

    Attributes:
        entry: What others see of it.
        checksum: Checksum of its contents.
        position: Where it is on the disk.
        kept_until_ms: The latest expiry of it and all turns that continue it.
    """

    entry: TurnEntry
    checksum: int
    position: Position
    kept_until_ms: int


class TurnIndex:
    """Finds records by key, and holds the previous turns of each of them."""

    def __init__(self) -> None:
        self._turn_by_key: dict[TurnKey, IndexedTurn] = {}
        # A turn's expiry is later than in its heap item once it is continued;
        # the item is then put back with the later one.
        self._expiry_heap: list[tuple[int, int, IndexedTurn]] = []
        self._sequence = 0
        self._live_bytes_by_segment: collections.Counter[int] = (
            collections.Counter()
        )

    def __len__(self) -> int:
        return len(self._turn_by_key)

    def __contains__(self, key: TurnKey) -> bool:
        return key in self._turn_by_key

    def get(self, key: TurnKey) -> IndexedTurn | None:
        """Returns a record; None if it is not held."""
        return self._turn_by_key.get(key)

    def turns(self) -> Iterator[IndexedTurn]:
        """Returns all records in any order."""
        return iter(self._turn_by_key.values())

    def add(self, turn: IndexedTurn) -> None:
        """Adds a record, whose previous turn must be held."""
        self._turn_by_key[turn.entry.key] = turn
        position = turn.position
        self._live_bytes_by_segment[position.segment] += position.size_bytes
        self._push(turn)
        self._keep_previous(turn)

    def load(self, turns: dict[TurnKey, IndexedTurn]) -> list[IndexedTurn]:
        """Adds the records of a scan, in whose order a turn may come later.

        Returns:
            The records that were left out because the index would not hold the
            whole chain.
        """
        orphans = []
        for turn in turns.values():
            missing = self._missing_chain(turn, turns)
            if missing is None:
                orphans.append(turn)
                continue
            for ancestor in reversed(missing):
                self.add(ancestor)
        return orphans

    def chain(self, turn: IndexedTurn) -> list[IndexedTurn]:
        """Returns a record and all before it, oldest first."""
        turns = [turn]
        previous_key = turn.entry.previous_key
        while previous_key is not None:
            previous = self._turn_by_key[previous_key]
            turns.append(previous)
            previous_key = previous.entry.previous_key
        turns.reverse()
        return turns

    def drop_expired(self, now_ms: int) -> list[TurnKey]:
        """Drops expired records; returns their keys.

        A record expires once neither it nor any turn that continues it ended
        less than its retention and the clock margin ago.

        A turn is kept at least as long as those that continue it, so the
        chains of the remaining records stay whole.
        """
        limit_ms = now_ms - CLOCK_MARGIN_MS
        dropped = []
        heap = self._expiry_heap
        while heap and heap[0][0] <= limit_ms:
            turn = heapq.heappop(heap)[2]
            if turn.kept_until_ms > limit_ms:
                self._push(turn)
                continue
            position = turn.position
            self._live_bytes_by_segment[position.segment] -= position.size_bytes
            del self._turn_by_key[turn.entry.key]
            dropped.append(turn.entry.key)
        return dropped

    def live_bytes(self, segment: int) -> int:
        """Returns the size of the records that are kept in a segment."""
        return self._live_bytes_by_segment[segment]

    def turns_in(self, segment: int) -> list[IndexedTurn]:
        """Returns the records that are kept in a segment."""
        return [
            turn
            for turn in self._turn_by_key.values()
            if turn.position.segment == segment
        ]

    def move(self, turn: IndexedTurn, position: Position) -> None:
        """Notes that a record is now at another position."""
        old = turn.position
        self._live_bytes_by_segment[old.segment] -= old.size_bytes
        self._live_bytes_by_segment[position.segment] += position.size_bytes
        turn.position = position

    def forget_segment(self, segment: int) -> None:
        """Forgets a segment that was deleted."""
        del self._live_bytes_by_segment[segment]

    def _push(self, turn: IndexedTurn) -> None:
        self._sequence += 1
        item = (turn.kept_until_ms, self._sequence, turn)
        heapq.heappush(self._expiry_heap, item)

    def _keep_previous(self, turn: IndexedTurn) -> None:
        previous_key = turn.entry.previous_key
        while previous_key is not None:
            previous = self._turn_by_key[previous_key]
            if previous.kept_until_ms >= turn.kept_until_ms:
                return
            previous.kept_until_ms = turn.kept_until_ms
            previous_key = previous.entry.previous_key

    def _missing_chain(
        self, turn: IndexedTurn, turns: dict[TurnKey, IndexedTurn]
    ) -> list[IndexedTurn] | None:
        """Returns a turn and those before it that the index lacks.

        The newest comes first. None if one of them is not among the turns.
        """
        missing: dict[TurnKey, IndexedTurn] = {}
        key: TurnKey | None = turn.entry.key
        while key is not None and key not in self._turn_by_key:
            previous = turns.get(key)
            if previous is None or key in missing:
                return None
            missing[key] = previous
            key = previous.entry.previous_key
        return list(missing.values())
