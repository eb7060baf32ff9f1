"""Tests of the operators' HTTP API."""

import io
import json
import unittest
from unittest import mock

import eliot
from litestar.testing import AsyncTestClient

from masticdale_common import ErrorKind, MasticdaleError
from masticdale_config import (
    ABSENT,
    Edit,
    caller_key_digest,
    key_of,
    testing,
)
from masticdale_config.messages import ChangeRequest, EditRequest
from masticdaled.operators import listener
from masticdaled.operators.access import create_access
from masticdaled.operators.testing import (
    OPERATE_TOKEN,
    QUARANTINED_DIGEST,
    READ_TOKEN,
    TOKENS,
    create_context,
    program,
)

READ = {"Authorization": f"Bearer {READ_TOKEN}"}
OPERATE = {"Authorization": f"Bearer {OPERATE_TOKEN}"}


def change(change_id, *declarations, seen=ABSENT):
    edits = tuple(
        EditRequest.from_edit(Edit(key_of(d), seen, d)) for d in declarations
    )
    return ChangeRequest(change_id=change_id, edits=edits).model_dump_json()


class OperatorsTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.context = create_context()
        app = listener.create_operator_app(self.context, create_access(TOKENS))
        self.client = await self.enterAsyncContext(AsyncTestClient(app))
        self.log = io.StringIO()
        destination = eliot.FileDestination(file=self.log)
        eliot.add_destinations(destination)
        self.addCleanup(eliot.remove_destination, destination)

    async def post(self, path, body="", headers=OPERATE):
        return await self.client.post(path, content=body, headers=headers)

    async def get(self, path, headers=READ):
        return await self.client.get(path, headers=headers)

    async def apply(self, body, headers=OPERATE):
        return await self.post("/v1/config/apply", body, headers)

    def audit_lines(self):
        lines = [json.loads(x) for x in self.log.getvalue().splitlines()]
        return [x for x in lines if x.get("message_type") == "audit"]

    async def test_health_needs_no_token_and_readiness_has_a_reason(self):
        self.assertEqual((await self.client.get("/healthz")).text, "ok\n")
        self.context.is_ready = False
        answer = await self.client.get("/readyz")
        self.assertEqual(answer.status_code, 503)
        self.assertEqual(answer.json()["reason"], "stopping")

    async def test_plan_writes_nothing_and_names_the_workspaces(self):
        body = change("c1", *testing.tengri_trails())
        answer = await self.post("/v1/config/plan", body, READ)
        self.assertEqual(answer.status_code, 200, answer.text)
        self.assertEqual(
            answer.json()["workspaces"],
            [{"name": testing.TENGRI, "effect": "created"}],
        )
        self.assertEqual(self.context.store.write_count, 0)

    async def test_apply_get_and_status_agree(self):
        answer = await self.apply(change("c1", *testing.tengri_trails()))
        self.assertEqual(answer.json()["revision"], 1)
        page = (await self.get("/v1/config?limit=3")).json()
        self.assertEqual(len(page["items"]), 3)
        rest = (await self.get(f"/v1/config?after={page['next_after']}")).json()
        total = len(page["items"]) + len(rest["items"])
        self.assertEqual(total, len(testing.tengri_trails()))
        status = (await self.get("/v1/status")).json()
        self.assertEqual(status["digest"], answer.json()["digest"])
        self.assertEqual(status["hosts"][0]["revision"], 1)

    async def test_retried_change_is_idempotent(self):
        body = change("c1", testing.engine("e", "m"))
        first, second = await self.apply(body), await self.apply(body)
        self.assertEqual(first.json(), second.json())

    async def test_conflict_names_the_field_and_the_change(self):
        await self.apply(change("c1", testing.engine("e", "m")))
        answer = await self.apply(change("c2", testing.engine("e", "m", 2)))
        self.assertEqual(answer.status_code, 409)
        self.assertIn("Upstream/e: spec: changed by", answer.json()["detail"])
        self.assertIn("change c1, ayana", answer.json()["detail"])

    async def test_invalid_bodies_are_rejected_with_their_paths(self):
        good = json.loads(change("c1", testing.engine("e", "m")))
        good["edits"][0]["after"]["spec"]["slotz"] = 3
        answer = await self.apply(json.dumps(good))
        self.assertEqual(answer.status_code, 400)
        self.assertEqual(answer.json()["kind"], "bad_request")
        self.assertIn("slotz", answer.json()["detail"])
        self.assertEqual((await self.apply("{")).status_code, 400)

    async def test_a_body_over_the_limit_is_too_large(self):
        with mock.patch.object(listener, "MAX_BODY_BYTES", 100):
            app = listener.create_operator_app(
                self.context, create_access(TOKENS)
            )
        async with AsyncTestClient(app) as client:
            answer = await client.post(
                "/v1/config/plan", content=b"x" * 200, headers=READ
            )
        self.assertEqual(answer.status_code, 413)
        self.assertEqual(answer.json()["kind"], "too_large")

    async def test_unknown_paths_and_methods_have_error_kinds(self):
        answer = await self.get("/v1/nothing")
        self.assertEqual(answer.status_code, 404)
        self.assertEqual(answer.json()["kind"], "not_found")
        answer = await self.get("/v1/config/apply")
        self.assertEqual(answer.json()["kind"], "bad_request")
        answer = await self.get("/v1/config?limit=0")
        self.assertEqual(answer.json()["kind"], "bad_request")

    async def test_apply_during_an_outage_reports_not_run(self):
        """Guards against an outage being reported as an unknown outcome.

        The read before the write fails, so nothing was sent: the response is
        503 with ``ran`` "no" and a ``Retry-After`` header.
        """
        self.context.store.faults.down = True
        answer = await self.apply(change("c1", testing.engine("e", "m")))
        self.assertEqual(answer.status_code, 503)
        self.assertEqual(answer.headers["retry-after"], "2")
        self.assertEqual(answer.json()["ran"], "no")

    async def test_changes_need_a_token_with_the_operate_role(self):
        body = change("c1", testing.engine("e", "m"))
        for headers, status in (
            ({}, 401),
            ({"Authorization": "Bearer wrong-token"}, 401),
            (READ, 403),
        ):
            answer = await self.apply(body, headers)
            self.assertEqual(answer.status_code, status)
        self.assertEqual(self.context.in_force.number, 0)
        self.assertEqual((await self.get("/v1/dump", {})).status_code, 401)
        outcomes = [line["outcome"] for line in self.audit_lines()]
        expected = ["unauthenticated"] * 2 + ["forbidden", "unauthenticated"]
        self.assertEqual(outcomes, expected)
        self.assertEqual(self.audit_lines()[2]["operator"], "marat")
        self.assertNotIn("wrong-token", self.log.getvalue())
        self.assertNotIn(READ_TOKEN, self.log.getvalue())

    def test_duplicate_tokens_are_rejected(self):
        for twin in (
            TOKENS[0].model_copy(update={"name": "other"}),
            TOKENS[0].model_copy(update={"sha256": "0" * 64}),
        ):
            with self.assertRaises(MasticdaleError) as caught:
                create_access([*TOKENS, twin])
            kind = caught.exception.failure.kind
            self.assertIs(kind, ErrorKind.INVALID_SETTINGS)

    async def test_changes_and_rejections_are_audited(self):
        await self.apply(change("c1", testing.engine("e", "m")))
        await self.apply(change("c2", testing.engine("e", "m", 2)))
        accepted, refused = self.audit_lines()
        self.assertEqual(accepted["detail"], "revision 1 change c1")
        self.assertEqual(accepted["operator"], "ayana")
        self.assertEqual(accepted["action"], "POST /v1/config/apply")
        self.assertEqual(refused["outcome"], "conflict")

    async def test_a_rollback_restores_an_earlier_revision_as_a_new_one(self):
        first = testing.engine("e", "m")
        second = testing.engine("e", "m", 2)
        await self.apply(change("c1", first))
        await self.apply(change("c2", second, seen=first.digest))
        await self.apply(change("c3", testing.engine("f", "m", 3)))
        edits = (await self.get("/v1/revisions/1/rollback")).json()["edits"]
        body = json.dumps({"change_id": "c4", "edits": edits})
        answer = await self.apply(body)
        self.assertEqual(answer.json()["revision"], 4, answer.text)
        state = self.context.in_force.state
        self.assertEqual(list(state.declaration_by_key.values()), [first])

    async def test_revisions_are_listed_and_shown(self):
        await self.apply(change("c1", testing.engine("e", "m")))
        listed = (await self.get("/v1/revisions")).json()
        self.assertEqual([r["change_id"] for r in listed], ["c1"])
        shown = (await self.get("/v1/revisions/1")).json()
        self.assertEqual(shown["edits"][0]["action"], "create")
        missing = await self.get("/v1/revisions/9")
        self.assertEqual(missing.status_code, 404)

    async def test_programs_are_listed_inspected_and_stopped(self):
        self.context.program_by_id["p-1"] = program("p-1")
        page = (await self.get("/v1/programs?workspace=tengri-trails")).json()
        self.assertEqual(page["programs"][0]["program_id"], "p-1")
        detail = (await self.get("/v1/programs/p-1")).json()
        self.assertEqual(
            detail["summary"]["waiting_for"], ["r-3: queued at permit-1"]
        )
        stopped = await self.post("/v1/programs/p-1/stop")
        self.assertEqual(stopped.json()["summary"]["state"], "stopped")
        missing = await self.post("/v1/programs/p-2/stop")
        self.assertEqual(missing.status_code, 404)

    async def test_quarantine_release_and_takeover_are_reported(self):
        self.context.quarantined_digests.add(QUARANTINED_DIGEST)
        listed = (await self.get("/v1/quarantine")).json()
        self.assertEqual(listed["requests"][0]["digest"], QUARANTINED_DIGEST)
        path = f"/v1/quarantine/{QUARANTINED_DIGEST}/release"
        self.assertEqual((await self.post(path)).status_code, 200)
        self.assertEqual((await self.post(path)).status_code, 404)
        report = (await self.post("/v1/shards/7/takeover")).json()
        self.assertIn("turn r-3", report["possibly_lost"][0])
        self.assertEqual(
            (await self.post("/v1/shards/64/takeover")).status_code, 404
        )

    async def test_dump_metrics_and_schema_hold_no_secret(self):
        await self.apply(change("c1", *testing.tengri_trails()))
        self.context.metrics.count("calls_total")
        self.assertIn("calls_total", (await self.get("/metrics")).text)
        dump = (await self.get("/v1/dump")).json()
        self.assertEqual(dump["config"]["revision"], 1)
        schema = await self.get("/schema/openapi.json")
        apply = schema.json()["paths"]["/v1/config/apply"]["post"]
        body = apply["requestBody"]["content"]["application/json"]["schema"]
        self.assertEqual(
            set(body["properties"]), set(ChangeRequest.model_fields)
        )
        everything = f"{dump}{schema.text}"
        for secret in (OPERATE_TOKEN, caller_key_digest(testing.TENGRI_KEY)):
            self.assertNotIn(secret, everything)


if __name__ == "__main__":
    unittest.main()
