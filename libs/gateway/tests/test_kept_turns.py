"""Tests of turns whose histories are kept, with forced orders of events."""

import asyncio
import subprocess
import sys
import unittest
from unittest import mock

from history_case import END, LOST, HistoryCase, event, run_steps

from masticdale_common import ErrorKind, Failure, logs
from masticdale_gateway import NoHistory, kept_turns
from masticdale_gateway.messages import LAST_CHUNK

UNAVAILABLE = Failure(ErrorKind.HISTORY_UNAVAILABLE)


class BodyTest(HistoryCase):
    async def test_a_replica_gets_the_whole_chain(self):
        """Guards against a history with missing, added or reordered bytes."""
        await self.run_turn("t1", b"in-1", event(1, b"a"), event(2, b"b"))
        await self.run_turn("t2", b"in-2", event(1, b"c"), Previous_Turn="t1")
        await self.run_turn("t3", b"in-3", Previous_Turn="t2")
        await self.run_turn("t4", b"in-4", Previous_Turn="t3")
        self.assertEqual(
            self.replica.bodies,
            [
                b"in-1",
                b"in-1a\nb\nin-2",
                b"in-1a\nb\nin-2c\nin-3",
                b"in-1a\nb\nin-2c\nin-3in-4",
            ],
        )
        length = b"Content-Length: %d\r\n" % len(self.replica.bodies[-1])
        self.assertEqual(self.replica.sent[-1].count(b"Content-Length"), 1)
        self.assertIn(length, self.replica.sent[-1])

    async def test_branches_of_one_turn_do_not_mix(self):
        """Guards against a turn that sees the output of its sibling."""
        await self.run_turn("t1", b"root", event(1, b"a"))
        for branch in (b"x", b"y", b"z"):
            await self.run_turn(
                f"t-{branch.decode()}",
                branch,
                event(1, b"of " + branch),
                Previous_Turn="t1",
            )
        await self.run_turn("t5", b"end", Previous_Turn="t-y")
        self.assertEqual(
            self.replica.bodies[1:],
            [b"roota\nx", b"roota\ny", b"roota\nz", b"roota\nyof y\nend"],
        )

    async def test_the_previous_turn_is_named_to_the_replica(self):
        """Guards against dropping a header that replicas are owed."""
        await self.run_turn("t1", b"a")
        await self.run_turn("t2", b"b", Previous_Turn="t1")
        self.assertIn(b"Previous-Turn: t1\r\n", self.replica.sent[1])

    async def test_data_lines_are_joined(self):
        """Guards against an output that differs from what callers read."""
        await self.run_turn(
            "t1",
            b"",
            event(1, b"a", b"", b" b"),
            b": comment\n\n",
            b"id:2\r\nevent: x\r\ndata:c\r\ndata:  d\r\n\r\n",
            b"data:\n\n",
        )
        self.assertEqual(
            self.history.record("t1").output, b"a\n\n b\nc\n d\n\n"
        )

    async def test_a_chain_counts_among_what_callers_hold(self):
        """Guards against small turns that load more than the host can hold."""
        await self.run_turn("t1", b"x" * (1 << 20))
        budget = self.relay._dependencies.budget
        other = budget.open(mock.Mock())
        # Small requests still pass.
        other.update(int(budget.limits.memory_bytes * 0.9), 0)
        received = await self.send("t2", b"in-2", Previous_Turn="t1")
        self.assertIn(b"HTTP/1.1 503", received)
        self.assertIn(b"host_busy", received)
        self.assertEqual(len(self.replica.sent), 1)
        other.close()
        self.connect()
        await self.run_turn("t2", b"in-2", Previous_Turn="t1")

    async def test_a_resumed_stream_is_recorded_once(self):
        """Guards against events recorded twice after an interruption."""
        self.answer(event(1, b"a"), event(2, b"b") + b"id: 3\ndata: ha", LOST)
        self.answer(event(2, b"B") + event(3, b"c"), END)
        received = await self.send("t1", b"in")
        self.assertEqual(received.count(b"id: "), 3)
        self.assertEqual(self.history.record("t1").output, b"a\nb\nc\n")
        self.assertEqual(self.replica.bodies, [b"in", b"in"])
        self.assertIn(b"Resumes-After: 2", self.replica.sent[1])

    async def test_the_record_names_its_chain(self):
        """Guards against turns of one chain that are placed apart."""
        await self.run_turn("t1", b"a", Session_Id="s1")
        await self.run_turn("t2", b"b", Session_Id="s2", Previous_Turn="t1")
        await self.run_turn("t3", b"c")
        records = [self.history.record(name) for name in ("t1", "t2", "t3")]
        self.assertEqual([r.chain_key for r in records], ["s1", "s1", "t3"])
        self.assertEqual([r.previous_id for r in records], ["", "t1", ""])
        self.assertEqual([r.input for r in records], [b"a", b"b", b"c"])
        self.assertEqual({r.retention_ms for r in records}, {60_000})


