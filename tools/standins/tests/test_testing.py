"""Tests of the reservation of ports."""

import socket
import subprocess
import sys
import unittest

from masticdale_standins.testing import free_port

# Several times as many ports as a CI run uses.
PORTS = 600
ASK = f"""
import sys
from masticdale_standins.testing import free_port
print(*(free_port() for _ in range({PORTS})), flush=True)
sys.stdin.read()
"""


class FreePortTest(unittest.TestCase):
    """Guards against processes that fail with "address already in use".

    Tests choose ports before processes bind them. A port chosen twice, or given
    to another listener by the kernel, fails an unrelated test.
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
        """Otherwise another listener could take the port during a restart."""
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
