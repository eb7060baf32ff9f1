"""Tests of budgets while an owner and its standby are partitioned."""

import asyncio
import unittest
from unittest import mock

import hypothesis
from hypothesis import strategies as st
from returns.result import Failure as Failed
from returns.result import Success

from masticdale_common import ErrorKind, Failure, Metrics
from masticdale_gateway.calls import AdmissionClaim
from masticdale_ledger.account_codec import account_from_state
from masticdale_ledger.accounts import Accounts, Bound
from masticdale_ledger.copier import Copier
from masticdale_ledger.isolation import (
    Isolation,
    charge_owner_quota,
    isolation_quotas,
)
from masticdale_ledger.leases import Lease
from masticdale_ledger.messages import SealRequest
from masticdale_ledger.owned_shard import OwnedShard
from masticdale_ledger.owner import ShardOwner
from masticdale_ledger.records import ProgramRecords, record_name
from masticdale_ledger.shards import (
    PreviousOwnerState,
    ShardRecord,
    VersionedShardRecord,
)
from masticdale_ledger.standby import StandbyCopies
from masticdale_platform.testing import MemoryStore

SHARD = 1
PROGRAM = "p"


class Link:
    """The link from an owner to its standby.

    Attributes:
        is_cut: Whether copies are lost.
        loses_answers: Whether copies arrive and their answers are lost.
    """

    def __init__(self):
        self.copies = StandbyCopies()
        self.is_cut = False
        self.loses_answers = False

    async def call(self, rpc, request, timeout_s):
        lost = Failed(Failure(ErrorKind.PEER_UNAVAILABLE, "cut"))
        if self.is_cut:
            return lost
        reply = self.copies.put(request)
        return lost if self.loses_answers else Success(reply)


