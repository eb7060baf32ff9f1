"""Budget reservations: a call's maximum cost is reserved before it runs."""

import asyncio
import dataclasses
import math
import time

from returns.result import Failure as Failed
from returns.result import Result, Success

from masticdale_common import ErrorKind, Failure
from masticdale_programs.records import Budget
from masticdale_programs.state import Program

_BYTES_PER_TOKEN = 4


@dataclasses.dataclass(frozen=True, slots=True)
class Reservation:
    """The maximum cost of one call."""

    tokens: int = 0
    calls: int = 0
    turns: int = 0


def count_tokens(text: str) -> int:
    """Returns the number of tokens charged for a caller's text."""
    return math.ceil(len(text.encode()) / _BYTES_PER_TOKEN)


async def reserve(
    program: Program, budget: Budget, reservation: Reservation, deadline: float
) -> Result[None, Failure]:
    """Reserves the maximum cost of a call.

    Branches share the program's budget. If the call fits once the
    reservations of other branches are released, it waits for that.

    Args:
        program: The program; its spending is changed.
        budget: The program's current budget.
        reservation: The maximum cost.
        deadline: Monotonic time, in seconds, until which the caller waits.

    Returns:
        BUDGET_EXCEEDED if the unspent budget is too small,
        DEADLINE_EXCEEDED if the call did not fit before the deadline.
    """
    while True:
        shortage = _describe_shortage(program, budget, reservation)
        if shortage:
            return Failed(Failure(ErrorKind.BUDGET_EXCEEDED, shortage))
        if _fits(program, budget, reservation):
            break
        try:
            async with asyncio.timeout(deadline - time.monotonic()):
                await program.reservation_released.wait()
        except TimeoutError:
            return Failed(Failure(ErrorKind.DEADLINE_EXCEEDED))
    reserve_unchecked(program, reservation)
    return Success(None)


def reserve_unchecked(program: Program, reservation: Reservation) -> None:
    """Reserves an amount without checking the budget."""
    program.spending.reserved_tokens += reservation.tokens
    program.spending.reserved_calls += reservation.calls
    program.spending.reserved_turns += reservation.turns


def release_reservation(program: Program, reservation: Reservation) -> None:
    """Releases a reservation; committed records charge the actual cost."""
    program.spending.reserved_tokens -= reservation.tokens
    program.spending.reserved_calls -= reservation.calls
    program.spending.reserved_turns -= reservation.turns
    program.reservation_released.set()
    program.reservation_released = asyncio.Event()


def _describe_shortage(
    program: Program, budget: Budget, reservation: Reservation
) -> str:
    spending = program.spending
    rows = (
        ("tokens", spending.tokens, reservation.tokens, budget.tokens),
        ("calls", spending.calls, reservation.calls, budget.calls),
        ("turns", spending.turns, reservation.turns, budget.turns),
    )
    for name, spent, needed, limit in rows:
        if needed and spent + needed > limit:
            return f"{name}: {spent} of {limit} spent, {needed} needed."
    return ""


def _fits(program: Program, budget: Budget, reservation: Reservation) -> bool:
    spending = program.spending
    tokens = spending.tokens + spending.reserved_tokens + reservation.tokens
    calls = spending.calls + spending.reserved_calls + reservation.calls
    turns = spending.turns + spending.reserved_turns + reservation.turns
    return (
        (not reservation.tokens or tokens <= budget.tokens)
        and (not reservation.calls or calls <= budget.calls)
        and (not reservation.turns or turns <= budget.turns)
    )


async def acquire_lock(
    lock: asyncio.Lock, deadline: float
) -> Result[None, Failure]:
    """Acquires a branch's lock, or fails with DEADLINE_EXCEEDED."""
    try:
        async with asyncio.timeout(deadline - time.monotonic()):
            await lock.acquire()
    except TimeoutError:
        return Failed(Failure(ErrorKind.DEADLINE_EXCEEDED))
    return Success(None)
