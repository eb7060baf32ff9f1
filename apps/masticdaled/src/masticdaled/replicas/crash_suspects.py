"""Home of content digests: decides which requests may run after a crash."""

import dataclasses
import json
import time

from returns.result import Success

from masticdale_common import ErrorKind, Failure, JsonValue, logs
from masticdale_peers import (
    MembershipChange,
    SuspectReply,
    SuspectRequest,
)
from masticdale_platform import MUST_NOT_EXIST, ObjectStore
from masticdale_routing import (
    Admission,
    SuspectRecord,
    SuspectRegistry,
    SuspectState,
)

PREFIX = "quarantine/"
_REFRESH_INTERVAL_S = 5.0
_REFRESH_RETRY_S = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class _Run:
    digest: str
    origin: str


class DigestHome:
    """Admits runs of the digests whose home or standby this host is.

    Both hosts count each crash, and the count is stored on the platform, so it
    survives the loss of either host.
    """

    def __init__(self, store: ObjectStore) -> None:
        self._store = store
        self._registry = SuspectRegistry()
        self._version_by_digest: dict[str, int] = {}
        self._run_by_id: dict[str, _Run] = {}
        self._refreshed_at = -_REFRESH_RETRY_S
        self._is_stale = True

    def members_changed(self, change: MembershipChange) -> None:
        """Ends the runs of dead and restarted hosts; marks the records stale.

        A dead owner does not report the end of its run. The next owner repeats
        the turn with the same content and would wait for that run. Digests may
        also have moved to this host, whose records lack them.
        """
        self._is_stale = True
        live = {member.name for member in change.members}
        restarted = live.intersection(change.restarted)
        for run_id, run in list(self._run_by_id.items()):
            if run.origin not in live or run.origin in restarted:
                self._end(run_id, run.digest)

    async def handle(self, request: SuspectRequest) -> SuspectReply:
        """Handles an action on runs; see ``SuspectRequest``."""
        if request.action == "admit":
            return await self._admit(request)
        if request.action == "crashed":
            for record in self._registry.record_crash(request.digests):
                await self._store_record(record)
            return SuspectReply()
        if request.action == "succeeded":
            self._run_by_id.pop(request.run_id, None)
            cleared = self._registry.record_success(
                request.digests[0], request.run_id
            )
            if cleared is not None:
                await self._store_record(cleared)
            return SuspectReply()
        if request.action == "ended":
            self._end(request.run_id, request.digests[0])
            return SuspectReply()
        detail = f"action {request.action!r}"
        return SuspectReply(failure=Failure(ErrorKind.BAD_REQUEST, detail))

    async def refresh(self) -> None:
        """Merges the records stored on the platform, if it answers."""
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
        """Refreshes the records periodically; call it once a second."""
        if time.monotonic() - self._refreshed_at > _REFRESH_INTERVAL_S:
            await self.refresh()

    def quarantined(self) -> tuple[SuspectRecord, ...]:
        """Returns the records of quarantined requests."""
        refused = SuspectState.REFUSED
        return tuple(r for r in self._registry.records() if r.state is refused)

    async def release(self, digest: str) -> bool:
        """Releases a request from quarantine; False if it is unknown."""
        await self.refresh()
        record = self._registry.release(digest)
        if record is None:
            return False
        await self._store_record(record)
        return True

    def dump(self) -> JsonValue:
        """Returns the records as JSON."""
        return [
            {
                "digest": record.digest,
                "state": record.state.value,
                "crashes": record.crashes,
            }
            for record in self._registry.records()
        ]

    async def _admit(self, request: SuspectRequest) -> SuspectReply:
        since_s = time.monotonic() - self._refreshed_at
        # Limits the reads: while the platform is down, each one takes its whole
        # timeout and would delay a turn. Until it answers, the records known
        # here decide.
        if self._is_stale and since_s > _REFRESH_RETRY_S:
            self._refreshed_at = time.monotonic()
            await self.refresh()
        digest = request.digests[0]
        admission = self._registry.admit(
            digest, request.run_id, time.monotonic()
        )
        if admission in (Admission.RUN, Admission.RUN_EXCLUSIVE):
            self._run_by_id[request.run_id] = _Run(digest, request.origin)
        return SuspectReply(admission.value)

    def _end(self, run_id: str, digest: str) -> None:
        self._run_by_id.pop(run_id, None)
        self._registry.end_run(digest, run_id)

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
