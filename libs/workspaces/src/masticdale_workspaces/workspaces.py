"""Workspaces and the API keys by which callers belong to them."""

import dataclasses
import hashlib
from collections.abc import Iterable

from returns.result import Failure as Failed
from returns.result import Result, Success

from masticdale_common import ErrorKind, Failure


@dataclasses.dataclass(frozen=True, slots=True)
class UsageCap:
    """Limit on the requests of one workspace, over all hosts.

    Attributes:
        rate_per_s: Requests per second.
        burst: Requests beyond the rate that may come at once.
    """

    rate_per_s: float
    burst: float


@dataclasses.dataclass(frozen=True, slots=True)
class Workspace:
    """The callers that share keys, a priority and a usage cap.

    Attributes:
        name: Name, unique in a configuration.
        key_digests: Digests of its API keys; see ``digest_key``.
        priority: Priority class of its requests, 0 being the most urgent; None
            for that of the route.
        cap: Its usage cap; None for no limit.
    """

    name: str
    key_digests: frozenset[str]
    priority: int | None = None
    cap: UsageCap | None = None


def digest_key(key: bytes) -> str:
    """Returns the digest by which an API key is known.

    Keys are kept and compared as digests only, so that no log line, dump or
    error can contain one.
    """
    return hashlib.sha256(key).hexdigest()


class WorkspaceTable:
    """The workspaces of one configuration, by API key."""

    def __init__(self, workspaces: Iterable[Workspace]) -> None:
        self._workspace_by_digest = {
            digest: workspace
            for workspace in workspaces
            for digest in workspace.key_digests
        }

    def authenticate(
        self, key_digests: tuple[str, ...], *, allows_anonymous: bool
    ) -> Result[Workspace | None, Failure]:
        """Returns the workspace whose key a request carries.

        Args:
            key_digests: Digest of each key field of the request.
            allows_anonymous: Whether the route serves requests without a key.

        Returns:
            The workspace, or None for an anonymous request. Failures:
            BAD_REQUEST for more than one key, UNAUTHENTICATED for an unknown
            or a missing one.
        """
        if len(key_digests) > 1:
            return Failed(
                Failure(ErrorKind.BAD_REQUEST, "more than one API key")
            )
        if not key_digests:
            if allows_anonymous:
                return Success(None)
            return Failed(Failure(ErrorKind.UNAUTHENTICATED, "no API key"))
        workspace = self._workspace_by_digest.get(key_digests[0])
        if workspace is None:
            return Failed(Failure(ErrorKind.UNAUTHENTICATED, "unknown API key"))
        return Success(workspace)
