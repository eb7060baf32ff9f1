"""An asyncio event loop whose clock advances directly to the next timer.

Simulations run faster than real time and are deterministic for a given seed.
"""

import asyncio
import selectors
from collections.abc import Coroutine
from typing import Any, TypeVar

ValueT = TypeVar("ValueT")

_CLOCK_RESOLUTION_S = 1e-9


class _VirtualTimeSelector(selectors.SelectSelector):
    """Advances the virtual clock instead of blocking."""

    def __init__(self) -> None:
        super().__init__()
        self.now = 0.0

    def select(
        self, timeout: float | None = None
    ) -> list[tuple[selectors.SelectorKey, int]]:
        """Advances the clock by the timeout and returns no events.

        Raises:
            RuntimeError: No timer is scheduled, so no task can ever resume.
        """
        if timeout is None:
            raise RuntimeError("deadlock: all tasks wait and no timer is set")
        self.now += max(0.0, timeout)
        return []


class VirtualTimeLoop(asyncio.SelectorEventLoop):
    """An event loop with a virtual clock that starts at 0."""

    def __init__(self) -> None:
        self._selector_clock = _VirtualTimeSelector()
        super().__init__(self._selector_clock)
        self._clock_resolution = _CLOCK_RESOLUTION_S

    def time(self) -> float:
        """Returns the virtual time in seconds."""
        return self._selector_clock.now


def run(main: Coroutine[Any, Any, ValueT]) -> ValueT:
    """Runs a coroutine on a new virtual-time loop and returns its result."""
    with asyncio.Runner(loop_factory=VirtualTimeLoop) as runner:
        return runner.run(main)