class EndTest(HistoryCase):
    async def asyncSetUp(self):
        await super().asyncSetUp()
        self.history.may_save.clear()
        self.answer(event(1, b"a"), event(2, b"b"), END)

    async def test_only_the_end_waits_for_the_record(self):
        """Guards against delayed events, and an end before the disks have it.

        The save is held up after the last event was sent.
        """
        received = await self.send("t1")
        self.assertTrue(self.history.saving.is_set())
        self.assertIn(event(2, b"b"), received)
        self.assert_incomplete()
        self.history.may_save.set()
        await run_steps()
        self.assertTrue(self.transport.written.endswith(LAST_CHUNK))
        self.assertFalse(self.transport.is_closing())

    async def test_a_save_that_fails_leaves_an_incomplete_response(self):
        """Guards against a complete turn that no host can continue."""
        self.history.save_failure = UNAVAILABLE
        self.history.may_save.set()
        await self.send("t1")
        self.assert_incomplete()
        self.assertTrue(self.transport.is_closing())
        self.assertEqual(self.outcomes("broken_off"), 1)

    async def test_a_slow_save_leaves_an_incomplete_response(self):
        """Guards against an end that waits for ever, or comes unsaved."""
        with (
            mock.patch.object(kept_turns, "_SAVE_TIMEOUT_S", 0.01),
            mock.patch.object(kept_turns, "_REPORT_S", 0.01),
        ):
            await self.send("t1")
            await asyncio.sleep(0.05)
        self.assert_incomplete()
        self.assertTrue(self.transport.is_closing())
        self.assertEqual(self.outcomes("broken_off"), 1)

    async def test_the_callers_deadline_limits_the_save(self):
        """Guards against an end that comes after the caller's deadline."""
        await self.send("t1", Deadline_Ms="60")
        await asyncio.sleep(0.15)
        self.assert_incomplete()
        self.assertTrue(self.transport.is_closing())

    async def test_a_caller_that_leaves_gets_no_end(self):
        """Guards against an error of the host as a caller leaves."""
        await self.send("t1")
        self.connection.connection_lost(None)
        await run_steps()
        self.history.may_save.set()
        await run_steps()
        self.assert_incomplete()
        self.assertEqual(self.history.chain_by_key, {})
        self.assertEqual(self.relay.connections, 0)

    async def test_a_stop_gives_up_a_response_that_is_not_saved(self):
        """Guards against a stop that completes a response without record."""
        await self.send("t1")
        self.assertFalse(self.relay.is_idle)
        self.relay.give_up()
        await run_steps()
        self.assert_incomplete()
        self.assertTrue(self.transport.is_closing())
        self.assertEqual(self.outcomes("broken_off"), 1)

    async def test_the_replica_is_free_while_the_end_waits(self):
        """Guards against replicas that look busy because disks are slow."""
        await self.send("t1")
        (state,) = self.relay._dependencies.fleet.states()
        self.assertEqual(state.in_flight, 0)

    async def test_the_log_says_what_the_record_took(self):
        """Guards against slow disks that no log line shows."""
        self.history.may_save.set()
        with mock.patch.object(logs, "write_bounded") as write:
            await self.send("t1")
        (fields,) = (
            c.kwargs for c in write.call_args_list if c.args == ("request",)
        )
        self.assertEqual(fields["chain_turns"], 0)
        self.assertGreaterEqual(fields["save_wait_ms"], 0)

    def outcomes(self, outcome):
        return self.metrics.counter_value("requests_total", outcome=outcome)


class NotRecordedTest(HistoryCase):
    async def test_a_response_that_is_no_stream_is_not_recorded(self):
        """Guards against a turn whose output is an error message."""
        self.answer(b"failed", END, status=500)
        received = await self.send("t1")
        self.assertIn(b"HTTP/1.1 500", received)
        self.assertNotIn("save", self.history.calls)

    async def test_a_stream_that_breaks_off_is_not_recorded(self):
        """Guards against recording a part of a turn as the whole."""
        self.set_route(is_resumable=False)
        self.answer(event(1, b"a"), LOST)
        await self.send("t1")
        self.assert_incomplete()
        self.assertNotIn("save", self.history.calls)

    async def test_other_routes_ask_no_history(self):
        """Guards against work for histories where none are kept."""
        self.set_route(retention_s=None)
        self.answer(event(1, b"a"), END)
        received = await self.send("t2", b"in", Previous_Turn="t1")
        self.assertTrue(received.endswith(LAST_CHUNK))
        self.assertEqual(self.history.calls, [])
        self.assertEqual(self.replica.bodies, [b"in"])
        self.assertIn(b"Previous-Turn: t1\r\n", self.replica.sent[0])

    def test_the_data_path_does_not_load_the_package_of_histories(self):
        """Guards against memory for histories where none are kept."""
        code = (
            "import sys, masticdale_gateway\n"
            "sys.exit('masticdale_history' in sys.modules)"
        )
        ended = subprocess.run([sys.executable, "-c", code], check=False)
        self.assertEqual(ended.returncode, 0)


