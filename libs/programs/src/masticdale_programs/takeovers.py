"""Shard takeover: seals the copies, swaps the head and reads the records."""

import uuid
from collections.abc import Sequence

from returns.result import Failure as Failed
from returns.result import Result, Success

from masticdale_common import ErrorKind, Failure, logs
from masticdale_platform import MUST_NOT_EXIST, ObjectStore
from masticdale_programs import records as codec
from masticdale_programs.commit_queue import OnCommitted
from masticdale_programs.copies import CopyBatch, CopyEntry, CopyHolders
from masticdale_programs.heads import Head, head_key, segment_key
from masticdale_programs.journal import TAIL_LIMIT_BYTES, Journal
from masticdale_programs.records import Record

_NONCE_DIGITS = 12


async def open_journal(
    store: ObjectStore,
    shard: int,
    host: str,
    writer: str,
    on_committed: OnCommitted,
    copies: CopyHolders | None = None,
    forced: bool = False,
) -> Result[Journal, Failure]:
    """Takes a shard over and fences its earlier owners.

    Args:
        store: The platform's object store.
        shard: Number of the shard.
        host: Name of this host.
        writer: Incarnation of this process.
        on_committed: Called with every record in journal order, first with
            those already in the journal.
        copies: Access to the copy holders; None to run without copies.
        forced: Takes the shard over even if no copy holder returns its
            copies; commits acknowledged during an outage may be lost.

    Returns:
        The opened journal; CONFLICT if another host took the shard first;
        PEER_UNAVAILABLE if no copy holder returned its copies.
    """
    outcome = await store.read(head_key(shard))
    if isinstance(outcome, Failed):
        return outcome
    stored = outcome.unwrap()
    version = stored.version if stored else MUST_NOT_EXIST
    current = (
        Head.model_validate_json(stored.value) if stored else _empty_head()
    )
    # The copies are sealed before the head is replaced. Otherwise an owner
    # that is partitioned from the platform only could still acknowledge
    # commits after the copies were read.
    sealed = await _seal_copies(copies, shard, current)
    if isinstance(sealed, Failed):
        if not forced:
            return sealed
        logs.write("copies_given_up", shard=shard, lost=str(sealed.failure()))
    head = current.model_copy(
        update={
            "epoch": current.epoch + 1,
            "owner": host,
            # The nonce tells two openings by one process apart. Otherwise
            # each would mistake the other's head for its own write whose
            # response was lost.
            "writer": f"{writer}-{uuid.uuid4().hex[:_NONCE_DIGITS]}",
            "released": False,
            "copy_holders": (),
        }
    )
    extended = await _append_entries(store, shard, head, sealed.value_or(()))
    if isinstance(extended, Failed):
        return extended
    head = extended.unwrap()
    taken = await _write_head(store, shard, head, version)
    if isinstance(taken, Failed):
        return taken
    # The segments are read after the head is replaced. Until then an earlier
    # owner may commit and add segments, so the replacement would fail and the
    # reads would be wasted.
    loaded = await _load_segments(store, head)
    if isinstance(loaded, Failed):
        return loaded
    for record in (*loaded.unwrap(), *head.tail):
        on_committed(record)
    return Success(
        Journal(store, shard, head, taken.unwrap(), on_committed, copies)
    )


def _empty_head() -> Head:
    return Head(
        epoch=0,
        owner="",
        writer="",
        sequence=0,
        released=True,
        segments=(),
        tail=(),
    )


async def _seal_copies(
    copies: CopyHolders | None, shard: int, current: Head
) -> Result[tuple[CopyEntry, ...], Failure]:
    if current.released or not current.copy_holders:
        return Success(())
    for holder in current.copy_holders if copies is not None else ():
        assert copies is not None
        sealed = await copies.seal(holder, shard, current.epoch + 1)
        if isinstance(sealed, Success):
            entries = _entries_after(current, sealed.unwrap())
            if entries is not None:
                return Success(entries)
    holders = " and ".join(current.copy_holders)
    detail = (
        f"shard {shard}: {holders} returned no copies of epoch "
        f"{current.epoch}; commits that {current.owner} acknowledged after "
        f"{current.sequence} may be lost"
    )
    return Failed(Failure(ErrorKind.PEER_UNAVAILABLE, detail))


def _entries_after(
    current: Head, sealed: CopyBatch
) -> tuple[CopyEntry, ...] | None:
    """Returns the commits after the head's; None if the copies lack any."""
    if sealed.epoch != current.epoch:
        return None
    entries = tuple(e for e in sealed.entries if e.sequence > current.sequence)
    expected = range(current.sequence + 1, current.sequence + 1 + len(entries))
    if [entry.sequence for entry in entries] != list(expected):
        return None
    return entries


async def _append_entries(
    store: ObjectStore, shard: int, head: Head, entries: Sequence[CopyEntry]
) -> Result[Head, Failure]:
    """Adds commits to a head before it is stored; seals a full tail."""
    segments = list(head.segments)
    tail = list(head.tail)
    size = len(codec.encode(tail))
    sequence = head.sequence
    for entry in entries:
        added = len(codec.encode(entry.records))
        if tail and size + added > TAIL_LIMIT_BYTES:
            key = segment_key(shard, sequence, head.writer)
            outcome = await store.write(key, codec.encode(tail), MUST_NOT_EXIST)
            if isinstance(outcome, Failed):
                return outcome
            segments.append(key)
            tail = []
            size = 0
        tail.extend(entry.records)
        size += added
        sequence = entry.sequence
    return Success(
        head.model_copy(
            update={
                "sequence": sequence,
                "segments": tuple(segments),
                "tail": tuple(tail),
            }
        )
    )


async def _write_head(
    store: ObjectStore, shard: int, head: Head, version: int
) -> Result[int, Failure]:
    value = head.model_dump_json().encode()
    outcome = await store.write(head_key(shard), value, version)
    if isinstance(outcome, Success):
        return outcome
    if outcome.failure().kind is not ErrorKind.WRITE_UNKNOWN:
        return outcome
    read = await store.read(head_key(shard))
    if isinstance(read, Failed):
        return read
    stored = read.unwrap()
    if stored is None or Head.model_validate_json(stored.value) != head:
        return Failed(Failure(ErrorKind.CONFLICT, f"shard {shard}"))
    return Success(stored.version)


async def _load_segments(
    store: ObjectStore, head: Head
) -> Result[list[Record], Failure]:
    loaded: list[Record] = []
    for key in head.segments:
        outcome = await store.read(key)
        if isinstance(outcome, Failed):
            return outcome
        stored = outcome.unwrap()
        if stored is None:
            detail = f"segment {key} is missing"
            return Failed(Failure(ErrorKind.INTERNAL, detail))
        loaded.extend(codec.decode(stored.value))
    return Success(loaded)
