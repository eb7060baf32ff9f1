"""Serves callers: routes requests, admits turns, forwards to replicas."""

import asyncio
import collections
import dataclasses
import json
import time
from collections.abc import Callable

from returns.result import Failure as Failed
from returns.result import Result, Success

from masticdale_common import (
    ConnectionBudget,
    ErrorKind,
    Failure,
    Metrics,
    logs,
)
from masticdale_gateway.bodies import BodyBuffers
from masticdale_gateway.callers import (
    CallerConnection,
    ConnectionState,
    ReadLimits,
    ResponseWriter,
    close_gracefully,
)
from masticdale_gateway.calls import BudgetLedger, Call, RelaySettings
from masticdale_gateway.claims import admission_claim
from masticdale_gateway.codec import HeaderCodec, RequestMetadata
from masticdale_gateway.crashes import CrashDependencies, CrashGuard
from masticdale_gateway.exchanges import Sender
from masticdale_gateway.histories import NoHistory, TurnHistory
from masticdale_gateway.messages import Request
from masticdale_gateway.origins import NoOrigins, OriginGuard, StreamOrigins
from masticdale_gateway.pools import ConnectionPool
from masticdale_gateway.streaming import StreamRelay
from masticdale_gateway.transports import ConnectionLostError
from masticdale_gateway.unary import BufferedResponse, UnaryRelay
from masticdale_routing.fleet import Fleet, ListState
from masticdale_routing.routes import Configuration, Route, Service
from masticdale_workspaces import Workspace


@dataclasses.dataclass(frozen=True, slots=True)
class RelayDependencies:
    """The collaborators of a relay.

    Attributes:
        configuration: Returns the active configuration, or None before the
            first one.
        fleet: The replicas.
        ledger: Enforces the budgets of programs.
        codec: Parses and builds header fields.
        metrics: Metrics registry.
        is_configuration_fresh: Returns whether changes of the configuration
            reach this host.
        settings: Limits of the data path.
        crashes: What is known of requests that end replicas.
        history: Reads and writes the turns of routes that keep them.
        origins: Remembers where streams began.
        budget: What the connections of callers may hold.
        list_state: Returns how old the list of replicas is.
    """

    configuration: Callable[[], Configuration | None]
    fleet: Fleet
    ledger: BudgetLedger
    codec: HeaderCodec
    metrics: Metrics
    is_configuration_fresh: Callable[[], bool] = lambda: True
    settings: RelaySettings = dataclasses.field(default_factory=RelaySettings)
    crashes: CrashDependencies = dataclasses.field(
        default_factory=CrashDependencies
    )
    history: TurnHistory = dataclasses.field(default_factory=NoHistory)
    origins: StreamOrigins = dataclasses.field(default_factory=NoOrigins)
    budget: ConnectionBudget = dataclasses.field(
        default_factory=ConnectionBudget
    )
    list_state: Callable[[], ListState] = ListState


@dataclasses.dataclass(frozen=True, slots=True)
class StopTimes:
    """Times of a planned stop, in event loop seconds.

    Attributes:
        late_from: From then on callers have other hosts to go to. Requests
            that may not be answered before the end are refused.
        gives_up_at: When unanswered requests get their final response.
    """

    late_from: float
    gives_up_at: float

    def is_too_late(self, call: Call) -> bool:
        """Whether a call came late and may last until the end."""
        return (
            call.request.received_at >= self.late_from
            and call.deadline_at > self.gives_up_at
        )


