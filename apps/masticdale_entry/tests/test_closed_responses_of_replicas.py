"""Tests of replicas that end a connection in the middle of a response."""

import asyncio
import unittest
import urllib.parse
from typing import ClassVar
from unittest import mock

import case
import httpx
from case import HOST, IDEMPOTENT, NON_IDEMPOTENT, STREAMING
from kept_case import KEPT, KeptCase

from masticdale_standins.raw_http import encode_response
from masticdale_standins.replicas import FakeReplica

EVENTS = 3
# Requests under way at a time; more would wait for slots.
AT_ONCE = 8
INTERIM = b"HTTP/1.1 103 Early Hints\r\nNote: a\r\n\r\n"
# Which cuts are tried: each one is tried at the reader.
CUT_STEPS = {STREAMING: 2, KEPT: 3}
# How a response is framed.
LENGTH, CHUNKS, CLOSE = "length", "chunks", "close"


class CuttingReplica(FakeReplica):
    """A replica that ends its connections where a request's target says.

    The query has the framing of the response, whether an interim response
    comes first, after how many bytes the connection is closed or reset, and in
    how many attempts.
    """

    attempts_by_id: ClassVar[dict[str, int]] = {}

    async def _respond(self, request, connection):
        query = urllib.parse.urlsplit(request.target).query
        options = dict(urllib.parse.parse_qsl(query))
        if "framing" not in options:
            await super()._respond(request, connection)
            return
        self.executed_requests.append(request)
        request_id = request.header_by_name["request-id"]
        attempts = self.attempts_by_id.get(request_id, 0) + 1
        self.attempts_by_id[request_id] = attempts
        data = self.encode(request, options)
        if attempts > int(options["attempts"]):
            await connection.write(data)
            if options["framing"] == CLOSE:
                connection.close()
            return
        await connection.write(data[: int(options["cut"])])
        if options["end"] == "reset":
            # Bytes that the kernel still holds are dropped by a reset.
            await asyncio.sleep(0.002)
            connection.reset()
        else:
            connection.close()

    def encode(self, request, options):
        """Returns the bytes of the whole response."""
        headers = self._headers(request)
        request_id = headers["Request-Id"]
        parts = [b"body of " + request_id.encode()]
        if self._is_stream:
            first = int(request.header_by_name.get("last-event-id") or 0) + 1
            parts = [event(n) for n in range(first, EVENTS + 1)]
        interim = INTERIM if options.get("interim") else b""
        if options["framing"] == LENGTH:
            return interim + encode_response(200, headers, b"".join(parts))
        lines = "".join(f"{k}: {v}\r\n" for k, v in headers.items())
        head = interim + f"HTTP/1.1 200 OK\r\n{lines}".encode()
        if options["framing"] == CLOSE:
            return head + b"\r\n" + b"".join(parts)
        chunks = b"".join(b"%x\r\n%b\r\n" % (len(p), p) for p in parts)
        head += b"Transfer-Encoding: chunked\r\n\r\n"
        return head + chunks + b"0\r\nNote: a\r\n\r\n"


def event(number):
    return b"id: %d\ndata: piece %d\n\n" % (number, number)


def whole_body(request_id, is_stream):
    if is_stream:
        return b"".join(event(number) for number in range(1, EVENTS + 1))
    return b"body of " + request_id.encode()


class CutCase(KeptCase):
    async def start_stand_ins(self):
        CuttingReplica.attempts_by_id.clear()
        self.numbers = iter(range(10_000_000, 20_000_000))
        with mock.patch.object(case, "FakeReplica", CuttingReplica):
            await super().start_stand_ins()

    async def asyncSetUp(self):
        await super().asyncSetUp()
        asyncio.get_running_loop().set_debug(False)
        await self.wait_shards_owned()

    def sizes(self, path, framing, interim):
        """Returns the sizes of a response's head and of the whole of it."""
        is_stream = path in (STREAMING, KEPT)
        replica = (self.engines if is_stream else self.unary_replicas)[0]
        request = mock.Mock(header_by_name={"request-id": "q10000000"})
        options = {"framing": framing, "interim": interim}
        data = replica.encode(request, options)
        body_at = data.index(b"\r\n\r\n", len(INTERIM) if interim else 0) + 4
        return body_at, len(data)

    async def fetch(self, path, **options):
        """Returns status, seal and body; None if the response was cut."""
        request_id = f"q{next(self.numbers)}"
        options = {"attempts": 9, "interim": ""} | options
        query = urllib.parse.urlencode(options)
        # Each path and body differs, so that no request is taken for one that
        # ends replicas.
        target = f"{path}{request_id}?{query}"
        fields = self.turn_request(request_id, Host=HOST)
        try:
            response = await self.host.http.post(
                target, headers=fields, content=request_id.encode()
            )
        except httpx.RemoteProtocolError:
            return request_id, None
        seal = response.headers.get("Response-Seal")
        return request_id, (response.status_code, seal, response.content)

    async def fetch_all(self, path, cuts, **options):
        """Returns the results for each cut, closed and reset."""
        semaphore = asyncio.Semaphore(AT_ONCE)

        async def fetch(cut, end):
            async with semaphore:
                request_id, result = await self.fetch(
                    path, cut=cut, end=end, **options
                )
            return cut, end, request_id, result

        pairs = [(cut, end) for cut in cuts for end in ("close", "reset")]
        return await asyncio.gather(*(fetch(*pair) for pair in pairs))

    async def find_wrong(self, path, cuts, **options):
        """Returns the results that are a success without the whole body."""
        is_stream = path in (STREAMING, KEPT)
        wrong = []
        statuses = set()
        for result in await self.fetch_all(path, cuts, **options):
            _, _, request_id, response = result
            statuses.add(response and response[0])
            if response is None:
                continue
            status, seal, body = response
            is_whole = bool(seal) and body == whole_body(request_id, is_stream)
            if (status < 300 and not is_whole) or (status >= 300 and seal):
                wrong.append(result)
        return wrong, statuses


