"""Tests of the models of declarations."""

import unittest

import orjson

from masticdale_common import ErrorKind
from masticdale_config import kinds, testing


def _parse_failure(value):
    return kinds.parse(orjson.dumps(value)).failure()


class ParseTest(unittest.TestCase):
    def test_a_declaration_round_trips_through_json(self):
        for declaration in testing.tengri_trails():
            text = declaration.model_dump_json()
            again = kinds.parse(text).unwrap()
            self.assertEqual(again, declaration)
            self.assertEqual(again.digest, declaration.digest)

    def test_an_explicit_default_equals_an_omitted_one(self):
        short = testing.engine("e", "m")
        spec = short.spec.model_dump(mode="json")
        self.assertIn("draining", spec)
        long = testing.declaration("Upstream", "e", spec)
        self.assertEqual(long.digest, short.digest)

    def test_each_invalid_field_is_named_by_its_path(self):
        spec = testing.engine("e", "m").spec.model_dump(mode="json")
        spec.update(address="engine-1:80", slots="8", colour="red")
        failure = _parse_failure(
            {"kind": "Upstream", "name": "e", "spec": spec}
        )
        self.assertIs(failure.kind, ErrorKind.BAD_REQUEST)
        for field in ("address", "slots", "colour"):
            self.assertIn(f"Upstream/e.spec.{field}: ", failure.detail)

    def test_an_unknown_kind_lists_the_kinds(self):
        for kind in ("Engine", None, []):
            failure = _parse_failure({"kind": kind, "name": "e", "spec": {}})
            self.assertIn("Template, Workspace, Upstream", failure.detail)

    def test_a_value_that_is_not_an_object_is_rejected(self):
        for text in (b"[]", b"{", b"1"):
            failure = kinds.parse(text).failure()
            self.assertIs(failure.kind, ErrorKind.BAD_REQUEST)


if __name__ == "__main__":
    unittest.main()
