"""Shares evidence on requests that crash replicas through the store.

Each host writes one object with its own reports, so that no two hosts write the
same one, and watches those of all others. The reports of a host outlive it, and
a host that is new or was started again reads them all.
"""

import asyncio
import time
from collections.abc import Awaitable, Callable

import pydantic
from returns.result import Failure as Failed

from masticdale_common import ErrorKind, logs
from masticdale_platform import (
    MUST_NOT_EXIST,
    ObjectStore,
    StoredObject,
    WatchBatch,
)
from masticdale_routing.crashes import RETENTION_S, CrashEvidence, CrashReport

REPORT_PREFIX = "crash-reports/"
EXPIRY_INTERVAL_S = 5.0
# Pause after a change of reports in the store, in seconds. A lost replica is
# reported by each host that used it, and each watch is a billed call.
WATCH_DEBOUNCE_S = 0.05
# How long a host waits at a watch source for reports, in seconds. Longer than
# for the configuration, since a source that falls silent may delay them.
FOLLOW_WAIT_S = 2.0
# Delay before changes that are not urgent are written, in seconds. Crashes are
# urgent, since the caller of a fatal request comes back at once.
_CHANGE_DELAY_S = 1.0
# Time after which reports that could not be written are written again, in
# seconds.
_RETRY_S = 1.0
# Time that a write may take before other hosts are told directly, in seconds.
# The caller of a fatal request comes back sooner than a slow store answers.
_SLOW_WRITE_S = 0.05
# Age of reports, in seconds, at which another host deletes them. Their host
# would have dropped them before if it lived.
_ABANDONED_S = 2 * RETENTION_S


NotifyHosts = Callable[[tuple[CrashReport, ...]], Awaitable[None]]


class _StoredReport(pydantic.BaseModel):
    """The JSON of a ``CrashReport``."""

    content: str
    ended: tuple[str, ...]
    ended_again: tuple[str, ...] = ()
    cleared: tuple[str, ...] = ()


class _StoredReports(pydantic.BaseModel):
    """The JSON of all reports of one host.

    Attributes:
        reports: The reports.
        at_ms: Wall-clock milliseconds of the write.
    """

    reports: tuple[_StoredReport, ...]
    at_ms: int


