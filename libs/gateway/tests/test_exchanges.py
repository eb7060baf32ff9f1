"""Tests of sending calls to replicas, against a fake connection."""

import asyncio
import types
import unittest

from masticdale_common import Metrics
from masticdale_gateway.bodies import BodyBuffers, BodyLimits
from masticdale_gateway.codec import RequestMetadata, ResponseMetadata
from masticdale_gateway.crashes import CrashDependencies, CrashGuard
from masticdale_gateway.exchanges import AttemptOptions, Sender
from masticdale_gateway.silence import SilenceLimit
from masticdale_routing.failures import ReplicaFailures
from masticdale_routing.fleet import Replica, ReplicaState

REPLICA = Replica("r", "model", "127.0.0.1", 1, "a", 8, is_draining=False)


def options(timeout_s):
    limit = SilenceLimit(timeout_s, lambda: True, is_replica_fault=True)
    return AttemptOptions(response_limit=limit, max_idle_s=1.0)


OPTIONS = options(1.0)


class Connection:
    """A connection whose response never arrives, or is a rejection."""

    skipped_responses = 0

    def __init__(self, is_rejected):
        self._is_rejected = is_rejected

    def send(self, data, matches):
        pass

    async def read_head(self):
        if not self._is_rejected:
            await asyncio.sleep(60.0)
        return types.SimpleNamespace(status=503)

    async def read_body(self, max_bytes):
        return b""


class Pool:
    def __init__(self, connection):
        self._connection = connection

    async def acquire(self, replica, max_idle_s):
        return self._connection

    def release(self, replica, connection):
        pass


class Codec:
    def request_headers(self, headers, metadata):
        return []

    def parse_response(self, head):
        return ResponseMetadata(is_rejected=True, is_usable=False)


def create_call():
    return types.SimpleNamespace(
        request=types.SimpleNamespace(
            method=b"POST", target=b"/", headers=None, body=b""
        ),
        metadata=RequestMetadata("q", program_id="p"),
        remaining_s=3.0,
        replica_ids=[],
        assigned_replica_id="",
        workspace_name="",
        content_digest="c",
        suspicion_keys=("c",),
        suspected_keys=(),
        possible_runs=0,
        events=0,
    )


class ProbeTest(unittest.IsolatedAsyncioTestCase):
    """Guards against a replica skipped for 30 s after an unsettled probe."""

    async def asyncSetUp(self):
        self.state = ReplicaState(REPLICA)
        now = asyncio.get_running_loop().time()
        for _ in range(2):
            self.state.circuit.record_failure(now - 1.0)

    def sender(self, is_rejected):
        pool = Pool(Connection(is_rejected))
        crashes = CrashGuard(CrashDependencies(), pool, Metrics())
        buffers = BodyBuffers(BodyLimits())
        return Sender(pool, Codec(), Metrics(), crashes, buffers)

    def is_allowed(self):
        return self.state.circuit.allows(asyncio.get_running_loop().time())

    async def test_a_rejected_probe_may_be_repeated(self):
        await self.sender(is_rejected=True).send(
            create_call(), self.state, OPTIONS
        )
        self.assertTrue(self.is_allowed())

    async def test_a_probe_whose_caller_leaves_may_be_repeated(self):
        probe = asyncio.create_task(
            self.sender(is_rejected=False).send(
                create_call(), self.state, OPTIONS
            )
        )
        await asyncio.sleep(0.01)
        self.assertFalse(self.is_allowed())
        probe.cancel()
        await asyncio.wait({probe})
        self.assertTrue(self.is_allowed())

    async def test_a_request_that_outlasts_its_deadline_accuses_no_replica(
        self,
    ):
        """Guards against long requests that make all replicas look sick.

        Calls that must not be repeated then go to the failing ones as well.
        """
        failures = ReplicaFailures()
        state = ReplicaState(REPLICA, failures)
        for remaining_s, is_accused in ((0.0, False), (3.0, True)):
            call = create_call()
            call.remaining_s = remaining_s
            await self.sender(is_rejected=False).send(
                call, state, options(0.01)
            )
            now = asyncio.get_running_loop().time()
            self.assertIs(failures.has_failed("r", 1.0, now), is_accused)


if __name__ == "__main__":
    unittest.main()
