"""Where revisions and snapshots lie in the platform's service.

    config/revisions/{n}               one revision, immutable until it is
                                       trimmed
    config/snapshots/{n}/{digest}/{p}  the state after revision n, in parts
    config/head                        a hint at the newest whole snapshot,
                                       and at what of the older is left

Creating ``config/revisions/{n+1}`` is the commit point of a change of any
number of declarations: the platform lets exactly one writer create it, so
there is one sequence and nothing is ever half applied. All else is a hint
that may lag or be lost.
"""

import asyncio
import dataclasses

import pydantic
from returns.result import Failure as Failed
from returns.result import Result, Success

from masticdale_common import ErrorKind, Failure, StrictModel
from masticdale_config import canonical, snapshots, trimming
from masticdale_config import state as states
from masticdale_config.active_config import ActiveConfig
from masticdale_platform.types import MUST_NOT_EXIST, ObjectStore

REVISION_PREFIX = "config/revisions/"
SNAPSHOT_PREFIX = "config/snapshots/"
HEAD_KEY = "config/head"
PART_BYTES = 900_000
# Revisions whose numbers differ in the last digits only, so that a watch or
# a list of one block is bounded however long the sequence has grown.
BLOCK_DIGITS = 2
_DIGITS = 10
_TAIL_BATCH = 64
KEPT_SNAPSHOTS = 2


class SnapshotRef(StrictModel):
    """Names one snapshot.

    Attributes:
        number: Revision the snapshot was taken after.
        digest: Digest of the snapshot's bytes.
        parts: Number of its parts.
    """

    # While an upgrade is rolling, a host of the earlier release must read
    # what one of the later release wrote.
    model_config = pydantic.ConfigDict(extra="ignore", frozen=True)

    number: int
    digest: str
    parts: int


class SnapshotHint(SnapshotRef):
    """What ``config/head`` holds: the newest snapshot, and what is kept.

    Attributes:
        earlier: Older snapshots that are still stored, newest first.
        trimmed: Number of the last trimmed revision.
    """

    earlier: tuple[SnapshotRef, ...] = ()
    trimmed: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class _Tail:
    revisions: tuple[bytes, ...]
    is_trimmed: bool
    is_complete: bool


def revision_key(number: int) -> str:
    """Returns the key of a revision."""
    return f"{REVISION_PREFIX}{number:0{_DIGITS}d}"


def block_prefix(number: int) -> str:
    """Returns the prefix of the block of revisions a number lies in."""
    return revision_key(number)[:-BLOCK_DIGITS]


def part_key(hint: SnapshotRef, part: int) -> str:
    """Returns the key of a snapshot's part."""
    folder = f"{SNAPSHOT_PREFIX}{hint.number:0{_DIGITS}d}/{hint.digest}"
    return f"{folder}/{part:04d}"


async def catch_up(
    store: ObjectStore, active_config: ActiveConfig
) -> Result[int, Failure]:
    """Brings every revision that the platform holds into force.

    Args:
        store: The platform's service.
        active_config: Where they come into force.

    Returns:
        The number then in force. A read that fails ends it; what was read
        before that is in force.
    """
    if active_config.number == 0:
        begun = await _load_snapshot(store, active_config)
        if isinstance(begun, Failed):
            return begun
    while True:
        outcome = await _read_tail(store, active_config.number)
        if isinstance(outcome, Failed):
            return outcome
        tail = outcome.unwrap()
        applied = await active_config.apply_revisions_in_thread(tail.revisions)
        if tail.is_trimmed:
            # This host was paused for so long that revisions it misses are
            # gone. Taken for the end of the sequence, it would lag for good.
            applied = await _skip_trimmed(store, active_config)
        if isinstance(applied, Failed) or tail.is_complete:
            return applied


async def read_hint(
    store: ObjectStore,
) -> Result[tuple[SnapshotHint | None, int], Failure]:
    """Returns the hint and its version; None where it is of no use."""
    outcome = await store.read(HEAD_KEY)
    if isinstance(outcome, Failed):
        return outcome
    stored = outcome.unwrap()
    if stored is None:
        return Success((None, MUST_NOT_EXIST))
    try:
        hint = SnapshotHint.model_validate_json(stored.value)
    except pydantic.ValidationError:
        return Success((None, stored.version))
    return Success((hint, stored.version))


