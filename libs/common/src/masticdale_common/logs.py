"""Logs as JSON lines, written by eliot; bounded, and never waited for."""

import collections
import os
import sys
import time
from typing import IO, Any

import eliot

# Lines of one kind each second; more are counted and left out. A host serves
# some tens of requests a second in steady use, so that all are logged, and a
# line costs about 15 us of processor time.
_LINES_PER_S = 100
# Bytes that wait for a reader that is slow; later lines are left out.
_MAX_WAITING_BYTES = 1 << 20


class _Allowance:
    """Lines of one kind that may still be written in the present second."""

    def __init__(self) -> None:
        self.second = 0
        self.written = 0
        self.left_out = 0


_allowance_by_kind: dict[str, _Allowance] = collections.defaultdict(_Allowance)


class NonBlockingStream:
    """Writes lines to a file descriptor without ever waiting for its reader."""

    def __init__(self, descriptor: int) -> None:
        os.set_blocking(descriptor, False)
        self._descriptor = descriptor
        self._waiting = bytearray()
        self._left_out = 0

    def write(self, line: bytes) -> int:
        """Keeps a line until ``flush``, or leaves it out."""
        if len(self._waiting) > _MAX_WAITING_BYTES:
            self._left_out += 1
            return len(line)
        if self._left_out:
            note = (
                f'{{"message_type": "lines_lost", "count": {self._left_out}}}'
            )
            self._waiting += note.encode() + b"\n"
            self._left_out = 0
        self._waiting += line
        return len(line)

    def flush(self) -> None:
        """Writes what the reader takes now."""
        try:
            written = os.write(self._descriptor, self._waiting)
        except BlockingIOError:
            return
        except OSError:
            # Nobody reads any more, and there is nowhere else to say it.
            self._waiting.clear()
            return
        del self._waiting[:written]


def configure(host: str, stream: IO[str] | None = None) -> None:
    """Sends every log line to a stream, marked with the host.

    Args:
        host: Name of this host; stands on each line.
        stream: Where to write; standard error by default.
    """
    eliot.add_global_fields(host=host)
    eliot.to_file(stream or sys.stderr)


def configure_non_blocking(host: str) -> None:
    """Sends every log line to standard output, never waiting for a reader."""
    eliot.add_global_fields(host=host)
    stream: Any = NonBlockingStream(sys.stdout.fileno())
    eliot.to_file(stream)


def write(message_type: str, **fields: Any) -> None:
    """Writes one line.

    Args:
        message_type: What happened, as ``snake_case``.
        **fields: JSON-serializable fields. Never a caller's key or prompt.
    """
    eliot.log_message(message_type=message_type, **fields)


def write_bounded(message_type: str, **fields: Any) -> None:
    """Writes one line unless its kind has had enough in this second.

    For what happens with each request: a burst must not turn into a burst of
    log lines. The next line that is written tells how many were left out.

    Args:
        message_type: What happened, as ``snake_case``.
        **fields: As for ``write``.
    """
    allowance = _allowance_by_kind[message_type]
    second = int(time.monotonic())
    if allowance.second != second:
        allowance.second = second
        allowance.written = 0
    if allowance.written >= _LINES_PER_S:
        allowance.left_out += 1
        return
    allowance.written += 1
    if allowance.left_out:
        fields["left_out"] = allowance.left_out
        allowance.left_out = 0
    write(message_type, **fields)
