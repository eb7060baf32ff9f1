"""Faults of one kind at one place that overlap in time."""

from collections.abc import Callable
from typing import Generic, TypeVar

ValueT = TypeVar("ValueT")


class Layers(Generic[ValueT]):
    """Faults of one kind that overlap: the newest that lasts is in force."""

    def __init__(
        self, sound: ValueT, put_in_force: Callable[[ValueT], None]
    ) -> None:
        self._values = [sound]
        self._put_in_force = put_in_force

    def begin(self, value: ValueT) -> None:
        """Puts a fault in force."""
        self._values.append(value)
        self._put_in_force(value)

    def end(self, value: ValueT) -> None:
        """Ends a fault; one that began before and lasts is in force again."""
        self._values.remove(value)
        self._put_in_force(self._values[-1])
