"""Tests of the evidence on requests that crash replicas."""

import itertools
import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from masticdale_routing.crashes import (
    CRASHES_TO_HOLD,
    RETENTION_S,
    CrashEvidence,
    CrashReport,
    LostRun,
    LostRuns,
    trial_wait_s,
)


def crash(evidence, content, *incarnations, now=0.0):
    for incarnation in incarnations:
        evidence.record_crash(
            content,
            incarnation,
            now,
            was_suspected=evidence.suspicion(content) is not None,
        )


def crashes(evidence, content):
    suspicion = evidence.suspicion(content)
    return suspicion.crashes if suspicion else 0


class CrashCountTest(unittest.TestCase):
    def test_a_content_is_held_after_its_third_replica(self):
        evidence = CrashEvidence()
        crash(evidence, "bad", "a", "b")
        self.assertFalse(evidence.suspicion("bad").is_held)
        crash(evidence, "bad", "c")
        self.assertTrue(evidence.suspicion("bad").is_held)

    def test_a_replica_counts_once(self):
        """Guards against holding content of which copies ran side by side."""
        evidence = CrashEvidence()
        crash(evidence, "x", "a", "a", "a")
        evidence.apply("h2", [CrashReport("x", tuple("a"))], 0.0)
        self.assertEqual(crashes(evidence, "x"), 1)

    def test_crashes_of_all_hosts_add_up(self):
        """Guards against a new start of the count at each host."""
        evidence = CrashEvidence()
        crash(evidence, "bad", "a")
        again = CrashReport("bad", ("b",), ended_again=("b",))
        evidence.apply("h2", [again], 1.0)
        evidence.apply("h3", [CrashReport("bad", ("c",))], 2.0)
        self.assertTrue(evidence.suspicion("bad").is_held)
        self.assertEqual(evidence.suspicion("bad").heard_at, 2.0)

    def test_copies_that_ran_at_the_same_time_do_not_hold(self):
        """Guards against holding popular content after a loss of all.

        Only the next loss, of a replica that was sent it as a suspect, does.
        """
        evidence = CrashEvidence()
        for incarnation in "abcd":
            evidence.record_crash("x", incarnation, 0.0, was_suspected=False)
        self.assertEqual(crashes(evidence, "x"), 4)
        self.assertFalse(evidence.suspicion("x").is_held)
        crash(evidence, "x", "e")
        self.assertTrue(evidence.suspicion("x").is_held)

    def test_a_whole_run_of_held_content_is_urgent_news(self):
        """Guards against other hosts that go on refusing it."""
        news = []
        evidence = CrashEvidence()
        crash(evidence, "x", "a", "b", "c")
        evidence.on_urgent_change = lambda: news.append("urgent")
        evidence.record_success("x", 0.0)
        self.assertEqual(news, ["urgent"])

    def test_a_whole_run_clears_the_crashes_of_all_hosts(self):
        """Guards against holding content that was in flight by chance."""
        evidence = CrashEvidence()
        crash(evidence, "x", "a")
        evidence.apply("h2", [CrashReport("x", tuple("bc"))], 0.0)
        evidence.record_success("x", 1.0)
        self.assertFalse(evidence.has_suspects)
        # The other host repeats what it has seen before.
        evidence.apply("h2", [CrashReport("x", tuple("bc"))], 2.0)
        self.assertFalse(evidence.has_suspects)
        crash(evidence, "x", "d", now=3.0)
        self.assertEqual(crashes(evidence, "x"), 1)

    def test_a_success_of_another_host_clears(self):
        evidence = CrashEvidence()
        crash(evidence, "x", "a", "b", "c")
        report = CrashReport("x", (), cleared=tuple("abc"))
        evidence.apply("h2", [report], 0.0)
        self.assertIsNone(evidence.suspicion("x"))

    def test_only_changes_of_own_reports_are_news(self):
        """Guards against a write to the store for each success."""
        news = []
        evidence = CrashEvidence()
        evidence.on_urgent_change = lambda: news.append("urgent")
        evidence.on_change = lambda: news.append("later")
        evidence.record_success("x", 0.0)
        evidence.apply("h2", [CrashReport("y", tuple("a"))], 0.0)
        self.assertEqual(news, [])
        crash(evidence, "x", "a", "a")
        self.assertEqual(news, ["urgent"])
        evidence.record_success("x", 0.0)
        evidence.record_success("x", 0.0)
        self.assertEqual(news, ["urgent", "later"])


