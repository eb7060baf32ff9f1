"""Tests that a wrong whole is refused with the path of each wrong field."""

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
    def _refused(self, path, *declarations):
        failure = _check(*declarations).failure()
        self.assertIs(failure.kind, ErrorKind.BAD_REQUEST)
        self.assertIn(path, failure.detail)

    def test_the_samples_are_accepted(self):
        _check(*testing.tengri_trails(), *testing.halvorsen()).unwrap()

    def test_a_missing_template_or_upstream(self):
        self._refused("Workspace/w.spec.template: ", ENGINE, _workspace())
        self._refused("Workspace/w.spec.upstreams: ", TEMPLATE, _workspace())

    def test_a_missing_and_an_unknown_parameter(self):
        wrong = _workspace(parameters={"modle": "x"})
        self._refused("spec.parameters.model: ", ENGINE, TEMPLATE, wrong)
        self._refused("spec.parameters.modle: ", ENGINE, TEMPLATE, wrong)

    def test_an_unknown_placeholder(self):
        wrong = testing.template("t", testing.program("${who}"))
        self._refused("Template/t.spec.programs.0: ", wrong)

    def test_an_unknown_field_of_a_program(self):
        wrong = testing.template("t", testing.program("p", prompt="x"))
        self._refused("Template/t.spec.programs.0.prompt: ", wrong)

    def test_budgets_that_cannot_be_met(self):
        budget = {"tokens": 10, "calls": 1, "turns": 2, "wall_time_s": 1}
        wrong = testing.template("t", testing.program("p", budget=budget))
        for field in ("budget.tokens", "budget.calls"):
            self._refused(field, ENGINE, wrong, _workspace())
        poor = _workspace(budget={"tokens_per_hour": 100})
        self._refused("budget.tokens_per_hour: ", ENGINE, TEMPLATE, poor)

    def test_a_tool_that_no_upstream_offers(self):
        wrong = testing.template("t", testing.program("p", tools=["fly"]))
        self._refused("'fly'", ENGINE, wrong, _workspace())

    def test_one_caller_key_in_two_workspaces(self):
        self._refused(
            "Workspace/w2.spec.caller_keys.0.sha256: ",
            ENGINE,
            TEMPLATE,
            _workspace(),
            _workspace(name="w2"),
        )

    def test_replicas_that_differ_on_what_may_be_repeated(self):
        self._refused(
            "Upstream/s2.spec.operations.file: ",
            testing.service("s1", {"file": False}),
            testing.service("s2", {"file": True}, 1),
        )


if __name__ == "__main__":
    unittest.main()
