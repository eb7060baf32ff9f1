"""Stand-ins and process control for the cases of the review.

Only the standard library is used. The stand-ins speak what the users'
PROTOCOL page says: a metadata store with revisions and watches, and replicas
with receipts. The project's own programs run as separate processes, started
with the command of ``deploy/system.toml``.
"""

import asyncio
import collections
import dataclasses
import itertools
import json
import os
import pathlib
import secrets
import shutil
import signal
import socket
import subprocess
import tempfile
import time
import urllib.parse
from collections.abc import Awaitable, Callable
from typing import Any, TextIO

REPOSITORY = pathlib.Path(__file__).resolve().parents[1]
# The command of both roles in deploy/system.toml.
_COMMAND = ("python3", "-S", "deploy/start.py")
_VIRTUAL_HOST = "review.example"
_PAGE_SIZE = 500
# Time of the store for an answer, in seconds, as on the users' sheets.
_STORE_ANSWER_S = 0.004
_READY_TIMEOUT_S = 25.0
_POLL_S = 0.05
_HOST_NUMBERS = itertools.count(1)
_DRAIN_BYTES = 65_536


def new_address() -> str:
    """Returns a loopback address that no other process of a run uses."""
    pid = os.getpid()
    return f"127.{101 + pid // 250 % 100}.{1 + pid % 250}.{next(_HOST_NUMBERS)}"


def free_port(address: str) -> int:
    """Returns a port of a loopback address that is free now."""
    with socket.socket() as probe:
        probe.bind((address, 0))
        port: int = probe.getsockname()[1]
        return port


class Record:
    """The file with what was sent, answered and run.

    Attributes:
        started_at: Monotonic time of its first line, in seconds.
    """

    def __init__(self, path: pathlib.Path) -> None:
        self.started_at = time.monotonic()
        self._file: TextIO = path.open("w")

    def write(self, text: str, at: float | None = None) -> None:
        """Writes a line with its time since the start, in seconds."""
        moment = time.monotonic() if at is None else at
        self._file.write(f"{moment - self.started_at:9.3f}  {text}\n")

    def say(self, text: str) -> None:
        """Writes a line, also to standard output."""
        self.write(text)
        self._file.flush()
        print(text, flush=True)

    def close(self) -> None:
        """Closes the file."""
        self._file.close()


@dataclasses.dataclass(slots=True)
class Message:
    """A request or a response.

    Attributes:
        first_line: Request or status line.
        headers: Fields by lowercase name.
        body: The body.
        is_whole: Whether the body arrived whole.
    """

    first_line: str
    headers: dict[str, str]
    body: bytes = b""
    is_whole: bool = True

    @property
    def status(self) -> int:
        """Status of a response."""
        return int(self.first_line.split(" ", 2)[1])


async def read_message(reader: asyncio.StreamReader) -> Message | None:
    """Reads a request or a response; None at the end of the connection.

    Raises:
        OSError: The connection was reset.
        asyncio.IncompleteReadError: It ended within the head.
    """
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError as error:
        if error.partial:
            raise
        return None
    lines = head.decode("latin-1").split("\r\n")
    fields = (line.partition(":") for line in lines[1:] if line)
    message = Message(lines[0], {n.lower(): v.strip() for n, _, v in fields})
    try:
        if message.headers.get("transfer-encoding", "").lower() == "chunked":
            message.body = await _read_chunks(reader, message)
        else:
            length = int(message.headers.get("content-length", "0"))
            message.body = await reader.readexactly(length)
    except (OSError, asyncio.IncompleteReadError):
        message.is_whole = False
    return message


async def _read_chunks(reader: asyncio.StreamReader, message: Message) -> bytes:
    while True:
        size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
        data = (await reader.readexactly(size + 2))[:-2]
        if not size:
            return message.body
        message.body += data


def encode(status: int, headers: dict[str, str], body: bytes = b"") -> bytes:
    """Returns a whole response."""
    lines = [f"HTTP/1.1 {status} Stand-in"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


Handler = Callable[[Message, asyncio.StreamWriter], Awaitable[None]]


class Server:
    """An HTTP server whose handler writes the responses."""

    def __init__(self, address: str = "127.0.0.1") -> None:
        self.address = address
        self.port = 0
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task[Any]] = set()

    async def start(self) -> None:
        """Starts to listen on a free port."""
        self._server = await asyncio.start_server(
            self._serve, self.address, self.port, limit=1 << 20, backlog=1024
        )
        self.port = self._server.sockets[0].getsockname()[1]

    async def stop(self) -> None:
        """Stops listening and drops all connections."""
        if self._server is not None:
            self._server.close()
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def handle(
        self, request: Message, writer: asyncio.StreamWriter
    ) -> None:
        """Answers a request."""
        raise NotImplementedError

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        try:
            while (request := await read_message(reader)) is not None:
                if not request.is_whole:
                    break
                await self.handle(request, writer)
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass  # The peer has left, or this server stops.
        finally:
            self._tasks.discard(task)
            writer.transport.abort()


