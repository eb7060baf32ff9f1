"""Tests of the RPC clients of the storage hosts."""

import unittest

from returns.result import Failure as Failed
from returns.result import Success

from masticdale_common import ErrorKind, Failure
from masticdale_history import Member
from masticdale_history.member_clients import MemberClients
from masticdale_history.messages import CHECK, CheckReply, CheckRequest
from masticdale_rpc import unavailable

MEMBER = Member("h0", "10.0.0.1", 7000, "d0", "disk-0")
OTHER = Member("h1", "10.0.0.2", 7000, "d0", "disk-1")


class FakeClient:
    """Answers each call with one outcome."""

    def __init__(self, outcome):
        self._outcome = outcome
        self.is_closed = False
        self.idle_closings = 0

    async def call(self, rpc, request, timeout_s):
        del rpc, request, timeout_s
        return self._outcome

    def close_idle(self):
        self.idle_closings += 1

    def close(self):
        self.is_closed = True


class MemberClientsTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        self.outcome = Success(CheckReply())
        self.created = []
        self.clients = MemberClients(self.create)

    def create(self, member):
        del member
        self.created.append(FakeClient(self.outcome))
        return self.created[-1]

    async def call(self, member=MEMBER):
        return await self.clients.call(member, CHECK, CheckRequest(), 1.0)

    async def test_a_client_is_used_again(self):
        """Guards against a new connection for each call."""
        await self.call()
        await self.call()
        await self.call(OTHER)
        self.assertEqual(len(self.created), 2)

    async def test_a_silent_host_gets_new_connections(self):
        """Guards against calls on connections that a lost host had open."""
        self.outcome = Failed(unavailable("h0", "timed out", sent=True))
        await self.call()
        self.assertTrue(self.created[0].is_closed)
        await self.call()
        self.assertEqual(len(self.created), 2)

    async def test_other_failures_keep_the_connections(self):
        """Guards against new connections to a host that answers errors."""
        for failure in (
            unavailable("h0", "refused", sent=False),
            Failure(ErrorKind.INTERNAL),
        ):
            self.outcome = Failed(failure)
            clients = MemberClients(self.create)
            await clients.call(MEMBER, CHECK, CheckRequest(), 1.0)
            self.assertFalse(self.created[-1].is_closed)

    async def test_clients_of_gone_members_are_closed(self):
        """Guards against connections to each host that was ever listed."""
        await self.call()
        await self.call(OTHER)
        self.clients.retain([OTHER])
        self.assertEqual([c.is_closed for c in self.created], [True, False])

    async def test_idle_connections_are_closed(self):
        """Guards against connections that stay open without use."""
        await self.call()
        await self.call(OTHER)
        self.clients.close_idle()
        self.assertEqual([c.idle_closings for c in self.created], [1, 1])


if __name__ == "__main__":
    unittest.main()
