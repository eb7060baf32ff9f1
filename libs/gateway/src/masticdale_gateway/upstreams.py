"""Client connections: one exchange at a time, responses matched by id."""

import asyncio
import collections
import re
from collections.abc import Callable

import httptools

from masticdale_gateway.messages import Headers, ResponseHead
from masticdale_gateway.transports import ConnectionLostError, TransportProtocol

# Bytes of a body buffered for a slow reader before reading pauses. One more
# read may follow.
_MAX_BUFFERED_BYTES = 65_536
# Maximum size of a head, with the interim responses before it. Also by how much
# chunk framing and trailers may exceed the body.
_MAX_HEAD_BYTES = 65_536
# What each field counts in addition to its bytes, as in RFC 9113, 6.5.2: small
# fields take many times their size in memory.
_FIELD_OVERHEAD_BYTES = 32
# Limits on the late responses to earlier requests that are skipped.
_MAX_SKIPPED_BYTES = 2 << 20
_MAX_SKIPPED_RESPONSES = 16
# The status ends there, so that an address in a Via field does not match.
_STATUS_LINE = re.compile(rb"HTTP/[0-9]\.[0-9] [0-9]{3}(?![^ \r\n])")
# One byte less than the shortest status line.
_STATUS_LINE_TAIL_BYTES = len(b"HTTP/1.1 200") - 1

# A status line with its first field. In a body, text that quotes a response may
# hold a status line alone.
_RESPONSE_START = re.compile(
    rb"HTTP/[0-9]\.[0-9] [0-9]{3}(?: [^\r\n]{0,64})?\r\n"
    rb"[!#-'*+.0-9A-Z^-z|~-]{1,64}:"
)
# No less than the longest match.
_RESPONSE_START_TAIL_BYTES = 160
_MIN_STATUS = 100
_MAX_STATUS = 599

ResponseMatcher = Callable[[ResponseHead], bool]


class MalformedResponseError(Exception):
    """The bytes received are not a valid response."""


class OversizedResponseError(MalformedResponseError):
    """The response, or a part of it, exceeds its maximum size."""


