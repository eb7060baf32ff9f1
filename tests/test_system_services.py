"""Plain services that lose answers, refuse or cross them."""

import unittest

from returns.result import Failure as Failed
from system_case import DEPLOYMENT, SystemCase

from masticdale_common import ErrorKind
from masticdaled.callers.models import CallServiceBody


class ServicesTest(SystemCase):
    plan = SystemCase.plan.model_copy(update={"services": 2, "service_ms": 20})

    def services(self, **faults):
        self.addCleanup(self.reset)
        for process in self.cluster.service_by_name.values():
            self.cluster.faults(process, **faults)

    def reset(self):
        for process in self.cluster.service_by_name.values():
            self.cluster.faults(process)

    async def look_up_zone(self, program, request_id):
        self.ledger_by_id[program].sent_ids.add(request_id)
        body = CallServiceBody(
            request_id=request_id,
            operation=DEPLOYMENT.repeatable,
            payload=request_id,
        )
        return await self.client.call(program, body)

    async def test_lost_answer_of_a_repeatable_call_is_made_good(self):
        # The lookup runs and its connection breaks before the answer. It may
        # be repeated, so it is sent again: the caller has nothing to decide,
        # whereas "outcome unknown" would end its program.
        for fault in ({"lose_answers": 1}, {"cross_answers": 1}):
            with self.subTest(fault=fault):
                program = await self.begin()
                self.services(**fault)
                told = await self.look_up_zone(program, "lookup")
                self.assertEqual(told.unwrap().status, "done")
                await self.check_kept(program)

    async def test_repeatable_call_that_never_answers_can_be_sent_again(self):
        # Every answer is lost: the refusal gives a time to come back, and
        # the same request succeeds when the services are well again.
        program = await self.begin()
        self.services(lose_answers=1000)
        body = CallServiceBody(
            request_id="lookup",
            operation=DEPLOYMENT.repeatable,
            payload="lookup",
        )
        url = self.cluster.daemon_by_name["host-1"].callers_url
        path = f"/{program}/calls"
        told = await self.client.send_once(url, path, body, dict)
        self.assertIsInstance(told, Failed)
        self.assertEqual(told.failure().kind, ErrorKind.UPSTREAM_FAILED)
        self.assertIsNotNone(told.failure().retry_after_ms)
        self.reset()
        (await self.look_up_zone(program, "lookup")).unwrap()
        await self.check_kept(program)

    async def test_lost_answer_of_an_unrepeatable_call_is_looked_up(self):
        # The filing ran and its answer was lost or another's. It is not sent
        # again; the service tells by the idempotency key what became of it.
        for fault in ({"lose_answers": 2}, {"cross_answers": 2}):
            with self.subTest(fault=fault):
                program = await self.begin()
                self.services(**fault)
                told = await self.call(program, "filing")
                self.assertEqual(told.unwrap().status, "done")
                self.assertEqual(self.executions(program, "filing"), 1)

    async def test_call_refused_before_it_ran_goes_to_the_next_replica(self):
        # One replica of the service says that it did not run the filing, so
        # the other one may: it runs once in all.
        program = await self.begin()
        first = sorted(self.cluster.service_by_name)[0]
        self.addCleanup(self.reset)
        self.cluster.faults(
            self.cluster.service_by_name[first], refuse_before_running=1000
        )
        for number in range(2):
            told = await self.call(program, f"filing-{number}")
            self.assertEqual(told.unwrap().status, "done")
            self.assertEqual(self.executions(program, f"filing-{number}"), 1)


if __name__ == "__main__":
    unittest.main()
