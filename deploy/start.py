"""Starts a process of masticdale from a checkout.

Third-party packages lie in ``target/deps``, which the platform puts on the
path; the project's own are found here, so that a change of them needs no
build.
"""

import gc
import glob
import os
import pathlib
import sys

# Most of what is loaded lives as long as the process. Looking for garbage among
# it costs a tenth of the processor time until callers are served; the command
# line turns the collection on again once all is loaded.
gc.disable()

_ROOT = pathlib.Path(__file__).resolve().parent.parent
_SETTINGS_VARIABLE = "MASTICDALE_BOOT"

# At the end: each import looks through the folders in order, and most of them
# are of the standard library and of third parties.
for _pattern in ("libs/*/src", "platform/src", "apps/masticdale_entry/src"):
    sys.path += sorted(glob.glob(str(_ROOT / _pattern)))


def main() -> None:
    """Runs the process that the settings file describes."""
    from masticdale_entry.starting import ignore_hang_up

    ignore_hang_up()
    from masticdale_entry.main import Commands

    Commands().run(os.environ[_SETTINGS_VARIABLE])


if __name__ == "__main__":
    main()
