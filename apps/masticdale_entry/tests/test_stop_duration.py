"""Tests of how long a planned stop takes when every step of it is slow."""

import asyncio
import time
import unittest
from unittest import mock

from case import NON_IDEMPOTENT
from test_stopping_orders import ENDLESS_S, GRACE_S, OrderCase, encode_call


class StopDurationTest(OrderCase):
    async def test_a_stop_with_slow_steps_ends_within_its_grace(self):
        """Guards against SIGKILL before the last log lines are written."""

        async def hang():
            await asyncio.sleep(ENDLESS_S)

        self.set_unary_replicas(processing_s=ENDLESS_S)
        caller = self.call(encode_call("r", NON_IDEMPOTENT))
        await self.wait_received(self.unary_replicas)
        host = self.host.entry
        # A caller that does not read holds its response, and so the stop.
        with (
            mock.patch.object(host._reconciler, "hand_over_all", hang),
            mock.patch.object(host._ledger, "flush", hang),
            mock.patch.object(type(host._relay), "is_idle", False),
        ):
            began = time.monotonic()
            await self.stop()
            took_s = time.monotonic() - began
        await caller.read()
        self.assertIn(caller.statuses, ([502], [504]))
        self.assertTrue(self.host.task.done())
        self.assertLess(took_s, GRACE_S)


if __name__ == "__main__":
    unittest.main()
