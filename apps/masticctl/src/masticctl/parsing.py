"""How fire reads the arguments of commands."""

from collections.abc import Callable
from typing import Any, TypeVar

from fire import decorators, parser

from masticctl.errors import UsageError
from masticdale_config import DeclarationKey, Kind

CommandT = TypeVar("CommandT", bound=Callable[..., Any])


def arguments(*typed: str) -> Callable[[CommandT], CommandT]:
    """Reads a command's arguments as text, as they stand.

    Fire guesses types: the program id ``12e4`` would become a number.

    Args:
        *typed: Names of the arguments that are numbers or flags.
    """

    def decorate(command: CommandT) -> CommandT:
        decorators.SetParseFn(str)(command)
        if typed:
            decorators.SetParseFn(parser.DefaultParseValue, *typed)(command)
        return command

    return decorate


def parse_key(text: str) -> DeclarationKey:
    """Reads ``KIND/NAME``; the kind's letter case does not matter.

    Raises:
        UsageError: It is neither.
    """
    kind_text, slash, name = text.partition("/")
    if not slash or not name:
        raise UsageError(
            f"{text!r} names no declaration",
            "write KIND/NAME, such as Workspace/tengri-trails.",
        )
    return DeclarationKey(parse_kind(kind_text), name)


def parse_kind(text: str) -> Kind:
    """Reads a kind.

    Raises:
        UsageError: There is no such kind.
    """
    for kind in Kind:
        if kind.lower() == text.lower():
            return kind
    known = ", ".join(Kind)
    raise UsageError(f"there is no kind {text!r}", f"kinds are {known}.")


def parse_number(text: object, name: str) -> int:
    """Reads a whole number of at least 0.

    Raises:
        UsageError: It is none.
    """
    try:
        number = int(str(text))
    except ValueError:
        number = -1
    if number < 0:
        raise UsageError(f"{name}: {text!r} is no whole number of at least 0")
    return number


def parse_assignment(text: str) -> tuple[str, str]:
    """Splits ``PATH=VALUE``.

    Raises:
        UsageError: There is no ``=``.
    """
    path, equals, value = text.partition("=")
    if not equals or not path:
        raise UsageError(
            f"{text!r} assigns nothing",
            "write PATH=VALUE, such as spec.weight=2.",
        )
    return path, value
