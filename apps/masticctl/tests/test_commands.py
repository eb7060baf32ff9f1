"""Tests of the commands against in-memory hosts."""

import json
import os
import pathlib
import tempfile
import unittest

import hosts

from masticctl.declarations import to_text
from masticdale_config import (
    ActiveConfig,
    ConfigStore,
    caller_key_digest,
    testing,
)
from masticdaled.operators.testing import (
    QUARANTINED_DIGEST,
    READ_TOKEN,
    program,
)


class CommandsTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.tool = hosts.ToolHarness()
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.addCleanup(os.chdir, os.getcwd())
        os.chdir(folder.name)
        self.folder = pathlib.Path("declarations")
        self.folder.mkdir()

    def write(self, *declarations, name="all.json"):
        texts = [to_text(d) for d in declarations]
        text = texts[0] if len(texts) == 1 else f"[{','.join(texts)}]"
        (self.folder / name).write_text(text)

    def write_key(self, key):
        pathlib.Path("key").write_text(key)

    async def apply(self, *declarations):
        self.write(*declarations)
        done = await self.tool.run("apply", "declarations", "--yes")
        self.assertEqual(done.code, 0, done.err)

    async def run_json(self, *argv):
        done = await self.tool.run(*argv, "--output", "json")
        self.assertEqual(done.code, 0, done.err)
        return json.loads(done.out)

    async def test_apply_is_idempotent(self):
        self.write(*testing.tengri_trails())
        planned = await self.tool.run("plan", "declarations")
        self.assertIn("+ Workspace/tengri-trails (create)", planned.out)
        self.assertIn("tengri-trails: created", planned.out)
        self.assertEqual(self.tool.context.in_force.number, 0)
        done = await self.tool.run("apply", "--yes", "declarations")
        self.assertIn("Accepted as revision 1.", done.out)
        again = await self.tool.run("apply", "declarations", "--yes")
        self.assertIn("Nothing would change at revision 1.", again.out)
        self.assertEqual(again.code, 0)

    async def test_diff_shows_fields_and_sets_the_exit_code(self):
        await self.apply(testing.engine("e", "m"))
        self.write(testing.engine("e", "m", port=9000))
        done = await self.tool.run("diff", "declarations", "--exit-code")
        self.assertEqual(done.code, 1)
        line = '    spec.address: "127.0.0.1:7001" -> "127.0.0.1:9000"\n'
        self.assertIn(line, done.out)

    async def test_a_saved_plan_conflicts_with_a_change_made_since(self):
        """A saved plan must not silently overwrite a concurrent change."""
        await self.apply(testing.engine("e", "m"))
        self.write(testing.engine("e", "m", port=9000))
        await self.tool.run("plan", "declarations", "--save", "p.json")
        await self.tool.run("edit", "Upstream/e", "spec.slots=4", "--yes")
        done = await self.tool.run("apply", "--plan", "p.json", "--yes")
        self.assertEqual(done.code, 5)
        self.assertIn("Upstream/e: spec.slots: changed by revision 2", done.err)

    async def test_apply_with_a_lost_response_is_idempotent(self):
        """A retry with the same change_id returns the accepted revision."""
        self.write(testing.engine("e", "m"))
        await self.tool.run("plan", "declarations", "--save", "p.json")
        self.tool.faults.lost_responses = 1
        done = await self.tool.run("apply", "--plan", "p.json", "--yes")
        self.assertIn("Accepted as revision 1.", done.out)
        self.assertEqual(self.tool.context.in_force.number, 1)

    async def test_a_change_with_unknown_outcome_is_saved_for_retry(self):
        """All responses are lost; applying the saved file resolves it."""
        self.write(testing.engine("e", "m"))
        await self.tool.run("plan", "declarations", "--save", "p.json")
        self.tool.faults.lost_responses = 100
        done = await self.tool.run("apply", "--plan", "p.json", "--yes")
        self.assertEqual(done.code, 8)
        self.assertIn("may or may not have been accepted", done.err)
        self.tool.faults.lost_responses = 0
        (saved_change,) = [
            f for f in os.listdir() if f.startswith("masticctl-")
        ]
        again = await self.tool.run("apply", "--plan", saved_change, "--yes")
        self.assertIn("Accepted as revision 1.", again.out)

    async def test_conflict_after_a_lost_request_is_reported_as_unknown(self):
        """The retry conflicts, but the first request may still be accepted.

        A plain conflict would claim that the change was not written.
        """
        await self.apply(testing.engine("e", "m"))
        self.write(testing.engine("e", "m", port=9000))
        await self.tool.run("plan", "declarations", "--save", "p.json")
        await self.tool.run("edit", "Upstream/e", "spec.slots=4", "--yes")
        self.tool.faults.dropped_requests = 1
        done = await self.tool.run("apply", "--plan", "p.json", "--yes")
        self.assertEqual(done.code, 8)
        self.assertIn("may or may not have been accepted", done.err)
        self.assertIn("Another change came first", done.err)
        again = await self.tool.run("apply", "--plan", "p.json", "--yes")
        self.assertEqual(again.code, 5)

    async def test_failover_to_the_next_server(self):
        self.tool.faults.unreachable_hosts.add("host-1")
        status = await self.run_json("status")
        self.assertEqual(status["host"], "host-1")
        self.assertIn("http://host-2", self.tool.transport.requests[-1])
        self.tool.faults.unreachable_hosts.add("host-2")
        done = await self.tool.run("status")
        self.assertEqual(done.code, 8)

    async def test_post_with_a_lost_response_is_not_retried(self):
        """Retrying a takeover on the next host would execute it twice."""
        self.tool.faults.lost_responses = 1
        done = await self.tool.run("takeover", "7", "--yes")
        self.assertEqual(done.code, 8)
        self.assertEqual(len(self.tool.transport.requests), 1)

    async def test_invalid_declarations_are_all_reported_before_sending(
        self,
    ):
        self.write(testing.engine("e", "m"))
        wrong = {"kind": "Upstream", "name": "Bad Name", "spec": {}}
        (self.folder / "wrong.json").write_text(json.dumps(wrong))
        (self.folder / "broken.json").write_text("{")
        done = await self.tool.run("plan", "declarations")
        self.assertEqual(done.code, 2)
        self.assertIn("broken.json: not JSON", done.err)
        self.assertIn("wrong.json: Upstream/Bad Name.name", done.err)
        self.assertEqual(self.tool.transport.requests, [])

    async def test_a_folder_is_rejected_atomically(self):
        self.write(*testing.tengri_trails()[:-2], testing.tengri_trails()[-1])
        done = await self.tool.run("apply", "declarations", "--yes")
        self.assertEqual(done.code, 2)
        self.assertIn("there is no upstream 'permit-desk-4'", done.err)
        self.assertEqual(self.tool.context.in_force.number, 0)

    async def test_get_output_can_be_applied(self):
        await self.apply(testing.engine("e", "m"))
        done = await self.tool.run("get", "upstream/e")
        self.assertEqual(done.out, to_text(testing.engine("e", "m")))
        listed = await self.run_json("get", "Upstream")
        self.assertEqual(len(listed["items"]), 1)
        missing = await self.tool.run("get", "Upstream/f")
        self.assertEqual(missing.code, 2)

    async def test_edit_sets_and_unsets_fields(self):
        await self.apply(testing.engine("e", "m"))
        await self.tool.run("edit", "Upstream/e", "spec.draining=true", "--yes")
        name = self.tool.context.in_force.current.upstreams.by_name
        self.assertTrue(name["e"].draining)
        await self.tool.run("edit", "Upstream/e", "spec.draining=", "--yes")
        name = self.tool.context.in_force.current.upstreams.by_name
        self.assertFalse(name["e"].draining)
        wrong = await self.tool.run("edit", "Upstream/e", "spec.slots=x")
        self.assertEqual(wrong.code, 2)
        self.assertIn("Upstream/e.spec.slots", wrong.err)

    async def test_delete_prune_and_rollback(self):
        await self.apply(testing.engine("e", "m"), testing.engine("f", "m", 1))
        self.write(testing.engine("e", "m"))
        planned = await self.tool.run("plan", "declarations", "--prune")
        self.assertIn("- Upstream/f (delete)", planned.out)
        done = await self.tool.run("delete", "Upstream/e", "--yes")
        self.assertEqual(done.code, 0, done.err)
        done = await self.tool.run("rollback", "1", "--yes")
        self.assertIn("Accepted as revision 3.", done.out)
        upstreams = self.tool.context.in_force.current.upstreams.by_name
        self.assertEqual(sorted(upstreams), ["e", "f"])
        shown = await self.tool.run("revisions", "show", "3")
        self.assertIn("rollback to revision 1", shown.out)

    async def test_drain_marks_the_upstream_and_reports(self):
        await self.apply(testing.engine("e", "m"))
        done = await self.tool.run("upstream", "drain", "e", "--yes", "--wait")
        self.assertEqual(done.code, 0, done.err)
        self.assertIn("e: 0 calls in flight", done.out)

    async def test_a_workspace_is_created_from_a_template(self):
        await self.apply(*testing.tengri_trails()[:-1])
        self.write_key("altai-guide-key\n")
        done = await self.tool.run(
            *("workspace", "create", "altai", "model=permit-70b"),
            *("--from", "permit-desk", "--caller", "guides"),
            *("--upstreams", "permit-1,permit-desk-1"),
            *("--key-file", "key", "--yes"),
        )
        self.assertEqual(done.code, 0, done.err)
        current = self.tool.context.in_force.current
        digest = caller_key_digest("altai-guide-key")
        found = current.workspace_by_caller_digest[digest]
        self.assertEqual(found.name, "altai")
        unknown = await self.tool.run(
            *("workspace", "create", "ili", "modle=m"),
            *("--from", "permit-desk", "--upstreams", "permit-1"),
        )
        self.assertIn("no parameter 'modle'", unknown.err)

    async def test_status_wait_returns_when_no_host_lags(self):
        await self.apply(testing.engine("e", "m"))
        self.tool.context.revision_by_host = {"host-2": 1}
        done = await self.tool.run("status", "--wait", "--timeout", "0")
        self.assertEqual(done.code, 0)

    async def test_status_wait_names_the_hosts_that_lag(self):
        """A host stuck on an old revision ends the wait at the timeout."""
        await self.apply(testing.engine("e", "m"))
        self.tool.context.revision_by_host = {"host-2": 0}
        done = await self.tool.run("status", "--wait", "--timeout", "0")
        self.assertEqual(done.code, 7)
        self.assertIn("Revision 1 is not in force on: host-2 (at 0", done.err)

    async def test_status_wait_asks_for_the_newest_accepted_revision(self):
        """The queried host itself lags behind a revision accepted elsewhere.

        Its own status alone would report the rollout as complete.
        """
        await self.apply(testing.engine("e", "m"))
        other = ConfigStore(self.tool.context.store, ActiveConfig())
        edit = testing.put(testing.engine("f", "m", 1))
        (await other.apply(testing.change("c", edit))).unwrap()
        self.tool.context.revision_by_host = {"host-2": 1}
        done = await self.tool.run("status", "--wait", "--timeout", "0")
        self.assertEqual(done.code, 7)
        self.assertIn("Revision 2 is not in force on: host-2", done.err)

    async def test_status_wait_in_an_outage_uses_the_newest_known_revision(
        self,
    ):
        await self.apply(testing.engine("e", "m"))
        self.tool.context.store.faults.down = True
        done = await self.tool.run("status", "--wait", "--timeout", "0")
        self.assertEqual(done.code, 0)
        self.assertIn("The platform does not answer", done.err)

    async def test_programs_quarantine_and_takeover(self):
        self.tool.context.program_by_id["12e4"] = program("12e4")
        self.tool.context.quarantined_digests.add(QUARANTINED_DIGEST)
        listed = await self.run_json("program", "list")
        self.assertEqual(listed["programs"][0]["program_id"], "12e4")
        shown = await self.tool.run("program", "inspect", "12e4")
        self.assertIn("waiting: r-3: queued at permit-1", shown.out)
        done = await self.tool.run("program", "stop", "12e4", "--yes")
        self.assertIn("program 12e4: stopped", done.out)
        missing = await self.tool.run("program", "stop", "p", "--yes")
        self.assertEqual(missing.code, 4)
        await self.tool.run("quarantine", "release", QUARANTINED_DIGEST, "-y")
        listed = await self.run_json("quarantine", "list")
        self.assertEqual(listed["requests"], [])
        done = await self.tool.run("takeover", "7", "--yes")
        self.assertIn("may be lost: program p-1: turn r-3", done.out)

    async def test_dump_and_metrics(self):
        self.tool.context.metrics.count("calls_total")
        self.assertIn("calls_total", (await self.tool.run("metrics")).out)
        self.assertIn("config", await self.run_json("dump"))

    async def test_a_read_token_cannot_apply(self):
        self.tool.token = READ_TOKEN
        self.write(testing.engine("e", "m"))
        done = await self.tool.run("apply", "declarations", "--yes")
        self.assertEqual(done.code, 3)
        self.assertIn("this needs operate", done.err)

    async def test_apply_in_an_outage_exits_with_6(self):
        self.write(testing.engine("e", "m"))
        self.tool.context.store.faults.down = True
        done = await self.tool.run("apply", "declarations", "--yes")
        self.assertEqual(done.code, 6)
        self.assertIn("nothing was written", done.err)


if __name__ == "__main__":
    unittest.main()
