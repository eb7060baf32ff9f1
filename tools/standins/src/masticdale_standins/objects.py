"""A fake of the platform's object store, by its published protocol."""

import asyncio
import dataclasses
import enum
import json
import urllib.parse
from typing import Any

from masticdale_standins.raw_http import (
    RawConnection,
    RawRequest,
    RawServer,
    encode_response,
)

_ROOT = "/api/objects/"
_JSON = {"Content-Type": "application/json"}
_PAGE_SIZE = 50


class StoreFault(enum.Enum):
    """Fault that the store applies to every call.

    Attributes:
        NONE: No fault.
        BUSY: Responds with 503.
        UNRESPONSIVE: Never responds.
        RESET: Resets the connection.
    """

    NONE = enum.auto()
    BUSY = enum.auto()
    UNRESPONSIVE = enum.auto()
    RESET = enum.auto()


@dataclasses.dataclass(slots=True)
class StoreFaults:
    """Faults of the store.

    Attributes:
        fault: Fault of every call.
        responses_to_lose: Number of writes that take effect and then reset
            their connection.
        delay_s: Delay before each response, in seconds.
        omits_watch_events: Watches report no changes; lists stay correct.
        watch_responses_to_lose: Number of watch responses with changes that
            never arrive; their connections stay open and silent.
    """

    fault: StoreFault = StoreFault.NONE
    responses_to_lose: int = 0
    delay_s: float = 0.0
    omits_watch_events: bool = False
    watch_responses_to_lose: int = 0


