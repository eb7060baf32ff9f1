"""Tests of the conversion between messages and thrift structs."""

import dataclasses
import typing
import unittest

import hypothesis
from hypothesis import strategies as st

from masticdale_common import ErrorKind, Failure
from masticdale_peers import messages

_INTEGERS = st.integers(0, 2**31 - 1)
_FAILURES = st.builds(
    Failure,
    kind=st.sampled_from(ErrorKind),
    detail=st.text(),
    retry_after_ms=st.none() | _INTEGERS,
    host=st.text(),
)
_STRATEGY_BY_HINT = {
    int: _INTEGERS,
    Failure | None: st.none() | _FAILURES,
}


def message_strategy(message_type):
    hints = typing.get_type_hints(message_type)
    fields = {
        name: message_strategy(hint)
        if dataclasses.is_dataclass(hint)
        else _STRATEGY_BY_HINT.get(hint, st.from_type(hint))
        for name, hint in hints.items()
    }
    return st.builds(message_type, **fields)


class ConversionTest(unittest.TestCase):
    @hypothesis.settings(derandomize=True, deadline=None, max_examples=200)
    @hypothesis.given(st.data())
    def test_every_message_survives_the_round_trip(self, data):
        rpc = data.draw(st.sampled_from(messages.ALL_RPCS))
        kind = data.draw(st.sampled_from([rpc.request_type, rpc.reply_type]))
        message = data.draw(message_strategy(kind))
        struct = messages.to_wire(message)
        self.assertEqual(messages.from_wire(kind, struct), message)

    def test_data_classes_match_the_idl(self):
        for rpc in messages.ALL_RPCS:
            for kind in (rpc.request_type, rpc.reply_type):
                struct = messages.to_wire(
                    messages.from_wire(kind, None)
                    if kind is not messages.HeartbeatReply
                    else messages.HeartbeatReply(
                        messages.Heartbeat("a", "d", "i")
                    )
                )
                idl = [spec[1] for spec in struct.thrift_spec.values()]
                declared = [field.name for field in dataclasses.fields(kind)]
                self.assertEqual(idl, declared, kind.__name__)

    def test_fields_omitted_by_an_older_host_get_zero_values(self):
        struct = messages.to_wire(messages.CopyReply(held=True))
        struct.held = None
        reply = messages.from_wire(messages.CopyReply, struct)
        self.assertIs(reply.held, False)

    def test_an_unknown_failure_kind_becomes_internal(self):
        failure = Failure(ErrorKind.OVERLOADED, "x")
        struct = messages.to_wire(messages.SubmitReply(failure=failure))
        struct.failure.kind = "new_kind"
        reply = messages.from_wire(messages.SubmitReply, struct)
        self.assertEqual(
            reply.failure, Failure(ErrorKind.INTERNAL, "new_kind: x")
        )


if __name__ == "__main__":
    unittest.main()