@dataclasses.dataclass(slots=True)
class _Object:
    name: str
    revision: int
    created: int
    # JSON as it was written, so that no writer's bytes are changed.
    spec: str
    status: str = "null"

    def encode(self) -> str:
        """Returns the object as the store answers it."""
        metadata = json.dumps(
            {
                "name": self.name,
                "revision": self.revision,
                "created_rev": self.created,
                "finalizers": [],
                "deleting": False,
            }
        )
        return (
            f'{{"metadata":{metadata},"spec":{self.spec},'
            f'"status":{self.status}}}'
        )


class Store(Server):
    """The platform's metadata store: linearizable, with watches."""

    def __init__(self) -> None:
        super().__init__()
        self._revision = 1
        self._objects: dict[str, dict[str, _Object]] = collections.defaultdict(
            dict
        )
        self._events: list[tuple[int, str, str]] = []
        self._changed = asyncio.Event()

    def put(self, kind: str, name: str, spec: object) -> float:
        """Writes an object; returns the monotonic time of the confirmation."""
        return self.put_text(kind, name, json.dumps(spec))

    def put_text(self, kind: str, name: str, spec: str) -> float:
        """Writes an object whose JSON is given as text."""
        known = self._objects[kind].get(name)
        self._revision += 1
        created = known.created if known else self._revision
        status = known.status if known else "null"
        item = _Object(name, self._revision, created, spec, status)
        self._objects[kind][name] = item
        self._note(kind, item, deleted=False)
        return time.monotonic()

    def remove(self, kind: str, name: str) -> float:
        """Removes an object; returns the time of the confirmation."""
        item = self._objects[kind].pop(name)
        self._revision += 1
        self._note(kind, item, deleted=True)
        return time.monotonic()

    def specs(self, kind: str) -> dict[str, Any]:
        """Returns the specs of a kind by name."""
        found = self._objects[kind].items()
        return {name: json.loads(item.spec) for name, item in found}

    async def handle(
        self, request: Message, writer: asyncio.StreamWriter
    ) -> None:
        """See ``Server.handle``."""
        method, target, _ = request.first_line.split(" ")
        path, _, query = target.partition("?")
        parts = [urllib.parse.unquote(p) for p in path.split("/")[3:]]
        options = dict(urllib.parse.parse_qsl(query))
        await asyncio.sleep(_STORE_ANSWER_S)
        if method == "GET":
            status, body = await self._read(parts, options)
        else:
            status, body = self._write(method, parts, options, request.body)
        headers = {"Content-Type": "application/json"}
        writer.write(encode(status, headers, body.encode()))

    async def _read(
        self, parts: list[str], options: dict[str, str]
    ) -> tuple[int, str]:
        objects = self._objects[parts[0]]
        if len(parts) > 1:
            item = objects.get(parts[1])
            return (200, item.encode()) if item else (404, "{}")
        if "watch" in options:
            return 200, await self._watch(parts[0], options)
        names = sorted(n for n in objects if n > options.get("after", ""))
        page = ",".join(objects[n].encode() for n in names[:_PAGE_SIZE])
        more = json.dumps(len(names) > _PAGE_SIZE)
        return 200, (
            f'{{"items":[{page}],"has_more":{more},"as_of":{self._revision}}}'
        )

    async def _watch(self, kind: str, options: dict[str, str]) -> str:
        since = int(options["watch"])
        end = time.monotonic() + int(options.get("wait_ms", "0")) / 1000
        while True:
            events = [
                text for at, k, text in self._events if k == kind and at > since
            ]
            left_s = end - time.monotonic()
            if events or left_s <= 0:
                return (
                    f'{{"events":[{",".join(events)}],'
                    f'"as_of":{self._revision}}}'
                )
            changed = self._changed
            try:
                await asyncio.wait_for(changed.wait(), left_s)
            except TimeoutError:
                pass

    def _write(
        self,
        method: str,
        parts: list[str],
        options: dict[str, str],
        data: bytes,
    ) -> tuple[int, str]:
        body = json.loads(data) if data else {}
        kind = parts[0]
        name = parts[1] if len(parts) > 1 else body["metadata"]["name"]
        item = self._objects[kind].get(name)
        if method == "POST" and item is not None:
            return 409, item.encode()
        if method != "POST":
            if item is None:
                return 404, "{}"
            expected = options.get("revision") or body.get("metadata", {}).get(
                "revision"
            )
            if expected is not None and int(expected) != item.revision:
                return 409, item.encode()
        if method == "DELETE":
            self.remove(kind, name)
            return 200, "{}"
        if len(parts) > 2 and item is not None:
            item.status = json.dumps(body["status"])
            return 200, item.encode()
        self.put(kind, name, body["spec"])
        return 200, self._objects[kind][name].encode()

    def _note(self, kind: str, item: _Object, *, deleted: bool) -> None:
        text = f'{{"object":{item.encode()},"deleted":{json.dumps(deleted)}}}'
        self._events.append((self._revision, kind, text))
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()


