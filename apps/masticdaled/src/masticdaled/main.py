"""The command ``masticdaled``."""

import asyncio
import pathlib
import signal
import sys

import fire
from returns.result import Failure as Failed

from masticdale_common import Failure, MasticdaleError, logs, settings
from masticdaled.daemon import create_daemon
from masticdaled.settings import DaemonSettings

# SIGHUP among them: by default a lost terminal would cut off every request.
_STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP)


class Commands:
    """Runs and checks the daemon of one entry host."""

    def run(self, file: str) -> None:
        """Runs the daemon until a stop signal, then stops gracefully.

        Args:
            file: The JSON settings file.
        """
        loaded = _load(file)
        logs.configure(loaded.host)
        try:
            asyncio.run(_run(loaded))
        except MasticdaleError as error:
            _exit(error.failure)

    def check(self, file: str) -> None:
        """Checks a settings file without starting anything.

        Args:
            file: The JSON settings file.
        """
        loaded = _load(file)
        print(f"{file}: valid settings of host {loaded.host}")


async def _run(loaded: DaemonSettings) -> None:
    stopped = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in _STOP_SIGNALS:
        loop.add_signal_handler(number, stopped.set)
    daemon = create_daemon(loaded)
    await daemon.start()
    await stopped.wait()
    await daemon.stop()


def _load(file: str) -> DaemonSettings:
    outcome = settings.load(pathlib.Path(file), DaemonSettings)
    if isinstance(outcome, Failed):
        _exit(outcome.failure())
    return outcome.unwrap()


def _exit(failure: Failure) -> None:
    print(f"masticdaled: {failure}", file=sys.stderr)
    sys.exit(failure.response.exit_code)


def main() -> None:
    """Runs the command line."""
    fire.Fire(Commands, name="masticdaled")


if __name__ == "__main__":
    main()
