"""Entry hosts as processes of their own, with proxies on their links."""

import asyncio
import dataclasses
import itertools
import json
import os
import pathlib
import signal
import subprocess
import sys
import sysconfig
import time
from typing import IO

import httpx

from masticdale_adapter import READINESS_PATH
from masticdale_soak.fault_stack import Layers
from masticdale_soak.proxies import LinkState, Proxy

# What the platform grants a process between SIGTERM and SIGKILL, in seconds.
GRACE_S = 6.0
# A start takes one to two seconds on a busy machine.
_START_LIMIT_S = 20.0
_POLL_S = 0.05
_BALANCER_TIMEOUT_S = 1.0
_CALLERS_PORT = 8001
_READINESS_PORT = 8002
_PEERS_PORT = 8003
_METRICS_PORT = 8004
_DEPLOYED = pathlib.Path(__file__).parents[4] / "deploy" / "start.py"

# Hosts of this process so far. Each has an address of its own, so that its
# ports can't be taken by another run, or by a proxy, while it is down.
_NUMBERS = itertools.count(1)
_MOST_HOSTS = 250


def next_address() -> str:
    """Returns a loopback address that nothing else in use here has."""
    number = next(_NUMBERS) % _MOST_HOSTS + 1
    process = os.getpid()
    second = process // _MOST_HOSTS % _MOST_HOSTS + 1
    return f"127.{second}.{process % _MOST_HOSTS}.{number}"


@dataclasses.dataclass(slots=True)
class Life:
    """One process from its start to its end.

    Attributes:
        number: Starts of this host so far.
        began: Monotonic seconds of its start.
        stop_at: When it was told to stop, if it was.
        ended: When its end was seen.
        exit_code: How it ended; negative for a signal.
        is_late: Whether it was not ready in time after its start.
    """

    number: int
    began: float
    stop_at: float | None = None
    ended: float | None = None
    exit_code: int | None = None
    is_late: bool = False


class HostProcess:
    """An entry host: its links, its settings, its processes.

    Attributes:
        name: Its name.
        store_link: Its way to the platform's store.
        store_faults: What that link does wrong.
        peers_link: The way of the other hosts to it.
        peers_faults: What that one does wrong.
        lives: All of its processes.
    """

    def __init__(
        self, name: str, folder: pathlib.Path, command: tuple[str, ...]
    ) -> None:
        self.name = name
        self.store_link = Proxy()
        self.store_faults = Layers(LinkState(), self.store_link.set_link_state)
        self.peers_link = Proxy()
        self.peers_faults = Layers(LinkState(), self.peers_link.set_link_state)
        self.lives: list[Life] = []
        self._folder = folder
        self._command = command or _deployed_command()
        self._process: subprocess.Popen[bytes] | None = None
        self._log: IO[bytes] | None = None
        self._address = next_address()
        # Without TLS: to load certificates would hold up every caller.
        self._balancer = httpx.AsyncClient(
            trust_env=False, timeout=_BALANCER_TIMEOUT_S, verify=False
        )

    @property
    def url(self) -> str:
        """Where callers connect."""
        return f"http://{self._address}:{_CALLERS_PORT}"

    @property
    def is_running(self) -> bool:
        """Whether its process exists."""
        return self._process is not None and self._process.poll() is None

    async def open_links(self, store_port: int) -> None:
        """Starts its proxies."""
        await self.store_link.start(store_port)
        await self.peers_link.start(_PEERS_PORT, self._address)

    async def close(self) -> None:
        """Ends process and proxies."""
        await self.kill()
        await self._balancer.aclose()
        await self.store_link.stop()
        await self.peers_link.stop()
        if self._log is not None:
            self._log.close()

    def write_settings(self, seeds: list["HostProcess"]) -> None:
        """Writes its settings file."""
        address = self._address
        settings = {
            "host": self.name,
            "role": "entry",
            "failure_domain": "a",
            "store": f"127.0.0.1:{self.store_link.port}",
            "grace_s": GRACE_S,
            "callers": f"{address}:{_CALLERS_PORT}",
            "readiness": f"{address}:{_READINESS_PORT}",
            "peers": f"{address}:{_PEERS_PORT}",
            "peers_advertised": f"127.0.0.1:{self.peers_link.port}",
            "metrics_port": _METRICS_PORT,
            "seeds": [f"127.0.0.1:{s.peers_link.port}" for s in seeds],
        }
        self._settings_path.write_text(json.dumps(settings, indent=2))

    def start(self) -> None:
        """Starts a process, unless one is there."""
        if self.is_running:
            return
        self._note_end()
        if self._log is None:
            self._log = (self._folder / f"{self.name}.log").open("ab")
        self._process = subprocess.Popen(
            (*self._command, "run", "--settings", str(self._settings_path)),
            stdout=self._log,
            stderr=subprocess.STDOUT,
            env=os.environ | _deployed_environment(self._settings_path),
        )
        self.lives.append(Life(len(self.lives) + 1, time.monotonic()))

    async def wait_ready(self) -> None:
        """Waits until the balancer may send callers, or too long."""
        ends_at = time.monotonic() + _START_LIMIT_S
        while not await self.is_ready():
            if time.monotonic() > ends_at:
                self.lives[-1].is_late = True
                return
            await asyncio.sleep(_POLL_S)

    async def is_ready(self) -> bool:
        """Asks as the balancer does."""
        url = f"http://{self._address}:{_READINESS_PORT}{READINESS_PATH}"
        try:
            answer = await self._balancer.get(url)
        except httpx.TransportError:
            return False
        return answer.status_code == httpx.codes.OK

    async def kill(self) -> None:
        """Ends its process at once and waits for its end."""
        self.send(signal.SIGKILL)
        await self.wait_ended()

    async def stop(self) -> None:
        """Tells it to stop; kills it at the end of its grace."""
        if not self.is_running:
            return
        life = self.lives[-1]
        life.stop_at = time.monotonic()
        self.send(signal.SIGTERM)
        while self.is_running and time.monotonic() < life.stop_at + GRACE_S:
            await asyncio.sleep(_POLL_S)
        await self.kill()

    async def wait_ended(self) -> None:
        """Waits for the end of its process and notes how it ended."""
        while self.is_running:
            await asyncio.sleep(_POLL_S / 5)
        self._note_end()

    def send(self, number: signal.Signals) -> None:
        """Sends a signal to its process, if there is one."""
        if self._process is not None and self.is_running:
            self._process.send_signal(number)

    @property
    def _settings_path(self) -> pathlib.Path:
        return self._folder / f"{self.name}.json"

    def _note_end(self) -> None:
        if self._process is None or not self.lives:
            return
        life = self.lives[-1]
        if life.ended is None:
            life.ended = time.monotonic()
            life.exit_code = self._process.returncode


def _deployed_command() -> tuple[str, ...]:
    """Returns how the deploy file starts an entry host."""
    return (sys.executable, "-S", str(_DEPLOYED))


def _deployed_environment(settings_path: pathlib.Path) -> dict[str, str]:
    return {
        "MASTICDALE_BOOT": str(settings_path),
        "PYTHONPATH": sysconfig.get_path("purelib"),
    }
