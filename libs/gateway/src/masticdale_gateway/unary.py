"""Unary requests: the response is buffered whole, then forwarded."""

import asyncio
import dataclasses

from returns.result import Failure as Failed
from returns.result import Result

from masticdale_common import ErrorKind, Executed, Failure, Metrics
from masticdale_gateway.calls import Call, RelaySettings
from masticdale_gateway.exchanges import (
    AttemptFailure,
    AttemptOptions,
    Exchange,
    Sender,
)
from masticdale_gateway.messages import ResponseHead
from masticdale_gateway.waiting_calls import CallWait, WaitingCalls
from masticdale_routing.fleet import Fleet, ReplicaState

# Retriable requests may use any idle connection that the pool keeps, since they
# are sent again if it was dropped on the network.
_RETRIABLE_MAX_IDLE_S = 60.0


@dataclasses.dataclass(frozen=True, slots=True)
class BufferedResponse:
    """A complete response of a replica."""

    head: ResponseHead
    body: bytes


def no_upstream_failure(
    call: Call, failure: AttemptFailure | None, retry_after_s: float
) -> Failure:
    """Returns the error for a call that no replica has executed.

    Args:
        call: The call.
        failure: The last failed attempt, if any.
        retry_after_s: Delay before a retry if the replica named none.
    """
    requested_s = failure.retry_after_s if failure else None
    detail = failure.reason if failure else f"no replica of {call.service.name}"
    return Failure(
        ErrorKind.NO_UPSTREAM,
        detail,
        retry_after_ms=int(1000 * (requested_s or retry_after_s)),
    )


@dataclasses.dataclass(slots=True)
class _Attempts:
    """The attempts at one call.

    Attributes:
        skipped_ids: Replicas to skip. They are emptied when the call has
            waited, which it does only if no replica may have run it.
        count: Attempts since the call has waited.
        refusals: Attempts since then that a replica has refused.
        possible_executions: Attempts that a replica may have run.
        last: The last failed attempt.
    """

    skipped_ids: set[str] = dataclasses.field(default_factory=set)
    count: int = 0
    refusals: int = 0
    possible_executions: int = 0
    last: AttemptFailure | None = None

    def add(self, failure: AttemptFailure) -> None:
        """Records a failed attempt."""
        self.last = failure
        self.count += 1
        self.skipped_ids.add(failure.replica_id)
        if failure.ran is Executed.NO:
            self.refusals += failure.is_refused
            return
        self.possible_executions += 1

    def begin_round(self) -> None:
        """Begins anew with all replicas; none may have run the call."""
        self.skipped_ids.clear()
        self.count = 0
        self.refusals = 0


