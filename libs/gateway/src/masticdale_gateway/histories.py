"""Histories of turns: the interface, and what a turn adds to its history."""

from typing import TYPE_CHECKING, Protocol

from returns.result import Failure as Failed
from returns.result import Result

from masticdale_common import ErrorKind, Failure
from masticdale_gateway.events import Event

# Hosts whose routes keep no history do not load the package of histories.
if TYPE_CHECKING:
    from masticdale_history import Chain, TurnRecord


class TurnHistory(Protocol):
    """Reads and writes completed turns."""

    async def load(
        self,
        request_id: str,
        workspace: str,
        turn_id: str,
        session_id: str,
        deadline_at: float,
    ) -> "Result[Chain, Failure]":
        """Returns a turn and all turns before it.

        Args:
            request_id: Id of the request that continues the turn, for logs.
            workspace: Name of the caller's workspace; empty for none.
            turn_id: Id of the request that ran the turn.
            session_id: The caller's session; the turn may belong to another.
            deadline_at: Deadline in loop seconds.

        Returns:
            The chain; TURN_UNKNOWN if the workspace certainly has no such
            turn, or it is older than its retention; HISTORY_UNAVAILABLE if
            that can't be determined.
        """
        ...

    def check_room(self) -> Failure | None:
        """Returns why no turn can be saved now; None if one can."""
        ...

    async def save(
        self,
        request_id: str,
        record: "TurnRecord",
        chain: "Chain",
        deadline_at: float,
    ) -> Result[None, Failure]:
        """Makes a completed turn durable.

        Args:
            request_id: Id of the request that ran the turn, for logs.
            record: The turn.
            chain: The turns before it; empty for a first turn.
            deadline_at: Deadline in loop seconds.

        Returns:
            None once the turn is durable; HISTORY_UNAVAILABLE if too few
            disks have synced it in time.
        """
        ...


class NoHistory:
    """``TurnHistory`` of a host that knows no storage host."""

    async def load(
        self,
        request_id: str,
        workspace: str,
        turn_id: str,
        session_id: str,
        deadline_at: float,
    ) -> "Result[Chain, Failure]":
        """See ``TurnHistory.load``."""
        del request_id, workspace, turn_id, session_id, deadline_at
        return Failed(_no_storage_host())

    def check_room(self) -> Failure | None:
        """See ``TurnHistory.check_room``."""
        return _no_storage_host()

    async def save(
        self,
        request_id: str,
        record: "TurnRecord",
        chain: "Chain",
        deadline_at: float,
    ) -> Result[None, Failure]:
        """See ``TurnHistory.save``."""
        del request_id, record, chain, deadline_at
        return Failed(_no_storage_host())


class TurnOutput:
    """Collects the output of a turn: the data of its events."""

    def __init__(self) -> None:
        self._parts: list[bytes] = []

    def add(self, event: Event) -> None:
        """Adds an event that was forwarded to the caller.

        A block without data, such as a comment that keeps the connection open,
        is not an event to the caller and adds nothing.
        """
        content = event.content
        if content is not None:
            self._parts += (content, b"\n")

    def content(self) -> bytes:
        """Returns the data of each event, each followed by a line feed."""
        return b"".join(self._parts)


def _no_storage_host() -> Failure:
    return Failure(ErrorKind.HISTORY_UNAVAILABLE, "no storage host is known")
