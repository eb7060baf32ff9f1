"""Engines that crash, fall silent, cross answers or leave."""

import asyncio
import unittest

from returns.result import Failure as Failed
from system_case import MAX_TOKENS, SLOW_FACTOR, SystemCase

from masticdale_common import ErrorKind
from masticdale_programs.records import ReleaseConfirmed
from masticdaled.callers.models import SendTurnBody

MARKER = "poison-zone"
POISON_SENDS = 10
CRASHES_ALLOWED = 2
LEAVING_S = 3.0
WATCH_S = 2.0
# Engines keep whole blocks of 64 tokens only.
LONG_MESSAGE = "itinerary " * 100


class EnginesTest(SystemCase):
    async def asyncSetUp(self):
        await super().asyncSetUp()
        self.addCleanup(self.engines)

    def engines(self, **faults):
        for process in self.cluster.engine_by_name.values():
            self.cluster.set_faults(process, **faults)

    async def turn_under(self, **faults):
        """Runs a turn while a fault strikes its stream; returns its program."""
        program = await self.begin()
        await self.turn(program, "first", message=f"first of {program}")
        # Slow, so that the turn is surely found in flight on a busy machine.
        self.engines(slow_factor=SLOW_FACTOR)
        # Its content is this test's own: what a crash in one test makes a
        # suspect is apart from the others.
        message = f"second of {program}"
        turn = asyncio.create_task(
            self.turn(program, "second", message=message)
        )
        await self.until_in_flight(program, self.client)
        self.engines(**faults, slow_factor=SLOW_FACTOR)
        await turn
        return program

    async def test_silent_stream_is_resumed(self):
        # Every open connection of the engines goes silent for good while new
        # ones work. The progress timeout notices, the stream is resumed at
        # its offset, and the caller gets one whole answer.
        await self.check_kept(await self.turn_under(freeze_streams=True))

    async def test_crossed_answers_reach_no_caller(self):
        # The next lines carry another request's id: they are dropped, the
        # connection is closed, and the answer is the caller's own.
        await self.check_kept(await self.turn_under(cross_answers=4))

    async def test_truncated_stream_is_not_taken_for_whole(self):
        # Streams end without their end marker.
        await self.check_kept(await self.turn_under(truncate=2))

    async def test_crash_under_a_turn_is_not_seen_by_the_caller(self):
        # All engines crash under the turn and refuse calls for a second.
        await self.check_kept(await self.turn_under(crash_now=True))

    async def test_poison_request_crashes_two_engines_at_most(self):
        # A request crashes every engine that runs it, and its caller sends
        # it ten times under new ids through all hosts. After the second
        # crash it is refused at once everywhere; others are not harmed.
        before = await self.crashes()
        self.engines(crash_marker=MARKER)
        program = await self.begin()
        innocent = await self.begin()
        refusals = []
        for number in range(POISON_SENDS):
            host = f"host-{number % self.plan.hosts + 1}"
            body = SendTurnBody(
                request_id=f"poison-{number}",
                message=f"File the {MARKER}.",
                max_tokens=MAX_TOKENS,
            )
            told, _ = await asyncio.gather(
                self.client_of(host).turn(program, body),
                self.turn(innocent, f"innocent-{number}"),
            )
            self.assertIsInstance(told, Failed)
            refusals.append(told.failure().kind)
        self.assertEqual(set(refusals), {ErrorKind.QUARANTINED})
        self.assertLessEqual(await self.crashes() - before, CRASHES_ALLOWED)
        await self.check_kept(innocent)

    async def crashes(self):
        stats = await self.engine_stats()
        return sum(each["crashes"] for each in stats.values())

    async def test_leaving_engine_gets_no_new_work(self):
        # The engine itself says that it leaves while callers go on. Within
        # three seconds it gets its last new call; all turns are answered.
        name, process = sorted(self.cluster.engine_by_name.items())[0]
        programs = [await self.begin() for _ in range(6)]
        stop = asyncio.Event()
        load = asyncio.gather(*(self.turns(p, stop) for p in programs))
        try:
            await asyncio.sleep(1)
            self.cluster.set_faults(process, leaving=True)
            await asyncio.sleep(LEAVING_S)
            before = (await self.engine_stats())[name]["calls"]
            await asyncio.sleep(WATCH_S)
            after = (await self.engine_stats())[name]["calls"]
        finally:
            stop.set()
            await load
        self.assertEqual(after, before)
        for program in programs:
            await self.check_kept(program)

    async def turns(self, program, stop):
        number = 0
        while not stop.is_set():
            await self.turn(program, f"turn-{number}")
            number += 1


class ReleaseTest(SystemCase):
    async def test_ended_program_leaves_no_engine_memory(self):
        # The program's turns left prefixes in engines; its end frees them.
        program = await self.begin()
        await self.turn(program, "first", message=LONG_MESSAGE)
        self.assertIn(program, await self.held_programs())
        (await self.client.end(program)).unwrap()
        await self.until_released(program)

    async def test_release_stays_owed_when_the_owner_dies(self):
        # The engines stand still, so the release of an ended program cannot
        # reach them, and then its owner is killed. The next owner finds the
        # release owed in the journal and sends it when the engines go on.
        program = await self.begin()
        await self.turn(program, "first", message=LONG_MESSAGE)
        self.assertIn(program, await self.held_programs())
        owner = await self.owner_of(program)
        for process in self.cluster.engine_by_name.values():
            process.pause()
            self.addCleanup(process.resume)
        (await self.client.end(program)).unwrap()
        self.process(owner).kill()
        for process in self.cluster.engine_by_name.values():
            process.resume()
        # An engine may obey the dead owner's release, which waited in its
        # socket; only the next owner's confirmation shows the debt was kept.
        try:
            await self.until_released(program)
            await self.until_confirmed(program, owner)
        finally:
            self.restart(owner)

    async def until_confirmed(self, program, old):
        """Waits until another owner's journal says nothing is owed."""

        async def is_confirmed():
            head = await self.head_of(program)
            return head.owner != old and any(
                isinstance(record, ReleaseConfirmed)
                and record.program_id == program
                for record in head.tail
            )

        await self.until(is_confirmed, "the next owner's confirmation")

    async def until_released(self, program):
        async def is_released():
            return program not in await self.held_programs()

        await self.until(is_released, "the release of engine memory")


if __name__ == "__main__":
    unittest.main()
