"""Tests of budgets while an owner and its standby can't reach each other."""

import asyncio
import unittest
from unittest import mock

import hypothesis
from hypothesis import strategies as st
from returns.result import Failure as Failed
from returns.result import Success

from masticdale_common import ErrorKind, Failure, Metrics
from masticdale_gateway.calls import TurnClaim
from masticdale_ledger.accounts import Accounts, Bound
from masticdale_ledger.copier import Copier
from masticdale_ledger.isolation import (
    Isolation,
    charge_owner_quota,
    isolation_quotas,
)
from masticdale_ledger.leases import Lease
from masticdale_ledger.messages import SealRequest
from masticdale_ledger.owner import OwnedShard, ShardOwner
from masticdale_ledger.records import ProgramRecords, record_name
from masticdale_ledger.shards import PreviousOwner, ShardRecord, ShardView
from masticdale_ledger.standby import StandbyCopies
from masticdale_ledger.states import account_from_state
from masticdale_platform.testing import MemoryStore

SHARD = 1
PROGRAM = "p"


class Link:
    """The way from an owner to its standby.

    Attributes:
        is_cut: Copies don't arrive.
        loses_answers: They arrive, and the answers don't.
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
    """One program, the hosts that may admit its turns, and its tokens."""

    def __init__(self, budget, most):
        self.budget = budget
        self.most = most
        self.store = MemoryStore()
        self.lease = Lease()
        self.epoch = 0
        self.writers = 0
        self.used = {}
        self.open = []
        self.owner = None
        self.acting = None
        self.ghosts = []
        self.asked = 0
        self.own(Accounts(), 0.0)

    def host(self, accounts, incomplete_s, copier):
        """Returns a host that owns the shard, and the shard."""
        self.writers += 1
        writer = f"w{self.writers}"
        records = ProgramRecords(self.store, writer)
        owner = ShardOwner(records, self.lease, Metrics())
        record = ShardRecord(
            owner=writer,
            incarnation=writer,
            address="127.0.0.1",
            port=1,
            epoch=self.epoch,
            previous=PreviousOwner.NONE,
        )
        shard = OwnedShard(
            SHARD,
            ShardView(record, self.epoch),
            accounts,
            incomplete_s,
            self.lease,
            copier,
        )
        owner.take(shard)
        return owner, shard

    def own(self, accounts, incomplete_s):
        """A new owner with a new standby."""
        self.epoch += 1
        self.link = Link()
        self.lease.renew(self.lease.now())
        self.owner = self.host(accounts, incomplete_s, Copier(self.link))

    async def admit(self, host):
        if host is None:
            return
        self.lease.renew(self.lease.now())
        self.asked += 1
        request_id = str(self.asked)
        claim = TurnClaim(PROGRAM, request_id, self.budget, self.most)
        owner, _ = host
        if isinstance(await owner.admit(SHARD, claim), Success):
            self.used[request_id] = self.most
            self.open.append((request_id, host))

    def settle(self, amount):
        """The oldest turn ends; its settlement reaches one host."""
        if not self.open:
            return
        request_id, (_, shard) = self.open.pop(0)
        self.used[request_id] = min(amount, self.most)
        for target in (shard, self.owner[1]):
            target.accounts.settle(PROGRAM, request_id, self.used[request_id])
            if target.copier is not None:
                target.copier.mark_changed(PROGRAM)

    def part(self):
        """Owner and standby lose each other and the store."""
        shard = self.owner[1]
        self.link.is_cut = True
        self.store.faults.down = True
        if shard.isolation is None:
            shares = isolation_quotas(shard.accounts.all(), is_standby=False)
            shard.isolation = Isolation(shares, admits_unknown=False)

    def act(self):
        """The standby goes on in place of the owner."""
        if not self.store.faults.down or self.acting is not None:
            return
        if not self.link.copies.is_usable(SHARD, self.epoch):
            return
        copy = self.link.copies.seal(SealRequest(SHARD, self.epoch))
        accounts = Accounts()
        accounts.restore([account_from_state(state) for state in copy.accounts])
        self.acting = self.host(accounts, copy.incomplete_for_s, None)
        shares = isolation_quotas(accounts.all(), is_standby=True)
        self.acting[1].isolation = Isolation(shares, admits_unknown=True)

    async def meet(self):
        """The store is back; somebody owns the shard by a new record."""
        self.store.faults.down = False
        old = self.owner
        if self.acting is not None:
            states = self.acting[1].states_with_peer_spending()
            incomplete_s = self.acting[1].incomplete_for_s
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
        # The old owner may not know yet that it has been replaced.
        self.ghosts.append(old)
        self.acting = None
        accounts = Accounts(await self.bounds())
        accounts.restore([account_from_state(state) for state in states])
        self.own(accounts, incomplete_s)

    async def lose_all(self):
        """Every process is killed; only the store remains."""
        self.store.faults.down = False
        self.ghosts.clear()
        self.open.clear()
        self.acting = None
        self.own(Accounts(await self.bounds()), 1000.0)

    async def bounds(self):
        written = await ProgramRecords(self.store, "reader").read(PROGRAM)
        found = written.unwrap()
        bound = found.bound if found else None
        return {record_name(PROGRAM): bound} if bound else {}

    async def step(self, kind, amount):
        match kind:
            case "owner":
                await self.admit(self.owner)
            case "standby":
                await self.admit(self.acting)
            case "ghost":
                await self.admit(self.ghosts[-1] if self.ghosts else None)
            case "settle":
                self.settle(amount)
            case "copy":
                await self.owner[0].replicate_changes()
            case "answers":
                self.link.loses_answers = not self.link.loses_answers
            case "part":
                self.part()
            case "act":
                self.act()
            case "meet":
                await self.meet()
            case "lose":
                await self.lose_all()


KINDS = (
    "owner",
    "owner",
    "standby",
    "standby",
    "ghost",
    "settle",
    "settle",
    "copy",
    "answers",
    "part",
    "act",
    "meet",
    "lose",
)


# No turn ends by itself here, so that waiting for one decides nothing.
@mock.patch("masticdale_ledger.owner._RESERVATION_WAIT_S", 0.0)
class ApartTest(unittest.TestCase):
    @hypothesis.settings(derandomize=True, deadline=None, max_examples=400)
    @hypothesis.given(
        turns=st.integers(1, 8),
        steps=st.lists(
            st.tuples(st.sampled_from(KINDS), st.integers(0, 100)),
            max_size=60,
        ),
    )
    def test_apart_they_hand_out_no_more_than_the_budget_and_one_turn(
        self, turns, steps
    ):
        """A program that loops would get a part of its budget twice.

        Owner and standby lose each other and the store, both go on alone, one
        of them or a third takes over, all are killed: in any order and more
        than once, with copies whose answers are lost and turns that end at
        any time.
        """
        most = 100
        budget = int(1.5 * turns * most)

        async def play():
            world = World(budget, most)
            for kind, amount in steps:
                await world.step(kind, amount)
                self.assertLessEqual(sum(world.used.values()), budget + most)

        asyncio.run(play())

    def test_alone_and_acting_then_all_are_killed(self):
        """A program that loops got half of its budget a second time.

        The store is away and the owner can't reach its standby. Both go on
        with the program. Then all hosts are killed: the program has no record
        and counts as half spent, so that they may have given no more.
        """

        async def play():
            world = World(1200, 100)
            await world.step("owner", 0)
            await world.step("settle", 20)
            await world.step("copy", 0)
            await world.step("part", 0)
            await world.step("act", 0)
            for _ in range(20):
                await world.step("owner", 0)
                await world.step("standby", 0)
            self.assertLessEqual(sum(world.used.values()), 600)
            # The shares are worth something: both have gone on.
            self.assertGreaterEqual(sum(world.used.values()), 400)
            await world.step("lose", 0)
            for _ in range(20):
                await world.step("owner", 0)
            self.assertLessEqual(sum(world.used.values()), 1300)

        asyncio.run(play())

    def test_an_owner_alone_that_is_killed_and_back_has_spent_its_share(self):
        """Its standby was only cut off, and its copy is older.

        The owner went on alone, was killed, and takes its shard again with the
        standby's copy, which lacks what it gave when it was alone.
        """

        async def play():
            world = World(1200, 100)
            await world.step("owner", 0)
            await world.step("part", 0)
            for _ in range(10):
                await world.step("owner", 0)
            given = sum(world.used.values())
            await world.step("meet", 0)
            account = world.owner[1].accounts.get(PROGRAM)
            self.assertGreaterEqual(account.committed_tokens, given)

        asyncio.run(play())

    def test_programs_with_a_record_wait_and_lose_nothing(self):
        """A program near its record would be told 402 after one kill.

        The part that its lost owner might have given would count as spent.
        """
        accounts = Accounts()
        claim = TurnClaim(PROGRAM, "r", 1000, 100)
        account = accounts.get_or_create(claim, "record", True, 0.0)
        account.spent_tokens = 600
        account.bound = Bound(900, 1)
        for acting in (False, True):
            share = isolation_quotas([account], is_standby=acting)[PROGRAM]
            self.assertEqual(share.limit_tokens, 600)
            self.assertEqual(share.peer_tokens, 0)

    def test_where_half_holds_no_turn_the_standby_may_give_one(self):
        """Programs of few turns would wait for the end of an outage."""
        accounts = Accounts()
        claim = TurnClaim(PROGRAM, "r", 400, 100)
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
