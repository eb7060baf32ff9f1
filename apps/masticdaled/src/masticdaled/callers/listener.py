"""The callers' HTTP API."""

import dataclasses
import functools
import json
import time
from collections.abc import AsyncIterator
from typing import Any, Protocol

import litestar
import orjson
import pydantic
from litestar.params import FromPath, FromQuery, JSONBody
from litestar.response import ServerSentEvent, ServerSentEventMessage
from returns.result import Failure as Failed
from returns.result import Result, Success

from masticdale_common import ErrorKind, Failure, Metrics, hashing, logs
from masticdale_config import (
    ActiveConfig,
    RenderedWorkspace,
    caller_key_digest,
)
from masticdale_programs import (
    CallOutcome,
    CallService,
    CreateProgram,
    EndProgram,
    GetProgram,
    OpenBranch,
    Operation,
    OperationResult,
    Outcome,
    ProgramView,
    SendTurn,
    TurnOutcome,
)
from masticdaled.answers import (
    error_body,
    error_response,
    exception_handlers,
)
from masticdaled.callers.forwarding import (
    FinalOutcome,
    OperationForwarder,
    OperationRequest,
    TextDelta,
)
from masticdaled.callers.limits import WorkspaceLimiter
from masticdaled.callers.models import (
    CallAnswerBody,
    CallServiceBody,
    CreateProgramBody,
    EndProgramBody,
    HistoryItemBody,
    OpenBranchBody,
    ProgramBody,
    SendTurnBody,
    TurnAnswerBody,
)
from masticdaled.settings import RequestSettings
from masticdaled.shards.owners import find_kind

_BEARER = "Bearer "
_MS = 1000

AnyRequest = litestar.Request[Any, Any, Any]


class ReadinessCheck(Protocol):
    """Tells whether the load balancer should send callers to this host."""

    def is_ready(self) -> bool:
        """Returns True while this host serves and is not stopping."""
        ...


@dataclasses.dataclass(frozen=True, slots=True)
class CallersContext:
    """The dependencies of the callers' listener."""

    forwarder: OperationForwarder
    in_force: ActiveConfig
    limiter: WorkspaceLimiter
    readiness: ReadinessCheck
    settings: RequestSettings
    metrics: Metrics


class _RequestFailedError(Exception):
    """Carries a failure from a route to its exception handler."""

    def __init__(self, failure: Failure) -> None:
        super().__init__(failure.kind.value)
        self.failure = failure


def _handle_request_failed(
    request: AnyRequest, error: _RequestFailedError
) -> Any:
    return error_response(error.failure)


class CallersController(litestar.Controller):
    """Routes for the programs of the caller's workspace."""

    path = "/v1/programs"

    @litestar.post("/", summary="Begin a program")
    async def create(
        self, request: AnyRequest, data: JSONBody[CreateProgramBody]
    ) -> ProgramBody:
        """Begins a program; a repeated request id returns the same program."""
        context = _context(request)
        workspace = _authenticate(request)
        config = context.in_force.current
        kind = find_kind(config, workspace.name, data.program)
        if kind is None:
            detail = f"program kind {data.program!r}"
            raise _RequestFailedError(Failure(ErrorKind.NOT_FOUND, detail))
        program_id = derive_program_id(workspace.name, data.request_id)
        operation = CreateProgram(program_id, kind)
        return await _submit_operation(
            request, workspace, operation, data.deadline_ms
        )

    @litestar.get("/{program_id:str}", summary="Read a program's status")
    async def get_status(
        self,
        request: AnyRequest,
        program_id: FromPath[str],
        history: FromQuery[str] = "",
    ) -> ProgramBody:
        """Reads the status and, with ``history=BRANCH``, a branch's history."""
        workspace = _authenticate(request)
        operation = GetProgram(program_id, history)
        return await _submit_operation(request, workspace, operation, None)

    @litestar.post("/{program_id:str}/branches", summary="Open a branch")
    async def open_branch(
        self,
        request: AnyRequest,
        program_id: FromPath[str],
        data: JSONBody[OpenBranchBody],
    ) -> ProgramBody:
        """Opens a sub-agent's branch, which shares the program's budget."""
        workspace = _authenticate(request)
        operation = OpenBranch(program_id, data.branch, data.parent)
        return await _submit_operation(
            request, workspace, operation, data.deadline_ms
        )

    @litestar.post("/{program_id:str}/end", summary="End a program")
    async def end(
        self,
        request: AnyRequest,
        program_id: FromPath[str],
        data: JSONBody[EndProgramBody],
    ) -> ProgramBody:
        """Ends a program and releases the engine memory held for it."""
        workspace = _authenticate(request)
        operation = EndProgram(program_id)
        return await _submit_operation(
            request, workspace, operation, data.deadline_ms
        )

    @litestar.post(
        "/{program_id:str}/turns", summary="Send a turn", status_code=200
    )
    async def send_turn(
        self,
        request: AnyRequest,
        program_id: FromPath[str],
        data: JSONBody[SendTurnBody],
    ) -> Any:
        """Sends a message; answers as JSON or as server-sent events."""
        operation = SendTurn(
            program_id,
            data.branch,
            data.request_id,
            data.message,
            data.sequence,
            data.max_tokens,
        )
        call = _call_request(request, operation, data.deadline_ms)
        if data.stream:
            return ServerSentEvent(_event_stream(request, call))
        return _json_response(await _run_call(request, call))

    @litestar.post(
        "/{program_id:str}/calls", summary="Call a service", status_code=200
    )
    async def call_service(
        self,
        request: AnyRequest,
        program_id: FromPath[str],
        data: JSONBody[CallServiceBody],
    ) -> Any:
        """Calls an operation, at most once if it is not idempotent."""
        operation = CallService(
            program_id,
            data.branch,
            data.request_id,
            data.operation,
            json.dumps(data.payload),
            data.sequence,
        )
        call = _call_request(request, operation, data.deadline_ms)
        return _json_response(await _run_call(request, call))