class CutUnaryResponseTest(CutCase):
    async def test_each_cut_of_a_plain_response(self):
        """Guards against a short response that looks whole."""
        for path in (IDEMPOTENT, NON_IDEMPOTENT):
            for framing, interim in ((LENGTH, ""), (CHUNKS, "1")):
                with self.subTest(path=path, framing=framing):
                    _, size = self.sizes(path, framing, interim)
                    wrong, statuses = await self.find_wrong(
                        path, range(size), framing=framing, interim=interim
                    )
                    self.assertEqual((len(wrong), wrong[:1]), (0, []))
                    self.assertNotIn(200, statuses)

    async def test_a_cut_head_of_a_response_without_a_length(self):
        """Guards against a head that the end of its connection completes."""
        for path in (IDEMPOTENT, NON_IDEMPOTENT):
            with self.subTest(path=path):
                head, _ = self.sizes(path, CLOSE, "1")
                wrong, statuses = await self.find_wrong(
                    path, range(head), framing=CLOSE, interim="1"
                )
                self.assertEqual((len(wrong), wrong[:1]), (0, []))
                self.assertNotIn(200, statuses)

    async def test_another_replica_serves_after_a_cut(self):
        """Guards against a second attempt that continues the first one."""
        _, size = self.sizes(IDEMPOTENT, LENGTH, "")
        wrong, statuses = await self.find_wrong(
            IDEMPOTENT, range(0, size, 3), framing=LENGTH, attempts=1
        )
        self.assertEqual((len(wrong), wrong[:1]), (0, []))
        self.assertIn(200, statuses)


class CutStreamTest(CutCase):
    async def check(self, path, framing, cuts, **options):
        wrong, statuses = await self.find_wrong(
            path, cuts, framing=framing, **options
        )
        self.assertEqual((len(wrong), wrong[:1]), (0, []))
        return statuses

    async def test_a_stream_in_chunks_that_is_cut_before_its_first_event(self):
        """Guards against a head without an event that counts as a stream."""
        for path, step in CUT_STEPS.items():
            with self.subTest(path=path):
                head, _ = self.sizes(path, CHUNKS, "1")
                cuts = (*range(0, head, step), head, head + 5)
                statuses = await self.check(path, CHUNKS, cuts, interim="1")
                self.assertNotIn(200, statuses)

    async def test_a_stream_in_chunks_that_is_cut_after_its_head(self):
        """Guards against a stream that ends as complete before its last event.

        One that is cut after an event goes on at a replica, and may end.
        """
        for path, step in CUT_STEPS.items():
            with self.subTest(path=path):
                head, size = self.sizes(path, CHUNKS, "")
                await self.check(path, CHUNKS, range(head, size, step))

    async def test_a_stream_goes_on_after_a_cut(self):
        """Guards against events that are missing or repeated after a cut."""
        for path in (STREAMING, KEPT):
            with self.subTest(path=path):
                _, size = self.sizes(path, CHUNKS, "")
                statuses = await self.check(
                    path, CHUNKS, range(0, size, 7), attempts=1
                )
                self.assertIn(200, statuses)

    async def test_a_cut_head_of_a_stream_without_a_length(self):
        """Guards against a head that the end of its connection completes."""
        for path in (STREAMING, KEPT):
            with self.subTest(path=path):
                head, _ = self.sizes(path, CLOSE, "")
                step = CUT_STEPS[path]
                cuts = range(0, head, step)
                statuses = await self.check(path, CLOSE, cuts)
                self.assertNotIn(200, statuses)

    async def test_a_stream_without_a_length_that_is_reset(self):
        """Guards against a reset that counts as the end of a stream."""
        for path, step in ((STREAMING, 2), (KEPT, 5)):
            head, size = self.sizes(path, CLOSE, "")
            for cut in (*range(head, size, step), size):
                with self.subTest(path=path, cut=cut):
                    _, result = await self.fetch(
                        path, framing=CLOSE, cut=cut, end="reset"
                    )
                    self.assertTrue(result is None or result[0] >= 500)


if __name__ == "__main__":
    unittest.main()
