"""Authorizes operators' requests and audits changes and rejections."""

from collections.abc import Awaitable, Callable
from typing import Any

import litestar
from litestar.connection import ASGIConnection
from litestar.handlers import BaseRouteHandler
from litestar.types import Scope
from returns.result import Failure as Failed

from masticdale_common import (
    ErrorKind,
    Failure,
    MasticdaleError,
    Metrics,
)
from masticdaled import answers
from masticdaled.operators import access as access_lib
from masticdaled.operators.access import (
    UNKNOWN_OPERATOR,
    Access,
    AuditEntry,
    Operator,
    Role,
)

ACCEPTED = "accepted"
PUBLIC = {"public": True}
OPERATE = {"role": Role.OPERATE}

_OPERATOR_KEY = "operator"
_ACCESS_KINDS = {ErrorKind.UNAUTHENTICATED, ErrorKind.FORBIDDEN}

OperatorRequest = litestar.Request[Any, Any, Any]
Connection = ASGIConnection[Any, Any, Any, Any]


def create_guard(
    access: Access,
) -> Callable[[Connection, BaseRouteHandler], None]:
    """Creates the guard of all routes.

    A route's ``opt`` is ``PUBLIC`` if it needs no token, ``OPERATE`` if it
    needs the role ``operate``; any other route needs the role ``read``.

    Args:
        access: Authenticates operators.
    """

    def guard(connection: Connection, handler: BaseRouteHandler) -> None:
        if handler.opt.get("public"):
            return
        authenticated = access.authenticate(
            connection.headers.get("authorization", "")
        )
        if isinstance(authenticated, Failed):
            raise MasticdaleError(authenticated.failure())
        operator = authenticated.unwrap()
        connection.state[_OPERATOR_KEY] = operator
        required = handler.opt.get("role", Role.READ)
        if not operator.has_role(required):
            detail = f"its role is {operator.role}; this needs {required}"
            raise MasticdaleError(Failure(ErrorKind.FORBIDDEN, detail))

    return guard


def operator_of(request: OperatorRequest) -> Operator:
    """Returns the operator whom the guard authenticated."""
    operator: Operator = request.state[_OPERATOR_KEY]
    return operator


def audit_accepted(request: OperatorRequest, detail: str) -> None:
    """Writes an accepted change to the audit log.

    Args:
        request: The request for the change.
        detail: What the request changed.
    """
    access_lib.write_audit_entry(
        AuditEntry(
            operator=operator_of(request).name,
            action=f"{request.method} {request.url.path}",
            outcome=ACCEPTED,
            detail=detail,
            client=request.client.host if request.client else "",
        )
    )


def create_rejection_audit(
    metrics: Metrics,
) -> Callable[[Exception, Scope], Awaitable[None]]:
    """Creates the hook that audits rejected changes and denied access.

    Args:
        metrics: Counts the rejections by error kind.
    """

    async def audit_rejection(error: Exception, scope: Scope) -> None:
        handler = scope.get("route_handler")
        is_change = handler is not None and "role" in handler.opt
        failure = answers.failure_of(error)
        if not is_change and failure.kind not in _ACCESS_KINDS:
            return
        metrics.count("operator_refusals_total", kind=failure.kind.value)
        operator: Operator | None = scope.get("state", {}).get(_OPERATOR_KEY)
        client = scope.get("client")
        access_lib.write_audit_entry(
            AuditEntry(
                operator=operator.name if operator else UNKNOWN_OPERATOR,
                action=f"{scope.get('method', '')} {scope['path']}",
                outcome=failure.kind.value,
                detail=failure.detail,
                client=client[0] if client else "",
            )
        )

    return audit_rejection
