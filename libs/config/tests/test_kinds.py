"""Tests of the declarations' border models."""

import unittest

import orjson

from masticdale_common import ErrorKind
from masticdale_config import kinds, testing


def _refusal(value):
    return kinds.parse(orjson.dumps(value)).failure()


class ParseTest(unittest.TestCase):
    def test_a_declaration_comes_back_equal_from_its_json(self):
        for declaration in testing.tengri_trails():
            text = declaration.model_dump_json()
            again = kinds.parse(text).unwrap()
            self.assertEqual(again, declaration)
            self.assertEqual(again.digest, declaration.digest)

    def test_a_default_written_out_is_the_same_declaration(self):
        short = testing.engine("e", "m")
        spec = short.spec.model_dump(mode="json")
        self.assertIn("draining", spec)
        long = testing.declaration("Upstream", "e", spec)
        self.assertEqual(long.digest, short.digest)

    def test_each_wrong_field_is_named_by_its_path(self):
        spec = testing.engine("e", "m").spec.model_dump(mode="json")
        spec.update(address="engine-1:80", slots="8", colour="red")
        failure = _refusal({"kind": "Upstream", "name": "e", "spec": spec})
        self.assertIs(failure.kind, ErrorKind.BAD_REQUEST)
        for field in ("address", "slots", "colour"):
            self.assertIn(f"Upstream/e.spec.{field}: ", failure.detail)

    def test_an_unknown_kind_lists_the_kinds(self):
        for kind in ("Engine", None, []):
            failure = _refusal({"kind": kind, "name": "e", "spec": {}})
            self.assertIn("Template, Workspace, Upstream", failure.detail)

    def test_what_is_not_an_object_is_refused(self):
        for text in (b"[]", b"{", b"1"):
            failure = kinds.parse(text).failure()
            self.assertIs(failure.kind, ErrorKind.BAD_REQUEST)


if __name__ == "__main__":
    unittest.main()
