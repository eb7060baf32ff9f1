"""A fake of the platform's object API; see ``PlatformClient`` for the API."""

import asyncio
import base64
import collections
import dataclasses
import time
from typing import Annotated, Any

import litestar
import pydantic
from litestar.di import Provide
from litestar.params import Parameter
from returns.result import Failure as Failed
from returns.result import Result

from masticdale_common import ErrorKind, Failure, StrictModel
from masticdale_platform import ListedHost, StoredObject, WatchBatch
from masticdale_platform.testing import MemoryStore
from masticdale_standins.http import AsgiResponse, abort_response, never_respond
from masticdale_standins.settings import PlatformSettings

_BODY_LIMIT_BYTES = 4_000_000
_STATUS_BY_KIND = {
    ErrorKind.CONFLICT: 409,
    ErrorKind.TOO_LARGE: 413,
    ErrorKind.PLATFORM_UNAVAILABLE: 503,
}
_VERSION_HEADER = "X-Version"
_IfVersion = Annotated[int, Parameter(header="If-Version", ge=0)]


class PlatformFaults(StrictModel):
    """Faults of the platform; each POST replaces all of them.

    Attributes:
        down: Every call gets 503.
        hang: Every call is accepted and never answered.
        delay_ms: Additional delay of every call.
        lose_write_answers: Number of writes that take effect and then lose
            their connection.
        drop_writes: Number of writes that lose their connection without
            taking effect.
        freeze_watches: Watches are never answered.
    """

    down: bool = False
    hang: bool = False
    delay_ms: int = pydantic.Field(default=0, ge=0)
    lose_write_answers: int = pydantic.Field(default=0, ge=0)
    drop_writes: int = pydantic.Field(default=0, ge=0)
    freeze_watches: bool = False


class HostChange(StrictModel):
    """A change of the host list; without flags the host is live.

    Attributes:
        name: The entry host or upstream.
        leaving: Whether it is being removed.
        removed: Whether it is removed.
    """

    name: str
    leaving: bool = False
    removed: bool = False


class PlatformStats(pydantic.BaseModel):
    """Totals of the calls received.

    Attributes:
        count_by_call: Number of calls by operation, including refused ones.
        refused: Number of calls refused by the rate limit.
        bytes_written: Bytes of accepted values.
    """

    count_by_call: dict[str, int]
    refused: int
    bytes_written: int


class TokenBucket:
    """A token bucket with a burst of one second; 0 disables the limit."""

    def __init__(self, calls_per_s: int) -> None:
        self._calls_per_s = calls_per_s
        self._available = float(calls_per_s)
        self._refilled_at = time.monotonic()

    def take(self) -> bool:
        """Takes a token; returns whether one was available."""
        if not self._calls_per_s:
            return True
        now = time.monotonic()
        filled = (now - self._refilled_at) * self._calls_per_s
        self._refilled_at = now
        self._available = min(self._calls_per_s, self._available + filled)
        if self._available < 1:
            return False
        self._available -= 1
        return True


@dataclasses.dataclass(frozen=True, slots=True)
class _PendingChange:
    change: HostChange
    due_at: float


class DelayedHostList:
    """A list of hosts and upstreams that applies changes after a delay."""

    def __init__(self, names: tuple[str, ...], lag_s: float) -> None:
        self._lag_s = lag_s
        self._host_by_name = {n: ListedHost(n, leaving=False) for n in names}
        self._pending: collections.deque[_PendingChange] = collections.deque()

    def schedule_change(self, change: HostChange) -> None:
        """Schedules a change to take effect after the delay."""
        due_at = time.monotonic() + self._lag_s
        self._pending.append(_PendingChange(change, due_at))

    def visible_hosts(self) -> list[ListedHost]:
        """Returns the hosts after all changes that are due."""
        while self._pending and self._pending[0].due_at <= time.monotonic():
            change = self._pending.popleft().change
            host = ListedHost(change.name, change.leaving)
            self._host_by_name[change.name] = host
            if change.removed:
                del self._host_by_name[change.name]
        return list(self._host_by_name.values())


class Platform:
    """State of the fake platform."""

    def __init__(self, settings: PlatformSettings) -> None:
        self.store = MemoryStore()
        self.freeze_watches = False
        self.hangs = False
        self.hosts = DelayedHostList(
            settings.hosts + settings.upstreams, settings.hosts_lag_ms / 1000
        )
        self.bytes_written = 0
        self._write_budget = TokenBucket(settings.writes_per_s)
        self._read_budget = TokenBucket(settings.reads_per_s)
        self._count_by_call: collections.Counter[str] = collections.Counter()
        self._refused = 0

    def set_faults(self, faults: PlatformFaults) -> None:
        """Replaces all faults."""
        self.hangs = faults.hang
        self.freeze_watches = faults.freeze_watches
        self.store.faults.down = faults.down
        self.store.faults.delay_s = faults.delay_ms / 1000
        self.store.faults.lose_write_answers = faults.lose_write_answers
        self.store.faults.drop_writes = faults.drop_writes

    def admit(self, call: str, is_write: bool = False) -> bool:
        """Counts a call and returns whether the rate limit admits it."""
        self._count_by_call[call] += 1
        budget = self._write_budget if is_write else self._read_budget
        admitted = budget.take()
        self._refused += not admitted
        return admitted

    def stats(self) -> PlatformStats:
        """Returns the totals of the calls received."""
        return PlatformStats(
            count_by_call=dict(self._count_by_call),
            refused=self._refused,
            bytes_written=self.bytes_written,
        )


