"""Tests of process startup."""

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
ROOT = pathlib.Path(__file__).resolve().parents[3]


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
        text = (ROOT / "deploy" / "start.py").read_text()
        self.assertLess(
            text.index("ignore_hang_up()"), text.index("import Commands")
        )

    def test_a_deployed_process_loads_nothing_before_it_ignores_the_signal(
        self,
    ):
        """Guards against a long window in which SIGHUP kills the process.

        Modules that are imported first would widen it.
        """
        start = ROOT / "deploy" / "start.py"
        command = [sys.executable, "-S", "-X", "importtime", str(start)]
        errors = subprocess.run(
            command, capture_output=True, text=True, check=False
        ).stderr
        loaded = [line.split("|")[-1].strip() for line in errors.splitlines()]
        before = loaded[: loaded.index("masticdale_entry.starting")]
        self.assertIn("signal", before)
        for name in ("glob", "pathlib", "re", "pydantic"):
            self.assertNotIn(name, before)


if __name__ == "__main__":
    unittest.main()
