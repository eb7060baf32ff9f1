"""Tests of a shard: ordering, deduplication, budgets, calls and takeover."""

import asyncio
import time
import unittest

from returns.result import Success

from masticdale_common import ErrorKind
from masticdale_platform.testing import MemoryStore
from masticdale_programs import (
    MAIN_BRANCH,
    Caller,
    CallOutcome,
    CallService,
    CreateProgram,
    EndProgram,
    GetProgram,
    OpenBranch,
    RequestKey,
    SendTurn,
    ShardSettings,
    open_shard,
)
from masticdale_programs.records import (
    CallFinished,
    OutcomeStatus,
    ProgramForgotten,
)
from masticdale_programs.testing import (
    UNREPEATABLE,
    FakeExecutor,
    answer_to,
    read_outcome,
    sample_kind,
)

WORKSPACE = "tengri"
SETTINGS = ShardSettings(commit_wait_s=0.05)


def caller(seconds=30.0, workspace=WORKSPACE):
    return Caller(workspace, time.monotonic() + seconds)


async def wait_for_outcome(shard, request_id, program_id="p1"):
    return await read_outcome(
        shard, RequestKey(program_id, request_id), WORKSPACE
    )


def turn(request_id, message="go", sequence=None, branch=MAIN_BRANCH):
    return SendTurn("p1", branch, request_id, message, sequence)


def unrepeatable_call(request_id, payload="{}"):
    return CallService("p1", MAIN_BRANCH, request_id, UNREPEATABLE, payload)