class RefusalTest(HistoryCase):
    async def test_an_unknown_turn_is_not_found(self):
        """Guards against running a turn without its history."""
        received = await self.send("t2", Previous_Turn="t1")
        self.assert_refused(received, 404)

    async def test_an_uncertain_turn_may_be_asked_for_again(self):
        """Guards against a final answer where a disk is only unreachable."""
        self.history.load_failure = UNAVAILABLE
        received = await self.send("t2", Previous_Turn="t1")
        self.assert_refused(received, 503)
        self.assertIn(b"Retry-After: 0.3\r\n", received)

    async def test_a_slow_load_is_uncertain(self):
        """Guards against a caller that waits for its history for ever."""

        async def load(*arguments):
            await asyncio.sleep(60.0)

        self.history.load = load
        with (
            mock.patch.object(kept_turns, "_LOAD_TIMEOUT_S", 0.01),
            mock.patch.object(kept_turns, "_REPORT_S", 0.01),
        ):
            await self.send("t2", Previous_Turn="t1")
            await asyncio.sleep(0.05)
        self.assert_refused(self.transport.written, 503)

    async def test_a_turn_that_could_not_be_saved_does_not_run(self):
        """Guards against running a turn whose response can't be completed."""
        self.history.room_failure = UNAVAILABLE
        received = await self.send("t1")
        self.assert_refused(received, 503)

    async def test_a_host_without_storage_hosts_runs_no_turn(self):
        """Guards against a wrong 404 before the storage hosts are known."""
        history = NoHistory()
        self.history.load = history.load
        self.history.check_room = history.check_room
        for fields in ({}, {"Previous_Turn": "t1"}):
            received = await self.send("t2", **fields)
            self.assert_refused(received, 503)

    async def test_a_chain_that_is_too_large_is_refused(self):
        """Guards against requests that exhaust the memory of replicas."""
        await self.run_turn("t1", b"x" * (8 << 20))
        self.replica.sent.clear()
        received = await self.send("t2", b"y", Previous_Turn="t1")
        self.assert_refused(received, 413)
        await self.run_turn("t3", b"", Previous_Turn="t1")

    async def test_a_turn_resumed_by_its_caller_is_refused(self):
        """Guards against a record without the beginning of its output."""
        received = await self.send("t1", Last_Event_Id="3")
        self.assert_refused(received, 503)

    async def test_a_turn_without_an_id_is_refused(self):
        """Guards against records that share the empty id."""
        received = await self.send("")
        self.assert_refused(received, 400)

    async def test_a_turn_of_another_workspace_is_not_found(self):
        """Guards against reading the history of another workspace."""
        self.workspace = "alpha"
        await self.run_turn("t1", b"secret")
        self.replica.sent.clear()
        self.workspace = "beta"
        received = await self.send("t2", Previous_Turn="t1")
        self.assert_refused(received, 404)

    async def test_a_refused_turn_reserves_no_tokens(self):
        """Guards against budgets spent on turns that did not run."""
        received = await self.send("t2", Previous_Turn="t1", Program_Id="p")
        self.assert_refused(received, 404)
        self.assertEqual(self.ledger.claims, [])

    async def test_a_refusal_is_logged(self):
        """Guards against a 404 that no log line explains."""
        with mock.patch.object(logs, "write_bounded") as write:
            await self.send("t2", Previous_Turn="t1")
        (fields,) = (
            c.kwargs
            for c in write.call_args_list
            if c.args == ("turn_refused",)
        )
        self.assertEqual(fields["request_id"], "t2")
        self.assertEqual(fields["previous_turn_id"], "t1")
        self.assertEqual(fields["outcome"], "turn_unknown")

    async def test_a_stop_during_the_load_says_that_nothing_ran(self):
        """Guards against an unknown outcome of a turn that did not run."""

        async def load(*arguments):
            await asyncio.sleep(60.0)

        self.history.load = load
        await self.send("t2", Previous_Turn="t1")
        self.relay.give_up()
        await run_steps()
        self.assert_refused(self.transport.written, 503)


if __name__ == "__main__":
    unittest.main()
