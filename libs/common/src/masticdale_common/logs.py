"""Structured logs as JSON lines, written by eliot."""

import collections
import os
import sys
import time
from typing import IO, Any

import eliot

# Limit per message type. Further lines are dropped and counted, so that a burst
# of requests does not spend the processor time on logging.
_MAX_LINES_PER_S = 100
# Lines are dropped while more bytes than this wait for a slow reader.
_MAX_BUFFERED_BYTES = 1 << 20


class _RateWindow:
    """Lines of one message type within one second, and lines dropped."""

    def __init__(self) -> None:
        self.started_s = 0
        self.line_count = 0
        self.dropped = 0


_window_by_message_type: dict[str, _RateWindow] = collections.defaultdict(
    _RateWindow
)


class NonBlockingStream:
    """Writes lines to a file descriptor without blocking on its reader."""

    def __init__(self, descriptor: int) -> None:
        os.set_blocking(descriptor, False)
        self._descriptor = descriptor
        self._buffer = bytearray()
        self._dropped = 0

    def write(self, line: bytes) -> int:
        """Buffers a line until ``flush``, or drops it if the buffer is full."""
        if len(self._buffer) > _MAX_BUFFERED_BYTES:
            self._dropped += 1
            return len(line)
        if self._dropped:
            note = f'{{"message_type": "lines_lost", "count": {self._dropped}}}'
            self._buffer += note.encode() + b"\n"
            self._dropped = 0
        self._buffer += line
        return len(line)

    def flush(self) -> None:
        """Writes as much of the buffer as the reader accepts now."""
        try:
            written = os.write(self._descriptor, self._buffer)
        except BlockingIOError:
            return
        except OSError:
            # The reader is gone, and there is nowhere else to report it.
            self._buffer.clear()
            return
        del self._buffer[:written]


def configure(host: str, stream: IO[str] | None = None) -> None:
    """Sends every log line to a stream.

    Args:
        host: Name of this host, added to each line.
        stream: Destination; standard error by default.
    """
    eliot.add_global_fields(host=host)
    eliot.to_file(stream or sys.stderr)


def configure_non_blocking(host: str) -> None:
    """Sends every log line to standard output without blocking on a reader."""
    eliot.add_global_fields(host=host)
    stream: Any = NonBlockingStream(sys.stdout.fileno())
    eliot.to_file(stream)


def write(message_type: str, **fields: Any) -> None:
    """Writes one log line.

    Args:
        message_type: What happened, in ``snake_case``.
        **fields: JSON-serializable fields, without callers' keys and prompts.
    """
    eliot.log_message(message_type=message_type, **fields)


def write_bounded(message_type: str, **fields: Any) -> None:
    """Writes one log line unless its message type is over the rate limit.

    Used for events of single requests, whose bursts would flood the log. The
    next line written carries the number of dropped lines as ``left_out``.

    Args:
        message_type: What happened, in ``snake_case``.
        **fields: As for ``write``.
    """
    window = _window_by_message_type[message_type]
    now_s = int(time.monotonic())
    if window.started_s != now_s:
        window.started_s = now_s
        window.line_count = 0
    if window.line_count >= _MAX_LINES_PER_S:
        window.dropped += 1
        return
    window.line_count += 1
    if window.dropped:
        fields["left_out"] = window.dropped
        window.dropped = 0
    write(message_type, **fields)
