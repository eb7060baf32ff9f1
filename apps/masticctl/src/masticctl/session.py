"""Global options, sessions and deferred execution of commands."""

import dataclasses
import sys
from collections.abc import Awaitable, Callable

from masticctl.client import OperatorClient, create_client
from masticctl.errors import UsageError
from masticctl.output import Output, OutputFormat

DEFAULT_SERVER = "http://127.0.0.1:8081"
DEFAULT_TIMEOUT_S = 10.0


@dataclasses.dataclass(frozen=True, slots=True)
class GlobalOptions:
    """Options that every command takes.

    Attributes:
        server: Comma-separated base URLs of operator listeners.
        token_file: File that holds the operator's token.
        output: ``table`` or ``json``.
        request_timeout: Timeout of one request, in seconds.
    """

    server: str
    token_file: str
    output: str
    request_timeout: float


@dataclasses.dataclass(frozen=True, slots=True)
class Session:
    """Context of a running command.

    Attributes:
        client: Client of the operator API.
        output: Destination of results and notes.
        confirm: Prompts the operator for a confirmation.
    """

    client: OperatorClient
    output: Output
    confirm: Callable[[str], bool]


CommandBody = Callable[[Session], Awaitable[int]]


class Invocation:
    """A parsed command that is executed later.

    Fire calls a command before it has parsed the rest of the command line, so
    an invalid option would be reported only after the command took effect.
    Commands therefore return an invocation, which runs after parsing.
    """

    __slots__ = ("_body", "_options")

    def __init__(self, options: GlobalOptions, body: CommandBody) -> None:
        self._options = options
        self._body = body

    def __str__(self) -> str:
        return ""

    async def execute(self) -> int:
        """Runs the command and returns its exit code."""
        options = self._options
        output = Output(_output_format(options.output))
        client = create_client(
            options.server, options.token_file, options.request_timeout
        )
        async with client:
            return await self._body(Session(client, output, confirm))


def confirm(question: str) -> bool:
    """Prompts for a confirmation on the terminal.

    Raises:
        UsageError: Standard input is not a terminal.
    """
    if not sys.stdin.isatty():
        raise UsageError(
            "a confirmation is required, but standard input is not a terminal",
            "review the output of 'masticctl plan', then give --yes.",
        )
    sys.stderr.write(f"{question} [y/N]: ")
    sys.stderr.flush()
    return sys.stdin.readline().strip().lower() in {"y", "yes"}


def _output_format(name: str) -> OutputFormat:
    try:
        return OutputFormat(name)
    except ValueError:
        known = ", ".join(OutputFormat)
        raise UsageError(
            f"--output: {name!r} is not an output format",
            f"choose one of {known}.",
        ) from None
