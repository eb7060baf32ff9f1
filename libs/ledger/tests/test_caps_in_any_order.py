"""Tests of usage caps under partitions, stops and crashes in any order."""

import argparse
import asyncio
import bisect
import collections
import functools
import random
import unittest

from hosts_case import (
    SHARD,
    WEIGHT_BY_KIND,
    World,
    shrink,
    simulated,
)

from masticdale_ledger.messages import AdmitRequest
from masticdale_workspaces import UsageCap, UsageTolerance

# Seeds of the random plans played in each run, and events per plan.
_SEEDS = range(120)
_EVENTS_PER_PLAN = 250
_WINDOW_S = 5.0
# Rate and burst by workspace.
_CAP_BY_WORKSPACE = {"small": UsageCap(4.0, 4.0), "large": UsageCap(60.0, 40.0)}
_TOLERANCES = (
    UsageTolerance(_WINDOW_S, 0.0, 0.0),
    UsageTolerance(_WINDOW_S, 0.1, 20.0),
)
# Calls that each host asks for after each event.
_CALLS_BY_WORKSPACE = {"small": 2, "large": 12}
# Turns are asked for seldom, so that not every copy is sent for one. Hosts
# recover often, so that caps are used up between the faults.
_WEIGHTS = WEIGHT_BY_KIND | {
    "ask-turns": 4,
    "end-turn": 2,
    "reconcile": 40,
    "refresh-map": 16,
    "replicate": 8,
    "heal": 6,
    "store-up": 6,
    "start": 8,
}


class CapWorld(World):
    """Hosts whose callers send far more than their caps allow."""

    def __init__(self, tolerance):
        super().__init__(budget=100_000)
        self.usage_tolerance = tolerance
        self.granted_at_by_workspace = collections.defaultdict(list)
        self.refused = collections.Counter()

    async def call(self, name, workspace, count):
        """Asks one host for calls of one workspace."""
        process = self.process_by_name.get(name)
        view = process.map.get(SHARD) if process else None
        if view is None:
            return
        cap = _CAP_BY_WORKSPACE[workspace]
        for _ in range(count):
            self._requests += 1
            request = AdmitRequest(
                SHARD,
                f"program-{self._requests % 5}",
                f"r{self._requests}",
                0,
                0,
                process.identity.host_address,
                process.is_stopping,
                is_call=True,
                workspace=workspace,
                cap_rate_per_s=cap.rate_per_s,
                cap_burst=cap.burst,
                cap_version=1,
            )
            if await self._is_granted(process, view, request):
                self.granted_at_by_workspace[workspace].append(self.clock.now_s)

    async def _is_granted(self, process, view, request):
        for port in (view.record.port, view.record.standby_port):
            if not port:
                continue
            outcome = await self._ask(process, port, request)
            is_unanswered = not hasattr(outcome, "unwrap") or (
                outcome.value_or(None) is None
            )
            if port == view.record.port:
                self._update_reachability(process, view, is_unanswered)
            if is_unanswered:
                continue
            failure = outcome.unwrap().failure
            if failure is None:
                return True
            self.refused[failure.kind] += 1
        return False

    async def step(self, kind, first, second):
        await super().step(kind, first, second)
        # Watches tell hosts in touch of a new owner within the event's time.
        await self.refresh_maps()
        for process in self.process_by_name.values():
            await process.reconciler._drop_superseded()
        for name in self.names.values():
            for workspace, count in _CALLS_BY_WORKSPACE.items():
                await self.call(name, workspace, count)

    def exceeded(self):
        """Returns the most requests in a window, where that is too many."""
        found = {}
        for workspace, times in self.granted_at_by_workspace.items():
            cap = _CAP_BY_WORKSPACE[workspace]
            allowed = cap.rate_per_s * _WINDOW_S + cap.burst
            allowed += self.usage_tolerance.excess(cap)
            most = max(
                bisect.bisect_right(times, begin + _WINDOW_S) - index
                for index, begin in enumerate(times)
            )
            if most > allowed + 1e-6:
                found[workspace] = (most, allowed)
        return found


def random_steps(seed):
    """Returns a plan of events, each with its two selectors."""
    chooser = random.Random(seed)
    kinds = chooser.choices(
        list(_WEIGHTS), list(_WEIGHTS.values()), k=_EVENTS_PER_PLAN
    )
    return [
        (kind, chooser.randrange(101), chooser.randrange(8)) for kind in kinds
    ]


async def play(seed, steps):
    """Plays a plan; returns its world."""
    world = CapWorld(_TOLERANCES[seed % 2])
    with simulated(world):
        await world.begin()
        for step in steps:
            await world.step(*step)
            if world.exceeded():
                break
    return world


def exceeds(seed, steps):
    return bool(asyncio.run(play(seed, steps)).exceeded())


class CapsInAnyOrderTest(unittest.TestCase):
    def test_no_window_exceeds_a_cap(self):
        """Guards against caps that each of two hosts grants in full.

        Partitions, lost answers, store outages, crashes, stops and restarts
        occur in random order and overlap.
        """
        granted = 0
        for seed in _SEEDS:
            with self.subTest(seed=seed):
                world = asyncio.run(play(seed, random_steps(seed)))
                self.assertEqual(world.exceeded(), {}, f"seed {seed}")
                granted += sum(map(len, world.granted_at_by_workspace.values()))
        self.assertGreater(granted, 500 * len(_SEEDS))


def main():
    parser = argparse.ArgumentParser(description="Plays plans of new seeds.")
    parser.add_argument("--first", type=int, required=True)
    parser.add_argument("--count", type=int, default=1000)
    parser.add_argument("--show", action="store_true")
    args = parser.parse_args()
    failed_count = 0
    for seed in range(args.first, args.first + args.count):
        steps = random_steps(seed)
        world = asyncio.run(play(seed, steps))
        if not world.exceeded():
            continue
        failed_count += 1
        print(f"seed {seed}: {world.exceeded()}")
        if args.show:
            world = asyncio.run(
                play(seed, shrink(steps, functools.partial(exceeds, seed)))
            )
            for event in world.trace:
                print(event)
            for message_type, fields in world.log_lines:
                print("   ", message_type, fields)
    print(f"{failed_count} of {args.count} plans exceed a cap")


if __name__ == "__main__":
    import sys

    if len(sys.argv) > 1:
        main()
    else:
        unittest.main()
