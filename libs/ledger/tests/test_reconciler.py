"""Tests of handing shards over at a planned stop."""

import asyncio
import time
import unittest

from returns.result import Failure as Failed
from returns.result import Success

from masticdale_common import ErrorKind, Failure, Metrics
from masticdale_gateway.calls import AdmissionClaim
from masticdale_ledger.accounts import Accounts
from masticdale_ledger.hosts import Hosts, Identity, LiveHosts
from masticdale_ledger.leases import Lease
from masticdale_ledger.messages import HandOverReply, HostAddress
from masticdale_ledger.owned_shard import OwnedShard
from masticdale_ledger.owner import ShardOwner
from masticdale_ledger.reconciler import ShardReconciler
from masticdale_ledger.records import ProgramRecords
from masticdale_ledger.shards import (
    PreviousOwnerState,
    ShardMap,
    ShardRecord,
    VersionedShardRecord,
    shard_key,
)
from masticdale_platform import StoredObject
from masticdale_platform.testing import MemoryStore
from masticdale_rpc import unavailable

TIMED_OUT = Failed(unavailable("b", "timed out", sent=True))
NOT_CONNECTED = Failed(unavailable("b", "no connection", sent=False))
REFUSED = Success(HandOverReply(Failure(ErrorKind.STOPPING)))
TAKEN = Success(HandOverReply())


OWN = HostAddress("127.0.0.1", 1, "a")


class Peer:
    """Another host that gives the same answer to every call."""

    def __init__(self, answer):
        self.answer = answer
        self.calls = 0

    async def call(self, rpc, request, timeout_s):
        self.calls += 1
        return self.answer


class Peers(Hosts):
    """The other hosts by port."""

    def __init__(self, *answers):
        self.peer_by_port = {
            port: Peer(answer) for port, answer in enumerate(answers, start=2)
        }

    def client(self, address, port):
        return self.peer_by_port[port]

    def candidates(self):
        return [("127.0.0.1", port) for port in self.peer_by_port]


def record(owner, port):
    return ShardRecord(
        owner=owner,
        incarnation=owner,
        address="127.0.0.1",
        port=port,
        epoch=1,
        previous=PreviousOwnerState.NONE,
    )


def create_live_hosts(*hosts):
    """Returns a record of hosts that have just sent a request."""
    live_hosts = LiveHosts(OWN)
    for host in hosts:
        live_hosts.record_request(host)
    return live_hosts