class World:
    """One program, the hosts that may admit its turns, and its tokens.

    Attributes:
        used: Tokens of each admitted turn, by request ID.
        open_turns: Turns in progress: request ID and admitting host.
        replaced_owners: Owners that do not know yet that they were replaced.
    """

    def __init__(self, budget, max_turn_tokens):
        self.budget = budget
        self.max_turn_tokens = max_turn_tokens
        self.store = MemoryStore()
        self.lease = Lease()
        self.epoch = 0
        self.start_count = 0
        self.used = {}
        self.open_turns = []
        self.owner = None
        self.acting_owner = None
        self.replaced_owners = []
        self.request_count = 0
        self.start_owner(Accounts(), 0.0)

    def create_host(self, accounts, incomplete_s, copier):
        """Returns a host that owns the shard, and the shard."""
        self.start_count += 1
        incarnation = f"w{self.start_count}"
        records = ProgramRecords(self.store, incarnation)
        owner = ShardOwner(records, self.lease, Metrics())
        record = ShardRecord(
            owner=incarnation,
            incarnation=incarnation,
            address="127.0.0.1",
            port=1,
            epoch=self.epoch,
            previous=PreviousOwnerState.NONE,
        )
        shard = OwnedShard(
            SHARD,
            VersionedShardRecord(record, self.epoch),
            accounts,
            incomplete_s,
            self.lease,
            copier,
        )
        owner.take(shard)
        return owner, shard

    def start_owner(self, accounts, incomplete_s):
        """Starts a new owner with a new standby."""
        self.epoch += 1
        self.link = Link()
        self.lease.renew(self.lease.now())
        self.owner = self.create_host(accounts, incomplete_s, Copier(self.link))

    async def admit(self, host):
        if host is None:
            return
        self.lease.renew(self.lease.now())
        self.request_count += 1
        request_id = str(self.request_count)
        claim = AdmissionClaim(
            PROGRAM, request_id, self.budget, self.max_turn_tokens
        )
        owner, _ = host
        if isinstance(await owner.admit(SHARD, claim), Success):
            self.used[request_id] = self.max_turn_tokens
            self.open_turns.append((request_id, host))

    def settle(self, amount):
        """Ends the oldest turn; settles it at its host and at the owner."""
        if not self.open_turns:
            return
        request_id, (_, shard) = self.open_turns.pop(0)
        self.used[request_id] = min(amount, self.max_turn_tokens)
        for target in (shard, self.owner[1]):
            target.accounts.settle(PROGRAM, request_id, self.used[request_id])
            if target.copier is not None:
                target.copier.mark_changed(PROGRAM)

    def partition(self):
        """Partitions owner and standby from each other and from the store."""
        shard = self.owner[1]
        self.link.is_cut = True
        self.store.faults.down = True
        if shard.isolation is None:
            quotas = isolation_quotas(shard.accounts.all(), is_standby=False)
            shard.isolation = Isolation(quotas, admits_unknown=False)

    def fail_over(self):
        """Makes the standby the acting owner."""
        if not self.store.faults.down or self.acting_owner is not None:
            return
        if not self.link.copies.is_usable(SHARD, self.epoch):
            return
        copy = self.link.copies.seal(SealRequest(SHARD, self.epoch))
        accounts = Accounts()
        accounts.restore([account_from_state(state) for state in copy.accounts])
        self.acting_owner = self.create_host(
            accounts, copy.incomplete_for_s, None
        )
        quotas = isolation_quotas(accounts.all(), is_standby=True)
        self.acting_owner[1].isolation = Isolation(quotas, admits_unknown=True)

    async def take_over(self):
        """Restores the store; a new owner takes the shard over."""
        self.store.faults.down = False
        old = self.owner
        if self.acting_owner is not None:
            states = self.acting_owner[1].states_with_peer_spending()
            incomplete_s = self.acting_owner[1].incomplete_for_s
        elif old[1].isolation is not None and self.link.is_cut:
            reply = self.link.copies.seal(SealRequest(SHARD, self.epoch))
            if not reply.held:
                return
            states = tuple(
                charge_owner_quota(state) for state in reply.accounts
            )
            incomplete_s = reply.incomplete_for_s
        else:
            return
        # The old owner does not know yet that it has been replaced.
        self.replaced_owners.append(old)
        self.acting_owner = None
        accounts = Accounts(await self.read_bounds())
        accounts.restore([account_from_state(state) for state in states])
        self.start_owner(accounts, incomplete_s)

    async def lose_all_hosts(self):
        """Kills every process; a new owner has only the store's records."""
        self.store.faults.down = False
        self.replaced_owners.clear()
        self.open_turns.clear()
        self.acting_owner = None
        self.start_owner(Accounts(await self.read_bounds()), 1000.0)

    async def read_bounds(self):
        written = await ProgramRecords(self.store, "reader").read(PROGRAM)
        found = written.unwrap()
        bound = found.bound if found else None
        return {record_name(PROGRAM): bound} if bound else {}

    async def step(self, kind, amount):
        match kind:
            case "owner":
                await self.admit(self.owner)
            case "standby":
                await self.admit(self.acting_owner)
            case "replaced":
                await self.admit(
                    self.replaced_owners[-1] if self.replaced_owners else None
                )
            case "settle":
                self.settle(amount)
            case "copy":
                await self.owner[0].replicate_changes()
            case "lose answers":
                self.link.loses_answers = not self.link.loses_answers
            case "partition":
                self.partition()
            case "failover":
                self.fail_over()
            case "takeover":
                await self.take_over()
            case "lose hosts":
                await self.lose_all_hosts()


KINDS = (
    "owner",
    "owner",
    "standby",
    "standby",
    "replaced",
    "settle",
    "settle",
    "copy",
    "lose answers",
    "partition",
    "failover",
    "takeover",
    "lose hosts",
)


