"""Tests that invalid declarations are rejected with the path of each field."""

import unittest

from masticdale_common import ErrorKind
from masticdale_config import checks, kinds, testing

ENGINE = testing.engine("e", "permit-70b")
TEMPLATE = testing.template("t", testing.program("p"))


def _check(*declarations):
    by_key = {kinds.key_of(d): d for d in declarations}
    return checks.check_declarations(by_key, 1)


def _workspace(name="w", key="k", **fields):
    return testing.workspace(name, "t", ["e"], key, **fields)


class CheckTest(unittest.TestCase):
    def _assert_rejected(self, path, *declarations):
        failure = _check(*declarations).failure()
        self.assertIs(failure.kind, ErrorKind.BAD_REQUEST)
        self.assertIn(path, failure.detail)

    def test_the_samples_are_accepted(self):
        _check(*testing.tengri_trails(), *testing.halvorsen()).unwrap()

    def test_a_missing_template_or_upstream(self):
        self._assert_rejected(
            "Workspace/w.spec.template: ", ENGINE, _workspace()
        )
        self._assert_rejected(
            "Workspace/w.spec.upstreams: ", TEMPLATE, _workspace()
        )

    def test_a_missing_and_an_unknown_parameter(self):
        invalid = _workspace(parameters={"modle": "x"})
        self._assert_rejected(
            "spec.parameters.model: ", ENGINE, TEMPLATE, invalid
        )
        self._assert_rejected(
            "spec.parameters.modle: ", ENGINE, TEMPLATE, invalid
        )

    def test_an_unknown_placeholder(self):
        invalid = testing.template("t", testing.program("${who}"))
        self._assert_rejected("Template/t.spec.programs.0: ", invalid)

    def test_an_unknown_field_of_a_program(self):
        invalid = testing.template("t", testing.program("p", prompt="x"))
        self._assert_rejected("Template/t.spec.programs.0.prompt: ", invalid)

    def test_budgets_that_cannot_be_met(self):
        budget = {"tokens": 10, "calls": 1, "turns": 2, "wall_time_s": 1}
        invalid = testing.template("t", testing.program("p", budget=budget))
        for field in ("budget.tokens", "budget.calls"):
            self._assert_rejected(field, ENGINE, invalid, _workspace())
        low_budget = _workspace(budget={"tokens_per_hour": 100})
        self._assert_rejected(
            "budget.tokens_per_hour: ", ENGINE, TEMPLATE, low_budget
        )

    def test_a_tool_that_no_upstream_offers(self):
        invalid = testing.template("t", testing.program("p", tools=["fly"]))
        self._assert_rejected("'fly'", ENGINE, invalid, _workspace())

    def test_one_caller_key_in_two_workspaces(self):
        self._assert_rejected(
            "Workspace/w2.spec.caller_keys.0.sha256: ",
            ENGINE,
            TEMPLATE,
            _workspace(),
            _workspace(name="w2"),
        )

    def test_replicas_that_differ_in_repeatable(self):
        self._assert_rejected(
            "Upstream/s2.spec.operations.file: ",
            testing.service("s1", {"file": False}),
            testing.service("s2", {"file": True}, 1),
        )


if __name__ == "__main__":
    unittest.main()
