"""Periodic timers for the components of a process."""

import asyncio
import dataclasses
import random
import time
from collections.abc import Awaitable, Callable

from masticdale_common import logs

Callback = Callable[[], Awaitable[None]]

_JITTER_RATIO = 0.1


@dataclasses.dataclass(frozen=True, slots=True)
class Subscription:
    """A periodic callback.

    Attributes:
        name: Name in state dumps and logs.
        period_s: Seconds between calls.
        callback: Awaited once per period; its exceptions are logged.
    """

    name: str
    period_s: float
    callback: Callback


class TimerService:
    """Runs each subscription in a task of its own."""

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
        """Starts a subscription.

        Args:
            subscription: Callback and period; replaces a running subscription
                of the same name.
        """
        self.unsubscribe(subscription.name)
        self._task_by_name[subscription.name] = asyncio.create_task(
            self._run(subscription), name=f"timer-{subscription.name}"
        )

    def unsubscribe(self, name: str) -> None:
        """Stops a subscription if it is running."""
        task = self._task_by_name.pop(name, None)
        if task is not None:
            task.cancel()

    def names(self) -> list[str]:
        """Returns the names of the running subscriptions."""
        return sorted(self._task_by_name)

    async def close(self) -> None:
        """Stops all subscriptions and waits for their tasks to end."""
        tasks = list(self._task_by_name.values())
        self._task_by_name.clear()
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    async def _run(self, subscription: Subscription) -> None:
        while True:
            # Without jitter, hosts that restart together would call their
            # peers at the same instants for as long as they run.
            jitter = self._random.uniform(-_JITTER_RATIO, _JITTER_RATIO)
            await asyncio.sleep(subscription.period_s * (1 + jitter))
            try:
                await subscription.callback()
            except Exception as error:
                logs.write(
                    "timer_failed", timer=subscription.name, error=repr(error)
                )
