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
        # Shown as in flight just before it is sent; the service takes 1 s.
        await asyncio.sleep(IN_SOCKET_S)
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


class PausedOwnerTest(SystemCase):
    async def pause_past_lease(self, program, owner):
        self.process(owner).pause()
        self.addCleanup(self.process(owner).resume)
        await self.until_new_owner(program, owner)

    async def test_resumed_owner_does_not_answer_from_old_memory(self):
        # The owner stands still past its lease; another takes the shard and
        # acknowledges a turn. A read that waits in the old owner's socket is
        # the first thing it handles when it goes on: answered from memory,
        # the acknowledged turn would look lost.
        program = await self.begin()
        owner = await self.owner_of(program)
        elsewhere = self.client_of(*self.others(owner))
        await self.pause_past_lease(program, owner)
        await self.turn(program, "first", elsewhere)
        at_old = self.client_of(owner)
        read = asyncio.create_task(at_old.read(program, "main"))
        await asyncio.sleep(IN_SOCKET_S)
        self.process(owner).resume()
        view = (await read).unwrap()
        self.assertEqual([i.request_id for i in view.history], ["first"])

    async def test_resumed_owner_knows_programs_begun_meanwhile(self):
        # As above, but the program was begun at the new owner: the old one
        # has never heard of it and would say that it does not exist.
        known = await self.begin()
        owner = await self.owner_of(known)
        elsewhere = self.client_of(*self.others(owner))
        await self.pause_past_lease(known, owner)
        programs = [await self.begin(elsewhere) for _ in range(12)]
        at_old = self.client_of(owner)
        turns = [
            asyncio.create_task(self.turn(p, "first", at_old)) for p in programs
        ]
        await asyncio.sleep(IN_SOCKET_S)
        self.process(owner).resume()
        await asyncio.gather(*turns)
        for each in programs:
            await self.check_kept(each)
        self.assertNotIn(ErrorKind.NOT_FOUND, self.tally.count_by_refusal)

    async def test_turn_at_a_paused_owner_is_told_as_the_next_one_ran_it(self):
        # The caller's entry host is the owner itself and stands still in the
        # middle of the turn. The caller sends it again elsewhere and is
        # answered. The old owner goes on, but its commit is fenced off: its
        # caller gets the committed answer, and the turn stands once.
        program = await self.begin()
        owner = await self.owner_of(program)
        at_owner = self.client_of(owner)
        elsewhere = self.client_of(*self.others(owner))
        turn = asyncio.create_task(self.turn(program, "first", at_owner))
        await self.until_in_flight(program, elsewhere)
        await self.pause_past_lease(program, owner)
        answer = await self.turn(program, "first", elsewhere)
        self.process(owner).resume()
        late = await turn
        self.assertEqual(late.text, answer.text)
        self.ledger_by_id[program].acknowledged_by_branch["main"].pop()
        await self.check_kept(program)
        self.assertNotIn(ErrorKind.CANCELLED, self.tally.count_by_refusal)

    async def test_unrepeatable_call_at_a_paused_owner_runs_once(self):
        # A call waits in the paused owner's socket while the caller sends it
        # elsewhere and is told that it is done. When the old owner goes on,
        # its intent cannot be committed, so it must not send the call.
        program = await self.begin()
        owner = await self.owner_of(program)
        await self.turn(program, "first")
        elsewhere = self.client_of(*self.others(owner))
        await self.pause_past_lease(program, owner)
        at_old = self.client_of(owner)
        late = asyncio.create_task(self.call(program, "filing", at_old))
        await asyncio.sleep(IN_SOCKET_S)
        told = (await self.call(program, "filing", elsewhere)).unwrap()
        self.process(owner).resume()
        self.assertEqual((await late).unwrap().result, told.result)
        self.assertEqual(self.executions(program, "filing"), 1)


if __name__ == "__main__":
    unittest.main()
