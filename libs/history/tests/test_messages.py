"""Tests of the messages between entry hosts and storage hosts."""

import socket
import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from masticdale_common import Metrics
from masticdale_history import (
    HISTORY,
    Member,
    TurnRecord,
    create_member_client,
)
from masticdale_history.messages import (
    APPEND_TURNS,
    READ_CHAIN,
    AppendTurnsReply,
    AppendTurnsRequest,
    ReadChainReply,
    ReadChainRequest,
)
from masticdale_rpc import Address, RpcServer, parse_idl


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
        declared = parse_idl("masticdale_history", "history.thrift", "History")
        for name in HISTORY.rpc_by_name:
            for part in ("args", "result"):
                with self.subTest(call=name, part=part):
                    own = getattr(HISTORY.service, f"{name}_{part}")
                    idl = getattr(declared.service, f"{name}_{part}")
                    self.assertEqual(
                        shape(own.thrift_spec), shape(idl.thrift_spec)
                    )

    def test_the_idl_declares_no_other_calls(self):
        """Guards against calls that no host serves."""
        declared = parse_idl("masticdale_history", "history.thrift", "History")
        self.assertEqual(
            sorted(declared.service.thrift_services),
            sorted(HISTORY.rpc_by_name),
        )

    @given(st.binary(max_size=200), st.binary(max_size=200))
    @settings(max_examples=50, deadline=None)
    def test_bytes_are_converted_unchanged(self, given_input, output):
        """Guards against prompts that are decoded or encoded as text."""
        record = TurnRecord("t", "w", "", "k", given_input, output, 1, 2)
        request = AppendTurnsRequest((record,))
        wire = HISTORY.to_wire(request)
        self.assertEqual(HISTORY.from_wire(AppendTurnsRequest, wire), request)


class _Echo:
    def __init__(self):
        self.records = ()

    async def append_turns(self, request):
        self.records = request.records
        return AppendTurnsReply()

    async def read_chain(self, request):
        del request
        return ReadChainReply(records=self.records, is_complete=True)


class RoundTripTest(unittest.IsolatedAsyncioTestCase):
    async def test_arbitrary_bytes_arrive_unchanged(self):
        """Guards against a history that differs from what the caller saw."""
        with socket.socket() as probe:
            probe.bind(("127.0.0.1", 0))
            port = probe.getsockname()[1]
        address = Address.model_validate({"ip": "127.0.0.1", "port": port})
        server = RpcServer(_Echo(), address, HISTORY)
        await server.listen(None)
        member = Member("h", "127.0.0.1", port, "d", "disk")
        client = create_member_client(member, Metrics())
        try:
            for content in (
                bytes(range(256)) * 40,
                b"\xff\xfe\x00\xc3\x28",
                b"\n\r\n\n",
                b"",
            ):
                record = TurnRecord("t", "", "", "k", content, content, 1, 2)
                await client.call(APPEND_TURNS, AppendTurnsRequest((record,)))
                outcome = await client.call(
                    READ_CHAIN, ReadChainRequest("", "t")
                )
                self.assertEqual(outcome.unwrap().records, (record,))
        finally:
            client.close()
            await server.close(0.0)


if __name__ == "__main__":
    unittest.main()
