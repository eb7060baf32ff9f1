"""Tests of short simulated runs."""

import pathlib
import unittest

from masticdale_load.experiments import Fault, load_experiment
from masticdale_load.simulation import RunKey, run_once
from masticdale_load.workloads import Demand

FOLDER = pathlib.Path(__file__).parent.parent / "experiments"
DEMAND = Demand(rate_at_capacity=0.6, fill_tokens=1_000_000.0)


def run(key):
    loaded = load_experiment(FOLDER / "tengri.json").unwrap()
    short = {
        "horizon_s": 120.0,
        "warmup_s": 0.0,
        "fault_by_name": {
            "none": Fault(),
            "crash": Fault(kind="crash", at_s=30, for_s=30),
            "leave": Fault(kind="leave", at_s=30),
        },
    }
    shortened = loaded.model_copy(update=short)
    return run_once(shortened, DEMAND, key)


class SimulationTest(unittest.TestCase):
    def test_same_seed_gives_the_same_summary(self):
        key = RunKey("first", 0.8, "scarce", "none")
        self.assertEqual(run(key), run(key))

    def test_affinity_wastes_less_than_round_robin(self):
        def wasted(policy):
            key = RunKey(policy, 0.5, "ample", "none")
            return run(key).wasted_tokens

        self.assertLess(10 * wasted("affinity"), wasted("round-robin"))

    def test_crash_causes_retries_but_fails_no_program(self):
        """A replica crashes with calls in flight and restarts.

        Calls in flight are retried at another replica; waiting calls are
        placed again without a retry.
        """
        summary = run(RunKey("first", 0.8, "ample", "crash"))
        self.assertGreater(summary.retries_per_request, 0.0)
        self.assertLess(summary.retries_per_request, 0.1)
        self.assertEqual(summary.failed, 0)

    def test_leaving_replica_causes_no_retry_and_fails_no_program(self):
        """Running calls complete on the leaving replica; waiting ones move."""
        summary = run(RunKey("first", 0.8, "ample", "leave"))
        self.assertEqual(summary.retries_per_request, 0.0)
        self.assertEqual(summary.failed, 0)


class ExperimentTest(unittest.TestCase):
    def test_all_experiment_files_are_valid(self):
        for path in sorted(FOLDER.glob("*.json")):
            with self.subTest(path.name):
                loaded = load_experiment(path).unwrap()
                self.assertAlmostEqual(sum(k.share for k in loaded.kinds), 1)


if __name__ == "__main__":
    unittest.main()
