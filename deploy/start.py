"""Starts a process of masticdale from a checkout.

Third-party packages lie in ``target/deps``, which the platform puts on the
path; the project's own are found here, so that a change of them needs no
build.
"""

# Part of the interpreter; ``signal`` would load a dozen modules more.
import _signal

# Before anything is loaded: until here SIGHUP ends the process without a log
# line, and it is ready only after another start.
_signal.signal(_signal.SIGHUP, _signal.SIG_IGN)

import gc  # noqa: E402
import glob  # noqa: E402
import os  # noqa: E402
import sys  # noqa: E402

# The interpreter puts the folder of this file first.
_DEPLOY = sys.path[0]

# Most of what is loaded lives as long as the process. Looking for garbage among
# it costs a tenth of the processor time until callers are served; the command
# line turns the collection on again once all is loaded.
gc.disable()

_SETTINGS_VARIABLE = "MASTICDALE_BOOT"

# At the end: each import looks through the folders in order, and most of them
# are of the standard library and of third parties.
for _pattern in ("apps/masticdale_entry/src", "libs/*/src", "platform/src"):
    sys.path += sorted(glob.glob(f"{_DEPLOY}/../{_pattern}"))


def main() -> None:
    """Runs the process that the settings file describes."""
    from masticdale_entry.main import Commands

    Commands().run(os.environ[_SETTINGS_VARIABLE])


if __name__ == "__main__":
    main()
