"""Sending a call to one replica and reading the response."""

import asyncio
import dataclasses
from collections.abc import Callable

from returns.result import Failure as Failed
from returns.result import Result, Success

from masticdale_common import Executed, Metrics, logs
from masticdale_gateway.bodies import BodyBuffer, BodyBuffers
from masticdale_gateway.calls import Call
from masticdale_gateway.codec import (
    ForwardingMetadata,
    HeaderCodec,
    ResponseMetadata,
)
from masticdale_gateway.crashes import CrashGuard
from masticdale_gateway.messages import ResponseHead, encode_request
from masticdale_gateway.pools import ConnectFailedError, ConnectionPool
from masticdale_gateway.silence import (
    UNTIL_DEADLINE,
    SilenceLimit,
    SilentReplicaError,
    wait_for_bytes,
)
from masticdale_gateway.transports import ConnectionLostError
from masticdale_gateway.upstreams import (
    MalformedResponseError,
    OversizedResponseError,
    UpstreamConnection,
)
from masticdale_routing.fleet import (
    ListState,
    Replica,
    ReplicaState,
    ReportedLoad,
)

# Time limit for the body of a rejection, which is read so that the connection
# can be reused.
_REJECTION_BODY_TIMEOUT_S = 0.1
_MAX_REJECTION_BODY_BYTES = 65_536

_CONNECTION_ERRORS = (ConnectionLostError, MalformedResponseError)


@dataclasses.dataclass(frozen=True, slots=True)
class AttemptFailure:
    """An attempt without a usable response.

    Attributes:
        replica_id: The replica that it was sent to.
        ran: NO if the replica certainly never executes the call, YES if the
            response to a stream had begun, else UNKNOWN.
        reason: Short description for logs.
        retry_after_s: Delay that the replica asked for; None if unspecified.
    """

    replica_id: str
    ran: Executed
    reason: str
    retry_after_s: float | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class AttemptOptions:
    """Options of one attempt at a call.

    Attributes:
        response_limit: When to give up waiting for the head of the response.
        max_idle_s: Maximum idle time of a reused connection.
        last_event_id: Event after which a stream resumes; empty to start at
            its beginning.
        preceding_body: Bytes to send before the body of the caller's request.
    """

    response_limit: SilenceLimit
    max_idle_s: float
    last_event_id: str = ""
    preceding_body: bytes = b""


class Exchange:
    """An attempt whose response has begun.

    Attributes:
        head: Status and headers of the response.
        metadata: The parsed headers.
    """

    def __init__(
        self,
        sender: "Sender",
        call: Call,
        state: ReplicaState,
        connection: UpstreamConnection,
        head: ResponseHead,
        metadata: ResponseMetadata,
    ) -> None:
        self.head = head
        self.metadata = metadata
        self._sender = sender
        self._call = call
        self._state = state
        self._connection = connection
        self._is_complete = False
        self._is_lost = False

    @property
    def replica(self) -> Replica:
        """The replica that sends the response."""
        return self._state.replica

    @property
    def replica_id(self) -> str:
        """The id of that replica."""
        return self._state.replica.id

    async def read_chunk(
        self, limit: SilenceLimit
    ) -> Result[bytes | None, str]:
        """Waits for a chunk of the body.

        Args:
            limit: When to give up.

        Returns:
            Bytes, None at the end of a complete body, or the reason for which
            the body was interrupted.
        """
        try:
            chunk = await wait_for_bytes(
                self._connection.read_chunk, self._call, self._state, limit
            )
        except SilentReplicaError as error:
            return Failed(str(error))
        except _CONNECTION_ERRORS as error:
            reason = self._interrupted(error)
            if isinstance(error, ConnectionLostError):
                self._is_lost = True
                await self._sender.crashes.record_loss(self._call, self._state)
            return Failed(reason)
        self._is_complete = chunk is None
        return Success(chunk)

    def _interrupted(self, error: Exception) -> str:
        """Records a body that ends early; returns the reason."""
        self._state.record_failure(asyncio.get_running_loop().time())
        self._sender.count_oversized(self._state, error)
        reason = _reason(error)
        logs.write_bounded(
            "response_interrupted",
            request_id=self._call.metadata.request_id,
            replica=self._state.replica.id,
            service=self._state.replica.service,
            events=self._call.events,
            reason=reason,
        )
        return reason

    async def read_body(self) -> Result[bytes, str]:
        """Reads the whole body by the call's deadline."""
        buffers = self._sender.body_buffers
        try:
            with buffers.open(_declared_bytes(self.head)) as buffer:
                return await self._fill(buffer)
        except OversizedResponseError as error:
            return Failed(self._interrupted(error))

    async def _fill(self, buffer: BodyBuffer) -> Result[bytes, str]:
        while True:
            outcome = await self.read_chunk(UNTIL_DEADLINE)
            if isinstance(outcome, Failed):
                return outcome
            chunk = outcome.unwrap()
            if chunk is None:
                return Success(buffer.content())
            try:
                async with asyncio.timeout(self._call.remaining_s):
                    await buffer.append(chunk)
            except TimeoutError:
                return Failed("no room for a large body by the deadline")

    def close(self) -> None:
        """Releases the connection.

        An incomplete response aborts it, so that the replica stops working.
        """
        if self._is_complete:
            self._state.circuit.record_success()
            self._sender.crashes.record_success(self._call)
            self._sender.pool.release(self._state.replica, self._connection)
        else:
            self._state.circuit.release()
            if not self._is_lost:
                self._sender.crashes.record_abandoned(self._call, self._state)
            self._connection.abort()
        self._state.in_flight -= 1


