"""Dumps of a process's internal state, collected on request."""

from collections.abc import Callable, Mapping

JsonValue = (
    None
    | bool
    | int
    | float
    | str
    | list["JsonValue"]
    | Mapping[str, "JsonValue"]
)
StateSource = Callable[[], JsonValue]


class StateDump:
    """Collects the state of a process's components by section name."""

    def __init__(self) -> None:
        self._source_by_section: dict[str, StateSource] = {}

    def register(self, section: str, source: StateSource) -> None:
        """Adds a section.

        Args:
            section: Name of the section in the dump.
            source: Returns the section's state as JSON values, without
                secrets.
        """
        self._source_by_section[section] = source

    def collect(self) -> dict[str, JsonValue]:
        """Returns the state of every section.

        A section whose source raises holds the error as ``dump_failed``.
        """
        collected: dict[str, JsonValue] = {}
        for section, source in self._source_by_section.items():
            try:
                collected[section] = source()
            except Exception as error:
                collected[section] = {"dump_failed": repr(error)}
        return collected
