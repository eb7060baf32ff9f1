"""Parsing of command arguments."""

from collections.abc import Callable
from typing import Any, TypeVar

from fire import decorators, parser

from masticctl.errors import UsageError
from masticdale_config import DeclarationKey, Kind

CommandT = TypeVar("CommandT", bound=Callable[..., Any])


def arguments(*typed_names: str) -> Callable[[CommandT], CommandT]:
    """Makes Fire pass a command's arguments as strings.

    By default, Fire infers types and would turn the program id ``12e4`` into a
    number.

    Args:
        *typed_names: Names of arguments whose type Fire infers: numbers and
            flags.
    """

    def decorate(command: CommandT) -> CommandT:
        decorators.SetParseFn(str)(command)
        if typed_names:
            decorators.SetParseFn(parser.DefaultParseValue, *typed_names)(
                command
            )
        return command

    return decorate


def parse_key(text: str) -> DeclarationKey:
    """Parses ``KIND/NAME``; the kind is case-insensitive.

    Raises:
        UsageError: The text has another form or the kind is unknown.
    """
    kind_text, slash, name = text.partition("/")
    if not slash or not name:
        raise UsageError(
            f"{text!r} is not KIND/NAME",
            "write KIND/NAME, such as Workspace/tengri-trails.",
        )
    return DeclarationKey(parse_kind(kind_text), name)


def parse_kind(text: str) -> Kind:
    """Parses a kind, case-insensitively.

    Raises:
        UsageError: The kind is unknown.
    """
    for kind in Kind:
        if kind.lower() == text.lower():
            return kind
    known = ", ".join(Kind)
    raise UsageError(f"unknown kind {text!r}", f"kinds are {known}.")


def parse_number(text: object, name: str) -> int:
    """Parses a non-negative integer.

    Raises:
        UsageError: The text is not a non-negative integer.
    """
    try:
        number = int(str(text))
    except ValueError:
        number = -1
    if number < 0:
        raise UsageError(f"{name}: {text!r} is not a non-negative integer")
    return number


def parse_assignment(text: str) -> tuple[str, str]:
    """Splits ``PATH=VALUE``.

    Raises:
        UsageError: The ``=`` or the path is missing.
    """
    path, equals, value = text.partition("=")
    if not equals or not path:
        raise UsageError(
            f"{text!r} is not an assignment",
            "write PATH=VALUE, such as spec.weight=2.",
        )
    return path, value
