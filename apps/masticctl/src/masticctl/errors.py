"""Errors of the command-line tool and its exit codes."""

from masticdale_common import ERROR_RESPONSE_BY_KIND, ErrorKind
from masticdale_config.messages import ErrorBody

EXIT_OK = 0
EXIT_FAILED = 1
EXIT_USAGE = 2
EXIT_LAGGING = 7
EXIT_UNREACHABLE = 8

HINT_BY_KIND: dict[ErrorKind, str] = {
    ErrorKind.BAD_REQUEST: "correct the fields named above; nothing was"
    " written.",
    ErrorKind.TOO_LARGE: "split the change into several.",
    ErrorKind.UNAUTHENTICATED: "give --token-file with a token that the"
    " host's settings list.",
    ErrorKind.FORBIDDEN: "use a token with the role 'operate'.",
    ErrorKind.NOT_FOUND: "'masticctl get', 'masticctl program list' and"
    " 'masticctl revisions list' list the existing objects.",
    ErrorKind.CONFLICT: "see the other change with 'masticctl revisions"
    " show', then plan again.",
    ErrorKind.PLATFORM_UNAVAILABLE: "nothing was written; try again once the"
    " platform answers.",
}


class ToolError(Exception):
    """Error that ends a command with a message, a hint and an exit code.

    Attributes:
        hint: Suggested action for the operator; may be empty.
        exit_code: Exit code of the process.
    """

    def __init__(
        self, message: str, hint: str = "", exit_code: int = EXIT_FAILED
    ) -> None:
        super().__init__(message)
        self.hint = hint
        self.exit_code = exit_code


class UsageError(ToolError):
    """The command line or a local file is invalid."""

    def __init__(self, message: str, hint: str = "") -> None:
        super().__init__(message, hint, EXIT_USAGE)


class ApiError(ToolError):
    """The daemon returned an error response.

    Attributes:
        kind: Kind of the error.
    """

    def __init__(self, body: ErrorBody) -> None:
        self.kind = ErrorKind(body.kind)
        text = body.message
        if body.detail:
            separator = "\n" if "\n" in body.detail else " "
            text = f"{text}{separator}{body.detail}"
        super().__init__(
            text,
            HINT_BY_KIND.get(self.kind, ""),
            ERROR_RESPONSE_BY_KIND[self.kind].exit_code,
        )
