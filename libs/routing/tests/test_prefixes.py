"""Tests of the prefix index and of the decisions during tool pauses."""

import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from masticdale_routing import (
    BranchKey,
    CachePressure,
    PauseAction,
    PauseKey,
    PauseModel,
    PrefixIndex,
    PrefixRequest,
)

BRANCH = BranchKey("p", "main")


def request(tokens, branch=BRANCH, **fields):
    return PrefixRequest(branch, tokens, **fields)


class PrefixIndexTest(unittest.TestCase):
    def test_counts_prompts_and_answers(self):
        index = PrefixIndex()
        index.record_sent(request(1_000), 0.0)
        index.record_finished(BRANCH, 1_200, 1.0)
        self.assertEqual(index.cached_tokens(request(1_500)), 1_200)
        index.remove_program("p")
        self.assertEqual(index.cached_tokens(request(1_500)), 0)
        self.assertEqual(index.held_tokens, 0)

    def test_new_program_reuses_its_template(self):
        index = PrefixIndex()
        index.record_sent(
            request(1_000, template="t", template_tokens=800), 0.0
        )
        other = BranchKey("q", "main")
        same_template = request(900, other, template="t", template_tokens=800)
        self.assertEqual(index.cached_tokens(same_template), 800)

    def test_sub_agent_reuses_the_prefix_of_its_parent(self):
        index = PrefixIndex()
        index.record_sent(request(1_000), 0.0)
        child = request(
            700, BranchKey("p", "sub"), parent=BRANCH, parent_tokens=600
        )
        self.assertEqual(index.cached_tokens(child), 600)

    def test_restores_only_at_interval_boundaries(self):
        index = PrefixIndex(restore_interval=256)
        index.record_sent(request(1_000), 0.0)
        self.assertEqual(index.cached_tokens(request(1_100)), 768)

    def test_late_eviction_event_does_not_shrink_a_newer_prefix(self):
        """An eviction event arrives after the prefix was computed again.

        Applying it would place the program away from its cached prefix.
        """
        index = PrefixIndex()
        index.record_sent(request(1_000), 10.0)
        index.record_evicted(BRANCH, 0, 10.5)
        self.assertEqual(index.cached_tokens(request(1_100)), 1_000)
        index.record_evicted(BRANCH, 0, 20.0)
        self.assertEqual(index.cached_tokens(request(1_100)), 0)

    def test_event_gap_lowers_the_estimate_until_confirmed(self):
        """A lost event may have been the eviction of the prefix."""
        index = PrefixIndex()
        index.record_sent(request(1_000), 0.0)
        index.record_event_gap()
        self.assertLess(index.cached_tokens(request(1_100)), 1_000)
        index.record_stored(BRANCH, 1_000, 9.0)
        self.assertEqual(index.cached_tokens(request(1_100)), 1_000)

    @settings(derandomize=True, max_examples=100, deadline=None)
    @given(
        st.lists(st.tuples(st.integers(0, 9), st.integers(1, 900)), max_size=60)
    )
    def test_size_is_bounded_and_returns_to_zero(self, sends):
        index = PrefixIndex(max_branches=6)
        index.capacity_tokens = 2_000
        for i, (program, tokens) in enumerate(sends):
            branch = BranchKey(f"p{program}", "main")
            index.record_sent(request(tokens, branch), float(i))
            self.assertLessEqual(len(index), 6)
            self.assertLessEqual(index.held_tokens, 2_000)
        for program in range(10):
            index.remove_program(f"p{program}")
        self.assertEqual((len(index), index.held_tokens), (0, 0))


class PauseTest(unittest.TestCase):
    def decide(self, pause_s, **pressure):
        model = PauseModel()
        key = PauseKey("dossier", "check")
        for _ in range(20):
            model.observe(key, pause_s)
        decision = model.decide(key, 8_000, 0.0, CachePressure(**pressure))
        return decision.action

    def test_keeps_while_the_cache_has_room(self):
        self.assertIs(self.decide(600.0), PauseAction.KEEP)

    def test_exports_during_a_long_pause_in_a_full_cache(self):
        action = self.decide(
            600.0, residence_s=60.0, export_tokens_per_s=80_000.0
        )
        self.assertIs(action, PauseAction.EXPORT)

    def test_keeps_during_a_short_pause_in_a_full_cache(self):
        action = self.decide(
            2.0, residence_s=60.0, export_tokens_per_s=80_000.0
        )
        self.assertIs(action, PauseAction.KEEP)

    def test_copies_if_the_cost_to_others_is_not_counted(self):
        pressure = {"residence_s": 60.0, "export_tokens_per_s": 80_000.0}
        action = self.decide(20.0, **pressure, reuse_share=0.0)
        self.assertIs(action, PauseAction.COPY)

    def test_export_costs_only_tokens_added_since_the_last(self):
        model, key = PauseModel(), PauseKey("dossier", "check")
        pressure = CachePressure(60.0, export_tokens_per_s=80_000.0)
        whole = model.decide(key, 8_000, 0.0, pressure)
        rest = model.decide(key, 8_000, 0.0, pressure, exported_tokens=7_200)
        self.assertAlmostEqual(whole.copy_s - rest.copy_s, 0.09)

    def test_releases_if_programs_do_not_return(self):
        model = PauseModel()
        key = PauseKey("dossier", "sign")
        for _ in range(40):
            model.observe_abandoned(key)
        decision = model.decide(
            key, 8_000, 100.0, CachePressure(residence_s=60.0)
        )
        self.assertIs(decision.action, PauseAction.RELEASE)


if __name__ == "__main__":
    unittest.main()
