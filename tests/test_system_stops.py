"""Planned stops on SIGTERM, on real processes."""

import asyncio
import unittest

from system_case import SystemCase

from masticdale_load.system_hosts import Balancer
from masticdale_load.system_plans import SystemPlan
from masticdale_load.system_runs import run_system

STOP_S = 30


class StopTest(SystemCase):
    async def test_stop_cuts_off_no_stream(self):
        # Turns stream through the host that is told to stop, of programs
        # that it owns and of programs owned elsewhere, and one of its own
        # streams through another host. All are answered whole on their
        # connections, then the process exits with 0.
        # Each turn has its own content: the same content runs one at a time
        # until it has once succeeded.
        self.slow_down_engines()
        programs = [await self.begin() for _ in range(6)]
        host = await self.owner_of(programs[0])
        at_host = self.client_of(host)
        elsewhere = self.client_of(*self.others(host))
        turns = [
            asyncio.create_task(self.turn(p, "first", client, f"turn of {p}"))
            for p, client in zip(
                programs, [elsewhere] + 5 * [at_host], strict=True
            )
        ]
        for program in programs:
            await self.until_in_flight(program, elsewhere)
        process = self.process(host)
        process.terminate()
        await asyncio.gather(*turns)
        self.assertEqual(await asyncio.to_thread(process.wait, STOP_S), 0)
        self.restart(host)
        self.assertEqual(self.tally.broken, 0)
        self.assertEqual(self.tally.not_accepted, 0)
        self.assertFalse(self.tally.count_by_refusal)
        for program in programs:
            await self.check_kept(program)

    async def test_stop_finishes_an_unrepeatable_call(self):
        # The service takes a second; the host is told to stop meanwhile. The
        # caller is told the outcome, and the service ran the call once.
        program = await self.begin()
        host = await self.owner_of(program)
        call = asyncio.create_task(
            self.call(program, "filing", self.client_of(host))
        )
        await self.until_in_flight(program, self.client)
        process = self.process(host)
        process.terminate()
        self.assertEqual((await call).unwrap().status, "done")
        self.assertEqual(await asyncio.to_thread(process.wait, STOP_S), 0)
        self.restart(host)
        self.assertEqual(self.executions(program, "filing"), 1)

    async def test_stopping_host_is_unready_before_it_refuses(self):
        # The balancer must notice first: while the host is unready it still
        # serves the callers that were sent there before.
        program = await self.begin()
        host = self.others()[0]
        handle = self.cluster.daemon_by_name[host]
        handle.process.terminate()
        balancer = Balancer({host: handle.callers_url})

        async def is_unready():
            return not await balancer.is_ready(host)

        await self.until(is_unready, "the host to be unready")
        await self.turn(program, "late", self.client_of(host))
        self.assertEqual(self.tally.not_accepted, 0)
        await asyncio.to_thread(handle.process.wait, STOP_S)
        self.restart(host)
        await self.check_kept(program)


class RollingRestartTest(unittest.TestCase):
    def test_restart_of_every_host_under_load_fails_no_request(self):
        # Callers go on through a balancer while each host in turn is stopped
        # with SIGTERM and started again. No request is refused or broken; a
        # closed listener met before the balancer noticed is not counted.
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
