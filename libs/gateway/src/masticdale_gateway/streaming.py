"""Event streams: forwarded as they arrive, resumed if interrupted."""

import asyncio
import dataclasses
import functools
from collections.abc import Callable

from returns.result import Failure as Failed

from masticdale_common import ErrorKind, Executed, Failure, logs
from masticdale_gateway.callers import ResponseWriter
from masticdale_gateway.calls import Call, RelaySettings
from masticdale_gateway.codec import HeaderCodec
from masticdale_gateway.events import (
    Event,
    EventSplitter,
    OversizedEventError,
)
from masticdale_gateway.exchanges import (
    AttemptFailure,
    AttemptOptions,
    Exchange,
    Sender,
)
from masticdale_gateway.origins import OriginGuard
from masticdale_gateway.silence import SilenceLimit
from masticdale_gateway.unary import BufferedResponse, no_upstream_failure
from masticdale_routing.fleet import Fleet, ReplicaState
from masticdale_routing.versions import StreamOrigin

# A connection that was idle for longer may have been dropped on the network. A
# request sent on it would get no response until the attempt times out. A new
# connection is cheap compared with a turn.
_MAX_IDLE_S = 10.0
# Events of a stream from which on their mean interval is reported.
_MIN_EVENTS_FOR_PACE = 4
# Delay before a caller retries, unless a rejecting replica names one.
_RETRY_AFTER_S = 0.2


@dataclasses.dataclass(frozen=True, slots=True)
class _Interrupted:
    """A response that was interrupted."""

    reason: str


class StreamRelay:
    """Forwards streams; an interrupted one resumes after its last event."""

    def __init__(
        self,
        fleet: Fleet,
        sender: Sender,
        codec: HeaderCodec,
        settings: RelaySettings,
        origins: OriginGuard,
    ) -> None:
        self._origins = origins
        self._fleet = fleet
        self._sender = sender
        self._codec = codec
        self._settings = settings

    async def run(
        self, call: Call, writer: ResponseWriter
    ) -> BufferedResponse | Failure | None:
        """Streams a response to the caller.

        Returns:
            None if the stream was completed or aborted; otherwise the
            response or failure that is still to be sent.
        """
        stream = _Stream(call, writer)
        excluded: set[str] = set()
        last: AttemptFailure | None = None
        state = self._choose(call, excluded)
        attempts = 0
        while state is not None and call.remaining_s > 0:
            attempts += 1
            has_next = functools.partial(
                self._has_next, call, state, excluded, attempts
            )
            outcome = await self._sender.send(
                call, state, self._options(call, stream, has_next)
            )
            if isinstance(outcome, Failed):
                last = outcome.failure()
                stream.may_have_executed |= last.ran is not Executed.NO
            else:
                exchange = outcome.unwrap()
                stream.may_have_executed = True
                result = await self._forward(stream, exchange, has_next)
                if not isinstance(result, _Interrupted):
                    call.completed_replica_id = state.replica.id
                    return await self._end(stream, result)
                last = AttemptFailure(
                    state.replica.id, Executed.YES, result.reason
                )
            call.failed_replica_ids.append(last.replica_id)
            if attempts >= self._settings.max_total_attempts:
                break
            if last.ran is not Executed.NO and (
                not self._sender.crashes.may_repeat(call)
            ):
                break
            state = self._choose_next(call, state, last, excluded)
        return self._fail(call, stream, last)

    def _has_next(
        self,
        call: Call,
        state: ReplicaState,
        excluded: set[str],
        attempts: int,
    ) -> bool:
        """Returns whether an attempt follows if this one is given up now."""
        if attempts >= self._settings.max_total_attempts:
            return False
        if not self._sender.crashes.may_repeat(call):
            return False
        if self._find_eligible(call, state) is not None:
            return True
        return bool(
            self._fleet.healthy(
                call.service.name,
                asyncio.get_running_loop().time(),
                excluded | {state.replica.id},
                _software_version(call),
            )
        )

    def _choose(self, call: Call, excluded: set[str]) -> ReplicaState | None:
        now = asyncio.get_running_loop().time()
        return self._fleet.choose(
            call.service.name,
            call.placement_key,
            now,
            excluded,
            self._preferred_id(call),
            isolation_key=self._sender.crashes.isolation_key(call),
            software_version=_software_version(call),
        )

    def _preferred_id(self, call: Call) -> str:
        """Returns the replica that began the stream, or the assigned one."""
        if call.origin is not None and self._fleet.find(call.origin.replica_id):
            return call.origin.replica_id
        return call.assigned_replica_id

    def _choose_next(
        self,
        call: Call,
        state: ReplicaState,
        last: AttemptFailure,
        excluded: set[str],
    ) -> ReplicaState | None:
        """Returns the replica for the next attempt.

        If the last attempt may have been executed, the same replica is used
        again while it is eligible, since its cache holds the prompt. A replica
        that rejects the request or can't be reached is excluded. The number of
        attempts is limited by ``RelaySettings.max_total_attempts``;
        ``Route.max_attempts`` does not apply to streams.
        """
        if last.ran is not Executed.NO:
            same = self._find_eligible(call, state)
            if same is not None:
                return same
        excluded.add(state.replica.id)
        return self._choose(call, excluded)

    def _find_eligible(
        self, call: Call, state: ReplicaState
    ) -> ReplicaState | None:
        """Returns the replica as listed now; None if it may not go on."""
        eligible = self._fleet.eligible(
            call.service.name, (), _software_version(call)
        )
        for same in eligible:
            if same.replica.id == state.replica.id:
                return same
        return None

    def _options(
        self, call: Call, stream: "_Stream", has_next: Callable[[], bool]
    ) -> AttemptOptions:
        return AttemptOptions(
            response_limit=SilenceLimit(
                self._settings.first_event_timeout_s,
                has_next,
                is_replica_fault=True,
            ),
            max_idle_s=_MAX_IDLE_S if not stream.may_have_executed else 0.0,
            last_event_id=stream.last_event_id,
            preceding_body=(
                call.kept_turn.preceding_body if call.kept_turn else b""
            ),
        )

    async def _forward(
        self,
        stream: "_Stream",
        exchange: Exchange,
        has_next: Callable[[], bool],
    ) -> BufferedResponse | _Interrupted | None:
        try:
            if exchange.head.status != 200:
                return await self._forward_response(stream, exchange)
            return await self._forward_events(stream, exchange, has_next)
        finally:
            exchange.close()

    async def _forward_response(
        self, stream: "_Stream", exchange: Exchange
    ) -> BufferedResponse | _Interrupted:
        body = await exchange.read_body()
        if isinstance(body, Failed):
            return _Interrupted(body.failure())
        if stream.has_started:
            return _Interrupted(
                f"resuming failed with status {exchange.head.status}"
            )
        return BufferedResponse(exchange.head, body.unwrap())

    async def _forward_events(
        self,
        stream: "_Stream",
        exchange: Exchange,
        has_next: Callable[[], bool],
    ) -> _Interrupted | None:
        settings = self._settings
        splitter = EventSplitter()
        limit = SilenceLimit(settings.first_event_timeout_s, has_next)
        later_limit = SilenceLimit(settings.next_event_timeout_s, has_next)
        while True:
            call = stream.call
            outcome = await exchange.read_chunk(limit)
            if isinstance(outcome, Failed):
                return _Interrupted(outcome.failure())
            chunk = outcome.unwrap()
            if chunk is None:
                if splitter.has_partial_event:
                    return _Interrupted("stream ended inside an event")
                stream.start(self._codec, exchange)
                return None
            try:
                events = splitter.feed(chunk)
            except OversizedEventError:
                return _Interrupted("oversized event")
            if events:
                await self._origins.record_first_event(
                    call, _origin(call, exchange)
                )
                stream.start(self._codec, exchange)
                await stream.forward(events)
                limit = later_limit

    async def _end(
        self, stream: "_Stream", response: BufferedResponse | None
    ) -> BufferedResponse | None:
        """Ends a stream whose events were all forwarded.

        Args:
            stream: The stream.
            response: A response that is no stream; returned unchanged.
        """
        if response is not None:
            return response
        turn = stream.call.kept_turn
        if turn is not None:
            saved = await turn.save()
            if isinstance(saved, Failed):
                # To the caller the turn must not look complete: no host could
                # continue it.
                _break_off(stream, f"not saved: {saved.failure()}")
                return None
        stream.writer.finish()
        return None

    def _fail(
        self, call: Call, stream: "_Stream", last: AttemptFailure | None
    ) -> Failure | None:
        reason = last.reason if last else "no replica"
        if stream.has_started:
            _break_off(stream, reason)
            return None
        if not stream.may_have_executed:
            return no_upstream_failure(call, last, _RETRY_AFTER_S)
        if call.remaining_s <= 0:
            return Failure(ErrorKind.TIMED_OUT, reason)
        return Failure(ErrorKind.UPSTREAM_FAILED, reason)


