"""The operators' listener: status, configuration, programs, quarantine.

It is separate from the callers' listener, so that a flood of calls cannot
keep operators out and no caller's key opens it.
"""

import dataclasses
from collections.abc import Callable
from typing import Annotated, Any, TypeVar

import litestar
import pydantic
from litestar import MediaType, Request, Response, get, post
from litestar.connection import ASGIConnection
from litestar.handlers import BaseRouteHandler
from litestar.openapi import OpenAPIConfig
from litestar.openapi.plugins import JsonRenderPlugin
from litestar.params import FromPath, FromQuery, QueryParameter, RawBody
from litestar.types import Scope
from returns.result import Failure as Failed
from returns.result import Result

from masticdale_common import (
    ErrorKind,
    Failure,
    MasticdaleError,
    hashing,
)
from masticdale_config import ConfigStore, DeclarationKey, Kind, reports
from masticdale_config.messages import (
    ApplyReport,
    ChangeRequest,
    DeclarationPage,
    DrainReport,
    EditRequest,
    PlanReport,
    ProgramDetail,
    ProgramFilter,
    ProgramPage,
    QuarantineReport,
    Readiness,
    RevisionReport,
    RevisionSummary,
    RollbackEdits,
    StatusReport,
    StoredDeclaration,
    TakeoverReport,
)
from masticdale_config.rollback import restoring_edits
from masticdaled import access as access_lib
from masticdaled import answers
from masticdaled.access import (
    UNKNOWN_OPERATOR,
    Access,
    AuditEntry,
    Operator,
    Role,
)
from masticdaled.operator_models import OperatorContext

MAX_BODY_BYTES = 8_000_000
MAX_PAGE = 1000
DEFAULT_PAGE = 100
ACCEPTED = "accepted"

_PUBLIC = {"public": True}
_OPERATE = {"role": Role.OPERATE}
_OPERATOR_KEY = "operator"
_ACCESS_KINDS = {ErrorKind.UNAUTHENTICATED, ErrorKind.FORBIDDEN}

ValueT = TypeVar("ValueT")
Limit = Annotated[int, QueryParameter(ge=1, le=MAX_PAGE)]
OperatorRequest = Request[Any, Any, Any]


def create_operator_app(
    context: OperatorContext, access: Access
) -> litestar.Litestar:
    """Returns the application of the operators' listener.

    Args:
        context: What the daemon gives.
        access: The tokens it knows.
    """
    return litestar.Litestar(
        route_handlers=[
            *_process_routes(context),
            *_config_routes(context),
            *_revision_routes(context),
            *_program_routes(context),
            *_repair_routes(context),
        ],
        guards=[_guard(access)],
        exception_handlers=dict(answers.exception_handlers()),
        after_exception=[_audit_refusal],
        request_max_body_size=MAX_BODY_BYTES,
        logging_config=None,
        openapi_config=OpenAPIConfig(
            title="masticdaled operators",
            version="1",
            path="/schema",
            render_plugins=[JsonRenderPlugin()],
        ),
    )


def _process_routes(context: OperatorContext) -> list[BaseRouteHandler]:
    @get("/healthz", opt=_PUBLIC, media_type=MediaType.TEXT)
    async def healthz() -> str:
        return "ok\n"

    @get("/readyz", opt=_PUBLIC)
    async def readyz() -> Response[Readiness]:
        readiness = context.readiness()
        return Response(readiness, status_code=200 if readiness.ready else 503)

    @get("/metrics", media_type=MediaType.TEXT)
    async def metrics() -> bytes:
        return context.metrics.render()

    @get("/v1/dump")
    async def dump() -> dict[str, Any]:
        return dict(context.state_dump.collect())

    @get("/v1/status")
    async def status() -> StatusReport:
        current = context.in_force.current
        return StatusReport(
            host=context.host,
            readiness=context.readiness(),
            revision=current.revision,
            digest=current.digest,
            hosts=context.hosts(),
        )

    return [healthz, readyz, metrics, dump, status]


