"""Tests of the authentication of requests by API key."""

import unittest

from hypothesis import given
from hypothesis import strategies as st
from returns.result import Failure as Failed

from masticdale_common import ErrorKind
from masticdale_workspaces import Workspace, WorkspaceTable, digest_key

KEYS = (b"first-key", b"second-key")
TABLE = WorkspaceTable(
    [
        Workspace("alpha", frozenset({digest_key(KEYS[0])})),
        Workspace("beta", frozenset({digest_key(KEYS[1])})),
    ]
)


def authenticate(*keys, allows_anonymous=False):
    """Returns the name of the workspace, or the kind of the failure."""
    digests = tuple(digest_key(key) for key in keys)
    outcome = TABLE.authenticate(digests, allows_anonymous=allows_anonymous)
    if isinstance(outcome, Failed):
        return outcome.failure().kind
    workspace = outcome.unwrap()
    return workspace.name if workspace else None


class AuthenticateTest(unittest.TestCase):
    def test_by_keys(self):
        for keys, allows_anonymous, expected in (
            ((KEYS[0],), False, "alpha"),
            ((KEYS[1],), True, "beta"),
            ((), True, None),
            ((), False, ErrorKind.UNAUTHENTICATED),
            ((b"",), False, ErrorKind.UNAUTHENTICATED),
            ((b"",), True, ErrorKind.UNAUTHENTICATED),
            ((b"other",), True, ErrorKind.UNAUTHENTICATED),
            (KEYS, False, ErrorKind.BAD_REQUEST),
            ((KEYS[0], KEYS[0]), True, ErrorKind.BAD_REQUEST),
        ):
            with self.subTest(keys=keys, allows_anonymous=allows_anonymous):
                found = authenticate(*keys, allows_anonymous=allows_anonymous)
                self.assertEqual(found, expected)

    @given(st.binary(max_size=5_000), st.booleans())
    def test_only_the_exact_key_is_accepted(self, key, allows_anonymous):
        """Guards against keys that match after decoding or trimming."""
        found = authenticate(key, allows_anonymous=allows_anonymous)
        if key not in KEYS:
            self.assertEqual(found, ErrorKind.UNAUTHENTICATED)


if __name__ == "__main__":
    unittest.main()
