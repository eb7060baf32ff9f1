"""Tests of streams that callers resume after a loss of all entry hosts."""

import asyncio
import unittest.mock

from test_software_versions import (
    NEW,
    OLD,
    CallerStream,
    SoftwareVersionCase,
)

from masticdale_entry import stream_holds
from masticdale_routing import routes, versions

STREAMS = 6
EVENTS = 40
EVENT_INTERVAL_S = 0.1
# Most time until every stream has an event on a busy machine, in seconds.
BEGIN_S = 8.0
# Lifetime of a stream by the timeouts of the routes, and a time after which
# a new host has watched the list for longer than that, in seconds.
LIFETIME_S = 0.2
WATCHED_S = 1.0


class LostHostsCase(SoftwareVersionCase):
    """Three hosts and two engines of each of two versions.

    ``lose_all`` ends all hosts and the old version at once; ``self.hosts`` are
    then three new ones.
    """

    async def asyncSetUp(self):
        await self.start_stand_ins()
        self.version_by_id = {}
        for engine in self.engines:
            self.list_engine(engine, OLD)
        for _ in range(2):
            await self.add_engine(NEW)
        self.set_engines(events=EVENTS, event_interval_s=EVENT_INTERVAL_S)
        for number in range(3):
            await self.add_host(f"host-{number}")

    async def begin_streams(self, program=""):
        streams = [
            CallerStream(f"s{n}", program and f"{program}{n}")
            for n in range(STREAMS)
        ]
        tasks = [self.begin(stream, self.hosts[0]) for stream in streams]
        await self.wait_for_events(streams, BEGIN_S)
        return streams, tasks

    async def lose_all(self, tasks):
        lost = list(self.hosts)
        await asyncio.gather(*(host.kill() for host in lost))
        await asyncio.gather(*tasks)
        for engine in list(self.engines):
            if self.version_by_id[engine.id] == OLD:
                await self.end_engine(engine)
        for host in lost:
            self.hosts.remove(host)
            await host.close()
        for number in range(3):
            await self.add_host(f"new-{number}")

    async def resume_all(self, streams):
        await asyncio.gather(
            *(
                self.ask(stream, self.hosts[n % 3], f"r{n}")
                for n, stream in enumerate(streams)
            )
        )

    def assert_none_is_mixed(self, streams):
        began_at_old = [s for s in streams if OLD in self.versions_of(s)]
        self.assertNotEqual(began_at_old, [], "no stream began at it")
        mixed = [s for s in streams if len(self.versions_of(s)) > 1]
        self.assertEqual(mixed, [])


class AtOnceTest(LostHostsCase):
    async def test_streams_that_are_named(self):
        """Guards against new hosts that take what they list for all."""
        streams, tasks = await self.begin_streams()
        await self.lose_all(tasks)
        await self.resume_all(streams)
        self.assert_none_is_mixed(streams)

    async def test_streams_that_are_known_by_their_session(self):
        """Guards against the same where callers name no request."""
        await self.wait_shards_owned()
        streams, tasks = await self.begin_streams("p")
        await self.lose_all(tasks)
        for stream in streams:
            stream.names_request = False
        await self.resume_all(streams)
        self.assert_none_is_mixed(streams)


class LongDeadlineTest(LostHostsCase):
    """The routes' timeouts allow for less time than callers wait."""

    async def asyncSetUp(self):
        factor = LIFETIME_S / 10
        for module, name, value in (
            (routes, "_DEADLINE_TIMEOUTS", factor),
            (versions, "MIN_HOLD_S", LIFETIME_S),
            (stream_holds, "MIN_HOLD_S", LIFETIME_S),
        ):
            patch = unittest.mock.patch.object(module, name, value)
            patch.start()
            self.addCleanup(patch.stop)
        await super().asyncSetUp()

    async def test_a_stream_is_resumed_after_the_lifetime_by_the_routes(self):
        """Guards against a time watched taken for what callers hold."""
        streams, tasks = await self.begin_streams()
        await self.lose_all(tasks)
        await asyncio.sleep(WATCHED_S)
        await self.resume_all(streams)
        self.assert_none_is_mixed(streams)