class Sender:
    """Sends calls to replicas.

    Attributes:
        pool: The connections to replicas.
        crashes: Learns which requests end replicas.
        body_buffers: Buffer the responses that are no streams.
    """

    def __init__(
        self,
        pool: ConnectionPool,
        codec: HeaderCodec,
        metrics: Metrics,
        crashes: CrashGuard,
        body_buffers: BodyBuffers,
        list_state: Callable[[], ListState] = ListState,
    ) -> None:
        self.pool = pool
        self.crashes = crashes
        self.body_buffers = body_buffers
        self._codec = codec
        self._metrics = metrics
        self._list_state = list_state

    async def send(
        self, call: Call, state: ReplicaState, options: AttemptOptions
    ) -> Result[Exchange, AttemptFailure]:
        """Sends a call and waits for the head of its response.

        On success the caller must close the exchange.
        """
        loop = asyncio.get_running_loop()
        # The result is ignored. The relay may choose a replica whose circuit is
        # open: because there is no other, or to resume a stream there.
        state.circuit.try_acquire(loop.time())
        state.in_flight += 1
        connection: UpstreamConnection | None = None
        exchange: Exchange | None = None
        try:
            connection = await self.pool.acquire(
                state.replica, options.max_idle_s
            )
            head = await self._exchange(call, state, connection, options)
            metadata = self._codec.parse_response(head)
            self._record_load(state, metadata)
            if metadata.is_usable:
                exchange = Exchange(
                    self, call, state, connection, head, metadata
                )
                return Success(exchange)
            return Failed(
                await self._handle_unusable_response(
                    call, state, connection, metadata, head
                )
            )
        except ConnectFailedError as error:
            state.record_failure(loop.time())
            if error.is_refused:
                self.crashes.record_end(state)
            return Failed(
                self._failure(call, state, Executed.NO, _reason(error))
            )
        except SilentReplicaError as error:
            self.crashes.record_abandoned(call, state)
            return Failed(
                self._failure(call, state, Executed.UNKNOWN, str(error))
            )
        except _CONNECTION_ERRORS as error:
            state.record_failure(loop.time())
            self.count_oversized(state, error)
            if isinstance(error, ConnectionLostError):
                await self.crashes.record_loss(call, state)
            else:
                self.crashes.record_abandoned(call, state)
            return Failed(
                self._failure(call, state, Executed.UNKNOWN, _reason(error))
            )
        except asyncio.CancelledError:
            if connection is not None:
                self.crashes.record_abandoned(call, state)
            raise
        finally:
            if exchange is None:
                state.circuit.release()
                state.in_flight -= 1
                if connection is not None:
                    self.pool.release(state.replica, connection)

    def count_oversized(self, state: ReplicaState, error: Exception) -> None:
        """Counts an error if it is a response that was too large."""
        if isinstance(error, OversizedResponseError):
            self._metrics.count(
                "oversized_responses_total", service=state.replica.service
            )

    async def _exchange(
        self,
        call: Call,
        state: ReplicaState,
        connection: UpstreamConnection,
        options: AttemptOptions,
    ) -> ResponseHead:
        request = call.request
        fields = self._codec.request_headers(
            request.headers,
            ForwardingMetadata(
                state.replica.id,
                call.remaining_s,
                options.last_event_id,
                call.workspace_name,
            ),
        )
        request_id = call.metadata.request_id
        call.replica_ids.append(state.replica.id)
        list_state = self._list_state()
        # The "request" line is written at the end of a request, and is missing
        # if the host is killed before; this line still names the replica.
        logs.write_bounded(
            "replica_chosen",
            request_id=request_id,
            program_id=call.metadata.program_id,
            replica=state.replica.id,
            assigned=call.assigned_replica_id,
            in_flight=state.in_flight,
            attempt=len(call.replica_ids),
            last_event_id=(
                options.last_event_id or call.metadata.last_event_id
            ),
            resumes=call.metadata.resumed_request_id,
            software_version=state.replica.software_version,
            list_position=list_state.position,
            list_age_ms=round(1000 * list_state.age_s),
        )
        call.possible_runs += 1
        call.suspected_keys = self.crashes.suspected_keys(call)
        body = options.preceding_body + request.body
        connection.send(
            encode_request(request.method, request.target, fields, body),
            lambda head: self._codec.matches_request(head, request_id),
        )
        try:
            return await wait_for_bytes(
                connection.read_head, call, state, options.response_limit
            )
        finally:
            if connection.skipped_responses:
                self._record_skipped(call, state, connection.skipped_responses)

    def _record_skipped(
        self, call: Call, state: ReplicaState, responses: int
    ) -> None:
        """Records responses to earlier requests that came in place of one."""
        service = state.replica.service
        self._metrics.count(
            "late_responses_total", amount=responses, service=service
        )
        logs.write_bounded(
            "late_responses",
            request_id=call.metadata.request_id,
            replica=state.replica.id,
            service=service,
            responses=responses,
        )

    async def _handle_unusable_response(
        self,
        call: Call,
        state: ReplicaState,
        connection: UpstreamConnection,
        metadata: ResponseMetadata,
        head: ResponseHead,
    ) -> AttemptFailure:
        if not metadata.is_rejected:
            state.record_failure(asyncio.get_running_loop().time())
            return self._failure(
                call,
                state,
                Executed.UNKNOWN,
                f"unusable response with status {head.status}",
            )
        if head.status == 421:
            # 421: another replica has taken over this address, and the list
            # of replicas does not show it yet.
            state.record_failure(asyncio.get_running_loop().time())
            self.crashes.record_end(state)
        call.possible_runs -= 1
        try:
            async with asyncio.timeout(_REJECTION_BODY_TIMEOUT_S):
                await connection.read_body(_MAX_REJECTION_BODY_BYTES)
        except (*_CONNECTION_ERRORS, TimeoutError):
            # The head alone proves that the request was not executed, so it may
            # be sent elsewhere; only the connection can't be reused.
            connection.abort()
        return self._failure(
            call,
            state,
            Executed.NO,
            f"rejected with status {head.status}",
            metadata.retry_after_s,
        )

    def _record_load(
        self, state: ReplicaState, metadata: ResponseMetadata
    ) -> None:
        if metadata.running is None:
            return
        now = asyncio.get_running_loop().time()
        state.record_load(ReportedLoad(metadata.running, metadata.waiting, now))

    def _failure(
        self,
        call: Call,
        state: ReplicaState,
        ran: Executed,
        reason: str,
        retry_after_s: float | None = None,
    ) -> AttemptFailure:
        self._metrics.count("upstream_failures_total", ran=ran.value)
        logs.write_bounded(
            "send_failed",
            request_id=call.metadata.request_id,
            replica=state.replica.id,
            service=state.replica.service,
            ran=ran.value,
            reason=reason,
            content="" if ran is Executed.NO else call.content_digest,
        )
        return AttemptFailure(state.replica.id, ran, reason, retry_after_s)


def _declared_bytes(head: ResponseHead) -> int | None:
    # The parser accepts digits alone.
    value = head.headers.get(b"content-length")
    return None if value is None else int(value)


def _reason(error: BaseException) -> str:
    if isinstance(error, ConnectFailedError):
        return f"connection failed: {error}"
    if isinstance(error, MalformedResponseError):
        return f"malformed response: {error}"
    return "connection lost"