async def write_snapshot(
    store: ObjectStore, state: states.ConfigState
) -> Result[None, Failure]:
    """Writes a snapshot and points the hint at it, unless one is newer.

    Args:
        store: The platform's service.
        state: What to write. All parts stand before the hint is moved, and a
            reader checks the digest of the whole.
    """
    value = await asyncio.to_thread(snapshots.encode, state)
    parts = [
        value[start : start + PART_BYTES]
        for start in range(0, len(value), PART_BYTES)
    ]
    digest = snapshots.digest(value)
    ref = SnapshotRef(number=state.number, digest=digest, parts=len(parts))
    for part, chunk in enumerate(parts):
        written = await store.write(part_key(ref, part), chunk, MUST_NOT_EXIST)
        if isinstance(written, Failed) and not _already_exists(
            written.failure()
        ):
            return written
    found = await read_hint(store)
    if isinstance(found, Failed):
        return found
    present, version = found.unwrap()
    if present is not None and present.number >= ref.number:
        return Success(None)
    hint = await _next_hint(store, ref, present)
    encoded = canonical.to_bytes(hint.model_dump())
    return (await store.write(HEAD_KEY, encoded, version)).map(lambda _: None)


async def _next_hint(
    store: ObjectStore, ref: SnapshotRef, present: SnapshotHint | None
) -> SnapshotHint:
    # What is removed here follows from the hint that stands already, so a
    # reader always finds a snapshot that is newer than whatever is gone.
    if present is None:
        return SnapshotHint(**ref.model_dump())
    first = present.trimmed + 1
    last = present.number - trimming.KEPT_REVISIONS
    numbers = range(first, last + 1)[: trimming.MAX_TRIMMED_AT_ONCE]
    trimmed = await trimming.trim_revisions(store, numbers, revision_key)
    earlier = [
        SnapshotRef(
            number=present.number, digest=present.digest, parts=present.parts
        ),
        *present.earlier,
    ]
    kept = earlier[: KEPT_SNAPSHOTS - 1]
    for old in earlier[KEPT_SNAPSHOTS - 1 :]:
        keys = [part_key(old, part) for part in range(old.parts)]
        if not await trimming.delete_keys(store, keys):
            kept.append(old)
    return SnapshotHint(
        **ref.model_dump(),
        earlier=tuple(kept),
        trimmed=present.trimmed + trimmed,
    )


def _already_exists(failure: Failure) -> bool:
    # The key holds the content's digest: whoever created it wrote the same.
    return failure.kind is ErrorKind.CONFLICT


async def _load_snapshot(
    store: ObjectStore, active_config: ActiveConfig
) -> Result[int, Failure]:
    found = await read_hint(store)
    if isinstance(found, Failed):
        return found
    hint, _ = found.unwrap()
    if hint is None:
        return Success(active_config.number)
    reads = [store.read(part_key(hint, part)) for part in range(hint.parts)]
    chunks = []
    for outcome in await asyncio.gather(*reads):
        if isinstance(outcome, Failed):
            return outcome
        stored = outcome.unwrap()
        if stored is None:
            return _corrupt_snapshot(hint, "a part is missing")
        chunks.append(stored.value)
    value = b"".join(chunks)
    if snapshots.digest(value) != hint.digest:
        return _corrupt_snapshot(hint, "its digest does not come out")
    return await active_config.apply_snapshot_in_thread(value)


async def _skip_trimmed(
    store: ObjectStore, active_config: ActiveConfig
) -> Result[int, Failure]:
    before = active_config.number
    begun = await _load_snapshot(store, active_config)
    if isinstance(begun, Success) and active_config.number == before:
        detail = f"revision {before + 1} is trimmed and no snapshot is newer"
        return Failed(Failure(ErrorKind.INTERNAL, detail))
    return begun


async def _read_tail(store: ObjectStore, after: int) -> Result[_Tail, Failure]:
    revisions: list[bytes] = []
    while len(revisions) < _TAIL_BATCH:
        number = after + 1 + len(revisions)
        outcome = await store.read(revision_key(number))
        if isinstance(outcome, Failed):
            return outcome
        stored = outcome.unwrap()
        if stored is None:
            return Success(_Tail(tuple(revisions), False, True))
        if stored.value == trimming.TOMBSTONE:
            return Success(_Tail(tuple(revisions), True, False))
        revisions.append(stored.value)
    return Success(_Tail(tuple(revisions), False, False))


def _corrupt_snapshot(hint: SnapshotRef, message: str) -> Failed[Failure]:
    detail = f"snapshot {hint.number}: {message}"
    return Failed(Failure(ErrorKind.INTERNAL, detail))
