"""Tests of sending the last settlements of a host that stops."""

import asyncio
import unittest

from returns.result import Success
from test_client import OWN, RECORD

from masticdale_common import Metrics
from masticdale_gateway.calls import AdmissionClaim
from masticdale_ledger.client import LedgerClient
from masticdale_ledger.leases import Lease
from masticdale_ledger.messages import SettleReply
from masticdale_ledger.owner import ShardOwner
from masticdale_ledger.records import ProgramRecords
from masticdale_ledger.shards import ShardMap, shard_key
from masticdale_platform import StoredObject
from masticdale_platform.testing import MemoryStore
from masticdale_routing.assignments import TurnEnd

CLAIM = AdmissionClaim("p", "r", 400, 100)


class SlowOwner:
    """An owner that receives a call some time after it was sent."""

    def __init__(self):
        self.is_called = asyncio.Event()
        self.settled = []

    async def call(self, rpc, request, timeout_s):
        self.is_called.set()
        await asyncio.sleep(0.05)
        self.settled += [s.request_id for s in request.settlements]
        return Success(SettleReply())


class FlushTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        shard_map = ShardMap()
        value = RECORD.model_dump_json().encode()
        for shard in range(4):
            shard_map.put(StoredObject(shard_key(shard), 1, value))
        self.owner = SlowOwner()
        self.client = LedgerClient(
            shard_map,
            ShardOwner(ProgramRecords(MemoryStore(), "a"), Lease(), Metrics()),
            OWN,
            lambda address, port: self.owner,
            Metrics(),
        )

    async def test_settlements_being_sent_survive_a_stop(self):
        """Guards against losing a settlement that the task is sending.

        The stop flushes, and then cancels the task. The reservation of the
        turn would keep counting against its program's budget.
        """
        sending = asyncio.create_task(self.client.run())
        self.client.settle(CLAIM, 80, TurnEnd("r"))
        await self.owner.is_called.wait()
        await self.client.flush()
        sending.cancel()
        await asyncio.gather(sending, return_exceptions=True)
        self.assertEqual(self.owner.settled, ["r"])


if __name__ == "__main__":
    unittest.main()
