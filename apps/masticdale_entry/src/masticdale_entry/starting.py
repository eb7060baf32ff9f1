"""The first steps of a process, before other modules are imported."""

import signal


def ignore_hang_up() -> None:
    """Ignores SIGHUP, before its handler is installed and after its use.

    SIGHUP makes a running process check its settings file, but by default it
    terminates the process. One that is still importing modules would end
    without a log line, and one that has stopped with the wrong exit code.
    """
    signal.signal(signal.SIGHUP, signal.SIG_IGN)


def main() -> None:
    """Runs the command line ``masticdale-entry``."""
    ignore_hang_up()
    from masticdale_entry.main import main as run

    run()
