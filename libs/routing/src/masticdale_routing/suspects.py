"""Requests that may crash the replicas that run them.

A caller sends a crashing request again under new request ids, so it is known
by a digest of its content. Of an unknown content only one copy runs at a time,
and after a crash everything that was in flight runs alone: thus at most one
shared and one exclusive run of the same content crash a replica.
"""

import collections
import dataclasses
import enum
from collections.abc import Iterable

_CRASHES_TO_REFUSE = 2
_MAX_SUCCEEDED = 20_000
_MAX_RECORDS = 10_000
_RUN_LEASE_S = 900.0


class Admission(enum.StrEnum):
    """Whether a content may run."""

    RUN = "run"
    RUN_EXCLUSIVE = "run_exclusive"
    WAIT = "wait"
    REFUSED = "refused"


class SuspectState(enum.StrEnum):
    """What is known of a content that was in flight at a crash."""

    SUSPECT = "suspect"
    REFUSED = "refused"
    CLEARED = "cleared"


@dataclasses.dataclass(frozen=True, slots=True)
class SuspectRecord:
    """What hosts share about one content.

    Attributes:
        digest: Digest of the content.
        state: What is known.
        crashes: Crashes counted against it.
        version: Grows with each change; the greater one wins a merge.
    """

    digest: str
    state: SuspectState
    crashes: int
    version: int


@dataclasses.dataclass(slots=True)
class _Runs:
    """Runs of one content at present: their leases by run id."""

    lease_until_by_id: dict[str, float]
    exclusive: bool

    def expire(self, now: float) -> None:
        expired = [i for i, t in self.lease_until_by_id.items() if t <= now]
        for run_id in expired:
            del self.lease_until_by_id[run_id]


