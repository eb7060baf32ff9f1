"""Tests of the failover from a lost owner to its standby."""

import asyncio
import types
import unittest

from returns.result import Failure as Failed
from returns.result import Success

from masticdale_common import ErrorKind, Failure, Metrics
from masticdale_gateway.calls import AdmissionClaim
from masticdale_ledger.claims import ShardClaims
from masticdale_ledger.failover import StandbyFailover
from masticdale_ledger.hosts import Hosts, Identity, LiveHosts
from masticdale_ledger.leases import Lease
from masticdale_ledger.messages import (
    DECIDE,
    AccountState,
    CopyRequest,
    DecideReply,
    HandOver,
    SettleReply,
)
from masticdale_ledger.owner import ShardOwner
from masticdale_ledger.reconciler import ShardReconciler
from masticdale_ledger.records import ProgramRecords
from masticdale_ledger.shards import (
    PreviousOwnerState,
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
    previous=PreviousOwnerState.NONE,
    standby_address="127.0.0.1",
    standby_port=2,
)


def claim(request_id, program="known"):
    return AdmissionClaim(program, request_id, BUDGET, 100)


class Owner(Hosts):
    """The owner's host: answers, or lets calls time out.

    As the arbiter it decides for a side, if that is set.
    """

    def __init__(self):
        self.is_unresponsive = True
        self.decides_for = ""

    def client(self, address, port):
        return self

    def candidates(self):
        return []

    async def call(self, rpc, request, timeout_s):
        if rpc is DECIDE:
            return Success(DecideReply(self.decides_for))
        if not self.is_unresponsive:
            return Success(SettleReply())
        await asyncio.sleep(timeout_s)
        return Failed(unavailable("a", "timed out", sent=True))


class LossyStore(MemoryStore):
    """A store that applies a write and fails before it answers."""

    def __init__(self):
        super().__init__()
        self.loses_write_answers = False
        self.fails_lists = False

    async def list(self, prefix):
        if self.fails_lists:
            return Failed(Failure(ErrorKind.PLATFORM_UNAVAILABLE, "no answer"))
        return await super().list(prefix)

    async def write(self, key, value, expected_version):
        outcome = await super().write(key, value, expected_version)
        if not self.loses_write_answers:
            return outcome
        self.faults.down = True
        return Failed(Failure(ErrorKind.WRITE_UNKNOWN, "no answer"))


