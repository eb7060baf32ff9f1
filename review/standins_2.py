"""Stand-ins of the platform, of replicas and of clients, and started hosts.

Plain asyncio and the standard library, so that nothing has to be built. The
protocol is the one of the users' pages (PROTOCOL.md, DEPLOY.md).
"""

import asyncio
import collections
import contextlib
import dataclasses
import json
import os
import pathlib
import signal
import socket
import subprocess
import sys
import tempfile
import time
import urllib.parse
from collections.abc import Awaitable, Callable
from typing import Any

ROOT = pathlib.Path(__file__).resolve().parent.parent
LOOPBACK = "127.0.0.1"
_START_COMMAND = ("python3", "-S", "deploy/start.py")
_KEPT_VARIABLES = ("PATH", "HOME", "LANG")
_READY_TIMEOUT_S = 20.0
_RUN_TIMEOUT_S = 110.0
# How the task of a connection ends; the last one at the end of the run.
_CONNECTION_ENDS = (
    OSError,
    asyncio.IncompleteReadError,
    asyncio.CancelledError,
)

Fields = dict[str, str]


@dataclasses.dataclass(slots=True)
class Message:
    """A request or a response.

    Attributes:
        start: The parts of the start line.
        fields: Header fields by lowercase name.
        body: The whole body.
    """

    start: list[str]
    fields: Fields
    body: bytes = b""


async def read_head(reader: asyncio.StreamReader) -> Message:
    """Reads a start line and header fields.

    Raises:
        asyncio.IncompleteReadError: The connection has ended.
    """
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    fields: Fields = {}
    for line in lines[1:]:
        name, colon, value = line.partition(":")
        if colon:
            fields[name.strip().lower()] = value.strip()
    return Message(lines[0].split(" ", 2), fields)


async def read_chunk(reader: asyncio.StreamReader) -> bytes:
    """Reads a chunk of a chunked body; empty at its end."""
    size = int((await reader.readline()).split(b";")[0], 16)
    data = await reader.readexactly(size)
    await reader.readexactly(2)
    return data


async def read_message(reader: asyncio.StreamReader) -> Message:
    """Reads a whole message."""
    message = await read_head(reader)
    if message.fields.get("transfer-encoding", "").lower() == "chunked":
        while chunk := await read_chunk(reader):
            message.body += chunk
        return message
    length = int(message.fields.get("content-length", "0"))
    message.body = await reader.readexactly(length)
    return message


def encode_response(status: int, fields: Fields, body: bytes = b"") -> bytes:
    """Returns the bytes of a response with a length."""
    lines = [f"HTTP/1.1 {status} X"]
    lines += [f"{name}: {value}" for name, value in fields.items()]
    lines += [f"Content-Length: {len(body)}", "", ""]
    return "\r\n".join(lines).encode("latin-1") + body


class Record:
    """Writes what was sent, run and answered, a JSON line each."""

    def __init__(self, path: pathlib.Path) -> None:
        self._file = path.open("w")
        self._began_at = time.monotonic()
        self.lines: list[dict[str, Any]] = []

    def add(self, event: str, **values: Any) -> None:
        """Adds a line."""
        at = round(time.monotonic() - self._began_at, 4)
        line = {"at_s": at, "event": event} | values
        self.lines.append(line)
        self._file.write(json.dumps(line) + "\n")

    def of(self, event: str) -> list[dict[str, Any]]:
        """Returns the lines of one event."""
        return [line for line in self.lines if line["event"] == event]

    def close(self) -> None:
        """Ends the record."""
        self._file.close()


