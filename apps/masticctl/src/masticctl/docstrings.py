"""Reading docstrings in the Google style."""

import dataclasses
import inspect
import re
import textwrap
from typing import Any


@dataclasses.dataclass(frozen=True, slots=True)
class Docstring:
    """A docstring.

    Attributes:
        text: What stands before the section.
        description_by_name: The section's entries.
    """

    text: str
    description_by_name: dict[str, str]


def read_docstring(documented: Any, section: str = "Args") -> Docstring:
    """Reads a docstring with one section of described names.

    Args:
        documented: Whatever has the docstring.
        section: Title of the section.
    """
    whole = inspect.getdoc(documented) or ""
    text, _, entries = whole.partition(f"{section}:\n")
    found: dict[str, str] = {}
    name = ""
    for line in textwrap.dedent(entries).splitlines():
        begun = re.match(r"^\*?(\w+): (.*)", line)
        if begun:
            name = begun.group(1)
            found[name] = begun.group(2)
        elif name and line.strip():
            found[name] += f" {line.strip()}"
    return Docstring(text.strip(), found)