class ShardTestCase(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.store = MemoryStore()
        self.executor = FakeExecutor()
        self.shards = []
        self.shard = await self.open("host-1")
        await self.create()

    async def asyncTearDown(self):
        for shard in self.shards:
            await shard.close()

    async def open(self, host):
        opened = await open_shard(
            self.store, 3, host, host, self.executor, lambda *_: None, SETTINGS
        )
        self.shards.append(opened.unwrap())
        return opened.unwrap()

    async def create(self, **budget):
        operation = CreateProgram("p1", sample_kind(**budget))
        return (await self.shard.submit(operation, caller())).unwrap()


class OrderTest(ShardTestCase):
    async def test_turns_of_a_branch_run_in_order_with_their_history(self):
        for number in range(3):
            await self.shard.submit(turn(f"r{number}", f"m{number}"), caller())
        await wait_for_outcome(self.shard, "r2")
        prompts = [call.prompt for call in self.executor.calls]
        self.assertEqual([p[-1] for p in prompts], ["m0", "m1", "m2"])
        self.assertEqual(prompts[1][1:3], ("m0", answer_to(prompts[0])))

    async def test_call_after_a_failed_predecessor_is_rejected(self):
        self.executor.faults.fail_turns = 1
        await self.shard.submit(turn("r0", sequence=0), caller())
        await self.shard.submit(turn("r1", sequence=1), caller())
        outcome = await wait_for_outcome(self.shard, "r1")
        self.assertIs(outcome.failure().kind, ErrorKind.OUT_OF_ORDER)

    async def test_retried_turn_returns_the_same_answer_without_running(self):
        await self.shard.submit(turn("r0"), caller())
        first = await wait_for_outcome(self.shard, "r0")
        await self.shard.submit(turn("r0"), caller())
        second = await wait_for_outcome(self.shard, "r0")
        self.assertEqual(first, second)
        self.assertEqual(len(self.executor.calls), 1)

    async def test_request_id_with_other_content_is_rejected(self):
        await self.shard.submit(turn("r0", "a"), caller())
        await wait_for_outcome(self.shard, "r0")
        again = await self.shard.submit(turn("r0", "b"), caller())
        self.assertIs(again.failure().kind, ErrorKind.REQUEST_ID_REUSED)

    async def test_program_of_another_workspace_is_not_found(self):
        operation = GetProgram("p1", MAIN_BRANCH)
        other = caller(workspace="halvorsen")
        outcome = await self.shard.submit(operation, other)
        self.assertIs(outcome.failure().kind, ErrorKind.NOT_FOUND)

    async def test_branch_inherits_its_parents_history(self):
        await self.shard.submit(turn("r0", "m0"), caller())
        await wait_for_outcome(self.shard, "r0")
        await self.shard.submit(OpenBranch("p1", "sub"), caller())
        await self.shard.submit(turn("s0", "s", 0, "sub"), caller())
        await wait_for_outcome(self.shard, "s0")
        self.assertEqual(self.executor.calls[-1].prompt[1], "m0")


class BudgetTest(ShardTestCase):
    async def create(self, **budget):
        return await super().create(tokens=250, turns=2)

    async def test_turn_limit_ends_a_loop(self):
        for number in range(2):
            await self.shard.submit(turn(f"r{number}"), caller())
            await wait_for_outcome(self.shard, f"r{number}")
        await self.shard.submit(turn("r2"), caller())
        outcome = await wait_for_outcome(self.shard, "r2")
        self.assertIs(outcome.failure().kind, ErrorKind.BUDGET_EXCEEDED)
        self.assertEqual(len(self.executor.calls), 2)

    async def test_maximum_cost_is_reserved_across_branches(self):
        self.executor.faults.delay_s = 0.02
        for name in ("a", "b", "c"):
            await self.shard.submit(OpenBranch("p1", name), caller())
            await self.shard.submit(turn(name, "x", 0, name), caller())
        outcomes = [await wait_for_outcome(self.shard, n) for n in "abc"]
        rejected = [o for o in outcomes if hasattr(o, "failure")]
        self.assertEqual(len(self.executor.calls), 2)
        self.assertEqual(len(rejected), 3)


class CallBudgetTest(ShardTestCase):
    async def create(self, **budget):
        return await super().create(calls=2)

    async def test_turns_and_service_calls_share_the_limit_of_calls(self):
        # If turns and service calls were counted separately, a program could
        # make twice as many calls as its budget allows.
        await self.shard.submit(turn("r0"), caller())
        await wait_for_outcome(self.shard, "r0")
        await self.shard.submit(unrepeatable_call("f0"), caller())
        await wait_for_outcome(self.shard, "f0")
        await self.shard.submit(turn("r1"), caller())
        outcome = await wait_for_outcome(self.shard, "r1")
        self.assertIs(outcome.failure().kind, ErrorKind.BUDGET_EXCEEDED)


class UnrepeatableTest(ShardTestCase):
    def executions(self):
        return sum(self.executor.execution_count_by_key.values())

    async def test_retry_of_a_finished_call_does_not_execute_it_again(self):
        for _ in range(2):
            await self.shard.submit(unrepeatable_call("f0"), caller())
            outcome = await wait_for_outcome(self.shard, "f0")
        self.assertIsInstance(outcome.unwrap(), CallOutcome)
        self.assertEqual(self.executions(), 1)

    async def test_lost_response_is_unknown_and_never_sent_again(self):
        # The service ran the call, but its response was lost. Sending it
        # again would execute it twice.
        self.executor.faults.lose_answers = 1
        for _ in range(3):
            await self.shard.submit(unrepeatable_call("f0"), caller())
            outcome = await wait_for_outcome(self.shard, "f0")
            self.assertIs(outcome.failure().kind, ErrorKind.OUTCOME_UNKNOWN)
        self.assertEqual(self.executions(), 1)

    async def test_call_rejected_by_the_service_can_be_sent_again(self):
        self.executor.faults.refuse = 1
        await self.shard.submit(unrepeatable_call("f0"), caller())
        outcome = await wait_for_outcome(self.shard, "f0")
        self.assertIs(outcome.failure().kind, ErrorKind.NO_UPSTREAM)
        await self.shard.submit(unrepeatable_call("f0"), caller())
        outcome = await wait_for_outcome(self.shard, "f0")
        self.assertEqual(self.executions(), 1)

    async def test_call_sent_by_a_failed_owner_is_unknown(self):
        # The first owner committed the intent and sent the call. The new
        # owner finds the intent without an outcome and must not send it.
        self.executor.faults.delay_s = 60
        await self.shard.submit(unrepeatable_call("f0"), caller())
        while not self.executions():
            await asyncio.sleep(0.001)
        await self.shard.close()
        self.executor.faults.delay_s = 0
        new_owner = await self.open("host-2")
        await new_owner.submit(unrepeatable_call("f0"), caller())
        outcome = await wait_for_outcome(new_owner, "f0")
        self.assertIs(outcome.failure().kind, ErrorKind.OUTCOME_UNKNOWN)
        self.assertEqual(self.executions(), 1)

    async def test_new_owner_looks_up_the_outcome(self):
        self.executor.faults.delay_s = 60
        self.executor.faults.can_look_up = True
        await self.shard.submit(unrepeatable_call("f0"), caller())
        while not self.executions():
            await asyncio.sleep(0.001)
        await self.shard.close()
        new_owner = await self.open("host-2")
        await new_owner.submit(unrepeatable_call("f0"), caller())
        outcome = await wait_for_outcome(new_owner, "f0")
        self.assertEqual(outcome.unwrap().result, '"done file_permit"')
        self.assertEqual(self.executions(), 1)

    async def test_call_rejected_in_an_outage_has_its_intent_voided(self):
        # The caller is told that the call was not run, but the write of its
        # intent may take effect later. Unless the intent is voided, a retry
        # is not run and its outcome is reported as unknown.
        self.store.faults.down = True
        await self.shard.submit(unrepeatable_call("f0"), caller())
        outcome = await wait_for_outcome(self.shard, "f0")
        self.assertIs(outcome.failure().kind, ErrorKind.PLATFORM_UNAVAILABLE)
        self.assertEqual(self.executions(), 0)
        self.store.faults.down = False
        while self.shard.voiding_intents:
            await asyncio.sleep(0.01)
        await self.shard.submit(unrepeatable_call("f0"), caller())
        outcome = await wait_for_outcome(self.shard, "f0")
        self.assertIsInstance(outcome.unwrap(), CallOutcome)
        self.assertEqual(self.executions(), 1)


class TakeoverTest(ShardTestCase):
    async def test_former_owner_cannot_commit(self):
        # A paused owner resumes after a takeover and runs a turn. It must not
        # report the turn as not run, and the new owner has to run it on the
        # whole history.
        await self.shard.submit(turn("r0"), caller())
        await wait_for_outcome(self.shard, "r0")
        new_owner = await self.open("host-2")
        await self.shard.submit(turn("r1"), caller())
        outcome = await wait_for_outcome(self.shard, "r1")
        self.assertIs(outcome.failure().kind, ErrorKind.WRITE_UNKNOWN)
        late = await self.shard.submit(turn("r2"), caller())
        self.assertIs(late.failure().kind, ErrorKind.NOT_OWNER)
        await new_owner.submit(turn("r1"), caller())
        await wait_for_outcome(new_owner, "r1")
        view = await new_owner.submit(GetProgram("p1", MAIN_BRANCH), caller())
        ids = [item.request_id for item in view.unwrap().history]
        self.assertEqual(ids, ["r0", "r1"])

    async def test_paused_owner_detects_a_takeover_by_reading_the_head(self):
        self.assertIsInstance(await self.shard.check_ownership(), Success)
        await self.open("host-2")
        outcome = await self.shard.check_ownership()
        self.assertIs(outcome.failure().kind, ErrorKind.NOT_OWNER)
        self.assertFalse(self.shard.is_owned)

    async def test_own_write_with_a_lost_response_is_recognized(self):
        self.store.faults.lose_write_answers = 2
        await self.shard.submit(turn("r0"), caller())
        outcome = await wait_for_outcome(self.shard, "r0")
        self.assertTrue(outcome.unwrap().text)
        new_owner = await self.open("host-2")
        view = await new_owner.submit(GetProgram("p1", MAIN_BRANCH), caller())
        self.assertEqual(len(view.unwrap().history), 1)


class OutageTest(ShardTestCase):
    async def commit_in_outage(self, request_id):
        self.store.faults.down = True
        await self.shard.submit(turn(request_id), caller(0.05))
        return await wait_for_outcome(self.shard, request_id)

    async def history_ids(self):
        view = await self.shard.submit(GetProgram("p1", MAIN_BRANCH), caller())
        return [item.request_id for item in view.unwrap().history]

    async def test_turn_retried_while_its_commit_waits_runs_once(self):
        # The caller gets TIMED_OUT and retries while the commit still waits
        # for the platform. A second run would enter the history twice.
        outcome = await self.commit_in_outage("r0")
        self.assertIs(outcome.failure().kind, ErrorKind.TIMED_OUT)
        await self.shard.submit(turn("r0"), caller())
        self.store.faults.down = False
        while self.shard.in_flight:
            await asyncio.sleep(0.01)
        outcome = await wait_for_outcome(self.shard, "r0")
        self.assertTrue(outcome.unwrap().text)
        self.assertEqual(len(self.executor.calls), 1)
        self.assertEqual(await self.history_ids(), ["r0"])

    async def test_successor_waits_for_the_commit_before_it(self):
        # The first turn's caller timed out while the commit waits. A second
        # turn must not run yet: it would not see the first one's text, but
        # follow it in the history.
        await self.commit_in_outage("r0")
        await self.shard.submit(turn("r1", "m1"), caller())
        await asyncio.sleep(0.02)
        self.store.faults.down = False
        await wait_for_outcome(self.shard, "r1")
        self.assertEqual(len(self.executor.calls[-1].prompt), 4)
        self.assertEqual(await self.history_ids(), ["r0", "r1"])

    async def test_unknown_outcome_is_reported_during_an_outage(self):
        # The response of the call was lost and the platform is down. The
        # caller must not wait for the end of the outage.
        self.executor.faults.lose_answers = 1
        self.executor.faults.delay_s = 0.02
        await self.shard.submit(unrepeatable_call("f0"), caller())
        while not self.executor.execution_count_by_key:
            await asyncio.sleep(0.001)
        self.store.faults.down = True
        for _ in range(2):
            outcome = await wait_for_outcome(self.shard, "f0")
            self.assertIs(outcome.failure().kind, ErrorKind.OUTCOME_UNKNOWN)
            await self.shard.submit(unrepeatable_call("f0"), caller())


class EndTest(ShardTestCase):
    async def test_hung_replica_does_not_block_other_releases(self):
        # One replica never responds to its release. The memory of the others
        # must be freed, and the release of the hung one stays pending.
        self.executor.faults.hung_replicas.add("engine-0")
        self.shard.find("p1", WORKSPACE).replicas.update(
            ("engine-0", "engine-1")
        )
        await self.shard.submit(EndProgram("p1"), caller())
        program = self.shard.find("p1", WORKSPACE)
        while "engine-1" in program.replicas:
            await asyncio.sleep(0.001)
        self.assertEqual(program.replicas, {"engine-0"})

    async def test_call_cancelled_before_its_first_step_is_answered(self):
        # The program ends before the task of an accepted turn has run. Its
        # reader would wait forever if the stream were not finished.
        await self.shard.submit(turn("r0"), caller())
        await self.shard.submit(EndProgram("p1"), caller())
        outcome = await wait_for_outcome(self.shard, "r0")
        self.assertIs(outcome.failure().kind, ErrorKind.CANCELLED)
        self.assertEqual(self.shard.in_flight, 0)

    async def test_late_record_of_a_removed_program_is_skipped(self):
        # A lookup ends after its program was removed. Its record must not
        # prevent the next owner from opening the shard.
        late = CallFinished(
            "p1", MAIN_BRANCH, "f", "", "o", "", OutcomeStatus.DONE, ""
        )
        await self.shard.commit([ProgramForgotten("p1"), late])
        new_owner = await self.open("host-2")
        self.assertFalse(new_owner.state.program_by_id)

    async def test_negative_max_tokens_are_rejected(self):
        operation = SendTurn("p1", MAIN_BRANCH, "r0", "go", None, -10_000)
        await self.shard.submit(operation, caller())
        outcome = await wait_for_outcome(self.shard, "r0")
        self.assertIs(outcome.failure().kind, ErrorKind.BAD_REQUEST)

    async def test_creating_a_program_of_another_workspace_is_not_found(self):
        operation = CreateProgram("p1", sample_kind())
        outcome = await self.shard.submit(
            operation, caller(workspace="halvorsen")
        )
        self.assertIs(outcome.failure().kind, ErrorKind.NOT_FOUND)

    async def test_end_releases_engine_memory(self):
        await self.shard.submit(turn("r0"), caller())
        await wait_for_outcome(self.shard, "r0")
        view = await self.shard.submit(EndProgram("p1"), caller())
        self.assertEqual(view.unwrap().state, "finished")
        while self.shard.state.program_by_id["p1"].replicas:
            await asyncio.sleep(0.001)
        self.assertEqual(self.executor.released, {("p1", "engine-1")})
        late = await self.shard.submit(turn("r1"), caller())
        self.assertIs(late.failure().kind, ErrorKind.PROGRAM_ENDED)


if __name__ == "__main__":
    unittest.main()
