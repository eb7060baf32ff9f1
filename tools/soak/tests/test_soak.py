"""Tests of the soak's checks and plans.

Each check must find a build that breaks its guarantee on purpose, under the
faults that trigger the violation. The seeded runs guard against checks that
fail a correct build.
"""

import asyncio
import pathlib
import sys
import tempfile
import unittest

from masticdale_soak import (
    CHECK_BY_NAME,
    Fault,
    LoadOptions,
    Plan,
    Step,
    make_plan,
    run_plan,
)

BROKEN_HOST = pathlib.Path(__file__).with_name("broken_host.py")
# Each build runs two entry hosts.
MAX_PARALLEL_BUILDS = 3
SECONDS = 6.0
# A long program exceeds its budget after thirteen turns, which takes more than
# the usual duration on a busy machine.
SECONDS_BY_BUILD = {
    "skip_budget_checks": 24.0,
    "blame_no_request": 10.0,
    "refuse_resumptions": 15.0,
}
# Builds that run beside requests that end their replicas.
FATAL_BUILDS = {"blame_no_request"}
# Builds that run beside conversations.
HISTORY_BUILDS = {"send_bare_inputs"}
# Builds that run beside streams that are resumed, and engines of two versions.
VERSION_BUILDS = {"ignore_versions", "refuse_resumptions"}
# Indexes of replicas: three engines, then three unary replicas.
UNARY_REPLICAS = (3, 4, 5)
ENGINES = (0, 1, 2)


def steps(fault, target_indexes=(0,), start_s=1.0, duration_s=3.0):
    return tuple(
        Step(start_s, duration_s, fault, index) for index in target_indexes
    )


# Enough for the least number of resumed streams that the check asks for, with
# time for callers to return to a restarted host.
KILLS = tuple(
    Step(start_s, 0.2, Fault.KILL, 0) for start_s in (1.0, 4.0, 7.0, 10.0, 13.0)
)
# Ends all engines of one version, so that only those of the other one can go on
# with its streams. Hosts avoid replicas that failed, so that the next crash
# meets nearly all streams.
CRASHES_IN_TURN = tuple(
    step
    for start_s, engines in ((1.0, (0, 2)), (2.5, (1, 3)), (4.0, (0, 2)))
    for step in steps(Fault.REPLICA_CRASH, engines, start_s, 0.7)
)


# Check, patch of ``broken_host.py`` that violates it, faults that trigger it.
BROKEN_BUILDS = (
    (
        "at-most-once",
        "report_all_failures_as_not_run",
        steps(Fault.REPLICA_RESETS, UNARY_REPLICAS),
    ),
    (
        "true-refusals",
        "report_all_failures_as_not_run",
        steps(Fault.REPLICA_RESETS, UNARY_REPLICAS),
    ),
    (
        "whole-own-answers",
        "accept_any_response",
        steps(Fault.REPLICA_CROSSES, UNARY_REPLICAS),
    ),
    ("ordered-events", "resend_events", steps(Fault.REPLICA_CUTS, ENGINES)),
    ("budgets", "skip_budget_checks", ()),
    ("early-spent", "exceed_budgets_early", ()),
    (
        "configuration-order",
        "revert_configuration",
        steps(Fault.CONFIGURATION),
    ),
    (
        "configuration-in-time",
        "apply_changes_late",
        steps(Fault.CONFIGURATION),
    ),
    (
        "drained-replicas",
        "ignore_drains",
        # A unary replica gets requests throughout; an engine only those of the
        # programs whose key selects it.
        steps(Fault.REPLICA_DRAINS, (0, 3), duration_s=5),
    ),
    ("starts", "start_only_once", steps(Fault.KILL, duration_s=0.2)),
    ("orderly-stops", "hang_on_stop", steps(Fault.STOP)),
    (
        "stops-break-nothing",
        "abort_requests_on_stop",
        steps(Fault.STOP_IN_TURN),
    ),
    ("keys", "forward_keys", ()),
    ("usage-caps", "grant_each_request", ()),
    ("fatal-requests", "blame_no_request", ()),
    (
        "memory",
        "read_without_limit",
        steps(Fault.REPLICA_ENDLESS_BODY, UNARY_REPLICAS),
    ),
    ("histories", "send_bare_inputs", ()),
    (
        "stream-versions",
        "ignore_versions",
        CRASHES_IN_TURN,
    ),
    ("resumed-streams", "refuse_resumptions", KILLS),
    ("answers-in-time", "delay_responses", ()),
    (
        "told-when-to-return",
        "omit_retry_after",
        steps(Fault.REPLICA_FULL, UNARY_REPLICAS),
    ),
    (
        "recovery",
        "stop_watching_after_failure",
        (
            *steps(Fault.STORE_BUSY, duration_s=1.0),
            *steps(Fault.CONFIGURATION, start_s=4.0),
        ),
    ),
)


async def run_broken_builds():
    semaphore = asyncio.Semaphore(MAX_PARALLEL_BUILDS)

    async def run_build(name, faults):
        async with semaphore:
            with tempfile.TemporaryDirectory() as directory:
                report, _ = await run_plan(
                    Plan(
                        1,
                        SECONDS_BY_BUILD.get(name, SECONDS),
                        2,
                        faults,
                        load=LoadOptions(
                            fatal=name in FATAL_BUILDS,
                            histories=name in HISTORY_BUILDS,
                            versions=name in VERSION_BUILDS,
                        ),
                    ),
                    pathlib.Path(directory),
                    (sys.executable, str(BROKEN_HOST), name),
                )
                return report

    return await asyncio.gather(
        *(run_build(name, faults) for _, name, faults in BROKEN_BUILDS)
    )


class BrokenBuildTest(unittest.TestCase):
    def test_each_check_finds_the_build_that_violates_it(self):
        self.assertEqual(
            {check for check, _, _ in BROKEN_BUILDS}, set(CHECK_BY_NAME)
        )
        reports = asyncio.run(run_broken_builds())
        for (check, name, _), report in zip(
            BROKEN_BUILDS, reports, strict=True
        ):
            with self.subTest(check=check, build=name):
                found = {v["check"] for v in report.violations}
                self.assertIn(check, found, report)


class PlanTest(unittest.TestCase):
    def test_equal_seeds_give_equal_plans(self):
        self.assertEqual(make_plan(5, 20, 4), make_plan(5, 20, 4))
        self.assertNotEqual(make_plan(5, 20, 4), make_plan(6, 20, 4))

    def test_faults_end_before_the_load(self):
        for seed in range(200):
            plan = make_plan(seed, 20, 4)
            self.assertLess(max(s.end_s for s in plan.steps), 20)

    def test_seeds_cover_every_fault(self):
        plans = [
            make_plan(seed, 20, 4, LoadOptions(endless=True, watches=True))
            for seed in range(60)
        ]
        found = {step.fault for plan in plans for step in plan.steps}
        self.assertEqual(found, set(Fault))


if __name__ == "__main__":
    unittest.main()