class UnaryRelay:
    """Sends unary requests, with retries on other replicas.

    Attributes:
        waiting: The calls that wait for a free slot.
    """

    # Delay before a caller retries, unless a rejecting replica names one. Full
    # replicas of a plain service free a slot within some tens of milliseconds.
    _RETRY_AFTER_S = 0.1

    def __init__(
        self,
        fleet: Fleet,
        sender: Sender,
        settings: RelaySettings,
        metrics: Metrics,
    ) -> None:
        self.waiting = WaitingCalls(fleet, metrics)
        self._fleet = fleet
        self._sender = sender
        self._settings = settings

    async def run(self, call: Call) -> BufferedResponse | Failure:
        """Returns a replica's complete response, or the failure."""
        wait = CallWait()
        try:
            outcome = await self._run(call, wait)
            is_served = not isinstance(outcome, Failure)
            if is_served:
                wait.outcome = "answered"
            elif wait.outcome != "expired":
                wait.outcome = "failed"
            return outcome
        finally:
            self.waiting.log(call, wait)

    async def _run(
        self, call: Call, wait: CallWait
    ) -> BufferedResponse | Failure:
        attempts = _Attempts()
        unserved: Failure | None = None
        must_wait = self.waiting.must_wait(call)
        while call.remaining_s > 0:
            if attempts.possible_executions == 0:
                unserved = self.waiting.refuse_if_late(call)
            if unserved is None and must_wait:
                unserved = await self.waiting.wait(call, wait)
                attempts.begin_round()
            if unserved is not None:
                break
            must_wait = False
            state = self._next_state(call, attempts, wait)
            if state is None:
                must_wait = self._may_wait(call, attempts)
                if must_wait:
                    continue
                break
            outcome = await self._attempt(call, state)
            if not isinstance(outcome, Failed):
                return outcome.unwrap()
            failure = outcome.failure()
            attempts.add(failure)
            if failure.ran is not Executed.NO and (
                attempts.possible_executions >= call.route.max_attempts
                or not self._sender.crashes.may_repeat(call)
            ):
                break
        return self._unserved(call, attempts, unserved)

    def _may_wait(self, call: Call, attempts: _Attempts) -> bool:
        # The replica that may have run a call can have room, but is not to get
        # it again: it would wait beside a free slot, and hold up the others.
        return (
            attempts.refusals > 0
            and attempts.possible_executions == 0
            and self.waiting.may_wait(call)
        )

    def _unserved(
        self, call: Call, attempts: _Attempts, unserved: Failure | None
    ) -> Failure:
        """Returns the failure of a call that no replica has answered."""
        last = attempts.last
        if attempts.possible_executions == 0:
            return unserved or no_upstream_failure(
                call, last, self._RETRY_AFTER_S
            )
        if call.remaining_s <= 0:
            return Failure(ErrorKind.TIMED_OUT)
        return Failure(ErrorKind.UPSTREAM_FAILED, last.reason if last else "")

    def _next_state(
        self, call: Call, attempts: _Attempts, wait: CallWait
    ) -> ReplicaState | None:
        """Returns the replica of the next attempt; None for none."""
        # A call that has waited is refused by one replica at a time: others
        # wait as well, and each of them asking all would only add load.
        if wait.rounds and attempts.refusals:
            return None
        if attempts.count >= self._settings.max_total_attempts:
            return None
        return self._choose(call, attempts.skipped_ids)

    def _choose(self, call: Call, excluded: set[str]) -> ReplicaState | None:
        now = asyncio.get_running_loop().time()
        return self._fleet.choose(
            call.service.name,
            None,
            now,
            excluded,
            may_be_repeated=call.is_retriable,
            isolation_key=self._sender.crashes.isolation_key(call),
        )

    async def _attempt(
        self, call: Call, state: ReplicaState
    ) -> Result[BufferedResponse, AttemptFailure]:
        settings = self._settings
        retriable = call.is_retriable
        options = AttemptOptions(
            response_timeout_s=(
                settings.retriable_response_timeout_s
                if retriable and call.route.max_attempts > 1
                else call.remaining_s
            ),
            max_idle_s=_RETRIABLE_MAX_IDLE_S
            if retriable
            else settings.non_retriable_max_idle_s,
        )
        loop = asyncio.get_running_loop()
        began_at = loop.time()
        is_complete = False
        try:
            sent = await self._sender.send(call, state, options)
            if isinstance(sent, Failed):
                return sent
            exchange = sent.unwrap()
            outcome = await _buffer_response(call, exchange)
            is_complete = not isinstance(outcome, Failed)
            if is_complete:
                self._learn(call, state, exchange, loop.time() - began_at)
            return outcome
        finally:
            # Also if the caller has left: its slot may be free.
            self.waiting.record_end(call.service.name, is_complete=is_complete)

    def _learn(
        self,
        call: Call,
        state: ReplicaState,
        exchange: Exchange,
        duration_s: float,
    ) -> None:
        run_s = state.record_completion(duration_s)
        slowdown_percent = exchange.metadata.slowdown_percent
        # Error responses take less time than the work.
        if slowdown_percent is None or exchange.head.status >= 400:
            return
        self._fleet.call_paces.observe(
            state.replica.incarnation,
            call.route.name,
            run_s,
            slowdown_percent / 100,
            asyncio.get_running_loop().time(),
        )


async def _buffer_response(
    call: Call, exchange: Exchange
) -> Result[BufferedResponse, AttemptFailure]:
    try:
        body = await exchange.read_body(call.deadline_at)
    finally:
        exchange.close()
    return body.map(
        lambda content: BufferedResponse(exchange.head, content)
    ).alt(
        lambda reason: AttemptFailure(
            exchange.replica_id, Executed.UNKNOWN, reason
        )
    )