class Relay:
    """Serves the connections of callers.

    Attributes:
        is_stopping: Whether responses ask the caller to open a new connection.
        stop: When a stop refuses requests and gives up; None before a stop.
        pool: Connections to replicas.
    """

    def __init__(self, dependencies: RelayDependencies) -> None:
        self.is_stopping = False
        self.stop: StopTimes | None = None
        self.pool = ConnectionPool(dependencies.metrics)
        self._dependencies = dependencies
        self._connections: set[CallerConnection] = set()
        self._limit_by_connection: dict[CallerConnection, asyncio.Timeout] = {}
        self._has_given_up = False
        self._crashes = CrashGuard(
            dependencies.crashes, self.pool, dependencies.metrics
        )
        self._origins = OriginGuard(dependencies.origins, dependencies.metrics)
        sender = Sender(
            self.pool,
            dependencies.codec,
            dependencies.metrics,
            self._crashes,
            BodyBuffers(dependencies.settings.body_limits),
            dependencies.list_state,
        )
        self._unary = UnaryRelay(
            dependencies.fleet, sender, dependencies.settings
        )
        self._streams = StreamRelay(
            dependencies.fleet,
            sender,
            dependencies.codec,
            dependencies.settings,
            self._origins,
        )

    def create_connection(self) -> CallerConnection:
        """Returns the protocol of a new connection."""
        connection = CallerConnection(
            self.serve, self._connections, self._dependencies.budget
        )
        connection.read_limits = self._read_limits
        return connection

    @property
    def connections(self) -> int:
        """Number of open connections of callers."""
        return len(self._connections)

    def count_by_state(self) -> dict[str, int]:
        """Returns the number of callers' connections in each state."""
        return dict(
            collections.Counter(c.state.value for c in self._connections)
        )

    @property
    def is_idle(self) -> bool:
        """Whether no caller is owed a response."""
        return all(c.state is ConnectionState.IDLE for c in self._connections)

    def close_idle(self) -> None:
        """Closes the connections on which no caller is owed a response.

        A request that has arrived, even in part, is owed one: its caller can't
        tell whether it was executed.
        """
        for connection in list(self._connections):
            if connection.state is not ConnectionState.IDLE:
                continue
            # A busy event loop reads late, and closing now would reset it.
            if connection.has_unread_bytes:
                continue
            connection.close()

    def give_up(self) -> None:
        """Gives every unanswered request its final response now.

        The process ends soon. A closed connection would not tell the caller
        whether the request was executed: a request that no replica was given
        is rejected as not executed, any other gets a response that says its
        outcome is unknown. A stream that has begun is broken off, so that its
        caller resumes it elsewhere.
        """
        self._has_given_up = True
        now = asyncio.get_running_loop().time()
        for limit in self._limit_by_connection.values():
            limit.reschedule(now)
        for connection in self._connections:
            connection.reject_unread(Failure(ErrorKind.STOPPING))

    def log_unanswered(self) -> None:
        """Logs the connections that the end of the process cuts off."""
        for connection in self._connections:
            if connection.state is not ConnectionState.IDLE:
                self._log_unanswered(connection)

    def abort(self) -> None:
        """Drops every connection immediately."""
        for connection in list(self._connections):
            connection.abort()
        self.pool.close()

    async def serve(self, connection: CallerConnection) -> None:
        """Serves the requests of one connection in sequence."""
        try:
            while await self._serve_next(connection):
                pass
            await self._close(connection)
        except ConnectionLostError:
            connection.abort()

    async def _close(self, connection: CallerConnection) -> None:
        if not self.is_stopping:
            await close_gracefully(connection)
            return
        # The end of the process is the only limit on a slow reader: a caller
        # whose response is cut off must repeat a request that has run.
        connection.close()
        await connection.lost.wait()

    async def _serve_next(self, connection: CallerConnection) -> bool:
        connection.limits = self._read_limits()
        # A caller that sends requests and reads no responses is not served on.
        await connection.drain()
        arrived = await connection.next_request()
        if arrived is None:
            return False
        if isinstance(arrived, Failure):
            writer = ResponseWriter(connection, keeps_alive=False)
            metadata = self._dependencies.codec.parse_request(
                connection.headers
            )
            logs.write_bounded(
                "request_refused",
                request_id=metadata.request_id,
                program_id=metadata.program_id,
                outcome=arrived.kind.value,
                detail=arrived.detail,
            )
            await self._send_error(writer, metadata.request_id, arrived)
            return False
        connection.request = arrived
        try:
            return await self._respond(connection, arrived)
        finally:
            connection.end_request()

    async def _respond(
        self, connection: CallerConnection, request: Request
    ) -> bool:
        writer = ResponseWriter(
            connection, request.keeps_alive and not self.is_stopping
        )
        metadata = self._dependencies.codec.parse_request(request.headers)
        began = time.monotonic()
        routed = self._route(request, metadata)
        call: Call | None = None
        if isinstance(routed, Failed):
            outcome: BufferedResponse | Failure | None = routed.failure()
        else:
            call = routed.unwrap()
            try:
                outcome = await self._run_until_stop(connection, call, writer)
            except asyncio.CancelledError:
                logs.write_bounded(
                    "caller_left",
                    request_id=metadata.request_id,
                    program_id=metadata.program_id,
                    route=call.route.name,
                    replicas=call.replica_ids,
                    events=call.events,
                    took_ms=round(1000 * (time.monotonic() - began), 1),
                )
                raise
        # A head that was sent before the stop has promised to serve what the
        # caller sends next.
        if not writer.status:
            writer.keeps_alive = writer.keeps_alive and not self.is_stopping
        if isinstance(outcome, Failure):
            await self._send_error(writer, metadata.request_id, outcome)
        elif outcome is not None:
            await writer.send(
                outcome.head.status,
                self._dependencies.codec.response_headers(outcome.head),
                outcome.body,
            )
        self._record_outcome(
            call, metadata, writer, outcome, time.monotonic() - began
        )
        return writer.is_finished and writer.keeps_alive

    def _log_unanswered(self, connection: CallerConnection) -> None:
        metadata = self._dependencies.codec.parse_request(connection.headers)
        logs.write_bounded(
            "unanswered",
            request_id=metadata.request_id,
            program_id=metadata.program_id,
            state=connection.state,
        )

    def _route(
        self, request: Request, metadata: RequestMetadata
    ) -> Result[Call, Failure]:
        configuration = self._dependencies.configuration()
        if configuration is None:
            return Failed(Failure(ErrorKind.NOT_CONFIGURED))
        route = configuration.table.find(request.host, request.path)
        if route is None:
            detail = f"version {configuration.version}"
            return Failed(Failure(ErrorKind.NO_ROUTE, detail))
        authenticated = self._authenticate(configuration, route, metadata)
        if isinstance(authenticated, Failed):
            return authenticated
        name = route.service_for(metadata.program_id or metadata.stream_id)
        service = configuration.service_by_name.get(name) or Service(name, 0)
        limit_s = route.timeout_s
        if metadata.deadline_s is not None:
            limit_s = min(limit_s, metadata.deadline_s)
        return Success(
            Call(
                request,
                metadata,
                route,
                service,
                request.received_at + limit_s,
                workspace=authenticated.unwrap(),
                version=configuration.version,
            )
        )

    def _authenticate(
        self,
        configuration: Configuration,
        route: Route,
        metadata: RequestMetadata,
    ) -> Result[Workspace | None, Failure]:
        workspaces = configuration.workspaces
        if workspaces is None:
            return Success(None)
        outcome = workspaces.authenticate(
            metadata.key_digests, allows_anonymous=route.allows_anonymous
        )
        if not isinstance(outcome, Failed):
            return outcome
        failure = outcome.failure()
        detail = f"{failure.detail}, version {configuration.version}"
        is_unknown = failure.kind is ErrorKind.UNAUTHENTICATED
        if is_unknown and not self._dependencies.is_configuration_fresh():
            # 401 is final for the caller. A host that is cut off may lack the
            # version that adds the key.
            return Failed(Failure(ErrorKind.KEY_UNVERIFIED, detail))
        return Failed(Failure(failure.kind, detail))

    async def _run_until_stop(
        self, connection: CallerConnection, call: Call, writer: ResponseWriter
    ) -> BufferedResponse | Failure | None:
        if self._has_given_up:
            return Failure(ErrorKind.STOPPING)
        if self.stop is not None and self.stop.is_too_late(call):
            return Failure(ErrorKind.STOPPING, "may last longer than the stop")
        limit = asyncio.timeout(None)
        self._limit_by_connection[connection] = limit
        try:
            async with limit:
                return await self._run(call, writer)
        except TimeoutError:
            if not limit.expired():
                raise
            return _unfinished(call, writer)
        finally:
            del self._limit_by_connection[connection]

    async def _run(
        self, call: Call, writer: ResponseWriter
    ) -> BufferedResponse | Failure | None:
        held = await self._crashes.admit(call)
        if held is not None:
            return held
        try:
            failure = await self._open_turn(call, writer)
            if failure is None:
                failure = await self._origins.admit(call)
            if failure is not None:
                return failure
            return await self._run_admitted(call, writer)
        finally:
            self._crashes.finish(call)
            self._origins.finish(call)

    async def _open_turn(
        self, call: Call, writer: ResponseWriter
    ) -> Failure | None:
        """Loads the history of a turn before its tokens are reserved."""
        if not call.keeps_history:
            return None
        # Imported here: without such a route it would only take memory.
        from masticdale_gateway.kept_turns import open_turn

        outcome = await open_turn(
            call, self._dependencies.history, self._dependencies.metrics
        )
        if isinstance(outcome, Failed):
            failure: Failure = outcome.failure()
            return failure
        turn = outcome.unwrap()
        if not writer.hold_history(turn.chain.size_bytes):
            detail = f"{turn.chain.size_bytes} bytes of turns before"
            return Failure(ErrorKind.HOST_BUSY, detail)
        call.kept_turn = turn
        return None

    async def _run_admitted(
        self, call: Call, writer: ResponseWriter
    ) -> BufferedResponse | Failure | None:
        claim = admission_claim(call)
        if claim is None:
            return await self._forward(call, writer)
        try:
            admitted = await self._dependencies.ledger.admit(
                claim, call.deadline_at
            )
            if isinstance(admitted, Failed):
                failure: Failure = admitted.failure()
                return failure
            call.assigned_replica_id = admitted.unwrap().replica_id
            return await self._forward(call, writer)
        finally:
            # Also after a rejection, or if the caller disconnected before the
            # reply: the owner may have reserved the turn's tokens, and leaking
            # them would exhaust the program's budget too early.
            if claim.is_turn:
                used = call.events * call.service.tokens_per_event
                self._dependencies.ledger.settle(claim, used, call.turn_end)

    async def _forward(
        self, call: Call, writer: ResponseWriter
    ) -> BufferedResponse | Failure | None:
        if call.is_stream:
            return await self._streams.run(call, writer)
        return await self._unary.run(call)

    async def _send_error(
        self, writer: ResponseWriter, request_id: str, failure: Failure
    ) -> None:
        effective_retry_after_ms = failure.effective_retry_after_ms
        fields = self._dependencies.codec.error_headers(
            request_id,
            None
            if effective_retry_after_ms is None
            else effective_retry_after_ms / 1000,
        )
        body = json.dumps(
            {"error": failure.kind.value, "message": str(failure)}
        ).encode()
        await writer.send(failure.response.status, fields, body)

    def _read_limits(self) -> ReadLimits:
        configuration = self._dependencies.configuration()
        if configuration is None:
            return ReadLimits()
        limits = configuration.limits
        return ReadLimits(
            limits.header_bytes,
            limits.body_bytes,
            limits.request_timeout_s,
            limits.idle_timeout_s,
        )

    def _record_outcome(
        self,
        call: Call | None,
        metadata: RequestMetadata,
        writer: ResponseWriter,
        outcome: BufferedResponse | Failure | None,
        took_s: float,
    ) -> None:
        failure = outcome if isinstance(outcome, Failure) else None
        kind = failure.kind.value if failure else "answered"
        if outcome is None and not writer.is_finished:
            kind = ErrorKind.BROKEN_OFF.value
        route = call.route if call else None
        metrics = self._dependencies.metrics
        metrics.count("requests_total", outcome=kind)
        metrics.observe(
            "request_seconds", took_s, kind=route.kind if route else "none"
        )
        configuration = self._dependencies.configuration()
        logs.write_bounded(
            "request",
            request_id=metadata.request_id,
            program_id=metadata.program_id,
            workspace=call.workspace_name if call else "",
            prompt_parts=metadata.prompt_parts,
            route=route.name if route else "",
            version=configuration.version if configuration else 0,
            status=writer.status,
            outcome=kind,
            detail=failure.detail if failure else "",
            replicas=call.replica_ids if call else [],
            content=call.content_digest if call and failure else "",
            events=call.events if call else 0,
            took_ms=round(took_s * 1000, 1),
            **(call.kept_turn.log_fields() if call and call.kept_turn else {}),
        )


def _unfinished(call: Call, writer: ResponseWriter) -> Failure | None:
    """Ends a call that a planned stop gives up.

    Returns:
        The failure to send; None if the response had begun.
    """
    if writer.status:
        writer.abort()
        return None
    if call.replica_ids:
        return Failure(ErrorKind.OUTCOME_UNKNOWN, "the host is stopping")
    return Failure(ErrorKind.STOPPING)