class FakeObjectStore:
    """Objects by kind and name, with revisions and watches.

    Attributes:
        faults: Active faults.
        calls: Number of calls by HTTP method.
        json_by_string: JSON that replaces strings in response bodies, for
            values that this process can't encode.
    """

    def __init__(self) -> None:
        self.faults = StoreFaults()
        self.calls: dict[str, int] = {}
        self.json_by_string: dict[str, str] = {}
        self._server = RawServer(self._handle)
        self._revision = 1
        self._compacted_revision = 0
        self._object_by_key: dict[tuple[str, str], dict[str, Any]] = {}
        self._events: list[tuple[int, str, dict[str, Any], bool]] = []
        self._changed = asyncio.Event()

    @property
    def port(self) -> int:
        """Listening port."""
        return self._server.port

    async def start(self) -> None:
        """Starts to listen."""
        await self._server.start()

    async def stop(self) -> None:
        """Stops listening and drops all connections."""
        await self._server.stop()

    def put(self, kind: str, name: str, spec: Any) -> None:
        """Writes an object without a request."""
        self._store(kind, name, spec)

    def get(self, kind: str, name: str) -> Any:
        """Returns an object's spec; None if it doesn't exist."""
        item = self._object_by_key.get((kind, name))
        return item["spec"] if item else None

    def status(self, kind: str, name: str) -> Any:
        """Returns an object's status."""
        return self._object_by_key[(kind, name)]["status"]

    def names(self, kind: str) -> list[str]:
        """Returns the names of a kind's objects."""
        return sorted(n for k, n in self._object_by_key if k == kind)

    def remove(self, kind: str, name: str) -> None:
        """Removes an object."""
        item = self._object_by_key.pop((kind, name), None)
        if item is not None:
            self._revision += 1
            self._record_event(kind, item, deleted=True)

    async def reset_connections(self) -> None:
        """Drops every connection, including those of watches."""
        await self._server.reset_connections()

    def compact_history(self) -> None:
        """Drops the history; watches from revisions so far get 410."""
        self._compacted_revision = self._revision + 1
        self._revision += 1
        self._notify_watchers()

    async def _handle(
        self, request: RawRequest, connection: RawConnection
    ) -> None:
        self.calls[request.method] = self.calls.get(request.method, 0) + 1
        await asyncio.sleep(self.faults.delay_s)
        if await self._apply_fault(request, connection):
            return
        path, _, query = request.target.partition("?")
        parts = path.removeprefix(_ROOT).split("/")
        parameters = dict(urllib.parse.parse_qsl(query))
        names = [urllib.parse.unquote(part) for part in parts]
        if request.method == "GET":
            status, body = await self._read(names, parameters)
            if body.get("events") and self.faults.watch_responses_to_lose > 0:
                self.faults.watch_responses_to_lose -= 1
                await asyncio.sleep(3600)
        else:
            status, body = self._write(request, names, parameters)
            if self.faults.responses_to_lose > 0:
                self.faults.responses_to_lose -= 1
                connection.reset()
                return
        text = json.dumps(body)
        for string, value in self.json_by_string.items():
            text = text.replace(json.dumps(string), value)
        await connection.write(encode_response(status, _JSON, text.encode()))

    async def _apply_fault(
        self, request: RawRequest, connection: RawConnection
    ) -> bool:
        if self.faults.fault is StoreFault.BUSY:
            await connection.write(encode_response(503, _JSON))
        elif self.faults.fault is StoreFault.UNRESPONSIVE:
            await asyncio.sleep(3600)
        elif self.faults.fault is StoreFault.RESET:
            connection.reset()
        else:
            return False
        return True

    async def _read(
        self, names: list[str], parameters: dict[str, str]
    ) -> tuple[int, Any]:
        if len(names) == 2:
            item = self._object_by_key.get((names[0], names[1]))
            return (200, item) if item else (404, {})
        if "watch" in parameters:
            return await self._watch(names[0], parameters)
        after = parameters.get("after", "")
        found = sorted(
            n for k, n in self._object_by_key if k == names[0] and n > after
        )
        page = found[:_PAGE_SIZE]
        items = [self._object_by_key[(names[0], n)] for n in page]
        return 200, {
            "items": items,
            "has_more": len(found) > len(page),
            "as_of": self._revision,
        }

    async def _watch(
        self, kind: str, parameters: dict[str, str]
    ) -> tuple[int, Any]:
        since = int(parameters["watch"])
        end = asyncio.get_running_loop().time()
        end += int(parameters.get("wait_ms", "0")) / 1000
        while True:
            if since < self._compacted_revision:
                return 410, {}
            if self.faults.fault is not StoreFault.NONE:
                return 503, {}
            events = [
                {"object": item, "deleted": deleted}
                for revision, k, item, deleted in self._events
                if k == kind
                and revision > since
                and not self.faults.omits_watch_events
            ]
            left_s = end - asyncio.get_running_loop().time()
            if events or left_s <= 0:
                return 200, {"events": events, "as_of": self._revision}
            changed = self._changed
            try:
                await asyncio.wait_for(changed.wait(), min(left_s, 0.1))
            except TimeoutError:
                pass

    def _write(
        self,
        request: RawRequest,
        names: list[str],
        parameters: dict[str, str],
    ) -> tuple[int, Any]:
        body = json.loads(request.body) if request.body else {}
        name = names[1] if len(names) > 1 else body["metadata"]["name"]
        item = self._object_by_key.get((names[0], name))
        if request.method == "POST":
            if item is not None:
                return 409, item
            return 200, self._store(names[0], name, body["spec"])
        if item is None:
            return 404, {}
        expected = body.get("metadata", {}).get("revision")
        if "revision" in parameters:
            expected = int(parameters["revision"])
        if expected is not None and expected != item["metadata"]["revision"]:
            return 409, item
        if request.method == "DELETE":
            self.remove(names[0], name)
            return 200, item
        if len(names) == 3:
            item["status"] = body["status"]
            return 200, item
        return 200, self._store(names[0], name, body["spec"])

    def _store(self, kind: str, name: str, spec: Any) -> dict[str, Any]:
        self._revision += 1
        existing = self._object_by_key.get((kind, name))
        created = (
            existing["metadata"]["created_rev"] if existing else self._revision
        )
        item: dict[str, Any] = {
            "metadata": {
                "name": name,
                "revision": self._revision,
                "created_rev": created,
                "finalizers": [],
                "deleting": False,
            },
            "spec": spec,
            "status": existing["status"] if existing else None,
        }
        self._object_by_key[(kind, name)] = item
        self._record_event(kind, item, deleted=False)
        return item

    def _record_event(
        self, kind: str, item: dict[str, Any], *, deleted: bool
    ) -> None:
        self._events.append((self._revision, kind, item, deleted))
        self._notify_watchers()

    def _notify_watchers(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()
