"""Tests of process startup."""

import json
import pathlib
import signal
import subprocess
import sys
import time
import unittest

CODE = """
import sys
sys.argv = ["masticdale-entry", "check", "--settings", "/nowhere.json"]
from masticdale_entry import starting
print("loading", flush=True)
starting.ignore_hang_up()
import time
time.sleep(1.0)
starting.main()
"""
# Runs a script up to its first change of a signal's handler, and prints that
# change with the modules that the script has loaded by then.
FIRST_SIGNAL_CODE = """
import _signal
import sys

script = sys.argv[1]
with open(script) as file:
    program = compile(file.read(), script, "exec")
sys.path[0] = script.rpartition("/")[0]
known = set(sys.modules)

def report(number, handler):
    loaded = sorted(set(sys.modules) - known)
    import json
    import os

    found = {"number": number, "handler": handler, "loaded": loaded}
    print(json.dumps(found), flush=True)
    os._exit(0)

_signal.signal = report
exec(program, {"__name__": "__main__", "__file__": script})
"""
ROOT = pathlib.Path(__file__).resolve().parents[3]
START = ROOT / "deploy" / "start.py"


class HangUpTest(unittest.TestCase):
    def test_a_hang_up_does_not_end_a_process_that_is_loading(self):
        """Guards against SIGHUP killing a process without a log line.

        The process is still importing modules and has no handler yet.
        """
        process = subprocess.Popen(
            [sys.executable, "-c", CODE],
            stdout=subprocess.PIPE,
            stderr=subprocess.PIPE,
        )
        self.assertEqual(process.stdout.readline(), b"loading\n")
        time.sleep(0.2)
        process.send_signal(signal.SIGHUP)
        _, errors = process.communicate(timeout=60)
        # The process continued to its settings file, which is missing.
        self.assertEqual(process.returncode, 2, errors)

    def test_the_signal_is_ignored_before_anything_is_loaded(self):
        """Checks both entry points of a process."""
        command = (
            "import sys\n"
            "from masticdale_entry import starting\n"
            "print('masticdale_entry.main' in sys.modules,"
            " 'pydantic' in sys.modules)"
        )
        printed = subprocess.run(
            [sys.executable, "-c", command],
            capture_output=True,
            text=True,
            check=True,
        ).stdout
        self.assertEqual(printed.split(), ["False", "False"])
        text = START.read_text()
        self.assertLess(
            text.index("signal.signal("), text.index("import Commands")
        )

    def test_a_deployed_process_loads_nothing_before_it_ignores_the_signal(
        self,
    ):
        """Guards against a long window in which SIGHUP kills the process.

        Modules that are loaded first would widen it; ``signal`` alone
        doubles it.
        """
        command = [sys.executable, "-S", "-c", FIRST_SIGNAL_CODE, str(START)]
        finished = subprocess.run(
            command, capture_output=True, text=True, check=False
        )
        self.assertEqual(finished.returncode, 0, finished.stderr)
        self.assertEqual(
            json.loads(finished.stdout),
            {
                "number": signal.SIGHUP,
                "handler": signal.SIG_IGN,
                "loaded": [],
            },
        )


if __name__ == "__main__":
    unittest.main()
