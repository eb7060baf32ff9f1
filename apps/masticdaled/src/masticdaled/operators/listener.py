"""The operators' HTTP API: status, configuration, programs, repairs.

It has a listener of its own, so that a flood of calls cannot block operators
and callers' keys give no access to it.
"""

import dataclasses
from typing import Annotated, Any, TypeVar

import litestar
import pydantic
from litestar import MediaType, Response, get, post
from litestar.handlers import BaseRouteHandler
from litestar.openapi import OpenAPIConfig
from litestar.openapi.plugins import JsonRenderPlugin
from litestar.params import FromPath, FromQuery, QueryParameter, RawBody
from returns.result import Failure as Failed
from returns.result import Result, Success

from masticdale_common import (
    ErrorKind,
    Failure,
    MasticdaleError,
    hashing,
)
from masticdale_config import (
    ConfigStore,
    DeclarationKey,
    Kind,
    problems,
    reports,
)
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
from masticdale_config.rollback import compute_rollback_edits
from masticdaled import answers
from masticdaled.operators.access import Access
from masticdaled.operators.change_schema import ChangeOperation
from masticdaled.operators.guarding import (
    OPERATE,
    PUBLIC,
    OperatorRequest,
    audit_accepted,
    create_guard,
    create_rejection_audit,
    operator_of,
)
from masticdaled.operators.models import OperatorContext

# Maximum size of a request body in bytes.
MAX_BODY_BYTES = 2_000_000
MAX_PAGE = 1000
DEFAULT_PAGE = 100

ValueT = TypeVar("ValueT")
Limit = Annotated[int, QueryParameter(ge=1, le=MAX_PAGE)]


