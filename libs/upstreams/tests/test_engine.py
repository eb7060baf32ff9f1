"""Tests of the engine client against scripted streams."""

import asyncio
import json
import unittest

import httpx
from hypothesis import given, settings
from hypothesis import strategies as st

from masticdale_common import ErrorKind, Metrics, hashing
from masticdale_upstreams import (
    EngineClient,
    EngineOptions,
    GenerateRequest,
    Order,
    OrderKind,
)
from masticdale_upstreams.connections import Connections

PIECES = ("first ", "second ", "third")
TEXT = "".join(PIECES)
OPTIONS = EngineOptions("http://engine", 1.0, 0.05, max_resumes=3)
REQUEST = GenerateRequest("call-1", "p", "main", ("prompt",), 8, 30.0, 1)


def text_line(offset, text, request_id="call-1"):
    return {"request_id": request_id, "offset": offset, "text": text}


def end_line(**changes):
    line = {
        "request_id": "call-1",
        "done": True,
        "length": len(TEXT),
        "digest": hashing.digest(TEXT),
        "prompt_tokens": 2,
        "cached_tokens": 1,
        "generated_tokens": 5,
    }
    return line | changes


def lines_from(offset):
    """Returns the stream lines from an offset to the end marker."""
    pieces, start = [], 0
    for piece in PIECES:
        if start + len(piece) > offset:
            skip = max(0, offset - start)
            pieces.append(text_line(start + skip, piece[skip:]))
        start += len(piece)
    return [*pieces, end_line()]


class Body(httpx.AsyncByteStream):
    """A stream that ends, breaks or stalls after its lines."""

    def __init__(self, lines, ending):
        self.lines = lines
        self.ending = ending

    async def __aiter__(self):
        for line in self.lines:
            data = line if isinstance(line, bytes) else json.dumps(line)
            yield data if isinstance(data, bytes) else data.encode() + b"\n"
        if self.ending == "cut":
            raise httpx.ReadError("cut")
        if self.ending == "silent":
            await asyncio.Event().wait()


class ScriptedEngine:
    """Answers each stream request with the next step of a script.

    A step is a status, a response, an exception, or a pair: a function that
    maps the remaining lines to the lines sent, and the ending of the stream.
    """

    def __init__(self, *steps):
        self.steps = list(steps)
        self.requests = []
        self.request_received = asyncio.Event()
        self.metrics = Metrics()
        self.client = EngineClient(
            OPTIONS, Connections(self.make_http), self.metrics
        )

    def make_http(self):
        transport = httpx.MockTransport(self.answer)
        return httpx.AsyncClient(base_url="http://engine", transport=transport)

    def answer(self, request):
        self.requests.append(request)
        self.request_received.set()
        if request.method == "DELETE":
            return httpx.Response(204)
        step = self.steps.pop(0)
        if isinstance(step, Exception):
            raise step
        if isinstance(step, int):
            return httpx.Response(step)
        if isinstance(step, httpx.Response):
            return step
        change, ending = step
        offset = int(request.url.params.get("offset", 0))
        return httpx.Response(
            200, stream=Body(change(lines_from(offset)), ending)
        )

    async def run(self, request=REQUEST):
        chunks = []
        outcome = await self.client.generate(request, chunks.append)
        await self.client.close()
        return outcome, chunks

    def cancelled_paths(self):
        return [r.url.path for r in self.requests if r.method == "DELETE"]


def all_lines(lines):
    return lines


def first_lines(count):
    return lambda lines: lines[:count]


