"""Running calls of a shard and the answers kept for their readers."""

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

# Ranges of attempt numbers, so that no two epochs or streams share a number.
_ATTEMPTS_PER_EPOCH = 1_000_000_000_000
_ATTEMPTS_PER_STREAM = 1000

CallCoroutine = Coroutine[Any, Any, CallResult]


class CallsInFlight:
    """The tasks and answer streams of a shard, by request."""

    def __init__(
        self,
        settings: ShardSettings,
        state: ShardState,
        epoch: Callable[[], int],
        is_owned: Callable[[], bool],
    ) -> None:
        """Creates an empty registry.

        Args:
            settings: Retention of answers and timeout of unread calls.
            state: The shard's programs.
            epoch: Returns the epoch under which the shard is owned.
            is_owned: Returns False once another host owns the shard.
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
        """Returns the answer stream of a running or recently finished call."""
        return self._stream_by_key.get(key)

    def busy_programs(self) -> set[str]:
        """Returns the ids of the programs that have calls in flight."""
        return {key.program_id for key in self._task_by_key}

    def waiting_for(self, program_id: str) -> tuple[str, ...]:
        """Returns a program's calls in flight and what each waits for."""
        return tuple(
            f"{key.request_id}: {stream.wait_reason}"
            for key, stream in self._stream_by_key.items()
            if key.program_id == program_id and stream.outcome is None
        )

    def new_stream(self, key: RequestKey, content_digest: str) -> AnswerStream:
        """Creates the answer stream of a new call.

        Streams of one request never share an attempt number, even after the
        earlier stream was evicted. Otherwise a reader of the earlier stream
        would append the new text to the old one.
        """
        first_attempt = self._epoch() * _ATTEMPTS_PER_EPOCH
        first_attempt += next(self._attempts) * _ATTEMPTS_PER_STREAM
        stream = AnswerStream(key.request_id, content_digest, first_attempt)
        self._stream_by_key[key] = stream
        self._finished_at_by_key.pop(key, None)
        return stream

    def start(
        self, key: RequestKey, stream: AnswerStream, work: CallCoroutine
    ) -> None:
        """Starts a call as a task; the stream is finished when it ends."""
        task = asyncio.create_task(
            work, name=f"{key.program_id} {key.request_id}"
        )
        self._task_by_key[key] = task
        # A done callback, because a task that is cancelled before its first
        # step runs no code of its own and its reader would wait forever.
        task.add_done_callback(functools.partial(self._finish, key, stream))

    async def cancel_program(self, program_id: str) -> None:
        """Cancels a program's cancellable calls and waits for all to end."""
        tasks = []
        for key, task in self._task_by_key.items():
            if key.program_id != program_id:
                continue
            tasks.append(task)
            # The outcome of an unrepeatable call in flight must be recorded.
            if self._stream_by_key[key].cancellable:
                task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def evict_expired(self, now: float, retained: set[RequestKey]) -> None:
        """Evicts expired answers and cancels calls that nobody reads.

        Args:
            now: Monotonic time in seconds.
            retained: Calls whose answers must not be evicted.
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
        """Cancels every call and waits for the tasks to end."""
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
        # If this host lost the shard, the reader has to ask the new owner, so
        # the call must not be reported as cancelled. It may have been sent,
        # so the error kind must not say that it was not run.
        kind = ErrorKind.CANCELLED if is_owned else ErrorKind.WRITE_UNKNOWN
        return Failed(Failure(kind))
    error = task.exception()
    if error is None:
        return task.result()
    logs.write("call_failed", error=repr(error), call=task.get_name())
    return Failed(Failure(ErrorKind.INTERNAL))
