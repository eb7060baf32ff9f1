"""Tests of the signals that a running daemon gets."""

import json
import pathlib
import signal
import subprocess
import sys
import tempfile
import threading
import unittest

from masticdale_standins.testing import free_port

COMMAND = (sys.executable, "-c", "from masticdaled.main import main; main()")
# A daemon that does not answer is killed then, which ends each wait for it.
PROCESS_TIMEOUT_S = 60


class StopSignalTest(unittest.TestCase):
    def test_each_signal_that_ends_the_daemon_is_a_graceful_stop(self):
        """Guards against requests that are cut off by a lost terminal."""
        for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
            with self.subTest(number=number):
                code, lines = self.run_and_send(number)
                self.assertEqual(code, 0)
                self.assertIn("stopped", lines)

    def run_and_send(self, number):
        """Returns the exit code and the message types after the start."""
        address = {"ip": "127.0.0.1"}
        settings = {
            "host": "a",
            "domain": "a",
            "callers": address | {"port": free_port()},
            "operators": address | {"port": free_port()},
            "peer_listener": address | {"port": free_port()},
            # Nothing listens there: the daemon starts and waits for it.
            "platform_url": "http://127.0.0.1:1",
            "stop": {"unready_s": 0.1, "finish_s": 5},
        }
        with tempfile.TemporaryDirectory() as folder:
            path = pathlib.Path(folder) / "settings.json"
            path.write_text(json.dumps(settings))
            process = subprocess.Popen(
                (*COMMAND, "run", str(path)),
                stdout=subprocess.DEVNULL,
                stderr=subprocess.PIPE,
                text=True,
            )
            timer = threading.Timer(PROCESS_TIMEOUT_S, process.kill)
            timer.start()
            try:
                for line in process.stderr:
                    if '"started"' in line:
                        break
                process.send_signal(number)
                _, rest = process.communicate()
            finally:
                timer.cancel()
                process.kill()
                process.wait()
        lines = [json.loads(line) for line in rest.splitlines()]
        return process.returncode, [line.get("message_type") for line in lines]


if __name__ == "__main__":
    unittest.main()
