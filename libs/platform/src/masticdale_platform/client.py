"""The HTTP client of the platform's object API.

Requests and responses, JSON unless noted:
    GET  /v1/objects/{key}                 200 value bytes, X-Version; 404
    PUT  /v1/objects/{key}  If-Version: n  200 {"version": n}; 409
    DELETE /v1/objects/{key} If-Version: n 204; 409
    GET  /v1/list?prefix=                  200 {"objects": [...]}
    GET  /v1/watch?prefix=&position=&wait_ms=  200 {"position", "changed",
                                               "deleted_keys"}
    GET  /v1/hosts                         200 {"hosts": [{name, leaving}]}
Values inside JSON are base64. Status 429 or 503: the call had no effect.
"""

import asyncio
import base64
import time
from typing import Any

import httpx
import pydantic
from returns.result import Failure as Failed
from returns.result import Result, Success

from masticdale_common import ErrorKind, Failure, Metrics, bounded_http
from masticdale_platform.types import ListedHost, StoredObject, WatchBatch

_NO_EFFECT_STATUSES = frozenset({429, 503})
_WATCH_GRACE_S = 2.0
# Larger than the list of all objects under any prefix.
_MAX_BODY_BYTES = 64 << 20


class _WireObject(pydantic.BaseModel):
    key: str
    version: int
    value: str

    def to_object(self) -> StoredObject:
        """Returns the object with its base64 value decoded."""
        return StoredObject(
            self.key, self.version, base64.b64decode(self.value)
        )


class _WireVersion(pydantic.BaseModel):
    version: int


class _WireList(pydantic.BaseModel):
    objects: list[_WireObject]


class _WireWatch(pydantic.BaseModel):
    position: int
    changed: list[_WireObject]
    deleted_keys: list[str]


class _WireHost(pydantic.BaseModel):
    name: str
    leaving: bool


class _WireHosts(pydantic.BaseModel):
    hosts: list[_WireHost]


class PlatformClient:
    """An ``ObjectStore`` over HTTP."""

    def __init__(
        self, base_url: str, timeout_s: float, metrics: Metrics
    ) -> None:
        self._timeout_s = timeout_s
        self._metrics = metrics
        self._http = httpx.AsyncClient(
            base_url=base_url, timeout=timeout_s, verify=False, trust_env=False
        )

    async def close(self) -> None:
        """Closes all connections."""
        await self._http.aclose()

    async def read(self, key: str) -> Result[StoredObject | None, Failure]:
        """See ``ObjectStore.read``."""
        outcome = await self._send("GET", f"/v1/objects/{key}")
        if isinstance(outcome, Failed):
            return outcome
        response = outcome.unwrap()
        if response.status_code == httpx.codes.NOT_FOUND:
            return Success(None)
        version = int(response.headers["x-version"])
        return Success(StoredObject(key, version, response.content))

    async def write(
        self, key: str, value: bytes, expected_version: int
    ) -> Result[int, Failure]:
        """See ``ObjectStore.write``."""
        outcome = await self._send(
            "PUT",
            f"/v1/objects/{key}",
            content=value,
            headers={"if-version": str(expected_version)},
        )
        if isinstance(outcome, Failed):
            return outcome
        reply = _WireVersion.model_validate_json(outcome.unwrap().content)
        return Success(reply.version)

    async def delete(
        self, key: str, expected_version: int
    ) -> Result[None, Failure]:
        """See ``ObjectStore.delete``."""
        outcome = await self._send(
            "DELETE",
            f"/v1/objects/{key}",
            headers={"if-version": str(expected_version)},
        )
        return outcome.map(lambda _: None)

    async def list(
        self, prefix: str
    ) -> Result[tuple[StoredObject, ...], Failure]:
        """See ``ObjectStore.list``."""
        outcome = await self._send("GET", "/v1/list", params={"prefix": prefix})
        if isinstance(outcome, Failed):
            return outcome
        reply = _WireList.model_validate_json(outcome.unwrap().content)
        return Success(tuple(item.to_object() for item in reply.objects))

    async def watch(
        self, prefix: str, position: int, wait_s: float
    ) -> Result[WatchBatch, Failure]:
        """See ``ObjectStore.watch``."""
        outcome = await self._send(
            "GET",
            "/v1/watch",
            params={
                "prefix": prefix,
                "position": str(position),
                "wait_ms": str(int(wait_s * 1000)),
            },
            timeout_s=wait_s + _WATCH_GRACE_S,
        )
        if isinstance(outcome, Failed):
            return outcome
        reply = _WireWatch.model_validate_json(outcome.unwrap().content)
        return Success(
            WatchBatch(
                reply.position,
                tuple(item.to_object() for item in reply.changed),
                tuple(reply.deleted_keys),
            )
        )

    async def hosts(self) -> Result[tuple[ListedHost, ...], Failure]:
        """See ``ObjectStore.hosts``."""
        outcome = await self._send("GET", "/v1/hosts")
        if isinstance(outcome, Failed):
            return outcome
        reply = _WireHosts.model_validate_json(outcome.unwrap().content)
        return Success(
            tuple(ListedHost(h.name, h.leaving) for h in reply.hosts)
        )

    async def _send(
        self, method: str, path: str, timeout_s: float = 0, **options: Any
    ) -> Result[httpx.Response, Failure]:
        self._metrics.count("platform_calls_total", method=method)
        call_timeout_s = timeout_s or self._timeout_s
        started = time.monotonic()
        failure_kind = (
            ErrorKind.PLATFORM_UNAVAILABLE
            if method == "GET"
            else ErrorKind.WRITE_UNKNOWN
        )
        try:
            # httpx's timeouts bound each read, not the whole call: a server
            # that sends single bytes would block the caller forever.
            async with asyncio.timeout(call_timeout_s):
                response = await bounded_http.request(
                    self._http,
                    method,
                    path,
                    _MAX_BODY_BYTES,
                    timeout=call_timeout_s,
                    **options,
                )
        except (httpx.ConnectError, httpx.ConnectTimeout) as error:
            return self._record_failure(
                ErrorKind.PLATFORM_UNAVAILABLE, repr(error)
            )
        except (httpx.HTTPError, TimeoutError) as error:
            return self._record_failure(failure_kind, repr(error))
        self._metrics.observe(
            "platform_seconds", time.monotonic() - started, method=method
        )
        if response.status_code == httpx.codes.CONFLICT:
            return Failed(Failure(ErrorKind.CONFLICT, path))
        if response.status_code in _NO_EFFECT_STATUSES:
            return self._record_failure(ErrorKind.PLATFORM_UNAVAILABLE, path)
        is_missing = response.status_code == httpx.codes.NOT_FOUND
        if response.is_success or (is_missing and method == "GET"):
            return Success(response)
        return self._record_failure(
            failure_kind, f"{path}: status {response.status_code}"
        )

    def _record_failure(self, kind: ErrorKind, detail: str) -> Failed[Failure]:
        self._metrics.count("platform_failures_total", kind=kind.value)
        return Failed(Failure(kind, detail))
