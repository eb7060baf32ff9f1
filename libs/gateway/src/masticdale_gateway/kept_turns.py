"""Turns that are kept after their end, so that others can continue them."""

import asyncio
import time

from returns.result import Failure as Failed
from returns.result import Result, Success

from masticdale_common import ErrorKind, Failure, JsonValue, Metrics, logs
from masticdale_gateway.calls import Call
from masticdale_gateway.events import Event
from masticdale_gateway.histories import TurnHistory, TurnOutput
from masticdale_history.records import Chain, TurnRecord

# Time limit for reading the previous turn. Callers wait 2 to 3 s for the first
# event, and the turn itself needs a part of that.
_LOAD_TIMEOUT_S = 1.5
# Time limit for writing a turn, during which the end of its response waits.
_SAVE_TIMEOUT_S = 2.0
# Time by which these limits are exceeded before they are enforced from outside,
# so that the history can report which hosts did not answer.
_REPORT_S = 0.05
# Maximum size of a chain together with the new input, in bytes.
_MAX_BODY_BYTES = 8 << 20


class KeptTurn:
    """A turn that is recorded at the end of its response.

    Attributes:
        chain: The turns before it.
        save_wait_s: Time for which the end of the response has waited for the
            record, in seconds; None before the end.
    """

    def __init__(self, call: Call, chain: Chain, history: TurnHistory) -> None:
        self.chain = chain
        self.save_wait_s: float | None = None
        self._call = call
        self._history = history
        self._output = TurnOutput()

    @property
    def preceding_body(self) -> bytes:
        """The part of the replica's request that precedes the new input."""
        return self.chain.body()

    def log_fields(self) -> dict[str, JsonValue]:
        """Returns what the log line of the request says of the turn."""
        wait_s = self.save_wait_s
        return {
            "chain_turns": len(self.chain.records),
            "save_wait_ms": None if wait_s is None else round(1000 * wait_s, 1),
        }

    def add_events(self, events: list[Event]) -> None:
        """Adds events that were forwarded to the caller."""
        for event in events:
            self._output.add(event)

    async def save(self) -> Result[None, Failure]:
        """Makes the turn durable; its response must not end before.

        Returns:
            None, or HISTORY_UNAVAILABLE if that fails or takes too long.
        """
        loop = asyncio.get_running_loop()
        began_at = loop.time()
        deadline_at = min(self._call.deadline_at, began_at + _SAVE_TIMEOUT_S)
        try:
            async with asyncio.timeout_at(deadline_at + _REPORT_S):
                return await self._history.save(
                    self._call.metadata.request_id,
                    self._record(),
                    self.chain,
                    deadline_at,
                )
        except TimeoutError:
            return Failed(_timed_out("the turn was not saved in time"))
        finally:
            # Also if the caller leaves or the process stops meanwhile.
            self.save_wait_s = loop.time() - began_at

    def _record(self) -> TurnRecord:
        call = self._call
        metadata = call.metadata
        return TurnRecord(
            turn_id=metadata.request_id,
            workspace=call.workspace_name,
            previous_id=metadata.previous_turn_id,
            chain_key=(
                self.chain.key or metadata.session_id or metadata.request_id
            ),
            input=call.request.body,
            output=self._output.content(),
            ended_at_ms=int(1000 * time.time()),
            retention_ms=round(1000 * (call.route.retention_s or 0.0)),
        )


async def open_turn(
    call: Call, history: TurnHistory, metrics: Metrics
) -> Result[KeptTurn, Failure]:
    """Loads what a turn continues, before anything of it runs.

    Args:
        call: A turn on a route that keeps histories.
        history: Reads and writes the turns.
        metrics: Metrics registry.

    Returns:
        The turn, ready to be sent to a replica. A failure means that it must
        not be: BAD_REQUEST if it has no id, TURN_UNKNOWN if there is no such
        previous turn, TOO_LARGE with its whole chain, or HISTORY_UNAVAILABLE.
    """
    outcome = await _open(call, history, metrics)
    if isinstance(outcome, Failed):
        failure: Failure = outcome.failure()
        logs.write_bounded(
            "turn_refused",
            request_id=call.metadata.request_id,
            previous_turn_id=call.metadata.previous_turn_id,
            workspace=call.workspace_name,
            outcome=failure.kind.value,
            detail=failure.detail,
        )
    return outcome


async def _open(
    call: Call, history: TurnHistory, metrics: Metrics
) -> Result[KeptTurn, Failure]:
    metadata = call.metadata
    if not metadata.request_id:
        # Without an id no turn could continue it.
        return Failed(Failure(ErrorKind.BAD_REQUEST, "Request-Id is missing"))
    if metadata.last_event_id:
        # The events before are at another host, if anywhere, so that the
        # record would lack them.
        detail = "the beginning of the turn is not known"
        return Failed(Failure(ErrorKind.HISTORY_UNAVAILABLE, detail))
    loaded = await _load(call, history)
    if isinstance(loaded, Failed):
        return loaded
    chain = loaded.unwrap()
    size_bytes = chain.size_bytes + len(call.request.body)
    if size_bytes > _MAX_BODY_BYTES:
        detail = f"{size_bytes} bytes with the turns before"
        return Failed(Failure(ErrorKind.TOO_LARGE, detail))
    refusal = history.check_room()
    if refusal is not None:
        return Failed(refusal)
    metrics.count("history_chain_bytes_total", chain.size_bytes)
    return Success(KeptTurn(call, chain, history))


async def _load(call: Call, history: TurnHistory) -> Result[Chain, Failure]:
    metadata = call.metadata
    if not metadata.previous_turn_id:
        return Success(Chain())
    now = asyncio.get_running_loop().time()
    deadline_at = min(call.deadline_at, now + _LOAD_TIMEOUT_S)
    try:
        async with asyncio.timeout_at(deadline_at + _REPORT_S):
            return await history.load(
                metadata.request_id,
                call.workspace_name,
                metadata.previous_turn_id,
                metadata.session_id,
                deadline_at,
            )
    except TimeoutError:
        return Failed(_timed_out("the previous turn was not read in time"))


def _timed_out(detail: str) -> Failure:
    return Failure(ErrorKind.HISTORY_UNAVAILABLE, detail)
