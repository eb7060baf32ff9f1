"""Tests of calls that wait at an entry host for a free slot."""

import asyncio
import unittest

from case import IDEMPOTENT, NON_IDEMPOTENT, EntryCase

from masticdale_standins.replicas import ReplicaFault


class WaitingCallsTest(EntryCase):
    """Two replicas that report their slowdown and refuse when full."""

    async def asyncSetUp(self):
        await super().asyncSetUp()
        self.set_unary_replicas(load="1,0,8,100")
        for n in range(4):
            response = await self.send(IDEMPOTENT, f"first-{n}")
            self.assertEqual(response.status_code, 200)

    def seen(self, request_id):
        return [
            request
            for request in self.requests_seen(self.unary_replicas)
            if request.header_by_name["request-id"] == request_id
        ]

    def executed(self, request_id):
        return [
            request
            for replica in self.unary_replicas
            for request in replica.executed_requests
            if request.header_by_name["request-id"] == request_id
        ]

    async def dump(self):
        page = await self.host.fetch(self.host.ports[3], "/state")
        return page.json()

    async def wait_waiting(self, count):
        """Waits until a number of calls wait; one may be at a replica."""
        for _ in range(100):
            state = await self.dump()
            if state["waiting_calls"].get("desk", 0) >= count - 1:
                return
            await asyncio.sleep(0.01)
        self.fail(f"fewer than {count} calls wait")

    async def test_a_call_waits_while_all_are_full_for_200_ms(self):
        """Guards against a program lost to a burst of 200 ms."""
        self.set_unary_replicas(fault=ReplicaFault.OVERLOADED)
        began = asyncio.get_running_loop().time()
        sending = asyncio.create_task(self.send(NON_IDEMPOTENT, "r1"))
        await asyncio.sleep(0.2)
        self.assertFalse(sending.done())
        self.set_unary_replicas(fault=ReplicaFault.NONE)
        response = await sending
        self.assertEqual(response.status_code, 200)
        self.assertEqual(response.content, b"body of r1")
        self.assertLess(asyncio.get_running_loop().time() - began, 0.6)
        self.assertEqual(len(self.executed("r1")), 1)
        # Two replicas, each asked after 15, 22, 34, 51 ... ms.
        self.assertLess(len(self.seen("r1")), 20)

    async def test_a_call_is_refused_before_its_deadline(self):
        """Guards against an outcome that its caller can't know.

        All replicas are full for longer than the deadline. What has been
        refused must not be sent again.
        """
        self.set_unary_replicas(fault=ReplicaFault.OVERLOADED)
        began = asyncio.get_running_loop().time()
        response = await self.send(NON_IDEMPOTENT, "r1", Deadline_Ms="500")
        took_s = asyncio.get_running_loop().time() - began
        self.assertEqual(response.status_code, 503)
        self.assertEqual(response.json()["error"], "no_upstream")
        self.assertGreater(float(response.headers["retry-after"]), 0.2)
        self.assertGreater(took_s, 0.3)
        self.assertLess(took_s, 0.5)
        count = len(self.seen("r1"))
        self.set_unary_replicas(fault=ReplicaFault.NONE)
        await asyncio.sleep(0.3)
        self.assertEqual(len(self.seen("r1")), count)
        self.assertEqual(self.executed("r1"), [])

    async def test_many_waiting_calls_are_served_once_each(self):
        """Guards against calls lost, or run twice, after a burst."""
        self.set_unary_replicas(fault=ReplicaFault.OVERLOADED)
        sending = [
            asyncio.create_task(self.send(NON_IDEMPOTENT, f"r{n}"))
            for n in range(30)
        ]
        await self.wait_waiting(30)
        self.set_unary_replicas(fault=ReplicaFault.NONE)
        responses = await asyncio.gather(*sending)
        self.assertEqual({r.status_code for r in responses}, {200})
        for n in range(30):
            self.assertEqual(len(self.executed(f"r{n}")), 1)
        state = await self.dump()
        self.assertEqual(state["waiting_calls"]["desk"], 0)
        replica = state["replicas"][self.unary_replicas[0].id]
        self.assertEqual(replica["slowdown"], 1.0)
        self.assertIn("pace", replica)

    async def test_a_call_that_may_have_run_is_not_sent_again(self):
        """Guards against a call executed twice because it has waited."""
        self.set_unary_replicas(fault=ReplicaFault.OVERLOADED)
        sending = asyncio.create_task(self.send(NON_IDEMPOTENT, "r1"))
        await asyncio.sleep(0.1)
        self.set_unary_replicas(fault=ReplicaFault.RESET)
        response = await sending
        self.assertEqual(response.status_code, 502)
        self.assertEqual(len(self.executed("r1")), 1)

    async def test_a_caller_that_leaves_leaves_the_queue(self):
        """Guards against calls run for callers that are gone."""
        self.set_unary_replicas(fault=ReplicaFault.OVERLOADED)
        sending = asyncio.create_task(self.send(NON_IDEMPOTENT, "r1"))
        await asyncio.sleep(0.1)
        sending.cancel()
        await asyncio.wait({sending})
        await asyncio.sleep(0.05)
        state = await self.dump()
        self.assertEqual(state["waiting_calls"]["desk"], 0)
        self.set_unary_replicas(fault=ReplicaFault.NONE)
        await asyncio.sleep(0.2)
        self.assertEqual(self.executed("r1"), [])

    async def test_a_planned_stop_answers_those_that_wait(self):
        """Guards against 502 for a call that no replica has run."""
        self.set_unary_replicas(fault=ReplicaFault.OVERLOADED)
        sending = asyncio.create_task(self.send(NON_IDEMPOTENT, "r1"))
        relay = self.host.entry._relay
        # While a replica has it, a call counts as one that may have run.
        while relay.waiting_calls().get("desk") != 1:
            await asyncio.sleep(0.001)
        relay.give_up()
        response = await sending
        self.assertEqual(response.status_code, 503)
        self.assertEqual(response.json()["error"], "stopping")
        self.assertEqual(self.executed("r1"), [])

    async def test_a_call_is_not_sent_into_a_queue_that_is_too_long(self):
        """Guards against a call that times out, and may have run, in a queue.

        The replicas take 50 ms for a call and report 400 waiting ones.
        """
        self.set_unary_replicas(processing_s=0.05)
        # The calls before took about 1 ms, and a call that takes much longer
        # counts for little at first.
        for n in range(15):
            names = (f"slow-{n}-{other}" for other in range(4))
            await asyncio.gather(*(self.send(IDEMPOTENT, x) for x in names))
        self.set_unary_replicas(load="8,400,8,100")
        for n in range(4):
            await self.send(IDEMPOTENT, f"queued-{n}")
        response = await self.send(NON_IDEMPOTENT, "r1", Deadline_Ms="400")
        self.assertEqual(response.status_code, 503)
        self.assertGreater(float(response.headers["retry-after"]), 0.4)
        self.assertEqual(self.seen("r1"), [])

    async def test_one_replica_with_room_is_found(self):
        """Guards against a call that waits beside a free slot."""
        self.unary_replicas[0].behaviour.fault = ReplicaFault.OVERLOADED
        began = asyncio.get_running_loop().time()
        for n in range(10):
            response = await self.send(NON_IDEMPOTENT, f"r{n}")
            self.assertEqual(response.status_code, 200)
        self.assertLess(asyncio.get_running_loop().time() - began, 0.5)


class OtherServicesTest(EntryCase):
    async def test_a_service_without_the_fourth_figure_refuses_at_once(self):
        """Guards against waiting where it was not asked for."""
        for n in range(4):
            await self.send(IDEMPOTENT, f"first-{n}")
        self.set_unary_replicas(fault=ReplicaFault.OVERLOADED)
        began = asyncio.get_running_loop().time()
        response = await self.send(NON_IDEMPOTENT, "r1")
        self.assertEqual(response.status_code, 503)
        self.assertLess(asyncio.get_running_loop().time() - began, 0.3)
        self.assertEqual(len(self.requests_seen(self.unary_replicas)), 4 + 2)


if __name__ == "__main__":
    unittest.main()
