"""Starts and stops fakes and other processes from tests."""

import atexit
import contextlib
import dataclasses
import enum
import json
import os
import pathlib
import random
import signal
import socket
import subprocess
import sys
import tempfile
import time
from collections.abc import Iterator, Sequence

import httpx

from masticdale_standins.settings import ListenSettings

_READY_TIMEOUT_S = 20.0
_POLL_S = 0.05
_STOP_TIMEOUT_S = 5.0
_LOG_TAIL_BYTES = 4000
_LOOPBACK = "127.0.0.1"
# Below the ephemeral port range of Linux.
_PORTS = range(10_000, 32_000)
_PORT_TRIES = 1000
_RESERVATIONS = contextlib.ExitStack()
atexit.register(_RESERVATIONS.close)


class Kind(enum.StrEnum):
    """Kind of a fake."""

    PLATFORM = "platform"
    ENGINE = "engine"
    SERVICE = "service"


class NotReadyError(Exception):
    """A process did not become ready in time."""


@dataclasses.dataclass(slots=True, eq=False)
class RunningProcess:
    """A child process.

    Attributes:
        base_url: Base URL that it serves.
        log_path: File with its standard output and error.
    """

    base_url: str
    log_path: pathlib.Path
    _process: subprocess.Popen[bytes]
    _folder: tempfile.TemporaryDirectory[str]

    @property
    def pid(self) -> int:
        """Process id."""
        return self._process.pid

    @property
    def exit_code(self) -> int | None:
        """Exit code; None while it runs."""
        return self._process.poll()

    def log_text(self) -> str:
        """Returns the end of its log."""
        return self.log_path.read_bytes()[-_LOG_TAIL_BYTES:].decode(
            errors="replace"
        )

    def pause(self) -> None:
        """Suspends the process with SIGSTOP."""
        self._signal(signal.SIGSTOP)

    def resume(self) -> None:
        """Resumes the process after ``pause``."""
        self._signal(signal.SIGCONT)

    def kill(self) -> None:
        """Kills the process with SIGKILL and waits for its exit."""
        self._signal(signal.SIGKILL)
        self._process.wait()

    def terminate(self) -> None:
        """Sends SIGTERM without waiting for the exit."""
        self._signal(signal.SIGTERM)

    def wait(self, timeout_s: float = _STOP_TIMEOUT_S) -> int:
        """Waits for the exit and returns the exit code."""
        return self._process.wait(timeout_s)

    def stop(self, timeout_s: float = _STOP_TIMEOUT_S) -> None:
        """Terminates the process, kills it on timeout, and cleans up."""
        self.resume()
        self.terminate()
        try:
            self.wait(timeout_s)
        except subprocess.TimeoutExpired:
            self.kill()
        self._folder.cleanup()

    def _signal(self, number: signal.Signals) -> None:
        # The pid of an exited process may have been reused.
        if self._process.poll() is None:
            os.kill(self._process.pid, number)


def free_port() -> int:
    """Reserves a loopback TCP port until this process exits.

    Settings name a port before a process binds it and while the process
    restarts. The kernel could give a port of its ephemeral range to another
    listener in the meantime, and the process would fail with "address in use".
    Reserved ports are below that range and exclusive among all processes that
    use this function.

    Raises:
        NotReadyError: No free port was found.
    """
    for _ in range(_PORT_TRIES):
        port = random.choice(_PORTS)
        if _reserve(port) and _is_free(port):
            return port
    raise NotReadyError(f"no free port found after {_PORT_TRIES} attempts")


def _reserve(port: int) -> bool:
    # A UDP socket bound to the same number is the reservation: the bind is
    # exclusive, and the kernel releases it when the process exits.
    reservation = socket.socket(type=socket.SOCK_DGRAM)
    try:
        reservation.bind((_LOOPBACK, port))
    except OSError:
        reservation.close()
        return False
    _RESERVATIONS.enter_context(reservation)
    return True


def _is_free(port: int) -> bool:
    with socket.socket() as listener:
        try:
            listener.bind((_LOOPBACK, port))
        except OSError:
            return False
        return True


def start_command(
    command: Sequence[str], settings_json: str, base_url: str
) -> RunningProcess:
    """Starts a command that reads a settings file.

    Args:
        command: The command; the path of the settings file is appended.
        settings_json: Content of the settings file.
        base_url: Base URL that the process will serve.

    Returns:
        The process, which may not be ready yet.
    """
    folder = tempfile.TemporaryDirectory(prefix="masticdale-")
    settings_path = pathlib.Path(folder.name, "settings.json")
    settings_path.write_text(settings_json)
    log_path = pathlib.Path(folder.name, "log")
    with log_path.open("wb") as log:
        process = subprocess.Popen(
            [*command, str(settings_path)],
            stdin=subprocess.DEVNULL,
            stdout=log,
            stderr=subprocess.STDOUT,
        )
    return RunningProcess(base_url, log_path, process, folder)


def start_process(kind: Kind, settings: ListenSettings) -> RunningProcess:
    """Starts a fake.

    Args:
        kind: Kind of the fake.
        settings: Its settings, with the listening address.

    Returns:
        The process, which may not be ready yet.
    """
    module = "masticdale_standins.main"
    return start_command(
        [sys.executable, "-m", module, kind.value, "--settings"],
        json.dumps(settings.model_dump(mode="json")),
        f"http://{settings.host}:{settings.port}",
    )


def start_ready(kind: Kind, settings: ListenSettings) -> RunningProcess:
    """Starts a fake and waits until it is ready.

    Raises:
        NotReadyError: It is not ready in time; it is stopped.
    """
    process = start_process(kind, settings)
    try:
        with log_if_not_ready(process):
            wait_until_ready(process.base_url)
    except NotReadyError:
        process.stop()
        raise
    return process


@contextlib.contextmanager
def log_if_not_ready(process: RunningProcess) -> Iterator[None]:
    """Adds the end of a process's log and its exit code to the error."""
    try:
        yield
    except NotReadyError as error:
        ended = f"exit code {process.exit_code}"
        text = f"{error}\n{ended}\n{process.log_text()}"
        raise NotReadyError(text) from error


def wait_until_ready(
    base_url: str,
    path: str = "/v1/health",
    timeout_s: float = _READY_TIMEOUT_S,
) -> None:
    """Waits until the health check of a process succeeds.

    Raises:
        NotReadyError: It does not succeed in time.
    """
    deadline = time.monotonic() + timeout_s
    with httpx.Client(timeout=timeout_s, trust_env=False) as http:
        while time.monotonic() < deadline:
            try:
                if http.get(base_url + path).is_success:
                    return
            except httpx.TransportError:
                pass
            time.sleep(_POLL_S)
    raise NotReadyError(f"{base_url}{path} not ready after {timeout_s} s")
