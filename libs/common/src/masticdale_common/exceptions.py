"""Error kinds and the HTTP response to each of them."""

import dataclasses
import enum


class ErrorKind(enum.StrEnum):
    """Kinds of errors that callers and operators see."""

    BAD_REQUEST = "bad_request"
    TOO_LARGE = "too_large"
    HEADERS_TOO_LARGE = "headers_too_large"
    REQUEST_TIMEOUT = "request_timeout"
    NO_ROUTE = "no_route"
    UNAUTHENTICATED = "unauthenticated"
    KEY_UNVERIFIED = "key_unverified"
    FORBIDDEN = "forbidden"
    NOT_FOUND = "not_found"
    CONFLICT = "conflict"
    REQUEST_ID_REUSED = "request_id_reused"
    OUT_OF_ORDER = "out_of_order"
    PROGRAM_ENDED = "program_ended"
    BUDGET_EXCEEDED = "budget_exceeded"
    LIMIT_REACHED = "limit_reached"
    DEADLINE_EXCEEDED = "deadline_exceeded"
    TIMED_OUT = "timed_out"
    OVERLOADED = "overloaded"
    HOST_BUSY = "host_busy"
    QUARANTINED = "quarantined"
    CRASH_SUSPECT = "crash_suspect"
    STREAM_ORIGIN_UNKNOWN = "stream_origin_unknown"
    NO_UPSTREAM = "no_upstream"
    UPSTREAM_FAILED = "upstream_failed"
    OUTCOME_UNKNOWN = "outcome_unknown"
    CANCELLED = "cancelled"
    NOT_OWNER = "not_owner"
    PEER_UNAVAILABLE = "peer_unavailable"
    PLATFORM_UNAVAILABLE = "platform_unavailable"
    WRITE_UNKNOWN = "write_unknown"
    STOPPING = "stopping"
    HISTORY_GONE = "history_gone"
    NOT_CONFIGURED = "not_configured"
    LEDGER_UNAVAILABLE = "ledger_unavailable"
    TURN_UNKNOWN = "turn_unknown"
    HISTORY_UNAVAILABLE = "history_unavailable"
    MISSING_PREVIOUS = "missing_previous"
    STORE_FULL = "store_full"
    BROKEN_OFF = "broken_off"
    INVALID_SETTINGS = "invalid_settings"
    INTERNAL = "internal"


class Executed(enum.StrEnum):
    """Whether a failed request was executed at an upstream."""

    NO = "no"
    YES = "yes"
    UNKNOWN = "unknown"


@dataclasses.dataclass(frozen=True, slots=True)
class ErrorResponse:
    """The response to a request that failed with one error kind.

    Attributes:
        status: HTTP status code.
        ran: Whether the request was executed.
        retry_after_ms: Delay after which a retry may succeed; None if a retry
            never succeeds.
        message: Text for the caller.
        exit_code: Exit code of a command that fails with this error.
    """

    status: int
    ran: Executed
    retry_after_ms: int | None
    message: str
    exit_code: int = 1