@dataclasses.dataclass(slots=True)
class Run:
    """A request that a replica has begun to run.

    Attributes:
        at: Monotonic time, in seconds.
        replica: Id of the replica.
        request: The request.
    """

    at: float
    replica: str
    request: Message

    @property
    def request_id(self) -> str:
        """Id of the request."""
        return self.request.headers.get("request-id", "")


class Replica(Server):
    """A replica of a service.

    Attributes:
        id: Its id.
        service: Name of its service.
        runs: The requests that it has begun to run, without their bodies.
    """

    def __init__(self, service: str, zone: str = "a", slots: int = 8) -> None:
        super().__init__()
        self.id = f"i-{secrets.token_hex(4)}"
        self.service = service
        self.runs: list[Run] = []
        self._zone = zone
        self._slots = slots

    def entry(self, **changes: object) -> dict[str, object]:
        """Returns its entry in the store."""
        return {
            "service": self.service,
            "address": f"{self.address}:{self.port}",
            "zone": self._zone,
            "version": "v1",
            "slots": self._slots,
            "state": "ready",
            "cold_remaining_ms": 0,
            "sequence": 1,
        } | changes

    async def handle(
        self, request: Message, writer: asyncio.StreamWriter
    ) -> None:
        """See ``Server.handle``."""
        if request.headers.get("expect-instance", self.id) != self.id:
            writer.write(encode(421, {"Instance-Id": self.id}))
            return
        await self.run(request, writer)

    async def run(self, request: Message, writer: asyncio.StreamWriter) -> None:
        """Runs a request: a small body with the receipt."""
        self.note(request)
        await asyncio.sleep(0.01)
        body = b"answer to " + self.request_id(request).encode()
        writer.write(encode(200, self.receipt(request), body))

    def note(self, request: Message) -> None:
        """Notes that a request has begun to run."""
        self.runs.append(Run(time.monotonic(), self.id, request))

    def receipt(self, request: Message) -> dict[str, str]:
        """Returns the headers of an answer."""
        request_id = self.request_id(request)
        return {
            "Request-Id": request_id,
            "Response-Seal": f"{self.id}.{request_id}",
            "Server-Load": f"1,0,{self._slots}",
        }

    def request_id(self, request: Message) -> str:
        """Returns the id of a request."""
        return request.headers.get("request-id", "")

    def write_head(
        self, request: Message, writer: asyncio.StreamWriter
    ) -> None:
        """Begins a stream of events."""
        lines = [f"{n}: {v}\r\n" for n, v in self.receipt(request).items()]
        head = "".join(
            [
                "HTTP/1.1 200 OK\r\n",
                *lines,
                "Content-Type: text/event-stream\r\n",
                "Transfer-Encoding: chunked\r\n\r\n",
            ]
        )
        writer.write(head.encode())

    def write_event(
        self, number: int, data: str, writer: asyncio.StreamWriter
    ) -> None:
        """Writes an event of a stream."""
        event = f"id: {number}\ndata: {data}\n\n".encode()
        writer.write(b"%x\r\n%b\r\n" % (len(event), event))


@dataclasses.dataclass(slots=True)
class Answer:
    """What a client got for one attempt.

    Attributes:
        sent_at: Monotonic time of the request, in seconds.
        ended_at: Monotonic time of the end.
        message: The response; None if the channel ended without one.
    """

    sent_at: float
    ended_at: float
    message: Message | None

    @property
    def status(self) -> int:
        """Status; 0 without a response."""
        return self.message.status if self.message else 0

    @property
    def is_served(self) -> bool:
        """Whether it is a whole success with a receipt."""
        message = self.message
        return (
            message is not None
            and message.status == 200
            and message.is_whole
            and "response-seal" in message.headers
        )


async def send(
    address: str,
    port: int,
    method: str,
    path: str,
    headers: dict[str, str],
    body: bytes = b"",
    timeout_s: float = 10.0,
) -> Answer:
    """Sends a request on a new channel, as a client's attempt does."""
    sent_at = time.monotonic()
    message = None
    writer = None
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(
                address, port, limit=1 << 20
            )
            fields = {"Host": _VIRTUAL_HOST} | headers
            lines = [f"{name}: {value}\r\n" for name, value in fields.items()]
            head = f"{method} {path} HTTP/1.1\r\n{''.join(lines)}"
            head += f"Content-Length: {len(body)}\r\n\r\n"
            writer.write(head.encode() + body)
            message = await read_message(reader)
    except (OSError, TimeoutError, asyncio.IncompleteReadError):
        pass
    finally:
        if writer is not None:
            writer.close()
    return Answer(sent_at, time.monotonic(), message)


