"""Cuts a byte stream into whole server-sent events."""

import dataclasses
import re

_EVENT_END = re.compile(rb"\r?\n\r?\n")
_ID_LINE = re.compile(rb"^id:[ ]?([^\r\n]*)", re.MULTILINE)

# A single event larger than this is no event, in bytes; events carry some
# tokens each.
_MAX_EVENT_BYTES = 1 << 20


class OversizedEventError(Exception):
    """The stream holds no event's end for too long."""


@dataclasses.dataclass(frozen=True, slots=True)
class Event:
    """One whole event.

    Attributes:
        data: Its bytes with the blank line that ends it.
        id: Its id; empty where it has none.
    """

    data: bytes
    id: str


class EventSplitter:
    """Collects bytes until an event is whole.

    Only whole events are handed on: a replica may stop in the middle of one,
    and its beginning could not be taken back from the caller.
    """

    def __init__(self) -> None:
        self._buffer = b""

    @property
    def has_partial_event(self) -> bool:
        """Whether an event has begun and not ended."""
        return bool(self._buffer)

    def feed(self, data: bytes) -> list[Event]:
        """Takes bytes and returns the events that they complete.

        Raises:
            OversizedEventError: An event does not end.
        """
        self._buffer += data
        events = []
        start = 0
        for match in _EVENT_END.finditer(self._buffer):
            events.append(_parse_event(self._buffer[start : match.end()]))
            start = match.end()
        self._buffer = self._buffer[start:]
        if len(self._buffer) > _MAX_EVENT_BYTES:
            raise OversizedEventError
        return events


def _parse_event(data: bytes) -> Event:
    match = _ID_LINE.search(data)
    return Event(data, match.group(1).decode("latin-1") if match else "")