class UpstreamConnection(TransportProtocol):
    """A connection to one server: a replica, or the server of an HttpClient.

    A response is read as a sequence: its head, the chunks of its body, its
    end. Bytes that arrive while no response is awaited belong to no request;
    the connection is then not reused.

    A server may stop inside a response and go on with the next one, whose
    status line then stands in what is left of the first. A response that holds
    a status line in its reason phrase, a field or a trailer is therefore
    refused as malformed, although such text is legal there, and so is a
    response to another request that holds one in its body. The body of the
    awaited response may quote a status line, but no status line with a field,
    unless the server echoes no request id: what it stores is not its own.

    Attributes:
        idle_since: End of the last exchange, in loop seconds.
        keep_alive_s: The server's keep-alive timeout; None if unspecified.
        skipped_responses: Responses to other requests that were discarded
            while the current one was awaited.
    """

    def __init__(self) -> None:
        super().__init__()
        self.idle_since = 0.0
        self.keep_alive_s: float | None = None
        self._must_close = False
        self._is_awaiting = False
        self._is_discarding = False
        self._is_close_delimited = False
        self._matches: ResponseMatcher = matches_any
        self._error: Exception | None = None
        # Consecutive parts of a body are joined: parts of one byte would take
        # some hundred times their size.
        self._items: collections.deque[ResponseHead | bytearray | None] = (
            collections.deque()
        )
        self._buffered_bytes = 0
        # Bytes of the awaited response that are neither head nor body, less
        # the size of its body; before the head, all bytes received.
        self._overhead_bytes = 0
        self._read_bytes = 0
        self.skipped_responses = 0
        # The end of the body so far, where a second response may begin.
        self._body_tail = b""
        self._reason_phrase = bytearray()
        self._arrived = asyncio.Event()
        self._parser = httptools.HttpResponseParser(self)
        self._headers = Headers()
        self._field_bytes = 0
        self._is_in_body = False

    @property
    def is_reusable(self) -> bool:
        """Whether the connection may carry another request."""
        return not (
            self._must_close
            or self._is_awaiting
            or self._items
            or self.lost.is_set()
            or self.transport.is_closing()
            or self.has_pending_writes
        )

    def connection_lost(self, exc: Exception | None) -> None:
        """See ``asyncio.BaseProtocol``."""
        super().connection_lost(exc)
        self._arrived.set()

    def eof_received(self) -> bool:
        """See ``asyncio.Protocol``; completes a close-delimited body."""
        if (
            self._is_close_delimited
            and self._is_awaiting
            and not self._is_discarding
            and self._error is None
            and not self._is_cut_short()
        ):
            self._end_message()
        self._must_close = True
        return False

    def _is_cut_short(self) -> bool:
        """Whether the server ends a success before it has read the request.

        It then resets the connection as it closes it, so that the body may be
        a part of what was meant.
        """
        is_success = self._parser.get_status_code() < 300
        return is_success and self.has_pending_writes

    def data_received(self, data: bytes) -> None:
        """See ``TransportProtocol.data_received``."""
        if not self._is_awaiting:
            self._must_close = True
            self.abort()
            return
        self._read_bytes = len(data)
        self._overhead_bytes += len(data)
        try:
            self._parser.feed_data(data)
            self._check_overhead()
        except OversizedResponseError as error:
            self._fail(error)
        except httptools.HttpParserCallbackError as error:
            self._fail(_cause(error))
        except (
            httptools.HttpParserError,
            httptools.HttpParserUpgrade,
        ) as error:
            self._fail(MalformedResponseError(str(error)))

    def send(self, data: bytes, matches: ResponseMatcher) -> None:
        """Sends a complete request; its response is then awaited.

        Args:
            data: The request's bytes.
            matches: Returns whether a response belongs to this request. One
                that doesn't is a late duplicate for an earlier request: it is
                discarded, and the connection is not reused.

        Raises:
            ConnectionLostError: Nothing was sent.
        """
        self.write(data)
        self._matches = matches
        self._is_awaiting = True
        self.skipped_responses = 0
        self._overhead_bytes = 0

    async def read_head(self) -> ResponseHead:
        """Waits for the head of the next response.

        Raises:
            ConnectionLostError: The connection closed before it arrived.
            MalformedResponseError: The bytes are not a valid response.
        """
        while True:
            item = await self._next_item()
            if isinstance(item, ResponseHead):
                return item

    async def read_chunk(self) -> bytes | None:
        """Waits for the next chunk of the body; None after the last one.

        Raises:
            ConnectionLostError: The connection closed inside the body.
            MalformedResponseError: The bytes are not a valid response.
        """
        item = await self._next_item()
        if isinstance(item, ResponseHead):
            raise MalformedResponseError("response head inside a body")
        return None if item is None else bytes(item)

    async def read_body(self, max_bytes: int) -> bytes:
        """Waits for the whole rest of the body.

        Args:
            max_bytes: Maximum size of the body.

        Raises:
            ConnectionLostError: The connection closed inside the body.
            MalformedResponseError: The bytes are not a valid response.
            OversizedResponseError: The body exceeds its maximum size.
        """
        body = bytearray()
        while (chunk := await self.read_chunk()) is not None:
            check_body_size(len(body) + len(chunk), max_bytes)
            body += chunk
        return bytes(body)

    async def _next_item(self) -> ResponseHead | bytearray | None:
        while not self._items:
            if self._error is not None:
                raise self._error
            if self.lost.is_set():
                raise ConnectionLostError
            self._arrived.clear()
            await self._arrived.wait()
        item = self._items.popleft()
        if isinstance(item, bytearray):
            self._buffered_bytes -= len(item)
        if (
            self._buffered_bytes < _MAX_BUFFERED_BYTES
            and not self.transport.is_closing()
        ):
            self.transport.resume_reading()
        return item

    def on_message_begin(self) -> None:
        """Called by the parser."""
        if not self._is_awaiting:
            # What follows a response in the same read may be the beginning of
            # another one, to which the next response would be added.
            self._must_close = True
        self._headers = Headers()
        self._field_bytes = 0
        self._is_in_body = False
        self._reason_phrase.clear()
        self._body_tail = b""

    def on_status(self, reason_phrase: bytes) -> None:
        """Called by the parser, for each part that was read at once."""
        self._reason_phrase += reason_phrase

    def on_header(self, name: bytes, value: bytes) -> None:
        """Called by the parser, also for the trailers of a chunked body."""
        _reject_status_line(value)
        # A trailer must not change a head that may have been forwarded.
        if self._is_in_body:
            return
        self._field_bytes += len(name) + len(value) + _FIELD_OVERHEAD_BYTES
        if self._field_bytes > _MAX_HEAD_BYTES:
            raise OversizedResponseError(
                f"the head exceeds {_MAX_HEAD_BYTES} bytes"
            )
        self._headers.fields.append((name, value))

    def on_headers_complete(self) -> None:
        """Called by the parser."""
        _reject_status_line(self._reason_phrase)
        self._is_in_body = True
        headers = self._headers
        status = self._parser.get_status_code()
        if not _MIN_STATUS <= status <= _MAX_STATUS:
            # The parser takes any three digits; below 200 they would count as
            # an interim response, after which the final one is awaited.
            raise MalformedResponseError(f"invalid status {status:03}")
        if status < 200:
            return
        self._is_close_delimited = (
            headers.get(b"content-length") is None
            and headers.get(b"transfer-encoding") is None
            and status not in (204, 304)
        )
        keeps_alive = self._parser.should_keep_alive()
        self._must_close = self._must_close or not keeps_alive
        self.keep_alive_s = _keep_alive_s(headers)
        head = ResponseHead(status, headers, keeps_alive)
        self._is_discarding = not self._matches(head)
        if self._is_discarding:
            self._must_close = True
            self.skipped_responses += 1
            if self.skipped_responses > _MAX_SKIPPED_RESPONSES:
                raise OversizedResponseError(
                    f"more than {_MAX_SKIPPED_RESPONSES} responses to other"
                    " requests"
                )
            return
        # The rest of what was read together with the head.
        self._overhead_bytes = max(0, self._read_bytes - headers.size)
        self._put(head)

    def on_body(self, body: bytes) -> None:
        """Called by the parser."""
        if self._is_discarding:
            body = self._body_tail + body
            _reject_status_line(body)
            self._body_tail = body[-_STATUS_LINE_TAIL_BYTES:]
            return
        if self._matches is not matches_any:
            self._reject_second_response(body)
        last = self._items[-1] if self._items else None
        if self._is_awaiting and isinstance(last, bytearray):
            last += body
        else:
            self._put(bytearray(body))
        if not self._is_awaiting:
            return
        # Once for the body's own bytes, and once for as much framing.
        self._overhead_bytes = max(
            self._overhead_bytes - 2 * len(body), -_MAX_HEAD_BYTES
        )
        self._buffered_bytes += len(body)
        if self._buffered_bytes >= _MAX_BUFFERED_BYTES:
            self.transport.pause_reading()

    def _reject_second_response(self, body: bytes) -> None:
        window = self._body_tail + body
        if _RESPONSE_START.search(window):
            raise MalformedResponseError("a response begins inside another one")
        self._body_tail = window[-_RESPONSE_START_TAIL_BYTES:]

    def on_message_complete(self) -> None:
        """Called by the parser."""
        if self._parser.get_status_code() >= 200 and not self._is_discarding:
            self._end_message()

    def _end_message(self) -> None:
        self._put(None)
        self._is_awaiting = False
        self.idle_since = asyncio.get_running_loop().time()

    def _put(self, item: ResponseHead | bytearray | None) -> None:
        if not self._is_awaiting:
            return
        self._items.append(item)
        self._arrived.set()

    def _check_overhead(self) -> None:
        # Bounds heads, chunk extensions and trailers that never end: the parser
        # keeps what it has read of them, and reports nothing before their end.
        limit = _MAX_HEAD_BYTES
        if self.skipped_responses:
            limit += _MAX_SKIPPED_BYTES
        if self._is_awaiting and self._overhead_bytes > limit:
            raise OversizedResponseError(
                f"{self._overhead_bytes} bytes that are no part of a body"
            )

    def _fail(self, error: MalformedResponseError) -> None:
        self._must_close = True
        self._error = error
        self._arrived.set()
        self.abort()


def check_body_size(size: int, max_bytes: int) -> None:
    """Checks the size of a body, or the length that its head declares.

    Raises:
        OversizedResponseError: It exceeds the maximum size.
    """
    if size > max_bytes:
        raise OversizedResponseError(f"the body exceeds {max_bytes} bytes")


def matches_any(head: ResponseHead) -> bool:
    """Accepts any response, for servers that echo no request id."""
    del head
    return True


def _reject_status_line(data: bytes | bytearray) -> None:
    if _STATUS_LINE.search(data):
        raise MalformedResponseError("a response begins inside another one")


def _cause(error: httptools.HttpParserCallbackError) -> MalformedResponseError:
    cause = error.__cause__ or error.__context__
    if isinstance(cause, MalformedResponseError):
        return cause
    return MalformedResponseError(str(error))


def _keep_alive_s(headers: Headers) -> float | None:
    value = headers.get(b"keep-alive")
    if value is None:
        return None
    for part in value.lower().split(b","):
        name, _, number = part.strip().partition(b"=")
        if name == b"timeout" and number.strip().isdigit():
            return float(number)
    return None