class ObjectApi:
    """The platform's store: objects by kind and name, with watches."""

    def __init__(self) -> None:
        self._revision = 1
        self._object_by_name_by_kind: dict[str, dict[str, dict[str, Any]]] = (
            collections.defaultdict(dict)
        )
        self._events: list[tuple[int, str, dict[str, Any], bool]] = []
        self._changed = asyncio.Event()
        self.address = ""

    async def start(self) -> None:
        """Begins to listen on a free port."""
        server = await asyncio.start_server(self._serve, LOOPBACK, 0)
        port = server.sockets[0].getsockname()[1]
        self.address = f"{LOOPBACK}:{port}"

    def put(self, kind: str, name: str, spec: dict[str, Any]) -> None:
        """Writes an object as the operator and the replicas do."""
        known = self._object_by_name_by_kind[kind].get(name)
        if known is not None and known["spec"] == spec:
            return
        self._store(kind, name, spec, known)

    def delete(self, kind: str, name: str) -> None:
        """Removes an object."""
        known = self._object_by_name_by_kind[kind].pop(name, None)
        if known is not None:
            self._revision += 1
            self._note(kind, known, deleted=True)

    def _store(
        self,
        kind: str,
        name: str,
        spec: Any,
        known: dict[str, Any] | None,
        status: Any = None,
    ) -> dict[str, Any]:
        self._revision += 1
        created = known["metadata"]["created_rev"] if known else self._revision
        stored = {
            "metadata": {
                "name": name,
                "revision": self._revision,
                "created_rev": created,
                "finalizers": [],
                "deleting": False,
            },
            "spec": spec,
            "status": status,
        }
        self._object_by_name_by_kind[kind][name] = stored
        self._note(kind, stored, deleted=False)
        return stored

    def _note(self, kind: str, item: dict[str, Any], *, deleted: bool) -> None:
        self._events.append((self._revision, kind, item, deleted))
        self._changed.set()
        self._changed = asyncio.Event()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        with contextlib.suppress(*_CONNECTION_ENDS):
            while True:
                request = await read_message(reader)
                status, body = await self._answer(request)
                fields = {"Content-Type": "application/json"}
                data = json.dumps(body).encode()
                writer.write(encode_response(status, fields, data))
                await writer.drain()
        writer.close()

    async def _answer(self, request: Message) -> tuple[int, Any]:
        method = request.start[0]
        url = urllib.parse.urlsplit(request.start[1])
        query = dict(urllib.parse.parse_qsl(url.query))
        parts = url.path.split("/")[3:]
        kind, rest = parts[0], parts[1:]
        name = urllib.parse.unquote(rest[0]) if rest else ""
        body = json.loads(request.body) if request.body else {}
        if method == "GET" and not name:
            return await self._list(kind, query)
        objects = self._object_by_name_by_kind[kind]
        if method == "POST":
            name = body["metadata"]["name"]
            if name in objects:
                return 409, objects[name]
            return 200, self._store(kind, name, body.get("spec"), None)
        known = objects.get(name)
        if known is None:
            return 404, {}
        if method == "GET":
            return 200, known
        return self._change(method, kind, known, body, query, rest)

    def _change(
        self,
        method: str,
        kind: str,
        known: dict[str, Any],
        body: dict[str, Any],
        query: Fields,
        rest: list[str],
    ) -> tuple[int, Any]:
        metadata = known["metadata"]
        expected = (body.get("metadata") or {}).get("revision")
        if "revision" in query:
            expected = int(query["revision"])
        if expected is not None and expected != metadata["revision"]:
            return 409, known
        if method == "DELETE":
            self.delete(kind, metadata["name"])
            return 200, known
        spec, status = body.get("spec"), known["status"]
        if rest[1:] == ["status"]:
            spec, status = known["spec"], body.get("status")
        if spec == known["spec"] and status == known["status"]:
            return 200, known
        return 200, self._store(kind, metadata["name"], spec, known, status)

    async def _list(self, kind: str, query: Fields) -> tuple[int, Any]:
        if "watch" not in query:
            items = sorted(
                self._object_by_name_by_kind[kind].values(),
                key=lambda item: item["metadata"]["name"],
            )
            return 200, {
                "items": items,
                "has_more": False,
                "as_of": self._revision,
            }
        since = int(query["watch"])
        until = time.monotonic() + int(query.get("wait_ms", "0")) / 1000
        while True:
            events = [
                {"object": item, "deleted": deleted}
                for revision, of_kind, item, deleted in self._events
                if of_kind == kind and revision > since
            ]
            left_s = until - time.monotonic()
            if events or left_s <= 0:
                return 200, {"events": events, "as_of": self._revision}
            changed = self._changed
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(left_s):
                    await changed.wait()


Handler = Callable[["Replica", Message, asyncio.StreamWriter], Awaitable[None]]


