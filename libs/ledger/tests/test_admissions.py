"""Tests of admission replies while a decision waits for other parts."""

import asyncio
import unittest
from unittest import mock

from returns.result import Failure as Failed
from returns.result import Success

from masticdale_common import ErrorKind, Failure, Metrics
from masticdale_gateway.calls import AdmissionClaim
from masticdale_ledger.accounts import Accounts
from masticdale_ledger.admissions import Admissions
from masticdale_ledger.client import CALL_TIMEOUT_S
from masticdale_ledger.copier import Copier
from masticdale_ledger.leases import Lease
from masticdale_ledger.messages import CopyReply
from masticdale_ledger.owned_shard import OwnedShard
from masticdale_ledger.owner import ShardOwner
from masticdale_ledger.records import ProgramRecords
from masticdale_ledger.shards import (
    PreviousOwnerState,
    ShardRecord,
    VersionedShardRecord,
)
from masticdale_platform.testing import MemoryStore

SHARD = 1
BUDGET = 1000


def claim(request_id, tokens, program="p"):
    return AdmissionClaim(program, request_id, BUDGET, tokens)


class SilentPeer:
    """A standby that never answers; its calls time out."""

    def __init__(self):
        self.calls = 0

    async def call(self, rpc, request, timeout_s):
        self.calls += 1
        await asyncio.sleep(timeout_s)
        return Failed(Failure(ErrorKind.PEER_UNAVAILABLE, "silent"))


class SlowPeer:
    """A standby that acknowledges every copy after a delay."""

    def __init__(self):
        self.calls = 0

    async def call(self, rpc, request, timeout_s):
        self.calls += 1
        await asyncio.sleep(0.05)
        return Success(CopyReply(held=True, sealed=False))


class NoFailover:
    """A host that is standby of no shard."""

    async def fail_over(self, shard_number):
        return None


class AdmissionsCase(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        self.store = MemoryStore()

    def create_owner(self, peer=None, predecessor_incarnation=""):
        lease = Lease()
        lease.renew(lease.now())
        records = ProgramRecords(self.store, "writer")
        self.owner = ShardOwner(records, lease, Metrics())
        record = ShardRecord(
            owner="here",
            incarnation="1",
            address="127.0.0.1",
            port=1,
            epoch=1,
            previous=PreviousOwnerState.NONE,
        )
        copier = Copier(peer) if peer else None
        shard = OwnedShard(
            SHARD,
            VersionedShardRecord(record, 1),
            Accounts(),
            0.0,
            lease,
            copier,
            predecessor_incarnation,
        )
        self.owner.take(shard)
        self.admissions = Admissions(self.owner, NoFailover())

    async def ask(self, *claims):
        """Asks for turns concurrently; returns outcomes and the total wait."""
        loop = asyncio.get_running_loop()
        began = loop.time()
        outcomes = await asyncio.gather(
            *(self.admissions.admit(SHARD, c) for c in claims)
        )
        return outcomes, loop.time() - began


class ReplyTimeoutTest(AdmissionsCase):
    async def test_a_slow_store_does_not_make_the_owner_look_dead(self):
        """Guards against replacing a live owner whose store is slow.

        The store takes longer than the asking host's timeout. That host gets a
        reply in time, so that the owner counts as alive.
        """
        self.create_owner()
        self.store.faults.delay_s = 0.6
        (outcome,), waited_s = await self.ask(claim("r", 600))
        self.assertEqual(outcome.failure().kind, ErrorKind.LEDGER_UNAVAILABLE)
        self.assertLess(waited_s, CALL_TIMEOUT_S)

    async def test_a_repeated_request_joins_its_pending_decision(self):
        """Guards against retries that each start a write and never complete."""
        self.create_owner()
        self.store.faults.delay_s = 0.6
        for _ in range(4):
            (outcome,), _ = await self.ask(claim("r", 600))
            if isinstance(outcome, Success):
                break
        self.assertIsInstance(outcome, Success)
        self.assertEqual(self.store.write_count, 1)

    async def test_a_silent_standby_costs_all_turns_one_timeout(self):
        """Guards against turns that each wait for a timeout of a lost standby.

        They share the timeout and are rejected before the asking host would
        take the owner for dead.
        """
        peer = SilentPeer()
        self.create_owner(peer)
        turns = [claim(f"r{n}", 10, f"p{n}") for n in range(10)]
        outcomes, waited_s = await self.ask(*turns)
        self.assertEqual(
            {o.failure().kind for o in outcomes},
            {ErrorKind.LEDGER_UNAVAILABLE},
        )
        self.assertLess(waited_s, CALL_TIMEOUT_S)
        await asyncio.sleep(0.7)
        self.assertLessEqual(peer.calls, 2)

    @mock.patch("masticdale_ledger.admissions.REPLY_TIMEOUT_S", 2.0)
    async def test_turns_that_arrive_together_share_copies(self):
        """Guards against turns of a busy shard that wait for one copy each.

        One copy per turn would take longer than the reply timeout.
        """
        peer = SlowPeer()
        self.create_owner(peer)
        turns = [claim(f"r{n}", 10, f"p{n}") for n in range(50)]
        outcomes, _ = await self.ask(*turns)
        self.assertTrue(all(isinstance(o, Success) for o in outcomes))
        self.assertLessEqual(peer.calls, 2)


class PredecessorTest(AdmissionsCase):
    """Guards against 402 after a planned stop of the owner.

    The owner hands its shards over while its write of a record is in flight.
    The next owner has its exact accounts, and its own write conflicts.
    """

    async def admit_after_record(self, predecessor_incarnation):
        before = ProgramRecords(self.store, "before")
        await before.raise_bound("p", BUDGET, 0)
        self.create_owner(predecessor_incarnation=predecessor_incarnation)
        # An inexact count may exceed the budget by one turn.
        await self.ask(claim("r1", 600))
        return await self.ask_until_decided(claim("r2", 300))

    async def ask_until_decided(self, turn):
        """Asks until the turn is decided."""
        for _ in range(20):
            (outcome,), _ = await self.ask(turn)
            undecided = isinstance(outcome, Failed) and (
                outcome.failure().kind is ErrorKind.LEDGER_UNAVAILABLE
            )
            if not undecided:
                return outcome
        raise AssertionError("no decision after 20 requests")

    async def test_the_predecessors_record_does_not_count_as_spent(self):
        self.assertIsInstance(await self.admit_after_record("before"), Success)

    async def test_any_other_record_counts_as_spent(self):
        outcome = await self.admit_after_record("another")
        self.assertIs(outcome.failure().kind, ErrorKind.BUDGET_EXCEEDED)


if __name__ == "__main__":
    unittest.main()