def _config_routes(context: OperatorContext) -> list[BaseRouteHandler]:
    @get("/v1/config")
    async def get_config(
        kind: FromQuery[Kind | None] = None,
        name: FromQuery[str] = "",
        after: FromQuery[str] = "",
        limit: Limit = MAX_PAGE,
    ) -> DeclarationPage:
        return _page(context, _Wanted(kind, name, after, limit))

    @post("/v1/config/plan", status_code=200)
    async def plan(request: OperatorRequest, body: RawBody) -> PlanReport:
        change = _parse(body, ChangeRequest).to_change(_operator(request).name)
        planned = _value(await _store(context).plan(change))
        return reports.plan_report(planned)

    @post("/v1/config/apply", opt=_OPERATE, status_code=200)
    async def apply(request: OperatorRequest, body: RawBody) -> ApplyReport:
        change = _parse(body, ChangeRequest).to_change(_operator(request).name)
        accepted = _value(await _store(context).apply(change))
        detail = f"revision {accepted.revision} change {change.change_id}"
        _audit_accepted(request, detail)
        return ApplyReport(accepted.revision, accepted.digest, accepted.changed)

    return [get_config, plan, apply]


def _revision_routes(context: OperatorContext) -> list[BaseRouteHandler]:
    @get("/v1/revisions")
    async def list_revisions(
        limit: Limit = DEFAULT_PAGE,
    ) -> tuple[RevisionSummary, ...]:
        recent = context.in_force.state.recent[-limit:]
        return tuple(reports.revision_summary(s) for s in reversed(recent))

    @get("/v1/revisions/{number:int}")
    async def show_revision(number: FromPath[int]) -> RevisionReport:
        revision = _value(await _store(context).revision(number))
        if revision is None:
            raise _error(ErrorKind.NOT_FOUND, f"revision {number}")
        return reports.revision_report(revision)

    @get("/v1/revisions/{number:int}/rollback")
    async def rollback(number: FromPath[int]) -> RollbackEdits:
        found = _value(await restoring_edits(_store(context), number))
        edits = tuple(EditRequest.of(edit) for edit in found)
        return RollbackEdits(number, edits)

    return [list_revisions, show_revision, rollback]


def _program_routes(context: OperatorContext) -> list[BaseRouteHandler]:
    @get("/v1/programs")
    async def list_programs(
        workspace: FromQuery[str] = "",
        program_state: Annotated[str, QueryParameter(name="state")] = "",
        after: FromQuery[str] = "",
        limit: Limit = DEFAULT_PAGE,
    ) -> ProgramPage:
        wanted = ProgramFilter(workspace, program_state, after, limit)
        return _value(await context.list_programs(wanted))

    @get("/v1/programs/{program_id:str}")
    async def inspect_program(program_id: FromPath[str]) -> ProgramDetail:
        return _value(await context.inspect_program(program_id))

    @post("/v1/programs/{program_id:str}/stop", opt=_OPERATE, status_code=200)
    async def stop_program(
        request: OperatorRequest, program_id: FromPath[str]
    ) -> ProgramDetail:
        detail = _value(await context.stop_program(program_id))
        _audit_accepted(request, f"program {program_id}")
        return detail

    return [list_programs, inspect_program, stop_program]


def _repair_routes(context: OperatorContext) -> list[BaseRouteHandler]:
    @get("/v1/quarantine")
    async def list_quarantine() -> QuarantineReport:
        return QuarantineReport(_value(await context.quarantined()))

    @post("/v1/quarantine/{digest:str}/release", opt=_OPERATE, status_code=200)
    async def release(request: OperatorRequest, digest: FromPath[str]) -> None:
        _value(await context.release_quarantined(digest))
        _audit_accepted(request, f"request {digest}")

    @post("/v1/shards/{shard:int}/takeover", opt=_OPERATE, status_code=200)
    async def takeover(
        request: OperatorRequest, shard: FromPath[int]
    ) -> TakeoverReport:
        if not 0 <= shard < hashing.SHARD_COUNT:
            last = hashing.SHARD_COUNT - 1
            raise _error(ErrorKind.NOT_FOUND, f"shards are 0 to {last}")
        report = _value(await context.force_takeover(shard))
        lost = len(report.possibly_lost)
        _audit_accepted(request, f"shard {shard}, possibly lost {lost}")
        return report

    @post("/v1/upstreams/{name:str}/drain", opt=_OPERATE, status_code=200)
    async def drain(
        request: OperatorRequest, name: FromPath[str]
    ) -> DrainReport:
        report = _value(await context.drain_upstream(name))
        _audit_accepted(request, f"upstream {name}")
        return report

    return [list_quarantine, release, takeover, drain]