class HandOverTest(unittest.IsolatedAsyncioTestCase):
    async def hand_over(self, hosts, live_hosts, other_owner="b"):
        """Hands shard 0 over; returns the outcome of a later turn here."""
        store = MemoryStore()
        lease = Lease()
        lease.renew(lease.now())
        owner = ShardOwner(ProgramRecords(store, "a"), lease, Metrics())
        view = VersionedShardRecord(record("a", 1), 1)
        owner.take(OwnedShard(0, view, Accounts(), 0.0, lease, None))
        shard_map = ShardMap()
        value = record(other_owner, 2).model_dump_json().encode()
        shard_map.put(StoredObject(shard_key(1), 1, value))
        reconciler = ShardReconciler(
            Identity("a", "a", "127.0.0.1", 1),
            store,
            shard_map,
            owner,
            lease,
            client=None,
            claims=None,
            failover=None,
            hosts=hosts,
            is_store_unreachable=lambda: False,
            live_hosts=live_hosts,
        )
        await reconciler.hand_over_all()
        return await owner.admit(0, AdmissionClaim("p", "r", 1000, 10))

    async def test_after_an_unknown_outcome_no_turn_is_admitted(self):
        """Guards against a budget that is spent at two hosts at once.

        The other host may have taken the shard over before its answer was
        lost.
        """
        for answer in (TIMED_OUT, TAKEN):
            outcome = await self.hand_over(Peers(answer), create_live_hosts())
            self.assertIs(outcome.failure().kind, ErrorKind.NOT_OWNER)

    async def test_a_shard_that_was_certainly_not_taken_is_still_served(self):
        for answer in (NOT_CONNECTED, REFUSED):
            outcome = await self.hand_over(Peers(answer), create_live_hosts())
            self.assertIsInstance(outcome, Success)

    async def test_the_last_owner_offers_its_shards_to_hosts_without_shards(
        self,
    ):
        """Guards against 402 for programs after a rolling restart.

        The host that stops last owns all shards. If only owners were offered
        them, all accounts would be lost.
        """
        hosts = Peers(TAKEN)
        live_hosts = create_live_hosts(HostAddress("127.0.0.1", 2, "b"))
        outcome = await self.hand_over(hosts, live_hosts, other_owner="a")
        self.assertEqual(hosts.peer_by_port[2].calls, 1)
        self.assertIs(outcome.failure().kind, ErrorKind.NOT_OWNER)

    async def test_a_shard_refused_by_a_stopping_host_is_offered_again(self):
        """Guards against shards that two stopping hosts both keep."""
        hosts = Peers(REFUSED, TAKEN)
        live_hosts = create_live_hosts(HostAddress("127.0.0.1", 3, "b"))
        outcome = await self.hand_over(hosts, live_hosts)
        self.assertEqual(hosts.peer_by_port[3].calls, 1)
        self.assertIs(outcome.failure().kind, ErrorKind.NOT_OWNER)

    async def test_an_unknown_outcome_ends_the_offers(self):
        hosts = Peers(TIMED_OUT, TIMED_OUT)
        live_hosts = create_live_hosts(HostAddress("127.0.0.1", 3, "b"))
        await self.hand_over(hosts, live_hosts)
        calls = [peer.calls for peer in hosts.peer_by_port.values()]
        self.assertEqual(sum(calls), 1)


class LiveHostsTest(unittest.TestCase):
    def test_a_host_is_never_its_own_candidate(self):
        self.assertEqual(create_live_hosts(OWN).live(), [])

    def test_a_stopping_host_is_no_candidate(self):
        other = HostAddress("127.0.0.1", 2, "b")
        live_hosts = create_live_hosts(other)
        live_hosts.remove(other)
        self.assertEqual(live_hosts.live(), [])


class Claims:
    """Claims that take as long as a write to the store."""

    def __init__(self, shard_map, owner, lease):
        self.taken = []
        self._map = shard_map
        self._owner = owner
        self._lease = lease

    @property
    def peer_selector(self):
        return self

    def choose_standby(self):
        return None

    async def resolve_unconfirmed(self):
        pass

    async def refresh(self, shard):
        return True

    async def claim(self, shard, version, takeover):
        await asyncio.sleep(0.01)
        view = VersionedShardRecord(record("a", 1), 1)
        value = view.record.model_dump_json().encode()
        self._map.put(StoredObject(shard_key(shard), 1, value))
        self._owner.take(
            OwnedShard(shard, view, Accounts(), 0.0, self._lease, None)
        )
        self.taken.append(shard)
        return Success(None)


class SpreadTest(unittest.IsolatedAsyncioTestCase):
    async def test_the_first_host_leaves_shards_to_the_others(self):
        """Guards against one host whose loss stops half of the programs.

        All shards are vacant when the first host starts; others start within
        some tenths of a second and claim a shard within one.
        """
        lease = Lease()
        owner = ShardOwner(ProgramRecords(MemoryStore(), "a"), lease, Metrics())
        shard_map = ShardMap()
        claims = Claims(shard_map, owner, lease)
        shard_map.is_loaded = True
        reconciler = ShardReconciler(
            Identity("a", "a", "127.0.0.1", 1),
            MemoryStore(),
            shard_map,
            owner,
            lease,
            client=None,
            claims=claims,
            failover=None,
            hosts=Peers(),
            is_store_unreachable=lambda: False,
            live_hosts=create_live_hosts(),
        )
        began = time.monotonic()
        while time.monotonic() - began < 1.0:
            await reconciler.reconcile()
            await asyncio.sleep(0.02)
        self.assertLessEqual(len(claims.taken), 1)


if __name__ == "__main__":
    unittest.main()
