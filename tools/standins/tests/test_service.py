"""Tests of the fake service as a process, through the production client."""

import unittest

import httpx

from masticdale_common import ErrorKind, Metrics
from masticdale_standins import ServiceSettings
from masticdale_standins.testing import Kind, free_port, start_ready
from masticdale_upstreams import (
    ServiceOptions,
    ServiceRequest,
    create_service_client,
)


class ServiceTest(unittest.IsolatedAsyncioTestCase):
    async def start(self, **options):
        settings = ServiceSettings(port=free_port(), **options)
        process = start_ready(Kind.SERVICE, settings)
        self.addCleanup(process.stop)
        client = create_service_client(
            ServiceOptions(process.base_url), Metrics()
        )
        self.addAsyncCleanup(client.close)
        self.admin = httpx.AsyncClient(base_url=process.base_url)
        self.addAsyncCleanup(self.admin.aclose)
        return client

    async def executions(self, key):
        listed = (await self.admin.get("/admin/executions")).json()
        return sum(e["count"] for e in listed if e["key"] == key)

    async def test_faults_match_recorded_executions(self):
        """The error kind of each fault matches the recorded executions.

        A lookup of the key then reports whether the operation ran.
        """
        client = await self.start()
        unknown = ErrorKind.OUTCOME_UNKNOWN
        cases = (
            ({}, None, 1),
            ({"refuse_before_running": 1}, ErrorKind.NO_UPSTREAM, 0),
            ({"lose_answers": 1}, unknown, 1),
            ({"cross_answers": 1}, unknown, 1),
            ({"hang": True}, unknown, 1),
        )
        for faults, kind, count in cases:
            with self.subTest(faults=faults):
                await self.admin.post("/admin/faults", json=faults)
                key = f"call/{kind}/{len(faults)}/{list(faults)}"
                timeout_s = 0.5 if "hang" in faults else 10
                request = ServiceRequest(key, "charge", "{}", 1, timeout_s)
                outcome = await client.call(request)
                failure = outcome.swap().value_or(None)
                self.assertEqual(getattr(failure, "kind", None), kind)
                self.assertEqual(await self.executions(key), count)
                found = (await client.lookup(key)).unwrap()
                self.assertEqual(found is not None, count == 1)

    async def test_a_repeated_key_runs_again_without_deduplication(self):
        for deduplicates, count in ((False, 2), (True, 1)):
            with self.subTest(deduplicates=deduplicates):
                client = await self.start(deduplicates=deduplicates)
                request = ServiceRequest("key", "charge", "{}", 1, 5)
                for _ in range(2):
                    (await client.call(request)).unwrap()
                self.assertEqual(await self.executions("key"), count)
                self.assertFalse((await client.health()).unwrap().leaving)


if __name__ == "__main__":
    unittest.main()
