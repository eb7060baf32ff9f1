"""Append-only segment files of checksummed frames. All calls block."""

import contextlib
import dataclasses
import os
import pathlib
import struct
from collections.abc import Callable, Iterator, Sequence

from masticdale_history.codec import compute_checksum

# A segment of at least this size takes no further frames.
SEGMENT_BYTES = 8 * 1024 * 1024

_SUFFIX = ".turns"
# Length of the payload and its checksum.
_FRAME = struct.Struct("<IQ")
FRAME_HEADER_BYTES = _FRAME.size


class DamagedFrameError(OSError):
    """A synced frame can't be read back as it was written."""


@dataclasses.dataclass(frozen=True, slots=True)
class Position:
    """Where a frame is.

    Attributes:
        segment: Number of its segment.
        offset: Offset of its first byte.
        size_bytes: Its size, with length and checksum.
    """

    segment: int
    offset: int
    size_bytes: int


@dataclasses.dataclass(frozen=True, slots=True)
class Scan:
    """Result of reading all segments at the start.

    Attributes:
        torn_bytes: Bytes after the first invalid frame of each segment.
        is_damaged: Whether frames that had been synced are missing. Only the
            newest segment can have frames that were not.
    """

    torn_bytes: int
    is_damaged: bool


@dataclasses.dataclass(slots=True)
class _Segment:
    """An open segment file.

    Attributes:
        descriptor: File descriptor.
        size_bytes: Size of its synced frames.
    """

    descriptor: int
    size_bytes: int


OnFrame = Callable[[Position, int, memoryview], None]


def encode_frame(payload: bytes, checksum: int) -> bytes:
    """Returns the frame of a payload."""
    return _FRAME.pack(len(payload), checksum) + payload


def sync_folder(folder: pathlib.Path) -> None:
    """Makes the names of the files in a folder durable.

    Raises:
        OSError: The disk has failed.
    """
    descriptor = os.open(folder, os.O_RDONLY | os.O_DIRECTORY)
    try:
        os.fsync(descriptor)
    finally:
        os.close(descriptor)


