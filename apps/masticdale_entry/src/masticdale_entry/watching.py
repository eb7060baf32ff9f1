"""Keeps consumers up to date with the store by watches."""

import asyncio
import dataclasses
import math
import random
from collections.abc import Awaitable, Callable

from returns.result import Failure as Failed

from masticdale_common import ErrorKind, logs
from masticdale_platform import ObjectStore, WatchBatch

# Exponential backoff after a failed watch, with jitter, since all hosts lose
# the store at the same moment.
_INITIAL_BACKOFF_S = 0.1
_MAX_BACKOFF_S = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class WatchTarget:
    """A prefix to watch and its consumer.

    Attributes:
        prefix: Prefix of the watched keys.
        wait_s: Maximum duration of one watch.
        apply: Called with each batch and whether it is the first one after an
            outage of the store.
        debounce_s: Pause after a batch of changes, so that a burst, as at the
            start of a fleet, takes few watches and not one for each change.
    """

    prefix: str
    wait_s: float
    apply: Callable[[WatchBatch, bool], None]
    debounce_s: float = 0.0


class Watcher:
    """Feeds one consumer with changes of the store."""

    def __init__(
        self,
        store: ObjectStore,
        target: WatchTarget,
        pause: Callable[[float], Awaitable[None]] = asyncio.sleep,
        last_outage_at: Callable[[], float] | None = None,
    ) -> None:
        """Creates a watcher; ``run`` starts it.

        Args:
            store: The store to watch.
            target: What to watch, and its consumer.
            pause: Sleeps for a number of seconds after a failed watch, or less
                if a retry may succeed sooner.
            last_outage_at: Returns the event loop time, in seconds, of the
                store's last outage. Without it each failed watch counts as one.
        """
        self._store = store
        self._target = target
        self._pause_after_failure = pause
        self._last_outage_at = last_outage_at
        self._position = 0
        self._has_failed = False
        self._succeeded_at = -math.inf
        self._backoff_s = _INITIAL_BACKOFF_S

    async def run(self) -> None:
        """Watches until cancelled."""
        while True:
            try:
                await self._step()
            except Exception as error:
                # Without its watch a consumer would go by old state until the
                # process ends, and nothing would show it.
                logs.write_bounded(
                    "watch_crashed",
                    prefix=self._target.prefix,
                    error=repr(error)[:300],
                )
                self._position = 0
                await self._back_off()

    async def _step(self) -> None:
        outcome = await self._store.watch(
            self._target.prefix, self._position, self._target.wait_s
        )
        if isinstance(outcome, Failed):
            failure = outcome.failure()
            if failure.kind is not ErrorKind.HISTORY_GONE:
                self._has_failed = True
            # A failing store may accept a watch from a position whose next
            # changes it has dropped; that watch would miss them. Restart from
            # a full list.
            failed_position, self._position = self._position, 0
            logs.write_bounded(
                "watch_failed",
                prefix=self._target.prefix,
                position=failed_position,
                reason=str(failure),
            )
            await self._back_off()
            return
        batch = outcome.unwrap()
        self._position = batch.position
        self._backoff_s = _INITIAL_BACKOFF_S
        after_outage = self._is_after_outage()
        self._has_failed = False
        self._succeeded_at = asyncio.get_running_loop().time()
        self._target.apply(batch, after_outage)
        if batch.changed or batch.deleted_keys:
            await asyncio.sleep(self._target.debounce_s)

    def _is_after_outage(self) -> bool:
        """Whether the store had an outage since the last batch.

        A watch may be cut at any time. What is missing from the list that is
        read next was then removed, and did not lapse in an outage.
        """
        if self._last_outage_at is None or not self._has_failed:
            return self._has_failed
        return self._last_outage_at() > self._succeeded_at

    async def _back_off(self) -> None:
        await self._pause_after_failure(
            self._backoff_s * random.uniform(0.5, 1.5)
        )
        self._backoff_s = min(_MAX_BACKOFF_S, 2 * self._backoff_s)
