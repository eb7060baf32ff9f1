"""Tests of hosts that have not heard of a new software version yet."""

import asyncio

from case import HOST, EntryCase, configuration, route

from masticdale_routing.versions import MIN_HOLD_S

# Routes whose streams are held for no longer than the least time.
ROUTES = [
    route("/short/", "streaming", "engine", resumable=True, timeout_ms=2000)
]


class OutOfStepTest(EntryCase):
    """Guards against joining what two software versions have written.

    While a host is cut off from the others, a replica of a new version joins,
    and begins streams through other hosts. One of them is resumed here.
    """

    async def asyncSetUp(self):
        await self.start_stand_ins()
        config = configuration()
        config["routes"] = ROUTES
        self.store.put("config", "main", config)
        self.host = await self.add_host("host-1")
        # No other version was listed for as long as a caller holds a stream.
        await asyncio.sleep(MIN_HOLD_S + 1.0)

    async def resume(self):
        response = await self.host.http.post(
            "/short/x",
            headers={
                "Host": HOST,
                "Request-Id": "second",
                "Resumes": "first",
                "Last-Event-Id": "2",
                "Deadline-Ms": "1500",
            },
        )
        return response.status_code

    async def test_a_stream_goes_on_where_there_is_one_version(self):
        self.assertEqual(await self.resume(), 200)

    async def test_a_stream_of_a_version_that_is_not_known_yet_is_refused(self):
        self.store.faults.watch_responses_to_lose = 1
        entry = self.engines[0].entry(version="v2")
        self.store.put("servers", "i-new", entry)
        self.assertEqual(await self.resume(), 503)

    async def test_a_host_that_is_also_cut_off_from_the_store_refuses(self):
        self.store.faults.watch_responses_to_lose = 1
        await self.store.stop()
        self.assertEqual(await self.resume(), 503)
