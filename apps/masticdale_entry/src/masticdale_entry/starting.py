"""The first steps of a process, before other modules are imported."""

import signal


def ignore_hang_up() -> None:
    """Ignores SIGHUP until its handler is installed.

    SIGHUP makes a running process check its settings file, but by default it
    terminates the process. One that is still importing modules would end
    without a log line.
    """
    signal.signal(signal.SIGHUP, signal.SIG_IGN)


def main() -> None:
    """Runs the command line ``masticdale-entry``."""
    ignore_hang_up()
    from masticdale_entry.main import main as run

    run()