class SegmentLog:
    """The segments of a folder. Not thread-safe, except for the properties."""

    def __init__(self, folder: pathlib.Path) -> None:
        """Initializes the log; call ``scan`` once before anything else."""
        self._folder = folder
        self._segment_by_number: dict[int, _Segment] = {}
        self._damaged_segments: list[_Segment] = []
        self._current_number: int | None = None
        self._next_number = 1
        self._has_failed = False
        self._total_bytes = 0
        self._syncs = 0

    @property
    def total_bytes(self) -> int:
        """Size of all segments."""
        return self._total_bytes

    @property
    def segment_count(self) -> int:
        """Number of segments."""
        return len(self._segment_by_number)

    @property
    def syncs(self) -> int:
        """Number of syncs of frames since the start."""
        return self._syncs

    def scan(self, on_frame: OnFrame) -> Scan:
        """Reads all segments, oldest first, and makes them durable.

        A process that was killed may have left frames that are whole in the
        page cache but not on the disk, so every segment is synced here. The
        torn tail of the newest segment is cut off. Those of others, which are
        damage, stay until ``cut_damaged_tails`` is called.

        Args:
            on_frame: Called with position, checksum and payload of each valid
                frame. The payload is valid during the call only.

        Raises:
            OSError: The disk has failed.
        """
        numbers = sorted(
            int(path.stem)
            for path in self._folder.glob(f"*{_SUFFIX}")
            if path.stem.isdecimal()
        )
        torn_bytes = 0
        for number in numbers:
            descriptor = os.open(self._path(number), os.O_RDWR)
            segment = _Segment(descriptor, 0)
            self._segment_by_number[number] = segment
            data = _read_all(descriptor)
            for position, checksum, payload in _frames(number, data):
                on_frame(position, checksum, payload)
                segment.size_bytes += position.size_bytes
            torn = len(data) - segment.size_bytes
            torn_bytes += torn
            if torn and number == numbers[-1]:
                os.ftruncate(descriptor, segment.size_bytes)
            elif torn:
                self._damaged_segments.append(segment)
            os.fsync(descriptor)
            self._total_bytes += segment.size_bytes
        sync_folder(self._folder)
        self._next_number = numbers[-1] + 1 if numbers else 1
        return Scan(torn_bytes, bool(self._damaged_segments))

    def cut_damaged_tails(self) -> None:
        """Cuts off the torn tails that show that synced frames are missing.

        The damage must be recorded durably before: the next scan does not find
        it any more.

        Raises:
            OSError: The disk has failed.
        """
        for segment in self._damaged_segments:
            os.ftruncate(segment.descriptor, segment.size_bytes)
            os.fsync(segment.descriptor)
        self._damaged_segments.clear()

    def append(self, frames: Sequence[bytes]) -> list[Position]:
        """Writes frames to the current segment and syncs them with one sync.

        Raises:
            OSError: The write or the sync has failed, now or earlier. None of
                the frames is kept.
        """
        if self._has_failed:
            raise OSError("an earlier write to the disk has failed")
        try:
            return self._append(frames)
        except OSError:
            self._has_failed = True
            raise

    def read(self, positions: Sequence[Position]) -> list[bytes]:
        """Returns the payloads of frames.

        Raises:
            OSError: The disk has failed.
            DamagedFrameError: The frame is not as it was written.
        """
        return [frame[_FRAME.size :] for frame in self.read_frames(positions)]

    def read_frames(self, positions: Sequence[Position]) -> list[bytes]:
        """Returns whole frames; raises as ``read`` does."""
        frames = []
        for position in positions:
            segment = self._segment_by_number[position.segment]
            frame = os.pread(
                segment.descriptor, position.size_bytes, position.offset
            )
            if not _is_whole(frame, position.size_bytes):
                raise DamagedFrameError(f"damaged frame at {position}")
            frames.append(frame)
        return frames

    def closed_sizes(self) -> dict[int, int]:
        """Returns the size by number of each segment but the current one."""
        return {
            number: segment.size_bytes
            for number, segment in self._segment_by_number.items()
            if number != self._current_number
        }

    def delete(self, number: int) -> None:
        """Deletes a segment other than the current one.

        The folder is not synced: a segment that reappears after power loss
        holds only expired records and copies of records in later segments.

        Raises:
            OSError: The disk has failed.
        """
        os.unlink(self._path(number))
        segment = self._segment_by_number.pop(number)
        os.close(segment.descriptor)
        self._total_bytes -= segment.size_bytes

    def close(self) -> None:
        """Closes all files."""
        for segment in self._segment_by_number.values():
            os.close(segment.descriptor)
        self._segment_by_number.clear()

    def _append(self, frames: Sequence[bytes]) -> list[Position]:
        number, segment = self._open_current()
        start = segment.size_bytes
        try:
            _write_all(segment.descriptor, b"".join(frames), start)
            os.fdatasync(segment.descriptor)
        except OSError:
            # After a failed sync the kernel may regard the pages as clean, so
            # the next start would take them for durable.
            with contextlib.suppress(OSError):
                os.ftruncate(segment.descriptor, start)
            raise
        self._syncs += 1
        positions = []
        for frame in frames:
            positions.append(Position(number, segment.size_bytes, len(frame)))
            segment.size_bytes += len(frame)
        self._total_bytes += segment.size_bytes - start
        return positions

    def _open_current(self) -> tuple[int, _Segment]:
        number = self._current_number
        if number is not None:
            segment = self._segment_by_number[number]
            if segment.size_bytes < SEGMENT_BYTES:
                return number, segment
        number = self._next_number
        descriptor = os.open(
            self._path(number), os.O_RDWR | os.O_CREAT | os.O_EXCL, 0o600
        )
        segment = _Segment(descriptor, 0)
        self._segment_by_number[number] = segment
        self._current_number = number
        self._next_number += 1
        os.fsync(descriptor)
        sync_folder(self._folder)
        return number, segment

    def _path(self, number: int) -> pathlib.Path:
        return self._folder / f"{number:010d}{_SUFFIX}"


def _read_all(descriptor: int) -> bytes:
    size = os.fstat(descriptor).st_size
    parts = []
    offset = 0
    while offset < size:
        part = os.pread(descriptor, size - offset, offset)
        if not part:
            break
        parts.append(part)
        offset += len(part)
    return parts[0] if len(parts) == 1 else b"".join(parts)


def _write_all(descriptor: int, data: bytes, offset: int) -> None:
    view = memoryview(data)
    while view:
        written = os.pwrite(descriptor, view, offset)
        view = view[written:]
        offset += written


def _frames(
    number: int, data: bytes
) -> Iterator[tuple[Position, int, memoryview]]:
    """Yields the frames before the first invalid one."""
    view = memoryview(data)
    offset = 0
    last_offset = len(data) - _FRAME.size
    while offset <= last_offset:
        length, checksum = _FRAME.unpack_from(data, offset)
        start = offset + _FRAME.size
        payload = view[start : start + length]
        is_whole = 0 < length == len(payload)
        if not is_whole or compute_checksum(payload) != checksum:
            return
        yield Position(number, offset, _FRAME.size + length), checksum, payload
        offset = start + length


def _is_whole(frame: bytes, size_bytes: int) -> bool:
    if len(frame) != size_bytes:
        return False
    length, checksum = _FRAME.unpack_from(frame)
    payload = memoryview(frame)[_FRAME.size :]
    is_length_right: bool = length == len(payload)
    return is_length_right and compute_checksum(payload) == checksum
