"""Tests of the crash suspects."""

import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from masticdale_routing import Admission, SuspectRegistry, SuspectState


class SuspectRegistryTest(unittest.TestCase):
    def test_bad_request_crashes_two_replicas_and_is_then_refused(self):
        """A caller sends one crashing request ten times at once, new ids each.

        One copy runs and crashes the first replica; the others wait. Then one
        copy runs alone and crashes the second. From then on every copy is
        refused at once, before it reaches a replica.
        """
        registry = SuspectRegistry()
        answers = [registry.admit("bad", f"r{i}", 0.0) for i in range(10)]
        self.assertEqual(answers, [Admission.RUN, *[Admission.WAIT] * 9])
        registry.record_crash(["bad"])
        answers = [registry.admit("bad", f"r{i}", 1.0) for i in range(10)]
        self.assertEqual(
            answers, [Admission.RUN_EXCLUSIVE, *[Admission.WAIT] * 9]
        )
        (record,) = registry.record_crash(["bad"])
        self.assertIs(record.state, SuspectState.REFUSED)
        self.assertIs(registry.admit("bad", "r11", 2.0), Admission.REFUSED)

    def test_innocent_is_cleared_by_one_exclusive_run(self):
        """An innocent call was in flight at the crash of another.

        Its caller sees one slower answer: it runs again, alone, succeeds, and
        later copies of it run at once and together again.
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

    def test_two_shared_crashes_do_not_condemn(self):
        """Two replicas crash at once, each by its own bad request.

        A proven content was in flight at both. It did nothing wrong, so it is
        only suspected and clears itself by one exclusive run.
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

    def test_run_of_a_dead_host_stops_blocking_its_copies(self):
        """The host that ran a content dies and never tells the end.

        Copies wait until the run's lease lapses, and then run.
        """
        registry = SuspectRegistry()
        registry.admit("x", "r1", 0.0)
        self.assertIs(registry.admit("x", "r2", 899.0), Admission.WAIT)
        self.assertIs(registry.admit("x", "r2", 901.0), Admission.RUN)

    def test_asking_again_is_idempotent(self):
        registry = SuspectRegistry()
        for _ in range(2):
            self.assertIs(registry.admit("x", "r1", 0.0), Admission.RUN)
        registry.end_run("x", "r1")
        self.assertIs(registry.admit("x", "r2", 0.0), Admission.RUN)

    def test_merge_takes_the_newer_record_and_operators_release(self):
        here, there = SuspectRegistry(), SuspectRegistry()
        here.admit("bad", "r1", 0.0)
        here.record_crash(["bad"])
        here.admit("bad", "r1", 0.0)
        here.record_crash(["bad"])
        refused = here.records()
        there.merge(refused)
        self.assertIs(there.admit("bad", "r2", 0.0), Admission.REFUSED)
        there.release("bad")
        there.merge(refused)
        self.assertIs(there.admit("bad", "r2", 0.0), Admission.RUN)


class _Fleet:
    """Three replicas that crash when a bad content runs on them."""

    def __init__(self):
        self.registry = SuspectRegistry()
        self.runs_by_replica = {name: {} for name in "abc"}
        self.exclusive = set()
        self.crashes_by_digest = {}

    def start(self, digest, run_id, preferred):
        answer = self.registry.admit(digest, run_id, 0.0)
        if answer not in (Admission.RUN, Admission.RUN_EXCLUSIVE):
            return
        alone = answer is Admission.RUN_EXCLUSIVE
        for name in sorted(self.runs_by_replica, key=lambda n: n != preferred):
            runs = self.runs_by_replica[name]
            if name in self.exclusive or (alone and runs):
                continue
            runs[run_id] = digest
            if alone:
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
    def test_two_crashes_at_most_and_innocents_are_cleared(self, steps):
        """Any interleaving of sends and ends, with two bad contents.

        Each bad content crashes at most two replicas, and once everything
        has ended every innocent content runs again without being alone.
        """
        fleet, bad = _Fleet(), {"x", "y"}
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
