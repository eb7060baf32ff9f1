"""Quarantines requests that crash the replicas that run them.

A caller may retry under a new request id, so content is identified by its
digest. Content that has never succeeded runs one copy at a time. After a crash,
all content that was in flight runs exclusively. The same content thus crashes
at most two replicas: in one shared and in one exclusive run.
"""

import collections
import dataclasses
import enum
from collections.abc import Iterable

_CRASHES_TO_REFUSE = 2
_MAX_SUCCEEDED = 20_000
_MAX_RECORDS = 10_000
# A run that was never ended, as by a host that died, counts for this long. It
# must exceed the duration of a run, or two copies could run at once.
_RUN_LEASE_S = 900.0


class Admission(enum.StrEnum):
    """Whether a request content may run."""

    RUN = "run"
    RUN_EXCLUSIVE = "run_exclusive"
    WAIT = "wait"
    REFUSED = "refused"


class SuspectState(enum.StrEnum):
    """State of a request content that was in flight at a crash."""

    SUSPECT = "suspect"
    REFUSED = "refused"
    CLEARED = "cleared"


@dataclasses.dataclass(frozen=True, slots=True)
class SuspectRecord:
    """State of one content, shared between hosts.

    Attributes:
        digest: Digest of the content.
        state: State of the content.
        crashes: Crashes attributed to it.
        version: Increases with each change; the higher one wins a merge.
    """

    digest: str
    state: SuspectState
    crashes: int
    version: int


@dataclasses.dataclass(slots=True)
class _Runs:
    """Current runs of one content: their leases by run id."""

    lease_until_by_id: dict[str, float]
    exclusive: bool

    def expire(self, now: float) -> None:
        expired = [i for i, t in self.lease_until_by_id.items() if t <= now]
        for run_id in expired:
            del self.lease_until_by_id[run_id]


class SuspectRegistry:
    """Admits runs, counts crashes and clears content that succeeds.

    The bound of two crashes holds only if one registry sees all runs of a
    digest, so one host must hold the registry for a digest (its home).
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
        """Decides whether a content may run now.

        RUN and RUN_EXCLUSIVE start the run. It ends with ``record_crash``,
        ``record_success`` or ``end_run``.

        Args:
            digest: Digest of the content.
            run_id: Id of the run, such as its ticket id; idempotent per id.
            now: Current time in seconds.
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
        """Records a crash of a replica.

        Args:
            digests: Digests of the content in flight at the replica.

        Returns:
            The changed records.
        """
        return [self._count_crash(digest) for digest in set(digests)]

    def record_success(self, digest: str, run_id: str) -> SuspectRecord | None:
        """Records a successful run, which clears its content.

        Returns:
            The changed record, or None if the content was not suspected.
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
        """Ends a run without an outcome, such as a cancelled one.

        An unknown run is ignored.
        """
        runs = self._runs_by_digest.get(digest)
        if runs is None:
            return
        runs.lease_until_by_id.pop(run_id, None)
        if not runs.lease_until_by_id:
            self._remove_runs(digest)

    def release(self, digest: str) -> SuspectRecord | None:
        """Clears a refused or suspected content on an operator's request.

        Returns:
            The changed record, or None if the content is unknown.
        """
        if digest not in self._record_by_digest:
            return None
        return self._update_record(digest, SuspectState.CLEARED, 0)

    def records(self) -> tuple[SuspectRecord, ...]:
        """Returns all records, to be stored and shared."""
        return tuple(self._record_by_digest.values())

    def merge(self, records: Iterable[SuspectRecord]) -> None:
        """Merges records of another host or of the store."""
        for record in records:
            known = self._record_by_digest.get(record.digest)
            if known is None or _merge_order(known) < _merge_order(record):
                self._store_record(record)

    def _state(self, digest: str) -> SuspectState:
        record = self._record_by_digest.get(digest)
        return record.state if record else SuspectState.CLEARED

    def _admit_suspect(self, digest: str, run_id: str, now: float) -> Admission:
        # Only one suspect runs at a time: two suspects on two replicas could
        # crash both at once.
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
        # Only crashes of exclusive runs add up. Otherwise, content in flight at
        # two replicas that crashed for other reasons would be refused.
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
        # A host that dies never ends its runs. Without a lease, all further
        # copies of the content would wait forever.
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
