"""How long a replica that sends nothing is waited for."""

import asyncio
import dataclasses
import math
from collections.abc import Awaitable, Callable
from typing import TypeVar

from masticdale_common import logs
from masticdale_gateway.calls import Call
from masticdale_routing.fleet import ReplicaState

_T = TypeVar("_T")


@dataclasses.dataclass(frozen=True, slots=True)
class SilenceLimit:
    """When an attempt whose replica sends nothing is given up.

    Silence does not tell a replica at work from one that is gone. Giving up
    helps the caller only if another attempt follows; otherwise it loses a
    response that may still arrive by the deadline.

    Attributes:
        timeout_s: Time without bytes after which the attempt is given up if
            another one follows.
        has_next: Returns whether another attempt would follow now.
        is_replica_fault: Whether other hosts should learn of a silence that
            ends before the deadline.
    """

    timeout_s: float
    has_next: Callable[[], bool]
    is_replica_fault: bool = False


UNTIL_DEADLINE = SilenceLimit(math.inf, lambda: False)


class SilentReplicaError(Exception):
    """An attempt was given up because its replica sent nothing."""


async def wait_for_bytes(
    read: Callable[[], Awaitable[_T]],
    call: Call,
    state: ReplicaState,
    limit: SilenceLimit,
) -> _T:
    """Waits for what a replica sends next.

    The first silence is recorded as a failure of the replica, so that other
    requests avoid it, whether or not the attempt is given up.

    Args:
        read: Reads from the connection; may be cancelled and called again.
        call: The call.
        state: The replica.
        limit: When to give up.

    Raises:
        SilentReplicaError: The attempt is given up.
    """
    loop = asyncio.get_running_loop()
    began_at = loop.time()
    is_recorded = False
    while True:
        wait_s = min(limit.timeout_s, call.remaining_s)
        try:
            async with asyncio.timeout(wait_s):
                return await read()
        except TimeoutError as error:
            is_deadline = call.remaining_s <= 0
            if not is_recorded:
                is_recorded = True
                is_fault = limit.is_replica_fault and not is_deadline
                state.record_failure(loop.time(), is_replica_fault=is_fault)
            gives_up = is_deadline or limit.has_next()
            _log(call, state, loop.time() - began_at, gives_up)
            if gives_up:
                reason = "deadline reached" if is_deadline else "timed out"
                raise SilentReplicaError(reason) from error


def _log(
    call: Call, state: ReplicaState, silent_s: float, gives_up: bool
) -> None:
    logs.write_bounded(
        "replica_silent",
        request_id=call.metadata.request_id,
        replica=state.replica.id,
        attempt=len(call.replica_ids),
        events=call.events,
        silent_ms=round(1000 * silent_s),
        remaining_ms=round(1000 * call.remaining_s),
        gives_up=gives_up,
    )
