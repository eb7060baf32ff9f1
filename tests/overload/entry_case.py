"""Test case with an entry host in a process of its own."""

import asyncio
import pathlib
import resource
import tempfile
import unittest

import httpx
import observed_process
from crowd import Crowd

from masticdale_soak.processes import HostProcess
from masticdale_standins.objects import FakeObjectStore
from masticdale_standins.replicas import FakeReplica

HOST = "a.example"
STREAMING = "/turns/"
IDEMPOTENT = "/lookups/"
# What ordinary callers ask for meanwhile, of another service.
ORDINARY = "/status/"
# The smallest entry hosts of the users' deployments.
MEMORY_BYTES = 128_000_000
# Of the descriptors of a process, these are reserved for files.
RESERVED_DESCRIPTORS = 200
SOCKETS = 256
MAX_HEADER_BYTES = 16_384
MAX_BODY_BYTES = 4 << 20
SHARDS = 4
# A request that has no answer then is not answered.
ANSWER_S = 40.0
START_S = 20.0
POLL_S = 0.05


def route(prefix, kind, service, **changes):
    return {
        "name": prefix.strip("/"),
        "host": HOST,
        "path_prefix": prefix,
        "kind": kind,
        "timeout_ms": 60_000,
        "target_latency_ms": 200,
        "priority": 0,
        "service": service,
        "max_attempts": 1,
    } | changes


def configuration():
    return {
        "version": 1,
        "routes": [
            route(STREAMING, "streaming", "engine", resumable=True),
            route(IDEMPOTENT, "idempotent", "desk"),
            route(ORDINARY, "idempotent", "clerk"),
        ],
        "services": [
            {
                "name": "engine",
                "max_connections": 1000,
                "engine": {"tokens_per_event": 10},
            },
            {"name": "desk", "max_connections": 1000},
            {"name": "clerk", "max_connections": 1000},
        ],
        # Requests that are not complete stay longer than a test.
        "limits": {
            "max_header_bytes": MAX_HEADER_BYTES,
            "max_body_bytes": MAX_BODY_BYTES,
            "header_timeout_ms": 120_000,
            "idle_timeout_ms": 120_000,
        },
    }


class EntryProcess(HostProcess):
    """An entry host that may open few descriptors."""

    @property
    def pid(self):
        return self._process.pid

    @property
    def address(self):
        return self._address

    @property
    def port(self):
        return int(self.url.rpartition(":")[2])

    def start(self):
        soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
        limit = RESERVED_DESCRIPTORS + SOCKETS
        resource.setrlimit(resource.RLIMIT_NOFILE, (limit, hard))
        try:
            super().start()
        finally:
            resource.setrlimit(resource.RLIMIT_NOFILE, (soft, hard))


class EntryCase(unittest.IsolatedAsyncioTestCase):
    """An entry host with an engine and a replica of each unary service."""

    async def asyncSetUp(self):
        asyncio.get_running_loop().set_debug(False)
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.store = FakeObjectStore()
        await self.store.start()
        self.addAsyncCleanup(self.store.stop)
        self.engine = FakeReplica("engine", True)
        self.desk = FakeReplica("desk", False)
        self.clerk = FakeReplica("clerk", False)
        for replica in (self.engine, self.desk, self.clerk):
            await replica.start()
            self.addAsyncCleanup(replica.stop)
            self.store.put("servers", replica.id, replica.entry())
        self.store.put("config", "main", configuration())
        self.host = EntryProcess("host-1", pathlib.Path(folder.name), ())
        await self.host.start_proxies(self.store.port)
        self.addAsyncCleanup(self.host.close)
        self.host.write_settings([])
        self.host.start()
        await self.host.wait_ready()
        await self._wait_shards_owned()
        self.crowd = Crowd(self.host.address, self.host.port)
        self.addCleanup(self.crowd.leave)
        self.most_descriptors = 0
        sampling = asyncio.create_task(self._sample())
        self.addCleanup(sampling.cancel)

    async def _wait_shards_owned(self):
        async with asyncio.timeout(START_S):
            while len(self.store.names("ledger-shards")) < SHARDS:
                await asyncio.sleep(POLL_S)

    async def _sample(self):
        while True:
            count = observed_process.descriptors(self.host.pid)
            self.most_descriptors = max(self.most_descriptors, count)
            await asyncio.sleep(POLL_S)

    async def send(self, path, request_id, method="POST", content=b"body", **h):
        """Sends a request on a connection of its own."""
        async with httpx.AsyncClient(
            base_url=self.host.url, trust_env=False, timeout=ANSWER_S
        ) as client:
            fields = {"Host": HOST, "Request-Id": request_id} | h
            return await client.request(
                method, path + "x", headers=fields, content=content
            )

    async def check_host(self):
        """Checks the bounds, and that an ordinary request is answered."""
        await observed_process.wait_settled(self.host.pid)
        self.assertTrue(self.host.is_running, "the process has ended")
        answer = await self.send(ORDINARY, "ordinary")
        self.assertEqual(answer.status_code, 200)
        self.assertTrue(self.host.is_running, "the process has ended")
        peak_bytes = observed_process.peak_bytes(self.host.pid)
        self.assertLess(peak_bytes, MEMORY_BYTES)
        self.assertLessEqual(self.most_descriptors, SOCKETS)