ERROR_RESPONSE_BY_KIND: dict[ErrorKind, ErrorResponse] = {
    ErrorKind.BAD_REQUEST: ErrorResponse(
        400, Executed.NO, None, "The request is malformed.", 2
    ),
    ErrorKind.TOO_LARGE: ErrorResponse(
        413, Executed.NO, None, "The request is larger than allowed.", 2
    ),
    ErrorKind.HEADERS_TOO_LARGE: ErrorResponse(
        431, Executed.NO, None, "The headers are larger than allowed.", 2
    ),
    ErrorKind.REQUEST_TIMEOUT: ErrorResponse(
        408, Executed.NO, None, "The request did not arrive in time."
    ),
    ErrorKind.NO_ROUTE: ErrorResponse(
        404, Executed.NO, None, "No route matches the host and path."
    ),
    ErrorKind.UNAUTHENTICATED: ErrorResponse(
        401, Executed.NO, None, "The key is missing or unknown.", 3
    ),
    ErrorKind.KEY_UNVERIFIED: ErrorResponse(
        503, Executed.NO, 300, "The host can't tell whether the key is valid."
    ),
    ErrorKind.FORBIDDEN: ErrorResponse(
        403, Executed.NO, None, "The token's role does not allow this.", 3
    ),
    ErrorKind.NOT_FOUND: ErrorResponse(
        404, Executed.NO, None, "No such object.", 4
    ),
    ErrorKind.CONFLICT: ErrorResponse(
        409, Executed.NO, None, "Another change came first.", 5
    ),
    ErrorKind.REQUEST_ID_REUSED: ErrorResponse(
        409, Executed.NO, None, "The request id was used with other content."
    ),
    ErrorKind.OUT_OF_ORDER: ErrorResponse(
        409, Executed.NO, 200, "An earlier call of the branch has not arrived."
    ),
    ErrorKind.PROGRAM_ENDED: ErrorResponse(
        409, Executed.NO, None, "The program has ended."
    ),
    ErrorKind.BUDGET_EXCEEDED: ErrorResponse(
        402, Executed.NO, None, "The program's budget does not cover the call."
    ),
    ErrorKind.LIMIT_REACHED: ErrorResponse(
        429, Executed.NO, 1000, "The workspace's limit is reached."
    ),
    ErrorKind.DEADLINE_EXCEEDED: ErrorResponse(
        504, Executed.NO, None, "The deadline passed before the call was run."
    ),
    ErrorKind.TIMED_OUT: ErrorResponse(
        504, Executed.UNKNOWN, 1000, "The deadline passed while the call ran."
    ),
    ErrorKind.OVERLOADED: ErrorResponse(
        503, Executed.NO, 2000, "The queue is too long for this priority."
    ),
    ErrorKind.HOST_BUSY: ErrorResponse(
        503, Executed.NO, 300, "The host holds too much for its callers."
    ),
    ErrorKind.QUARANTINED: ErrorResponse(
        422,
        Executed.UNKNOWN,
        None,
        "The request crashed its replicas; it is given up.",
    ),
    ErrorKind.CRASH_SUSPECT: ErrorResponse(
        503,
        Executed.NO,
        5000,
        "The request is held back: replicas that ran it have crashed.",
    ),
    ErrorKind.STREAM_ORIGIN_UNKNOWN: ErrorResponse(
        503,
        Executed.NO,
        100,
        "The software version that began the stream is unknown; begin anew.",
    ),
    ErrorKind.NO_UPSTREAM: ErrorResponse(
        503, Executed.NO, 2000, "No replica can serve the call now."
    ),
    ErrorKind.UPSTREAM_FAILED: ErrorResponse(
        502,
        Executed.UNKNOWN,
        1000,
        "The upstream failed while it ran the call.",
    ),
    ErrorKind.OUTCOME_UNKNOWN: ErrorResponse(
        502,
        Executed.UNKNOWN,
        None,
        "The call was sent; its outcome is unknown.",
    ),
    ErrorKind.CANCELLED: ErrorResponse(
        499, Executed.UNKNOWN, None, "The call was cancelled."
    ),
    ErrorKind.NOT_OWNER: ErrorResponse(
        503, Executed.NO, 100, "The program is moving to another host."
    ),
    ErrorKind.PEER_UNAVAILABLE: ErrorResponse(
        503, Executed.UNKNOWN, 500, "The owning host does not answer."
    ),
    ErrorKind.PLATFORM_UNAVAILABLE: ErrorResponse(
        503, Executed.NO, 2000, "The platform's service does not answer.", 6
    ),
    ErrorKind.WRITE_UNKNOWN: ErrorResponse(
        503, Executed.UNKNOWN, 1000, "A write's answer was lost.", 6
    ),
    ErrorKind.STOPPING: ErrorResponse(
        503, Executed.NO, 200, "The host is stopping."
    ),
    ErrorKind.HISTORY_GONE: ErrorResponse(
        503, Executed.NO, 300, "The store no longer knows these changes.", 6
    ),
    ErrorKind.NOT_CONFIGURED: ErrorResponse(
        503, Executed.NO, 300, "The host knows no configuration yet."
    ),
    ErrorKind.LEDGER_UNAVAILABLE: ErrorResponse(
        503,
        Executed.NO,
        300,
        "The owner of the program's budget does not answer.",
    ),
    ErrorKind.TURN_UNKNOWN: ErrorResponse(
        404, Executed.NO, None, "The previous turn does not exist."
    ),
    ErrorKind.HISTORY_UNAVAILABLE: ErrorResponse(
        503, Executed.NO, 300, "The histories of turns can't be reached."
    ),
    ErrorKind.MISSING_PREVIOUS: ErrorResponse(
        503, Executed.NO, 300, "The host does not hold the previous turn."
    ),
    ErrorKind.STORE_FULL: ErrorResponse(
        503, Executed.NO, 1000, "The disk has no room for more turns."
    ),
    ErrorKind.BROKEN_OFF: ErrorResponse(
        502, Executed.YES, None, "The answer broke off and can't be continued."
    ),
    ErrorKind.INVALID_SETTINGS: ErrorResponse(
        400, Executed.NO, None, "The settings are invalid.", 2
    ),
    ErrorKind.INTERNAL: ErrorResponse(
        500, Executed.UNKNOWN, None, "An internal error; see the log."
    ),
}


@dataclasses.dataclass(frozen=True, slots=True)
class Failure:
    """A failed operation: the error type of every ``Result``.

    Attributes:
        kind: The error kind.
        detail: What failed and where, without secrets.
        retry_after_ms: Overrides the retry delay of the kind.
        host: The host to ask instead, if known.
    """

    kind: ErrorKind
    detail: str = ""
    retry_after_ms: int | None = None
    host: str = ""

    @property
    def response(self) -> ErrorResponse:
        """The response to this error kind."""
        return ERROR_RESPONSE_BY_KIND[self.kind]

    @property
    def effective_retry_after_ms(self) -> int | None:
        """The retry delay of this failure, or else of its kind."""
        if self.retry_after_ms is not None:
            return self.retry_after_ms
        return self.response.retry_after_ms

    def __str__(self) -> str:
        text = self.response.message
        return f"{text} {self.detail}" if self.detail else text


class MasticdaleError(Exception):
    """Raised where no ``Result`` can carry a failure, such as at startup."""

    def __init__(self, failure: Failure) -> None:
        super().__init__(str(failure))
        self.failure = failure
