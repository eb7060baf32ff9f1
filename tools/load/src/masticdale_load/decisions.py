"""Microbenchmarks of placement and queue operations."""

import dataclasses
import random
import statistics
import time
from collections.abc import Callable

from masticdale_routing import (
    Candidate,
    InFlightSettings,
    LeastCost,
    Location,
    PlacementRequest,
    QueueSettings,
    Ticket,
    choose_probes,
    create_replica_queue,
    place,
)

_CANDIDATES = 28
_DOMAINS = 4
_ROUNDS = 2_000
_SEED = 6
_QUEUE_SIZES = (100, 1_000, 10_000, 100_000)
_FAR_FUTURE_S = 1e9


@dataclasses.dataclass(frozen=True, slots=True)
class Cost:
    """Duration of one operation.

    Attributes:
        operation: Name of the operation.
        size: Number of candidates or waiting tickets.
        median_us: Median duration in microseconds.
        p99_us: 99th percentile of the duration in microseconds.
    """

    operation: str
    size: int
    median_us: float
    p99_us: float


def measure_decisions() -> list[Cost]:
    """Times the placement and queue operations that each call performs."""
    costs = [_time_place(), _time_probes()]
    for size in _QUEUE_SIZES:
        costs += _time_queue(size)
    return costs


def format_costs(costs: list[Cost]) -> str:
    """Returns the costs as a text table."""
    lines = [f"{'operation':16} {'size':>8} {'median us':>10} {'p99 us':>9}"]
    lines += [
        f"{c.operation:16} {c.size:8} {c.median_us:10.1f} {c.p99_us:9.1f}"
        for c in costs
    ]
    return "\n".join(lines)


def _timed(operation: str, size: int, action: Callable[[int], object]) -> Cost:
    times_us = []
    for number in range(_ROUNDS):
        begin = time.perf_counter_ns()
        action(number)
        times_us.append((time.perf_counter_ns() - begin) / 1_000)
    cuts = statistics.quantiles(times_us, n=100)
    return Cost(operation, size, statistics.median(times_us), cuts[-1])


def _time_place() -> Cost:
    generator = random.Random(_SEED)
    candidates = [
        Candidate(
            f"r{number}",
            f"d{number % _DOMAINS}",
            generator.uniform(0, 20),
            generator.randrange(20_000),
        )
        for number in range(_CANDIDATES)
    ]
    request = PlacementRequest("p", 20_000, 150, "r3")
    policy = LeastCost()
    return _timed(
        "place", _CANDIDATES, lambda _: place(request, candidates, policy)
    )


def _time_probes() -> Cost:
    locations = [
        Location(f"r{number}", f"d{number % _DOMAINS}")
        for number in range(_CANDIDATES)
    ]
    return _timed(
        "choose_probes",
        _CANDIDATES,
        lambda number: choose_probes(f"p{number}", locations),
    )


def _ticket(number: int, generator: random.Random) -> Ticket:
    return Ticket(
        f"t{number}",
        "host",
        f"w{generator.randrange(20)}",
        f"p{number}",
        generator.randrange(3),
        float(number),
        _FAR_FUTURE_S,
        generator.uniform(0, 300),
    )


def _time_queue(size: int) -> list[Cost]:
    generator = random.Random(_SEED)
    queue = create_replica_queue(
        "r",
        QueueSettings(
            age_bound_s=_FAR_FUTURE_S,
            max_waiting=size + 2 * _ROUNDS,
            in_flight=InFlightSettings(initial=1),
        ),
    )
    tickets = [_ticket(n, generator) for n in range(size + 2 * _ROUNDS)]
    for ticket in tickets[:size]:
        queue.offer(ticket, 0.0)
    probe = dataclasses.replace(tickets[0], ticket_id="probe")

    def serve(_: int) -> None:
        running = queue.running()
        queue.withdraw(running[0].ticket_id, 0.0)
        queue.take_granted(0.0)

    return [
        _timed(
            "queue offer", size, lambda n: queue.offer(tickets[size + n], 0)
        ),
        _timed("queue probe", size, lambda _: queue.expected_wait_s(probe, 0)),
        _timed("queue serve", size, serve),
        _timed(
            "queue withdraw",
            size,
            lambda n: queue.withdraw(tickets[size + n].ticket_id, 0),
        ),
    ]
