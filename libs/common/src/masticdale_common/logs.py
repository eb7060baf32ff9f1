"""Logs as JSON lines, written by eliot."""

import sys
from typing import IO, Any

import eliot


def configure(host: str, stream: IO[str] | None = None) -> None:
    """Sends every log line to a stream, marked with the host.

    Args:
        host: Name of this host; stands on each line.
        stream: Where to write; standard error by default.
    """
    eliot.add_global_fields(host=host)
    eliot.to_file(stream or sys.stderr)


def write(message_type: str, **fields: Any) -> None:
    """Writes one line.

    Args:
        message_type: What happened, as ``snake_case``.
        **fields: JSON-serializable fields. Never a caller's key or prompt.
    """
    eliot.log_message(message_type=message_type, **fields)
