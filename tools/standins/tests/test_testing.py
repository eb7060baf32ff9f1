"""Tests of the helpers that start processes."""

import socket
import subprocess
import sys
import unittest

from masticdale_standins.testing import free_port

# Several times as many as all test files of a CI run ask for together.
PORTS = 600
ASK = f"""
import sys
from masticdale_standins.testing import free_port
print(*(free_port() for _ in range({PORTS})), flush=True)
sys.stdin.read()
"""


class FreePortTest(unittest.TestCase):
    """A process is not ready in time, now and then, and nothing is wrong.

    Tests choose ports beforehand: they stand in the settings of several
    processes, which bind them a second later, and again after a restart.
    The kernel may meanwhile give the same port out once more, to the same
    test or to one beside it. The process then ends with "address already in
    use", seen in 2 of 60 starts of an entry host, six at a time; of 20,000
    clusters of 13 ports each 122 held one port twice.
    """

    def test_no_port_is_given_out_twice(self):
        ports = [free_port() for _ in range(PORTS)]
        self.assertEqual(len(set(ports)), PORTS)

    def test_no_port_is_given_out_to_two_processes(self):
        processes = [self.ask() for _ in range(3)]
        ports = [
            port
            for process in processes
            for port in process.stdout.readline().split()
        ]
        self.assertEqual(len(set(ports)), 3 * PORTS)

    def test_the_kernel_gives_none_of_them_to_a_listener(self):
        """A port of a process that is being restarted is taken by another."""
        ports = {free_port() for _ in range(PORTS)}
        listeners = [socket.create_server(("127.0.0.1", 0)) for _ in ports]
        taken = {listener.getsockname()[1] for listener in listeners}
        for listener in listeners:
            listener.close()
        self.assertEqual(ports & taken, set())

    def ask(self):
        process = subprocess.Popen(
            [sys.executable, "-c", ASK],
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
        )
        self.addCleanup(process.communicate)
        return process


if __name__ == "__main__":
    unittest.main()
