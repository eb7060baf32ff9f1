"""Tests of the error kinds and their table."""

import unittest

from masticdale_common import (
    ERROR_RESPONSE_BY_KIND,
    ErrorKind,
    Executed,
    Failure,
)


class AnswerTableTest(unittest.TestCase):
    def test_every_kind_has_one_answer(self):
        self.assertEqual(set(ERROR_RESPONSE_BY_KIND), set(ErrorKind))

    def test_kinds_that_may_have_run_never_say_no(self):
        for kind in (ErrorKind.OUTCOME_UNKNOWN, ErrorKind.UPSTREAM_FAILED):
            self.assertIs(ERROR_RESPONSE_BY_KIND[kind].ran, Executed.UNKNOWN)

    def test_own_retry_time_beats_the_table(self):
        failure = Failure(ErrorKind.OVERLOADED, retry_after_ms=7)
        self.assertEqual(failure.effective_retry_after_ms, 7)


if __name__ == "__main__":
    unittest.main()
