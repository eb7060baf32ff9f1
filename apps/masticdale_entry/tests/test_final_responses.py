"""Tests of the responses of a host that has given up its requests."""

import asyncio
import unittest

from case import NON_IDEMPOTENT
from test_stopping_orders import (
    ENDLESS_S,
    GRACE_S,
    MAY_HAVE_RUN,
    OrderCase,
    encode_call,
)

from masticdale_entry import entry


class FinalResponseTest(OrderCase):
    async def test_a_request_read_afterwards_is_not_passed_on(self):
        """Guards against executing a request of which nobody waits."""
        self.host.entry._relay.give_up()
        caller = self.call(encode_call("late", NON_IDEMPOTENT))
        await caller.read(until=b"\r\n\r\n")
        self.assertEqual(caller.statuses, [503])
        self.assertEqual(self.requests_seen(self.unary_replicas), [])

    async def test_a_refusal_names_the_request_that_was_read_in_part(self):
        """Guards against a response that a caller can't tell apart."""
        head = encode_call("part", NON_IDEMPOTENT)
        caller = self.call(head.replace(b"Length: 0", b"Length: 9"))
        relay = self.host.entry._relay
        await self.wait_reading(relay)
        relay.give_up()
        await caller.read(until=b"\r\n\r\n")
        self.assertEqual(caller.statuses, [503])
        self.assertIn(b"request-id: part\r\n", caller.received.lower())

    async def test_a_request_read_as_the_last_connections_are_accepted(self):
        """Guards against silence for callers who come late in the drain.

        One long request keeps the listener open as long as a stop allows.
        """
        self.set_unary_replicas(processing_s=ENDLESS_S)
        self.call(encode_call("long", NON_IDEMPOTENT))
        await self.wait_received(self.unary_replicas)
        stopping = asyncio.create_task(self.stop())
        await asyncio.sleep(0.6 * GRACE_S * entry._ACCEPT_SHARE)
        caller = self.call(encode_call("late", NON_IDEMPOTENT))
        await self.wait_received(self.unary_replicas, count=2)
        await stopping
        await caller.read()
        self.assertIn(caller.statuses, [[s] for s in MAY_HAVE_RUN])

    async def wait_reading(self, relay):
        for _ in range(200):
            if relay.count_by_state().get("reading"):
                return
            await asyncio.sleep(0.01)
        raise AssertionError("no request is being read")


if __name__ == "__main__":
    unittest.main()
