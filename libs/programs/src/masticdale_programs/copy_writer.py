"""The owner's side of copies: both holders or no acknowledgement."""

import asyncio
from collections.abc import Sequence

from returns.result import Failure as Failed
from returns.result import Result, Success

from masticdale_common import ErrorKind, Failure
from masticdale_programs.copies import (
    HOLDER_COUNT,
    CopyBatch,
    CopyEntry,
    CopyHolders,
)
from masticdale_programs.heads import Head


class CopyWriter:
    """Gives a shard's undrained commits to the holders named in its head.

    Attributes:
        is_sealed: A holder was sealed by a taker, or by one that gave up.
        is_failing: The last batch was not held by both.
    """

    def __init__(self, copies: CopyHolders, shard: int) -> None:
        self.is_sealed = False
        self.is_failing = False
        self._copies = copies
        self._shard = shard

    def choose_holders(self, head: Head) -> tuple[str, ...]:
        """Returns the holders that the shard should have now."""
        return self._copies.choose(self._shard, head.copy_holders)

    async def replicate(self, head: Head, entries: Sequence[CopyEntry]) -> bool:
        """Gives the newest entry to both holders.

        Args:
            head: The newest head that is known to be stored.
            entries: Every commit beyond it, up to the one to be held.

        Returns:
            Whether both hold it, and with it everything before.
        """
        holders = head.copy_holders
        if len(holders) < HOLDER_COUNT:
            self.is_failing = True
            return False
        held = await asyncio.gather(
            *(self._put(holder, head, entries) for holder in holders)
        )
        self.is_failing = not all(held)
        return not self.is_failing

    async def confirm_holders(
        self, holders: Sequence[str], head: Head, last_sequence: int
    ) -> bool:
        """Asks holders whether they have everything and tells what is drained.

        Args:
            holders: Present or future holders.
            head: The newest head that is known to be stored.
            last_sequence: Number of the newest commit.

        Returns:
            Whether each has. A holder without any copies begins with this
            batch where everything is drained.
        """
        batch = CopyBatch(self._shard, head.epoch, head.sequence, last_sequence)
        outcomes = await asyncio.gather(
            *(self._copies.put(holder, batch) for holder in holders)
        )
        self.is_sealed = any(_is_sealed(outcome) for outcome in outcomes)
        return all(isinstance(outcome, Success) for outcome in outcomes)

    async def _put(
        self, holder: str, head: Head, entries: Sequence[CopyEntry]
    ) -> bool:
        newest = entries[-1]
        batch = CopyBatch(
            self._shard,
            head.epoch,
            head.sequence,
            newest.sequence - 1,
            (newest,),
        )
        outcome = await self._copies.put(holder, batch)
        if _is_missing(outcome):
            # The holder was restarted, or was given none of them yet.
            batch = CopyBatch(
                self._shard,
                head.epoch,
                head.sequence,
                head.sequence,
                tuple(entries),
            )
            outcome = await self._copies.put(holder, batch)
        self.is_sealed |= _is_sealed(outcome)
        return isinstance(outcome, Success)


def _is_sealed(outcome: Result[None, Failure]) -> bool:
    if not isinstance(outcome, Failed):
        return False
    return outcome.failure().kind is ErrorKind.NOT_OWNER


def _is_missing(outcome: Result[None, Failure]) -> bool:
    if not isinstance(outcome, Failed):
        return False
    return outcome.failure().kind is ErrorKind.NOT_FOUND
