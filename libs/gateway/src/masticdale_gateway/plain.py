"""Requests with one answer of known end: read whole, then handed on."""

import asyncio
import dataclasses

from returns.result import Failure as Failed
from returns.result import Result

from masticdale_common import ErrorKind, Failure, Ran
from masticdale_gateway.calls import Call, RelaySettings
from masticdale_gateway.exchanges import (
    Exchange,
    Sender,
    SendFailure,
    SendOptions,
)
from masticdale_gateway.messages import ResponseHead
from masticdale_routing.fleet import Fleet, ReplicaState

# Any fresh connection will do for what may be repeated.
_ANY_IDLE_S = 60.0


@dataclasses.dataclass(frozen=True, slots=True)
class WholeAnswer:
    """A replica's answer, complete.

    Attributes:
        head: Status and headers.
        body: The body.
    """

    head: ResponseHead
    body: bytes


def not_run_failure(
    call: Call, failure: SendFailure | None, retry_after_s: float
) -> Failure:
    """Returns the refusal of a call that no replica has run.

    Args:
        call: The call.
        failure: The last failed send, if there was one.
        retry_after_s: When to come back if the replica didn't say.
    """
    told_s = failure.retry_after_s if failure else None
    detail = failure.reason if failure else f"no replica of {call.service.name}"
    return Failure(
        ErrorKind.NO_UPSTREAM,
        detail,
        retry_after_ms=int(1000 * (told_s or retry_after_s)),
    )


class PlainRelay:
    """Sends plain requests until one has run."""

    # Full replicas of a plain service free a slot within some tens of
    # milliseconds; half of them is worth asking again after this long.
    _RETRY_AFTER_S = 0.1

    def __init__(
        self, fleet: Fleet, sender: Sender, settings: RelaySettings
    ) -> None:
        self._fleet = fleet
        self._sender = sender
        self._settings = settings

    async def run(self, call: Call) -> WholeAnswer | Failure:
        """Returns a replica's whole answer, or why there is none."""
        excluded: set[str] = set()
        last: SendFailure | None = None
        runs = 0
        for _ in range(self._settings.sends):
            if call.remaining_s <= 0:
                break
            state = self._choose(call, excluded)
            if state is None:
                break
            outcome = await self._try(call, state)
            if not isinstance(outcome, Failed):
                return outcome.unwrap()
            last = outcome.failure()
            excluded.add(last.replica_id)
            if last.ran is Ran.NO:
                continue
            runs += 1
            if not call.is_repeatable or runs >= call.route.max_attempts:
                break
        if runs == 0:
            return not_run_failure(call, last, self._RETRY_AFTER_S)
        if call.remaining_s <= 0:
            return Failure(ErrorKind.TIMED_OUT)
        return Failure(ErrorKind.UPSTREAM_FAILED, last.reason if last else "")

    def _choose(self, call: Call, excluded: set[str]) -> ReplicaState | None:
        now = asyncio.get_running_loop().time()
        return self._fleet.choose(call.service.name, None, now, excluded)

    async def _try(
        self, call: Call, state: ReplicaState
    ) -> Result[WholeAnswer, SendFailure]:
        settings = self._settings
        repeatable = call.is_repeatable
        options = SendOptions(
            answer_s=(
                settings.repeatable_answer_s
                if repeatable and call.route.max_attempts > 1
                else call.remaining_s
            ),
            max_idle_s=_ANY_IDLE_S if repeatable else settings.unsafe_idle_s,
        )
        outcome = await self._sender.send(call, state, options)
        if isinstance(outcome, Failed):
            return outcome
        return await _read_whole(call, outcome.unwrap())


async def _read_whole(
    call: Call, exchange: Exchange
) -> Result[WholeAnswer, SendFailure]:
    try:
        body = await exchange.read_body(call.deadline_at)
    finally:
        exchange.close()
    return body.map(lambda whole: WholeAnswer(exchange.head, whole)).alt(
        lambda reason: SendFailure(exchange.replica_id, Ran.UNKNOWN, reason)
    )