class SuspectRegistry:
    """Admits contents, counts crashes, clears the innocent.

    One registry must see all runs of a digest for the bound of two crashes to
    hold, so the daemon keeps it at the digest's home.
    """

    def __init__(self) -> None:
        self._record_by_digest: collections.OrderedDict[str, SuspectRecord] = (
            collections.OrderedDict()
        )
        self._succeeded: collections.OrderedDict[str, None] = (
            collections.OrderedDict()
        )
        self._runs_by_digest: dict[str, _Runs] = {}
        self._exclusive_digest: str | None = None

    def admit(self, digest: str, run_id: str, now: float) -> Admission:
        """Decides whether a content may run now; RUN and RUN_EXCLUSIVE begin.

        A begun run ends with ``crashed``, ``succeeded`` or ``ended``.

        Args:
            digest: Digest of the content.
            run_id: The run, such as its ticket id; asking again is safe.
            now: Present time.
        """
        self._expire(digest, now)
        if self._state(digest) is SuspectState.REFUSED:
            return Admission.REFUSED
        runs = self._runs_by_digest.get(digest)
        if runs is not None and run_id in runs.lease_until_by_id:
            return _admission_of_run(runs.exclusive)
        if self._state(digest) is SuspectState.SUSPECT:
            return self._admit_suspect(digest, run_id, now)
        if digest not in self._succeeded and runs is not None:
            return Admission.WAIT
        self._begin_run(digest, run_id, now, exclusive=False)
        return Admission.RUN

    def record_crash(self, digests: Iterable[str]) -> list[SuspectRecord]:
        """Notes a replica's crash.

        Args:
            digests: Contents that were in flight at the replica.

        Returns:
            The records that changed.
        """
        return [self._count_crash(digest) for digest in set(digests)]

    def record_success(self, digest: str, run_id: str) -> SuspectRecord | None:
        """Notes a run that ended well: its content is innocent.

        Returns:
            The record that changed, if there was one.
        """
        self.end_run(digest, run_id)
        self._succeeded[digest] = None
        self._succeeded.move_to_end(digest)
        if len(self._succeeded) > _MAX_SUCCEEDED:
            self._succeeded.popitem(last=False)
        if self._state(digest) is not SuspectState.SUSPECT:
            return None
        return self._update_record(digest, SuspectState.CLEARED, 0)

    def end_run(self, digest: str, run_id: str) -> None:
        """Notes a run that ended and proved nothing, such as a cancelled one.

        An unknown run is ignored.
        """
        runs = self._runs_by_digest.get(digest)
        if runs is None:
            return
        runs.lease_until_by_id.pop(run_id, None)
        if not runs.lease_until_by_id:
            self._remove_runs(digest)

    def release(self, digest: str) -> SuspectRecord | None:
        """Lets a refused or suspected content run again, for operators.

        Returns:
            The record that changed, or None if the content was not known.
        """
        if digest not in self._record_by_digest:
            return None
        return self._update_record(digest, SuspectState.CLEARED, 0)

    def records(self) -> tuple[SuspectRecord, ...]:
        """Returns everything known, to be stored and shared."""
        return tuple(self._record_by_digest.values())

    def merge(self, records: Iterable[SuspectRecord]) -> None:
        """Takes over records of another host or of the store."""
        for record in records:
            known = self._record_by_digest.get(record.digest)
            if known is None or _merge_order(known) < _merge_order(record):
                self._store_record(record)

    def _state(self, digest: str) -> SuspectState:
        record = self._record_by_digest.get(digest)
        return record.state if record else SuspectState.CLEARED

    def _admit_suspect(self, digest: str, run_id: str, now: float) -> Admission:
        # One suspect at a time: two that ran at once on two replicas could
        # both be bad, and the fleet would lose both replicas together.
        if self._exclusive_digest is not None:
            self._expire(self._exclusive_digest, now)
        if self._exclusive_digest is not None or digest in self._runs_by_digest:
            return Admission.WAIT
        self._begin_run(digest, run_id, now, exclusive=True)
        self._exclusive_digest = digest
        return Admission.RUN_EXCLUSIVE

    def _begin_run(
        self, digest: str, run_id: str, now: float, exclusive: bool
    ) -> None:
        runs = self._runs_by_digest.get(digest)
        if runs is None:
            runs = self._runs_by_digest[digest] = _Runs({}, exclusive)
        runs.lease_until_by_id[run_id] = now + _RUN_LEASE_S

    def _count_crash(self, digest: str) -> SuspectRecord:
        runs = self._runs_by_digest.get(digest)
        exclusive = runs is not None and runs.exclusive
        record = self._record_by_digest.get(digest)
        # Only a crash of an exclusive run proves anything: two replicas that
        # crash for other reasons would condemn whatever both were running.
        crashes = 1
        if exclusive and record is not None:
            crashes = record.crashes + 1
        self._remove_runs(digest)
        self._succeeded.pop(digest, None)
        if record is not None and record.state is SuspectState.REFUSED:
            return record
        refused = crashes >= _CRASHES_TO_REFUSE
        state = SuspectState.REFUSED if refused else SuspectState.SUSPECT
        return self._update_record(digest, state, crashes)

    def _update_record(
        self, digest: str, state: SuspectState, crashes: int
    ) -> SuspectRecord:
        known = self._record_by_digest.get(digest)
        version = known.version + 1 if known else 1
        record = SuspectRecord(digest, state, crashes, version)
        self._store_record(record)
        return record

    def _store_record(self, record: SuspectRecord) -> None:
        self._record_by_digest[record.digest] = record
        self._record_by_digest.move_to_end(record.digest)
        if len(self._record_by_digest) > _MAX_RECORDS:
            self._record_by_digest.popitem(last=False)

    def _remove_runs(self, digest: str) -> None:
        self._runs_by_digest.pop(digest, None)
        if self._exclusive_digest == digest:
            self._exclusive_digest = None

    def _expire(self, digest: str, now: float) -> None:
        # A host that dies never ends its runs; without a lease all further
        # copies of the content would wait for ever.
        runs = self._runs_by_digest.get(digest)
        if runs is None:
            return
        runs.expire(now)
        if not runs.lease_until_by_id:
            self._remove_runs(digest)


def _admission_of_run(exclusive: bool) -> Admission:
    return Admission.RUN_EXCLUSIVE if exclusive else Admission.RUN


def _merge_order(record: SuspectRecord) -> tuple[int, int]:
    return record.version, record.crashes
