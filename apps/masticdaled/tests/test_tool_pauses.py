"""Tests of the offloading of prefixes during tool pauses."""

import asyncio
import dataclasses
import unittest

from masticdale_common import Metrics
from masticdale_config import RenderedEngine
from masticdale_programs import ModelCall, ModelResult
from masticdale_upstreams.testing import FakeEngine
from masticdaled.execution.tool_pauses import PrefixOffloader, Residence

TOKENS = 50_000
CALL = ModelCall(
    workspace="w",
    program_id="p1",
    branch_id="main",
    request_id="r1",
    model="m",
    prompt=("x",),
    content_digest="d",
    max_tokens=8,
    priority=0,
    attained_s=0.0,
    replica="a",
    deadline=0.0,
    kind="dossier-build",
)
RESULT = ModelResult("text", "a", TOKENS, 0, 0, 10)
ENGINE = RenderedEngine(
    name="a",
    digest="d",
    address="127.0.0.1:1",
    failure_domain="domain-1",
    replica="a",
    enforces_fencing=True,
    draining=False,
    model="m",
    slots=8,
    prefill_tokens_per_s=8000,
    restore_interval=1,
    cache_tokens=100_000,
    transfer_tokens_per_s=400_000,
)


class PrefixOffloaderTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        self.metrics = Metrics()
        self.offloader = PrefixOffloader(self.metrics)
        self.engine = FakeEngine()
        self.engine.tokens_by_program["p1"] = TOKENS

    async def finish(self, residence_s, engine=ENGINE):
        residence = Residence(residence_s)
        self.offloader.record_finished(
            CALL, engine, self.engine, RESULT, residence
        )
        await asyncio.sleep(0.01)

    async def test_nothing_is_exported_without_evictions(self):
        await self.finish(0.0)
        self.assertEqual(self.offloader.exported_tokens(CALL), 0)

    async def test_nothing_is_exported_from_an_engine_without_transfer(self):
        engine = dataclasses.replace(ENGINE, transfer_tokens_per_s=0.0)
        await self.finish(1.0, engine)
        self.assertEqual(self.offloader.exported_tokens(CALL), 0)

    async def test_prefix_soon_evicted_is_exported_and_imported(self):
        await self.finish(1.0)
        self.assertEqual(self.offloader.exported_tokens(CALL), TOKENS)
        await self.offloader.import_prefix(CALL, self.engine, cached_tokens=0)
        count = self.metrics.counter_value("cache_imports_total")
        self.assertEqual(count, 1)
        await self.offloader.import_prefix(
            CALL, self.engine, cached_tokens=TOKENS
        )
        count = self.metrics.counter_value("cache_imports_total")
        self.assertEqual(count, 1)

    async def test_lost_export_is_discarded(self):
        # The engine no longer has the export; the turn must go on without it.
        await self.finish(1.0)
        await self.offloader.import_prefix(CALL, FakeEngine(), cached_tokens=0)
        self.assertEqual(self.offloader.exported_tokens(CALL), 0)


if __name__ == "__main__":
    unittest.main()
