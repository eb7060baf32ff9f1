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

# Fire takes options from parameter names, and ``from`` is a Python keyword.
_RENAMED_BY_OPTION = {
    f"--{shown}": f"--{name}"
    for name, shown in help_pages.RENAMED_OPTION.items()
}


def main(argv: Sequence[str] | None = None) -> None:
    """Runs one command and exits with its code."""
    sys.exit(run(sys.argv[1:] if argv is None else argv))


def run(argv: Sequence[str]) -> int:
    """Runs one command.

    Args:
        argv: The arguments after the program's name.

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
    """Reads a command line, running nothing yet.

    Args:
        argv: The arguments after the program's name.

    Raises:
        UsageError: It cannot be understood.
    """
    printed = io.StringIO()
    try:
        # Fire's own usage text names internals, so it is not shown.
        with contextlib.redirect_stderr(printed):
            result = fire.Fire(
                Commands,
                command=_for_fire(argv),
                name=help_pages.PROGRAM,
                serialize=_hide,
            )
    except FireExit as error:
        reason = error.trace.elements[-1].ErrorAsStr()
        raise _misunderstood(argv, reason) from None
    if not isinstance(result, Invocation):
        raise _misunderstood(argv, "the command is incomplete")
    return result


def _for_fire(argv: Sequence[str]) -> list[str]:
    # Fire would take the word after a flag as its value: in 'apply --yes
    # FOLDER' the folder.
    flags = help_pages.flags(argv)
    return [f"{a}=True" if a in flags else _rename(a) for a in argv]


def _rename(argument: str) -> str:
    option, equals, value = argument.partition("=")
    return f"{_RENAMED_BY_OPTION.get(option, option)}{equals}{value}"


def _hide(result: object) -> None:
    del result


def _misunderstood(argv: Sequence[str], reason: str) -> UsageError:
    usage = help_pages.usage(argv)
    return UsageError(f"{reason}\n{usage}", "add --help to see its options.")


def report(error: ToolError) -> None:
    """Tells the operator why a command ended and what to do."""
    sys.stderr.write(f"Error: {error}\n")
    if error.hint:
        sys.stderr.write(f"Hint: {error.hint}\n")
