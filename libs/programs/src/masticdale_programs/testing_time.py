"""An event loop that skips waiting, for tests of long timeouts."""

import asyncio
import selectors
from collections.abc import Coroutine
from typing import Any, TypeVar

ResultT = TypeVar("ResultT")


class _TimeSkippingSelector(selectors.DefaultSelector):
    """Returns from each wait at once and adds up the time skipped."""

    def __init__(self) -> None:
        super().__init__()
        self.skipped_s = 0.0

    def select(
        self, timeout: float | None = None
    ) -> list[tuple[selectors.SelectorKey, int]]:
        """Polls without waiting and advances the skipped time."""
        if timeout is None:
            raise RuntimeError("deadlock: tasks wait and no timer is pending")
        self.skipped_s += max(0.0, timeout)
        return super().select(0)


class TimeSkippingLoop(asyncio.SelectorEventLoop):
    """An event loop whose clock advances by the time it skips."""

    def __init__(self) -> None:
        self._time_selector = _TimeSkippingSelector()
        super().__init__(self._time_selector)

    def time(self) -> float:
        """Returns the total time skipped, in seconds."""
        return self._time_selector.skipped_s


def run(work: Coroutine[Any, Any, ResultT]) -> ResultT:
    """Runs a coroutine in a new time-skipping event loop."""
    with asyncio.Runner(loop_factory=TimeSkippingLoop) as runner:
        return runner.run(work)
