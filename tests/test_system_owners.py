"""Owners that are killed or paused, on real processes."""

import asyncio
import unittest

from returns.result import Failure as Failed
from system_case import SystemCase

from masticdale_common import ErrorKind

IN_SOCKET_S = 0.3


class KilledOwnerTest(SystemCase):
    async def test_turn_in_flight_is_answered_by_the_next_owner(self):
        # The caller streams a turn through another host when the owner is
        # killed with SIGKILL. Nothing of the turn was committed, so the next
        # owner runs it again under the same request id: the caller sees the
        # text begin anew, one whole answer, and one entry in the history.
        program = await self.begin()
        await self.turn(program, "first")
        owner = await self.owner_of(program)
        elsewhere = self.client_of(*self.others(owner))
        turn = asyncio.create_task(self.turn(program, "second", elsewhere))
        await self.until_in_flight(program, elsewhere)
        self.process(owner).kill()
        try:
            await turn
        finally:
            self.restart(owner)
        await self.check_kept(program)

    async def test_unrepeatable_call_in_flight_is_not_sent_again(self):
        # The owner is killed between the call's sending and its outcome. The
        # caller's connection breaks or its entry host asks the next owner,
        # which finds the intent without an outcome and must not send it: the
        # service runs it once, and nobody is told that it was not run.
        program = await self.begin()
        owner = await self.owner_of(program)
        elsewhere = self.client_of(*self.others(owner))
        call = asyncio.create_task(self.call(program, "filing", elsewhere))
        await self.until_in_flight(program, elsewhere)
        self.process(owner).kill()
        try:
            told = await call
            again = await self.call(program, "filing", elsewhere)
        finally:
            self.restart(owner)
        for outcome in (told, again):
            if isinstance(outcome, Failed):
                self.assertEqual(
                    outcome.failure().kind, ErrorKind.OUTCOME_UNKNOWN
                )
        await asyncio.sleep(self.plan.service_ms / 1000)
        self.assertEqual(self.executions(program, "filing"), 1)


if __name__ == "__main__":
    unittest.main()
