"""Opening a disk, and the identity of its contents. All calls block."""

import contextlib
import dataclasses
import os
import pathlib
import secrets
import struct

from masticdale_common import ErrorKind, Failure, MasticdaleError
from masticdale_history.codec import decode_head
from masticdale_history.records import TurnKey
from masticdale_history.segments import Position, SegmentLog, sync_folder
from masticdale_history.turn_index import IndexedTurn, TurnEntry, TurnIndex

_FILE_NAME = "disk"
# First word of the file; the number is the version of the format of all files.
_FORMAT = "masticdale-turns-1"
_ID_BYTES = 16


@dataclasses.dataclass(frozen=True, slots=True)
class DiskIdentity:
    """Identifies the contents of a disk.

    Attributes:
        disk_id: A random id.
        created_at_ms: Wall-clock milliseconds at which it was generated.
    """

    disk_id: str
    created_at_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class OpenedDisk:
    """A disk after its scan.

    Attributes:
        identity: Identifies its contents.
        was_created: Whether the identity was generated now.
        log: Its segments.
        index: Its records.
        torn_bytes: Bytes that were cut off because they were torn.
    """

    identity: DiskIdentity
    was_created: bool
    log: SegmentLog
    index: TurnIndex
    torn_bytes: int


def _read_identity(folder: pathlib.Path) -> DiskIdentity | None:
    """Returns the identity of a folder; None if it has none.

    Raises:
        OSError: The disk has failed.
        MasticdaleError: INTERNAL if the file is not in this format.
    """
    try:
        data = (folder / _FILE_NAME).read_bytes()
    except FileNotFoundError:
        return None
    with contextlib.suppress(ValueError):
        version, disk_id, created_at_ms = data.decode().split()
        if version == _FORMAT:
            return DiskIdentity(disk_id, int(created_at_ms))
    detail = f"{folder / _FILE_NAME} is not in the format {_FORMAT}"
    raise MasticdaleError(Failure(ErrorKind.INTERNAL, detail))


def _create_identity(folder: pathlib.Path, now_ms: int) -> DiskIdentity:
    """Generates the identity of a folder, replacing an earlier one.

    The file is renamed into place once it is synced, so it is never torn.

    Raises:
        OSError: The disk has failed.
    """
    identity = DiskIdentity(secrets.token_hex(_ID_BYTES), now_ms)
    text = f"{_FORMAT} {identity.disk_id} {identity.created_at_ms}\n"
    temporary = folder / f"{_FILE_NAME}.new"
    with temporary.open("w") as file:
        file.write(text)
        file.flush()
        os.fsync(file.fileno())
    temporary.replace(folder / _FILE_NAME)
    sync_folder(folder)
    return identity


def open_disk(folder: pathlib.Path, now_ms: int) -> OpenedDisk:
    """Scans the disk in a folder, which is created if needed.

    A disk on which records are missing that had been synced gets a new id, as
    an empty one does: it must not count as one that has all its records.

    Raises:
        OSError: The disk has failed.
        MasticdaleError: INTERNAL if it holds files in another format.
    """
    folder.mkdir(parents=True, exist_ok=True)
    sync_folder(folder.parent)
    identity = _read_identity(folder)
    log = SegmentLog(folder)
    turn_by_key: dict[TurnKey, IndexedTurn] = {}

    def add(position: Position, checksum: int, payload: memoryview) -> None:
        # The last one counts: a turn that has expired may be appended again
        # with other contents.
        turn = _index_payload(position, checksum, payload)
        turn_by_key[turn.entry.key] = turn

    try:
        scan = log.scan(add)
    except (OSError, MasticdaleError):
        log.close()
        raise
    index = TurnIndex()
    orphans = index.load(turn_by_key)
    # The previous turns of an expired turn may have been deleted before it.
    is_damaged = scan.is_damaged or any(
        turn.entry.expires_at_ms > now_ms for turn in orphans
    )
    index.drop_expired(now_ms)
    was_created = identity is None or is_damaged
    try:
        if identity is None or is_damaged:
            identity = _create_identity(folder, now_ms)
        # After the new identity is synced: a start that ends before would
        # otherwise leave a disk that has its earlier id and seems whole.
        log.cut_damaged_tails()
    except OSError:
        log.close()
        raise
    return OpenedDisk(identity, was_created, log, index, scan.torn_bytes)


def _index_payload(
    position: Position, checksum: int, payload: memoryview
) -> IndexedTurn:
    """Returns the record of a frame.

    Raises:
        MasticdaleError: INTERNAL if the payload is not in this format.
    """
    try:
        head = decode_head(payload)
    except (struct.error, UnicodeDecodeError) as error:
        detail = f"the frame at {position} is not a record: {error!r}"
        raise MasticdaleError(Failure(ErrorKind.INTERNAL, detail)) from error
    previous_key = None
    if head.previous_id:
        previous_key = TurnKey(head.workspace, head.previous_id)
    entry = TurnEntry(
        TurnKey(head.workspace, head.turn_id),
        previous_key,
        head.chain_key,
        position.size_bytes,
        head.expires_at_ms,
    )
    return IndexedTurn(entry, checksum, position, head.expires_at_ms)
