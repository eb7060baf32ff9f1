"""Help pages, generated from the signatures and docstrings of commands."""

import dataclasses
import inspect
import textwrap
from collections.abc import Callable, Sequence
from typing import Any

from masticctl.commands import Commands
from masticctl.docstrings import Docstring, read_docstring
from masticctl.groups import Group

PROGRAM = "masticctl"
HELP_OPTIONS = frozenset({"--help", "-h"})
OPTION_BY_PARAMETER = {"from-template": "from"}
_WIDTH = 78
_INDENT = 2
_MAX_TERM = 24


@dataclasses.dataclass(frozen=True, slots=True)
class _Page:
    command_path: tuple[str, ...]
    component: Any


def wants_help(argv: Sequence[str]) -> bool:
    """Returns whether a command line requests help."""
    return not argv or not HELP_OPTIONS.isdisjoint(argv)


def render(argv: Sequence[str]) -> str:
    """Renders the help page of the command on a command line."""
    page = _find(argv)
    if isinstance(page.component, Commands | Group):
        return _group_page(page)
    return _command_page(page)


def usage(argv: Sequence[str]) -> str:
    """Returns the usage line of the command on a command line."""
    page = _find(argv)
    words = " ".join((PROGRAM, *page.command_path))
    if isinstance(page.component, Commands | Group):
        return f"Usage: {words} [OPTIONS] COMMAND [ARGS]..."
    arguments = [
        _argument(p) for p in _parameters(page.component) if _is_argument(p)
    ]
    return " ".join([f"Usage: {words} [OPTIONS]", *arguments])


def command_names() -> list[str]:
    """Returns the full names of all commands, sorted."""
    names: list[str] = []
    for name, member in _members(Commands()).items():
        if isinstance(member, Group):
            names += [f"{name} {inner}" for inner in _members(member)]
        else:
            names.append(name)
    return sorted(names)


def flags(argv: Sequence[str]) -> frozenset[str]:
    """Returns the flags (options without a value) of a command."""
    component = _find(argv).component
    if isinstance(component, Commands | Group):
        return frozenset()
    return frozenset(
        _option(parameter)
        for parameter in _parameters(component)
        if isinstance(parameter.default, bool)
    )


def _find(argv: Sequence[str]) -> _Page:
    component: Any = Commands()
    words: list[str] = []
    for word in argv:
        if not isinstance(component, Commands | Group):
            break
        found = _members(component).get(word)
        if found is not None:
            words.append(word)
            component = found
    return _Page(tuple(words), component)


def _members(component: Any) -> dict[str, Any]:
    names = [name for name in dir(component) if not name.startswith("_")]
    found = {name: getattr(component, name) for name in names}
    return {
        name: member
        for name, member in found.items()
        if inspect.ismethod(member) or isinstance(member, Group)
    }


def _group_page(page: _Page) -> str:
    described = read_docstring(page.component)
    sections = [usage(page.command_path), _paragraphs(described.text)]
    if isinstance(page.component, Commands):
        sections.append(_options_section(Commands.__init__))
    members = [
        (name, read_docstring(member).text.splitlines()[0])
        for name, member in sorted(_members(page.component).items())
    ]
    sections.append(f"Commands:\n{_definitions(members)}")
    words = " ".join((PROGRAM, *page.command_path))
    sections.append(f"'{words} COMMAND --help' describes a command.")
    return "\n\n".join(sections) + "\n"


def _command_page(page: _Page) -> str:
    described = read_docstring(page.component)
    sections = [usage(page.command_path), _paragraphs(described.text)]
    arguments = [
        (p.name.upper(), described.description_by_name.get(p.name, ""))
        for p in _parameters(page.component)
        if _is_argument(p)
    ]
    if arguments:
        sections.append(f"Arguments:\n{_definitions(arguments)}")
    sections.append(_options_section(page.component))
    sections.append(f"'{PROGRAM} --help' lists the options of every command.")
    return "\n\n".join(sections) + "\n"


def _options_section(command: Callable[..., Any]) -> str:
    described = read_docstring(command)
    rows = [
        (_option(p), _describe_option(p, described))
        for p in _parameters(command)
        if not _is_argument(p)
    ]
    rows.append(("--help", "Show this page."))
    return f"Options:\n{_definitions(rows)}"


def _parameters(command: Callable[..., Any]) -> list[inspect.Parameter]:
    found = inspect.signature(command).parameters.values()
    return [p for p in found if p.name != "self"]


def _is_argument(parameter: inspect.Parameter) -> bool:
    return parameter.kind is not parameter.KEYWORD_ONLY


def _argument(parameter: inspect.Parameter) -> str:
    name = parameter.name.upper()
    if parameter.kind is parameter.VAR_POSITIONAL:
        return f"[{name}]..."
    return name if parameter.default is parameter.empty else f"[{name}]"


def _option(parameter: inspect.Parameter) -> str:
    name = parameter.name.replace("_", "-")
    name = OPTION_BY_PARAMETER.get(name, name)
    if isinstance(parameter.default, bool):
        return f"--{name}"
    return f"--{name} {_value_name(parameter)}"


def _value_name(parameter: inspect.Parameter) -> str:
    is_number = isinstance(parameter.default, int | float)
    return "NUMBER" if is_number else "TEXT"


def _describe_option(parameter: inspect.Parameter, described: Docstring) -> str:
    text = described.description_by_name.get(parameter.name, "")
    if parameter.default is parameter.empty:
        return f"{text}  [required]"
    if parameter.default in ("", False):
        return text
    return f"{text}  [default: {parameter.default}]"


def _paragraphs(text: str) -> str:
    wrapped = [
        textwrap.fill(
            paragraph,
            _WIDTH,
            initial_indent=" " * _INDENT,
            subsequent_indent=" " * _INDENT,
        )
        for paragraph in text.split("\n\n")
    ]
    return "\n\n".join(wrapped)


def _definitions(rows: Sequence[tuple[str, str]]) -> str:
    width = min(_MAX_TERM, max(len(term) for term, _ in rows))
    lines = [_definition(term, text, width) for term, text in rows]
    return "\n".join(lines)


def _definition(term: str, text: str, width: int) -> str:
    column = width + 2 * _INDENT
    wrapped = textwrap.wrap(text, _WIDTH - column) or [""]
    first = f"{' ' * _INDENT}{term.ljust(width)}"
    if len(term) > width:
        lines = [first, f"{' ' * column}{wrapped[0]}"]
    else:
        lines = [f"{first}{' ' * _INDENT}{wrapped[0]}"]
    lines += [f"{' ' * column}{line}" for line in wrapped[1:]]
    return "\n".join(line.rstrip() for line in lines)
