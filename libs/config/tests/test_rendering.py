"""Tests of rendering: parameters, programs, upstreams and digests."""

import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from masticdale_config import kinds, rendering, testing

DECLARATIONS = (*testing.tengri_trails(), *testing.halvorsen())


class RenderTest(unittest.TestCase):
    def setUp(self):
        self.config = testing.rendered(*DECLARATIONS)

    def test_placeholders_are_filled(self):
        workspace = self.config.workspace_by_name[testing.TENGRI]
        program = workspace.program_by_name["route-check"]
        self.assertEqual(program.body.model, "permit-70b")
        self.assertEqual(
            program.body.system_prompt, "Check itineraries of Tengri Trails."
        )

    def test_a_caller_key_opens_its_own_workspace(self):
        for key, name in (
            (testing.TENGRI_KEY, testing.TENGRI),
            (testing.HALVORSEN_KEY, testing.HALVORSEN),
        ):
            digest = kinds.caller_key_digest(key)
            found = self.config.workspace_by_caller_digest[digest]
            self.assertEqual(found.name, name)

    def test_upstreams_are_found_by_model_and_operation(self):
        table = self.config.upstreams
        self.assertEqual(len(table.by_model["refill-34b"]), 9)
        charge = table.by_operation["cards.charge"]
        self.assertEqual(len(charge), 4)
        self.assertFalse(charge[0].repeatable_by_operation["cards.charge"])

    def test_priority_and_budget_leave_the_body_as_it_was(self):
        plain = testing.template("t", testing.program("p", priority=2))
        urgent = testing.template("t", testing.program("p", priority=0))
        engine = testing.engine("e", "permit-70b")
        workspace = testing.workspace("w", "t", ["e"], "k")
        before, after = (
            testing.rendered(template, engine, workspace)
            .workspace_by_name["w"]
            .program_by_name["p"]
            for template in (plain, urgent)
        )
        self.assertEqual(before.body, after.body)
        self.assertEqual((before.priority, after.priority), (2, 0))

    @settings(derandomize=True, deadline=None, max_examples=30)
    @given(st.permutations(DECLARATIONS))
    def test_the_digest_ignores_the_order_of_declarations(self, order):
        self.assertEqual(testing.rendered(*order), self.config)

    def test_reusing_an_earlier_result_changes_nothing(self):
        changed = testing.workspace(
            testing.TENGRI,
            "permit-desk",
            [u for u in self.config.upstreams.by_name if "permit" in u],
            testing.TENGRI_KEY,
            weight=3.0,
        )
        by_key = {kinds.key_of(d): d for d in (*DECLARATIONS, changed)}
        fresh = rendering.render(by_key, 2).unwrap()
        reused = rendering.render(by_key, 2, self.config).unwrap()
        self.assertEqual(reused, fresh)
        self.assertNotEqual(reused.digest, self.config.digest)


if __name__ == "__main__":
    unittest.main()
