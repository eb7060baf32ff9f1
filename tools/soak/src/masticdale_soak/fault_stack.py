"""Faults of one kind on one target that overlap in time."""

from collections.abc import Callable
from typing import Generic, TypeVar

ValueT = TypeVar("ValueT")


class FaultStack(Generic[ValueT]):
    """Overlapping faults of one kind; the newest active one applies."""

    def __init__(
        self, default: ValueT, put_in_force: Callable[[ValueT], None]
    ) -> None:
        self._values = [default]
        self._apply = put_in_force

    def begin(self, value: ValueT) -> None:
        """Starts a fault."""
        self._values.append(value)
        self._apply(value)

    def end(self, value: ValueT) -> None:
        """Ends a fault; the newest one still active applies again."""
        self._values.remove(value)
        self._apply(self._values[-1])
