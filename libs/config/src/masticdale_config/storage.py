"""Where revisions and snapshots lie in the platform's service.

    config/revisions/{n}               one revision, never written again
    config/snapshots/{n}/{digest}/{p}  the state after revision n, in parts
    config/head                        a hint at the newest whole snapshot

Creating ``config/revisions/{n+1}`` is the commit point of a change of any
number of declarations: the platform lets exactly one writer create it, so
there is one sequence and nothing is ever half applied. All else is a hint
that may lag or be lost.
"""

import asyncio

import pydantic
from returns.result import Failure as Failed
from returns.result import Result, Success

from masticdale_common import ErrorKind, Failure, StrictModel
from masticdale_config import canonical
from masticdale_config import state as states
from masticdale_config.inforce import ConfigInForce
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


class SnapshotHint(StrictModel):
    """What ``config/head`` holds.

    Attributes:
        number: Revision the snapshot was taken after.
        digest: Digest of the snapshot's bytes.
        parts: Number of its parts.
    """

    number: int
    digest: str
    parts: int


def revision_key(number: int) -> str:
    """Returns the key of a revision."""
    return f"{REVISION_PREFIX}{number:0{_DIGITS}d}"


def block_prefix(number: int) -> str:
    """Returns the prefix of the block of revisions a number lies in."""
    return revision_key(number)[:-BLOCK_DIGITS]


def part_key(hint: SnapshotHint, part: int) -> str:
    """Returns the key of a snapshot's part."""
    folder = f"{SNAPSHOT_PREFIX}{hint.number:0{_DIGITS}d}/{hint.digest}"
    return f"{folder}/{part:04d}"


async def catch_up(
    store: ObjectStore, in_force: ConfigInForce
) -> Result[int, Failure]:
    """Brings every revision that the platform holds into force.

    Args:
        store: The platform's service.
        in_force: Where they come into force.

    Returns:
        The number then in force. A read that fails ends it; what was read
        before that is in force.
    """
    if in_force.number == 0:
        begun = await _start_from_snapshot(store, in_force)
        if isinstance(begun, Failed):
            return begun
    while True:
        tail = await _read_tail(store, in_force.number)
        if isinstance(tail, Failed):
            return tail
        revisions = tail.unwrap()
        applied = in_force.apply_revisions(revisions)
        if isinstance(applied, Failed) or len(revisions) < _TAIL_BATCH:
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
    value = states.encode_snapshot(state)
    parts = [
        value[start : start + PART_BYTES]
        for start in range(0, len(value), PART_BYTES)
    ]
    digest = states.bytes_digest(value)
    hint = SnapshotHint(number=state.number, digest=digest, parts=len(parts))
    for part, chunk in enumerate(parts):
        written = await store.write(part_key(hint, part), chunk, MUST_NOT_EXIST)
        if isinstance(written, Failed) and not _stands(written.failure()):
            return written
    found = await read_hint(store)
    if isinstance(found, Failed):
        return found
    present, version = found.unwrap()
    if present is not None and present.number >= hint.number:
        return Success(None)
    encoded = canonical.to_bytes(hint.model_dump())
    return (await store.write(HEAD_KEY, encoded, version)).map(lambda _: None)


def _stands(failure: Failure) -> bool:
    # The key holds the content's digest: whoever created it wrote the same.
    return failure.kind is ErrorKind.CONFLICT


async def _start_from_snapshot(
    store: ObjectStore, in_force: ConfigInForce
) -> Result[int, Failure]:
    found = await read_hint(store)
    if isinstance(found, Failed):
        return found
    hint, _ = found.unwrap()
    if hint is None:
        return Success(in_force.number)
    reads = [store.read(part_key(hint, part)) for part in range(hint.parts)]
    chunks = []
    for outcome in await asyncio.gather(*reads):
        if isinstance(outcome, Failed):
            return outcome
        stored = outcome.unwrap()
        if stored is None:
            return _broken(hint, "a part is missing")
        chunks.append(stored.value)
    value = b"".join(chunks)
    if states.bytes_digest(value) != hint.digest:
        return _broken(hint, "its digest does not come out")
    return in_force.apply_snapshot(value)


async def _read_tail(
    store: ObjectStore, after: int
) -> Result[tuple[bytes, ...], Failure]:
    revisions: list[bytes] = []
    while len(revisions) < _TAIL_BATCH:
        number = after + 1 + len(revisions)
        outcome = await store.read(revision_key(number))
        if isinstance(outcome, Failed):
            return outcome
        stored = outcome.unwrap()
        if stored is None:
            break
        revisions.append(stored.value)
    return Success(tuple(revisions))


def _broken(hint: SnapshotHint, message: str) -> Failed[Failure]:
    detail = f"snapshot {hint.number}: {message}"
    return Failed(Failure(ErrorKind.INTERNAL, detail))
