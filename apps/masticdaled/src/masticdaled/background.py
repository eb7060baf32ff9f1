"""Background tasks, referenced so that they are not garbage-collected."""

import asyncio
from collections.abc import Coroutine
from typing import Any

from masticdale_common import logs


class BackgroundTasks:
    """The background tasks of one component."""

    def __init__(self) -> None:
        self._tasks: set[asyncio.Task[Any]] = set()

    def spawn(self, work: Coroutine[Any, Any, Any]) -> None:
        """Runs a coroutine as a task and logs its exception, if any."""
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._on_done)

    async def close(self) -> None:
        """Cancels the running tasks and waits until they end."""
        tasks = list(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def _on_done(self, task: asyncio.Task[Any]) -> None:
        self._tasks.discard(task)
        if task.cancelled():
            return
        error = task.exception()
        if error is not None:
            logs.write("background_failed", error=repr(error))
