"""Tests of the origins of streams at one host."""

import dataclasses
import unittest

from test_calls import create_call

from masticdale_common import ErrorKind, Metrics
from masticdale_gateway.codec import RequestMetadata
from masticdale_gateway.origins import OriginGuard
from masticdale_routing.routes import RouteKind
from masticdale_routing.versions import KnownVersions, StreamOrigin

NOTHING = (None, KnownVersions())
WATCH_S = 8.0
BOTH = KnownVersions({"v1": 0.0, "v2": 0.0}, WATCH_S)
ONLY_V1 = KnownVersions({"v1": 0.0}, WATCH_S)


class Origins:
    def __init__(self, found=NOTHING, required_s=WATCH_S):
        self.found = found
        self.required_s = required_s
        self.extended = []
        self.opened = []
        self.closed = []

    async def open(self, origin):
        self.opened.append(origin)

    async def extend(self, hold_s):
        self.extended.append(hold_s)

    async def required_watch_s(self, known):
        del known
        return self.required_s

    def close(self, request_id):
        self.closed.append(request_id)

    async def find(self, stream_key, service):
        self.asked = stream_key, service
        return self.found


def create_stream(resumes="", last_event_id="", session="", **route):
    call = create_call()
    fields = {"kind": RouteKind.STREAMING, "is_resumable": True} | route
    call.route = dataclasses.replace(call.route, **fields)
    call.metadata = RequestMetadata(
        "r2",
        program_id="p",
        session_id=session,
        last_event_id=last_event_id,
        resumed_request_id=resumes,
    )
    return call


class OriginGuardTest(unittest.IsolatedAsyncioTestCase):
    async def admit(self, call, found=NOTHING, required_s=WATCH_S):
        self.origins = Origins(found, required_s)
        return await OriginGuard(self.origins, Metrics()).admit(call)

    async def test_the_first_event_alone_sets_the_origin(self):
        """Guards against an origin that changes with an interruption."""
        origins = Origins()
        guard = OriginGuard(origins, Metrics())
        call = create_stream()
        first = StreamOrigin("r2", "desk", "v1", "i-1")
        for origin in (first, StreamOrigin("r2", "desk", "v1", "i-2")):
            await guard.record_first_event(call, origin)
        self.assertEqual((call.origin, origins.opened), (first, [first]))
        guard.finish(call)
        self.assertEqual(origins.closed, ["r2"])

    async def test_what_no_caller_resumes_is_not_announced(self):
        """Guards against messages for streams that are never resumed."""
        for route in ({"is_resumable": False}, {"retention_s": 60.0}):
            with self.subTest(route=route):
                origins = Origins()
                call = create_stream(**route)
                origin = StreamOrigin("r2", "desk", "v1")
                guard = OriginGuard(origins, Metrics())
                await guard.record_first_event(call, origin)
                self.assertEqual((call.origin, origins.opened), (origin, []))

    async def test_new_streams_and_other_calls_ask_nobody(self):
        for call in (create_stream(), create_call()):
            self.assertIsNone(await self.admit(call))
            self.assertFalse(hasattr(self.origins, "asked"))

    async def test_a_resumed_stream_keeps_its_origin(self):
        origin = StreamOrigin("r1", "desk", "v1", "i-1")
        call = create_stream("r1", "3")
        self.assertIsNone(await self.admit(call, (origin, BOTH)))
        self.assertEqual(call.origin, origin)
        self.assertEqual(self.origins.asked, ("r1", "desk"))

    async def test_a_caller_that_names_no_request_is_known_by_its_session(self):
        """Guards against refusing all streams of such callers."""
        origin = StreamOrigin("r1", "desk", "v1", "i-1", "/p/s")
        call = create_stream("", "3", session="s")
        self.assertIsNone(await self.admit(call, (origin, BOTH)))
        self.assertEqual(self.origins.asked, ("/p/s", "desk"))
        await self.admit(create_stream("r1", "3", session="s"), (origin, BOTH))
        self.assertEqual(self.origins.asked, ("r1", "desk"))

    async def test_a_sole_version_tells_where_any_stream_began(self):
        call = create_stream("r1", "3")
        self.assertIsNone(await self.admit(call, (None, ONLY_V1)))
        self.assertEqual(call.origin, StreamOrigin("r1", "desk", "v1"))

    async def test_a_version_that_was_watched_for_too_short_tells_nothing(self):
        """Guards against deadlines longer than the time watched.

        So it is while the store can't tell how long that must be.
        """
        for required_s in (WATCH_S + 0.1, None):
            with self.subTest(required_s=required_s):
                call = create_stream("r1", "3")
                failure = await self.admit(call, (None, ONLY_V1), required_s)
                self.assertEqual(failure.kind, ErrorKind.STREAM_ORIGIN_UNKNOWN)

    async def test_a_resumption_extends_the_time_that_callers_hold(self):
        """Guards against one that names a later deadline than the first."""
        origin = StreamOrigin("r1", "desk", "v1", "i-1")
        call = create_stream("r1", "3")
        call.metadata = dataclasses.replace(call.metadata, deadline_s=60.0)
        await self.admit(call, (origin, BOTH))
        self.assertEqual(self.origins.extended, [call.hold_s])
        self.assertGreater(call.hold_s, 60.0)

    def test_a_caller_without_a_deadline_waits_for_the_timeout(self):
        """Guards against streams without a time for which they are held."""
        call = create_stream()
        self.assertIsNone(call.metadata.deadline_s)
        self.assertGreaterEqual(call.hold_s, call.route.timeout_s)

    async def test_what_can_not_be_told_is_refused(self):
        """Guards against guessing the version of a stream.

        Several versions may have begun it, its request is not named, or it
        began at another service.
        """
        elsewhere = StreamOrigin("r1", "engine", "v1", "i-1")
        for resumes, found in (
            ("r1", (None, BOTH)),
            ("r1", NOTHING),
            ("", (None, BOTH)),
            ("r1", (elsewhere, BOTH)),
        ):
            with self.subTest(resumes=resumes, found=found):
                call = create_stream(resumes, "3")
                failure = await self.admit(call, found)
                self.assertEqual(failure.kind, ErrorKind.STREAM_ORIGIN_UNKNOWN)
                self.assertIsNone(call.origin)


if __name__ == "__main__":
    unittest.main()
