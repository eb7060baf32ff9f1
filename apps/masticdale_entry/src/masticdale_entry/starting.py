"""The first steps of a process, before anything else is loaded."""

import signal


def ignore_hang_up() -> None:
    """Ignores SIGHUP until the process handles it.

    It asks for the settings to be read again, and by default ends a process.
    One that is still loading, some half a second on a slow host, has read
    nothing yet that could be old; it would be gone without a log line.
    """
    signal.signal(signal.SIGHUP, signal.SIG_IGN)


def main() -> None:
    """Runs the command line ``masticdale-entry``."""
    ignore_hang_up()
    from masticdale_entry.main import main as run

    run()
