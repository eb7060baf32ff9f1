"""Tests of the choice of standbys and arbiters."""

import unittest

from masticdale_ledger.hosts import Hosts, Identity, LiveHosts
from masticdale_ledger.leases import Lease
from masticdale_ledger.messages import HostAddress
from masticdale_ledger.peer_selector import PeerSelector
from masticdale_ledger.shards import (
    PreviousOwnerState,
    ShardMap,
    ShardRecord,
    shard_key,
)
from masticdale_platform import StoredObject

OWN = Identity("own", "own-1", "127.0.0.1", 1, "a")


class Candidates(Hosts):
    """Hosts of which nothing is known but their address."""

    def __init__(self, *ports):
        self._ports = ports

    def candidates(self):
        return [("127.0.0.1", port) for port in self._ports]


def record(port, standby_port, arbiter_port):
    return ShardRecord(
        owner=f"host-{port}",
        incarnation="1",
        address="127.0.0.1",
        port=port,
        epoch=1,
        previous=PreviousOwnerState.NONE,
        standby_address="127.0.0.1",
        standby_port=standby_port,
        arbiter_address="127.0.0.1",
        arbiter_port=arbiter_port,
    )


class RolesTest(unittest.TestCase):
    """Guards against a lost host that takes several shards' holders away."""

    def setUp(self):
        self.shard_map = ShardMap()
        self.live_hosts = LiveHosts(OWN.host_address)
        self.selector = PeerSelector(
            OWN, self.shard_map, Lease(), Candidates(), self.live_hosts
        )

    def add_hosts(self, domain_by_port):
        for port, domain in domain_by_port.items():
            host = HostAddress("127.0.0.1", port, domain)
            self.live_hosts.record_request(host)

    def put(self, shard, shard_record):
        value = shard_record.model_dump_json().encode()
        self.shard_map.put(StoredObject(shard_key(shard), 1, value))

    def test_a_host_without_a_role_is_chosen(self):
        self.add_hosts(dict.fromkeys(range(2, 10), "b"))
        self.put(0, record(2, 3, 4))
        self.put(1, record(5, 6, 7))
        for _ in range(30):
            standby = self.selector.choose_standby()
            self.assertIn(standby[1], (8, 9))
            arbiter = self.selector.choose_arbiter(standby)
            self.assertEqual({standby[1], arbiter[1]}, {8, 9})

    def test_a_host_with_one_role_is_preferred_to_one_with_two(self):
        self.add_hosts(dict.fromkeys(range(2, 5), "b"))
        self.put(0, record(2, 3, 4))
        self.put(1, record(2, 3, 9))
        for _ in range(30):
            self.assertEqual(self.selector.choose_standby()[1], 4)

    def test_another_failure_domain_goes_before_few_roles(self):
        """Guards against a lost domain that takes owner and standby."""
        self.add_hosts({2: "b", 3: "b", 4: "a"})
        self.put(0, record(2, 3, 9))
        for _ in range(30):
            self.assertIn(self.selector.choose_standby()[1], (2, 3))

    def test_a_known_host_arbitrates_where_only_the_standby_has_called(self):
        """Guards against an owner that can't go on without its standby.

        Only the host that becomes the standby has sent a request. Without an
        arbiter, the standby alone may have the turn that half of what is left
        of a budget does not hold, also after it is lost.
        """
        self.selector = PeerSelector(
            OWN, self.shard_map, Lease(), Candidates(2, 3), self.live_hosts
        )
        self.add_hosts({2: "b"})
        standby = self.selector.choose_standby()
        self.assertEqual(standby[1], 2)
        self.assertEqual(self.selector.choose_arbiter(standby)[1], 3)

    def test_owner_standby_and_arbiter_are_in_three_failure_domains(self):
        domain_by_port = {2: "a", 3: "b", 4: "b", 5: "c", 6: "c"}
        self.add_hosts(domain_by_port)
        for _ in range(30):
            standby = self.selector.choose_standby()
            arbiter = self.selector.choose_arbiter(standby)
            domains = {domain_by_port[a[1]] for a in (standby, arbiter)}
            self.assertEqual(domains, {"b", "c"})


if __name__ == "__main__":
    unittest.main()
