"""Reports of tasks that nobody awaits."""

import asyncio
from typing import Any

from masticdale_common import logs


def log_failure(task: asyncio.Task[Any]) -> None:
    """Logs the exception of a task that has ended with one."""
    if task.cancelled():
        return
    error = task.exception()
    if error is not None:
        logs.write("task_failed", task=task.get_name(), error=repr(error))
