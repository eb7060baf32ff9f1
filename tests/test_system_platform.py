"""Tests of platform outages."""

import asyncio
import time
import unittest

from returns.result import Failure as Failed
from returns.result import Success
from system_case import SystemCase

from masticdale_common import ErrorKind
from masticdaled.callers.models import CallAnswerBody, CallServiceBody

OUTAGE_S = 4.0
MAX_REJECTION_S = 15.0


class PlatformTest(SystemCase):
    def set_platform_faults(self, **faults):
        self.cluster.set_faults(self.cluster.platform, **faults)

    async def asyncSetUp(self):
        await super().asyncSetUp()
        self.addCleanup(self.set_platform_faults)

    async def test_unrepeatable_call_is_refused_truthfully(self):
        # Without the platform, the intent of a call cannot be committed, so the
        # call must be rejected as not run, with a retry time. A retry after the
        # outage must run it once.
        for fault in ({"down": True}, {"hang": True}):
            with self.subTest(fault=fault):
                program = await self.create_program()
                await self.send_turn(program, "first")
                self.set_platform_faults(**fault)
                failure = await self.call_without_retry(program, "filing")
                self.assertEqual(failure.kind, ErrorKind.PLATFORM_UNAVAILABLE)
                self.assertEqual(failure.ran, "no")
                self.assertGreater(failure.retry_after_ms, 0)
                await asyncio.sleep(self.plan.service_ms / 1000)
                self.assertEqual(self.execution_count(program, "filing"), 0)
                self.set_platform_faults()
                retry_outcome = await self.send_unrepeatable_call(
                    program, "filing"
                )
                self.assertIsInstance(retry_outcome, Success)
                self.assertEqual(self.execution_count(program, "filing"), 1)

    async def call_without_retry(self, program, request_id):
        body = CallServiceBody(
            request_id=request_id,
            operation="permits.file",
            payload=request_id,
        )
        started = time.monotonic()
        url = self.cluster.daemon_by_name["host-1"].callers_url
        self.ledger_by_id[program].sent_ids.add(request_id)
        outcome = await self.client.send_once(
            url, f"/{program}/calls", body, CallAnswerBody
        )
        self.assertIsInstance(outcome, Failed)
        self.assertLess(time.monotonic() - started, MAX_REJECTION_S)
        return outcome.failure()

    async def test_turns_of_an_outage_are_kept(self):
        # Turns acknowledged during or after an outage must be in the history
        # once and in order.
        program = await self.create_program()
        await self.send_turn(program, "before")
        self.set_platform_faults(down=True)
        recovery = asyncio.get_running_loop().call_later(
            OUTAGE_S, self.set_platform_faults
        )
        self.addCleanup(recovery.cancel)
        for number in range(3):
            await self.send_turn(program, f"during-{number}")
        view = await self.check_history(program)
        self.assertEqual(len(view.history), 4)

    async def test_lost_answers_of_writes_lose_and_double_nothing(self):
        # When the response to a write is lost, the owner must read back its own
        # write and neither give up the shard nor append the records twice.
        program = await self.create_program()
        self.set_platform_faults(lose_write_answers=6)
        for number in range(4):
            await self.send_turn(program, f"turn-{number}")
        outcome = await self.send_unrepeatable_call(program, "filing")
        self.assertIsInstance(outcome, Success)
        self.assertEqual(self.execution_count(program, "filing"), 1)
        view = await self.check_history(program)
        self.assertEqual(len(view.history), 5)
        self.assertEqual(view.turns_spent, 4)

    async def test_owner_killed_right_after_an_outage_loses_nothing(self):
        # A turn acknowledged near the end of an outage must survive the
        # immediate loss of its owner.
        program = await self.create_program()
        self.set_platform_faults(down=True)
        recovery = asyncio.get_running_loop().call_later(
            OUTAGE_S, self.set_platform_faults
        )
        self.addCleanup(recovery.cancel)
        owner = await self.read_owner_during_outage(program)
        elsewhere = self.client_for(*self.other_hosts(owner))
        await self.send_turn(program, "during", elsewhere)
        self.process(owner).kill()
        try:
            self.set_platform_faults()
            await self.send_turn(program, "after", elsewhere)
        finally:
            self.restart(owner)
        view = await self.check_history(program)
        self.assertEqual(
            [i.request_id for i in view.history], ["during", "after"]
        )

    async def read_owner_during_outage(self, program):
        self.set_platform_faults()
        owner = await self.owner_of(program)
        self.set_platform_faults(down=True)
        return owner


if __name__ == "__main__":
    unittest.main()
