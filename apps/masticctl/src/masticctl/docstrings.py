"""Parsing of Google-style docstrings."""

import dataclasses
import inspect
import re
import textwrap
from typing import Any


@dataclasses.dataclass(frozen=True, slots=True)
class Docstring:
    """A parsed docstring.

    Attributes:
        text: Text before the section.
        description_by_name: Entries of the section.
    """

    text: str
    description_by_name: dict[str, str]


def read_docstring(documented: Any, section: str = "Args") -> Docstring:
    """Parses the docstring of an object and one of its sections.

    Args:
        documented: Object that has the docstring.
        section: Title of the section to parse.
    """
    docstring = inspect.getdoc(documented) or ""
    text, _, entries = docstring.partition(f"{section}:\n")
    description_by_name: dict[str, str] = {}
    name = ""
    for line in textwrap.dedent(entries).splitlines():
        match = re.match(r"^\*?(\w+): (.*)", line)
        if match:
            name = match.group(1)
            description_by_name[name] = match.group(2)
        elif name and line.strip():
            description_by_name[name] += f" {line.strip()}"
    return Docstring(text.strip(), description_by_name)
