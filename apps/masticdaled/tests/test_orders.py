"""Tests of orders to engines: one home at a time, fenced or by lease."""

import dataclasses
import unittest

from masticdale_common import Metrics
from masticdale_config import RenderedEngine, RenderedOrder
from masticdale_platform.testing import MemoryStore
from masticdale_upstreams.testing import FakeEngine
from masticdaled.replicas.orders import LEASE_S, OrderGiver

ENGINE = RenderedEngine(
    name="permit-1",
    digest="d",
    address="127.0.0.1:1",
    failure_domain="domain-1",
    replica="permit-1",
    enforces_fencing=True,
    draining=False,
    model="permit-70b",
    slots=8,
    prefill_tokens_per_s=8000,
    restore_interval=1,
    cache_tokens=1000,
    orders=(
        RenderedOrder("load_model", "permit-70b"),
        RenderedOrder("load_adapter", "zones"),
    ),
)
IGNORES = dataclasses.replace(ENGINE, enforces_fencing=False)


class OrdersTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        self.store = MemoryStore()
        self.engine = FakeEngine()
        self.now = 100.0

    def giver(self, holder):
        return OrderGiver(self.store, holder, Metrics(), lambda: self.now)

    def given(self):
        return [(o.kind.value, o.fencing) for o in self.engine.orders]

    async def test_orders_are_given_once_for_each_engine_process(self):
        first, second = self.giver("a"), self.giver("b")
        for giver in (first, first, second):
            await giver.reconcile(ENGINE, self.engine, "process-1")
        expected = [("load_model", 1), ("load_adapter", 1)]
        self.assertEqual(self.given(), expected)
        await second.reconcile(ENGINE, self.engine, "process-2")
        self.assertEqual(
            self.given()[2:], [("load_model", 2), ("load_adapter", 2)]
        )

    async def test_new_home_fences_the_earlier_one_off(self):
        # Operators see one model loaded although two hosts took themselves
        # for the home: the engine refused the order of the deposed one,
        # which had taken its number before it was paused.
        self.engine.faults.down = True
        await self.giver("a").reconcile(ENGINE, self.engine, "process-1")
        self.engine.faults.down = False
        await self.giver("b").reconcile(ENGINE, self.engine, "process-1")
        self.assertEqual({fencing for _, fencing in self.given()}, {2})

    async def test_engine_that_ignores_fencing_waits_for_the_lease(self):
        # Home a took the lease and was cut off from the engine. Home b may
        # not give orders before a's lease has surely lapsed, because the
        # engine would obey both.
        self.engine.faults.down = True
        await self.giver("a").reconcile(IGNORES, self.engine, "process-1")
        self.engine.faults.down = False
        taker = self.giver("b")
        await taker.reconcile(IGNORES, self.engine, "process-1")
        self.now += LEASE_S
        await taker.reconcile(IGNORES, self.engine, "process-1")
        self.assertEqual(self.given(), [])
        self.now += LEASE_S
        await taker.reconcile(IGNORES, self.engine, "process-1")
        self.assertEqual(len(self.given()), 2)

    async def test_nothing_is_ordered_while_the_platform_is_down(self):
        self.store.faults.down = True
        await self.giver("a").reconcile(ENGINE, self.engine, "process-1")
        self.assertEqual(self.given(), [])


if __name__ == "__main__":
    unittest.main()
