"""Tests of engines that crash, hang, mix up responses or drain."""

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
DRAIN_S = 3.0
OBSERVATION_S = 2.0
# Engines cache prefixes in full blocks of 64 tokens.
LONG_MESSAGE = "itinerary " * 100


class EnginesTest(SystemCase):
    async def asyncSetUp(self):
        await super().asyncSetUp()
        self.addCleanup(self.set_engine_faults)

    def set_engine_faults(self, **faults):
        for process in self.cluster.engine_by_name.values():
            self.cluster.set_faults(process, **faults)

    async def run_turn_with_faults(self, **faults):
        """Injects faults into the stream of a turn and returns its program."""
        program = await self.create_program()
        await self.send_turn(program, "first", message=f"first of {program}")
        # Slow enough to observe the turn in flight on a busy machine.
        self.set_engine_faults(slow_factor=SLOW_FACTOR)
        # Unique content, so that a crash in one test does not make the requests
        # of another test suspect.
        message = f"second of {program}"
        turn = asyncio.create_task(
            self.send_turn(program, "second", message=message)
        )
        await self.wait_until_in_flight(program, self.client)
        self.set_engine_faults(**faults, slow_factor=SLOW_FACTOR)
        await turn
        return program

    async def test_silent_stream_is_resumed(self):
        # Open connections hang while new ones work: the progress timeout must
        # resume the stream at its offset.
        await self.check_history(
            await self.run_turn_with_faults(freeze_streams=True)
        )

    async def test_crossed_answers_reach_no_caller(self):
        # Lines with the id of another request must be dropped and their
        # connection closed.
        await self.check_history(
            await self.run_turn_with_faults(cross_answers=4)
        )

    async def test_truncated_stream_is_not_taken_for_whole(self):
        # A stream without its end marker must not count as complete.
        await self.check_history(await self.run_turn_with_faults(truncate=2))

    async def test_crash_under_a_turn_is_not_seen_by_the_caller(self):
        # All engines crash during the turn and reject calls for a second.
        await self.check_history(
            await self.run_turn_with_faults(crash_now=True)
        )

    async def test_poison_request_crashes_two_engines_at_most(self):
        # A request that crashes engines is sent repeatedly under new ids. All
        # hosts must quarantine it after two crashes and serve other requests.
        before = await self.crash_count()
        self.set_engine_faults(crash_marker=MARKER)
        program = await self.create_program()
        innocent = await self.create_program()
        rejections = []
        for number in range(POISON_SENDS):
            host = f"host-{number % self.plan.hosts + 1}"
            body = SendTurnBody(
                request_id=f"poison-{number}",
                message=f"File the {MARKER}.",
                max_tokens=MAX_TOKENS,
            )
            outcome, _ = await asyncio.gather(
                self.client_for(host).turn(program, body),
                self.send_turn(innocent, f"innocent-{number}"),
            )
            self.assertIsInstance(outcome, Failed)
            rejections.append(outcome.failure().kind)
        self.assertEqual(set(rejections), {ErrorKind.QUARANTINED})
        self.assertLessEqual(await self.crash_count() - before, CRASHES_ALLOWED)
        await self.check_history(innocent)

    async def crash_count(self):
        stats = await self.engine_stats()
        return sum(each["crashes"] for each in stats.values())

    async def test_leaving_engine_gets_no_new_work(self):
        # An engine that announces that it is leaving must get no new calls
        # after three seconds, and no turn may fail.
        name, process = sorted(self.cluster.engine_by_name.items())[0]
        programs = [await self.create_program() for _ in range(6)]
        stop = asyncio.Event()
        load = asyncio.gather(
            *(self.send_turns_until(p, stop) for p in programs)
        )
        try:
            await asyncio.sleep(1)
            self.cluster.set_faults(process, leaving=True)
            await asyncio.sleep(DRAIN_S)
            before = (await self.engine_stats())[name]["calls"]
            await asyncio.sleep(OBSERVATION_S)
            after = (await self.engine_stats())[name]["calls"]
        finally:
            stop.set()
            await load
        self.assertEqual(after, before)
        for program in programs:
            await self.check_history(program)

    async def send_turns_until(self, program, stop):
        number = 0
        while not stop.is_set():
            await self.send_turn(program, f"turn-{number}")
            number += 1


class ReleaseTest(SystemCase):
    async def test_ended_program_leaves_no_engine_memory(self):
        # The end of a program must release its prefixes in the engines.
        program = await self.create_program()
        await self.send_turn(program, "first", message=LONG_MESSAGE)
        self.assertIn(program, await self.cached_programs())
        (await self.client.end(program)).unwrap()
        await self.wait_until_released(program)

    async def test_release_stays_owed_when_the_owner_dies(self):
        # The engines are paused, and the owner is killed before its release is
        # confirmed: the next owner must send the pending release.
        program = await self.create_program()
        await self.send_turn(program, "first", message=LONG_MESSAGE)
        self.assertIn(program, await self.cached_programs())
        owner = await self.owner_of(program)
        for process in self.cluster.engine_by_name.values():
            process.pause()
            self.addCleanup(process.resume)
        (await self.client.end(program)).unwrap()
        self.process(owner).kill()
        for process in self.cluster.engine_by_name.values():
            process.resume()
        # A release that the dead owner left in the socket may free the memory;
        # only a confirmation by the next owner shows that it was retried.
        try:
            await self.wait_until_released(program)
            await self.wait_until_confirmed(program, owner)
        finally:
            self.restart(owner)

    async def wait_until_confirmed(self, program, old_owner):
        """Waits until the journal of a new owner confirms the release."""

        async def is_confirmed():
            head = await self.head_of(program)
            return head.owner != old_owner and any(
                isinstance(record, ReleaseConfirmed)
                and record.program_id == program
                for record in head.tail
            )

        await self.wait_until(is_confirmed, "the next owner's confirmation")

    async def wait_until_released(self, program):
        async def is_released():
            return program not in await self.cached_programs()

        await self.wait_until(is_released, "the release of engine memory")


if __name__ == "__main__":
    unittest.main()
