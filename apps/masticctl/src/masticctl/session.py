"""What a command has at hand, and the commands it is started from."""

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
        server: Base URLs of operators' listeners, separated by commas.
        token_file: File that holds the operator's token.
        output: ``table`` or ``json``.
        request_timeout: Longest wait for one answer, in seconds.
    """

    server: str
    token_file: str
    output: str
    request_timeout: float


@dataclasses.dataclass(frozen=True, slots=True)
class Session:
    """What a running command works with.

    Attributes:
        client: Sends requests to the daemon.
        output: Takes the results.
        confirm: Asks the operator a question; True for yes.
    """

    client: OperatorClient
    output: Output
    confirm: Callable[[str], bool]


Body = Callable[[Session], Awaitable[int]]


class Invocation:
    """A parsed command that has not run yet.

    Fire calls a command before it has looked at the rest of the line. A
    mistyped option would be reported only after the change was made; so
    commands return this, and it runs once the whole line is understood.
    """

    __slots__ = ("_body", "_options")

    def __init__(self, options: GlobalOptions, body: Body) -> None:
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
    """Asks on the terminal.

    Raises:
        UsageError: Nobody is there to answer.
    """
    if not sys.stdin.isatty():
        raise UsageError(
            "this needs a confirmation and the input is no terminal",
            "give --yes once you have read what 'masticctl plan' shows.",
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
            f"--output: {name!r} is no format", f"choose one of {known}."
        ) from None
