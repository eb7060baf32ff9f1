"""Ends programs, releases their engine memory and removes their state."""

import asyncio
import time

from returns.result import Failure as Failed
from returns.result import Result, Success

from masticdale_common import ErrorKind, Failure, logs
from masticdale_programs.calls_in_flight import CallsInFlight
from masticdale_programs.records import (
    EndReason,
    ProgramEnded,
    ProgramForgotten,
    ReleaseConfirmed,
)
from masticdale_programs.state import Program
from masticdale_programs.types import OwnedShard

# Timeout of one release request; the next sweep retries it.
_RELEASE_TIMEOUT_S = 5.0


class ProgramTerminator:
    """Ends a shard's programs and cleans up after them."""

    def __init__(self, shard: OwnedShard, calls: CallsInFlight) -> None:
        self._shard = shard
        self._calls = calls
        self._ending: set[str] = set()
        self._releasing: set[str] = set()
        self._forgetting: set[str] = set()

    def admission_failure(self, program: Program) -> Failed[Failure] | None:
        """Returns the failure of new calls once a program is ending."""
        is_ending = program.program_id in self._ending
        if program.end_reason is None and not is_ending:
            return None
        return Failed(Failure(ErrorKind.PROGRAM_ENDED, program.program_id))

    async def end(
        self, program: Program, reason: EndReason
    ) -> Result[None, Failure]:
        """Ends a program: cancels cancellable calls and waits for the rest."""
        if program.end_reason is not None:
            return Success(None)
        self._ending.add(program.program_id)
        try:
            await self._calls.cancel_program(program.program_id)
            record = ProgramEnded(
                program.program_id,
                reason,
                unix_time_ms(),
                tuple(sorted(program.replicas)),
            )
            outcome = await self._shard.commit([record])
        finally:
            self._ending.discard(program.program_id)
        if isinstance(outcome, Success):
            self._shard.spawn(self.release_memory(program))
        return outcome

    async def release_memory(self, program: Program) -> None:
        """Frees the engine memory that replicas still hold for a program."""
        if program.program_id in self._releasing:
            return
        self._releasing.add(program.program_id)
        try:
            replicas = sorted(program.replicas)
            await asyncio.gather(*(self._release(program, r) for r in replicas))
        finally:
            self._releasing.discard(program.program_id)

    def sweep(self, program: Program, is_busy: bool) -> None:
        """Ends or cleans up a program if one of its timeouts has passed.

        Args:
            program: The program.
            is_busy: Whether it has calls in flight or intents being voided.
        """
        now_ms = unix_time_ms()
        settings = self._shard.settings
        if program.end_reason is not None:
            if not is_busy:
                self._sweep_ended(program, now_ms)
            return
        if program.program_id in self._ending:
            return
        age_ms = now_ms - program.created_ms
        wall_time_s = self._shard.kind_of(program).budget.wall_time_s
        if age_ms > wall_time_s * 1000:
            self._shard.spawn(self.end(program, EndReason.EXPIRED))
            return
        idle_ms = now_ms - program.last_call_ms
        if not is_busy and idle_ms > settings.idle_end_s * 1000:
            self._shard.spawn(self.end(program, EndReason.ABANDONED))

    def _sweep_ended(self, program: Program, now_ms: int) -> None:
        if program.replicas:
            self._shard.spawn(self.release_memory(program))
            return
        if program.program_id in self._forgetting:
            return
        retention_ms = self._shard.settings.retention_s * 1000
        if now_ms - program.ended_ms > retention_ms:
            self._forgetting.add(program.program_id)
            self._shard.spawn(self._forget(program))

    async def _release(self, program: Program, replica: str) -> None:
        try:
            async with asyncio.timeout(_RELEASE_TIMEOUT_S):
                outcome = await self._shard.executor.release(
                    program.program_id, replica
                )
        except TimeoutError:
            outcome = Failed(Failure(ErrorKind.TIMED_OUT, replica))
        if isinstance(outcome, Failed):
            # The next sweep retries the release.
            logs.write_bounded(
                "memory_not_released",
                program_id=program.program_id,
                replica=replica,
                reason=str(outcome.failure()),
            )
            return
        await self._shard.commit(
            [ReleaseConfirmed(program.program_id, replica)]
        )

    async def _forget(self, program: Program) -> None:
        try:
            await self._shard.commit([ProgramForgotten(program.program_id)])
        finally:
            self._forgetting.discard(program.program_id)


def unix_time_ms() -> int:
    """Returns the Unix time in milliseconds, as stored in records."""
    return time.time_ns() // 1_000_000