def create_operator_app(
    context: OperatorContext, access: Access
) -> litestar.Litestar:
    """Returns the ASGI application of the operators' listener.

    Args:
        context: The daemon's data and actions.
        access: Authenticates operators.
    """
    return litestar.Litestar(
        route_handlers=[
            *_process_routes(context),
            *_config_routes(context),
            *_revision_routes(context),
            *_program_routes(context),
            *_repair_routes(context),
        ],
        guards=[create_guard(access)],
        exception_handlers=dict(answers.exception_handlers()),
        after_exception=[create_rejection_audit(context.metrics)],
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
    @get("/healthz", opt=PUBLIC, media_type=MediaType.TEXT)
    async def healthz() -> str:
        return "ok\n"

    @get("/readyz", opt=PUBLIC)
    async def readyz() -> Response[Readiness]:
        readiness = context.readiness()
        return Response(readiness, status_code=200 if readiness.ready else 503)

    @get("/metrics", media_type=MediaType.TEXT)
    async def metrics() -> bytes:
        number = context.in_force.number
        context.metrics.gauge("config_revision", number)
        return context.metrics.render()

    @get("/v1/dump")
    async def dump() -> dict[str, Any]:
        return dict(context.state_dump.collect())

    @get("/v1/status")
    async def status(newest: FromQuery[bool] = False) -> StatusReport:
        is_newest = newest and await _catch_up(context)
        current = context.in_force.current
        return StatusReport(
            host=context.host,
            readiness=context.readiness(),
            revision=current.revision,
            digest=current.digest,
            hosts=context.hosts(),
            is_newest=is_newest,
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
        return _declaration_page(
            context, _DeclarationFilter(kind, name, after, limit)
        )

    @post("/v1/config/plan", status_code=200, operation_class=ChangeOperation)
    async def plan(request: OperatorRequest, body: RawBody) -> PlanReport:
        change = _parse(body, ChangeRequest).to_change(
            operator_of(request).name
        )
        planned = _unwrap(await _require_store(context).plan(change))
        return reports.plan_report(planned)

    @post(
        "/v1/config/apply",
        opt=OPERATE,
        status_code=200,
        operation_class=ChangeOperation,
    )
    async def apply(request: OperatorRequest, body: RawBody) -> ApplyReport:
        change = _parse(body, ChangeRequest).to_change(
            operator_of(request).name
        )
        accepted = _unwrap(await _require_store(context).apply(change))
        context.metrics.count("config_changes_total")
        detail = f"revision {accepted.revision} change {change.change_id}"
        audit_accepted(request, detail)
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
        revision = _unwrap(await _require_store(context).revision(number))
        if revision is None:
            raise _error(ErrorKind.NOT_FOUND, f"revision {number}")
        return reports.revision_report(revision)

    @get("/v1/revisions/{number:int}/rollback")
    async def rollback(number: FromPath[int]) -> RollbackEdits:
        found = _unwrap(
            await compute_rollback_edits(_require_store(context), number)
        )
        edits = tuple(EditRequest.from_edit(edit) for edit in found)
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
        selection = ProgramFilter(workspace, program_state, after, limit)
        return _unwrap(await context.list_programs(selection))

    @get("/v1/programs/{program_id:str}")
    async def inspect_program(program_id: FromPath[str]) -> ProgramDetail:
        return _unwrap(await context.inspect_program(program_id))

    @post("/v1/programs/{program_id:str}/stop", opt=OPERATE, status_code=200)
    async def stop_program(
        request: OperatorRequest, program_id: FromPath[str]
    ) -> ProgramDetail:
        detail = _unwrap(await context.stop_program(program_id))
        audit_accepted(request, f"program {program_id}")
        return detail

    return [list_programs, inspect_program, stop_program]


def _repair_routes(context: OperatorContext) -> list[BaseRouteHandler]:
    @get("/v1/quarantine")
    async def list_quarantine() -> QuarantineReport:
        return QuarantineReport(_unwrap(await context.quarantined()))

    @post("/v1/quarantine/{digest:str}/release", opt=OPERATE, status_code=200)
    async def release(request: OperatorRequest, digest: FromPath[str]) -> None:
        _unwrap(await context.release_quarantined(digest))
        audit_accepted(request, f"request {digest}")

    @post("/v1/shards/{shard:int}/takeover", opt=OPERATE, status_code=200)
    async def takeover(
        request: OperatorRequest, shard: FromPath[int]
    ) -> TakeoverReport:
        if not 0 <= shard < hashing.SHARD_COUNT:
            last = hashing.SHARD_COUNT - 1
            raise _error(ErrorKind.NOT_FOUND, f"shards are 0 to {last}")
        report = _unwrap(await context.force_takeover(shard))
        lost = len(report.possibly_lost)
        audit_accepted(request, f"shard {shard}, possibly lost {lost}")
        return report

    @post("/v1/upstreams/{name:str}/drain", opt=OPERATE, status_code=200)
    async def drain(
        request: OperatorRequest, name: FromPath[str]
    ) -> DrainReport:
        report = _unwrap(await context.drain_upstream(name))
        audit_accepted(request, f"upstream {name}")
        return report

    return [list_quarantine, release, takeover, drain]


@dataclasses.dataclass(frozen=True, slots=True)
class _DeclarationFilter:
    kind: Kind | None
    name: str
    after: str
    limit: int


def _declaration_page(
    context: OperatorContext, selection: _DeclarationFilter
) -> DeclarationPage:
    state = context.in_force.state
    keys = [
        key
        for key in sorted(state.declaration_by_key)
        if _matches(key, selection) and str(key) > selection.after
    ]
    shown = keys[: selection.limit]
    items = tuple(
        StoredDeclaration(state.digest_of(key), state.declaration_by_key[key])
        for key in shown
    )
    next_after = str(shown[-1]) if len(keys) > len(shown) else ""
    return DeclarationPage(state.number, items, next_after)


def _matches(key: DeclarationKey, selection: _DeclarationFilter) -> bool:
    if selection.kind is not None and key.kind is not selection.kind:
        return False
    return not selection.name or key.name == selection.name


async def _catch_up(context: OperatorContext) -> bool:
    if context.config_store is None:
        return False
    return isinstance(await context.config_store.load(), Success)


def _require_store(context: OperatorContext) -> ConfigStore:
    if context.config_store is None:
        raise _error(ErrorKind.PLATFORM_UNAVAILABLE, "no platform is connected")
    return context.config_store


def _parse(body: bytes, model: type[ChangeRequest]) -> ChangeRequest:
    # Litestar's decoder passes Python values to the model, and strict models
    # reject plain values for enums. It also omits the paths within unions from
    # its errors.
    try:
        return model.model_validate_json(body)
    except pydantic.ValidationError as error:
        found = problems.from_validation(error, "change")
        raise MasticdaleError(problems.to_failure(found)) from error


def _unwrap(outcome: Result[ValueT, Failure]) -> ValueT:
    if isinstance(outcome, Failed):
        raise MasticdaleError(outcome.failure())
    return outcome.unwrap()


def _error(kind: ErrorKind, detail: str) -> MasticdaleError:
    return MasticdaleError(Failure(kind, detail))
