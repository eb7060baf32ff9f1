"""Tests of services that lose or mix up responses, or reject calls."""

import unittest

from returns.result import Failure as Failed
from system_case import DEPLOYMENT, SystemCase

from masticdale_common import ErrorKind
from masticdaled.callers.models import CallServiceBody


class ServicesTest(SystemCase):
    plan = SystemCase.plan.model_copy(update={"services": 2, "service_ms": 20})

    def set_service_faults(self, **faults):
        self.addCleanup(self.clear_faults)
        for process in self.cluster.service_by_name.values():
            self.cluster.set_faults(process, **faults)

    def clear_faults(self):
        for process in self.cluster.service_by_name.values():
            self.cluster.set_faults(process)

    async def look_up_zone(self, program, request_id):
        self.ledger_by_id[program].sent_ids.add(request_id)
        body = CallServiceBody(
            request_id=request_id,
            operation=DEPLOYMENT.repeatable,
            payload=request_id,
        )
        return await self.client.call(program, body)

    async def test_lost_answer_of_a_repeatable_call_is_made_good(self):
        # A repeatable call whose response is lost must be retried rather than
        # reported as "outcome unknown", which would end the caller's program.
        for fault in ({"lose_answers": 1}, {"cross_answers": 1}):
            with self.subTest(fault=fault):
                program = await self.create_program()
                self.set_service_faults(**fault)
                outcome = await self.look_up_zone(program, "lookup")
                self.assertEqual(outcome.unwrap().status, "done")
                await self.check_history(program)

    async def test_repeatable_call_that_never_answers_can_be_sent_again(self):
        # When all responses are lost, the failure must carry a retry time, and
        # the same request must succeed after recovery.
        program = await self.create_program()
        self.set_service_faults(lose_answers=1000)
        body = CallServiceBody(
            request_id="lookup",
            operation=DEPLOYMENT.repeatable,
            payload="lookup",
        )
        url = self.cluster.daemon_by_name["host-1"].callers_url
        path = f"/{program}/calls"
        outcome = await self.client.send_once(url, path, body, dict)
        self.assertIsInstance(outcome, Failed)
        self.assertEqual(outcome.failure().kind, ErrorKind.UPSTREAM_FAILED)
        self.assertIsNotNone(outcome.failure().retry_after_ms)
        self.clear_faults()
        (await self.look_up_zone(program, "lookup")).unwrap()
        await self.check_history(program)

    async def test_lost_answer_of_an_unrepeatable_call_is_looked_up(self):
        # An unrepeatable call must not be resent; its outcome is looked up by
        # idempotency key.
        for fault in ({"lose_answers": 2}, {"cross_answers": 2}):
            with self.subTest(fault=fault):
                program = await self.create_program()
                self.set_service_faults(**fault)
                outcome = await self.send_unrepeatable_call(program, "filing")
                self.assertEqual(outcome.unwrap().status, "done")
                self.assertEqual(self.execution_count(program, "filing"), 1)

    async def test_call_refused_before_it_ran_goes_to_the_next_replica(self):
        # A replica reports that it did not run the call, so another one must
        # run it, exactly once.
        program = await self.create_program()
        first = sorted(self.cluster.service_by_name)[0]
        self.addCleanup(self.clear_faults)
        self.cluster.set_faults(
            self.cluster.service_by_name[first], refuse_before_running=1000
        )
        for number in range(2):
            outcome = await self.send_unrepeatable_call(
                program, f"filing-{number}"
            )
            self.assertEqual(outcome.unwrap().status, "done")
            self.assertEqual(
                self.execution_count(program, f"filing-{number}"), 1
            )


if __name__ == "__main__":
    unittest.main()
