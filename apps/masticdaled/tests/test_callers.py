"""Tests of the callers' HTTP API: answers, rejections, streams."""

import json
import unittest

from litestar.testing import AsyncTestClient

from masticdale_config import ActiveConfig
from masticdale_config import testing as config_testing
from masticdale_peers.testing import MemoryNetwork
from masticdale_platform.testing import MemoryStore
from masticdale_programs.testing import FakeExecutor
from masticdaled.callers.listener import create_callers_app
from masticdaled.testing import create_memory_host

KEY = {"authorization": f"Bearer {config_testing.TENGRI_KEY}"}
OTHER_KEY = {"authorization": f"Bearer {config_testing.HALVORSEN_KEY}"}
PROGRAMS = "/v1/programs"
BEGIN = {"request_id": "p", "program": "dossier-build"}


class CallersTestCase(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        in_force = config_testing.active_config(
            *config_testing.tengri_trails(), *config_testing.halvorsen()
        )
        self.host = create_memory_host(
            "host-1",
            ("host-1",),
            MemoryNetwork(),
            MemoryStore(),
            in_force,
            FakeExecutor(),
        )
        app = create_callers_app(self.host.callers_context)
        self.client = AsyncTestClient(app)
        await self.client.__aenter__()

    async def asyncTearDown(self):
        await self.client.__aexit__(None, None, None)
        await self.host.close()

    async def post(self, path, body, headers=KEY):
        return await self.client.post(
            PROGRAMS + path, json=body, headers=headers
        )

    async def begin(self):
        answer = await self.post("", BEGIN)
        return f"/{answer.json()['program_id']}"


class AnswersTest(CallersTestCase):
    async def test_retried_create_returns_the_same_program(self):
        first, second = await self.begin(), await self.begin()
        self.assertEqual(first, second)

    async def test_turn_answer_is_in_the_history(self):
        path = await self.begin()
        turn = {"request_id": "t", "message": "hello"}
        answer = await self.post(f"{path}/turns", turn)
        self.assertEqual(answer.status_code, 200)
        read = await self.client.get(
            f"{PROGRAMS}{path}?history=main", headers=KEY
        )
        item = read.json()["history"][0]
        self.assertEqual(item["answer"], answer.json()["text"])

    async def test_streamed_turn_ends_with_the_committed_answer(self):
        path = await self.begin()
        turn = {"request_id": "t", "message": "hello", "stream": True}
        answer = await self.post(f"{path}/turns", turn)
        events = [
            line.removeprefix("event: ").strip()
            for line in answer.text.splitlines()
            if line.startswith("event: ")
        ]
        self.assertEqual(events[-1], "done")
        data = [x for x in answer.text.splitlines() if x.startswith("data: ")]
        done = json.loads(data[-1].removeprefix("data: "))
        texts = [json.loads(x.removeprefix("data: ")) for x in data[:-1]]
        self.assertEqual("".join(t["text"] for t in texts), done["text"])

    async def test_schema_is_served(self):
        answer = await self.client.get("/schema/openapi.json")
        self.assertIn("/v1/programs", json.dumps(answer.json()))


class RejectionsTest(CallersTestCase):
    async def test_invalid_requests_are_rejected_with_their_kind(self):
        path = await self.begin()
        turn = {"request_id": "t", "message": "hello"}
        rows = [
            ("", {}, KEY, 400, "bad_request"),
            ("", BEGIN | {"extra": 1}, KEY, 400, "bad_request"),
            ("", BEGIN | {"request_id": 7}, KEY, 400, "bad_request"),
            ("", BEGIN | {"program": "none"}, KEY, 404, "not_found"),
            ("", BEGIN, {}, 401, "unauthenticated"),
            ("", BEGIN, {"authorization": "Bearer no"}, 401, "unauthenticated"),
            (f"{path}/turns", turn, OTHER_KEY, 404, "not_found"),
            ("/none/turns", turn, KEY, 404, "not_found"),
            (f"{path}/turns", turn | {"branch": "x"}, KEY, 404, "not_found"),
            (f"{path}/turns", {"request_id": "t"}, KEY, 400, "bad_request"),
            (
                f"{path}/turns",
                turn | {"message": "x" * 300_000},
                KEY,
                413,
                "too_large",
            ),
        ]
        for path_, body, headers, status, kind in rows:
            with self.subTest(path=path_, kind=kind):
                answer = await self.post(path_, body, headers)
                self.assertEqual(answer.status_code, status)
                self.assertEqual(answer.json()["kind"], kind)
                self.assertEqual(answer.json()["ran"], "no")

    async def test_malformed_json_is_a_bad_request(self):
        answer = await self.client.post(PROGRAMS, content=b"{", headers=KEY)
        self.assertEqual(answer.status_code, 400)

    async def test_out_of_order_turn_has_a_retry_after_header(self):
        path = await self.begin()
        turn = {"request_id": "t", "message": "m", "sequence": 5}
        answer = await self.post(f"{path}/turns", turn)
        self.assertEqual(answer.json()["kind"], "out_of_order")
        self.assertEqual(answer.headers["retry-after"], "1")

    async def test_request_id_reused_for_another_kind_is_rejected(self):
        await self.begin()
        other = BEGIN | {"program": "route-check"}
        answer = await self.post("", other)
        self.assertEqual(answer.json()["kind"], "request_id_reused")


class StartingTest(unittest.IsolatedAsyncioTestCase):
    async def test_key_is_not_refused_without_a_configuration(self):
        """A starting host told callers that their valid key was unknown."""
        host = create_memory_host(
            "host-1",
            ("host-1",),
            MemoryNetwork(),
            MemoryStore(),
            ActiveConfig(),
            FakeExecutor(),
        )
        self.addAsyncCleanup(host.close)
        app = create_callers_app(host.callers_context)
        async with AsyncTestClient(app) as client:
            answer = await client.post(PROGRAMS, json=BEGIN, headers=KEY)
        self.assertEqual(answer.status_code, 503)
        self.assertEqual(answer.json()["kind"], "not_configured")
        self.assertEqual(answer.json()["ran"], "no")


if __name__ == "__main__":
    unittest.main()
