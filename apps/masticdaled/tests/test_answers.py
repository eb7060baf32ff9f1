"""Tests of the conversion of failures to HTTP responses."""

import io
import unittest

import eliot
import litestar
from litestar import exceptions as http_errors
from litestar.testing import AsyncTestClient

from masticdale_common import ERROR_RESPONSE_BY_KIND, ErrorKind, Failure
from masticdaled import answers

PROMPT = "the text of a caller's prompt"


class AnswersTest(unittest.IsolatedAsyncioTestCase):
    def test_response_has_the_status_of_its_kind(self):
        for kind, answer in ERROR_RESPONSE_BY_KIND.items():
            response = answers.error_response(Failure(kind, "why"))
            self.assertEqual(response.status_code, answer.status)
            self.assertEqual(response.content.ran, answer.ran.value)
            self.assertEqual(
                "Retry-After" in response.headers,
                answer.retry_after_ms is not None,
            )

    def test_retry_after_is_rounded_up(self):
        for milliseconds, seconds in ((1, "1"), (1000, "1"), (1001, "2")):
            failure = Failure(ErrorKind.OVERLOADED, "", milliseconds)
            response = answers.error_response(failure)
            self.assertEqual(response.headers["Retry-After"], seconds)

    def test_litestar_exceptions_map_to_kinds(self):
        for error, kind in (
            (http_errors.NotAuthorizedException(), "unauthenticated"),
            (http_errors.PermissionDeniedException(), "forbidden"),
            (http_errors.MethodNotAllowedException(), "bad_request"),
            (http_errors.ServiceUnavailableException(), "internal"),
        ):
            self.assertEqual(answers.failure_of(error).kind.value, kind)

    async def test_unexpected_error_does_not_leak_its_text(self):
        """Guards against a caller's prompt in an error response or the log.

        The response says that it is unknown whether the request ran.
        """
        log = io.StringIO()
        destination = eliot.FileDestination(file=log)
        eliot.add_destinations(destination)
        self.addCleanup(eliot.remove_destination, destination)

        @litestar.get("/")
        async def fail() -> str:
            raise KeyError(PROMPT)

        app = litestar.Litestar(
            [fail],
            exception_handlers=dict(answers.exception_handlers()),
            logging_config=None,
        )
        client = AsyncTestClient(app, raise_server_exceptions=False)
        async with client:
            response = await client.get("/")
        self.assertEqual(response.status_code, 500)
        self.assertEqual(response.json()["ran"], "unknown")
        self.assertNotIn(PROMPT, response.text + log.getvalue())
        self.assertIn("KeyError", log.getvalue())


if __name__ == "__main__":
    unittest.main()
