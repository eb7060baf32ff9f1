"""Tests of failover from owners that are killed or paused."""

import asyncio
import unittest

from returns.result import Failure as Failed
from system_case import SystemCase

from masticdale_common import ErrorKind

DELIVERY_S = 0.3


class KilledOwnerTest(SystemCase):
    async def test_turn_in_flight_is_answered_by_the_next_owner(self):
        # The owner is killed before it commits the turn. The next owner must
        # run it again: one complete answer and one entry in the history.
        program = await self.create_program()
        await self.send_turn(program, "first")
        owner = await self.owner_of(program)
        elsewhere = self.client_for(*self.other_hosts(owner))
        turn = asyncio.create_task(self.send_turn(program, "second", elsewhere))
        await self.wait_until_in_flight(program, elsewhere)
        self.process(owner).kill()
        try:
            await turn
        finally:
            self.restart(owner)
        await self.check_history(program)

    async def test_unrepeatable_call_in_flight_is_not_sent_again(self):
        # The owner is killed between sending the call and recording its
        # outcome. The next owner finds the intent without an outcome and must
        # neither resend the call nor report that it did not run.
        program = await self.create_program()
        owner = await self.owner_of(program)
        elsewhere = self.client_for(*self.other_hosts(owner))
        call = asyncio.create_task(
            self.send_unrepeatable_call(program, "filing", elsewhere)
        )
        await self.wait_until_in_flight(program, elsewhere)
        # The call is reported in flight just before it is sent; it takes 1 s.
        await asyncio.sleep(DELIVERY_S)
        self.process(owner).kill()
        try:
            first_outcome = await call
            retry_outcome = await self.send_unrepeatable_call(
                program, "filing", elsewhere
            )
        finally:
            self.restart(owner)
        for outcome in (first_outcome, retry_outcome):
            if isinstance(outcome, Failed):
                self.assertEqual(
                    outcome.failure().kind, ErrorKind.OUTCOME_UNKNOWN
                )
        await asyncio.sleep(self.plan.service_ms / 1000)
        self.assertEqual(self.execution_count(program, "filing"), 1)


class PausedOwnerTest(SystemCase):
    async def pause_past_lease(self, program, owner):
        self.process(owner).pause()
        self.addCleanup(self.process(owner).resume)
        await self.wait_for_new_owner(program, owner)

    async def test_resumed_owner_does_not_answer_from_old_memory(self):
        # A paused owner loses its lease, and the new owner acknowledges a turn.
        # A read queued at the old owner must not be answered from stale memory
        # when it resumes.
        program = await self.create_program()
        owner = await self.owner_of(program)
        elsewhere = self.client_for(*self.other_hosts(owner))
        await self.pause_past_lease(program, owner)
        await self.send_turn(program, "first", elsewhere)
        old_owner_client = self.client_for(owner)
        read = asyncio.create_task(old_owner_client.read(program, "main"))
        await asyncio.sleep(DELIVERY_S)
        self.process(owner).resume()
        view = (await read).unwrap()
        self.assertEqual([i.request_id for i in view.history], ["first"])

    async def test_resumed_owner_knows_programs_begun_meanwhile(self):
        # The programs were created at the new owner while the old one was
        # paused; the old one must not report that they do not exist.
        known = await self.create_program()
        owner = await self.owner_of(known)
        elsewhere = self.client_for(*self.other_hosts(owner))
        await self.pause_past_lease(known, owner)
        programs = [await self.create_program(elsewhere) for _ in range(12)]
        old_owner_client = self.client_for(owner)
        turns = [
            asyncio.create_task(self.send_turn(p, "first", old_owner_client))
            for p in programs
        ]
        await asyncio.sleep(DELIVERY_S)
        self.process(owner).resume()
        await asyncio.gather(*turns)
        for each in programs:
            await self.check_history(each)
        self.assertNotIn(ErrorKind.NOT_FOUND, self.tally.count_by_refusal)

    async def test_turn_at_a_paused_owner_is_told_as_the_next_one_ran_it(self):
        # The owner is paused during a turn, which is retried at the new owner.
        # The commit of the resumed owner is fenced: its caller must get the
        # committed answer, and the turn must be in the history once.
        program = await self.create_program()
        owner = await self.owner_of(program)
        owner_client = self.client_for(owner)
        elsewhere = self.client_for(*self.other_hosts(owner))
        turn = asyncio.create_task(
            self.send_turn(program, "first", owner_client)
        )
        await self.wait_until_in_flight(program, elsewhere)
        await self.pause_past_lease(program, owner)
        answer = await self.send_turn(program, "first", elsewhere)
        self.process(owner).resume()
        old_owner_answer = await turn
        self.assertEqual(old_owner_answer.text, answer.text)
        self.ledger_by_id[program].acknowledged_by_branch["main"].pop()
        await self.check_history(program)
        self.assertNotIn(ErrorKind.CANCELLED, self.tally.count_by_refusal)

    async def test_unrepeatable_call_at_a_paused_owner_runs_once(self):
        # A call queued at the paused owner is executed by the new one. The
        # resumed owner cannot commit its intent and must not send the call.
        program = await self.create_program()
        owner = await self.owner_of(program)
        await self.send_turn(program, "first")
        elsewhere = self.client_for(*self.other_hosts(owner))
        await self.pause_past_lease(program, owner)
        old_owner_client = self.client_for(owner)
        old_owner_call = asyncio.create_task(
            self.send_unrepeatable_call(program, "filing", old_owner_client)
        )
        await asyncio.sleep(DELIVERY_S)
        committed = (
            await self.send_unrepeatable_call(program, "filing", elsewhere)
        ).unwrap()
        self.process(owner).resume()
        self.assertEqual(
            (await old_owner_call).unwrap().result, committed.result
        )
        self.assertEqual(self.execution_count(program, "filing"), 1)


if __name__ == "__main__":
    unittest.main()
