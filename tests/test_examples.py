"""Tests that the example declarations are valid, alone and combined."""

import pathlib
import unittest

from masticctl.declarations import read_folder
from masticdale_config import checks, testing

EXAMPLES = pathlib.Path(__file__).resolve().parent.parent / "examples"


class ExamplesTest(unittest.TestCase):
    def load(self, *folders):
        declaration_by_key = {}
        for folder in folders:
            declaration_by_key |= read_folder(str(EXAMPLES / folder))
        return checks.check_declarations(declaration_by_key, 1).unwrap()

    def test_both_deployments_are_accepted_together(self):
        config = self.load("tengri-trails", "halvorsen")
        self.assertEqual(
            sorted(config.workspace_by_name),
            [testing.HALVORSEN, testing.TENGRI],
        )
        upstreams = config.upstreams.by_name.values()
        addresses = {upstream.address for upstream in upstreams}
        self.assertEqual(len(addresses), len(upstreams))

    def test_each_has_the_replicas_and_failure_domains_of_today(self):
        for folder, model, engine_count in (
            ("tengri-trails", "permit-70b", 5),
            ("halvorsen", "refill-34b", 9),
        ):
            upstreams = self.load(folder).upstreams
            engines = upstreams.by_model[model]
            self.assertEqual(len(engines), engine_count)
            self.assertEqual(len({e.failure_domain for e in engines}), 4)
            self.assertEqual(len(upstreams.by_name), engine_count + 4)

    def test_what_must_not_happen_twice_is_not_repeatable(self):
        config = self.load("tengri-trails", "halvorsen")
        for operation in ("permits.file", "shipments.place", "cards.charge"):
            for service in config.upstreams.by_operation[operation]:
                self.assertFalse(service.repeatable_by_operation[operation])


if __name__ == "__main__":
    unittest.main()