class StoredReportTest(unittest.TestCase):
    def test_reports_from_before_a_restart_are_kept(self):
        """Guards against a restarted host that overwrites what it knew."""
        evidence = CrashEvidence()
        crash(evidence, "bad", "c")
        before = CrashReport("bad", ("a", "b"), ended_again=("b",))
        evidence.add_own([before], 1.0)
        self.assertTrue(evidence.suspicion("bad").is_held)
        (report,) = evidence.own_reports()
        self.assertEqual(report.ended, ("a", "b", "c"))

    def test_an_operator_releases_a_content(self):
        evidence = CrashEvidence()
        crash(evidence, "bad", "a", "b", "c")
        evidence.replace_own([], 1.0)
        self.assertFalse(evidence.has_suspects)
        self.assertEqual(evidence.own_reports(), ())

    def test_notices_add_up_in_any_order(self):
        """Guards against an old notice that replaces a newer one."""
        evidence = CrashEvidence()
        newer = CrashReport("x", ("a", "b"), cleared=("a",))
        self.assertTrue(evidence.add("h2", [newer], 0.0))
        self.assertFalse(evidence.add("h2", [CrashReport("x", ("a",))], 0.0))
        self.assertEqual(crashes(evidence, "x"), 1)

    def test_reports_of_a_removed_host_are_dropped(self):
        evidence = CrashEvidence()
        evidence.apply("h2", [CrashReport("x", tuple("ab"))], 0.0)
        evidence.forget_host("h2", 1.0)
        self.assertFalse(evidence.has_suspects)
        evidence.forget_host("h2", 1.0)


class BoundTest(unittest.TestCase):
    def test_a_flood_of_contents_is_bounded_and_keeps_the_worst(self):
        """Guards against memory that grows with each lost request."""
        evidence = CrashEvidence()
        crash(evidence, "bad", "a", "b")
        for number in range(1_000):
            crash(evidence, f"x{number}", "a", now=1.0 + number)
        self.assertLessEqual(len(evidence.own_reports()), 100)
        self.assertLessEqual(len(evidence.suspicions()), 100)
        self.assertEqual(crashes(evidence, "bad"), 2)

    def test_the_replicas_of_one_content_are_bounded(self):
        evidence = CrashEvidence()
        crash(evidence, "bad", *(f"i{n}" for n in range(100)))
        (report,) = evidence.own_reports()
        self.assertLessEqual(len(report.ended), 8)
        self.assertTrue(evidence.suspicion("bad").is_held)

    def test_cleared_reports_are_dropped_by_all_hosts(self):
        """Guards against reports that grow with each replica that ends."""
        first, second = CrashEvidence(), CrashEvidence()

        def exchange(now):
            first.apply("h2", second.own_reports(), now)
            second.apply("h1", first.own_reports(), now)

        crash(first, "x", "a", "b")
        exchange(0.0)
        second.record_success("x", 1.0)
        for now in (2.0, 10.0, 20.0, 30.0):
            exchange(now)
            for host in (first, second):
                host.expire(now)
            self.assertFalse(first.has_suspects and now > 2.0)
            self.assertFalse(second.has_suspects)
        self.assertEqual(first.own_reports(), ())
        self.assertEqual(second.own_reports(), ())

    def test_suspects_are_kept(self):
        """Guards against forgetting a fatal content between two rounds."""
        evidence = CrashEvidence()
        crash(evidence, "bad", "a", "b", "c")
        evidence.expire(RETENTION_S - 1.0)
        self.assertTrue(evidence.suspicion("bad").is_held)

    def test_old_reports_are_dropped(self):
        evidence = CrashEvidence()
        crash(evidence, "old", "a", now=0.0)
        crash(evidence, "new", "a", now=10.0)
        evidence.expire(RETENTION_S + 5.0)
        self.assertEqual(set(evidence.suspicions()), {"new"})


