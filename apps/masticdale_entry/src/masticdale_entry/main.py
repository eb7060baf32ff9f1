"""Command line of the entry and storage processes."""

import asyncio
import gc
import pathlib
import signal
import sys
import types

from returns.result import Failure as Failed

from masticdale_common import logs
from masticdale_common import settings as settings_files
from masticdale_entry.settings import Role, Settings
from masticdale_entry.starting import ignore_hang_up

_EXIT_INVALID_SETTINGS = 2


class Commands:
    """Runs a process of masticdale or checks its settings."""

    def run(self, settings: str) -> None:
        """Runs the process until SIGTERM.

        Args:
            settings: Path of the JSON settings file.
        """
        loaded = _load(settings)
        logs.configure_non_blocking(loaded.host)
        asyncio.run(_run(loaded, settings))

    def check(self, settings: str) -> str:
        """Checks a settings file.

        Args:
            settings: Path of the JSON settings file.
        """
        loaded = _load(settings)
        return f"{settings}: valid settings of {loaded.host}"


def main() -> None:
    """Runs the command line."""
    # Imported here: processes on the platform start without the command line
    # and save the memory.
    import fire

    fire.Fire(Commands, name="masticdale-entry")


async def _run(settings: Settings, path: str) -> None:
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGTERM, stop.set)
    loop.add_signal_handler(signal.SIGINT, stop.set)
    _check_settings_on_hang_up(loop, path, settings)
    logs.write("started", role=settings.role, store=str(settings.store))
    try:
        await _serve(settings, stop)
    finally:
        ignore_hang_up()


async def _serve(settings: Settings, stop: asyncio.Event) -> None:
    if settings.role is Role.ENTRY:
        from masticdale_entry.entry import EntryHost

        _enable_gc()
        await EntryHost(settings).run(stop)
    else:
        from masticdale_entry.storage import StorageHost

        _enable_gc()
        await StorageHost(settings).run(stop)


def _check_settings_on_hang_up(
    loop: asyncio.AbstractEventLoop, path: str, settings: Settings
) -> None:
    """Checks the settings file at each SIGHUP.

    The event loop's own handlers give way to the default when it is closed,
    and SIGHUP would then end a process that has stopped gracefully by the
    signal, as if it had failed. This one is replaced without a gap.
    """

    def check(number: int, frame: types.FrameType | None) -> None:
        del number, frame
        loop.call_soon_threadsafe(check_settings, path, settings)

    signal.signal(signal.SIGHUP, check)


def _enable_gc() -> None:
    """Enables garbage collection, excluding the objects loaded so far.

    ``deploy/start.py`` disables it while modules are imported, since collection
    finds little garbage then and delays the start.
    """
    gc.freeze()
    gc.enable()


def check_settings(path: str, active: Settings) -> None:
    """Checks a settings file that may have changed, and logs the result.

    The process keeps the settings that it started with.

    Args:
        path: Path of the JSON settings file.
        active: The settings of the process.
    """
    outcome = settings_files.load(pathlib.Path(path), Settings)
    if isinstance(outcome, Failed):
        reason = str(outcome.failure())
        logs.write("settings_checked", path=path, failure=reason, pending=[])
        return
    changed = outcome.unwrap()
    pending = [
        name
        for name in Settings.model_fields
        if getattr(changed, name) != getattr(active, name)
    ]
    logs.write("settings_checked", path=path, failure="", pending=pending)


def _load(path: str) -> Settings:
    outcome = settings_files.load(pathlib.Path(path), Settings)
    if isinstance(outcome, Failed):
        print(outcome.failure().detail, file=sys.stderr)
        sys.exit(_EXIT_INVALID_SETTINGS)
    return outcome.unwrap()