class Replica:
    """A replica of a service, registered in the platform's store.

    Attributes:
        id: Its id, which is new with each start.
        running: Number of requests that it works on.
    """

    def __init__(
        self, api: ObjectApi, service: str, name: str, handler: Handler
    ) -> None:
        self.id = name
        self.running = 0
        self.slots = 12
        self._api = api
        self._service = service
        self._handler = handler
        self._address = ""

    async def start(self) -> None:
        """Listens on a free port and registers."""
        server = await asyncio.start_server(self._serve, LOOPBACK, 0)
        port = server.sockets[0].getsockname()[1]
        self._address = f"{LOOPBACK}:{port}"
        self.register("ready")

    def register(self, state: str) -> None:
        """Writes its entry."""
        self._api.put(
            "servers",
            self.id,
            {
                "service": self._service,
                "address": self._address,
                "zone": "duluth",
                "version": "v1",
                "slots": self.slots,
                "state": state,
                "cold_remaining_ms": 0,
                "sequence": 0,
            },
        )

    def fields(self, request: Message) -> Fields:
        """Returns the fields of a response of this replica."""
        return {
            "Request-Id": request.fields.get("request-id", ""),
            "Response-Seal": f"seal.{self.id}.{self.running}",
            "Server-Load": f"{self.running},0,{self.slots}",
        }

    def refuse(self, request: Message, writer: asyncio.StreamWriter) -> None:
        """Answers that the request is not run."""
        fields = {
            "Request-Id": request.fields.get("request-id", ""),
            "Not-Executed": "1",
        }
        writer.write(encode_response(503, fields))

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        with contextlib.suppress(*_CONNECTION_ENDS):
            while True:
                request = await read_message(reader)
                expected = request.fields.get("expect-instance", self.id)
                if expected != self.id:
                    fields = {"Instance-Id": self.id}
                    writer.write(encode_response(421, fields))
                    continue
                await self._handler(self, request, writer)
                await writer.drain()
                if writer.is_closing():
                    break
        writer.close()


@dataclasses.dataclass(slots=True)
class Host:
    """A started process of the project.

    Attributes:
        name: Its name.
        callers: Address for callers; empty for a storage host.
        ready: Address of its readiness.
    """

    name: str
    callers: str
    ready: str
    settings_path: pathlib.Path
    log_path: pathlib.Path
    process: "subprocess.Popen[bytes] | None" = None


class Deployment:
    """Starts the project's programs as the deploy file does."""

    def __init__(self, api: ObjectApi) -> None:
        self._api = api
        self._folder = tempfile.TemporaryDirectory(prefix="review-")
        self.hosts: list[Host] = []

    def add_entries(self, count: int, **settings: Any) -> None:
        """Prepares entry hosts; the first three are the seeds."""
        ports = free_ports(5 * count)
        seeds = [f"{LOOPBACK}:{ports[5 * i + 2]}" for i in range(min(3, count))]
        for i in range(count):
            own = ports[5 * i : 5 * i + 5]
            callers, ready, peers, _, history = (
                f"{LOOPBACK}:{port}" for port in own
            )
            name = f"edge-duluth-{i + 1}"
            values = {
                "host": name,
                "role": "entry",
                "failure_domain": "duluth",
                "store": self._api.address,
                "grace_s": 8,
                "callers": callers,
                "readiness": ready,
                "peers": peers,
                "peers_advertised": peers,
                "metrics_port": own[3],
                "seeds": seeds,
                "history": history,
                "data_dir": None,
                "disk_mb": 0,
                "first_start": True,
                "tolerated_losses": 1,
                "memory_mb": 300,
                "max_descriptors": 4100,
                "usage_window_s": None,
                "usage_excess_share": None,
                "usage_excess_requests": None,
            }
            self._add(name, callers, ready, values | settings)

    def _add(
        self, name: str, callers: str, ready: str, values: dict[str, Any]
    ) -> None:
        folder = pathlib.Path(self._folder.name)
        path = folder / f"{name}.json"
        path.write_text(json.dumps(values))
        self.hosts.append(
            Host(name, callers, ready, path, folder / f"{name}.log")
        )

    def start(self, host: Host) -> None:
        """Starts a host with the command of the deploy file."""
        environment = {
            name: os.environ[name]
            for name in _KEPT_VARIABLES
            if name in os.environ
        }
        environment["MASTICDALE_BOOT"] = str(host.settings_path)
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        with host.log_path.open("ab") as log:
            host.process = subprocess.Popen(
                _START_COMMAND,
                cwd=ROOT,
                env=environment,
                stdout=log,
                stderr=log,
                start_new_session=True,
            )

    async def start_all(self) -> None:
        """Starts all hosts; returns when they are ready.

        Raises:
            TimeoutError: One of them is not ready in time.
        """
        for host in self.hosts:
            self.start(host)
        async with asyncio.timeout(_READY_TIMEOUT_S):
            for host in self.hosts:
                while host.ready and not await self.is_ready(host):
                    await asyncio.sleep(0.1)

    async def is_ready(self, host: Host) -> bool:
        """Returns whether a host answers 200 to the platform's question."""
        try:
            async with asyncio.timeout(1.0):
                answer = await exchange(host.ready, "GET", "/api/ready", {})
        except (OSError, asyncio.IncompleteReadError, TimeoutError):
            return False
        return answer.start[1] == "200"

    def close(self) -> None:
        """Ends all processes and removes the temporary folder."""
        for host in self.hosts:
            if host.process is None:
                continue
            with contextlib.suppress(ProcessLookupError):
                host.process.send_signal(signal.SIGCONT)
                host.process.kill()
            host.process.wait()
        if os.environ.get("KEEP_LOGS"):
            for host in self.hosts:
                text = host.log_path.read_bytes()
                pathlib.Path(os.environ["KEEP_LOGS"], host.name).write_bytes(
                    text
                )
        self._folder.cleanup()


