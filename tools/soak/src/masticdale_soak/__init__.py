"""Soak tests: random faults on real processes, with checks of guarantees."""

from masticdale_soak.checks import (
    CHECK_BY_NAME,
    Observations,
    Run,
    Violation,
    check,
)
from masticdale_soak.plans import Fault, LoadOptions, Plan, Step, make_plan
from masticdale_soak.runs import Report, run_plan

__all__ = [
    "CHECK_BY_NAME",
    "Fault",
    "LoadOptions",
    "Observations",
    "Plan",
    "Report",
    "Run",
    "Step",
    "Violation",
    "check",
    "make_plan",
    "run_plan",
]
