"""Tests of the service client against scripted responses."""

import unittest

import httpx

from masticdale_common import ErrorKind, Metrics
from masticdale_upstreams import ServiceClient, ServiceOptions, ServiceRequest
from masticdale_upstreams.connections import Connections

REQUEST = ServiceRequest("key-1", "file-permit", "{}", 7, 1.0)
DONE = {"key": "key-1", "result": "1"}
NOT_RUN = {"X-Not-Run": "true"}


def create_client(answer, requests):
    def handle(request):
        requests.append(request)
        if isinstance(answer, Exception):
            raise answer
        return answer

    def make_http():
        return httpx.AsyncClient(
            base_url="http://service", transport=httpx.MockTransport(handle)
        )

    options = ServiceOptions("http://service")
    return ServiceClient(options, Connections(make_http), Metrics())


class CallTest(unittest.IsolatedAsyncioTestCase):
    async def test_a_response_is_matched_to_its_key(self):
        requests = []
        client = create_client(httpx.Response(200, json=DONE), requests)
        reply = (await client.call(REQUEST)).unwrap()
        self.assertEqual(reply.result, "1")
        self.assertEqual(requests[0].headers["Idempotency-Key"], "key-1")
        self.assertEqual(requests[0].headers["Fencing"], "7")

    async def test_every_failure_is_sent_once_and_reports_whether_it_ran(self):
        """A retry or a wrong NO_UPSTREAM could execute an operation twice.

        Once the call is sent, only a refusal by the service shows that it was
        not executed; otherwise its outcome is unknown.
        """
        other_key = {"key": "key-2", "result": "1"}
        unknown = ErrorKind.OUTCOME_UNKNOWN
        cases = (
            (httpx.ConnectError("refused"), ErrorKind.NO_UPSTREAM),
            (httpx.ConnectTimeout("no host"), ErrorKind.NO_UPSTREAM),
            (httpx.Response(503, headers=NOT_RUN), ErrorKind.NO_UPSTREAM),
            (httpx.Response(400), ErrorKind.BAD_REQUEST),
            (httpx.Response(503), unknown),
            (httpx.Response(500, headers=NOT_RUN), unknown),
            (httpx.Response(404), unknown),
            (httpx.Response(200, json=other_key), unknown),
            (httpx.Response(200, content=b"{"), unknown),
            (httpx.WriteError("cut"), unknown),
            (httpx.ReadError("cut"), unknown),
            (httpx.ReadTimeout("silent"), unknown),
            (httpx.RemoteProtocolError("cut"), unknown),
        )
        for answer, kind in cases:
            with self.subTest(answer=answer):
                requests = []
                outcome = await create_client(answer, requests).call(REQUEST)
                self.assertIs(outcome.failure().kind, kind)
                self.assertEqual(len(requests), 1)


class LookupTest(unittest.IsolatedAsyncioTestCase):
    async def test_only_a_404_with_the_key_means_never_executed(self):
        """A 404 from a proxy would report an executed operation as not run."""
        unknown = httpx.Response(404, json={"key": "key-1"})
        outcome = await create_client(unknown, []).lookup("key-1")
        self.assertIsNone(outcome.unwrap())
        done = httpx.Response(200, json=DONE)
        outcome = await create_client(done, []).lookup("key-1")
        self.assertEqual(outcome.unwrap().result, "1")
        for answer in (
            httpx.Response(404),
            httpx.Response(404, json={"key": "key-2"}),
            httpx.Response(200, json={"key": "key-2", "result": "1"}),
            httpx.Response(500),
            httpx.ReadTimeout("silent"),
        ):
            with self.subTest(answer=answer):
                outcome = await create_client(answer, []).lookup("key-1")
                kind = outcome.failure().kind
                self.assertIs(kind, ErrorKind.UPSTREAM_FAILED)


if __name__ == "__main__":
    unittest.main()