def free_ports(count: int) -> list[int]:
    """Returns ports that are free now."""
    sockets = [socket.create_server((LOOPBACK, 0)) for _ in range(count)]
    ports = [s.getsockname()[1] for s in sockets]
    for s in sockets:
        s.close()
    return ports


def encode_request(
    method: str, target: str, fields: Fields, body: bytes = b""
) -> bytes:
    """Returns the bytes of a request."""
    lines = [f"{method} {target} HTTP/1.1"]
    lines += [f"{name}: {value}" for name, value in fields.items()]
    if method != "GET":
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join([*lines, "", ""]).encode("latin-1") + body


async def connect(
    address: str,
) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
    """Opens a connection."""
    host, _, port = address.rpartition(":")
    return await asyncio.open_connection(host, int(port))


async def exchange(
    address: str, method: str, target: str, fields: Fields, body: bytes = b""
) -> Message:
    """Sends a request on a new connection and reads the whole response."""
    reader, writer = await connect(address)
    try:
        sent = {"Host": "api.example"} | fields
        writer.write(encode_request(method, target, sent, body))
        return await read_message(reader)
    finally:
        writer.close()


async def exchange_or_closed(
    address: str, method: str, target: str, fields: Fields, body: bytes = b""
) -> Message:
    """Like ``exchange``; the status is ``closed`` without a whole response."""
    try:
        return await exchange(address, method, target, fields, body)
    except (OSError, asyncio.IncompleteReadError):
        return Message(["", "closed"], {})


def _end(number: int, frame: object) -> None:
    """Ends the run, and with it the started processes, at SIGTERM."""
    del number, frame
    sys.exit(2)


async def _run_in_time(
    scenario: Callable[[bool], Awaitable[bool]], has_trouble: bool
) -> bool:
    async with asyncio.timeout(_RUN_TIMEOUT_S):
        return await scenario(has_trouble)


def run(scenario: Callable[[bool], Awaitable[bool]]) -> None:
    """Runs a scenario and exits with its result.

    Args:
        scenario: Called with whether the disruption takes place; returns
            whether the rule was kept.
    """
    has_trouble = os.environ.get("TROUBLE", "1") != "0"
    signal.signal(signal.SIGTERM, _end)
    try:
        held = asyncio.run(_run_in_time(scenario, has_trouble))
    except Exception as error:  # The case could not run.
        print(f"could not run: {error!r}", file=sys.stderr)
        sys.exit(2)
    print("held" if held else "broken")
    sys.exit(0 if held else 1)