class TrialTest(unittest.TestCase):
    def test_a_held_content_has_a_trial_soon(self):
        """Guards against refusing for long what was in flight by chance."""
        evidence = CrashEvidence()
        crash(evidence, "x", "a", "b", "c", now=10.0)
        suspicion = evidence.suspicion("x")
        self.assertGreater(suspicion.held_for_s("x", 10.0), 3.0)
        self.assertEqual(suspicion.held_for_s("x", 16.0), 0.0)

    def test_trials_become_rare(self):
        waits = [trial_wait_s("x", trials, 0.0) for trials in range(6)]
        self.assertEqual(waits, sorted(waits))
        self.assertGreaterEqual(waits[3], 3600.0)


class LostRunsTest(unittest.TestCase):
    def test_only_runs_at_the_ended_replica_are_taken(self):
        lost = LostRuns()
        x, y, z = (LostRun(content, False) for content in "xyz")
        lost.add("a", x, 0.0)
        lost.add("a", y, 0.1)
        lost.add("b", z, 0.1)
        self.assertEqual(lost.take("a", 0.2), [x, y])
        self.assertEqual(lost.take("a", 0.2), [])
        self.assertEqual(lost.take("b", 0.2), [z])

    def test_an_old_loss_is_not_blamed_on_a_later_end(self):
        """Guards against blaming a broken response on a planned exit."""
        lost = LostRuns()
        lost.add("a", LostRun("x", was_suspected=False), 0.0)
        self.assertEqual(lost.take("a", 5.0), [])


_CONTENTS = "xyz"
_INCARNATIONS = "abcdef"


class AnyOrderTest(unittest.TestCase):
    @settings(derandomize=True, max_examples=300, deadline=None)
    @given(
        st.lists(
            st.tuples(
                st.sampled_from(range(3)),
                st.sampled_from(_CONTENTS),
                st.sampled_from((*_INCARNATIONS, "whole", "hear")),
            ),
            max_size=60,
        )
    )
    def test_hosts_agree_once_all_have_heard_of_all(self, steps):
        """Crashes, whole runs and reports that arrive late, in any order."""
        hosts = [CrashEvidence() for _ in range(3)]

        def hear(listener):
            for name, host in enumerate(hosts):
                if host is not listener:
                    listener.apply(f"h{name}", host.own_reports(), 0.0)

        for index, content, step in steps:
            if step == "hear":
                hear(hosts[index])
            elif step == "whole":
                hosts[index].record_success(content, 0.0)
            else:
                crash(hosts[index], content, step)
        for host in hosts:
            hear(host)
        for first, second in itertools.pairwise(hosts):
            self.assertEqual(
                {c: s.crashes for c, s in first.suspicions().items()},
                {c: s.crashes for c, s in second.suspicions().items()},
            )

    @settings(derandomize=True, max_examples=200, deadline=None)
    @given(st.lists(st.sampled_from(range(3)), max_size=30))
    def test_a_fatal_content_ends_few_replicas(self, turns):
        """Hosts that hear of each crash run a fatal content three times."""
        hosts = [CrashEvidence() for _ in range(3)]
        ended = 0
        for index in turns:
            suspicion = hosts[index].suspicion("bad")
            if suspicion is not None and suspicion.is_held:
                continue
            ended += 1
            crash(hosts[index], "bad", f"i{ended}")
            for name, host in enumerate(hosts):
                if name != index:
                    host.apply(f"h{index}", hosts[index].own_reports(), 0.0)
        self.assertLessEqual(ended, CRASHES_TO_HOLD)


if __name__ == "__main__":
    unittest.main()
