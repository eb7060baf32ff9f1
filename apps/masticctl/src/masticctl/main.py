"""Entry point of ``masticctl``."""

import asyncio
import contextlib
import io
import sys
from collections.abc import Sequence

import fire
from fire.core import FireExit

from masticctl import help as help_pages
from masticctl.commands import Commands
from masticctl.errors import EXIT_OK, ToolError, UsageError
from masticctl.session import Invocation

# Fire derives options from parameter names, and ``from`` is a keyword.
_PARAMETER_BY_OPTION = {
    f"--{shown}": f"--{name}"
    for name, shown in help_pages.OPTION_BY_PARAMETER.items()
}


def main(argv: Sequence[str] | None = None) -> None:
    """Runs one command and exits the process with its exit code."""
    sys.exit(run(sys.argv[1:] if argv is None else argv))


def run(argv: Sequence[str]) -> int:
    """Runs one command.

    Args:
        argv: Command-line arguments without the program name.

    Returns:
        The exit code.
    """
    if help_pages.wants_help(argv):
        sys.stdout.write(help_pages.render(argv))
        return EXIT_OK
    try:
        return asyncio.run(parse(argv).execute())
    except ToolError as error:
        report(error)
        return error.exit_code


def parse(argv: Sequence[str]) -> Invocation:
    """Parses a command line without running the command.

    Args:
        argv: Command-line arguments without the program name.

    Raises:
        UsageError: The command line is invalid.
    """
    discarded = io.StringIO()
    try:
        # Fire's usage text exposes internals, so it is discarded.
        with contextlib.redirect_stderr(discarded):
            result = fire.Fire(
                Commands,
                command=_to_fire_arguments(argv),
                name=help_pages.PROGRAM,
                serialize=_serialize_nothing,
            )
    except FireExit as error:
        reason = error.trace.elements[-1].ErrorAsStr()
        raise _usage_error(argv, reason) from None
    if not isinstance(result, Invocation):
        raise _usage_error(argv, "the command is incomplete")
    return result


def _to_fire_arguments(argv: Sequence[str]) -> list[str]:
    # Fire would parse the argument after a flag as its value, such as FOLDER
    # in 'apply --yes FOLDER'.
    flags = help_pages.flags(argv)
    return [f"{a}=True" if a in flags else _rename_option(a) for a in argv]


def _rename_option(argument: str) -> str:
    option, equals, value = argument.partition("=")
    return f"{_PARAMETER_BY_OPTION.get(option, option)}{equals}{value}"


def _serialize_nothing(result: object) -> None:
    del result


def _usage_error(argv: Sequence[str], reason: str) -> UsageError:
    usage = help_pages.usage(argv)
    return UsageError(f"{reason}\n{usage}", "add --help to see its options.")


def report(error: ToolError) -> None:
    """Writes an error and its hint to standard error."""
    sys.stderr.write(f"Error: {error}\n")
    if error.hint:
        sys.stderr.write(f"Hint: {error.hint}\n")
