"""Converts failures to HTTP responses by the table of error kinds."""

import http
import math
from typing import Any

import litestar
from litestar import exceptions as http_errors
from litestar.types import ExceptionHandlersMap

from masticdale_common import ErrorKind, Failure, MasticdaleError, logs
from masticdale_config.messages import ErrorBody

MS_PER_S = 1000

_KIND_BY_STATUS: dict[int, ErrorKind] = {
    http.HTTPStatus.UNAUTHORIZED: ErrorKind.UNAUTHENTICATED,
    http.HTTPStatus.FORBIDDEN: ErrorKind.FORBIDDEN,
    http.HTTPStatus.NOT_FOUND: ErrorKind.NOT_FOUND,
    http.HTTPStatus.REQUEST_ENTITY_TOO_LARGE: ErrorKind.TOO_LARGE,
}

AnyRequest = litestar.Request[Any, Any, Any]


def error_body(failure: Failure) -> ErrorBody:
    """Returns the response body of a failure."""
    answer = failure.response
    return ErrorBody(
        kind=failure.kind.value,
        message=answer.message,
        detail=failure.detail,
        ran=answer.ran.value,
        retry_after_ms=failure.effective_retry_after_ms,
    )


def retry_after_s(failure: Failure) -> int | None:
    """Returns the value of ``Retry-After``; None without one.

    It is in whole seconds, rounded up, since an earlier retry would be rejected
    again.
    """
    if failure.effective_retry_after_ms is None:
        return None
    return math.ceil(failure.effective_retry_after_ms / MS_PER_S)


def error_response(failure: Failure) -> litestar.Response[ErrorBody]:
    """Returns the response to a failed request.

    Returns:
        The status and body of the failure's kind.
    """
    headers = {}
    seconds = retry_after_s(failure)
    if seconds is not None:
        headers["Retry-After"] = str(seconds)
    return litestar.Response(
        error_body(failure),
        status_code=failure.response.status,
        headers=headers,
        media_type=litestar.MediaType.JSON,
    )


def failure_of(error: Exception) -> Failure:
    """Converts an exception raised while handling a request to a failure."""
    if isinstance(error, MasticdaleError):
        return error.failure
    if not isinstance(error, http_errors.HTTPException):
        # The text of an unexpected exception may contain a caller's prompt.
        return Failure(ErrorKind.INTERNAL)
    status = error.status_code
    kind = _KIND_BY_STATUS.get(status)
    if kind is not None:
        return Failure(kind, _describe(error))
    if status < http.HTTPStatus.INTERNAL_SERVER_ERROR:
        return Failure(ErrorKind.BAD_REQUEST, _describe(error))
    return Failure(ErrorKind.INTERNAL)


def exception_handlers() -> ExceptionHandlersMap:
    """Returns the exception handlers of the daemon's listeners."""
    return {Exception: _handle}


def _handle(
    request: AnyRequest, error: Exception
) -> litestar.Response[ErrorBody]:
    failure = failure_of(error)
    if failure.kind is ErrorKind.INTERNAL:
        logs.write(
            "request_failed", path=request.url.path, error=type(error).__name__
        )
    return error_response(failure)


def _describe(error: http_errors.HTTPException) -> str:
    lines = [error.detail]
    extra = error.extra if isinstance(error.extra, list) else []
    for item in extra:
        if not isinstance(item, dict):
            continue
        field = item.get("key", "(whole)")
        lines.append(f"{field}: {item.get('message', 'is invalid')}")
    return "\n".join(lines)
