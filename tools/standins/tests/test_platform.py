"""Tests of the fake platform as a process, through the production client."""

import asyncio
import unittest

import httpx

from masticdale_common import ErrorKind, Metrics
from masticdale_platform import ListedHost
from masticdale_platform.client import PlatformClient
from masticdale_standins import PlatformSettings
from masticdale_standins.testing import Kind, free_port, start_ready


class PlatformTest(unittest.IsolatedAsyncioTestCase):
    async def start(self, **options):
        settings = PlatformSettings(port=free_port(), **options)
        process = start_ready(Kind.PLATFORM, settings)
        self.addCleanup(process.stop)
        client = PlatformClient(process.base_url, 2, Metrics())
        self.addAsyncCleanup(client.close)
        self.admin = httpx.AsyncClient(base_url=process.base_url)
        self.addAsyncCleanup(self.admin.aclose)
        return client

    async def set_faults(self, **faults):
        response = await self.admin.post("/admin/faults", json=faults)
        self.assertEqual(response.status_code, 204, response.text)

    async def test_conditional_writes_list_and_watch(self):
        client = await self.start()
        first = (await client.write("a/b", b"1", 0)).unwrap()
        conflict = await client.write("a/b", b"2", 0)
        self.assertIs(conflict.failure().kind, ErrorKind.CONFLICT)
        batch = (await client.watch("a/", 0, 0)).unwrap()
        self.assertEqual([o.value for o in batch.changed], [b"1"])
        waiting = asyncio.create_task(
            client.watch("a/", batch.position, wait_s=20)
        )
        await asyncio.sleep(0)
        (await client.delete("a/b", first)).unwrap()
        self.assertEqual((await waiting).unwrap().deleted_keys, ("a/b",))
        self.assertIsNone((await client.read("a/b")).unwrap())
        again = (await client.write("a/b", b"3", 0)).unwrap()
        self.assertGreater(again, first)
        listed = (await client.list("a/")).unwrap()
        self.assertEqual([(o.key, o.version) for o in listed], [("a/b", again)])
        limit = (
            await self.admin.put(
                "/v1/objects/big",
                content=bytes(1_000_001),
                headers={"If-Version": "0"},
            )
        ).status_code
        self.assertEqual(limit, 413)

    async def test_a_lost_answer_leaves_the_write_in_effect(self):
        """A write that lost its connection fails with WRITE_UNKNOWN.

        The outcome is the same whether or not the write took effect; only a
        read distinguishes the two.
        """
        client = await self.start()
        await self.set_faults(lose_write_answers=1)
        lost = await client.write("k", b"1", 0)
        self.assertIs(lost.failure().kind, ErrorKind.WRITE_UNKNOWN)
        self.assertEqual((await client.read("k")).unwrap().value, b"1")
        await self.set_faults(drop_writes=1)
        dropped = await client.write("j", b"1", 0)
        self.assertIs(dropped.failure().kind, ErrorKind.WRITE_UNKNOWN)
        self.assertIsNone((await client.read("j")).unwrap())

    async def test_outage_and_rate_limit_refuse_calls(self):
        client = await self.start(writes_per_s=1, reads_per_s=0)
        outcomes = [await client.write(f"k{i}", b"", 0) for i in range(5)]
        kinds = {o.failure().kind for o in outcomes[1:] if o.swap().value_or(0)}
        self.assertEqual(kinds, {ErrorKind.PLATFORM_UNAVAILABLE})
        await self.set_faults(down=True)
        down = await client.read("k0")
        self.assertIs(down.failure().kind, ErrorKind.PLATFORM_UNAVAILABLE)
        stats = (await self.admin.get("/admin/stats")).json()
        self.assertEqual(stats["count_by_call"], {"write": 5, "read": 1})
        self.assertGreater(stats["refused"], 0)

    async def test_the_host_list_shows_changes_after_its_lag(self):
        for lag_ms, shown in (
            (0, (ListedHost("h1", True), ListedHost("e1", False))),
            (
                3_600_000,
                tuple(ListedHost(n, False) for n in ("h1", "h2", "e1")),
            ),
        ):
            with self.subTest(lag_ms=lag_ms):
                client = await self.start(
                    hosts=("h1", "h2"), upstreams=("e1",), hosts_lag_ms=lag_ms
                )
                for change in (
                    {"name": "h1", "leaving": True},
                    {"name": "h2", "removed": True},
                ):
                    await self.admin.post("/admin/hosts", json=change)
                self.assertEqual((await client.hosts()).unwrap(), shown)


if __name__ == "__main__":
    unittest.main()
