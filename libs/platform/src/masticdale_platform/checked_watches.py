"""Watches that are checked while they wait.

A watch whose connection or response was lost looks like one without changes
until its wait ends. Other calls to the store say nothing about it.
"""

import asyncio
import dataclasses
import random
from collections.abc import Callable, Mapping

from returns.result import Failure as Failed
from returns.result import Result

from masticdale_common import ErrorKind, Failure, Metrics, logs
from masticdale_platform.types import ObjectStore, WatchBatch

# How long a check waits for changes, in seconds.
_CHECK_WAIT_S = 0.01
# The largest duration of a check, in seconds, at which state still counts as
# confirmed in time. The store takes up to 0.4 s while it is slow.
_CHECK_DURATION_S = 0.5

# Receives the outcome of a check, and the event loop time at which it began.
CheckObserver = Callable[[Result[WatchBatch, Failure], float], None]


@dataclasses.dataclass(frozen=True, slots=True)
class CheckIntervals:
    """How often waiting watches are checked.

    Attributes:
        default_s: Largest interval of two checks of a watch, in seconds.
        by_prefix: The same for single prefixes.
    """

    default_s: float = 1.0
    by_prefix: Mapping[str, float] = dataclasses.field(default_factory=dict)

    def interval_s(self, prefix: str) -> float:
        """Returns the largest interval of two checks of a prefix."""
        return self.by_prefix.get(prefix, self.default_s)

    def max_age_s(self, prefix: str) -> float:
        """Returns the largest age of the state of a prefix that is watched."""
        return self.interval_s(prefix) + _CHECK_DURATION_S


class CheckedWatches:
    """Watches a store, and asks it again while a watch waits."""

    def __init__(
        self, store: ObjectStore, intervals: CheckIntervals, metrics: Metrics
    ) -> None:
        """Initializes the watches.

        Args:
            store: The store.
            intervals: How often to check.
            metrics: Counts the checks and the changes that watches missed.
        """
        self._store = store
        self._intervals = intervals
        self._metrics = metrics

    async def watch(
        self,
        prefix: str,
        position: int,
        wait_s: float,
        age_s: float,
        observer: CheckObserver,
    ) -> Result[WatchBatch, Failure]:
        """Watches a prefix; see ``ObjectStore.watch``.

        Args:
            prefix: Prefix of the watched keys.
            position: Position of the last batch; 0 for a snapshot.
            wait_s: Longest wait, in seconds.
            age_s: Seconds since the store was known to hold nothing newer than
                the last batch. The first check comes sooner if it is old.
            observer: Receives the outcome of each check that finds no change.

        Returns:
            The response of the watch, or that of a check which shows that the
            watch has missed changes or that it can't continue.
        """
        if not position or wait_s <= self._intervals.interval_s(prefix):
            return await self._store.watch(prefix, position, wait_s)
        waiting = asyncio.create_task(
            self._store.watch(prefix, position, wait_s)
        )
        checking = asyncio.create_task(
            self._check(prefix, position, age_s, observer)
        )
        try:
            await asyncio.wait(
                (waiting, checking), return_when=asyncio.FIRST_COMPLETED
            )
            if waiting.done():
                return waiting.result()
            self._metrics.count("watches_missed_total", prefix=prefix)
            logs.write("watch_missed_changes", prefix=prefix, position=position)
            return checking.result()
        finally:
            waiting.cancel()
            checking.cancel()

    async def _check(
        self,
        prefix: str,
        position: int,
        age_s: float,
        observer: CheckObserver,
    ) -> Result[WatchBatch, Failure]:
        """Returns what the watch should have returned, once there is any."""
        loop = asyncio.get_running_loop()
        interval_s = self._intervals.interval_s(prefix)
        pause_s = max(0.0, interval_s - age_s)
        while True:
            await asyncio.sleep(pause_s * random.uniform(0.8, 1.0))
            pause_s = interval_s
            began_at = loop.time()
            self._metrics.count("watch_checks_total", prefix=prefix)
            outcome = await self._store.watch(prefix, position, _CHECK_WAIT_S)
            if _is_news(outcome):
                return outcome
            observer(outcome, began_at)


def _is_news(outcome: Result[WatchBatch, Failure]) -> bool:
    if isinstance(outcome, Failed):
        return outcome.failure().kind is ErrorKind.HISTORY_GONE
    batch = outcome.unwrap()
    return bool(batch.changed or batch.deleted_keys)
