"""Tests of the ownership checks before answers from memory."""

import asyncio
import unittest

from returns.result import Failure as Failed
from returns.result import Success

from masticdale_common import ErrorKind, Failure
from masticdale_programs import testing_time
from masticdaled.shards.ownership_checks import Ownership, OwnershipChecks

NOT_OWNER = Failed(Failure(ErrorKind.NOT_OWNER))
UNAVAILABLE = Failed(Failure(ErrorKind.PLATFORM_UNAVAILABLE))
# A pause past the lease, in seconds.
PAUSE_S = 4.0


class FakeShard:
    """A shard whose ownership checks return the given delays and outcomes."""

    number = 3

    def __init__(self, *answers):
        self.answers = list(answers)
        self.is_owned = True

    async def check_ownership(self):
        delay_s, answer = self.answers.pop(0)
        await asyncio.sleep(delay_s)
        if answer is NOT_OWNER:
            self.is_owned = False
        return answer


class PausedHostTest(unittest.TestCase):
    """Stale reads at an owner that was paused past its lease.

    Another host takes over the shard meanwhile and acknowledges a turn, which a
    read at the resumed owner must not miss.
    """

    def check_after_pause(self, shard, renewed_at_s):
        async def ask():
            checks = OwnershipChecks()
            loop = asyncio.get_running_loop()
            checks.record_takeover(shard.number, loop.time())
            await asyncio.sleep(renewed_at_s)
            checks.renew_aging([shard])
            await asyncio.sleep(PAUSE_S)
            return await checks.check(shard)

        return testing_time.run(ask())

    def test_check_started_before_the_pause_is_not_used(self):
        """A check from before the takeover completes after the pause."""
        shard = FakeShard((PAUSE_S + 0.1, Success(None)), (0.01, NOT_OWNER))
        self.assertIs(self.check_after_pause(shard, 0.8), Ownership.LOST)

    def test_slow_check_is_waited_for(self):
        """The platform is slow, which must not count as an outage."""
        shard = FakeShard((0.01, Success(None)), (0.8, NOT_OWNER))
        self.assertIs(self.check_after_pause(shard, 0.8), Ownership.LOST)

    def test_known_outage_shortens_the_wait(self):
        """Guards against reads that each wait for a timeout in an outage."""

        async def ask():
            checks = OwnershipChecks()
            loop = asyncio.get_running_loop()
            shard = FakeShard((2.0, UNAVAILABLE), (2.0, UNAVAILABLE))
            checks.record_takeover(shard.number, loop.time())
            await asyncio.sleep(1.0)
            checks.renew_aging([shard])
            await asyncio.sleep(2.1)
            began = loop.time()
            outcome = await checks.check(shard)
            return outcome, loop.time() - began

        outcome, took_s = testing_time.run(ask())
        self.assertIs(outcome, Ownership.UNKNOWN)
        self.assertLess(took_s, 0.6)


if __name__ == "__main__":
    unittest.main()