def derive_program_id(workspace: str, request_id: str) -> str:
    """Derives a program's id from the request that creates it.

    A retried create names the same program and shard at every host.
    """
    return hashing.digest("program", workspace, request_id)


def create_callers_app(context: CallersContext) -> litestar.Litestar:
    """Returns the ASGI application of the callers' listener."""

    @litestar.get("/healthz", summary="Whether the process runs")
    async def healthz() -> str:
        """Answers 200 while the process runs."""
        return "ok"

    @litestar.get("/readyz", summary="Whether to send callers here")
    async def readyz() -> Any:
        """Answers 503 until the host serves and again once it is stopping."""
        if context.readiness.is_ready():
            return litestar.Response("ready")
        return error_response(Failure(ErrorKind.STOPPING))

    app = litestar.Litestar(
        [CallersController, healthz, readyz],
        exception_handlers={
            **exception_handlers(),
            _RequestFailedError: _handle_request_failed,
        },
        logging_config=None,
        request_max_body_size=context.settings.max_bytes,
    )
    app.state.context = context
    return app


def _context(request: AnyRequest) -> CallersContext:
    context: CallersContext = request.app.state.context
    return context


def _authenticate(request: AnyRequest) -> RenderedWorkspace:
    header = request.headers.get("authorization", "")
    key = header.removeprefix(_BEARER)
    in_force = _context(request).in_force
    if not in_force.number:
        raise _RequestFailedError(Failure(ErrorKind.NOT_CONFIGURED))
    workspace_by_digest = in_force.current.workspace_by_caller_digest
    workspace = workspace_by_digest.get(caller_key_digest(key))
    if workspace is None or not header.startswith(_BEARER):
        raise _RequestFailedError(Failure(ErrorKind.UNAUTHENTICATED))
    return workspace


def _entry_request(
    request: AnyRequest,
    workspace: RenderedWorkspace,
    operation: Operation,
    deadline_ms: int | None,
) -> OperationRequest:
    settings = _context(request).settings
    requested_ms = deadline_ms or settings.default_deadline_ms
    allowed_ms = min(requested_ms, settings.max_deadline_ms)
    deadline = time.monotonic() + allowed_ms / _MS
    return OperationRequest(operation, workspace.name, deadline)


def _call_request(
    request: AnyRequest,
    operation: SendTurn | CallService,
    deadline_ms: int | None,
) -> OperationRequest:
    workspace = _authenticate(request)
    return _entry_request(request, workspace, operation, deadline_ms)


