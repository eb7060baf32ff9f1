"""Tests of what hosts claim to know of the store, under faults in any order."""

import asyncio
import contextlib
import random
import unittest

from returns.result import Failure as Failed
from returns.result import Success

from masticdale_common import ErrorKind, Failure, Metrics
from masticdale_ledger.fallback_store import FallbackStore
from masticdale_ledger.peer_store import serve_store
from masticdale_ledger.shared_watches import SharedWatches
from masticdale_platform.testing import MemoryStore
from masticdale_programs import testing_time

PREFIX = "a/"
KEYS = [f"a/{n}" for n in range(6)]
SEEDS = range(150)
STEPS = 60
WAIT_S = 28.0
LONG_WAIT_S = 2.0
CALL_TIMEOUT_S = 0.7
PING_INTERVAL_S = 0.5
# A host whose path to the store was sound this long must know every change
# that is older than the bound.
SOUND_S = 3.0
BOUND_S = 2.0
# Time in which a claim may be ahead of the consumer.
MARGIN_S = 0.05


class Link:
    """A host's path to the store.

    Attributes:
        fails_from: Time since which calls fail; None while they are answered.
        is_silent: Whether failing calls are not answered at all.
        sound_since: Time from which calls are answered.
        responses_to_lose: Number of responses with changes to lose, of watches
            that wait for long.
    """

    def __init__(self, store):
        self.store = store
        self.fails_from = None
        self.is_silent = False
        self.sound_since = -SOUND_S
        self.responses_to_lose = 0
        self.waiting = set()

    def fail(self, is_silent):
        self.fails_from = asyncio.get_running_loop().time()
        self.is_silent = is_silent

    def heal(self):
        self.fails_from = None
        self.sound_since = asyncio.get_running_loop().time()

    def is_sound(self, now):
        return self.fails_from is None and now - self.sound_since > SOUND_S

    def cut_watches(self):
        for task in list(self.waiting):
            task.cancel()

    async def ping(self):
        return await self._call(self.store.read("a/none"))

    async def read(self, key):
        return await self._call(self.store.read(key))

    async def watch(self, prefix, position, wait_s):
        loop = asyncio.get_running_loop()
        until = loop.time() + CALL_TIMEOUT_S + (wait_s if position else 0.0)
        task = asyncio.ensure_future(self.store.watch(prefix, position, wait_s))
        if position:
            self.waiting.add(task)
        try:
            outcome = await self._call(task, until)
        except asyncio.CancelledError:
            if not task.cancelled() or asyncio.current_task().cancelling():
                raise
            return unavailable("cut")
        finally:
            task.cancel()
            self.waiting.discard(task)
        is_list = not position
        if isinstance(outcome, Failed) or is_list or wait_s < LONG_WAIT_S:
            return outcome
        batch = outcome.unwrap()
        if (batch.changed or batch.deleted_keys) and self.responses_to_lose:
            self.responses_to_lose -= 1
            await asyncio.sleep(until - loop.time())
            return unavailable("timed out")
        return outcome

    async def _call(self, call, until=None):
        loop = asyncio.get_running_loop()
        until = until or loop.time() + CALL_TIMEOUT_S
        call = asyncio.ensure_future(call)
        try:
            if self.fails_from is not None and not self.is_silent:
                return unavailable("status 503")
            outcome = await call
            if self.fails_from is None:
                return outcome
            if self.is_silent:
                await asyncio.sleep(max(0.0, until - loop.time()))
            return unavailable("no response")
        finally:
            call.cancel()


def unavailable(detail):
    return Failed(Failure(ErrorKind.PLATFORM_UNAVAILABLE, detail))


