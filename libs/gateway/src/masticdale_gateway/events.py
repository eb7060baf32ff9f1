"""Splits a byte stream into server-sent events."""

import dataclasses
import re

_EVENT_END = re.compile(rb"\r?\n\r?\n")
# Longest part of an event's end that may be followed by its rest.
_MAX_PARTIAL_END_BYTES = 3
_DATA_FIELD = b"data:"
_ID_LINE = re.compile(rb"^id:[ ]?([^\r\n]*)", re.MULTILINE)

# Bounds the memory of a stream without event boundaries.
_MAX_EVENT_BYTES = 1 << 20


class OversizedEventError(Exception):
    """An event exceeds the maximum size."""


@dataclasses.dataclass(frozen=True, slots=True)
class Event:
    """One complete event.

    Attributes:
        data: Its bytes as received, including the blank line that ends it.
        id: Its id; empty if it has none.
    """

    data: bytes
    id: str

    @property
    def content(self) -> bytes | None:
        """Its ``data:`` lines, joined by line feeds; None without any.

        One space after the colon is not part of a line.
        """
        values = [
            line.removeprefix(_DATA_FIELD).removeprefix(b" ")
            for line in self.data.splitlines()
            if line.startswith(_DATA_FIELD)
        ]
        return b"\n".join(values) if values else None


class EventSplitter:
    """Buffers bytes until an event is complete.

    Only complete events are forwarded: a replica may stop in the middle of
    one, and bytes already sent to the caller can't be taken back.
    """

    def __init__(self) -> None:
        self._buffer = b""
        # Where the next search for the end of an event begins.
        self._search_from = 0

    @property
    def has_partial_event(self) -> bool:
        """Whether the buffer holds an incomplete event."""
        return bool(self._buffer)

    def feed(self, data: bytes) -> list[Event]:
        """Adds bytes and returns the events that they complete.

        Raises:
            OversizedEventError: An incomplete event exceeds the maximum size.
        """
        self._buffer += data
        events = []
        start = 0
        for match in _EVENT_END.finditer(self._buffer, self._search_from):
            events.append(_parse_event(self._buffer[start : match.end()]))
            start = match.end()
        self._buffer = self._buffer[start:]
        self._search_from = max(0, len(self._buffer) - _MAX_PARTIAL_END_BYTES)
        if len(self._buffer) > _MAX_EVENT_BYTES:
            raise OversizedEventError
        return events


def _parse_event(data: bytes) -> Event:
    match = _ID_LINE.search(data)
    return Event(data, match.group(1).decode("latin-1") if match else "")
