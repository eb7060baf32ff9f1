"""The calls of a shard from their start until their answers are read."""

import asyncio
import functools
import itertools
import time
from collections.abc import Callable, Coroutine
from typing import Any

from returns.result import Failure as Failed

from masticdale_common import ErrorKind, Failure, logs
from masticdale_programs.state import ShardState
from masticdale_programs.streams import AnswerStream
from masticdale_programs.types import CallResult, RequestKey, ShardSettings

# Attempts are numbered apart by epoch and stream: no epoch has as many
# streams, and no stream as many attempts.
_ATTEMPTS_PER_EPOCH = 1_000_000_000_000
_ATTEMPTS_PER_STREAM = 1000

CallCoroutine = Coroutine[Any, Any, CallResult]


class CallsInFlight:
    """Tasks and answer streams by request."""

    def __init__(
        self,
        settings: ShardSettings,
        state: ShardState,
        epoch: Callable[[], int],
        is_owned: Callable[[], bool],
    ) -> None:
        """Begins without calls.

        Args:
            settings: How long answers are kept, and calls that nobody reads.
            state: The shard's programs.
            epoch: The epoch under which the shard is owned.
            is_owned: False once another host took the shard over.
        """
        self._settings = settings
        self._state = state
        self._epoch = epoch
        self._is_owned = is_owned
        self._stream_by_key: dict[RequestKey, AnswerStream] = {}
        self._task_by_key: dict[RequestKey, asyncio.Task[CallResult]] = {}
        self._finished_at_by_key: dict[RequestKey, float] = {}
        self._attempts = itertools.count()

    def __len__(self) -> int:
        return len(self._task_by_key)

    def __contains__(self, key: RequestKey) -> bool:
        return key in self._task_by_key

    def stream(self, key: RequestKey) -> AnswerStream | None:
        """Returns the answer of a call, under way or kept."""
        return self._stream_by_key.get(key)

    def busy_programs(self) -> set[str]:
        """Returns the programs that have calls under way."""
        return {key.program_id for key in self._task_by_key}

    def waiting_for(self, program_id: str) -> tuple[str, ...]:
        """Returns a program's calls under way and what each waits for."""
        return tuple(
            f"{key.request_id}: {stream.wait_reason}"
            for key, stream in self._stream_by_key.items()
            if key.program_id == program_id and stream.outcome is None
        )

    def new_stream(self, key: RequestKey, content: str) -> AnswerStream:
        """Makes the answer of a call that starts.

        No two streams of a request may share an attempt, also after the
        first is forgotten: a reader that comes late would append the text of
        the one to what it has of the other.
        """
        first_attempt = self._epoch() * _ATTEMPTS_PER_EPOCH
        first_attempt += next(self._attempts) * _ATTEMPTS_PER_STREAM
        stream = AnswerStream(key.request_id, content, first_attempt)
        self._stream_by_key[key] = stream
        self._finished_at_by_key.pop(key, None)
        return stream

    def start(
        self, key: RequestKey, stream: AnswerStream, work: CallCoroutine
    ) -> None:
        """Runs a call; its end finishes the stream."""
        task = asyncio.create_task(
            work, name=f"{key.program_id} {key.request_id}"
        )
        self._task_by_key[key] = task
        # A callback, because a task that is cancelled before its first step
        # runs nothing of its own: its reader would wait for ever.
        task.add_done_callback(functools.partial(self._finish, key, stream))

    async def cancel_program(self, program_id: str) -> None:
        """Cancels a program's calls; those that can't be wait for their end."""
        tasks = []
        for key, task in self._task_by_key.items():
            if key.program_id != program_id:
                continue
            tasks.append(task)
            # An unrepeatable call that is under way must learn its outcome.
            if self._stream_by_key[key].cancellable:
                task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def evict_expired(self, now: float, retained: set[RequestKey]) -> None:
        """Drops old answers, cancels calls that nobody reads.

        Args:
            now: Monotonic seconds.
            retained: Calls whose answers are needed longer.
        """
        keep_s = self._settings.stream_retention_s
        for key, finished_at in list(self._finished_at_by_key.items()):
            if now - finished_at > keep_s and key not in retained:
                del self._finished_at_by_key[key]
                self._stream_by_key.pop(key, None)
        for key, task in list(self._task_by_key.items()):
            stream = self._stream_by_key[key]
            unread_s = now - stream.last_read
            if unread_s > self._settings.unread_cancel_s and stream.cancellable:
                task.cancel()

    async def close(self) -> None:
        """Cancels every call."""
        tasks = list(self._task_by_key.values())
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def _finish(
        self,
        key: RequestKey,
        stream: AnswerStream,
        task: asyncio.Task[CallResult],
    ) -> None:
        outcome = _call_result(task, self._is_owned())
        program = self._state.program_by_id.get(key.program_id)
        if program is not None:
            program.replicas.update(stream.replicas)
        self._task_by_key.pop(key, None)
        self._finished_at_by_key[key] = time.monotonic()
        stream.finish(outcome)


def _call_result(task: asyncio.Task[CallResult], is_owned: bool) -> CallResult:
    if task.cancelled():
        # Where the shard was lost, the next owner runs the call: its reader
        # must ask there and not take it for cancelled. The call may have been
        # sent, so it is not answered with a kind that says it was not run.
        kind = ErrorKind.CANCELLED if is_owned else ErrorKind.WRITE_UNKNOWN
        return Failed(Failure(kind))
    error = task.exception()
    if error is None:
        return task.result()
    logs.write("call_failed", error=repr(error), call=task.get_name())
    return Failed(Failure(ErrorKind.INTERNAL))
