"""Layout of revisions and snapshots in the platform's object store.

    config/revisions/{n}               one revision, immutable until it is
                                       trimmed
    config/snapshots/{n}/{digest}/{p}  the state after revision n, in parts
    config/head                        a hint: the newest complete snapshot
                                       and the older ones still stored

Creating ``config/revisions/{n+1}`` commits a change of any number of
declarations. The platform lets exactly one writer create the key, so there is
one sequence of revisions and no change is applied in part. The other keys are
hints that may lag or be lost.
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
# A block holds the revisions whose numbers differ in these last digits only,
# which bounds the size of a watch or a list.
BLOCK_DIGITS = 2
_DIGITS = 10
_TAIL_BATCH = 64
KEPT_SNAPSHOTS = 2


class SnapshotRef(StrictModel):
    """A reference to one snapshot.

    Attributes:
        number: Number of the last revision in the snapshot.
        digest: Digest of the snapshot's bytes.
        parts: Number of its parts.
    """

    # During a rolling upgrade, hosts of the earlier release read what hosts of
    # the later release write.
    model_config = pydantic.ConfigDict(extra="ignore", frozen=True)

    number: int
    digest: str
    parts: int


class SnapshotHint(SnapshotRef):
    """The content of ``config/head``: the newest snapshot and what is retained.

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
    """Returns the key prefix of the block that contains a revision."""
    return revision_key(number)[:-BLOCK_DIGITS]


def part_key(hint: SnapshotRef, part: int) -> str:
    """Returns the key of a snapshot's part."""
    folder = f"{SNAPSHOT_PREFIX}{hint.number:0{_DIGITS}d}/{hint.digest}"
    return f"{folder}/{part:04d}"


async def catch_up(
    store: ObjectStore, active_config: ActiveConfig
) -> Result[int, Failure]:
    """Applies every revision that the platform holds.

    Args:
        store: The platform's object store.
        active_config: The configuration to apply revisions to.

    Returns:
        The number of the active revision, or the failure of a read. Revisions
        read before the failure stay applied.
    """
    if active_config.number == 0:
        loaded = await _load_snapshot(store, active_config)
        if isinstance(loaded, Failed):
            return loaded
    while True:
        outcome = await _read_tail(store, active_config.number)
        if isinstance(outcome, Failed):
            return outcome
        tail = outcome.unwrap()
        applied = await active_config.apply_revisions_in_thread(tail.revisions)
        if tail.is_trimmed:
            # This host was paused until the next revisions were trimmed. If a
            # tombstone counted as the end of the sequence, it would lag
            # forever.
            applied = await _skip_trimmed(store, active_config)
        if isinstance(applied, Failed) or tail.is_complete:
            return applied


async def read_hint(
    store: ObjectStore,
) -> Result[tuple[SnapshotHint | None, int], Failure]:
    """Returns the hint, None if it is absent or invalid, and its version."""
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
    """Writes a snapshot and updates the hint, unless it names a newer one.

    All parts are written before the hint is updated, and readers check the
    digest of the complete snapshot.

    Args:
        store: The platform's object store.
        state: The state to write.
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
    current, version = found.unwrap()
    if current is not None and current.number >= ref.number:
        return Success(None)
    hint = await _next_hint(store, ref, current)
    encoded = canonical.to_bytes(hint.model_dump())
    return (await store.write(HEAD_KEY, encoded, version)).map(lambda _: None)


async def _next_hint(
    store: ObjectStore, ref: SnapshotRef, current: SnapshotHint | None
) -> SnapshotHint:
    # Data is removed according to the hint that is already stored, so a reader
    # always finds a snapshot newer than the removed data.
    if current is None:
        return SnapshotHint(**ref.model_dump())
    first = current.trimmed + 1
    last = current.number - trimming.KEPT_REVISIONS
    numbers = range(first, last + 1)[: trimming.MAX_TRIMMED_AT_ONCE]
    trimmed = await trimming.trim_revisions(store, numbers, revision_key)
    earlier = [
        SnapshotRef(
            number=current.number, digest=current.digest, parts=current.parts
        ),
        *current.earlier,
    ]
    kept = earlier[: KEPT_SNAPSHOTS - 1]
    for old in earlier[KEPT_SNAPSHOTS - 1 :]:
        keys = [part_key(old, part) for part in range(old.parts)]
        if not await trimming.delete_keys(store, keys):
            kept.append(old)
    return SnapshotHint(
        **ref.model_dump(),
        earlier=tuple(kept),
        trimmed=current.trimmed + trimmed,
    )


def _already_exists(failure: Failure) -> bool:
    # The key contains the digest of the content, so an existing part is equal.
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
        return _corrupt_snapshot(hint, "its digest does not match")
    return await active_config.apply_snapshot_in_thread(value)


async def _skip_trimmed(
    store: ObjectStore, active_config: ActiveConfig
) -> Result[int, Failure]:
    before = active_config.number
    loaded = await _load_snapshot(store, active_config)
    if isinstance(loaded, Success) and active_config.number == before:
        detail = (
            f"revision {before + 1} is trimmed and no newer snapshot exists"
        )
        return Failed(Failure(ErrorKind.INTERNAL, detail))
    return loaded


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
