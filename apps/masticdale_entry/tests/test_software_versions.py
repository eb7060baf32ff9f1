"""Tests of streams while replicas of two software versions serve."""

import asyncio
import dataclasses
import re
import unittest.mock

import httpx
from case import HOST, STREAMING, EntryCase, event_ids, turn_headers

from masticdale_routing.versions import VersionHistory
from masticdale_standins.replicas import FakeReplica

OLD = "v1"
NEW = "v1.2"
EVENTS = 12
EVENT_INTERVAL_S = 0.08
# Most time until every stream has an event; a stream lasts longer, in seconds.
BEGIN_S = EVENTS * EVENT_INTERVAL_S
# Time until each host has heard of new replicas, and until the shards of a
# lost host answer again.
LIST_DELAY_S = 0.8
# Time from the loss of a host until its callers come back.
RETURN_DELAY_S = 0.1
# Most time for a refusal that waits for nothing, in seconds.
AT_ONCE_S = 0.5
# As the users' rules state it, the least share of streams that go on while two
# replicas of their version serve.
LEAST_RESUMED_SHARE = 0.5
# Factor by which time passes faster in what hosts know of versions.
CLOCK_SPEED = 100.0


@dataclasses.dataclass
class CallerStream:
    """What a caller has of one stream, over all of its requests.

    Attributes:
        request_id: The request that brought its first event.
        program: Its program; empty for none.
        events: Number and replica of each event.
        status: Status of the last response.
        is_complete: Whether a response ended as a whole.
        names_request: Whether the caller says which request began it.
    """

    request_id: str
    program: str = ""
    events: list[tuple[int, str]] = dataclasses.field(default_factory=list)
    status: int = 0
    is_complete: bool = False
    names_request: bool = True

    @property
    def has_gone_on(self):
        numbers = [number for number, _ in self.events]
        return self.is_complete and numbers == list(range(1, EVENTS + 1))


def events_in(text):
    """Returns number and replica of each whole event in a stream."""
    found = re.findall(r"data: piece (\d+)\.0 of \S+ by (\S+)\n\n", text)
    return [(int(number), replica) for number, replica in found]


class SoftwareVersionCase(EntryCase):
    """Three hosts, and three engines of each of two versions."""

    async def asyncSetUp(self):
        await self.start_stand_ins()
        self.version_by_id = {}
        for engine in self.engines:
            self.list_engine(engine, OLD)
        await self.add_engine(OLD)
        for _ in range(3):
            await self.add_engine(NEW)
        self.set_engines(events=EVENTS, event_interval_s=EVENT_INTERVAL_S)
        for number in range(3):
            await self.add_host(f"host-{number}")
        await self.wait_shards_owned()
        # Shards get their standbys a little later.
        await asyncio.sleep(LIST_DELAY_S)

    def list_engine(self, engine, version, **changes):
        self.version_by_id[engine.id] = version
        entry = engine.entry(version=version, **changes)
        self.store.put("servers", engine.id, entry)

    async def add_engine(self, version):
        engine = FakeReplica("engine", True)
        await engine.start()
        engine.behaviour = dataclasses.replace(self.engines[0].behaviour)
        self.engines.append(engine)
        self.list_engine(engine, version)
        return engine

    async def end_engine(self, engine):
        """Ends an engine for good, as a crash does."""
        self.engines.remove(engine)
        await engine.stop()
        self.store.remove("servers", engine.id)

    def engine_that_runs(self, request_id):
        (engine,) = (
            engine
            for engine in self.engines
            for request in engine.executed_requests
            if request.header_by_name["request-id"] == request_id
        )
        return engine

    def versions_of(self, stream):
        return {self.version_by_id[replica] for _, replica in stream.events}

    async def ask(self, stream, host, request_id):
        """Sends one request of a caller, and takes what it brings."""
        headers = {"Host": HOST}
        headers |= turn_headers(request_id, stream.program)
        if stream.events:
            headers["Last-Event-Id"] = str(stream.events[-1][0])
            if stream.names_request:
                headers["Resumes"] = stream.request_id
        text = ""
        before = list(stream.events)
        try:
            async with host.http.stream(
                "POST", STREAMING + stream.request_id, headers=headers
            ) as response:
                stream.status = response.status_code
                if response.status_code != 200:
                    return
                async for chunk in response.aiter_text():
                    text += chunk
                    stream.events = before + events_in(text)
            stream.is_complete = True
        except httpx.HTTPError:
            stream.is_complete = False

    def begin(self, stream, host):
        return asyncio.create_task(self.ask(stream, host, stream.request_id))

    async def wait_for_events(self, streams, within_s=BEGIN_S):
        async with asyncio.timeout(within_s):
            while not all(stream.events for stream in streams):
                await asyncio.sleep(EVENT_INTERVAL_S / 4)

    async def resume(self, stream, host, request_id="again"):
        await asyncio.sleep(RETURN_DELAY_S)
        await self.ask(stream, host, request_id)

    def assert_goes_on(self, stream):
        self.assertTrue(stream.has_gone_on, stream)
        self.assertEqual(len(self.versions_of(stream)), 1, stream)


