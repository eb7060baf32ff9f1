"""Runs entry hosts as separate processes behind proxies."""

import asyncio
import dataclasses
import itertools
import json
import os
import pathlib
import shutil
import signal
import subprocess
import sys
import sysconfig
import time
from collections.abc import Callable
from typing import IO

import httpx

from masticdale_adapter import READINESS_PATH
from masticdale_soak.fault_stack import FaultStack
from masticdale_soak.proxies import LinkState, Proxy

# The excess over usage caps that the operator tolerates in a window of time.
CAP_WINDOW_S = 5.0
CAP_EXCESS_SHARE = 0.1
CAP_EXCESS_REQUESTS = 20

# Storage hosts that may be lost at once without losing a turn.
TOLERATED_LOSSES = 1

# Seconds between SIGTERM and SIGKILL on the platform.
GRACE_S = 6.0
_START_TIMEOUT_S = 20.0
_POLL_INTERVAL_S = 0.05
_READINESS_TIMEOUT_S = 1.0
_CALLERS_PORT = 8001
_READINESS_PORT = 8002
_PEERS_PORT = 8003
_METRICS_PORT = 8004
_HISTORY_PORT = 8005
_DISK_MB = 64
_START_SCRIPT = pathlib.Path(__file__).parents[4] / "deploy" / "start.py"

# Each host gets its own loopback address, so that no other run or proxy takes
# its ports while it is down.
_HOST_NUMBERS = itertools.count(1)
_MAX_HOSTS = 250


def allocate_loopback_address() -> str:
    """Returns a loopback address that is unused on this machine."""
    number = next(_HOST_NUMBERS) % _MAX_HOSTS + 1
    process = os.getpid()
    second = process // _MAX_HOSTS % _MAX_HOSTS + 1
    return f"127.{second}.{process % _MAX_HOSTS}.{number}"


@dataclasses.dataclass(slots=True)
class Incarnation:
    """One process of a host, from start to exit.

    Attributes:
        number: Sequence number of the process, from 1.
        started_at: Monotonic time of the start.
        stop_requested_at: Monotonic time of SIGTERM; None if none was sent.
        ended_at: Monotonic time when the exit was observed; None before.
        exit_code: Exit code; negative for a signal.
        start_timed_out: Whether it was not ready in time after its start.
        peak_bytes: Most resident memory that was observed.
    """

    number: int
    started_at: float
    stop_requested_at: float | None = None
    ended_at: float | None = None
    exit_code: int | None = None
    start_timed_out: bool = False
    peak_bytes: int = 0


