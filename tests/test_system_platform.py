"""Outages of the platform's service, on real processes."""

import asyncio
import time
import unittest

from returns.result import Failure as Failed
from returns.result import Success
from system_case import SystemCase

from masticdale_common import ErrorKind
from masticdaled.callers.models import CallAnswerBody, CallServiceBody

OUTAGE_S = 4.0
FIRST_REFUSAL_S = 15.0


class PlatformTest(SystemCase):
    def platform(self, **faults):
        self.cluster.faults(self.cluster.platform, **faults)

    async def asyncSetUp(self):
        await super().asyncSetUp()
        self.addCleanup(self.platform)

    async def test_unrepeatable_call_is_refused_truthfully(self):
        # The platform is down, so the intent of a filing cannot be committed
        # and nothing may be sent. The caller is refused at once with a time
        # to come back; the refusal says that the call was not run. Sent
        # again under its id after the outage, it runs, once.
        for fault in ({"down": True}, {"hang": True}):
            with self.subTest(fault=fault):
                program = await self.begin()
                await self.turn(program, "first")
                self.platform(**fault)
                refusal = await self.call_once(program, "filing")
                self.assertEqual(refusal.kind, ErrorKind.PLATFORM_UNAVAILABLE)
                self.assertEqual(refusal.ran, "no")
                self.assertGreater(refusal.retry_after_ms, 0)
                await asyncio.sleep(self.plan.service_ms / 1000)
                self.assertEqual(self.executions(program, "filing"), 0)
                self.platform()
                done = await self.call(program, "filing")
                self.assertIsInstance(done, Success)
                self.assertEqual(self.executions(program, "filing"), 1)

    async def call_once(self, program, request_id):
        body = CallServiceBody(
            request_id=request_id,
            operation="permits.file",
            payload=request_id,
        )
        started = time.monotonic()
        url = self.cluster.daemon_by_name["host-1"].callers_url
        self.ledger_by_id[program].sent_ids.add(request_id)
        told = await self.client.send_once(
            url, f"/{program}/calls", body, CallAnswerBody
        )
        self.assertIsInstance(told, Failed)
        self.assertLess(time.monotonic() - started, FIRST_REFUSAL_S)
        return told.failure()

    async def test_turns_of_an_outage_are_kept(self):
        # Turns are sent while the platform is down. Whatever is acknowledged,
        # during the outage or after it, stands in the history once and in
        # order when the platform is back.
        program = await self.begin()
        await self.turn(program, "before")
        self.platform(down=True)
        back = asyncio.get_running_loop().call_later(OUTAGE_S, self.platform)
        self.addCleanup(back.cancel)
        for number in range(3):
            await self.turn(program, f"during-{number}")
        view = await self.check_kept(program)
        self.assertEqual(len(view.history), 4)

    async def test_lost_answers_of_writes_lose_and_double_nothing(self):
        # Writes take effect and their connections break: the owner reads
        # back, finds its own write, and neither gives the shard up nor
        # appends the records twice.
        program = await self.begin()
        self.platform(lose_write_answers=6)
        for number in range(4):
            await self.turn(program, f"turn-{number}")
        told = await self.call(program, "filing")
        self.assertIsInstance(told, Success)
        self.assertEqual(self.executions(program, "filing"), 1)
        view = await self.check_kept(program)
        self.assertEqual(len(view.history), 5)
        self.assertEqual(view.turns_spent, 4)

    async def test_owner_killed_right_after_an_outage_loses_nothing(self):
        # A turn is acknowledged around the end of an outage and its owner is
        # killed at once: the next owner must have it.
        program = await self.begin()
        self.platform(down=True)
        back = asyncio.get_running_loop().call_later(OUTAGE_S, self.platform)
        self.addCleanup(back.cancel)
        owner = await self.owner_before(program)
        elsewhere = self.client_of(*self.others(owner))
        await self.turn(program, "during", elsewhere)
        self.process(owner).kill()
        try:
            self.platform()
            await self.turn(program, "after", elsewhere)
        finally:
            self.restart(owner)
        view = await self.check_kept(program)
        self.assertEqual(
            [i.request_id for i in view.history], ["during", "after"]
        )

    async def owner_before(self, program):
        self.platform()
        owner = await self.owner_of(program)
        self.platform(down=True)
        return owner


if __name__ == "__main__":
    unittest.main()