def _software_version(call: Call) -> str | None:
    return call.origin.software_version if call.origin else None


def _origin(call: Call, exchange: Exchange) -> StreamOrigin:
    replica = exchange.replica
    return StreamOrigin(
        call.metadata.stream_id,
        replica.service,
        replica.software_version,
        replica.id,
        call.session_key,
        call.hold_s,
    )


class _Stream:
    """Progress of forwarding one stream.

    Attributes:
        call: The call.
        writer: Writes the response to the caller.
        has_started: Whether the head has been sent.
        may_have_executed: Whether any replica may have executed the call, even
            in part.
        last_event_id: Id of the last event forwarded; empty before that.
    """

    def __init__(self, call: Call, writer: ResponseWriter) -> None:
        self.call = call
        self.writer = writer
        self.has_started = False
        self.may_have_executed = False
        self.last_event_id = ""
        self._first_event_at = 0.0

    def start(self, codec: HeaderCodec, exchange: Exchange) -> None:
        """Sends the head unless it was sent; a resumed stream keeps its own."""
        if self.has_started:
            return
        self.has_started = True
        self.writer.start(
            exchange.head.status, codec.response_headers(exchange.head)
        )

    async def forward(self, events: list[Event]) -> None:
        """Sends the events that the caller does not have yet."""
        fresh = [e for e in events if self._is_new(e)]
        if not fresh:
            return
        self._record_pace(len(fresh))
        await self.writer.send_chunk(b"".join(e.data for e in fresh))
        if self.call.kept_turn is not None:
            self.call.kept_turn.add_events(fresh)

    def _record_pace(self, count: int) -> None:
        call = self.call
        now = asyncio.get_running_loop().time()
        if call.events == 0:
            self._first_event_at = now
        call.events += count
        if call.events >= _MIN_EVENTS_FOR_PACE:
            intervals = call.events - 1
            call.event_interval_s = (now - self._first_event_at) / intervals

    def _is_new(self, event: Event) -> bool:
        if not event.id:
            return True
        if self.last_event_id and _event_number(event.id) <= _event_number(
            self.last_event_id
        ):
            return False
        self.last_event_id = event.id
        return True


def _break_off(stream: _Stream, reason: str) -> None:
    logs.write_bounded(
        "stream_broken_off",
        request_id=stream.call.metadata.request_id,
        events=stream.call.events,
        reason=reason,
    )
    stream.writer.abort()


def _event_number(event_id: str) -> int:
    return int(event_id) if event_id.isdigit() else 0
