"""Tests of shards that are given away at a planned stop."""

import unittest

from returns.result import Failure as Failed
from returns.result import Success

from masticdale_common import ErrorKind, Failure, Metrics
from masticdale_gateway.calls import TurnClaim
from masticdale_ledger.accounts import Accounts
from masticdale_ledger.hosts import Hosts, Identity
from masticdale_ledger.keeper import ShardKeeper
from masticdale_ledger.leases import Lease
from masticdale_ledger.messages import HandOverReply
from masticdale_ledger.owner import OwnedShard, ShardOwner
from masticdale_ledger.records import ProgramRecords
from masticdale_ledger.shards import (
    Previous,
    ShardMap,
    ShardRecord,
    ShardView,
    shard_key,
)
from masticdale_platform import StoredObject
from masticdale_platform.testing import MemoryStore
from masticdale_rpc import unavailable

TIMED_OUT = Failed(unavailable("b", "timed out", sent=True))
NOT_CONNECTED = Failed(unavailable("b", "no connection", sent=False))
REFUSED = Success(HandOverReply(Failure(ErrorKind.STOPPING)))
TAKEN = Success(HandOverReply())


class Peer(Hosts):
    """One other host, with one answer to every call."""

    def __init__(self, answer):
        self.answer = answer

    def client(self, address, port):
        return self

    async def call(self, rpc, request, timeout_s):
        return self.answer


def record(owner, port):
    return ShardRecord(
        owner=owner,
        incarnation=owner,
        address="127.0.0.1",
        port=port,
        epoch=1,
        previous=Previous.NONE,
    )


class HandOverTest(unittest.IsolatedAsyncioTestCase):
    async def admitted_after(self, answer):
        """Gives shard 0 away; returns how a turn is judged here after it."""
        store = MemoryStore()
        lease = Lease()
        lease.confirm(lease.now())
        owner = ShardOwner(ProgramRecords(store, "a"), lease, Metrics())
        view = ShardView(record("a", 1), 1)
        owner.take(OwnedShard(0, view, Accounts(), 0.0, lease, None))
        shard_map = ShardMap()
        value = record("b", 2).model_dump_json().encode()
        shard_map.put(StoredObject(shard_key(1), 1, value))
        keeper = ShardKeeper(
            Identity("a", "a", "127.0.0.1", 1),
            store,
            shard_map,
            owner,
            lease,
            client=None,
            claims=None,
            acting=None,
            hosts=Peer(answer),
            is_store_lost=lambda: False,
        )
        await keeper.hand_over_all()
        return await owner.admit(0, TurnClaim("p", "r", 1000, 10))

    async def test_a_shard_of_unknown_outcome_admits_nothing_here(self):
        """A budget would be spent at two hosts at once.

        The other host took the shard over with its accounts, and its answer
        was lost. This one must not go on as if it had been refused.
        """
        for answer in (TIMED_OUT, TAKEN):
            outcome = await self.admitted_after(answer)
            self.assertIs(outcome.failure().kind, ErrorKind.NOT_OWNER)

    async def test_a_shard_that_was_surely_not_taken_is_served_on(self):
        for answer in (NOT_CONNECTED, REFUSED):
            outcome = await self.admitted_after(answer)
            self.assertIsInstance(outcome, Success)


if __name__ == "__main__":
    unittest.main()