class CrashReports:
    """Writes the reports of this host, and applies those of the others.

    Attributes:
        is_loaded: Whether all reports have been read.
    """

    def __init__(
        self,
        store: ObjectStore,
        evidence: CrashEvidence,
        host: str,
        notify_hosts: NotifyHosts | None = None,
    ) -> None:
        """Creates the exchange; ``run`` starts to write.

        Args:
            store: The platform's store.
            evidence: What is known to this host.
            host: Name of this host.
            notify_hosts: Sends reports to all other hosts while the store does
                not take them.
        """
        self.is_loaded = False
        self._store = store
        self._evidence = evidence
        self._own_key = REPORT_PREFIX + host
        self._own_version = MUST_NOT_EXIST
        self._notify_hosts = notify_hosts
        self._notified: tuple[CrashReport, ...] = ()
        self._object_by_key: dict[str, StoredObject] = {}
        self._has_changes = asyncio.Event()
        self._has_unwritten = False
        self._write_timer: asyncio.TimerHandle | None = None
        evidence.on_urgent_change = self._write_now
        evidence.on_change = self._write_later

    def apply(self, batch: WatchBatch, after_outage: bool) -> None:
        """Applies a batch of changes."""
        del after_outage
        changed = {stored.key: stored for stored in batch.changed}
        deleted = set(batch.deleted_keys)
        if batch.is_snapshot:
            deleted |= self._object_by_key.keys() - changed
            self.is_loaded = True
        if batch.position < self._own_version:
            # It was read before this host's last write.
            deleted.discard(self._own_key)
        for key in deleted - changed.keys():
            self._apply_deletion(key)
        for key, stored in changed.items():
            self._object_by_key[key] = stored
            if key == self._own_key:
                self._apply_own(stored)
                continue
            self._evidence.apply(_host(key), _parse(stored), _now())

    async def run(self) -> None:
        """Writes this host's reports when they change, until cancelled."""
        while True:
            await self._has_changes.wait()
            self._has_changes.clear()
            self._cancel_timer()
            write = asyncio.create_task(self._write())
            await asyncio.wait({write}, timeout=_SLOW_WRITE_S)
            if not (write.done() and write.result()):
                await self._notify()
            if not await write:
                self._schedule_write(_RETRY_S)
            elif not self._has_changes.is_set():
                self._has_unwritten = self._write_timer is not None

    async def expire(self) -> None:
        """Drops old reports; call it once per ``EXPIRY_INTERVAL_S``."""
        now = _now()
        self._evidence.expire(now)
        # Of some hosts there are only notices: they were lost, too, before
        # they could write to the store.
        stored = {_host(key) for key in self._object_by_key}
        for host in self._evidence.hosts() - stored:
            if now - self._evidence.changed_at(host) > RETENTION_S:
                self._evidence.forget_host(host, now)

    async def delete_abandoned(self) -> None:
        """Deletes the reports of hosts that are gone for good."""
        oldest_ms = _now_ms() - 1000 * _ABANDONED_S
        for key, stored in list(self._object_by_key.items()):
            reports = _parse_reports(stored)
            if reports is None or reports.at_ms < oldest_ms:
                await self._store.delete(key, stored.version)

    def _write_now(self) -> None:
        self._has_unwritten = True
        self._has_changes.set()

    def _write_later(self) -> None:
        self._has_unwritten = True
        self._schedule_write(_CHANGE_DELAY_S)

    def _schedule_write(self, delay_s: float) -> None:
        if self._write_timer is None:
            loop = asyncio.get_running_loop()
            self._write_timer = loop.call_later(delay_s, self._has_changes.set)

    def _cancel_timer(self) -> None:
        if self._write_timer is not None:
            self._write_timer.cancel()
            self._write_timer = None

    async def _notify(self) -> None:
        reports = self._evidence.own_reports()
        if self._notify_hosts is None or reports == self._notified:
            return
        self._notified = reports
        await self._notify_hosts(reports)

    def _apply_own(self, stored: StoredObject) -> None:
        if stored.version <= self._own_version:
            return
        reports = _parse(stored)
        if self._own_version == MUST_NOT_EXIST or self._has_unwritten:
            self._evidence.add_own(reports, _now())
        else:
            self._evidence.replace_own(reports, _now())
        self._own_version = stored.version

    def _apply_deletion(self, key: str) -> None:
        self._object_by_key.pop(key, None)
        if key != self._own_key:
            self._evidence.forget_host(_host(key), _now())
            return
        if not self._has_unwritten:
            self._own_version = MUST_NOT_EXIST
            self._evidence.replace_own((), _now())

    async def _write(self) -> bool:
        reports = self._evidence.own_reports()
        if not reports:
            return await self._delete_own()
        outcome = await self._store.write(
            self._own_key, _encode(reports), self._own_version
        )
        if not isinstance(outcome, Failed):
            self._own_version = outcome.unwrap()
            return True
        failure = outcome.failure()
        logs.write_bounded(
            "crash_reports_not_written",
            contents=len(reports),
            version=self._own_version,
            reason=str(failure),
        )
        # A write whose answer was lost, or a process before this one, has
        # changed the object.
        if failure.kind in (ErrorKind.CONFLICT, ErrorKind.WRITE_UNKNOWN):
            await self._read_own()
        return False

    async def _delete_own(self) -> bool:
        if self._own_version == MUST_NOT_EXIST:
            return True
        outcome = await self._store.delete(self._own_key, self._own_version)
        if isinstance(outcome, Failed):
            await self._read_own()
            return False
        self._own_version = MUST_NOT_EXIST
        return True

    async def _read_own(self) -> None:
        outcome = await self._store.read(self._own_key)
        if isinstance(outcome, Failed):
            return
        stored = outcome.unwrap()
        if stored is None:
            self._own_version = MUST_NOT_EXIST
            return
        self._own_version = stored.version
        self._evidence.add_own(_parse(stored), _now())


def _encode(reports: tuple[CrashReport, ...]) -> bytes:
    stored = _StoredReports(
        reports=tuple(
            _StoredReport(
                content=report.content,
                ended=report.ended,
                ended_again=report.ended_again,
                cleared=report.cleared,
            )
            for report in reports
        ),
        at_ms=_now_ms(),
    )
    return stored.model_dump_json().encode()


def _host(key: str) -> str:
    return key.removeprefix(REPORT_PREFIX)


def _parse(stored: StoredObject) -> list[CrashReport]:
    reports = _parse_reports(stored)
    if reports is None:
        return []
    return [
        CrashReport(r.content, r.ended, r.ended_again, r.cleared)
        for r in reports.reports
    ]


def _parse_reports(stored: StoredObject) -> _StoredReports | None:
    try:
        return _StoredReports.model_validate_json(stored.value)
    except pydantic.ValidationError as error:
        logs.write_bounded(
            "crash_reports_unreadable", key=stored.key, error=str(error)[:200]
        )
        return None


def _now() -> float:
    return asyncio.get_running_loop().time()


def _now_ms() -> int:
    return time.time_ns() // 1_000_000
