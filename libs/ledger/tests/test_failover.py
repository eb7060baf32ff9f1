"""Tests of a standby that goes on in place of its owner, and of its claim."""

import asyncio
import types
import unittest

from returns.result import Failure as Failed
from returns.result import Success

from masticdale_common import ErrorKind, Failure, Metrics
from masticdale_gateway.calls import TurnClaim
from masticdale_ledger.claims import ShardClaims
from masticdale_ledger.failover import StandbyFailover
from masticdale_ledger.hosts import Hosts, Identity, LiveHosts
from masticdale_ledger.leases import Lease
from masticdale_ledger.messages import (
    AccountState,
    CopyRequest,
    HandOver,
    SettleReply,
)
from masticdale_ledger.owner import ShardOwner
from masticdale_ledger.reconciler import ShardReconciler
from masticdale_ledger.records import ProgramRecords
from masticdale_ledger.shards import (
    PreviousOwner,
    ShardMap,
    ShardRecord,
    shard_key,
)
from masticdale_ledger.standby import StandbyCopies
from masticdale_platform import StoredObject
from masticdale_platform.testing import MemoryStore
from masticdale_rpc import unavailable

SHARD = 1
BUDGET = 1200
STANDBY = Identity("b", "b-1", "127.0.0.1", 2, "b")
OWNER = ShardRecord(
    owner="a",
    incarnation="a-1",
    address="127.0.0.1",
    port=1,
    epoch=1,
    previous=PreviousOwner.NONE,
    standby_address="127.0.0.1",
    standby_port=2,
)


def claim(request_id, program="known"):
    return TurnClaim(program, request_id, BUDGET, 100)


class Owner(Hosts):
    """The other host: answers, or is silent until the caller's timeout."""

    def __init__(self):
        self.is_silent = True

    def client(self, address, port):
        return self

    def candidates(self):
        return []

    async def call(self, rpc, request, timeout_s):
        if not self.is_silent:
            return Success(SettleReply())
        await asyncio.sleep(timeout_s)
        return Failed(unavailable("a", "timed out", sent=True))


class LossyStore(MemoryStore):
    """A store that does a write and is gone before it answers."""

    def __init__(self):
        super().__init__()
        self.is_lossy = False
        self.is_silent_for_lists = False

    async def list(self, prefix):
        if self.is_silent_for_lists:
            return Failed(Failure(ErrorKind.PLATFORM_UNAVAILABLE, "no answer"))
        return await super().list(prefix)

    async def write(self, key, value, expected_version):
        outcome = await super().write(key, value, expected_version)
        if not self.is_lossy:
            return outcome
        self.faults.down = True
        return Failed(Failure(ErrorKind.WRITE_UNKNOWN, "no answer"))