class FailoverCase(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.store = LossyStore()
        self.map = ShardMap()
        self.lease = Lease()
        self.copies = StandbyCopies()
        self.other = Owner()
        records = ProgramRecords(self.store, STANDBY.incarnation)
        self.owner = ShardOwner(records, self.lease, Metrics())
        live_hosts = LiveHosts(STANDBY.host_address)
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
            live_hosts,
        )
        self.failover = StandbyFailover(
            STANDBY,
            self.map,
            self.owner,
            self.lease,
            self.copies,
            claims,
            self.other,
        )
        self.reconciler = ShardReconciler(
            STANDBY,
            self.store,
            self.map,
            self.owner,
            self.lease,
            client,
            claims,
            self.failover,
            self.other,
            lambda: self.store.faults.down,
            live_hosts,
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
        """Restores the store and reads the shard's record into the map."""
        self.store.loses_write_answers = False
        self.store.faults.down = False
        self.store.faults.delay_s = 0.0
        found = await self.store.read(shard_key(SHARD))
        self.map.put(found.unwrap())


class FailoverTest(FailoverCase):
    async def test_a_standby_takes_over_after_one_ping_of_its_lost_owner(self):
        """Guards against turns that wait for other hosts to claim the shard.

        The standby holds the accounts and takes over after a single ping.
        """
        loop = asyncio.get_running_loop()
        began = loop.time()
        await self.failover.fail_over(SHARD)
        self.assertIsNone(await self.admit(claim("r")))
        self.assertLess(loop.time() - began, 0.4)
        await asyncio.sleep(0.05)
        found = await self.store.read(shard_key(SHARD))
        self.assertIn(b'"owner":"b"', found.unwrap().value)
        account = self.owner.owned()[SHARD].accounts.get("known")
        self.assertIn("r", account.reserved_by_request_id)

    async def test_an_owner_that_answers_is_not_replaced(self):
        self.other.is_unresponsive = False
        await self.failover.fail_over(SHARD)
        self.assertIs(await self.admit(claim("r")), ErrorKind.NOT_OWNER)
        self.assertTrue(self.copies.is_usable(SHARD, 1))

    async def test_new_programs_wait_until_the_store_is_found_unreachable(self):
        """Guards against a live owner that counts these programs from zero.

        It may reach the store and name another standby without sealing this
        one.
        """
        self.store.faults.delay_s = 0.3
        await self.failover.fail_over(SHARD)
        self.assertIsNone(await self.admit(claim("r1")))
        waits = await self.admit(claim("r2", "new"))
        self.assertIs(waits, ErrorKind.LEDGER_UNAVAILABLE)
        self.store.faults.down = True
        await asyncio.sleep(0.7)
        self.assertIsNone(await self.admit(claim("r2", "new")))

    async def test_turns_admitted_as_acting_owner_count_after_the_claim(self):
        self.store.faults.delay_s = 0.2
        await self.failover.fail_over(SHARD)
        for number in range(2):
            self.assertIsNone(await self.admit(claim(f"r{number}")))
        await asyncio.sleep(0.6)
        shard = self.owner.owned()[SHARD]
        self.assertFalse(shard.is_acting)
        account = shard.accounts.get("known")
        # 40 before, two turns here, and the half of 560 that the owner may
        # have admitted while isolated.
        self.assertGreaterEqual(account.committed_tokens, 40 + 200 + 280)


class ArbitratedFailoverTest(FailoverCase):
    async def asyncSetUp(self):
        await super().asyncSetUp()
        record = OWNER.model_copy(
            update={
                "epoch": 2,
                "arbiter_address": "127.0.0.1",
                "arbiter_port": 3,
            }
        )
        value = record.model_dump_json().encode()
        version = self.map.get(SHARD).version
        written = await self.store.write(shard_key(SHARD), value, version)
        self.map.put(StoredObject(shard_key(SHARD), written.unwrap(), value))
        known = AccountState("known", BUDGET, 40, True, 0, 0, (), (), 100)
        self.copies.put(CopyRequest(SHARD, 2, True, (known,), 0.0))

    async def test_new_programs_are_admitted_at_once_if_the_arbiter_agrees(
        self,
    ):
        """Guards against new programs that wait for a silent store.

        The store does not refuse the claim but leaves it unanswered, so that
        the standby finds it unreachable only seconds later.
        """
        self.store.faults.delay_s = 2.0
        self.other.decides_for = "standby"
        await self.failover.fail_over(SHARD)
        self.assertIsNone(await self.admit(claim("r", "new")))

    async def test_without_a_decision_new_programs_wait(self):
        """Guards against a live owner that counts these programs from zero."""
        self.store.faults.delay_s = 2.0
        for side in ("owner", ""):
            self.other.decides_for = side
            await self.failover.fail_over(SHARD)
            waits = await self.admit(claim("r", "new"))
            self.assertIs(waits, ErrorKind.LEDGER_UNAVAILABLE)

    async def test_new_programs_count_after_the_claim(self):
        """Guards against budgets that begin again with the claimed shard."""
        self.store.faults.delay_s = 0.1
        self.other.decides_for = "standby"
        await self.failover.fail_over(SHARD)
        self.assertIsNone(await self.admit(claim("r", "new")))
        await asyncio.sleep(0.5)
        shard = self.owner.owned()[SHARD]
        self.assertFalse(shard.is_acting)
        account = shard.accounts.get("new")
        self.assertIn("r", account.reserved_by_request_id)


class UnknownClaimTest(FailoverCase):
    async def test_a_claim_whose_answer_was_lost_keeps_the_accounts(self):
        """Guards against 402 for programs that count as half spent.

        The claim is written, but its answer is lost and the store fails. When
        the store is back, its record names this process as the owner.
        """
        self.store.loses_write_answers = True
        await self.failover.fail_over(SHARD)
        self.assertIsNone(await self.admit(claim("r")))
        await asyncio.sleep(0.05)
        await self.read_map()
        await self.reconciler.reconcile()
        shard = self.owner.owned()[SHARD]
        self.assertFalse(shard.is_acting)
        account = shard.accounts.get("known")
        self.assertIn("r", account.reserved_by_request_id)
        self.assertTrue(account.counts_from_start)

    async def test_a_handover_of_unknown_outcome_keeps_the_accounts(self):
        """Guards against 402 for programs with most of their budget left.

        A stopping host offers its shard, and the answer to the claim is lost.
        The offered accounts must be kept until the store shows whether the
        claim was written.
        """
        self.store.loses_write_answers = True
        state = AccountState("known", BUDGET, 40, True, 900, 3, (), (), 100)
        version = self.map.get(SHARD).version
        reply = await self.reconciler.accept(
            HandOver(SHARD, version, (state,), 0.0)
        )
        self.assertIs(reply.failure.kind, ErrorKind.WRITE_UNKNOWN)
        await self.read_map()
        await self.reconciler.reconcile()
        account = self.owner.owned()[SHARD].accounts.get("known")
        self.assertEqual(account.spent_tokens, 40)

    async def test_a_claim_without_the_records_is_not_declined(self):
        """Guards against two owners that admit turns of the same programs.

        The claim of an offered shard is written, but the store fails before the
        records are read. If the offer were declined, the offering host would
        go on as the owner.
        """
        self.store.fails_lists = True
        state = AccountState("known", BUDGET, 40, True, 0, 0, (), (), 100)
        version = self.map.get(SHARD).version
        reply = await self.reconciler.accept(
            HandOver(SHARD, version, (state,), 0.0)
        )
        self.assertIs(reply.failure.kind, ErrorKind.WRITE_UNKNOWN)
        self.store.fails_lists = False
        await self.read_map()
        await self.reconciler.reconcile()
        account = self.owner.owned()[SHARD].accounts.get("known")
        self.assertEqual(account.spent_tokens, 40)

    async def test_a_claim_that_was_not_written_is_retried(self):
        self.store.faults.drop_writes = 1
        await self.failover.fail_over(SHARD)
        await asyncio.sleep(0.05)
        await self.reconciler.reconcile()
        shard = self.owner.owned()[SHARD]
        self.assertFalse(shard.is_acting)
        self.assertEqual(shard.view.record.owner, "b")


if __name__ == "__main__":
    unittest.main()
