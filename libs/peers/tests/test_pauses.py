"""Test of a real process that is paused beyond its lease."""

import asyncio
import pathlib
import signal
import sys
import unittest

import hosts
import paused_host

SCRIPT = pathlib.Path(paused_host.__file__)
TIMEOUT_S = 30.0


async def ignore_pause(seconds):
    pass


class PausedProcessTest(unittest.IsolatedAsyncioTestCase):
    async def wait_for_members(self, membership, names):
        async with asyncio.timeout(TIMEOUT_S):
            while membership.live_names() != names:
                await asyncio.sleep(0.05)

    async def test_a_stopped_process_goes_and_returns(self):
        # A host is paused with SIGSTOP while its sockets stay open. The other
        # host must remove it, and after SIGCONT it must detect the pause,
        # since its shards may have new owners, and become a member again.
        ports = [hosts.free_address().port for _ in range(2)]
        membership, server, timers = await paused_host.run_host(
            "a", *ports, ignore_pause
        )
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            str(SCRIPT),
            *(str(port) for port in reversed(ports)),
            stdout=asyncio.subprocess.PIPE,
        )
        try:
            await self.wait_for_members(membership, ("a", "b"))
            process.send_signal(signal.SIGSTOP)
            await self.wait_for_members(membership, ("a",))
            process.send_signal(signal.SIGCONT)
            async with asyncio.timeout(TIMEOUT_S):
                self.assertEqual(await process.stdout.readline(), b"paused\n")
            await self.wait_for_members(membership, ("a", "b"))
        finally:
            process.kill()
            await process.wait()
            await membership.close()
            await timers.close()
            await server.close(0.0)


if __name__ == "__main__":
    unittest.main()
