"""Tests of a host that serves peers before it has loaded the configuration."""

import time
import unittest

from test_homes import ticket_request

from masticdale_common import ErrorKind
from masticdale_config import ActiveConfig
from masticdale_peers.testing import MemoryNetwork
from masticdale_platform.testing import MemoryStore
from masticdale_programs import Caller, CreateProgram
from masticdale_programs.testing import FakeExecutor, sample_kind
from masticdaled.testing import create_memory_host

DEADLINE_S = 3.0


class StartingTest(unittest.IsolatedAsyncioTestCase):
    """Peers call a host as soon as it answers heartbeats.

    Its answer must make them repeat the call, not refuse it to the caller.
    """

    async def asyncSetUp(self):
        self.host = create_memory_host(
            "host-1",
            ("host-1",),
            MemoryNetwork(),
            MemoryStore(),
            ActiveConfig(),
            FakeExecutor(),
        )
        self.addAsyncCleanup(self.host.close)

    async def test_program_waits_for_the_configuration(self):
        """Calls were refused, as no upstream was known yet."""
        caller = Caller("w", time.monotonic() + DEADLINE_S)
        operation = CreateProgram("p1", sample_kind())
        outcome = await self.host.owned_shards.submit(operation, caller)
        self.assertEqual(self.host.owned_shards.owned_shards(), ())
        self.assertIs(outcome.failure().kind, ErrorKind.NOT_OWNER)

    async def test_ticket_waits_for_the_configuration(self):
        """A call was refused by the home of its replica as not declared."""
        reply = self.host.homes.enqueue(ticket_request(1))
        self.assertIs(reply.failure.kind, ErrorKind.NOT_OWNER)


if __name__ == "__main__":
    unittest.main()
