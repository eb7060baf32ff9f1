"""Tests of the soak's load generator; no host runs."""

import asyncio
import time
import types
import unittest

from masticdale_soak import load_generator
from masticdale_standins.testing import free_port

WORKERS = 6


def environment_without_hosts():
    """Returns an environment whose only host refuses connections."""
    host = types.SimpleNamespace(
        name="a",
        url=f"http://127.0.0.1:{free_port()}",
        incarnations=[1],
    )
    return types.SimpleNamespace(hosts=[host], version=1)


class ProgramNameTest(unittest.IsolatedAsyncioTestCase):
    async def programs_during(self, seconds):
        """Returns the programs that begin while all hosts are down."""
        generator = load_generator.LoadGenerator(environment_without_hosts(), 1)
        generator._deadline = time.monotonic() + seconds
        await asyncio.gather(
            *(generator._run_programs(n) for n in range(WORKERS))
        )
        await generator.close()
        return [attempt.program_id for attempt in generator.attempts]

    async def test_workers_pause_while_hosts_refuse_connections(self):
        """Guards against thousands of programs in the seconds of a loss."""
        programs = await self.programs_during(1.0)
        pauses = 1.0 / load_generator._PAUSE_S
        self.assertLessEqual(len(programs), WORKERS * (pauses + 1))

    async def test_no_two_workers_share_a_program(self):
        """Guards against an id that one worker uses after another.

        The second program's refusals then look untrue, since the first one's
        request of the same id has run.
        """
        names = [
            load_generator.program_name(worker, count)
            for worker in range(WORKERS)
            for count in range(1, 5_000)
        ]
        self.assertEqual(len(names), len(set(names)))


if __name__ == "__main__":
    unittest.main()
