"""Replication of an owner's commits to both copy holders."""

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
    """Sends a shard's undrained commits to the holders named in its head.

    Attributes:
        is_sealed: Whether a holder was sealed by another host.
        is_failing: Whether the last batch was not stored by both holders.
    """

    def __init__(self, copies: CopyHolders, shard: int) -> None:
        self.is_sealed = False
        self.is_failing = False
        self._copies = copies
        self._shard = shard

    def choose_holders(self, head: Head) -> tuple[str, ...]:
        """Returns the holders that the shard should have, given live hosts."""
        return self._copies.choose(self._shard, head.copy_holders)

    async def replicate(self, head: Head, entries: Sequence[CopyEntry]) -> bool:
        """Sends the newest entry to both holders.

        Args:
            head: The newest head that is known to be stored.
            entries: Every commit after it, up to the one to replicate.

        Returns:
            Whether both holders have it and every commit before it.
        """
        holders = head.copy_holders
        if len(holders) < HOLDER_COUNT:
            self.is_failing = True
            return False
        stored = await asyncio.gather(
            *(self._put(holder, head, entries) for holder in holders)
        )
        self.is_failing = not all(stored)
        return not self.is_failing

    async def confirm_holders(
        self, holders: Sequence[str], head: Head, last_sequence: int
    ) -> bool:
        """Checks that holders are complete and tells them what is drained.

        Args:
            holders: Current or new holders.
            head: The newest head that is known to be stored.
            last_sequence: Number of the newest commit.

        Returns:
            Whether every holder is complete. A holder without copies is
            initialized if every commit is drained.
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
            # The holder was restarted or has not received earlier commits.
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
