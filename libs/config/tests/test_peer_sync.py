"""Tests of catching up from peers."""

import asyncio
import unittest

from returns.result import Failure as Failed
from returns.result import Success

from masticdale_common import ErrorKind, Failure
from masticdale_config import ActiveConfig, catch_up_from_peers, testing

TIMEOUT_S = 20.0


class _Peer:
    """A peer at revision 1 that answers, fails or hangs."""

    def __init__(self, is_paused=False, is_down=False):
        self.active_config = testing.active_config(testing.engine("e", "m"))
        self.is_paused = is_paused
        self.is_down = is_down
        self.was_cancelled = False

    async def revisions_after(self, number):
        if self.is_paused:
            try:
                await asyncio.Event().wait()
            except asyncio.CancelledError:
                self.was_cancelled = True
                raise
        if self.is_down:
            return Failed(Failure(ErrorKind.PEER_UNAVAILABLE))
        return Success(self.active_config.export_after(number))


class CatchUpFromPeersTest(unittest.IsolatedAsyncioTestCase):
    async def catch_up(self, **source_by_host):
        self.active_config = ActiveConfig()
        async with asyncio.timeout(TIMEOUT_S):
            return await catch_up_from_peers(
                self.active_config, source_by_host, hedge_delay_s=0.001
            )

    async def test_a_paused_peer_does_not_delay_a_change(self):
        """Peers report a new revision by heartbeat, then some are paused.

        The host must not wait for the timeout of a paused peer while another
        peer could deliver the revision.
        """
        for _ in range(10):
            paused = [_Peer(is_paused=True) for _ in range(3)]
            answered = await self.catch_up(
                a=paused[0], b=paused[1], c=paused[2], d=_Peer()
            )
            self.assertTrue(answered)
            self.assertEqual(self.active_config.number, 1)
            pending = asyncio.all_tasks() - {asyncio.current_task()}
            self.assertEqual(pending, set())

    async def test_failing_peers_are_skipped(self):
        down = {name: _Peer(is_down=True) for name in "abc"}
        self.assertTrue(await self.catch_up(**down, d=_Peer()))
        self.assertFalse(await self.catch_up(**down))
        self.assertFalse(await self.catch_up())


if __name__ == "__main__":
    unittest.main()
