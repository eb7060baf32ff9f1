"""Homes of content digests: which requests may run after a crash."""

import json
import time

from returns.result import Success

from masticdale_common import ErrorKind, Failure, JsonValue, logs
from masticdale_peers import SuspectReply, SuspectRequest
from masticdale_platform import MUST_NOT_EXIST, ObjectStore
from masticdale_routing import (
    SuspectRecord,
    SuspectRegistry,
    SuspectState,
)

PREFIX = "quarantine/"
_REFRESH_S = 5.0


class SuspectHome:
    """The registry of the digests whose home, or stand-by, this host is.

    Each crash is counted at both hosts and written to the platform, so that
    the count outlives any one of them.
    """

    def __init__(self, store: ObjectStore) -> None:
        self._store = store
        self._registry = SuspectRegistry()
        self._version_by_digest: dict[str, int] = {}
        self._refreshed_at = 0.0
        self._is_stale = True

    def members_changed(self) -> None:
        """Notes that digests may have moved here: read before admitting."""
        self._is_stale = True

    async def handle(self, request: SuspectRequest) -> SuspectReply:
        """Admits or notes a run; see ``SuspectRequest``."""
        if request.action == "admit":
            if self._is_stale:
                await self.refresh()
            admission = self._registry.admit(
                request.digests[0], request.run_id, time.monotonic()
            )
            return SuspectReply(admission.value)
        if request.action == "crashed":
            for record in self._registry.crashed(request.digests):
                await self._store_record(record)
            return SuspectReply()
        if request.action == "succeeded":
            cleared = self._registry.succeeded(
                request.digests[0], request.run_id
            )
            if cleared is not None:
                await self._store_record(cleared)
            return SuspectReply()
        if request.action == "ended":
            self._registry.ended(request.digests[0], request.run_id)
            return SuspectReply()
        detail = f"action {request.action!r}"
        return SuspectReply(failure=Failure(ErrorKind.BAD_REQUEST, detail))

    async def refresh(self) -> None:
        """Reads what other homes recorded, if the platform answers."""
        outcome = await self._store.list(PREFIX)
        self._refreshed_at = time.monotonic()
        if not isinstance(outcome, Success):
            return
        self._is_stale = False
        for stored in outcome.unwrap():
            record = _decode(stored.value)
            self._version_by_digest[record.digest] = stored.version
            self._registry.merge([record])

    async def tick(self) -> None:
        """Refreshes now and then; run each second."""
        if time.monotonic() - self._refreshed_at > _REFRESH_S:
            await self.refresh()

    def quarantined(self) -> tuple[SuspectRecord, ...]:
        """Returns the given-up requests."""
        refused = SuspectState.REFUSED
        return tuple(r for r in self._registry.records() if r.state is refused)

    async def release(self, digest: str) -> bool:
        """Lets a given-up request run again; False where none is known."""
        await self.refresh()
        record = self._registry.release(digest)
        if record is None:
            return False
        await self._store_record(record)
        return True

    def dump(self) -> JsonValue:
        """Returns the records."""
        return [
            {
                "digest": record.digest,
                "state": record.state.value,
                "crashes": record.crashes,
            }
            for record in self._registry.records()
        ]

    async def _store_record(self, record: SuspectRecord) -> None:
        key = PREFIX + record.digest
        version = self._version_by_digest.get(record.digest, MUST_NOT_EXIST)
        outcome = await self._store.write(key, _encode(record), version)
        if isinstance(outcome, Success):
            self._version_by_digest[record.digest] = outcome.unwrap()
            return
        logs.write("quarantine_write_failed", kind=outcome.failure().kind.value)
        if outcome.failure().kind is ErrorKind.CONFLICT:
            await self.refresh()


def _encode(record: SuspectRecord) -> bytes:
    return json.dumps(
        {
            "digest": record.digest,
            "state": record.state.value,
            "crashes": record.crashes,
            "version": record.version,
        }
    ).encode()


def _decode(value: bytes) -> SuspectRecord:
    fields = json.loads(value)
    return SuspectRecord(
        fields["digest"],
        SuspectState(fields["state"]),
        fields["crashes"],
        fields["version"],
    )
