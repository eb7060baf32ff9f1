"""Tests of the error kinds and their responses."""

import unittest

from masticdale_common import (
    ERROR_RESPONSE_BY_KIND,
    ErrorKind,
    Executed,
    Failure,
)


class ErrorResponseTest(unittest.TestCase):
    def test_every_kind_has_a_response(self):
        self.assertEqual(set(ERROR_RESPONSE_BY_KIND), set(ErrorKind))

    def test_kinds_with_an_unknown_outcome_are_not_reported_as_not_run(self):
        for kind in (ErrorKind.OUTCOME_UNKNOWN, ErrorKind.UPSTREAM_FAILED):
            self.assertIs(ERROR_RESPONSE_BY_KIND[kind].ran, Executed.UNKNOWN)

    def test_the_retry_delay_of_a_failure_overrides_that_of_its_kind(self):
        failure = Failure(ErrorKind.OVERLOADED, retry_after_ms=7)
        self.assertEqual(failure.effective_retry_after_ms, 7)


if __name__ == "__main__":
    unittest.main()
