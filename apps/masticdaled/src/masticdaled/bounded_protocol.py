"""uvicorn's protocol, with bounds on what callers make the process hold.

uvicorn limits neither the head of a request nor its trailers, nor what all
connections hold together.
"""

import asyncio
import collections
from typing import Any

import orjson
from uvicorn.protocols.http.httptools_impl import (
    STATUS_LINE,
    HttpToolsProtocol,
)

from masticdale_common import (
    Account,
    ConnectionBudget,
    ErrorKind,
    Failure,
    logs,
)
from masticdaled.answers import error_body, retry_after_s

# Limit on a request line with its header fields, and on what follows a part of
# the body without being body, such as trailers.
_MAX_HEADER_BYTES = 65_536
# What is read at once. Parsing it holds up all other connections.
_read_buffer = memoryview(bytearray(16_384))
# Estimates of the memory of a connection, a request, and a header field.
_CONNECTION_BYTES = 12_000
_REQUEST_BYTES = 20_000
_FIELD_BYTES = 160
# A body is held as received and as decoded.
_COPIES = 3


class BoundedHttpProtocol(HttpToolsProtocol, asyncio.BufferedProtocol):
    """A connection that shares a budget with all other ones."""

    def __init__(
        self, *args: Any, budget: ConnectionBudget, **kwargs: Any
    ) -> None:
        """Initializes the protocol of a connection that is about to open.

        Args:
            *args: Passed on to uvicorn.
            budget: What the connection shares with other ones.
            **kwargs: Passed on to uvicorn.
        """
        super().__init__(*args, **kwargs)
        self._budget = budget
        self._account: Account | None = None
        self._is_refusing = False
        # Estimates of the memory of the request that is read, of each one that
        # waits for its turn, and of the one that is being served.
        self._message_bytes = 0
        self._queued_bytes: collections.deque[int] = collections.deque()
        self._served_bytes = 0
        # Bytes of the head, then those since the last part of the body.
        self._overhead_bytes = 0
        self._is_head_complete = False
        self._is_in_message = False

    def get_buffer(self, sizehint: int) -> memoryview:
        """See ``asyncio.BufferedProtocol``."""
        del sizehint
        return _read_buffer

    def buffer_updated(self, nbytes: int) -> None:
        """See ``asyncio.BufferedProtocol``."""
        self.data_received(bytes(_read_buffer[:nbytes]))

    def connection_made(self, transport: Any) -> None:
        """See ``asyncio.BaseProtocol``."""
        super().connection_made(transport)
        transport.set_write_buffer_limits(high=0)
        self._account = self._budget.open(self)
        if self._account is None:
            transport.abort()
            return
        self._report_held()

    def connection_lost(self, exc: Exception | None) -> None:
        """See ``asyncio.BaseProtocol``."""
        self._close_account()
        self.pipeline.clear()
        super().connection_lost(exc)

    def data_received(self, data: bytes) -> None:
        """See ``asyncio.Protocol``."""
        if self._is_refusing or self.transport.is_closing():
            return
        self._overhead_bytes += len(data)
        super().data_received(data)
        if self._overhead_bytes > _MAX_HEADER_BYTES:
            self._refuse(Failure(ErrorKind.HEADERS_TOO_LARGE))
        self._report_held()

    def pause_writing(self) -> None:
        """See ``asyncio.BaseProtocol``."""
        super().pause_writing()
        self._report_held()

    def resume_writing(self) -> None:
        """See ``asyncio.BaseProtocol``."""
        super().resume_writing()
        self._report_held()

    def on_message_begin(self) -> None:
        """Called by the parser."""
        super().on_message_begin()
        self._is_in_message = True
        self._is_head_complete = False
        self._message_bytes = _REQUEST_BYTES

    def on_url(self, url: bytes) -> None:
        """Called by the parser."""
        super().on_url(url)
        self._message_bytes += len(url)

    def on_header(self, name: bytes, value: bytes) -> None:
        """Called by the parser, also for the trailers of a chunked body."""
        # A trailer must not change what the headers said.
        if self._is_head_complete:
            return
        super().on_header(name, value)
        self._message_bytes += _FIELD_BYTES + len(name) + len(value)

    def on_headers_complete(self) -> None:
        """Called by the parser."""
        self._is_head_complete = True
        self._overhead_bytes = 0
        super().on_headers_complete()

    def on_body(self, body: bytes) -> None:
        """Called by the parser."""
        self._overhead_bytes = 0
        self._message_bytes += _COPIES * len(body)
        super().on_body(body)

    def on_message_complete(self) -> None:
        """Called by the parser."""
        self._is_in_message = False
        size, self._message_bytes = self._message_bytes, 0
        if self._account is None:
            return
        if self._account.is_serving:
            self._queued_bytes.append(size)
        else:
            self._served_bytes = size
            self._report_held()
            if self._account is None or not self._account.begin_serving():
                self._refuse(Failure(ErrorKind.HOST_BUSY))
                return
        super().on_message_complete()

    def on_response_complete(self) -> None:
        """Called when a response is written."""
        self._served_bytes = 0
        if self._account is not None:
            self._account.end_serving()
            self._account.touch()
            if self._queued_bytes:
                self._served_bytes = self._queued_bytes.popleft()
                self._account.begin_serving()
        self._report_held()
        super().on_response_complete()

    def give_up_unserved(self) -> None:
        """See ``masticdale_common.connection_budget.Holder``."""
        self._give_up("memory")

    def close_unserved(self) -> None:
        """See ``masticdale_common.connection_budget.Holder``."""
        self._give_up("descriptors")

    def _give_up(self, resource: str) -> None:
        account = self._account
        logs.write_bounded(
            "caller_given_up",
            resource=resource,
            held_bytes=account.held_bytes if account else 0,
            held_bytes_of_all=self._budget.held_bytes,
            connections=self._budget.connections,
            serving=self._budget.serving,
        )
        if self.flow.write_paused:
            self._close_account()
            self.transport.abort()
        elif account is not None and account.is_serving:
            # The response is still due; what was read after its request is not
            # served.
            self._is_refusing = True
            self._discard_unserved()
            self.cycle.keep_alive = False
        elif self._is_in_message:
            self._refuse(Failure(ErrorKind.HOST_BUSY))
        else:
            self._close_account()
            self.transport.close()

    def _refuse(self, failure: Failure) -> None:
        """Refuses the request that is read, and closes the connection."""
        self._is_refusing = True
        self._discard_unserved()
        self._close_account()
        if self.transport.is_closing():
            return
        logs.write_bounded("request_refused", outcome=failure.kind.value)
        if not (self.cycle and self.cycle.response_started):
            self.transport.write(_encode_failure(failure))
        self.transport.close()

    def _discard_unserved(self) -> None:
        self.pipeline.clear()
        self._queued_bytes.clear()
        self._message_bytes = self._overhead_bytes = 0

    def _close_account(self) -> None:
        if self._account is not None:
            self._account.close()
            self._account = None

    def _report_held(self) -> None:
        account = self._account
        if account is None:
            return
        account.is_blocked = self.flow.write_paused
        held_bytes = (
            _CONNECTION_BYTES
            + self._served_bytes
            + self._message_bytes
            + self._overhead_bytes
            + sum(self._queued_bytes)
            + self.transport.get_write_buffer_size()
        )
        unserved_bytes = held_bytes - self._served_bytes
        if account.is_serving:
            unserved_bytes -= _CONNECTION_BYTES
        account.update(held_bytes, unserved_bytes)


def _encode_failure(failure: Failure) -> bytes:
    body = orjson.dumps(error_body(failure))
    lines = [STATUS_LINE[failure.response.status]]
    lines.append(b"content-type: application/json\r\n")
    lines.append(b"content-length: %d\r\n" % len(body))
    seconds = retry_after_s(failure)
    if seconds is not None:
        lines.append(b"retry-after: %d\r\n" % seconds)
    lines.append(b"connection: close\r\n\r\n")
    return b"".join(lines) + body
