"""Starting and stopping stand-ins, and other processes, from tests."""

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
# Below the ports that Linux gives to outgoing connections and to listeners
# that name none.
_PORTS = range(10_000, 32_000)
_PORT_TRIES = 1000
_RESERVATIONS = contextlib.ExitStack()
atexit.register(_RESERVATIONS.close)


class Kind(enum.StrEnum):
    """Which stand-in."""

    PLATFORM = "platform"
    ENGINE = "engine"
    SERVICE = "service"


class NotReadyError(Exception):
    """A process did not begin to serve."""


@dataclasses.dataclass(slots=True, eq=False)
class RunningProcess:
    """A process that this one started.

    Attributes:
        base_url: Where it serves.
        log_path: What it wrote to its standard streams.
    """

    base_url: str
    log_path: pathlib.Path
    _process: subprocess.Popen[bytes]
    _folder: tempfile.TemporaryDirectory[str]

    @property
    def pid(self) -> int:
        """Its process id."""
        return self._process.pid

    @property
    def exit_code(self) -> int | None:
        """How it ended; None while it runs."""
        return self._process.poll()

    def log_text(self) -> str:
        """Returns the end of what it wrote."""
        return self.log_path.read_bytes()[-_LOG_TAIL_BYTES:].decode(
            errors="replace"
        )

    def pause(self) -> None:
        """Stops its clock, as a long garbage collection would."""
        self._signal(signal.SIGSTOP)

    def resume(self) -> None:
        """Lets it go on after ``pause``."""
        self._signal(signal.SIGCONT)

    def kill(self) -> None:
        """Ends it at once, without any notice to it."""
        self._signal(signal.SIGKILL)
        self._process.wait()

    def terminate(self) -> None:
        """Asks it to stop and returns at once."""
        self._signal(signal.SIGTERM)

    def wait(self, timeout_s: float = _STOP_TIMEOUT_S) -> int:
        """Waits for its end and returns its exit code."""
        return self._process.wait(timeout_s)

    def stop(self, timeout_s: float = _STOP_TIMEOUT_S) -> None:
        """Asks it to stop, ends it if it does not, and cleans up."""
        self.resume()
        self.terminate()
        try:
            self.wait(timeout_s)
        except subprocess.TimeoutExpired:
            self.kill()
        self._folder.cleanup()

    def _signal(self, number: signal.Signals) -> None:
        # A pid that was waited for may belong to another process by now.
        if self._process.poll() is None:
            os.kill(self._process.pid, number)


def free_port() -> int:
    """Returns a loopback TCP port that nothing else here will listen on.

    Ports stand in settings before a process binds them, and are bound again
    after its restart. Meanwhile the kernel would give a port of its own range
    to any other listener, and the process would end with "address in use".
    These lie below that range, and each is reserved, among all processes that
    choose by this function, until the process that chose it ends.
    """
    for _ in range(_PORT_TRIES):
        port = random.choice(_PORTS)
        if _reserve(port) and _is_free(port):
            return port
    raise NotReadyError(f"no port of {_PORT_TRIES} that were tried is free")


def _reserve(port: int) -> bool:
    # The same number of a datagram socket is the reservation: binding it is
    # exclusive, and the kernel ends it with the process.
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
        command: The command; the settings file's path is put at its end.
        settings_json: What stands in the file.
        base_url: Where the process will serve.

    Returns:
        The process, perhaps not ready yet.
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
    """Starts a stand-in.

    Args:
        kind: Which one.
        settings: Its settings; host and port say where it serves.

    Returns:
        The process, perhaps not ready yet.
    """
    module = "masticdale_standins.main"
    return start_command(
        [sys.executable, "-m", module, kind.value, "--settings"],
        json.dumps(settings.model_dump(mode="json")),
        f"http://{settings.host}:{settings.port}",
    )


def start_ready(kind: Kind, settings: ListenSettings) -> RunningProcess:
    """Starts a stand-in and waits until it serves.

    Raises:
        NotReadyError: It does not serve in time; it is stopped.
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
    """Puts what a process wrote last, and how it ended, into the error."""
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
    """Waits until a process answers its health check.

    Raises:
        NotReadyError: It does not answer 200 in time.
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
    raise NotReadyError(f"{base_url}{path} does not answer")
