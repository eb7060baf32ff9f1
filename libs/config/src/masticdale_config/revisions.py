"""Accepting changes: one sequence of revisions under racing operators."""

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
    """One declaration an operator wants to put or delete.

    Attributes:
        key: The declaration.
        seen: Digest of the declaration as the operator last saw it, or
            ``ABSENT``.
        after: What it is to be; None to delete it.
    """

    key: DeclarationKey
    seen: str
    after: Declaration | None


@dataclasses.dataclass(frozen=True, slots=True)
class Change:
    """What an operator applies, accepted as one revision or not at all.

    Attributes:
        change_id: Unique; the same when the apply is sent again.
        author: Who applies it.
        reason: Why.
        edits: The declarations it touches, each once.
    """

    change_id: str
    author: str
    reason: str
    edits: tuple[Edit, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class AcceptedChange:
    """An accepted change.

    Attributes:
        revision: Its number; the present one where nothing would change.
        digest: Digest of the configuration in force with it; empty where it
            was recognised and later revisions are in force.
        changed: False where every declaration was already as wanted.
    """

    revision: int
    digest: str
    changed: bool


@dataclasses.dataclass(frozen=True, slots=True)
class Plan:
    """What a change would do if it were applied now.

    Attributes:
        base: Revision it was computed against.
        edits: Declarations that would differ, before and after.
        before: The configuration now.
        after: The configuration as it would be.
    """

    base: int
    edits: tuple[states.RecordedEdit, ...]
    before: RenderedConfig
    after: RenderedConfig


class ConfigStore:
    """Applies operators' changes; several may run on several hosts."""

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
        """Returns the newest state the platform holds."""
        loaded = await storage.catch_up(self._store, self._active_config)
        return loaded.map(lambda _: self._active_config.state)

    async def plan(self, change: Change) -> Result[Plan, Failure]:
        """Says what a change would do, writing nothing.

        Args:
            change: The change.

        Returns:
            The plan; else what ``apply`` would answer.
        """
        loaded = await self.load()
        if isinstance(loaded, Failed):
            return loaded
        return await asyncio.to_thread(_build_plan, loaded.unwrap(), change)

    async def apply(self, change: Change) -> Result[AcceptedChange, Failure]:
        """Accepts a change as the next revision, whole or not at all.

        Args:
            change: The change. Its base may be old: only a declaration that
                it touches and that another change touched since is a
                conflict.

        Returns:
            The revision. CONFLICT names the declaration, its fields and the
            change that won; BAD_REQUEST each wrong field; TOO_LARGE a change
            over the platform's size; PLATFORM_UNAVAILABLE when surely
            nothing was written; WRITE_UNKNOWN when it may have been: send it
            again under the same ``change_id``.
        """
        refused = _check_change(change)
        if refused is not None:
            return Failed(refused)
        async with self._lock:
            return await self._apply(change)

    async def revision(
        self, number: int
    ) -> Result[states.Revision | None, Failure]:
        """Returns a revision, or None where none is stored any more."""
        read = await self._store.read(storage.revision_key(number))
        if isinstance(read, Failed):
            return read
        stored = read.unwrap()
        if stored is None or stored.value == trimming.TOMBSTONE:
            return Success(None)
        return states.decode_revision(stored.value)

    async def _apply(self, change: Change) -> Result[AcceptedChange, Failure]:
        unknown = 0
        failure = Failure(ErrorKind.PLATFORM_UNAVAILABLE, "gave up")
        for attempt in range(MAX_ATTEMPTS):
            if attempt:
                await asyncio.sleep(_backoff_s(self._backoff_s, attempt))
            loaded = await self.load()
            if isinstance(loaded, Failed):
                return _resolve_failure(loaded.failure(), unknown)
            state = loaded.unwrap()
            if state.number >= unknown:
                unknown = 0
            known = _find_duplicate(state, change)
            if known is not None:
                return known
            # Off the event loop: a template's change may reach thousands of
            # workspaces.
            prepared = await asyncio.to_thread(_build_plan, state, change)
            if isinstance(prepared, Failed):
                return _resolve_failure(prepared.failure(), unknown)
            plan = prepared.unwrap()
            if not plan.edits:
                return Success(_unchanged(state))
            written = await self._commit(change, plan)
            if isinstance(written, Success):
                return await self._apply_accepted(written.unwrap())
            failure = written.failure()
            if failure.kind is ErrorKind.WRITE_UNKNOWN:
                # The write may still take effect. Until that number is taken
                # nothing may be refused as surely not written; trying to
                # create the same number again settles it.
                unknown = plan.after.revision
            elif failure.kind is not ErrorKind.CONFLICT:
                return _resolve_failure(failure, unknown)
        return _resolve_failure(failure, unknown)

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
                f"the change takes {len(value)} bytes of {MAX_VALUE_BYTES};"
                " split it into several"
            )
            return Failed(Failure(ErrorKind.TOO_LARGE, detail))
        key = storage.revision_key(revision.number)
        written = await self._store.write(key, value, MUST_NOT_EXIST)
        return written.map(lambda _: revision)

    async def _apply_accepted(
        self, revision: states.Revision
    ) -> Result[AcceptedChange, Failure]:
        # This host's watch may have brought it, and later ones, into force
        # before the write was answered; then this passes over it.
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
        detail = "edits: a declaration may be touched once only"
        return Failure(ErrorKind.BAD_REQUEST, detail)
    return None


def _find_duplicate(
    state: states.ConfigState, change: Change
) -> Result[AcceptedChange, Failure] | None:
    known = state.change(change.change_id)
    if known is None:
        return None
    if known.change_digest != _change_digest(change):
        detail = (
            f"change_id {change.change_id!r} is that of revision"
            f" {known.revision}, which holds another change"
        )
        return Failed(Failure(ErrorKind.REQUEST_ID_REUSED, detail))
    is_newest = known.revision == state.number
    digest = state.rendered.digest if is_newest else ""
    return Success(AcceptedChange(known.revision, digest, True))


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
        return f"{edit.key}: is not what was last seen, or never was"
    fields = ", ".join(winner.touched_fields(edit.key) or ())
    return (
        f"{edit.key}: {fields or 'spec'}: changed by revision"
        f" {winner.revision} (change {winner.change_id}, {winner.author})"
    )


def _unchanged(state: states.ConfigState) -> AcceptedChange:
    return AcceptedChange(state.number, state.rendered.digest, False)


def _resolve_failure(failure: Failure, unknown: int) -> Failed[Failure]:
    if not unknown:
        return Failed(failure)
    detail = (
        f"revision {unknown} may or may not have been written"
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
