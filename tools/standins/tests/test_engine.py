"""Tests of the fake engine as a process, through the production client."""

import asyncio
import tempfile
import unittest

import httpx

from masticdale_common import ErrorKind, Metrics
from masticdale_standins import EngineSettings, ModelSettings, expected_answer
from masticdale_standins.testing import Kind, free_port, start_ready
from masticdale_upstreams import (
    EngineOptions,
    GenerateRequest,
    Order,
    OrderKind,
    create_engine_client,
)

FAST = ModelSettings(decode_tokens_per_s=2000, block_tokens=4)
PROMPT = ("template " * 8, "message")


def request(request_id, prompt=PROMPT, max_tokens=200, fencing=1):
    return GenerateRequest(
        request_id, "prog", "main", prompt, max_tokens, 20.0, fencing
    )


class EngineTest(unittest.IsolatedAsyncioTestCase):
    async def start(self, **options):
        options = {"model": FAST, "keepalive_ms": 50} | options
        settings = EngineSettings(port=free_port(), **options)
        process = start_ready(Kind.ENGINE, settings)
        self.addCleanup(process.stop)
        self.metrics = Metrics()
        client = create_engine_client(
            EngineOptions(process.base_url, progress_timeout_s=0.5),
            self.metrics,
        )
        self.addAsyncCleanup(client.close)
        self.admin = httpx.AsyncClient(base_url=process.base_url)
        self.addAsyncCleanup(self.admin.aclose)
        return client

    async def set_faults(self, **faults):
        response = await self.admin.post("/admin/faults", json=faults)
        self.assertEqual(response.status_code, 204, response.text)

    async def stats(self):
        return (await self.admin.get("/admin/stats")).json()

    async def test_streams_caches_and_releases(self):
        client = await self.start()
        chunks = []
        done = (await client.generate(request("r1"), chunks.append)).unwrap()
        self.assertEqual(done.text, expected_answer(PROMPT, 200))
        self.assertGreater(len(chunks), 1)
        following = (*PROMPT, done.text, "next message")
        again = await client.generate(
            request("r2", following), lambda chunk: None
        )
        whole = len("".join(following[:3])) // 16 * 4
        self.assertEqual(again.unwrap().cached_tokens, whole)
        held = (await client.cached_programs()).unwrap()
        self.assertEqual([p.program_id for p in held], ["prog"])
        events = (await client.cache_events(0, 2)).unwrap()
        self.assertEqual({e.program_id for e in events.events}, {"prog"})
        (await client.release("prog")).unwrap()
        self.assertEqual((await client.cached_programs()).unwrap(), ())

    async def test_mismatched_truncated_and_silent_streams_are_resumed(self):
        """The client resumes on a new connection and returns the full answer.

        The faults are a line of another request, a truncated stream and an
        open connection that stops sending.
        """
        client = await self.start()
        for name in ("cross_answers", "truncate"):
            with self.subTest(name):
                await self.set_faults(**{name: 1})
                done = await client.generate(request(name), lambda chunk: None)
                text = done.unwrap().text
                self.assertEqual(text, expected_answer(PROMPT, 200))
        with self.subTest("freeze_streams"):
            await self.set_faults()
            started = asyncio.Event()
            task = asyncio.create_task(
                client.generate(
                    request("long", max_tokens=2000), lambda _: started.set()
                )
            )
            await started.wait()
            await self.set_faults(freeze_streams=True)
            text = (await task).unwrap().text
            self.assertEqual(text, expected_answer(PROMPT, 2000))
            silent = "engine_streams_silent_total"
            self.assertGreater(self.metrics.counter_value(silent), 0)
        resumes = self.metrics.counter_value("engine_stream_resumes_total")
        self.assertGreaterEqual(resumes, 3)

    async def test_a_marked_prompt_crashes_the_engine_for_all(self):
        """A crash aborts other calls, drops the cache and refuses new calls.

        Aborted calls fail with UPSTREAM_FAILED, calls during the restart with
        NO_UPSTREAM.
        """
        client = await self.start(restart_ms=2000)
        before = (await client.health()).unwrap()
        await self.set_faults(crash_marker="boom")
        started = asyncio.Event()
        other = asyncio.create_task(
            client.generate(
                request("r1", max_tokens=4000), lambda _: started.set()
            )
        )
        await started.wait()
        crashing = await client.generate(
            request("r2", ("boom",)), lambda chunk: None
        )
        for outcome in (crashing, await other):
            self.assertIs(outcome.failure().kind, ErrorKind.UPSTREAM_FAILED)
        refused = await client.generate(request("r3"), lambda chunk: None)
        self.assertIs(refused.failure().kind, ErrorKind.NO_UPSTREAM)
        after = before
        while after == before:
            await asyncio.sleep(0.1)
            after = (await client.health()).value_or(before)
        self.assertNotEqual(after.incarnation, before.incarnation)
        self.assertEqual((await client.cached_programs()).unwrap(), ())
        stats = await self.stats()
        self.assertEqual(list(stats["crash_count_by_digest"].values()), [1])

    async def test_a_generation_outlives_its_connection_until_cancelled(self):
        client = await self.start()
        started = asyncio.Event()
        body = {
            "request_id": "r1",
            "program_id": "prog",
            "branch_id": "main",
            "prompt": PROMPT,
            "max_tokens": 4000,
            "deadline_ms": 20_000,
            "fencing": 1,
        }
        async with self.admin.stream("POST", "/v1/generate", json=body):
            started.set()
        resumed = self.admin.stream(
            "GET", "/v1/streams/r1", params={"offset": 0}
        )
        async with resumed as response:
            self.assertEqual(response.status_code, 200)
        (await client.cancel("r1")).unwrap()
        gone = await self.admin.get("/v1/streams/r1", params={"offset": 0})
        self.assertEqual(gone.status_code, 404)

    async def test_old_fencing_numbers_are_refused_where_obeyed(self):
        for obeys_fencing, kind in ((True, ErrorKind.CONFLICT), (False, None)):
            with self.subTest(obeys_fencing=obeys_fencing):
                client = await self.start(obey_fencing=obeys_fencing)
                (await client.order(Order(OrderKind.CHANGE_ROLE, "r", 2)))
                old = await client.order(Order(OrderKind.CHANGE_ROLE, "r", 1))
                failure = old.swap().value_or(None)
                self.assertEqual(getattr(failure, "kind", None), kind)

    async def test_an_exported_cache_is_imported_by_another_engine(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        first = await self.start(export_folder=folder.name)
        await first.generate(request("r1"), lambda chunk: None)
        handle = (await first.export_cache("prog", "main")).unwrap()
        second = await self.start(export_folder=folder.name)
        imported = (await second.import_cache(handle)).unwrap()
        done = await second.generate(request("r2"), lambda chunk: None)
        self.assertEqual(done.unwrap().cached_tokens, 76 // 16 * 4)
        self.assertGreater(imported, 0)
        unknown = await second.import_cache("../nothing")
        self.assertIs(unknown.failure().kind, ErrorKind.NOT_FOUND)

    async def test_load_and_leaving(self):
        client = await self.start(load_lag_ms=10)
        await self.set_faults(leaving=True)
        self.assertTrue((await client.health()).unwrap().leaving)
        await client.generate(request("r1"), lambda chunk: None)
        await asyncio.sleep(0.1)
        load = (await client.load_report()).unwrap()
        self.assertGreater(load.cached_tokens, 0)
        self.assertEqual((await self.stats())["calls_while_leaving"], 1)


if __name__ == "__main__":
    unittest.main()
