"""Tests of orders to engines: only one home sends them at a time."""

import dataclasses
import unittest

from masticdale_common import Metrics
from masticdale_config import RenderedEngine, RenderedOrder
from masticdale_platform.testing import MemoryStore
from masticdale_upstreams.testing import FakeEngine
from masticdaled.replicas.orders import LEASE_S, OrderDispatcher

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
NON_FENCING_ENGINE = dataclasses.replace(ENGINE, enforces_fencing=False)


class OrdersTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        self.store = MemoryStore()
        self.engine = FakeEngine()
        self.now = 100.0

    def create_dispatcher(self, holder):
        return OrderDispatcher(self.store, holder, Metrics(), lambda: self.now)

    def sent_orders(self):
        return [(o.kind.value, o.fencing) for o in self.engine.orders]

    async def test_orders_are_sent_once_per_engine_process(self):
        first, second = self.create_dispatcher("a"), self.create_dispatcher("b")
        for dispatcher in (first, first, second):
            await dispatcher.reconcile(ENGINE, self.engine, "process-1")
        expected = [("load_model", 1), ("load_adapter", 1)]
        self.assertEqual(self.sent_orders(), expected)
        await second.reconcile(ENGINE, self.engine, "process-2")
        self.assertEqual(
            self.sent_orders()[2:], [("load_model", 2), ("load_adapter", 2)]
        )

    async def test_new_home_fences_off_the_previous_one(self):
        # Operators see one model loaded although two hosts took themselves
        # for the home: the engine refused the order of the deposed one,
        # which had taken its number before it was paused.
        self.engine.faults.down = True
        await self.create_dispatcher("a").reconcile(
            ENGINE, self.engine, "process-1"
        )
        self.engine.faults.down = False
        await self.create_dispatcher("b").reconcile(
            ENGINE, self.engine, "process-1"
        )
        self.assertEqual({fencing for _, fencing in self.sent_orders()}, {2})

    async def test_new_home_waits_for_the_lease_of_a_non_fencing_engine(self):
        # Home a holds the lease and is partitioned from the engine, which would
        # obey both homes, so b must wait until a's lease has certainly expired.
        self.engine.faults.down = True
        await self.create_dispatcher("a").reconcile(
            NON_FENCING_ENGINE, self.engine, "process-1"
        )
        self.engine.faults.down = False
        successor = self.create_dispatcher("b")
        await successor.reconcile(NON_FENCING_ENGINE, self.engine, "process-1")
        self.now += LEASE_S
        await successor.reconcile(NON_FENCING_ENGINE, self.engine, "process-1")
        self.assertEqual(self.sent_orders(), [])
        self.now += LEASE_S
        await successor.reconcile(NON_FENCING_ENGINE, self.engine, "process-1")
        self.assertEqual(len(self.sent_orders()), 2)

    async def test_no_orders_are_sent_while_the_platform_is_down(self):
        self.store.faults.down = True
        await self.create_dispatcher("a").reconcile(
            ENGINE, self.engine, "process-1"
        )
        self.assertEqual(self.sent_orders(), [])


if __name__ == "__main__":
    unittest.main()
