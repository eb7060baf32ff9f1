"""Tests of the signals that a running process gets."""

import contextlib
import json
import os
import pathlib
import signal
import subprocess
import sys
import tempfile
import threading
import time
import unittest

START = pathlib.Path(__file__).resolve().parents[3] / "deploy" / "start.py"
# Nothing listens there: a storage host runs and stops without its store.
SETTINGS = {
    "host": "storage-1",
    "role": "storage",
    "failure_domain": "a",
    "store": "127.0.0.1:1",
    "grace_s": 6,
}
STOP_TIMEOUT_S = 30
# A process that does not answer is killed then, which ends each wait for it.
PROCESS_TIMEOUT_S = 60
INTERVAL_S = 0.001


@contextlib.contextmanager
def running_process():
    """Yields a process that has started, and its settings file."""
    with tempfile.TemporaryDirectory() as folder:
        settings = pathlib.Path(folder) / "settings.json"
        settings.write_text(json.dumps(SETTINGS))
        process = subprocess.Popen(
            [sys.executable, str(START)],
            env=os.environ | {"MASTICDALE_BOOT": str(settings)},
            stdout=subprocess.PIPE,
            stderr=subprocess.PIPE,
        )
        timer = threading.Timer(PROCESS_TIMEOUT_S, process.kill)
        timer.start()
        try:
            line = json.loads(process.stdout.readline())
            assert line["message_type"] == "started", line
            yield process, settings
        finally:
            timer.cancel()
            process.kill()
            process.communicate()


class HangUpTest(unittest.TestCase):
    def test_a_hang_up_names_the_changed_settings(self):
        """Guards against a signal that waits until the event loop wakes up."""
        with running_process() as (process, settings):
            settings.write_text(json.dumps(SETTINGS | {"grace_s": 7}))
            process.send_signal(signal.SIGHUP)
            while True:
                line = json.loads(process.stdout.readline())
                if line["message_type"] == "settings_checked":
                    break
            self.assertEqual(line["pending"], ["grace_s"])
            process.send_signal(signal.SIGTERM)
            self.assertEqual(process.wait(STOP_TIMEOUT_S), 0)

    def test_a_hang_up_while_a_process_ends_leaves_its_exit_code(self):
        """Guards against a graceful stop that ends by SIGHUP.

        Between the end of the event loop and the exit the loop's handlers are
        gone.
        """
        with running_process() as (process, _):
            process.send_signal(signal.SIGTERM)
            deadline = time.monotonic() + STOP_TIMEOUT_S
            while process.poll() is None and time.monotonic() < deadline:
                process.send_signal(signal.SIGHUP)
                time.sleep(INTERVAL_S)
            self.assertEqual(process.poll(), 0)


if __name__ == "__main__":
    unittest.main()
