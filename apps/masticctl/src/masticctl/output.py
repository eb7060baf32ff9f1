"""Output of results as tables or JSON."""

import dataclasses
import enum
import sys
from collections.abc import Iterable, Sequence
from typing import Any, Protocol

import orjson
import pydantic

_GAP = "  "


class OutputFormat(enum.StrEnum):
    """Format of results."""

    TABLE = "table"
    JSON = "json"


class Writer(Protocol):
    """Text stream."""

    def write(self, text: str, /) -> Any:
        """Writes text."""
        ...


@dataclasses.dataclass(frozen=True, slots=True)
class Table:
    """Rows under headers.

    Attributes:
        headers: Column headers.
        rows: Cells of each row, one for each header.
        empty: Text shown when there are no rows.
    """

    headers: tuple[str, ...]
    rows: tuple[tuple[str, ...], ...]
    empty: str = "nothing"


class Output:
    """Writes results in the chosen format."""

    def __init__(
        self,
        output_format: OutputFormat,
        out: Writer | None = None,
        err: Writer | None = None,
    ) -> None:
        self._format = output_format
        self._out = out or sys.stdout
        self._err = err or sys.stderr

    @property
    def is_json(self) -> bool:
        """Whether results are written as JSON."""
        return self._format is OutputFormat.JSON

    def show(self, value: object, text: str | Table) -> None:
        """Writes one result.

        Args:
            value: Result that is serialized in JSON format.
            text: Text or table that is written in table format.
        """
        if self.is_json:
            self.text(to_json(value))
            return
        self.text(format_table(text) if isinstance(text, Table) else text)

    def text(self, text: str) -> None:
        """Writes text to standard output."""
        self._out.write(text if text.endswith("\n") else f"{text}\n")

    def note(self, text: str) -> None:
        """Writes a message to standard error, apart from results."""
        self._err.write(f"{text}\n")


def to_json(value: object) -> str:
    """Serializes a value as indented JSON."""
    encoded = orjson.dumps(
        value,
        default=_encode,
        option=orjson.OPT_INDENT_2 | orjson.OPT_APPEND_NEWLINE,
    )
    return encoded.decode()


def format_table(table: Table) -> str:
    """Formats a table with aligned columns."""
    if not table.rows:
        return f"{table.empty}\n"
    lines = [table.headers, *table.rows]
    widths = [max(len(line[i]) for line in lines) for i in _columns(table)]
    return "".join(f"{_format_row(line, widths)}\n" for line in lines)


def join(values: Iterable[str], limit: int = 4) -> str:
    """Joins the first values with commas and counts the rest."""
    items = list(values)
    shown = ", ".join(items[:limit])
    hidden = len(items) - limit
    return f"{shown} and {hidden} more" if hidden > 0 else shown


def _columns(table: Table) -> range:
    return range(len(table.headers))


def _format_row(cells: Sequence[str], widths: Sequence[int]) -> str:
    padded = [c.ljust(w) for c, w in zip(cells, widths, strict=True)]
    return _GAP.join(padded).rstrip()


def _encode(value: object) -> Any:
    if isinstance(value, pydantic.BaseModel):
        return value.model_dump(mode="json", exclude_defaults=True)
    raise TypeError(f"cannot serialize {type(value)} as JSON")