class HostProcess:
    """A process of the project on a host of its own.

    Attributes:
        name: Name of the host.
        address: Its loopback address.
        callers_port: Port for clients; entry hosts only.
        peers_port: Port for other entry hosts.
        settings: Its settings.
    """

    def __init__(
        self,
        folder: pathlib.Path,
        name: str,
        role: str,
        zone: str,
        store: Store,
        **changes: object,
    ) -> None:
        self.name = name
        self.address = new_address()
        self.callers_port = free_port(self.address)
        self.readiness_port = free_port(self.address)
        self.peers_port = free_port(self.address)
        self.history_port = free_port(self.address)
        self.data_dir = folder / f"{name}-disk"
        self._folder = folder
        self._process: subprocess.Popen[bytes] | None = None
        self.settings: dict[str, object] = {
            "host": name,
            "role": role,
            "failure_domain": zone,
            "store": f"{store.address}:{store.port}",
            "grace_s": 8,
            "metrics_port": free_port(self.address),
            "seeds": [],
            "history": f"{self.address}:{self.history_port}",
            "data_dir": None,
            "disk_mb": 0,
            "first_start": True,
            "tolerated_losses": 1,
        } | changes
        if role == "entry":
            self.settings |= {
                "callers": f"{self.address}:{self.callers_port}",
                "readiness": f"{self.address}:{self.readiness_port}",
                "peers": f"{self.address}:{self.peers_port}",
                "peers_advertised": f"{self.address}:{self.peers_port}",
            }
        if role == "storage":
            self.settings |= {"data_dir": str(self.data_dir), "disk_mb": 260}

    @property
    def is_running(self) -> bool:
        """Whether the process runs."""
        return self._process is not None and self._process.poll() is None

    @property
    def log_path(self) -> pathlib.Path:
        """File with what it writes."""
        return self._folder / f"{self.name}.log"

    def start(self) -> None:
        """Starts the process with the command of the deploy file."""
        if self.settings["data_dir"]:
            self.data_dir.mkdir(exist_ok=True)
        path = self._folder / f"{self.name}.json"
        path.write_text(json.dumps(self.settings))
        environment = {
            name: os.environ[name]
            for name in ("PATH", "HOME", "LANG")
            if name in os.environ
        }
        environment |= {
            "PYTHONPATH": str(REPOSITORY / "target" / "deps"),
            "MASTICDALE_BOOT": str(path),
        }
        with self.log_path.open("ab") as log:
            self._process = subprocess.Popen(
                _COMMAND,
                cwd=REPOSITORY,
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=subprocess.STDOUT,
            )

    def signal(self, number: signal.Signals) -> None:
        """Sends a signal to the process while it runs."""
        if self._process is not None and self._process.poll() is None:
            self._process.send_signal(number)

    def kill(self) -> None:
        """Kills the process and waits for its end."""
        if self._process is not None:
            self._process.kill()
            self._process.wait()

    def lose_disk(self) -> None:
        """Empties the disk of a process that has ended."""
        shutil.rmtree(self.data_dir)
        self.settings["first_start"] = False

    async def is_ready(self) -> bool:
        """Asks for readiness as the platform does."""
        answer = await send(
            self.address,
            self.readiness_port,
            "GET",
            "/api/ready",
            {},
            timeout_s=1.0,
        )
        return answer.status == 200

    async def wait_ready(self, timeout_s: float = _READY_TIMEOUT_S) -> bool:
        """Waits until the host is ready; returns whether it is."""
        end = time.monotonic() + timeout_s
        while time.monotonic() < end:
            if await self.is_ready():
                return True
            await asyncio.sleep(_POLL_S)
        return False


def temporary_folder() -> pathlib.Path:
    """Creates a temporary folder for settings, logs and disks."""
    return pathlib.Path(tempfile.mkdtemp(prefix="review-"))


def configuration(
    routes: list[dict[str, object]], services: list[dict[str, object]]
) -> dict[str, object]:
    """Returns a configuration with the limits of the small sites."""
    return {
        "version": 1,
        "routes": [{"host": _VIRTUAL_HOST} | route for route in routes],
        "services": services,
        "limits": {
            "max_header_bytes": 16_384,
            "max_body_bytes": 4_194_304,
            "header_timeout_ms": 2000,
            "idle_timeout_ms": 15_000,
        },
    }
