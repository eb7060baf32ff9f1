"""Accepts concurrent changes as one sequence of revisions."""

import asyncio
import dataclasses
import time
from collections.abc import Callable

from returns.result import Failure as Failed
from returns.result import Result, Success

from masticdale_common import ErrorKind, Failure, hashing, logs
from masticdale_config import checks, storage, trimming
from masticdale_config import state as states
from masticdale_config.active_config import ActiveConfig
from masticdale_config.kinds import Declaration, DeclarationKey
from masticdale_config.rendered import RenderedConfig
from masticdale_platform.types import (
    MAX_VALUE_BYTES,
    MUST_NOT_EXIST,
    ObjectStore,
)

SNAPSHOT_EVERY = 100
MAX_ATTEMPTS = 12
BACKOFF_S = 0.01
_MAX_BACKOFF_S = 0.5


@dataclasses.dataclass(frozen=True, slots=True)
class Edit:
    """A put or a delete of one declaration.

    Attributes:
        key: Key of the declaration.
        seen: Digest of the declaration as the operator last saw it, or
            ``ABSENT``. If the current digest differs, the edit conflicts,
            unless it would change nothing.
        after: The new declaration; None to delete it.
    """

    key: DeclarationKey
    seen: str
    after: Declaration | None


@dataclasses.dataclass(frozen=True, slots=True)
class Change:
    """A set of edits that is accepted as one revision or not at all.

    Attributes:
        change_id: Unique id; a retry carries the same id.
        author: Operator who applies it.
        reason: Reason stated by the operator.
        edits: Edits of distinct declarations.
    """

    change_id: str
    author: str
    reason: str
    edits: tuple[Edit, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class AcceptedChange:
    """An accepted change.

    Attributes:
        revision: Its number; the current number if nothing would change.
        digest: Digest of the configuration after it; empty if it is a retry
            and later revisions are active.
        changed: False if every declaration was already as requested.
    """

    revision: int
    digest: str
    changed: bool


@dataclasses.dataclass(frozen=True, slots=True)
class Plan:
    """The effect that a change would have if it were applied now.

    Attributes:
        base: Number of the revision that the plan is based on.
        edits: Declarations that would change, before and after.
        before: The current configuration.
        after: The configuration after the change.
    """

    base: int
    edits: tuple[states.RecordedEdit, ...]
    before: RenderedConfig
    after: RenderedConfig


class ConfigStore:
    """Applies operators' changes; safe to use from several hosts at once."""

    def __init__(
        self,
        store: ObjectStore,
        active_config: ActiveConfig,
        snapshot_every: int = SNAPSHOT_EVERY,
        backoff_s: float = BACKOFF_S,
        wall_ms: Callable[[], int] | None = None,
    ) -> None:
        self._store = store
        self._active_config = active_config
        self._snapshot_every = snapshot_every
        self._backoff_s = backoff_s
        self._wall_ms = wall_ms or _now_ms
        self._lock = asyncio.Lock()

    async def load(self) -> Result[states.ConfigState, Failure]:
        """Catches up with the platform and returns the newest state."""
        loaded = await storage.catch_up(self._store, self._active_config)
        return loaded.map(lambda _: self._active_config.state)

    async def plan(self, change: Change) -> Result[Plan, Failure]:
        """Computes the effect of a change without writing anything.

        Args:
            change: The change.

        Returns:
            The plan, or the failure that ``apply`` would return.
        """
        loaded = await self.load()
        if isinstance(loaded, Failed):
            return loaded
        return await asyncio.to_thread(_build_plan, loaded.unwrap(), change)

    async def apply(self, change: Change) -> Result[AcceptedChange, Failure]:
        """Accepts a change atomically as the next revision.

        Args:
            change: The change. Its base may be outdated. It conflicts only if
                another change has since modified a declaration that it
                touches.

        Returns:
            The accepted change. CONFLICT names the declaration, its fields
            and the change that won; BAD_REQUEST names each invalid field;
            TOO_LARGE means that the change exceeds the platform's size limit;
            PLATFORM_UNAVAILABLE means that nothing was written; WRITE_UNKNOWN
            means that it may have been written: retry it under the same
            ``change_id``.
        """
        rejection = _check_change(change)
        if rejection is not None:
            return Failed(rejection)
        async with self._lock:
            return await self._apply(change)

    async def revision(
        self, number: int
    ) -> Result[states.Revision | None, Failure]:
        """Returns a revision, or None if it is not stored or was trimmed."""
        read = await self._store.read(storage.revision_key(number))
        if isinstance(read, Failed):
            return read
        stored = read.unwrap()
        if stored is None or stored.value == trimming.TOMBSTONE:
            return Success(None)
        return states.decode_revision(stored.value)

    async def _apply(self, change: Change) -> Result[AcceptedChange, Failure]:
        unresolved = 0
        failure = Failure(
            ErrorKind.PLATFORM_UNAVAILABLE, "no attempt succeeded"
        )
        for attempt in range(MAX_ATTEMPTS):
            if attempt:
                await asyncio.sleep(_backoff_s(self._backoff_s, attempt))
            loaded = await self.load()
            if isinstance(loaded, Failed):
                return _resolve_failure(loaded.failure(), unresolved)
            state = loaded.unwrap()
            if state.number >= unresolved:
                unresolved = 0
            duplicate = _find_duplicate(state, change)
            if duplicate is not None:
                return duplicate
            # On a thread, because a change of a template may affect thousands
            # of workspaces.
            planned = await asyncio.to_thread(_build_plan, state, change)
            if isinstance(planned, Failed):
                return _resolve_failure(planned.failure(), unresolved)
            plan = planned.unwrap()
            if not plan.edits:
                return Success(_unchanged(state))
            written = await self._commit(change, plan)
            if isinstance(written, Success):
                return await self._apply_accepted(written.unwrap())
            failure = written.failure()
            if failure.kind is ErrorKind.WRITE_UNKNOWN:
                # The write may still take effect. Until that revision exists,
                # no failure may claim that nothing was written. Creating the
                # same revision again resolves it.
                unresolved = plan.after.revision
            elif failure.kind is not ErrorKind.CONFLICT:
                return _resolve_failure(failure, unresolved)
        return _resolve_failure(failure, unresolved)

    async def _commit(
        self, change: Change, plan: Plan
    ) -> Result[states.Revision, Failure]:
        revision = states.Revision(
            number=plan.after.revision,
            change_id=change.change_id,
            change_digest=_change_digest(change),
            author=change.author,
            reason=change.reason,
            accepted_at_ms=self._wall_ms(),
            edits=plan.edits,
            digest=plan.after.digest,
        )
        value = states.encode_revision(revision)
        if len(value) > MAX_VALUE_BYTES:
            detail = (
                f"the change has {len(value)} bytes, at most {MAX_VALUE_BYTES}"
                " are allowed; split it into several changes"
            )
            return Failed(Failure(ErrorKind.TOO_LARGE, detail))
        key = storage.revision_key(revision.number)
        written = await self._store.write(key, value, MUST_NOT_EXIST)
        return written.map(lambda _: revision)

    async def _apply_accepted(
        self, revision: states.Revision
    ) -> Result[AcceptedChange, Failure]:
        # This host's watch may already have applied this and later revisions
        # before the write returned; they are then skipped here.
        applied = await self._active_config.apply_revisions_in_thread(
            (states.encode_revision(revision),)
        )
        if isinstance(applied, Failed):
            return applied
        if revision.number % self._snapshot_every == 0:
            written = await storage.write_snapshot(
                self._store, self._active_config.state
            )
            if isinstance(written, Failed):
                logs.write("snapshot_failed", error=str(written.failure()))
        return Success(AcceptedChange(revision.number, revision.digest, True))


def _check_change(change: Change) -> Failure | None:
    keys = [edit.key for edit in change.edits]
    if not change.change_id:
        return Failure(ErrorKind.BAD_REQUEST, "change_id: must not be empty")
    if len(set(keys)) < len(keys):
        detail = "edits: each declaration may appear only once"
        return Failure(ErrorKind.BAD_REQUEST, detail)
    return None


def _find_duplicate(
    state: states.ConfigState, change: Change
) -> Result[AcceptedChange, Failure] | None:
    summary = state.change(change.change_id)
    if summary is None:
        return None
    if summary.change_digest != _change_digest(change):
        detail = (
            f"change_id {change.change_id!r} was already used for another"
            f" change, accepted as revision {summary.revision}"
        )
        return Failed(Failure(ErrorKind.REQUEST_ID_REUSED, detail))
    is_newest = summary.revision == state.number
    digest = state.rendered.digest if is_newest else ""
    return Success(AcceptedChange(summary.revision, digest, True))


def _build_plan(
    state: states.ConfigState, change: Change
) -> Result[Plan, Failure]:
    edits: list[states.RecordedEdit] = []
    conflicts: list[str] = []
    for edit in change.edits:
        before = state.declaration_by_key.get(edit.key)
        if before == edit.after:
            continue
        if edit.seen != state.digest_of(edit.key):
            conflicts.append(_describe_conflict(state, edit))
            continue
        edits.append(
            states.RecordedEdit(
                kind=edit.key.kind,
                name=edit.key.name,
                before=before,
                after=edit.after,
            )
        )
    if conflicts:
        detail = "\n".join(conflicts)
        return Failed(Failure(ErrorKind.CONFLICT, detail))
    after_by_key = states.apply_edits(state.declaration_by_key, tuple(edits))
    touched = [edit.key for edit in edits]
    checked = checks.check_change(
        after_by_key, state.number + 1, state.rendered, touched
    )
    return checked.map(
        lambda after: Plan(state.number, tuple(edits), state.rendered, after)
    )


def _describe_conflict(state: states.ConfigState, edit: Edit) -> str:
    winner = state.last_change_of(edit.key)
    if winner is None:
        return f"{edit.key}: has changed since last seen, or never existed"
    fields = ", ".join(winner.touched_fields(edit.key) or ())
    return (
        f"{edit.key}: {fields or 'spec'}: changed by revision"
        f" {winner.revision} (change {winner.change_id}, {winner.author})"
    )


def _unchanged(state: states.ConfigState) -> AcceptedChange:
    return AcceptedChange(state.number, state.rendered.digest, False)


def _resolve_failure(failure: Failure, unresolved: int) -> Failed[Failure]:
    if not unresolved:
        return Failed(failure)
    detail = (
        f"revision {unresolved} may or may not have been written"
        f" ({failure.kind}); send the change again under the same change_id"
    )
    return Failed(Failure(ErrorKind.WRITE_UNKNOWN, detail))


def _change_digest(change: Change) -> str:
    parts = []
    for edit in sorted(change.edits, key=lambda edit: edit.key):
        after = "" if edit.after is None else edit.after.digest
        parts += [str(edit.key), edit.seen, after]
    return hashing.digest(*parts)


def _backoff_s(first_s: float, attempt: int) -> float:
    return float(min(_MAX_BACKOFF_S, first_s * 2**attempt))


def _now_ms() -> int:
    return time.time_ns() // 1_000_000