class GenerateTest(unittest.IsolatedAsyncioTestCase):
    async def test_a_broken_stream_is_resumed_at_its_offset(self):
        """A resume must neither lose nor repeat text.

        The engine continues to generate without a reader, so the client can
        request the rest by offset.
        """
        other_line = text_line(6, "their text", request_id="call-2")
        cases = {
            "cut": (first_lines(1), "cut"),
            "silent": (first_lines(1), "silent"),
            "no end marker": (lambda lines: lines[:-1], "end"),
            "line of another request": (
                lambda lines: [lines[0], other_line],
                "end",
            ),
            "end marker of another request": (
                lambda lines: [*lines[:-1], end_line(request_id="call-2")],
                "end",
            ),
            "malformed": (lambda lines: [lines[0], b"{\n"], "end"),
            "lost line": (lambda lines: [lines[0], *lines[2:]], "end"),
            "repeated line": (lambda lines: [lines[0], *lines], "end"),
        }
        for name, step in cases.items():
            with self.subTest(name):
                engine = ScriptedEngine(step, (all_lines, "end"))
                outcome, chunks = await engine.run()
                self.assertEqual(outcome.unwrap().text, TEXT)
                self.assertEqual("".join(c.text for c in chunks), TEXT)
                resumed = engine.requests[1].url
                self.assertEqual(resumed.path, "/v1/streams/call-1")
                self.assertEqual(
                    engine.metrics.counter_value("engine_stream_resumes_total"),
                    1,
                )

    async def test_failures_say_whether_the_call_was_sent(self):
        """Reporting NO_UPSTREAM for an executed call could execute it twice.

        Only a failed connect or a refusal marked as not run excludes an
        execution; after a broken stream a refused resume does not.
        """
        refused = httpx.ConnectError("refused")
        cut = (first_lines(1), "cut")
        not_run = httpx.Response(503, headers={"X-Not-Run": "true"})
        wrong_digest = (
            lambda lines: [*lines[:-1], end_line(digest="0")],
            "end",
        )
        too_short = (lambda lines: [*lines[:-1], end_line(length=1)], "end")
        cases = (
            ([refused], ErrorKind.NO_UPSTREAM),
            ([not_run], ErrorKind.NO_UPSTREAM),
            ([503], ErrorKind.OVERLOADED),
            ([429], ErrorKind.OVERLOADED),
            ([409], ErrorKind.CONFLICT),
            ([500], ErrorKind.UPSTREAM_FAILED),
            ([cut, refused], ErrorKind.UPSTREAM_FAILED),
            ([cut, 404], ErrorKind.UPSTREAM_FAILED),
            ([cut, not_run], ErrorKind.UPSTREAM_FAILED),
            ([(first_lines(0), "cut")] * 4, ErrorKind.UPSTREAM_FAILED),
            ([wrong_digest], ErrorKind.UPSTREAM_FAILED),
            ([too_short], ErrorKind.UPSTREAM_FAILED),
        )
        for steps, kind in cases:
            with self.subTest(steps=steps):
                outcome, _ = await ScriptedEngine(*steps).run()
                self.assertIs(outcome.failure().kind, kind)

    async def test_the_deadline_cancels_the_call_at_the_engine(self):
        """Without the cancellation the call would keep its slot.

        The engine sends keep-alive lines only, until the deadline passes.
        """
        keep_alive_lines = [text_line(0, "")]
        engine = ScriptedEngine((lambda _: keep_alive_lines, "silent"))
        short_request = GenerateRequest("call-1", "p", "main", (), 8, 0.01, 1)
        outcome, _ = await engine.run(short_request)
        self.assertIs(outcome.failure().kind, ErrorKind.DEADLINE_EXCEEDED)
        self.assertEqual(engine.cancelled_paths(), ["/v1/streams/call-1"])

    async def test_cancelling_the_task_cancels_the_call(self):
        engine = ScriptedEngine((lambda _: [], "silent"))
        task = asyncio.create_task(engine.run())
        await engine.request_received.wait()
        task.cancel()
        with self.assertRaises(asyncio.CancelledError):
            await task
        await engine.client.close()
        self.assertEqual(engine.cancelled_paths(), ["/v1/streams/call-1"])

    @settings(derandomize=True, deadline=None, max_examples=150)
    @given(
        st.lists(
            st.tuples(
                st.integers(0, 4),
                st.sampled_from(["cut", "end", "cross", "swap", "drop"]),
            ),
            max_size=5,
        )
    )
    def test_no_combination_of_faults_gives_wrong_text(self, faults):
        """The caller gets the whole text or a failure.

        Each connection is cut or ended early, or has a line of another
        request, swapped lines or a missing line.
        """

        def step(at, fault):
            def change(lines):
                lines = list(lines)
                at_line = min(at, len(lines) - 1)
                if fault == "cross":
                    lines[at_line] |= {"request_id": "call-2"}
                if fault == "swap":
                    lines[at_line], lines[0] = lines[0], lines[at_line]
                if fault == "drop":
                    del lines[at_line]
                return lines[:at] if fault in ("cut", "end") else lines

            return change, "cut" if fault == "cut" else "end"

        engine = ScriptedEngine(
            *(step(*fault) for fault in faults), (all_lines, "end")
        )
        outcome, chunks = asyncio.run(engine.run())
        text = "".join(chunk.text for chunk in chunks)
        self.assertTrue(TEXT.startswith(text))
        completion = outcome.value_or(None)
        if completion is None:
            self.assertGreater(len(faults), OPTIONS.max_resumes)
            return
        self.assertEqual(completion.text, TEXT)
        self.assertEqual(text, TEXT)


class ShortCallTest(unittest.IsolatedAsyncioTestCase):
    async def test_answers_and_refusals(self):
        order = Order(OrderKind.LOAD_MODEL, "m", 1)
        held = {"programs": [{"program_id": "p", "tokens": 64}]}
        ok = httpx.Response(200, json=held)
        client = ScriptedEngine(ok).client
        programs = (await client.cached_programs()).unwrap()
        self.assertEqual([p.tokens for p in programs], [64])
        cases = (
            (409, ErrorKind.CONFLICT),
            (httpx.ConnectError("refused"), ErrorKind.NO_UPSTREAM),
            (httpx.ReadError("cut"), ErrorKind.UPSTREAM_FAILED),
            (httpx.ReadTimeout("silent"), ErrorKind.UPSTREAM_FAILED),
        )
        for step, kind in cases:
            with self.subTest(step=step):
                outcome = await ScriptedEngine(step).client.order(order)
                self.assertIs(outcome.failure().kind, kind)
        malformed = ScriptedEngine(httpx.Response(200, json={"x": 1})).client
        outcome = await malformed.load_report()
        self.assertIs(outcome.failure().kind, ErrorKind.UPSTREAM_FAILED)


if __name__ == "__main__":
    unittest.main()
