"""A timer service that parts of a process subscribe to."""

import asyncio
import dataclasses
import random
import time
from collections.abc import Awaitable, Callable

from masticdale_common import logs

Callback = Callable[[], Awaitable[None]]

_JITTER_SHARE = 0.1


@dataclasses.dataclass(frozen=True, slots=True)
class Subscription:
    """A periodic callback.

    Attributes:
        name: Shown in state dumps and logs.
        period_s: Seconds between calls.
        callback: Called again and again; an exception is logged, not raised.
    """

    name: str
    period_s: float
    callback: Callback


class TimerService:
    """Runs subscribed callbacks periodically, one task each."""

    def __init__(self, seed: int | None = None) -> None:
        self._random = random.Random(seed)
        self._task_by_name: dict[str, asyncio.Task[None]] = {}

    def now(self) -> float:
        """Returns monotonic seconds."""
        return time.monotonic()

    def wall_ms(self) -> int:
        """Returns wall clock milliseconds since the epoch."""
        return time.time_ns() // 1_000_000

    def subscribe(self, subscription: Subscription) -> None:
        """Starts calling the subscription's callback.

        Args:
            subscription: What to call and how often; its name replaces an
                earlier one of the same name.
        """
        self.unsubscribe(subscription.name)
        self._task_by_name[subscription.name] = asyncio.create_task(
            self._run(subscription), name=f"timer-{subscription.name}"
        )

    def unsubscribe(self, name: str) -> None:
        """Stops the named subscription, if there is one."""
        task = self._task_by_name.pop(name, None)
        if task is not None:
            task.cancel()

    def names(self) -> list[str]:
        """Returns the names of the running subscriptions."""
        return sorted(self._task_by_name)

    async def close(self) -> None:
        """Stops every subscription and waits for their tasks."""
        tasks = list(self._task_by_name.values())
        self._task_by_name.clear()
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    async def _run(self, subscription: Subscription) -> None:
        while True:
            # Without jitter all hosts restarted together would call their
            # peers in the same instant for ever.
            jitter = self._random.uniform(-_JITTER_SHARE, _JITTER_SHARE)
            await asyncio.sleep(subscription.period_s * (1 + jitter))
            try:
                await subscription.callback()
            except Exception as error:
                logs.write(
                    "timer_failed", timer=subscription.name, error=repr(error)
                )
