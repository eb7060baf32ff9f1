"""Tests of graceful shutdown on SIGTERM."""

import asyncio
import unittest

from system_case import SystemCase

from masticdale_load.system_hosts import Balancer
from masticdale_load.system_plans import SystemPlan
from masticdale_load.system_runs import run_system

STOP_TIMEOUT_S = 30


class StopTest(SystemCase):
    async def test_stop_cuts_off_no_stream(self):
        # All streams through a stopping host, and those of its programs
        # through other hosts, must complete before the process exits with 0.
        # Turns have unique content: requests with the same content run one
        # at a time until one has succeeded.
        self.slow_down_engines()
        programs = [await self.create_program() for _ in range(6)]
        host = await self.owner_of(programs[0])
        host_client = self.client_for(host)
        elsewhere = self.client_for(*self.other_hosts(host))
        turns = [
            asyncio.create_task(
                self.send_turn(p, "first", client, f"turn of {p}")
            )
            for p, client in zip(
                programs, [elsewhere] + 5 * [host_client], strict=True
            )
        ]
        for program in programs:
            await self.wait_until_in_flight(program, elsewhere)
        process = self.process(host)
        process.terminate()
        await asyncio.gather(*turns)
        self.assertEqual(
            await asyncio.to_thread(process.wait, STOP_TIMEOUT_S), 0
        )
        self.restart(host)
        self.assertEqual(self.tally.broken, 0)
        self.assertEqual(self.tally.not_accepted, 0)
        self.assertFalse(self.tally.count_by_refusal)
        for program in programs:
            await self.check_history(program)

    async def test_stop_finishes_an_unrepeatable_call(self):
        # A host that stops during a call must report the outcome of the call,
        # and the service must run it once.
        program = await self.create_program()
        host = await self.owner_of(program)
        call = asyncio.create_task(
            self.send_unrepeatable_call(
                program, "filing", self.client_for(host)
            )
        )
        await self.wait_until_in_flight(program, self.client)
        process = self.process(host)
        process.terminate()
        self.assertEqual((await call).unwrap().status, "done")
        self.assertEqual(
            await asyncio.to_thread(process.wait, STOP_TIMEOUT_S), 0
        )
        self.restart(host)
        self.assertEqual(self.execution_count(program, "filing"), 1)

    async def test_stopping_host_is_unready_before_it_refuses(self):
        # A stopping host must keep serving callers until the load balancer can
        # see that it is not ready.
        program = await self.create_program()
        host = self.other_hosts()[0]
        handle = self.cluster.daemon_by_name[host]
        handle.process.terminate()
        balancer = Balancer({host: handle.callers_url})

        async def is_unready():
            return not await balancer.is_ready(host)

        await self.wait_until(is_unready, "the host to be unready")
        await self.send_turn(program, "late", self.client_for(host))
        self.assertEqual(self.tally.not_accepted, 0)
        await asyncio.to_thread(handle.process.wait, STOP_TIMEOUT_S)
        self.restart(host)
        await self.check_history(program)


class RollingRestartTest(unittest.TestCase):
    def test_restart_of_every_host_under_load_fails_no_request(self):
        # Hosts are restarted one by one under load: no request may be rejected
        # or interrupted, except at a closed listener before the balancer
        # notices.
        plan = SystemPlan(
            name="rolling restart",
            seed=3,
            hosts=3,
            engines=2,
            services=1,
            turns=500,
            programs_at_once=8,
            rolling_restart=True,
            most_s=45,
        )
        report = run_system(plan)
        self.assertTrue(report.is_clean, report)
        self.assertEqual(report.stops, plan.hosts)
        self.assertEqual(report.restart_broken, 0)
        refusals = {**report.restart_refusals}
        refusals.pop("budget_exceeded", None)
        self.assertEqual(refusals, {})


if __name__ == "__main__":
    unittest.main()
