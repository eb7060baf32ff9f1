"""Reservations: a program's worst case is set aside before a call runs."""

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
class Need:
    """The worst case of one call."""

    tokens: int = 0
    calls: int = 0
    turns: int = 0


def count_tokens(text: str) -> int:
    """Returns the tokens charged for a caller's text."""
    return math.ceil(len(text.encode()) / _BYTES_PER_TOKEN)


async def reserve(
    program: Program, budget: Budget, need: Need, deadline: float
) -> Result[None, Failure]:
    """Sets the worst case of a call aside.

    Branches share the program's budget: while only their reservations stand
    in the way, the call waits for them to be settled.

    Args:
        program: Its spending is changed.
        budget: The budget in force.
        need: The worst case.
        deadline: Monotonic seconds after which nobody waits.

    Returns:
        BUDGET_EXCEEDED when what is spent already leaves too little.
    """
    while True:
        short = _spent_shortage(program, budget, need)
        if short:
            return Failed(Failure(ErrorKind.BUDGET_EXCEEDED, short))
        if _fits(program, budget, need):
            break
        try:
            async with asyncio.timeout(deadline - time.monotonic()):
                await program.settled.wait()
        except TimeoutError:
            return Failed(Failure(ErrorKind.DEADLINE_EXCEEDED))
    hold(program, need)
    return Success(None)


def hold(program: Program, need: Need) -> None:
    """Sets an amount aside without asking; ``settle`` returns it."""
    program.spending.reserved_tokens += need.tokens
    program.spending.reserved_calls += need.calls
    program.spending.reserved_turns += need.turns


def settle(program: Program, need: Need) -> None:
    """Returns a reservation; what was spent is charged by the records."""
    program.spending.reserved_tokens -= need.tokens
    program.spending.reserved_calls -= need.calls
    program.spending.reserved_turns -= need.turns
    program.settled.set()
    program.settled = asyncio.Event()


def _spent_shortage(program: Program, budget: Budget, need: Need) -> str:
    spending = program.spending
    rows = (
        ("tokens", spending.tokens, need.tokens, budget.tokens),
        ("calls", spending.calls, need.calls, budget.calls),
        ("turns", spending.turns, need.turns, budget.turns),
    )
    for name, spent, needed, limit in rows:
        if needed and spent + needed > limit:
            return f"{name}: {spent} of {limit} spent, {needed} needed."
    return ""


def _fits(program: Program, budget: Budget, need: Need) -> bool:
    spending = program.spending
    tokens = spending.tokens + spending.reserved_tokens + need.tokens
    calls = spending.calls + spending.reserved_calls + need.calls
    turns = spending.turns + spending.reserved_turns + need.turns
    return (
        (not need.tokens or tokens <= budget.tokens)
        and (not need.calls or calls <= budget.calls)
        and (not need.turns or turns <= budget.turns)
    )


async def acquire(
    order: asyncio.Lock, deadline: float
) -> Result[None, Failure]:
    """Waits for a branch's turn, at most until the deadline."""
    try:
        async with asyncio.timeout(deadline - time.monotonic()):
            await order.acquire()
    except TimeoutError:
        return Failed(Failure(ErrorKind.DEADLINE_EXCEEDED))
    return Success(None)