class InterruptedStreamTest(SoftwareVersionCase):
    async def test_it_goes_on_at_the_version_that_began_it(self):
        """Guards against one answer with events of two versions."""
        for number in range(4):
            stream = CallerStream(f"s{number}")
            task = self.begin(stream, self.hosts[0])
            await self.wait_for_events([stream])
            engine = self.engine_that_runs(stream.request_id)
            version = self.version_by_id[engine.id]
            await self.end_engine(engine)
            await task
            self.assert_goes_on(stream)
            await self.add_engine(version)
            await asyncio.sleep(LIST_DELAY_S)


class ResumedStreamTest(SoftwareVersionCase):
    async def test_streams_of_a_lost_host_go_on_at_their_version(self):
        """Guards against events of two versions over a caller's requests."""
        await self.check_streams_of_a_lost_host("")

    async def test_turns_of_a_lost_host_go_on_at_their_version(self):
        """Guards against the same where the program's owner is lost too."""
        await self.check_streams_of_a_lost_host("p")

    async def test_callers_that_name_no_request_go_on_by_their_session(self):
        """Guards against refusing them, or going on at any version."""
        await self.check_streams_of_a_lost_host("p", names_request=False)

    async def check_streams_of_a_lost_host(self, program, **caller):
        lost, *others = self.hosts
        streams = [
            CallerStream(
                f"{program}s{n}", program and f"{program}{n}", **caller
            )
            for n in range(16)
        ]
        tasks = [self.begin(stream, lost) for stream in streams]
        await self.wait_for_events(streams)
        await lost.kill()
        await asyncio.gather(*tasks)
        await asyncio.gather(
            *(
                self.resume(stream, others[n % 2], f"{program}r{n}")
                for n, stream in enumerate(streams)
            )
        )
        mixed = [s for s in streams if len(self.versions_of(s)) > 1]
        self.assertEqual(mixed, [])
        resumed = sum(stream.has_gone_on for stream in streams)
        self.assertGreaterEqual(resumed, LEAST_RESUMED_SHARE * len(streams))

    async def interrupt(self, stream):
        """Breaks a stream off with its host; returns its engine."""
        task = self.begin(stream, self.hosts[0])
        await self.wait_for_events([stream])
        await self.hosts[0].kill()
        await task
        return self.engine_that_runs(stream.request_id)

    async def test_a_stream_resumed_twice_stays_at_its_version(self):
        """Guards against an origin that is known for one resumption only."""
        stream = CallerStream("s")
        await self.interrupt(stream)
        task = asyncio.create_task(self.resume(stream, self.hosts[1], "r1"))
        resumed_at = len(stream.events) + 2
        async with asyncio.timeout(2 * BEGIN_S):
            while len(stream.events) < resumed_at:
                await asyncio.sleep(EVENT_INTERVAL_S / 4)
        await self.hosts[1].kill()
        await task
        await self.resume(stream, self.hosts[2], "r2")
        self.assert_goes_on(stream)

    async def test_a_stream_whose_version_has_left_is_refused(self):
        """Guards against going on at another version, or waiting in vain."""
        stream = CallerStream("s")
        engine = await self.interrupt(stream)
        version = self.version_by_id[engine.id]
        for other in list(self.engines):
            if self.version_by_id[other.id] == version:
                await self.end_engine(other)
        await asyncio.sleep(LIST_DELAY_S)
        await self.assert_is_refused(stream)

    async def test_a_stream_that_no_host_knows_is_refused(self):
        """Guards against guessing which version began a stream."""
        await self.assert_is_refused(CallerStream("s", events=[(3, "i-0")]))

    async def assert_is_refused(self, stream):
        before = list(stream.events)
        began_at = asyncio.get_running_loop().time()
        await self.ask(stream, self.hosts[1], "refused")
        took_s = asyncio.get_running_loop().time() - began_at
        self.assertEqual((stream.status, stream.events), (503, before))
        self.assertLess(took_s, AT_ONCE_S)
        runs = [r for e in self.engines for r in e.executed_requests]
        ids = {run.header_by_name["request-id"] for run in runs}
        self.assertNotIn("refused", ids)

    async def test_a_replica_that_returns_at_another_version(self):
        """Guards against taking the id of a replica for its version."""
        stream = CallerStream("s")
        engine = await self.interrupt(stream)
        before = self.version_by_id[engine.id]
        await engine.stop()
        await engine.start()
        after = NEW if before == OLD else OLD
        self.list_engine(engine, after, born=1_800_000_000_000)
        self.version_by_id[engine.id] = before
        await asyncio.sleep(LIST_DELAY_S)
        events = len(stream.events)
        await self.resume(stream, self.hosts[1])
        self.assertTrue(stream.has_gone_on, stream)
        self.assertNotIn(engine.id, {i for _, i in stream.events[events:]})


