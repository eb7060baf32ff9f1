"""Load test: workspaces whose programs need more than their usage cap.

Pattern: programs of a few turns, each followed by several calls at once, begin
in bursts at several times the usual rate. A program whose request is refused
for good has wasted what it has used.
"""

import heapq
import random
import unittest

from masticdale_workspaces import (
    Demand,
    UsageCap,
    UsageClaim,
    UsageCounter,
    UsageTolerance,
)

TOLERANCE = UsageTolerance(window_s=5.0, share=0.1, requests=20.0)
# Rate and burst of small workspaces, the most common ones.
CAPS = (
    UsageCap(5.0, 5.0),
    UsageCap(9.0, 9.0),
    UsageCap(20.0, 20.0),
    UsageCap(60.0, 60.0),
)
DURATION_S = 120.0
# Usual load as a share of the rate, and how much more comes in a burst.
USUAL_LOAD = 0.4
BURST_FACTOR = 4.0
BURST_S = 5.0
BURST_INTERVAL_S = 20.0
TURNS = 4
CALLS_PER_TURN = 3
STEP_S = 0.25
REQUESTS_PER_PROGRAM = TURNS * (1 + CALLS_PER_TURN)


def program_starts(cap, chooser):
    """Yields the times at which programs begin."""
    usual_per_s = USUAL_LOAD * cap.rate_per_s / REQUESTS_PER_PROGRAM
    now = 0.0
    while now < DURATION_S:
        in_burst = now % BURST_INTERVAL_S < BURST_S
        factor = BURST_FACTOR if in_burst else 1.0
        now += chooser.expovariate(factor * usual_per_s)
        yield now


def requests_of(cap, seed):
    """Returns the requests of all programs in order of time."""
    chooser = random.Random(seed)
    queue = []
    for program, begin in enumerate(program_starts(cap, chooser)):
        for turn in range(TURNS):
            at = begin + turn * STEP_S
            heapq.heappush(queue, (at, program, True, turn))
            for _ in range(CALLS_PER_TURN):
                at_call = at + STEP_S * chooser.uniform(0.5, 0.9)
                heapq.heappush(queue, (at_call, program, False, turn))
    return [heapq.heappop(queue) for _ in range(len(queue))]


def play(cap, seed, demand_of):
    """Returns the programs broken at their first request, and under way."""
    counter = UsageCounter(TOLERANCE, 0.0)
    claim = UsageClaim("w", cap, 1)
    begun = set()
    broken = {}
    for now, program, is_turn, _ in requests_of(cap, seed):
        if program in broken:
            continue
        demand = demand_of(program in begun, is_turn)
        if counter.wait_s(claim, demand, now) != 0:
            broken[program] = program in begun
            continue
        counter.take(claim, now)
        begun.add(program)
    under_way = sum(broken.values())
    return len(broken) - under_way, under_way


def by_standing(is_begun, is_turn):
    if not is_turn:
        return Demand.CALL
    return Demand.TURN if is_begun else Demand.NEW


def whoever_comes(is_begun, is_turn):
    return Demand.NEW


class ProgramLoadTest(unittest.TestCase):
    """Guards against programs that are ended by others of their workspace."""

    def broken(self, demand_of):
        played = [play(cap, seed, demand_of) for cap in CAPS for seed in (1, 2)]
        return [sum(column) for column in zip(*played, strict=True)]

    def test_few_programs_under_way_are_broken(self):
        first, under_way = self.broken(by_standing)
        first_before, under_way_before = self.broken(whoever_comes)
        self.assertGreater(under_way_before, 20)
        self.assertLessEqual(under_way, under_way_before / 4)
        self.assertLess(first + under_way, first_before + under_way_before)


if __name__ == "__main__":
    unittest.main()
