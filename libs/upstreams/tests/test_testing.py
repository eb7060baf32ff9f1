"""Tests of the fake engine and the fake service."""

import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from masticdale_common import ErrorKind
from masticdale_upstreams import GenerateRequest, ServiceRequest
from masticdale_upstreams.testing import (
    FakeEngine,
    FakeService,
    expected_answer,
    tokens_in,
)

REQUEST = GenerateRequest("call-1", "p", "main", ("prompt",), 8, 0.05, 1)


class FakeEngineTest(unittest.IsolatedAsyncioTestCase):
    async def test_faults_fail_with_the_clients_error_kinds(self):
        cases = (
            ({"down": True}, ErrorKind.NO_UPSTREAM),
            ({"broken_streams": 1}, ErrorKind.UPSTREAM_FAILED),
            ({"stall_streams": True}, ErrorKind.DEADLINE_EXCEEDED),
            ({"delay_s": 1}, ErrorKind.DEADLINE_EXCEEDED),
            ({"crash_marker": "prom"}, ErrorKind.UPSTREAM_FAILED),
        )
        for faults, kind in cases:
            with self.subTest(faults=faults):
                engine = FakeEngine()
                for name, value in faults.items():
                    setattr(engine.faults, name, value)
                outcome = await engine.generate(REQUEST, lambda chunk: None)
                self.assertIs(outcome.failure().kind, kind)

    async def test_a_completed_call_stays_cached_until_released(self):
        engine = FakeEngine()
        chunks = []
        completion = (await engine.generate(REQUEST, chunks.append)).unwrap()
        self.assertEqual(completion.text, expected_answer(("prompt",), 8))
        self.assertEqual("".join(c.text for c in chunks), completion.text)
        self.assertEqual(len((await engine.cached_programs()).unwrap()), 1)
        await engine.release("p")
        self.assertEqual((await engine.cached_programs()).unwrap(), ())

    @settings(derandomize=True, deadline=None, max_examples=50)
    @given(st.lists(st.text(max_size=9), max_size=3), st.integers(1, 99))
    def test_generated_text_depends_on_the_joined_prompt_only(
        self, parts, tokens
    ):
        answer = expected_answer(parts, tokens)
        self.assertEqual(answer, expected_answer(["".join(parts)], tokens))
        self.assertIn(tokens_in(answer), range(1, tokens + 1))


class FakeServiceTest(unittest.IsolatedAsyncioTestCase):
    async def test_counts_executions(self):
        request = ServiceRequest("key-1", "charge", "{}", 1, 0.05)
        cases = (
            ({}, None, 1),
            ({"down": True}, ErrorKind.NO_UPSTREAM, 0),
            ({"drop_calls": 1}, ErrorKind.OUTCOME_UNKNOWN, 0),
            ({"lose_answers": 1}, ErrorKind.OUTCOME_UNKNOWN, 1),
            ({"hang": True}, ErrorKind.OUTCOME_UNKNOWN, 1),
            ({"delay_s": 1}, ErrorKind.OUTCOME_UNKNOWN, 0),
        )
        for faults, kind, executions in cases:
            with self.subTest(faults=faults):
                service = FakeService()
                for name, value in faults.items():
                    setattr(service.faults, name, value)
                outcome = await service.call(request)
                failure = outcome.swap().value_or(None)
                self.assertEqual(getattr(failure, "kind", None), kind)
                ran = service.execution_count_by_key["key-1"]
                self.assertEqual(ran, executions)
                service.faults.down = False
                found = (await service.lookup("key-1")).unwrap()
                self.assertEqual(found is not None, executions == 1)


if __name__ == "__main__":
    unittest.main()
