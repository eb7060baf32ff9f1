"""Tests of the suspect registry."""

import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from masticdale_routing import Admission, SuspectRegistry, SuspectState


class SuspectRegistryTest(unittest.TestCase):
    def test_bad_request_is_refused_after_two_crashes(self):
        """A crashing request, sent ten times at once, crashes two replicas.

        One copy at a time runs: the first shared, the second exclusive.
        """
        registry = SuspectRegistry()
        admissions = [registry.admit("bad", f"r{i}", 0.0) for i in range(10)]
        self.assertEqual(admissions, [Admission.RUN, *[Admission.WAIT] * 9])
        registry.record_crash(["bad"])
        admissions = [registry.admit("bad", f"r{i}", 1.0) for i in range(10)]
        self.assertEqual(
            admissions, [Admission.RUN_EXCLUSIVE, *[Admission.WAIT] * 9]
        )
        (record,) = registry.record_crash(["bad"])
        self.assertIs(record.state, SuspectState.REFUSED)
        self.assertIs(registry.admit("bad", "r11", 2.0), Admission.REFUSED)

    def test_good_request_is_cleared_by_one_exclusive_run(self):
        """A good request in flight at a crash must not stay suspected.

        After one exclusive run its copies run concurrently again.
        """
        registry = SuspectRegistry()
        registry.admit("bad", "r1", 0.0)
        registry.admit("good", "r2", 0.0)
        registry.record_crash(["bad", "good"])
        self.assertIs(
            registry.admit("good", "r2", 0.0), Admission.RUN_EXCLUSIVE
        )
        self.assertIs(registry.admit("bad", "r1", 0.0), Admission.WAIT)
        registry.record_success("good", "r2")
        self.assertIs(registry.admit("bad", "r1", 0.0), Admission.RUN_EXCLUSIVE)
        self.assertIs(registry.admit("good", "r3", 0.0), Admission.RUN)
        self.assertIs(registry.admit("good", "r4", 0.0), Admission.RUN)

    def test_two_crashes_of_shared_runs_do_not_refuse(self):
        """Good content in flight at two crashes must not be refused.

        It is only suspected, and may clear itself by an exclusive run.
        """
        registry = SuspectRegistry()
        registry.admit("ping", "r0", 0.0)
        registry.record_success("ping", "r0")
        registry.admit("ping", "r1", 0.0)
        registry.admit("ping", "r2", 0.0)
        registry.record_crash(["ping"])
        registry.record_crash(["ping"])
        self.assertIs(
            registry.admit("ping", "r3", 0.0), Admission.RUN_EXCLUSIVE
        )

    def test_lease_of_a_dead_host_expires(self):
        """A host dies during a run; copies must not wait forever."""
        registry = SuspectRegistry()
        registry.admit("x", "r1", 0.0)
        self.assertIs(registry.admit("x", "r2", 899.0), Admission.WAIT)
        self.assertIs(registry.admit("x", "r2", 901.0), Admission.RUN)

    def test_admit_is_idempotent_per_run(self):
        registry = SuspectRegistry()
        for _ in range(2):
            self.assertIs(registry.admit("x", "r1", 0.0), Admission.RUN)
        registry.end_run("x", "r1")
        self.assertIs(registry.admit("x", "r2", 0.0), Admission.RUN)

    def test_merge_keeps_the_newer_record_after_a_release(self):
        local, remote = SuspectRegistry(), SuspectRegistry()
        local.admit("bad", "r1", 0.0)
        local.record_crash(["bad"])
        local.admit("bad", "r1", 0.0)
        local.record_crash(["bad"])
        refused = local.records()
        remote.merge(refused)
        self.assertIs(remote.admit("bad", "r2", 0.0), Admission.REFUSED)
        remote.release("bad")
        remote.merge(refused)
        self.assertIs(remote.admit("bad", "r2", 0.0), Admission.RUN)


class _SimulatedFleet:
    """Three replicas that crash if they run bad content."""

    def __init__(self):
        self.registry = SuspectRegistry()
        self.runs_by_replica = {name: {} for name in "abc"}
        self.exclusive = set()
        self.crashes_by_digest = {}

    def start(self, digest, run_id, preferred):
        answer = self.registry.admit(digest, run_id, 0.0)
        if answer not in (Admission.RUN, Admission.RUN_EXCLUSIVE):
            return
        is_exclusive = answer is Admission.RUN_EXCLUSIVE
        for name in sorted(self.runs_by_replica, key=lambda n: n != preferred):
            runs = self.runs_by_replica[name]
            if name in self.exclusive or (is_exclusive and runs):
                continue
            runs[run_id] = digest
            if is_exclusive:
                self.exclusive.add(name)
            return
        self.registry.end_run(digest, run_id)

    def step(self, replica, bad):
        runs = self.runs_by_replica[replica]
        if not runs:
            return
        run_id = next(iter(runs))
        digest = runs.pop(run_id)
        self.exclusive.discard(replica)
        if digest not in bad:
            self.registry.record_success(digest, run_id)
            return
        count = self.crashes_by_digest.get(digest, 0)
        self.crashes_by_digest[digest] = count + 1
        self.registry.record_crash([digest, *runs.values()])
        runs.clear()


class SuspectPropertyTest(unittest.TestCase):
    @settings(derandomize=True, max_examples=300, deadline=None)
    @given(
        st.lists(
            st.tuples(
                st.booleans(), st.sampled_from("xyzuv"), st.sampled_from("abc")
            ),
            max_size=80,
        )
    )
    def test_at_most_two_crashes_and_good_content_is_cleared(self, steps):
        """Any interleaving of run starts and ends, with two bad contents.

        Each bad content crashes at most two replicas. At the end, all good
        content runs without exclusivity.
        """
        fleet, bad = _SimulatedFleet(), {"x", "y"}
        for index, (is_start, digest, replica) in enumerate(steps):
            if is_start:
                fleet.start(digest, f"r{index}", replica)
            else:
                fleet.step(replica, bad)
        for index in range(40):
            for replica in "abc":
                fleet.step(replica, bad)
            for digest in "zuv":
                fleet.start(digest, f"end{index}{digest}", "a")
        for replica in "abc" * 20:
            fleet.step(replica, bad)
        for count in fleet.crashes_by_digest.values():
            self.assertLessEqual(count, 2)
        for digest in "zuv":
            answer = fleet.registry.admit(digest, "last", 0.0)
            self.assertIs(answer, Admission.RUN)


if __name__ == "__main__":
    unittest.main()