class SingleVersionTest(EntryCase):
    async def asyncSetUp(self):
        # Otherwise hosts would have to run for as long as streams may last.
        update, known = VersionHistory.update, VersionHistory.known
        for name, method in (
            ("update", lambda h, now: update(h, CLOCK_SPEED * now)),
            ("known", lambda h, s, now: known(h, s, CLOCK_SPEED * now)),
        ):
            patch = unittest.mock.patch.object(VersionHistory, name, method)
            patch.start()
            self.addCleanup(patch.stop)
        await super().asyncSetUp()
        for engine in self.engines:
            entry = engine.entry()
            del entry["version"]
            self.store.put("servers", engine.id, entry)
        self.set_engines(events=EVENTS, event_interval_s=EVENT_INTERVAL_S)
        self.other = await self.add_host("host-2")
        await asyncio.sleep(LIST_DELAY_S)

    async def test_a_stream_of_a_lost_host_goes_on_without_messages(self):
        """Guards against refusing streams where one version has served.

        The engines list no version, and the lost host has told nobody.
        """
        headers = {"Host": HOST} | turn_headers("s")
        with self.assertRaises(httpx.HTTPError):
            async with self.host.http.stream(
                "POST", STREAMING, headers=headers
            ) as response:
                async for _ in response.aiter_text():
                    await self.host.kill()
        headers |= {"Request-Id": "r", "Resumes": "s", "Last-Event-Id": "2"}
        response = await self.other.http.post(STREAMING, headers=headers)
        self.assertEqual(response.status_code, 200)
        self.assertEqual(event_ids(response.text), list(range(3, EVENTS + 1)))
        self.assertEqual(self.other.entry.remembered_streams, 0)
