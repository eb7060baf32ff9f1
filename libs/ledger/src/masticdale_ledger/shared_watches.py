"""Serves the results of this host's store watches to other hosts.

Only a few hosts, the watch sources, watch the store; every other host follows
one of them. The load on the store then grows with the number of changes and not
with the number of hosts. Each follower makes about one call per second and
prefix to its watch source.
"""

import asyncio
import collections
import contextlib
import dataclasses

from returns.result import Failure as Failed
from returns.result import Result, Success

from masticdale_common import ErrorKind, Failure
from masticdale_platform import CheckIntervals, StoredObject, WatchBatch

# Deletions remembered for each prefix. A follower that is further behind gets a
# whole list.
_MAX_DELETIONS = 1_000
# Waits shorter than this, in seconds, would only spin.
_MIN_WAIT_S = 0.001


@dataclasses.dataclass(frozen=True, slots=True)
class _Deletion:
    """A deleted object, and the position of the batch that reported it."""

    position: int
    key: str


@dataclasses.dataclass(slots=True)
class _WatchedPrefix:
    """The state of one watched prefix.

    Attributes:
        position: The store position that the objects reflect.
        complete_since: Position from which on all deletions are known.
        confirmed_at: Event loop time, in seconds, at which the store was known
            to hold nothing newer.
        object_by_key: The objects under the prefix.
        deletions: The latest deletions, oldest first.
    """

    position: int = 0
    complete_since: int = 0
    confirmed_at: float = 0.0
    object_by_key: dict[str, StoredObject] = dataclasses.field(
        default_factory=dict
    )
    deletions: collections.deque[_Deletion] = dataclasses.field(
        default_factory=collections.deque
    )
    _batch_by_position: dict[int, WatchBatch] = dataclasses.field(
        default_factory=dict
    )

    def apply(self, batch: WatchBatch) -> None:
        """Applies a batch that continues this state."""
        for stored in batch.changed:
            self.object_by_key[stored.key] = stored
        for key in batch.deleted_keys:
            self.object_by_key.pop(key, None)
            self.deletions.append(_Deletion(batch.position, key))
        while len(self.deletions) > _MAX_DELETIONS:
            self.complete_since = self.deletions.popleft().position
        self.position = batch.position
        self._batch_by_position.clear()

    def confirm(self, age_s: float) -> None:
        """Records that the store held nothing newer some seconds ago."""
        now = asyncio.get_running_loop().time()
        self.confirmed_at = max(self.confirmed_at, now - age_s)

    def since(self, position: int) -> WatchBatch:
        """Returns what has changed since a position, or else a snapshot."""
        if position < self.complete_since:
            objects = tuple(self.object_by_key.values())
            return WatchBatch(self.position, objects, (), is_snapshot=True)
        # Most followers have the same position.
        batch = self._batch_by_position.get(position)
        if batch is None:
            batch = self._batch_by_position[position] = self._since(position)
        return batch

    def _since(self, position: int) -> WatchBatch:
        changed = tuple(
            stored
            for stored in self.object_by_key.values()
            if stored.version > position
        )
        deleted = dict.fromkeys(
            d.key
            for d in self.deletions
            if d.position > position and d.key not in self.object_by_key
        )
        return WatchBatch(
            self.position, changed, tuple(deleted), is_snapshot=False
        )


class SharedWatches:
    """The latest known state of each prefix that this host watches."""

    def __init__(self, check_intervals: CheckIntervals | None = None) -> None:
        """Initializes the state.

        Args:
            check_intervals: How often the watches are checked. State that was
                not confirmed for longer is not served.
        """
        self._check_intervals = check_intervals or CheckIntervals()
        self._state_by_prefix: dict[str, _WatchedPrefix] = {}
        self._is_store_unreachable = True
        self._changed = asyncio.Event()

    def apply(self, prefix: str, from_position: int, batch: WatchBatch) -> None:
        """Applies a batch that a watch of this host returned.

        Args:
            prefix: The watched prefix.
            from_position: The position at which the watch began.
            batch: The batch, read from the store or through another host.
        """
        state = self._state_by_prefix.get(prefix)
        if batch.is_snapshot:
            state = self._state_by_prefix[prefix] = _WatchedPrefix(
                complete_since=batch.position
            )
        elif state is None or state.position != from_position:
            # The changes in between are missing here. Followers that got the
            # newer position without them would never see them: they would go
            # on sending work to a replica that is leaving.
            self._state_by_prefix.pop(prefix, None)
            self._notify()
            return
        state.apply(batch)
        state.confirm(batch.age_s)
        self._notify()

    def confirm(self, prefix: str, position: int, age_s: float) -> None:
        """Records that the store holds nothing newer than a position.

        Args:
            prefix: The watched prefix.
            position: Position of the last batch.
            age_s: Seconds since this was so.
        """
        state = self._state_by_prefix.get(prefix)
        if state is not None and state.position == position:
            state.confirm(age_s)

    def mark_store_reachable(self) -> None:
        """Records that the store answers this host."""
        self._is_store_unreachable = False
        self._notify()

    def mark_store_unreachable(self) -> None:
        """Records that the store does not answer this host."""
        self._is_store_unreachable = True
        self._notify()

    async def wait_newer(
        self, prefix: str, position: int, wait_s: float
    ) -> Result[WatchBatch, Failure]:
        """Waits for a state newer than a position.

        Args:
            prefix: The watched prefix.
            position: The position that the follower has.
            wait_s: The longest wait, in seconds.

        Returns:
            The changes since the position, a snapshot if the position is too
            old for that, or an empty batch after the wait.

        Failures: NOT_FOUND if this host does not watch the prefix, or does not
        know that its state is recent; PLATFORM_UNAVAILABLE if the store does
        not answer this host either.
        """
        deadline = asyncio.get_running_loop().time() + wait_s
        while True:
            state = self._state_by_prefix.get(prefix)
            if state is None:
                return Failed(Failure(ErrorKind.NOT_FOUND, prefix))
            if self._is_store_unreachable:
                detail = "the watch source can't reach the store"
                failure = Failure(ErrorKind.PLATFORM_UNAVAILABLE, detail)
                return Failed(failure)
            # A follower of another source may already have a later position.
            now = asyncio.get_running_loop().time()
            age_s = now - state.confirmed_at
            recent_for_s = self._check_intervals.max_age_s(prefix) - age_s
            if recent_for_s < _MIN_WAIT_S:
                detail = f"{prefix} was not confirmed for {age_s:.1f} s"
                return Failed(Failure(ErrorKind.NOT_FOUND, detail))
            if state.position > position:
                newer = state.since(position)
                return Success(dataclasses.replace(newer, age_s=age_s))
            remaining_s = deadline - now
            if remaining_s <= 0:
                return Success(WatchBatch(position, (), (), False, age_s))
            changed = self._changed
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(min(remaining_s, recent_for_s)):
                    await changed.wait()

    def _notify(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()
