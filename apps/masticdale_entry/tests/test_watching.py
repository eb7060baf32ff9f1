"""Tests of watching the store."""

import asyncio
import unittest

from masticdale_common import Metrics
from masticdale_entry.watching import Watcher, WatchTarget
from masticdale_ledger import FallbackStore
from masticdale_platform.testing import MemoryStore
from masticdale_programs import testing_time

# As many prefixes as a host watches.
PREFIXES = ("config/", "servers/", "shards/")
HOSTS = 200
# Short, so that all watches soon detect the outage.
WATCH_S = 0.2
# Long enough for the backoff to reach its maximum.
OUTAGE_S = 5.0
# Time in which an acknowledged change of the configuration must take effect,
# also right after an outage.
IN_FORCE_S = 2.0


class OutageRecoveryTest(unittest.TestCase):
    def test_all_watchers_see_the_end_of_an_outage(self):
        """Guards against outdated state for seconds after an outage.

        Once one watcher of a host reaches the store, the others must retry
        immediately instead of finishing their backoff.
        """
        delays_s = testing_time.run(simulate_outage())
        self.assertEqual(len(delays_s), HOSTS * len(PREFIXES))
        self.assertLess(max(delays_s), IN_FORCE_S, sorted(delays_s)[-10:])


async def simulate_outage():
    """Returns each watcher's delay, in seconds, from the end of the outage."""
    loop = asyncio.get_running_loop()
    store = MemoryStore()
    seen_at = []

    def record(batch, after_outage):
        if after_outage:
            seen_at.append(loop.time())

    for prefix in PREFIXES:
        (await store.write(f"{prefix}x", b"{}", 0)).unwrap()
    tasks = []
    for _ in range(HOSTS):
        host = FallbackStore(store, list, Metrics())
        for prefix in PREFIXES:
            target = WatchTarget(prefix, WATCH_S, record)
            watcher = Watcher(host, target, host.wait_before_retry)
            tasks.append(asyncio.create_task(watcher.run()))
    await asyncio.sleep(0.1)
    store.faults.down = True
    await asyncio.sleep(OUTAGE_S)
    store.faults.down = False
    recovered_at = loop.time()
    await asyncio.sleep(2 * IN_FORCE_S)
    for task in tasks:
        task.cancel()
    return [at - recovered_at for at in seen_at if at >= recovered_at]


if __name__ == "__main__":
    unittest.main()