class ActingCase(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.store = LossyStore()
        self.map = ShardMap()
        self.lease = Lease()
        self.copies = StandbyCopies()
        self.other = Owner()
        records = ProgramRecords(self.store, STANDBY.incarnation)
        self.owner = ShardOwner(records, self.lease, Metrics())
        seen = LiveHosts(STANDBY.host_address)
        client = types.SimpleNamespace(unreachable_by_shard={})
        claims = ShardClaims(
            STANDBY,
            self.store,
            records,
            self.map,
            self.owner,
            self.lease,
            client,
            self.other,
            seen,
        )
        self.acting = StandbyFailover(
            STANDBY,
            self.map,
            self.owner,
            self.lease,
            self.copies,
            claims,
            self.other,
        )
        self.keeper = ShardReconciler(
            STANDBY,
            self.store,
            self.map,
            self.owner,
            self.lease,
            client,
            claims,
            self.acting,
            self.other,
            lambda: self.store.faults.down,
            seen,
        )
        value = OWNER.model_dump_json().encode()
        written = await self.store.write(shard_key(SHARD), value, 0)
        self.map.put(StoredObject(shard_key(SHARD), written.unwrap(), value))
        self.map.is_loaded = True
        known = AccountState("known", BUDGET, 40, True, 0, 0, (), (), 100)
        self.copies.put(CopyRequest(SHARD, 1, True, (known,), 0.0))

    async def admit(self, turn):
        outcome = await self.owner.admit(SHARD, turn)
        if isinstance(outcome, Failed):
            return outcome.failure().kind
        return None

    async def read_map(self):
        """The store is back, and what it holds becomes known."""
        self.store.is_lossy = False
        self.store.faults.down = False
        self.store.faults.delay_s = 0.0
        found = await self.store.read(shard_key(SHARD))
        self.map.put(found.unwrap())


class ActingTest(ActingCase):
    async def test_a_shard_goes_on_after_one_question_to_its_lost_owner(self):
        """Programs would wait 1.4 s for a host that lost its power.

        Every host that missed the owner waited for a second timeout and a
        random while before one of them claimed the shard. The standby has the
        accounts: it asks once and goes on.
        """
        loop = asyncio.get_running_loop()
        began = loop.time()
        await self.acting.fail_over(SHARD)
        self.assertIsNone(await self.admit(claim("r")))
        self.assertLess(loop.time() - began, 0.4)
        await asyncio.sleep(0.05)
        found = await self.store.read(shard_key(SHARD))
        self.assertIn(b'"owner":"b"', found.unwrap().value)
        account = self.owner.owned()[SHARD].accounts.get("known")
        self.assertIn("r", account.reserved_by_request_id)

    async def test_an_owner_that_answers_is_not_replaced(self):
        self.other.is_silent = False
        await self.acting.fail_over(SHARD)
        self.assertIs(await self.admit(claim("r")), ErrorKind.NOT_OWNER)
        self.assertTrue(self.copies.is_usable(SHARD, 1))

    async def test_new_programs_wait_until_the_store_is_known_to_be_lost(self):
        """An owner that lives would count them from zero.

        It may reach the store, name another standby and never ask this one.
        """
        self.store.faults.delay_s = 0.3
        await self.acting.fail_over(SHARD)
        self.assertIsNone(await self.admit(claim("r1")))
        waits = await self.admit(claim("r2", "new"))
        self.assertIs(waits, ErrorKind.LEDGER_UNAVAILABLE)
        self.store.faults.down = True
        await asyncio.sleep(0.7)
        self.assertIsNone(await self.admit(claim("r2", "new")))

    async def test_what_was_given_meanwhile_is_counted_once_it_owns(self):
        self.store.faults.delay_s = 0.2
        await self.acting.fail_over(SHARD)
        for number in range(2):
            self.assertIsNone(await self.admit(claim(f"r{number}")))
        await asyncio.sleep(0.6)
        shard = self.owner.owned()[SHARD]
        self.assertFalse(shard.is_acting)
        account = shard.accounts.get("known")
        # 40 before, two turns here, and a half of 560 that the owner may
        # have given when it was alone.
        self.assertGreaterEqual(account.committed_tokens, 40 + 200 + 280)


class UnknownClaimTest(ActingCase):
    async def test_a_claim_that_turns_out_written_keeps_the_accounts(self):
        """Programs would count as half spent, or be told 402.

        The claim is done, its answer lost, and the store gone right after it.
        When the store is back it names this process as the owner.
        """
        self.store.is_lossy = True
        await self.acting.fail_over(SHARD)
        self.assertIsNone(await self.admit(claim("r")))
        await asyncio.sleep(0.05)
        await self.read_map()
        await self.keeper.reconcile()
        shard = self.owner.owned()[SHARD]
        self.assertFalse(shard.is_acting)
        account = shard.accounts.get("known")
        self.assertIn("r", account.reserved_by_request_id)
        self.assertTrue(account.counts_from_start)

    async def test_a_hand_over_of_unknown_outcome_keeps_the_accounts(self):
        """A program was told 402 after a fifth of its budget.

        A host stops and offers its shard. The claim is done and its answer
        lost; the host that stops admits nothing more. Here the offered
        accounts have to last until the store says whose the shard is.
        """
        self.store.is_lossy = True
        state = AccountState("known", BUDGET, 40, True, 900, 3, (), (), 100)
        version = self.map.get(SHARD).version
        reply = await self.keeper.accept(
            HandOver(SHARD, version, (state,), 0.0)
        )
        self.assertIs(reply.failure.kind, ErrorKind.WRITE_UNKNOWN)
        await self.read_map()
        await self.keeper.reconcile()
        account = self.owner.owned()[SHARD].accounts.get("known")
        self.assertEqual(account.spent_tokens, 40)

    async def test_a_claim_without_the_records_is_not_declined(self):
        """Two hosts would admit turns of the same programs.

        The claim of an offered shard is written, and the store gone before the
        records are read. Told that it was declined, the host that offered the
        shard would go on with it.
        """
        self.store.is_silent_for_lists = True
        state = AccountState("known", BUDGET, 40, True, 0, 0, (), (), 100)
        version = self.map.get(SHARD).version
        reply = await self.keeper.accept(
            HandOver(SHARD, version, (state,), 0.0)
        )
        self.assertIs(reply.failure.kind, ErrorKind.WRITE_UNKNOWN)
        self.store.is_silent_for_lists = False
        await self.read_map()
        await self.keeper.reconcile()
        account = self.owner.owned()[SHARD].accounts.get("known")
        self.assertEqual(account.spent_tokens, 40)

    async def test_a_claim_that_was_not_written_is_forgotten(self):
        self.store.faults.drop_writes = 1
        await self.acting.fail_over(SHARD)
        await asyncio.sleep(0.05)
        await self.keeper.reconcile()
        shard = self.owner.owned()[SHARD]
        self.assertFalse(shard.is_acting)
        self.assertEqual(shard.view.record.owner, "b")


if __name__ == "__main__":
    unittest.main()
