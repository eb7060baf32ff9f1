"""Test of a real process that is stopped past its lease."""

import asyncio
import pathlib
import signal
import sys
import unittest

import hosts
import paused_host

SCRIPT = pathlib.Path(paused_host.__file__)
MOST_S = 30.0


async def nothing(seconds):
    pass


class PausedProcessTest(unittest.IsolatedAsyncioTestCase):
    async def until(self, membership, names):
        async with asyncio.timeout(MOST_S):
            while membership.live_names() != names:
                await asyncio.sleep(0.05)

    async def test_a_stopped_process_goes_and_returns(self):
        # A host's process is stopped; its sockets stay open and silent. It
        # leaves the other's view. Continued, it is told that it stood still,
        # since its shards may have new owners, and comes back as the same
        # process.
        ports = [hosts.free_address().port for _ in range(2)]
        membership, server, timers = await paused_host.run_host(
            "a", *ports, nothing
        )
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            str(SCRIPT),
            *(str(port) for port in reversed(ports)),
            stdout=asyncio.subprocess.PIPE,
        )
        try:
            await self.until(membership, ("a", "b"))
            process.send_signal(signal.SIGSTOP)
            await self.until(membership, ("a",))
            process.send_signal(signal.SIGCONT)
            async with asyncio.timeout(MOST_S):
                self.assertEqual(await process.stdout.readline(), b"paused\n")
            await self.until(membership, ("a", "b"))
        finally:
            process.kill()
            await process.wait()
            await membership.close()
            await timers.close()
            await server.close(0.0)


if __name__ == "__main__":
    unittest.main()
