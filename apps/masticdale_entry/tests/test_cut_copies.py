"""Tests of replicas that begin a copy of an earlier response before their own.

A copy is cut at a drawn byte, and the response to the request follows it on
the same connection.
"""

import asyncio
import collections
import dataclasses
import itertools
import unittest

import httpx
from case import IDEMPOTENT, NON_IDEMPOTENT, STREAMING, EntryCase, event_ids

from masticdale_standins.replicas import (
    INTERIM,
    REFUSAL,
    CutCopies,
    CutPlace,
)

SEED = 56
REQUESTS = 60
AT_ONCE = 5
# A caller waits for less than this, of a deadline of 2.5 s.
QUICK_S = 1.0
MIN_QUICK_SHARE = 0.95
PATHS = (IDEMPOTENT, NON_IDEMPOTENT, STREAMING)
NOT_RUN_STATUSES = (402, 408, 421, 429, 503)


@dataclasses.dataclass(slots=True)
class Answer:
    """What a caller got; the status is 0 for a stream that was broken off."""

    path: str
    request_id: str
    status: int = 0
    seal: str = ""
    text: str = ""
    took_s: float = 0.0


class CutCopyTest(EntryCase):
    async def asyncSetUp(self):
        await super().asyncSetUp()
        await self.wait_shards_owned()
        self.numbers = itertools.count()
        for number, replica in enumerate(self.replicas):
            replica.seed(SEED + number)

    @property
    def replicas(self):
        return [*self.engines, *self.unary_replicas]

    async def call(self, path):
        """Sends a request of a new id; returns what its caller gets."""
        answer = Answer(path, f"r{next(self.numbers)}")
        loop = asyncio.get_running_loop()
        began_at = loop.time()
        try:
            response = await self.send(path, answer.request_id)
            answer.status = response.status_code
            answer.seal = response.headers.get("response-seal", "")
            answer.text = response.text
        except httpx.HTTPError:
            self.assertEqual(path, STREAMING)
        answer.took_s = loop.time() - began_at
        return answer

    async def call_all(self, path):
        """Sends requests over a few connections that are used again."""
        semaphore = asyncio.Semaphore(AT_ONCE)

        async def call():
            async with semaphore:
                return await self.call(path)

        return await asyncio.gather(*(call() for _ in range(REQUESTS)))

    def find_wrong(self, answers):
        """Returns what no caller may get, and requests that ran twice."""
        runs = collections.Counter()
        statuses = collections.defaultdict(set)
        for replica in self.replicas:
            runs.update(
                r.header_by_name["request-id"]
                for r in replica.executed_requests
            )
            for request_id, given in replica.sealed_statuses.items():
                statuses[request_id].update(given)
        for answer in answers:
            request_id = answer.request_id
            if answer.status == 200 or answer.seal:
                if answer.status not in statuses[request_id]:
                    yield "status", answer
                if not answer.seal.endswith(f"-{request_id}"):
                    yield "seal", answer
            if answer.status == 200 and not self.is_own_body(answer):
                yield "body", answer
            is_own_failure = answer.text == "failed"
            if answer.seal and answer.status == 500 and not is_own_failure:
                yield "body", answer
            if answer.status in NOT_RUN_STATUSES and runs[request_id]:
                yield "ran", answer
            if answer.path == NON_IDEMPOTENT and runs[request_id] > 1:
                yield "twice", answer

    def is_own_body(self, answer):
        if answer.path != STREAMING:
            return answer.text == f"body of {answer.request_id}"
        events = answer.text.split("\n\n")[:-1]
        return event_ids(answer.text) == [1, 2, 3, 4] and all(
            f" of {answer.request_id} by " in event for event in events
        )

    async def check(self, **changes):
        """Sends requests on each kind of route and checks what callers get."""
        copies = CutCopies(share=0.7, failed_share=0.4, **changes)
        for path in PATHS:
            self.set_engines(cut_copies=copies)
            self.set_unary_replicas(cut_copies=copies)
            before = sum(replica.copies for replica in self.replicas)
            answers = await self.call_all(path)
            made = sum(replica.copies for replica in self.replicas) - before
            found = collections.Counter(a.status for a in answers)
            wrong = list(self.find_wrong(answers))
            quick = sum(a.took_s < QUICK_S for a in answers) / len(answers)
            with self.subTest(path=path, statuses=found, copies=made):
                self.assertEqual((len(wrong), wrong[:1]), (0, []))
                self.assertGreater(made, REQUESTS / 5)
                self.assertGreaterEqual(quick, MIN_QUICK_SHARE)

    async def test_copies_cut_in_their_head_change_no_response(self):
        """Guards against a status of one response with the body of another."""
        await self.check(place=CutPlace.HEAD)

    async def test_copies_cut_in_their_body_change_no_response(self):
        """Guards against a body that is completed by another response."""
        await self.check(place=CutPlace.BODY)

    async def test_refusals_cut_in_their_head_change_no_response(self):
        """Guards against repeating a request that has been executed."""
        await self.check(place=CutPlace.HEAD, content=REFUSAL)

    async def test_cut_interim_responses_change_no_response(self):
        """Guards against a response that is taken for a part of another."""
        await self.check(place=CutPlace.ANYWHERE, content=INTERIM)


if __name__ == "__main__":
    unittest.main()
