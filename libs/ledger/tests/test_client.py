"""Tests of the timeouts and retries of ``LedgerClient``."""

import asyncio
import time
import unittest

from returns.result import Failure as Failed
from returns.result import Success

from masticdale_common import ErrorKind, Failure, Metrics
from masticdale_gateway.calls import AdmissionClaim
from masticdale_ledger.client import LedgerClient
from masticdale_ledger.leases import Lease
from masticdale_ledger.messages import (
    SETTLE,
    AdmitReply,
    HostAddress,
    SettleReply,
)
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
from masticdale_routing.assignments import TurnEnd
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
RECORD_WITH_STANDBY = RECORD.model_copy(
    update={"standby_address": "127.0.0.1", "standby_port": 3}
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
            claim = AdmissionClaim("p", "r", 400, 100)
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


class Host:
    """A host that answers admissions after a delay; None never answers."""

    def __init__(self, delay_s=0.0, failure=None):
        self.delay_s = delay_s
        self.failure = failure
        self.calls = 0
        self.settled = []

    async def call(self, rpc, request, timeout_s):
        self.calls += 1
        if rpc is SETTLE and self.delay_s is not None:
            self.settled += [s.request_id for s in request.settlements]
            return Success(SettleReply())
        if self.delay_s is None or self.delay_s >= timeout_s:
            await asyncio.sleep(timeout_s)
            return TIMED_OUT
        await asyncio.sleep(self.delay_s)
        return Success(AdmitReply(self.failure))


class LostOwnerTest(unittest.IsolatedAsyncioTestCase):
    """Guards against each of many hosts paying a timeout for a lost owner.

    While the store is away nobody can replace the owner in its record, and
    each host has only a turn of its shards every few seconds.
    """

    async def asyncSetUp(self):
        self.shard_map = ShardMap()
        self.put_record(RECORD_WITH_STANDBY, version=1)
        self.owner = Host(delay_s=None)
        self.standby = Host()
        host_by_port = {2: self.owner, 3: self.standby}
        self.client = LedgerClient(
            self.shard_map,
            ShardOwner(ProgramRecords(MemoryStore(), "a"), Lease(), Metrics()),
            OWN,
            lambda address, port: host_by_port[port],
            Metrics(),
        )

    def put_record(self, record, version):
        value = record.model_dump_json().encode()
        for shard in range(4):
            stored = StoredObject(shard_key(shard), version, value)
            self.shard_map.put(stored)

    async def admit(self, request="r"):
        """Returns the outcome and how long it took, in seconds."""
        loop = asyncio.get_running_loop()
        began = loop.time()
        claim = AdmissionClaim("p", request, 400, 100)
        outcome = await self.client.admit(claim, began + 3.0)
        return outcome, loop.time() - began

    async def test_the_standby_is_asked_before_the_owner_times_out(self):
        outcome, took_s = await self.admit()
        self.assertIsInstance(outcome, Success)
        self.assertLess(took_s, 0.25)

    async def test_an_acting_standby_stays_the_first_to_be_asked(self):
        """Also after the period in which a lost owner is skipped."""
        await self.admit("1")
        await asyncio.sleep(1.2)
        calls = self.owner.calls
        outcome, took_s = await self.admit("2")
        self.assertIsInstance(outcome, Success)
        self.assertLess(took_s, 0.05)
        self.assertEqual(self.owner.calls, calls)

    async def test_turns_are_settled_at_the_acting_standby_at_once(self):
        """Guards against turns that count as in flight after they ended.

        Each settlement would first wait for the lost owner's timeout.
        """
        await self.admit("1")
        calls = self.owner.calls
        claim = AdmissionClaim("p", "1", 400, 100)
        self.client.settle(claim, 80, TurnEnd("r"))
        await self.client.flush()
        self.assertEqual(self.owner.calls, calls)
        self.assertEqual(self.standby.settled, ["1"])

    async def test_a_standby_that_refuses_is_no_longer_asked_first(self):
        """Guards against hosts that never return to a living owner."""
        await self.admit("1")
        self.owner.delay_s = 0.0
        self.standby.failure = Failure(ErrorKind.LEDGER_UNAVAILABLE)
        outcome, took_s = await self.admit("2")
        self.assertIsInstance(outcome, Success)
        self.assertLess(took_s, 0.3)

    async def test_a_slow_owner_still_decides(self):
        """Guards against a standby's refusal that hides the owner's answer."""
        self.owner.delay_s = 0.2
        self.standby.failure = Failure(ErrorKind.NOT_OWNER)
        outcome, took_s = await self.admit()
        self.assertIsInstance(outcome, Success)
        self.assertLess(took_s, 0.3)
        self.assertEqual(self.client.unreachable_by_shard, {})

    async def test_a_new_record_is_followed_at_once(self):
        await self.admit("1")
        self.owner.delay_s = 0.0
        self.put_record(RECORD_WITH_STANDBY, version=2)
        asked = self.standby.calls
        await self.admit("2")
        self.assertEqual(self.standby.calls, asked)

    async def test_a_host_without_any_answer_counts_as_unreachable(self):
        """Both lost: the owner's shard must become vacant for other hosts."""
        self.standby.delay_s = None
        outcome, _ = await self.admit()
        self.assertIsInstance(outcome, Failed)
        lost = next(iter(self.client.unreachable_by_shard.values()))
        self.assertGreater(lost.last_failed_at, lost.first_failed_at)


if __name__ == "__main__":
    unittest.main()
