"""State dumps: what a process holds, on request."""

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
Source = Callable[[], JsonValue]


class StateDump:
    """Collects the state of a process's parts by part name."""

    def __init__(self) -> None:
        self._source_by_part: dict[str, Source] = {}

    def register(self, part: str, source: Source) -> None:
        """Adds a part.

        Args:
            part: Name of the part in the dump.
            source: Returns the part's state as JSON values; no secrets.
        """
        self._source_by_part[part] = source

    def collect(self) -> dict[str, JsonValue]:
        """Returns the state of every part; one that fails says so."""
        collected: dict[str, JsonValue] = {}
        for part, source in self._source_by_part.items():
            try:
                collected[part] = source()
            except Exception as error:
                collected[part] = {"dump_failed": repr(error)}
        return collected