Reply = litestar.Response[Any]


@litestar.get("/v1/objects/{key:path}")
async def read_object(platform: Platform, key: str) -> Reply:
    """Returns the value, with the version in a header."""
    refusal = _check_admission(platform, "read")
    if refusal is not None:
        return refusal
    outcome = await platform.store.read(_strip_slash(key))
    if isinstance(outcome, Failed):
        return _create_error_reply(outcome)
    stored = outcome.unwrap()
    if stored is None:
        return Reply(None, status_code=404)
    return Reply(
        stored.value,
        media_type="application/octet-stream",
        headers={_VERSION_HEADER: str(stored.version)},
    )


@litestar.put("/v1/objects/{key:path}", request_max_body_size=_BODY_LIMIT_BYTES)
async def write_object(
    platform: Platform, key: str, body: bytes, if_version: _IfVersion
) -> Reply:
    """Writes a value if the stored version matches."""
    refusal = _check_admission(platform, "write", is_write=True)
    if refusal is not None:
        return refusal
    outcome = await platform.store.write(_strip_slash(key), body, if_version)
    if isinstance(outcome, Failed):
        return _create_error_reply(outcome)
    platform.bytes_written += len(body)
    return Reply({"version": outcome.unwrap()})


@litestar.delete("/v1/objects/{key:path}", status_code=200)
async def delete_object(
    platform: Platform, key: str, if_version: _IfVersion
) -> Reply:
    """Deletes an object if the stored version matches."""
    refusal = _check_admission(platform, "delete", is_write=True)
    if refusal is not None:
        return refusal
    outcome = await platform.store.delete(_strip_slash(key), if_version)
    if isinstance(outcome, Failed):
        return _create_error_reply(outcome)
    return Reply(None, status_code=204)


@litestar.get("/v1/list")
async def list_objects(platform: Platform, prefix: str) -> Reply:
    """Returns all objects under a prefix."""
    refusal = _check_admission(platform, "list")
    if refusal is not None:
        return refusal
    outcome = await platform.store.list(prefix)
    if isinstance(outcome, Failed):
        return _create_error_reply(outcome)
    return Reply({"objects": [_to_json(o) for o in outcome.unwrap()]})


@litestar.get("/v1/watch")
async def watch_objects(
    platform: Platform, prefix: str, position: int, wait_ms: int
) -> Reply:
    """Returns the changes since a position, waiting for the first."""
    refusal = _check_admission(platform, "watch")
    if refusal is not None:
        return refusal
    outcome = await platform.store.watch(prefix, position, wait_ms / 1000)
    if platform.freeze_watches:
        return AsgiResponse(never_respond)
    if isinstance(outcome, Failed):
        return _create_error_reply(outcome)
    batch: WatchBatch = outcome.unwrap()
    return Reply(
        {
            "position": batch.position,
            "changed": [_to_json(o) for o in batch.changed],
            "deleted_keys": batch.deleted_keys,
        }
    )


@litestar.get("/v1/hosts")
async def list_hosts(platform: Platform) -> Reply:
    """Returns the delayed list of hosts and upstreams."""
    refusal = _check_admission(platform, "hosts")
    if refusal is not None:
        return refusal
    platform.store.listed_hosts = platform.hosts.visible_hosts()
    outcome = await platform.store.hosts()
    if isinstance(outcome, Failed):
        return _create_error_reply(outcome)
    hosts = [dataclasses.asdict(host) for host in outcome.unwrap()]
    return Reply({"hosts": hosts})


@litestar.get("/v1/health")
async def health() -> Reply:
    """Reports that the process is serving, independently of the faults."""
    return Reply({"serving": True})


@litestar.post("/admin/faults", status_code=204)
async def set_faults(platform: Platform, data: PlatformFaults) -> None:
    """Replaces all faults."""
    platform.set_faults(data)


@litestar.post("/admin/hosts", status_code=204)
async def change_host(platform: Platform, data: HostChange) -> None:
    """Schedules a change of the host list."""
    platform.hosts.schedule_change(data)


@litestar.get("/admin/stats")
async def stats(platform: Platform) -> PlatformStats:
    """Returns the totals of the calls received."""
    return platform.stats()


def create_app(settings: PlatformSettings) -> litestar.Litestar:
    """Creates the ASGI app of the fake platform."""
    platform = Platform(settings)

    async def provide() -> Platform:
        await asyncio.sleep(0)
        return platform

    return litestar.Litestar(
        [
            read_object,
            write_object,
            delete_object,
            list_objects,
            watch_objects,
            list_hosts,
            health,
            set_faults,
            change_host,
            stats,
        ],
        dependencies={"platform": Provide(provide)},
        logging_config=None,
        openapi_config=None,
    )


def _strip_slash(key: str) -> str:
    # Litestar's path parameters start with a slash.
    return key.removeprefix("/")


def _check_admission(
    platform: Platform, call: str, is_write: bool = False
) -> Reply | None:
    if platform.hangs:
        return AsgiResponse(never_respond)
    if platform.admit(call, is_write):
        return None
    return Reply(None, status_code=429)


def _create_error_reply(outcome: Result[Any, Failure]) -> Reply:
    failure = outcome.failure()
    if failure.kind is ErrorKind.WRITE_UNKNOWN:
        return AsgiResponse(abort_response)
    return Reply(None, status_code=_STATUS_BY_KIND[failure.kind])


def _to_json(stored: StoredObject) -> dict[str, str | int]:
    return {
        "key": stored.key,
        "version": stored.version,
        "value": base64.b64encode(stored.value).decode(),
    }
