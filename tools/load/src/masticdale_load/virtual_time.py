"""An asyncio event loop whose clock jumps to the next timer.

An hour of load runs in seconds, and the same seed gives the same run.
"""

import asyncio
import selectors
from collections.abc import Coroutine
from typing import Any, TypeVar

ValueT = TypeVar("ValueT")

_CLOCK_RESOLUTION_S = 1e-9


class _VirtualTimeSelector(selectors.SelectSelector):
    """Advances the clock where a real selector would block."""

    def __init__(self) -> None:
        super().__init__()
        self.now = 0.0

    def select(
        self, timeout: float | None = None
    ) -> list[tuple[selectors.SelectorKey, int]]:
        """Returns no events at once.

        Raises:
            RuntimeError: Nothing is scheduled, so the run would never end.
        """
        if timeout is None:
            raise RuntimeError("every task waits and no timer is set")
        self.now += max(0.0, timeout)
        return []


class VirtualTimeLoop(asyncio.SelectorEventLoop):
    """An event loop on virtual seconds, from 0."""

    def __init__(self) -> None:
        self._selector_clock = _VirtualTimeSelector()
        super().__init__(self._selector_clock)
        self._clock_resolution = _CLOCK_RESOLUTION_S

    def time(self) -> float:
        """Returns the virtual seconds since the loop was made."""
        return self._selector_clock.now


def run(main: Coroutine[Any, Any, ValueT]) -> ValueT:
    """Runs a coroutine on a new virtual-time loop.

    Args:
        main: What to run.

    Returns:
        What the coroutine returned.
    """
    with asyncio.Runner(loop_factory=VirtualTimeLoop) as runner:
        return runner.run(main)
