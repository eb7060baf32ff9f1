"""Unary requests: the response is buffered whole, then forwarded."""

import asyncio
import dataclasses
import functools
from collections.abc import Callable

from returns.result import Failure as Failed
from returns.result import Result

from masticdale_common import ErrorKind, Executed, Failure
from masticdale_gateway.calls import Call, RelaySettings
from masticdale_gateway.exchanges import (
    AttemptFailure,
    AttemptOptions,
    Exchange,
    Sender,
)
from masticdale_gateway.messages import ResponseHead
from masticdale_gateway.silence import UNTIL_DEADLINE, SilenceLimit
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


class UnaryRelay:
    """Sends unary requests, with retries on other replicas."""

    # Delay before a caller retries, unless a rejecting replica names one. Full
    # replicas of a plain service free a slot within some tens of milliseconds.
    _RETRY_AFTER_S = 0.1

    def __init__(
        self, fleet: Fleet, sender: Sender, settings: RelaySettings
    ) -> None:
        self._fleet = fleet
        self._sender = sender
        self._settings = settings

    async def run(self, call: Call) -> BufferedResponse | Failure:
        """Returns a replica's complete response, or the failure."""
        excluded: set[str] = set()
        last: AttemptFailure | None = None
        possible_executions = 0
        for attempts in range(1, self._settings.max_total_attempts + 1):
            if call.remaining_s <= 0:
                break
            state = self._choose(call, excluded)
            if state is None:
                break
            is_last = (
                attempts == self._settings.max_total_attempts
                or possible_executions + 1 >= call.route.max_attempts
            )
            has_next = functools.partial(
                self._has_next, call, state, excluded, is_last
            )
            outcome = await self._attempt(call, state, has_next)
            if not isinstance(outcome, Failed):
                return outcome.unwrap()
            last = outcome.failure()
            excluded.add(last.replica_id)
            if last.ran is Executed.NO:
                continue
            possible_executions += 1
            if (
                possible_executions >= call.route.max_attempts
                or not self._sender.crashes.may_repeat(call)
            ):
                break
        if possible_executions == 0:
            return no_upstream_failure(call, last, self._RETRY_AFTER_S)
        if call.remaining_s <= 0:
            return Failure(ErrorKind.TIMED_OUT)
        return Failure(ErrorKind.UPSTREAM_FAILED, last.reason if last else "")

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

    def _has_next(
        self,
        call: Call,
        state: ReplicaState,
        excluded: set[str],
        is_last: bool,
    ) -> bool:
        """Returns whether an attempt follows if this one is given up now."""
        if is_last or not self._sender.crashes.may_repeat(call):
            return False
        return bool(
            self._fleet.eligible(
                call.service.name, excluded | {state.replica.id}
            )
        )

    async def _attempt(
        self,
        call: Call,
        state: ReplicaState,
        has_next: Callable[[], bool],
    ) -> Result[BufferedResponse, AttemptFailure]:
        settings = self._settings
        retriable = call.is_retriable
        response_limit = UNTIL_DEADLINE
        if retriable and call.route.max_attempts > 1:
            response_limit = SilenceLimit(
                settings.retriable_response_timeout_s,
                has_next,
                is_replica_fault=True,
            )
        options = AttemptOptions(
            response_limit=response_limit,
            max_idle_s=_RETRIABLE_MAX_IDLE_S
            if retriable
            else settings.non_retriable_max_idle_s,
        )
        outcome = await self._sender.send(call, state, options)
        if isinstance(outcome, Failed):
            return outcome
        return await _buffer_response(outcome.unwrap())


async def _buffer_response(
    exchange: Exchange,
) -> Result[BufferedResponse, AttemptFailure]:
    try:
        body = await exchange.read_body()
    finally:
        exchange.close()
    return body.map(
        lambda content: BufferedResponse(exchange.head, content)
    ).alt(
        lambda reason: AttemptFailure(
            exchange.replica_id, Executed.UNKNOWN, reason
        )
    )