# Turns end only by a step, so an admission must not wait for one to end.
@mock.patch("masticdale_ledger.owner._RESERVATION_WAIT_S", 0.0)
class IsolationTest(unittest.TestCase):
    @hypothesis.settings(derandomize=True, deadline=None, max_examples=400)
    @hypothesis.given(
        turns=st.integers(1, 8),
        steps=st.lists(
            st.tuples(st.sampled_from(KINDS), st.integers(0, 100)),
            max_size=60,
        ),
    )
    def test_partitioned_hosts_exceed_the_budget_by_at_most_one_turn(
        self, turns, steps
    ):
        """Guards against a program that spends part of its budget twice.

        Partitions, failovers, takeovers and losses of all hosts occur in any
        order, with lost answers and turns that end at any time.
        """
        max_turn_tokens = 100
        budget = int(1.5 * turns * max_turn_tokens)

        async def play():
            world = World(budget, max_turn_tokens)
            for kind, amount in steps:
                await world.step(kind, amount)
                self.assertLessEqual(
                    sum(world.used.values()), budget + max_turn_tokens
                )

        asyncio.run(play())

    def test_isolated_owner_and_acting_standby_then_all_hosts_are_lost(self):
        """Guards against a program that spends half of its budget twice.

        After the loss of all hosts a program without a record counts as half
        spent, so both sides together must not admit more than that.
        """

        async def play():
            world = World(1200, 100)
            await world.step("owner", 0)
            await world.step("settle", 20)
            await world.step("copy", 0)
            await world.step("partition", 0)
            await world.step("failover", 0)
            for _ in range(20):
                await world.step("owner", 0)
                await world.step("standby", 0)
            self.assertLessEqual(sum(world.used.values()), 600)
            # Both sides have admitted turns.
            self.assertGreaterEqual(sum(world.used.values()), 400)
            await world.step("lose hosts", 0)
            for _ in range(20):
                await world.step("owner", 0)
            self.assertLessEqual(sum(world.used.values()), 1300)

        asyncio.run(play())

    def test_an_isolated_owner_that_restarts_has_spent_its_quota(self):
        """Guards against turns of an isolated owner that are not counted.

        After its restart the owner gets the copy of its standby, which lacks
        the turns that it admitted while isolated.
        """

        async def play():
            world = World(1200, 100)
            await world.step("owner", 0)
            await world.step("partition", 0)
            for _ in range(10):
                await world.step("owner", 0)
            granted = sum(world.used.values())
            await world.step("takeover", 0)
            account = world.owner[1].accounts.get(PROGRAM)
            self.assertGreaterEqual(account.committed_tokens, granted)

        asyncio.run(play())

    def test_programs_with_a_record_wait_and_are_charged_nothing(self):
        """Guards against 402 for programs near their record's bound.

        A quota of the lost owner would count as spent.
        """
        accounts = Accounts()
        claim = AdmissionClaim(PROGRAM, "r", 1000, 100)
        account = accounts.get_or_create(claim, "record", True, 0.0)
        account.spent_tokens = 600
        account.bound = Bound(900, 1)
        for is_standby in (False, True):
            quota = isolation_quotas([account], is_standby=is_standby)[PROGRAM]
            self.assertEqual(quota.limit_tokens, 600)
            self.assertEqual(quota.peer_tokens, 0)

    def test_where_half_covers_no_turn_the_standby_may_admit_one(self):
        """Guards against programs with room for one turn that have to wait."""
        accounts = Accounts()
        claim = AdmissionClaim(PROGRAM, "r", 400, 100)
        account = accounts.get_or_create(claim, "record", True, 0.0)
        account.spent_tokens = 80
        standby = isolation_quotas([account], is_standby=True)[PROGRAM]
        owner = isolation_quotas([account], is_standby=False)[PROGRAM]
        self.assertEqual(standby.limit_tokens, 180)
        self.assertEqual(standby.peer_tokens, 20)
        self.assertEqual(owner.limit_tokens, 100)
        self.assertEqual(owner.peer_tokens, 100)


if __name__ == "__main__":
    unittest.main()