class Host:
    """A host that watches one prefix, and answers hosts that follow it."""

    def __init__(self, world, name, sources):
        self.world = world
        self.name = name
        self.sources = sources
        self.link = Link(world.store)
        self.is_silent = False
        self.start()

    def start(self):
        is_source = not self.sources
        self.version_by_key = {}
        self.shared = SharedWatches() if is_source else None
        self.store = FallbackStore(
            self.link,
            lambda: [h for h in self.world.hosts if h is not self],
            Metrics(),
            self.sources,
            self.shared,
            self.link.ping,
        )
        # Its own generator is not seeded.
        self.store._random = random.Random(self.world.random.random())
        self.tasks = [
            asyncio.create_task(self.follow_store()),
            asyncio.create_task(self.check_store()),
        ]

    def restart(self):
        for task in self.tasks:
            task.cancel()
        self.link.sound_since = asyncio.get_running_loop().time()
        self.start()

    async def check_store(self):
        while True:
            await asyncio.sleep(PING_INTERVAL_S)
            await self.store.check()

    async def follow_store(self):
        # As ``Watcher`` of masticdale_entry, on which this library can't rest.
        position = 0
        while True:
            outcome = await self.store.watch(PREFIX, position, WAIT_S)
            if isinstance(outcome, Failed):
                position = 0
                await self.store.wait_before_retry(random.uniform(0.05, 0.15))
                continue
            batch = outcome.unwrap()
            position = batch.position
            if batch.is_snapshot:
                self.version_by_key = {}
            for stored in batch.changed:
                self.version_by_key[stored.key] = stored.version
            for key in batch.deleted_keys:
                self.version_by_key.pop(key, None)

    async def call(self, rpc, request, timeout_s):
        del rpc
        if self.is_silent:
            await asyncio.sleep(timeout_s)
            return Failed(Failure(ErrorKind.PEER_UNAVAILABLE, "silent"))
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(timeout_s):
                reply = await serve_store(
                    self.link,
                    request,
                    self.shared,
                    can_relay=self.store.is_directly_reachable,
                )
                return Success(reply)
        return Failed(Failure(ErrorKind.PEER_UNAVAILABLE, "timed out"))


class World:
    """Two watch sources, two followers and one store."""

    def __init__(self, seed):
        self.random = random.Random(seed)
        self.store = MemoryStore()
        self.changes = []
        self.hosts = []

    async def begin(self):
        # A position of 0 means none.
        await self.change()
        sources = [Host(self, f"source-{n}", []) for n in range(2)]
        followers = [Host(self, f"follower-{n}", sources) for n in range(2)]
        self.hosts += sources + followers

    async def change(self):
        key = self.random.choice(KEYS)
        found = (await self.store.read(key)).unwrap()
        if found is None:
            await self.store.write(key, b"1", 0)
        elif self.random.random() < 0.5:
            await self.store.write(key, b"2", found.version)
        else:
            await self.store.delete(key, found.version)
        now = asyncio.get_running_loop().time()
        self.changes.append((now, key, (await self.store.read(key)).unwrap()))

    async def step(self):
        host = self.random.choice(self.hosts)
        match self.random.choice(
            ("change",) * 6
            + ("lose", "lose all", "cut", "fail", "heal", "silent", "restart")
        ):
            case "change":
                await self.change()
            case "lose":
                host.link.responses_to_lose += 1
            case "lose all":
                for other in self.hosts:
                    other.link.responses_to_lose = 1
            case "cut":
                host.link.cut_watches()
            case "fail":
                host.link.fail(is_silent=self.random.random() < 0.5)
            case "heal":
                for other in self.hosts:
                    other.is_silent = False
                    if other.link.fails_from is not None:
                        other.link.heal()
            case "silent":
                host.is_silent = not host.is_silent
            case "restart":
                host.restart()

    def check(self):
        now = asyncio.get_running_loop().time()
        for host in self.hosts:
            age_s = host.store.age_s(PREFIX)
            if host.link.is_sound(now):
                age_s = min(age_s, BOUND_S)
            latest = {
                key: stored
                for at, key, stored in self.changes
                if at <= now - age_s - MARGIN_S
            }
            changed_later = {
                key
                for at, key, _ in self.changes
                if at > now - age_s - MARGIN_S
            }
            for key in latest.keys() - changed_later:
                expected = latest[key].version if latest[key] else None
                if host.version_by_key.get(key) != expected:
                    raise AssertionError(
                        f"{host.name} at {now:.2f}: {key} is "
                        f"{host.version_by_key.get(key)}, not {expected}, "
                        f"at an age of {host.store.age_s(PREFIX):.2f} s"
                    )

    async def play(self):
        await self.begin()
        await asyncio.sleep(SOUND_S)
        for _ in range(STEPS):
            await self.step()
            for _ in range(self.random.randrange(1, 20)):
                await asyncio.sleep(0.1)
                self.check()
        for host in self.hosts:
            for task in host.tasks:
                task.cancel()


async def play(seed):
    random.seed(seed)
    await World(seed).play()


class WatchAgesTest(unittest.TestCase):
    def test_no_host_goes_by_older_state_than_it_claims(self):
        """Guards against old lists under lost, cut and failing watches.

        A host whose path to the store is sound may be two seconds behind, also
        if responses to all watches were lost or its watch sources are silent.
        """
        for seed in SEEDS:
            with self.subTest(seed=seed):
                testing_time.run(play(seed))


if __name__ == "__main__":
    unittest.main()
