"""Tests that the ledger's messages match their Thrift IDL."""

import unittest

from masticdale_ledger.messages import LEDGER
from masticdale_rpc import parse_idl


def shape(spec, seen=()):
    """Returns a struct's specification without its classes."""
    fields = {}
    for number, field in spec.items():
        kind, name, *rest = field
        fields[number] = (kind, name, inner(rest[0], seen) if rest else None)
    return fields


def inner(detail, seen):
    if isinstance(detail, tuple):
        return tuple(inner(item, seen) for item in detail)
    if hasattr(detail, "thrift_spec") and detail not in seen:
        return shape(detail.thrift_spec, (*seen, detail))
    return detail if not isinstance(detail, bool) else None


class ContractTest(unittest.TestCase):
    def test_the_structs_are_those_of_the_idl(self):
        """Guards against hosts that misread messages of another version."""
        declared = parse_idl("masticdale_ledger", "ledger.thrift", "Ledger")
        for name in LEDGER.rpc_by_name:
            for part in ("args", "result"):
                with self.subTest(call=name, part=part):
                    own = getattr(LEDGER.service, f"{name}_{part}")
                    idl = getattr(declared.service, f"{name}_{part}")
                    self.assertEqual(
                        shape(own.thrift_spec), shape(idl.thrift_spec)
                    )

    def test_the_idl_declares_no_other_calls(self):
        declared = parse_idl("masticdale_ledger", "ledger.thrift", "Ledger")
        self.assertEqual(
            sorted(declared.service.thrift_services),
            sorted(LEDGER.rpc_by_name),
        )


if __name__ == "__main__":
    unittest.main()
