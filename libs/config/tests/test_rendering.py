"""Tests of rendering: parameters, programs, upstreams and digests."""

import unittest

from hypothesis import given, settings
from hypothesis import strategies as st
from returns.pipeline import is_successful

from masticdale_config import checks, kinds, rendering, testing

DECLARATIONS = (*testing.tengri_trails(), *testing.halvorsen())


class RenderTest(unittest.TestCase):
    def setUp(self):
        self.config = testing.rendered(*DECLARATIONS)

    def test_placeholders_are_substituted(self):
        workspace = self.config.workspace_by_name[testing.TENGRI]
        program = workspace.program_by_name["route-check"]
        self.assertEqual(program.body.model, "permit-70b")
        self.assertEqual(
            program.body.system_prompt, "Check itineraries of Tengri Trails."
        )

    def test_a_caller_key_resolves_to_its_workspace(self):
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

    def test_priority_and_budget_do_not_change_the_body(self):
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


ENGINES = [
    testing.engine(name, model, index)
    for name in ("e1", "e2")
    for index, model in enumerate(("m1", "m2"))
]
SERVICES = [
    testing.service(name, {"file": repeatable})
    for name in ("s1", "s2")
    for repeatable in (True, False)
]
TEMPLATES = [
    testing.template(name, testing.program("p", priority=n, tools=tools))
    for name in ("t1", "t2")
    for n, tools in enumerate(([], ["file"]))
]
WORKSPACES = [
    testing.workspace(
        name, template, upstreams, key, parameters={"model": "m1"}
    )
    for name in ("w1", "w2")
    for template in ("t1", "t2")
    for upstreams in (["e1"], ["e1", "e2", "s1"])
    for key in ("k1", "k2")
]
FIRST = [ENGINES[0], ENGINES[2], *SERVICES[1::2], *TEMPLATES[::2]]
FIRST += [WORKSPACES[2], WORKSPACES[9]]
CHOICES = [*ENGINES, *SERVICES, *TEMPLATES, *WORKSPACES]
NAMES = sorted({kinds.key_of(d) for d in CHOICES})


@st.composite
def changes(draw):
    """Draws a change: declarations by key, None to delete one."""
    put = draw(st.lists(st.sampled_from(CHOICES), max_size=3))
    deleted = draw(st.lists(st.sampled_from(NAMES), max_size=1))
    after_by_key = {kinds.key_of(d): d for d in put}
    return after_by_key | dict.fromkeys(deleted)


class RenderChangeTest(unittest.TestCase):
    @settings(derandomize=True, deadline=None, max_examples=300)
    @given(st.lists(changes(), min_size=1, max_size=8))
    def test_rendering_only_what_changed_gives_the_same(self, sequence):
        """One host renders each change incrementally, another renders all.

        If the results differed, two hosts would serve different
        configurations, or accept different changes, at the same revision.
        """
        by_key = {kinds.key_of(d): d for d in FIRST}
        config = rendering.render(by_key, 1).unwrap()
        for number, change in enumerate(sequence, 2):
            after = {k: d for k, d in (by_key | change).items() if d}
            incremental = checks.check_change(after, number, config, change)
            full = checks.check_declarations(after, number)
            self.assertEqual(type(incremental), type(full), (incremental, full))
            if is_successful(incremental):
                by_key, config = after, incremental.unwrap()
                self.assertEqual(config, full.unwrap())


if __name__ == "__main__":
    unittest.main()
