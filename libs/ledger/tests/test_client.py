"""Tests of the timeouts and retries of ``LedgerClient``."""

import asyncio
import time
import unittest

from returns.result import Failure as Failed
from returns.result import Success

from masticdale_common import Metrics
from masticdale_gateway.calls import TurnClaim
from masticdale_ledger.client import LedgerClient
from masticdale_ledger.leases import Lease
from masticdale_ledger.messages import AdmitReply, HostAddress
from masticdale_ledger.owner import ShardOwner
from masticdale_ledger.records import ProgramRecords
from masticdale_ledger.shards import (
    PreviousOwnerState,
    ShardMap,
    ShardRecord,
    shard_key,
)
from masticdale_platform import StoredObject
from masticdale_platform.testing import MemoryStore
from masticdale_rpc import unavailable

OWN = HostAddress("127.0.0.1", 1, "a")
RECORD = ShardRecord(
    owner="b",
    incarnation="b-1",
    address="127.0.0.1",
    port=2,
    epoch=1,
    previous=PreviousOwnerState.NONE,
)
TIMED_OUT = Failed(unavailable("b", "timed out", sent=True))


class Owner:
    """An owner; the calling host is paused while its first call waits."""

    def __init__(self, pause_s=0.0, answers=()):
        self.pause_s = pause_s
        self.answers = list(answers)
        self.calls = 0

    async def call(self, rpc, request, timeout_s):
        self.calls += 1
        if self.calls == 1 and self.pause_s:
            time.sleep(self.pause_s)  # noqa: ASYNC251
            return TIMED_OUT
        return self.answers.pop(0) if self.answers else TIMED_OUT


class PausedHostTest(unittest.TestCase):
    """Guards against rejecting a turn because its host was paused.

    After a pause longer than the admission timeout, the call has timed out
    although the owner has answered.
    """

    def admit(self, owner, deadline_s=3.0):
        async def play():
            loop = asyncio.get_running_loop()
            shard_map = ShardMap()
            value = RECORD.model_dump_json().encode()
            for shard in range(4):
                shard_map.put(StoredObject(shard_key(shard), 1, value))
            records = ProgramRecords(MemoryStore(), "a")
            client = LedgerClient(
                shard_map,
                ShardOwner(records, Lease(), Metrics()),
                OWN,
                lambda address, port: owner,
                Metrics(),
            )
            claim = TurnClaim("p", "r", 400, 100)
            return await client.admit(claim, loop.time() + deadline_s)

        return asyncio.run(play())

    def test_after_a_pause_the_call_is_retried_once(self):
        owner = Owner(pause_s=1.5, answers=[Success(AdmitReply())])
        self.assertIsInstance(self.admit(owner), Success)
        self.assertEqual(owner.calls, 2)

    def test_after_a_pause_beyond_the_deadline_it_is_not_retried(self):
        owner = Owner(pause_s=1.5, answers=[Success(AdmitReply())])
        self.assertIsInstance(self.admit(owner, deadline_s=1.3), Failed)
        self.assertEqual(owner.calls, 1)

    def test_without_a_pause_the_admission_timeout_applies(self):
        began = time.monotonic()
        self.assertIsInstance(self.admit(Owner()), Failed)
        self.assertLess(time.monotonic() - began, 1.2 + 0.2)


if __name__ == "__main__":
    unittest.main()
