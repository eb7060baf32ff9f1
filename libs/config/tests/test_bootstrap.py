"""Tests of finding the newest revision before a host serves."""

import unittest

from returns.result import Failure as Failed
from returns.result import Success

from masticdale_common import ErrorKind, Failure
from masticdale_config import (
    ActiveConfig,
    ConfigStore,
    bootstrap_config,
    storage,
    testing,
)
from masticdale_platform.testing import MemoryStore

NEWEST = 7


class _Peer:
    """A peer that holds a revision and may be unreachable."""

    def __init__(self, revisions, is_reachable=True):
        self.active_config = ActiveConfig()
        self.active_config.apply_revisions(revisions).unwrap()
        self.is_reachable = is_reachable
        self.sent_bytes = 0

    async def revisions_after(self, number):
        if not self.is_reachable:
            return Failed(Failure(ErrorKind.PEER_UNAVAILABLE))
        export = self.active_config.export_after(number)
        self.sent_bytes += len(export.snapshot) + sum(
            map(len, export.revisions)
        )
        return Success(export)


class BootstrapTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.store = MemoryStore()
        operator = ConfigStore(self.store, ActiveConfig())
        for number in range(NEWEST):
            engine = testing.engine(f"e{number}", "m")
            change = testing.change(f"c{number}", testing.put(engine))
            (await operator.apply(change)).unwrap()
        stored = (await self.store.list(storage.REVISION_PREFIX)).unwrap()
        self.revisions = [item.value for item in stored]
        self.restarted = ActiveConfig()

    def peer(self, number, is_reachable=True):
        return _Peer(self.revisions[:number], is_reachable)

    async def bootstrap(self, **source_by_host):
        return await bootstrap_config(
            self.store, self.restarted, source_by_host
        )

    async def test_a_restart_in_an_outage_takes_the_newest_peer(self):
        """A host restarts during a platform outage; one of two peers lags.

        Had the host applied the first answer, its callers would be served an
        older configuration than before the restart.
        """
        self.store.faults.down = True
        self.assertTrue(
            await self.bootstrap(b=self.peer(5), c=self.peer(NEWEST))
        )
        self.assertEqual(self.restarted.number, NEWEST)

    async def test_a_restart_in_an_outage_waits_for_every_live_peer(self):
        """During a platform outage only a lagging peer answers.

        The host must not serve until the other live peer answers as well.
        """
        self.store.faults.down = True
        unreachable = self.peer(NEWEST, is_reachable=False)
        self.assertFalse(await self.bootstrap(b=self.peer(5), c=unreachable))
        unreachable.is_reachable = True
        self.assertTrue(await self.bootstrap(b=self.peer(5), c=unreachable))
        self.assertEqual(self.restarted.number, NEWEST)

    async def test_hosts_that_all_restarted_in_an_outage_do_not_serve(self):
        """Every host restarts during a platform outage and holds nothing.

        The hosts must not serve an empty configuration on the strength of one
        another's answers.
        """
        self.store.faults.down = True
        self.assertFalse(await self.bootstrap(b=self.peer(0), c=self.peer(0)))
        self.assertFalse(await self.bootstrap())

    async def test_a_stale_read_does_not_win_over_a_peer(self):
        """A stale read of the platform misses the last two revisions.

        The peers hold them, so the host must not serve without them.
        """
        for number in (NEWEST - 1, NEWEST):
            key = storage.revision_key(number)
            stored = (await self.store.read(key)).unwrap()
            await self.store.delete(key, stored.version)
        self.assertTrue(await self.bootstrap(b=self.peer(NEWEST)))
        self.assertEqual(self.restarted.number, NEWEST)

    async def test_the_platform_alone_suffices(self):
        unreachable = self.peer(NEWEST, is_reachable=False)
        self.assertTrue(await self.bootstrap(b=unreachable))
        self.assertEqual(self.restarted.number, NEWEST)

    async def test_only_one_peer_sends_the_configuration(self):
        self.store.faults.down = True
        peers = {f"host_{n}": self.peer(NEWEST) for n in range(5)}
        self.assertTrue(await self.bootstrap(**peers))
        senders = [peer for peer in peers.values() if peer.sent_bytes]
        self.assertEqual(len(senders), 1)


if __name__ == "__main__":
    unittest.main()
