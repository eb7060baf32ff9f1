"""Tests of hosts that tell each other where streams began."""

import asyncio
import dataclasses
import unittest

from returns.result import Failure as Failed
from returns.result import Success

from masticdale_common import ErrorKind, Failure, Metrics
from masticdale_ledger import Hosts, SharedOrigins
from masticdale_ledger.messages import (
    NOTE_STREAMS,
    FindStreamReply,
    FindStreamRequest,
)
from masticdale_routing.versions import KnownVersions, StreamOrigin

HOSTS = 6
SERVICE = "engine"
ORIGIN = StreamOrigin("r1", SERVICE, "v1", "i-1")
LIFETIME_S = 8.0
BOTH = KnownVersions({"v1": 0.0, "v2": 0.0}, LIFETIME_S)
ONLY_V1 = KnownVersions({"v1": 0.0}, LIFETIME_S)
# The wait of a first event for hosts that don't answer, and that of a resumed
# stream, with time for a busy machine.
MOST_WAIT_S = 0.5


class Hold:
    """``LongestHold`` of one host; ``recorded_s`` is what the store has."""

    def __init__(self):
        self.known_s = LIFETIME_S
        self.recorded_s = LIFETIME_S
        self.raised = []
        self.reads = 0

    async def raise_to(self, hold_s):
        self.raised.append(hold_s)

    async def read(self):
        self.reads += 1
        return self.recorded_s


class Versions:
    lifetime_s = LIFETIME_S

    def __init__(self):
        self.known_versions = BOTH

    def known(self, service, now):
        del service, now
        return self.known_versions


class Client:
    """Calls another host without a network."""

    def __init__(self, network, number):
        self.network = network
        self.number = number

    async def call(self, rpc, request, timeout_s):
        await asyncio.sleep(0)
        if self.number in self.network.silent:
            await asyncio.sleep(timeout_s)
        if self.number in self.network.silent | self.network.ended:
            return Failed(Failure(ErrorKind.PEER_UNAVAILABLE))
        origins = self.network.origins[self.number]
        if rpc is NOTE_STREAMS:
            self.network.notes += 1
            return Success(origins.receive(request))
        return Success(origins.answer(request))


class Network:
    def __init__(self):
        self.silent = set()
        self.ended = set()
        self.notes = 0
        self.versions = [Versions() for _ in range(HOSTS)]
        self.holds = [Hold() for _ in range(HOSTS)]
        self.origins = [
            SharedOrigins(
                OtherHosts(self, n), self.versions[n], Metrics(), self.holds[n]
            )
            for n in range(HOSTS)
        ]

    def set_known(self, known):
        for versions in self.versions:
            versions.known_versions = known


class OtherHosts(Hosts):
    def __init__(self, network, number):
        self.network = network
        self.number = number

    def client(self, address, port):
        del address
        return Client(self.network, port)

    def candidates(self):
        return [("h", n) for n in range(HOSTS) if n != self.number]


class SharedOriginsTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        self.network = Network()

    async def find(self, number, stream_key="r1"):
        return await self.network.origins[number].find(stream_key, SERVICE)

    def holders(self):
        return {n for n, o in enumerate(self.network.origins) if o.remembered}

    async def test_every_host_finds_a_stream_of_a_lost_one(self):
        """Guards against origins that are lost with the host that knew."""
        await self.network.origins[0].open(ORIGIN)
        self.network.ended = {0, max(self.holders())}
        for number in set(range(1, HOSTS)) - self.network.ended:
            origin, _ = await self.find(number)
            self.assertEqual(origin, ORIGIN)

    async def test_the_host_that_began_it_does_not_count(self):
        """Guards against an origin known only to the host that is lost."""
        await self.network.origins[0].open(ORIGIN)
        self.assertNotIn(0, self.holders())
        self.assertEqual(len(self.holders()), 2)

    async def test_an_unknown_stream_is_not_guessed(self):
        origin, known = await self.find(1)
        self.assertIsNone(origin)
        self.assertIsNone(known.sole_version(LIFETIME_S))

    async def test_nothing_is_sent_while_there_is_one_version(self):
        """Guards against messages for each stream of most deployments."""
        self.network.set_known(ONLY_V1)
        await self.network.origins[0].open(ORIGIN)
        self.assertEqual(self.network.notes, 0)
        _, known = await self.find(1)
        self.assertEqual(known.sole_version(LIFETIME_S), "v1")

    async def test_a_sole_version_is_not_taken_from_an_old_list(self):
        """Guards against a version that the host has not heard of."""
        self.network.set_known(ONLY_V1)

        async def is_list_current():
            return False

        self.network.origins[1]._is_list_current = is_list_current
        _, known = await self.find(1)
        self.assertIsNone(known.sole_version(LIFETIME_S))

    async def test_open_streams_are_announced_when_a_second_version_appears(
        self,
    ):
        """Guards against refusing all streams that a release interrupts."""
        self.network.set_known(ONLY_V1)
        ended = StreamOrigin("r0", SERVICE, "v1", "i-1")
        for origin in (ORIGIN, ended):
            await self.network.origins[0].open(origin)
        self.network.origins[0].close("r0")
        self.network.set_known(BOTH)
        for _ in range(2):
            self.network.origins[0].review()
        await asyncio.sleep(0.05)
        self.assertEqual(self.network.notes, 2)
        origin, _ = await self.find(1)
        self.assertEqual(origin, ORIGIN)

    async def test_a_host_that_knows_little_asks_those_that_know(self):
        """Guards against refusing all streams at a restarted host."""
        self.network.set_known(ONLY_V1)
        self.network.versions[1].known_versions = KnownVersions({"v1": 0.0})
        _, known = await self.find(1)
        self.assertEqual(known.sole_version(LIFETIME_S), "v1")

    async def test_a_version_that_another_host_has_seen_counts(self):
        """Guards against a host with an old list that knows one version."""
        self.network.set_known(ONLY_V1)
        self.network.versions[4].known_versions = BOTH
        _, known = await self.find(1)
        self.assertIsNone(known.sole_version(LIFETIME_S))

    async def test_silent_hosts_delay_no_stream_for_long(self):
        """Guards against a first event that waits for a cut off host."""
        self.network.silent = set(range(1, HOSTS))
        async with asyncio.timeout(MOST_WAIT_S):
            await self.network.origins[0].open(ORIGIN)
        async with asyncio.timeout(MOST_WAIT_S):
            self.assertEqual(await self.find(0), (None, BOTH))

    async def test_one_silent_host_delays_no_stream(self):
        """Guards against waiting for both announcements."""
        await self.network.origins[0].open(ORIGIN)
        self.network.silent = {min(self.holders())}
        loop = asyncio.get_running_loop()
        began_at = loop.time()
        other = StreamOrigin("r1", SERVICE, "v1", "i-2")
        await self.network.origins[0].open(other)
        self.assertLess(loop.time() - began_at, 0.05)

    async def test_a_session_finds_its_stream(self):
        """Guards against refusing callers that name no request."""
        for request_id, session in (("r1", "a"), ("r2", "b"), ("r3", "a")):
            origin = StreamOrigin(request_id, SERVICE, "v1", "i-1", session)
            await self.network.origins[0].open(origin)
        origin, _ = await self.find(1, "a")
        self.assertEqual(origin.software_version, "v1")

    async def test_a_session_of_two_versions_is_not_guessed(self):
        """Guards against resuming a stream at the version of the one before."""
        for request_id, version in (("r1", "v1"), ("r2", "v2")):
            origin = StreamOrigin(request_id, SERVICE, version, "i-1", "a")
            await self.network.origins[0].open(origin)
        self.assertEqual(await self.find(1, "a"), (None, BOTH))
        origin, _ = await self.find(1, "r1")
        self.assertEqual(origin.software_version, "v1")

    async def test_a_version_of_a_session_is_forgotten(self):
        """Guards against programs that stay ambiguous once they have moved."""
        for versions in self.network.versions:
            versions.lifetime_s = 0.05
        first = StreamOrigin("r1", SERVICE, "v1", "i-1", "a")
        await self.network.origins[0].open(first)
        await asyncio.sleep(0.1)
        second = StreamOrigin("r2", SERVICE, "v2", "i-2", "a")
        for versions in self.network.versions:
            versions.lifetime_s = 8.0
        await self.network.origins[0].open(second)
        origin, _ = await self.find(1, "a")
        self.assertEqual(origin, second)

    async def test_an_origin_is_remembered_until_the_deadline(self):
        """Guards against a caller that waits longer than most streams last.

        Another stream of its session must not shorten that.
        """
        for versions in self.network.versions:
            versions.lifetime_s = 0.01
        long = StreamOrigin("r1", SERVICE, "v1", "i-1", "a", hold_s=60.0)
        await self.network.origins[0].open(long)
        short = StreamOrigin("r2", SERVICE, "v1", "i-1", "a", hold_s=0.01)
        await self.network.origins[0].open(short)
        await asyncio.sleep(0.05)
        for key, found in (("r1", long), ("r2", None), ("a", short)):
            with self.subTest(key=key):
                origin, _ = await self.find(1, key)
                self.assertEqual(origin, found)

    async def test_a_stream_with_a_long_deadline_is_announced_in_any_case(self):
        """Guards against one that outlasts the time that hosts have watched."""
        self.network.set_known(ONLY_V1)
        await self.network.origins[0].open(
            dataclasses.replace(ORIGIN, hold_s=LIFETIME_S + 1.0)
        )
        self.assertEqual(self.network.notes, 2)

    async def test_long_deadlines_alone_are_recorded(self):
        """Guards against a call to the store for each stream."""
        hold = self.network.holds[0]
        for known in (BOTH, ONLY_V1):
            self.network.set_known(known)
            for hold_s in (1.0, LIFETIME_S, LIFETIME_S + 1.0):
                origin = dataclasses.replace(ORIGIN, hold_s=hold_s)
                await self.network.origins[0].open(origin)
        await self.network.origins[0].extend(LIFETIME_S)
        self.assertEqual(hold.raised, [LIFETIME_S + 1.0] * 2)
        await self.network.origins[0].extend(LIFETIME_S + 2.0)
        self.assertEqual(hold.raised[2:], [LIFETIME_S + 2.0])

    async def test_a_long_deadline_is_recorded_where_the_lifetime_is_longer(
        self,
    ):
        """Guards against a later configuration with a lower timeout."""
        for versions in self.network.versions:
            versions.lifetime_s = 20.0
        origin = dataclasses.replace(ORIGIN, hold_s=17.0)
        await self.network.origins[0].open(origin)
        self.assertEqual(self.network.holds[0].raised, [17.0])

    async def test_what_is_recorded_must_have_been_watched(self):
        """Guards against a time watched taken for what callers hold."""
        origins, hold = self.network.origins[0], self.network.holds[0]
        hold.recorded_s = 32.0
        self.assertEqual(await origins.required_watch_s(ONLY_V1), 32.0)
        hold.recorded_s = None
        self.assertIsNone(await origins.required_watch_s(ONLY_V1))

    async def test_the_record_is_not_read_in_vain(self):
        """Guards against calls to the store after a loss of all hosts."""
        origins, hold = self.network.origins[0], self.network.holds[0]
        for known in (BOTH, KnownVersions({"v1": 0.0}, 1.0)):
            required_s = await origins.required_watch_s(known)
            self.assertIsNone(known.sole_version(required_s))
        self.assertEqual(hold.reads, 0)

    async def test_another_host_answers_for_the_time_that_it_has_watched(self):
        """Guards against one that started after the version in question left.

        A host that is asked tells also of versions that left before the
        lifetime of most streams.
        """
        new = KnownVersions({"v2": 0.0}, 1.0)
        self.network.set_known(new)
        old = KnownVersions({"v2": 0.0, "v1": 30.0}, 100.0)
        self.network.versions[4].known_versions = old
        _, known = await self.find(1)
        self.assertEqual(known.sole_version(20.0), "v2")
        self.assertIsNone(known.sole_version(32.0))
        self.network.versions[4].known_versions = KnownVersions(
            {"v2": 0.0}, 20.0
        )
        _, known = await self.find(1)
        self.assertIsNone(known.sole_version(32.0))

    async def test_answers_of_and_for_hosts_of_before(self):
        """Guards against a rolling restart that trusts or misreads a host.

        Hosts of before don't tell how long they have watched.
        """
        old = KnownVersions({"v2": 0.0, "v1": 30.0}, 100.0)
        self.network.versions[4].known_versions = old
        origins = self.network.origins[4]
        reply = origins.answer(FindStreamRequest("r1", SERVICE))
        self.assertEqual(reply.versions, ("v2",))
        self.assertTrue(reply.versions_complete)
        self.network.set_known(KnownVersions())
        before = FindStreamReply((), ("v2",), versions_complete=True)
        origins.answer = lambda request: before
        _, known = await self.find(1)
        self.assertEqual(known, KnownVersions({"v2": 0.0}))

    async def test_contradictory_origins_count_as_none(self):
        """Guards against a request id that a caller uses twice."""
        for version in ("v1", "v2", "v1"):
            origin = StreamOrigin("r1", SERVICE, version)
            await self.network.origins[0].open(origin)
        origin, known = await self.find(1)
        self.assertIsNone(origin)
        self.assertIsNone(known.sole_version(LIFETIME_S))


if __name__ == "__main__":
    unittest.main()
