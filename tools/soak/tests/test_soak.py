"""The soak's checks, tried on builds that they have to find; its plans.

Each check is tried once on a build that breaks its promise on purpose. The
faults are those that bring the break about; a sound build is clean under the
same ones, or the seeded runs would show it.
"""

import asyncio
import pathlib
import sys
import tempfile
import unittest

from masticdale_soak import (
    CHECK_BY_NAME,
    Fault,
    Plan,
    Step,
    make_plan,
    run_plan,
)

BROKEN_HOST = pathlib.Path(__file__).with_name("broken_host.py")
# Builds that run at once; each is two entry hosts.
AT_ONCE = 3
SECONDS = 6.0
# A program that loops shows this break once it has passed its budget, after
# thirteen turns. On a busy machine some seven of them fit into six seconds.
SECONDS_BY_BUILD = {"forget_budgets": 24.0}
# Numbers of replicas: three engines, then three desks.
UNARY_REPLICAS = (3, 4, 5)
ENGINES = (0, 1, 2)


def steps(fault, target_indexes=(0,), start_s=1.0, duration_s=3.0):
    return tuple(
        Step(start_s, duration_s, fault, index) for index in target_indexes
    )


# Check, how its promise is broken, faults that show it.
BROKEN_BUILDS = (
    (
        "at-most-once",
        "call_everything_not_run",
        steps(Fault.REPLICA_RESETS, UNARY_REPLICAS[:1]),
    ),
    (
        "true-refusals",
        "call_everything_not_run",
        steps(Fault.REPLICA_RESETS, UNARY_REPLICAS),
    ),
    (
        "whole-own-answers",
        "take_any_answer",
        steps(Fault.REPLICA_CROSSES, UNARY_REPLICAS),
    ),
    ("ordered-events", "repeat_events", steps(Fault.REPLICA_CUTS, ENGINES)),
    ("budgets", "forget_budgets", ()),
    ("early-spent", "spend_budgets_early", ()),
    (
        "configuration-order",
        "go_back_to_old_configurations",
        steps(Fault.CONFIGURATION),
    ),
    (
        "configuration-in-time",
        "take_changes_late",
        steps(Fault.CONFIGURATION),
    ),
    (
        "drained-replicas",
        "ignore_drains",
        steps(Fault.REPLICA_DRAINS, duration_s=5),
    ),
    ("starts", "start_only_once", steps(Fault.KILL, duration_s=0.2)),
    ("orderly-stops", "hang_at_stop", steps(Fault.STOP)),
    ("stops-break-nothing", "drop_callers_at_stop", steps(Fault.STOP_IN_TURN)),
    ("answers-in-time", "hold_answers", ()),
    (
        "told-when-to-return",
        "tell_no_time",
        steps(Fault.REPLICA_FULL, UNARY_REPLICAS),
    ),
    (
        "recovery",
        "stop_following_after_a_failure",
        (
            *steps(Fault.STORE_BUSY, duration_s=1.0),
            *steps(Fault.CONFIGURATION, start_s=4.0),
        ),
    ),
)


async def play_broken_builds():
    limit = asyncio.Semaphore(AT_ONCE)

    async def play(name, faults):
        async with limit:
            with tempfile.TemporaryDirectory() as directory:
                report, _ = await run_plan(
                    Plan(1, SECONDS_BY_BUILD.get(name, SECONDS), 2, faults),
                    pathlib.Path(directory),
                    (sys.executable, str(BROKEN_HOST), name),
                )
                return report

    return await asyncio.gather(
        *(play(name, faults) for _, name, faults in BROKEN_BUILDS)
    )


class BrokenBuildTest(unittest.TestCase):
    def test_each_check_finds_the_build_that_breaks_its_promise(self):
        self.assertEqual(
            {check for check, _, _ in BROKEN_BUILDS}, set(CHECK_BY_NAME)
        )
        reports = asyncio.run(play_broken_builds())
        for (check, name, _), report in zip(
            BROKEN_BUILDS, reports, strict=True
        ):
            with self.subTest(check=check, build=name):
                found = {v["check"] for v in report.violations}
                self.assertIn(check, found, report)


class PlanTest(unittest.TestCase):
    def test_a_seed_always_gives_the_same_plan(self):
        self.assertEqual(make_plan(5, 20, 4), make_plan(5, 20, 4))
        self.assertNotEqual(make_plan(5, 20, 4), make_plan(6, 20, 4))

    def test_faults_end_before_the_callers_do(self):
        for seed in range(200):
            plan = make_plan(seed, 20, 4)
            self.assertLess(max(s.end_s for s in plan.steps), 20)

    def test_seeds_reach_every_fault(self):
        found = {
            s.fault for seed in range(60) for s in make_plan(seed, 20, 4).steps
        }
        self.assertEqual(found, set(Fault))


if __name__ == "__main__":
    unittest.main()