async def _submit_operation(
    request: AnyRequest,
    workspace: RenderedWorkspace,
    operation: Operation,
    deadline_ms: int | None,
) -> ProgramBody:
    message = _entry_request(request, workspace, operation, deadline_ms)
    outcome = await _context(request).forwarder.submit(message)
    if isinstance(outcome, Failed):
        raise _RequestFailedError(outcome.failure())
    return _program_body(outcome.unwrap())


async def _stream_call(
    request: AnyRequest, call: OperationRequest
) -> AsyncIterator[TextDelta | FinalOutcome]:
    """Submits a call within its workspace's limits and streams its answer."""
    context = _context(request)
    operation = call.operation
    assert isinstance(operation, SendTurn | CallService)
    started = time.monotonic()
    turn_id = f"{operation.program_id}/{operation.request_id}"
    begun = context.limiter.begin(call.workspace, turn_id)
    if isinstance(begun, Failed):
        yield FinalOutcome(Failed(begun.failure()))
        return
    kind = "none"
    try:
        accepted = await context.forwarder.submit(call)
        if isinstance(accepted, Failed):
            kind = accepted.failure().kind.value
            yield FinalOutcome(Failed(accepted.failure()))
            return
        async for part in context.forwarder.stream_answer(call):
            if isinstance(part, FinalOutcome) and isinstance(
                part.outcome, Failed
            ):
                kind = part.outcome.failure().kind.value
            yield part
    finally:
        context.limiter.end(call.workspace, turn_id)
        seconds = time.monotonic() - started
        context.metrics.count(
            "calls_total", workspace=call.workspace, error=kind
        )
        context.metrics.observe("call_seconds", seconds)
        logs.write(
            "call_answered",
            workspace=call.workspace,
            program=operation.program_id,
            turn=operation.request_id,
            error=kind,
            seconds=round(seconds, 4),
        )


async def _run_call(
    request: AnyRequest, call: OperationRequest
) -> Result[Outcome, Failure]:
    async for part in _stream_call(request, call):
        if isinstance(part, FinalOutcome):
            return part.outcome
    return Failed(Failure(ErrorKind.INTERNAL))


async def _event_stream(
    request: AnyRequest, call: OperationRequest
) -> AsyncIterator[ServerSentEventMessage]:
    async for part in _stream_call(request, call):
        if isinstance(part, TextDelta):
            name = "restart" if part.restart else "text"
            data = json.dumps({"text": part.text})
            yield ServerSentEventMessage(event=name, data=data)
            continue
        if isinstance(part.outcome, Success):
            body: pydantic.BaseModel = outcome_body(part.outcome.unwrap())
            yield ServerSentEventMessage(
                event="done", data=body.model_dump_json()
            )
            continue
        error_json = orjson.dumps(error_body(part.outcome.failure()))
        yield ServerSentEventMessage(event="error", data=error_json.decode())


def _json_response(outcome: Result[Outcome, Failure]) -> Any:
    if isinstance(outcome, Failed):
        return error_response(outcome.failure())
    return litestar.Response(outcome_body(outcome.unwrap()))


@functools.singledispatch
def outcome_body(outcome: Outcome) -> TurnAnswerBody | CallAnswerBody:
    """Returns the response body of a call's outcome."""
    raise TypeError(f"no response body for {type(outcome).__name__}")


@outcome_body.register
def _(outcome: TurnOutcome) -> TurnAnswerBody:
    return TurnAnswerBody(
        request_id=outcome.request_id,
        text=outcome.text,
        prompt_tokens=outcome.prompt_tokens,
        cached_tokens=outcome.cached_tokens,
        generated_tokens=outcome.generated_tokens,
        replica=outcome.replica,
    )


@outcome_body.register
def _(outcome: CallOutcome) -> CallAnswerBody:
    return CallAnswerBody(
        request_id=outcome.request_id,
        status=outcome.status.value,
        result=json.loads(outcome.result),
    )


def _program_body(result: OperationResult) -> ProgramBody:
    assert isinstance(result, ProgramView)
    return ProgramBody(
        program_id=result.program_id,
        program=result.kind,
        state=result.state,
        branches=result.branches,
        tokens_spent=result.tokens_spent,
        calls_spent=result.calls_spent,
        turns_spent=result.turns_spent,
        waiting_for=result.waiting_for,
        history=tuple(
            HistoryItemBody(
                request_id=item.request_id,
                kind=item.kind,
                sent=item.sent,
                answer=item.answer,
                status=item.status,
            )
            for item in result.history
        ),
    )