class HostProcess:
    """An entry host with its proxies, settings and processes.

    Attributes:
        name: Name of the host.
        store_proxy: Proxy from the host to the platform's store.
        store_link_faults: Faults of that proxy.
        peer_proxy: Proxy from the other hosts to this one.
        peer_link_faults: Faults of that proxy.
        incarnations: All processes of the host so far.
    """

    def __init__(
        self, name: str, directory: pathlib.Path, command: tuple[str, ...]
    ) -> None:
        self.name = name
        self.store_proxy = Proxy()
        self.store_link_faults = FaultStack(
            LinkState(), self.store_proxy.set_link_state
        )
        self.peer_proxy = Proxy()
        self.peer_link_faults = FaultStack(
            LinkState(), self.peer_proxy.set_link_state
        )
        self.incarnations: list[Incarnation] = []
        self._directory = directory
        self._command = command or _deployed_command()
        self._process: subprocess.Popen[bytes] | None = None
        self._log: IO[bytes] | None = None
        self._address = allocate_loopback_address()
        # Without verification, since loading certificates blocks the event loop
        # and delays all requests.
        self._readiness_client = httpx.AsyncClient(
            trust_env=False, timeout=_READINESS_TIMEOUT_S, verify=False
        )

    @property
    def url(self) -> str:
        """Base URL for callers."""
        return f"http://{self._address}:{_CALLERS_PORT}"

    @property
    def is_running(self) -> bool:
        """Whether the process is running."""
        return self._process is not None and self._process.poll() is None

    async def start_proxies(self, store_port: int) -> None:
        """Starts the proxies."""
        await self.store_proxy.start(store_port)
        await self.peer_proxy.start(_PEERS_PORT, self._address)

    async def close(self) -> None:
        """Kills the process and stops the proxies."""
        await self.kill()
        await self._readiness_client.aclose()
        await self.store_proxy.stop()
        await self.peer_proxy.stop()
        if self._log is not None:
            self._log.close()

    def write_settings(self, seeds: list["HostProcess"]) -> None:
        """Writes the settings file."""
        text = json.dumps(self._settings(seeds), indent=2)
        self._settings_path.write_text(text)

    def _settings(self, seeds: list["HostProcess"]) -> dict[str, object]:
        address = self._address
        return {
            "host": self.name,
            "role": "entry",
            "failure_domain": "a",
            "store": f"127.0.0.1:{self.store_proxy.port}",
            "grace_s": GRACE_S,
            "callers": f"{address}:{_CALLERS_PORT}",
            "readiness": f"{address}:{_READINESS_PORT}",
            "peers": f"{address}:{_PEERS_PORT}",
            "peers_advertised": f"127.0.0.1:{self.peer_proxy.port}",
            "metrics_port": _METRICS_PORT,
            "seeds": [f"127.0.0.1:{s.peer_proxy.port}" for s in seeds],
            "usage_window_s": CAP_WINDOW_S,
            "usage_excess_share": CAP_EXCESS_SHARE,
            "usage_excess_requests": CAP_EXCESS_REQUESTS,
            "tolerated_losses": TOLERATED_LOSSES,
        }

    def start(self) -> None:
        """Starts a process unless one is running."""
        if self.is_running:
            return
        self._record_exit()
        if self._log is None:
            self._log = (self._directory / f"{self.name}.log").open("ab")
        self._process = subprocess.Popen(
            (*self._command, "run", "--settings", str(self._settings_path)),
            stdout=self._log,
            stderr=subprocess.STDOUT,
            env=os.environ | _deployed_environment(self._settings_path),
        )
        self.incarnations.append(
            Incarnation(len(self.incarnations) + 1, time.monotonic())
        )

    async def wait_ready(self) -> None:
        """Waits until the host is ready or the start timeout expires."""
        deadline = time.monotonic() + _START_TIMEOUT_S
        while not await self.is_ready():
            if time.monotonic() > deadline:
                self.incarnations[-1].start_timed_out = True
                return
            await asyncio.sleep(_POLL_INTERVAL_S)

    async def is_ready(self) -> bool:
        """Probes readiness as the load balancer does."""
        url = f"http://{self._address}:{_READINESS_PORT}{READINESS_PATH}"
        try:
            answer = await self._readiness_client.get(url)
        except httpx.TransportError:
            return False
        return answer.status_code == httpx.codes.OK

    def record_memory(self) -> None:
        """Records the peak of the resident memory of a running process."""
        if self._process is None or not self.is_running:
            return
        incarnation = self.incarnations[-1]
        peak_bytes = _peak_bytes(self._process.pid)
        incarnation.peak_bytes = max(incarnation.peak_bytes, peak_bytes)

    async def kill(self) -> None:
        """Kills the process and waits for its exit."""
        self.send(signal.SIGKILL)
        await self.wait_exited()

    async def stop(self) -> None:
        """Sends SIGTERM, and SIGKILL after the grace period."""
        if not self.is_running:
            return
        incarnation = self.incarnations[-1]
        incarnation.stop_requested_at = time.monotonic()
        self.send(signal.SIGTERM)
        while (
            self.is_running
            and time.monotonic() < incarnation.stop_requested_at + GRACE_S
        ):
            await asyncio.sleep(_POLL_INTERVAL_S)
        await self.kill()

    async def wait_exited(self) -> None:
        """Waits for the process to exit and records its exit code."""
        while self.is_running:
            await asyncio.sleep(_POLL_INTERVAL_S / 5)
        self._record_exit()

    def send(self, number: signal.Signals) -> None:
        """Sends a signal to the process if one is running."""
        if self._process is not None and self.is_running:
            self._process.send_signal(number)

    @property
    def _settings_path(self) -> pathlib.Path:
        return self._directory / f"{self.name}.json"

    def _record_exit(self) -> None:
        if self._process is None or not self.incarnations:
            return
        incarnation = self.incarnations[-1]
        if incarnation.ended_at is None:
            incarnation.ended_at = time.monotonic()
            incarnation.exit_code = self._process.returncode


class StorageProcess(HostProcess):
    """A storage host with its disk; it has no proxy for other hosts."""

    def __init__(
        self,
        name: str,
        directory: pathlib.Path,
        command: tuple[str, ...],
        is_listed: Callable[[str], bool],
    ) -> None:
        """Initializes the host.

        Args:
            name: Name of the host.
            directory: Directory for its settings, log and disk.
            command: Command that starts it; the deployed one if empty.
            is_listed: Returns whether the store lists a storage host.
        """
        super().__init__(name, directory, command)
        self._disk = directory / f"{name}-disk"
        self._disk.mkdir(exist_ok=True)
        self._is_listed = is_listed
        self._is_first_start = True

    async def wipe(self) -> None:
        """Kills the process and empties its disk."""
        await self.kill()
        shutil.rmtree(self._disk)
        self._disk.mkdir()
        self._is_first_start = False
        self.write_settings([])

    async def is_ready(self) -> bool:
        """Returns whether the store lists the running host."""
        return self.is_running and self._is_listed(self.name)

    def _settings(self, seeds: list["HostProcess"]) -> dict[str, object]:
        del seeds
        return {
            "host": self.name,
            "role": "storage",
            "failure_domain": "a",
            "store": f"127.0.0.1:{self.store_proxy.port}",
            "grace_s": GRACE_S,
            "history": f"{self._address}:{_HISTORY_PORT}",
            "data_dir": str(self._disk),
            "disk_mb": _DISK_MB,
            "first_start": self._is_first_start,
            "tolerated_losses": TOLERATED_LOSSES,
        }


def _peak_bytes(pid: int) -> int:
    """Returns the peak of a process's resident memory; 0 after its end."""
    try:
        lines = pathlib.Path(f"/proc/{pid}/status").read_text().splitlines()
    except OSError:
        return 0
    for line in lines:
        if line.startswith("VmHWM:"):
            return 1024 * int(line.split()[1])
    return 0


def _deployed_command() -> tuple[str, ...]:
    """Returns the command with which deploy/ starts an entry host."""
    return (sys.executable, "-S", str(_START_SCRIPT))


def _deployed_environment(settings_path: pathlib.Path) -> dict[str, str]:
    return {
        "MASTICDALE_BOOT": str(settings_path),
        "PYTHONPATH": sysconfig.get_path("purelib"),
    }
