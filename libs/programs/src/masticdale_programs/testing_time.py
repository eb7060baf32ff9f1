"""An event loop whose clock jumps, for tests of long outages in no time."""

import asyncio
import selectors
from collections.abc import Coroutine
from typing import Any, TypeVar

ResultT = TypeVar("ResultT")


class _TimeSkippingSelector(selectors.DefaultSelector):
    """Skips each wait and tells by how much the clock has to jump."""

    def __init__(self) -> None:
        super().__init__()
        self.skipped_s = 0.0

    def select(
        self, timeout: float | None = None
    ) -> list[tuple[selectors.SelectorKey, int]]:
        """Returns at once."""
        if timeout is None:
            raise RuntimeError("every task waits and no timer runs")
        self.skipped_s += max(0.0, timeout)
        return super().select(0)


class TimeSkippingLoop(asyncio.SelectorEventLoop):
    """An event loop that never waits for its timers."""

    def __init__(self) -> None:
        self._time_selector = _TimeSkippingSelector()
        super().__init__(self._time_selector)

    def time(self) -> float:
        """Returns the sum of the waits that were skipped."""
        return self._time_selector.skipped_s


def run(work: Coroutine[Any, Any, ResultT]) -> ResultT:
    """Runs a coroutine on a loop of its own without real waits."""
    with asyncio.Runner(loop_factory=TimeSkippingLoop) as runner:
        return runner.run(work)
