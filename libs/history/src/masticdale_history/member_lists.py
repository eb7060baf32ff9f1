"""Reads of the list of storage hosts that are newer than the watch."""

import asyncio
from collections.abc import Awaitable, Callable

from returns.result import Failure as Failed
from returns.result import Result, Success

from masticdale_common import ErrorKind, Failure
from masticdale_history.members import MEMBER_PREFIX, parse_member
from masticdale_history.placement import Member
from masticdale_platform import StoredObject

# Shortest time between two reads, in seconds. Without it a caller that asks
# for unknown turns one after another would cause a store call for each.
READ_INTERVAL_S = 1.0
# Time after which a read is given up, in seconds. Loads that wait for it fail
# earlier if their deadline is earlier.
READ_TIMEOUT_S = 2.0

ListMembers = Callable[[], Awaitable[Result[tuple[StoredObject, ...], Failure]]]
_Outcome = Result[list[Member], Failure]


class MemberLists:
    """Reads the list of storage hosts, once for many loads.

    A read that is sent after a load began shows every host that may hold its
    turn: the host was listed before the turn was saved there.
    """

    def __init__(self, list_members: ListMembers) -> None:
        """Initializes the reads.

        Args:
            list_members: Reads all objects under ``MEMBER_PREFIX``.
        """
        self._list_members = list_members
        self._sent_at: float | None = None
        # Time at which the last finished read was sent, and its outcome.
        self._latest: tuple[float, _Outcome] | None = None
        self._reading: asyncio.Task[None] | None = None

    async def read(self, began_at: float, deadline_at: float) -> _Outcome:
        """Returns the members of a read that was sent after a load began.

        Args:
            began_at: Event loop time at which the load began.
            deadline_at: Event loop time at which it fails.

        Returns:
            The members; the failure of the read, or HISTORY_UNAVAILABLE at
            the deadline.
        """
        loop = asyncio.get_running_loop()
        while loop.time() < deadline_at:
            if self._latest is not None and self._latest[0] >= began_at:
                return self._latest[1]
            reading = self._reading or asyncio.create_task(self._read())
            self._reading = reading
            timeout_s = deadline_at - loop.time()
            await asyncio.wait([reading], timeout=timeout_s)
            if reading.cancelled():
                break
        return _unavailable("the list of storage hosts was not read in time")

    async def close(self) -> None:
        """Ends a read that is in progress."""
        if self._reading is None:
            return
        self._reading.cancel()
        await asyncio.gather(self._reading, return_exceptions=True)

    async def _read(self) -> None:
        loop = asyncio.get_running_loop()
        try:
            if self._sent_at is not None:
                pause_s = self._sent_at + READ_INTERVAL_S - loop.time()
                await asyncio.sleep(max(0.0, pause_s))
            sent_at = self._sent_at = loop.time()
            self._latest = (sent_at, await self._list())
        finally:
            self._reading = None

    async def _list(self) -> _Outcome:
        try:
            async with asyncio.timeout(READ_TIMEOUT_S):
                outcome = await self._list_members()
        except TimeoutError:
            return _unavailable("the store does not answer")
        if isinstance(outcome, Failed):
            return outcome
        # An object that is not valid is no member, as in the watch.
        parsed = [
            parse_member(stored.key.removeprefix(MEMBER_PREFIX), stored.value)
            for stored in outcome.unwrap()
        ]
        return Success([m.unwrap() for m in parsed if isinstance(m, Success)])


def _unavailable(detail: str) -> _Outcome:
    return Failed(Failure(ErrorKind.HISTORY_UNAVAILABLE, detail))