@dataclasses.dataclass(frozen=True, slots=True)
class _Wanted:
    kind: Kind | None
    name: str
    after: str
    limit: int


def _page(context: OperatorContext, wanted: _Wanted) -> DeclarationPage:
    state = context.in_force.state
    keys = [
        key
        for key in sorted(state.declaration_by_key)
        if _matches(key, wanted) and str(key) > wanted.after
    ]
    shown = keys[: wanted.limit]
    items = tuple(
        StoredDeclaration(state.digest_of(key), state.declaration_by_key[key])
        for key in shown
    )
    next_after = str(shown[-1]) if len(keys) > len(shown) else ""
    return DeclarationPage(state.number, items, next_after)


def _matches(key: DeclarationKey, wanted: _Wanted) -> bool:
    if wanted.kind is not None and key.kind is not wanted.kind:
        return False
    return not wanted.name or key.name == wanted.name


def _store(context: OperatorContext) -> ConfigStore:
    if context.config_store is None:
        raise _error(ErrorKind.PLATFORM_UNAVAILABLE, "no platform is connected")
    return context.config_store


def _parse(body: bytes, model: type[ChangeRequest]) -> ChangeRequest:
    # Not by litestar: its decoder hands the model Python values, for which
    # the strict models take no enum, and it names no paths in unions.
    try:
        return model.model_validate_json(body)
    except pydantic.ValidationError as error:
        lines = [
            f"{'.'.join(map(str, item['loc'])) or '(whole)'}: {item['msg']}"
            for item in error.errors(include_url=False, include_input=False)
        ]
        raise _error(ErrorKind.BAD_REQUEST, "\n".join(lines)) from error


def _value(outcome: Result[ValueT, Failure]) -> ValueT:
    if isinstance(outcome, Failed):
        raise MasticdaleError(outcome.failure())
    return outcome.unwrap()


def _error(kind: ErrorKind, detail: str) -> MasticdaleError:
    return MasticdaleError(Failure(kind, detail))


def _guard(
    access: Access,
) -> Callable[[ASGIConnection[Any, Any, Any, Any], BaseRouteHandler], None]:
    def guard(
        connection: ASGIConnection[Any, Any, Any, Any],
        handler: BaseRouteHandler,
    ) -> None:
        if handler.opt.get("public"):
            return
        header = connection.headers.get("authorization", "")
        operator: Operator = _value(access.identify(header))
        connection.state[_OPERATOR_KEY] = operator
        wanted = handler.opt.get("role", Role.READ)
        if not operator.may(wanted):
            detail = f"it has the role {operator.role}; this needs {wanted}"
            raise _error(ErrorKind.FORBIDDEN, detail)

    return guard


async def _audit_refusal(error: Exception, scope: Scope) -> None:
    handler = scope.get("route_handler")
    changes = handler is not None and "role" in handler.opt
    failure = answers.failure_of(error)
    if not changes and failure.kind not in _ACCESS_KINDS:
        return
    operator: Operator | None = scope.get("state", {}).get(_OPERATOR_KEY)
    client = scope.get("client")
    access_lib.record(
        AuditEntry(
            operator=operator.name if operator else UNKNOWN_OPERATOR,
            action=f"{scope.get('method', '')} {scope['path']}",
            outcome=failure.kind.value,
            detail=failure.detail,
            client=client[0] if client else "",
        )
    )


def _operator(request: OperatorRequest) -> Operator:
    operator: Operator = request.state[_OPERATOR_KEY]
    return operator


def _audit_accepted(request: OperatorRequest, detail: str) -> None:
    client = request.client.host if request.client else ""
    access_lib.record(
        AuditEntry(
            operator=_operator(request).name,
            action=f"{request.method} {request.url.path}",
            outcome=ACCEPTED,
            detail=detail,
            client=client,
        )
    )
