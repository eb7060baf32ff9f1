"""Tests of following the store by watches."""

import asyncio
import unittest

from masticdale_common import Metrics
from masticdale_entry.watching import Watcher, WatchTarget
from masticdale_ledger import FallbackStore
from masticdale_platform.testing import MemoryStore
from masticdale_programs import testing_time

# As many as a host follows.
PREFIXES = ("config/", "servers/", "shards/")
HOSTS = 200
# Short, so that all watches soon see that the store is away.
WATCH_S = 0.2
# Long enough for the pauses between tries to be at their longest.
OUTAGE_S = 5.0
# A change of the configuration is to be in force so long after it was
# acknowledged, also where it comes right after an outage.
IN_FORCE_S = 2.0


class ReturnTest(unittest.TestCase):
    def test_the_end_of_an_outage_is_seen_by_all_followers(self):
        """A host goes on with replicas that are gone, or an old configuration.

        The store is back and says so to one of a host's followers. The others
        slept on, up to 1.5 s, before they asked too; the first one had slept
        as long before it tried. In CI a replica that lapsed in an outage was
        still used 3.8 s after the end of it; its entry may be kept for 1.9 s
        after the host has read the list. Traced: the way to the store opened
        up to 1.5 s after its return, the list was read up to 1.8 s after it.
        """
        took_s = testing_time.run(end_an_outage())
        self.assertEqual(len(took_s), HOSTS * len(PREFIXES))
        self.assertLess(max(took_s), IN_FORCE_S, sorted(took_s)[-10:])


async def end_an_outage():
    """Returns how long each follower took to read the store after it."""
    loop = asyncio.get_running_loop()
    store = MemoryStore()
    seen_at = []

    def note(batch, after_outage):
        if after_outage:
            seen_at.append(loop.time())

    for prefix in PREFIXES:
        (await store.write(f"{prefix}x", b"{}", 0)).unwrap()
    tasks = []
    for _ in range(HOSTS):
        host = FallbackStore(store, list, Metrics())
        for prefix in PREFIXES:
            target = WatchTarget(prefix, WATCH_S, note)
            watcher = Watcher(host, target, host.wait_before_retry)
            tasks.append(asyncio.create_task(watcher.run()))
    await asyncio.sleep(0.1)
    store.faults.down = True
    await asyncio.sleep(OUTAGE_S)
    store.faults.down = False
    back_at = loop.time()
    await asyncio.sleep(2 * IN_FORCE_S)
    for task in tasks:
        task.cancel()
    return [at - back_at for at in seen_at if at >= back_at]


if __name__ == "__main__":
    unittest.main()
