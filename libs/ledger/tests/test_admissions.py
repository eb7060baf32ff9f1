"""Tests of answers that come in time while a decision waits for others."""

import asyncio
import unittest
from unittest import mock

from returns.result import Failure as Failed
from returns.result import Success

from masticdale_common import ErrorKind, Failure, Metrics
from masticdale_gateway.calls import TurnClaim
from masticdale_ledger.accounts import Accounts
from masticdale_ledger.admissions import Admissions
from masticdale_ledger.client import CALL_TIMEOUT_S
from masticdale_ledger.copier import Copier
from masticdale_ledger.leases import Lease
from masticdale_ledger.messages import CopyReply
from masticdale_ledger.owner import OwnedShard, ShardOwner
from masticdale_ledger.records import ProgramRecords
from masticdale_ledger.shards import PreviousOwner, ShardRecord, ShardView
from masticdale_platform.testing import MemoryStore

SHARD = 1
BUDGET = 1000


def claim(request_id, tokens, program="p"):
    return TurnClaim(program, request_id, BUDGET, tokens)


class SilentPeer:
    """A standby that answers nothing, after the caller's timeout."""

    def __init__(self):
        self.calls = 0

    async def call(self, rpc, request, timeout_s):
        self.calls += 1
        await asyncio.sleep(timeout_s)
        return Failed(Failure(ErrorKind.PEER_UNAVAILABLE, "silent"))


class SlowPeer:
    """A standby that holds everything, and takes a while to say so."""

    def __init__(self):
        self.calls = 0

    async def call(self, rpc, request, timeout_s):
        self.calls += 1
        await asyncio.sleep(0.05)
        return Success(CopyReply(held=True, sealed=False))


class Acting:
    """A host that never acts for an owner."""

    async def act(self, number):
        return None


class AdmissionsCase(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        self.store = MemoryStore()

    def own(self, peer=None, predecessor=""):
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
            previous=PreviousOwner.NONE,
        )
        copier = Copier(peer) if peer else None
        shard = OwnedShard(
            SHARD,
            ShardView(record, 1),
            Accounts(),
            0.0,
            lease,
            copier,
            predecessor,
        )
        self.owner.take(shard)
        self.admissions = Admissions(self.owner, Acting())

    async def ask(self, *claims):
        """Asks for turns at once; returns outcomes and the longest wait."""
        loop = asyncio.get_running_loop()
        began = loop.time()
        outcomes = await asyncio.gather(
            *(self.admissions.admit(SHARD, c) for c in claims)
        )
        return outcomes, loop.time() - began


class AnswerInTimeTest(AdmissionsCase):
    async def test_a_slow_store_does_not_make_the_owner_look_dead(self):
        """Programs that need no record would fail with those that do.

        The store takes longer for a record than a host waits for the owner.
        That host hears in time that the turn is not decided, and the owner
        still counts as alive.
        """
        self.own()
        self.store.faults.delay_s = 0.6
        (outcome,), waited_s = await self.ask(claim("r", 600))
        self.assertEqual(outcome.failure().kind, ErrorKind.LEDGER_UNAVAILABLE)
        self.assertLess(waited_s, CALL_TIMEOUT_S)

    async def test_a_host_that_asks_again_joins_its_decision(self):
        """Each question would start a write of its own, and none would end."""
        self.own()
        self.store.faults.delay_s = 0.6
        for _ in range(4):
            (outcome,), _ = await self.ask(claim("r", 600))
            if isinstance(outcome, Success):
                break
        self.assertIsInstance(outcome, Success)
        self.assertEqual(self.store.write_count, 1)

    async def test_a_silent_standby_costs_all_turns_one_timeout(self):
        """Ten turns would wait one after the other for a dead standby.

        Each is refused after the owner has found that the standby does not
        answer, and none of them tells the asking host that the owner is lost.
        """
        peer = SilentPeer()
        self.own(peer)
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
        """Turns of a busy shard would queue up behind each other's copies.

        One copy for each would take 2.5 s, longer than an answer may here.
        """
        peer = SlowPeer()
        self.own(peer)
        turns = [claim(f"r{n}", 10, f"p{n}") for n in range(50)]
        outcomes, _ = await self.ask(*turns)
        self.assertTrue(all(isinstance(o, Success) for o in outcomes))
        self.assertLessEqual(peer.calls, 2)


class PredecessorTest(AdmissionsCase):
    """A program would be told 402 after a planned stop of its owner.

    The owner writes a record at a store that is slow, and meanwhile hands its
    shards over. The next owner has its exact accounts, and meets the record.
    """

    async def meet(self, predecessor):
        before = ProgramRecords(self.store, "before")
        await before.raise_bound("p", BUDGET, 0)
        self.own(predecessor=predecessor)
        # One turn may go beyond a budget whose count isn't exact.
        await self.ask(claim("r1", 600))
        return await self.decided(claim("r2", 300))

    async def decided(self, turn):
        """Asks until there is a decision; turns under way may delay it."""
        for _ in range(20):
            (outcome,), _ = await self.ask(turn)
            undecided = isinstance(outcome, Failed) and (
                outcome.failure().kind is ErrorKind.LEDGER_UNAVAILABLE
            )
            if not undecided:
                return outcome
        raise AssertionError("never decided")

    async def test_its_record_is_no_more_than_its_accounts_say(self):
        self.assertIsInstance(await self.meet("before"), Success)

    async def test_any_other_record_counts_as_spent(self):
        outcome = await self.meet("another")
        self.assertIs(outcome.failure().kind, ErrorKind.BUDGET_EXCEEDED)


if __name__ == "__main__":
    unittest.main()
