"""Client connections: one exchange at a time, responses matched by id."""

import asyncio
import collections
from collections.abc import Callable

import httptools

from masticdale_gateway.messages import Headers, ResponseHead
from masticdale_gateway.transports import ConnectionLostError, TransportProtocol

# Parts of a response buffered for a slow caller before reading pauses. Each is
# at most one socket read, 256 KiB in asyncio.
_MAX_BUFFERED_ITEMS = 8

ResponseMatcher = Callable[[ResponseHead], bool]


class MalformedResponseError(Exception):
    """The bytes received are not a valid response."""


class UpstreamConnection(TransportProtocol):
    """A connection to one server: a replica, or the server of an HttpClient.

    A response is read as a sequence: its head, the chunks of its body, its
    end. Bytes that arrive while no response is awaited belong to no request;
    the connection is then not reused.

    Attributes:
        idle_since: End of the last exchange, in loop seconds.
        keep_alive_s: The server's keep-alive timeout; None if unspecified.
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
        self._items: collections.deque[ResponseHead | bytes | None] = (
            collections.deque()
        )
        self._arrived = asyncio.Event()
        self._parser = httptools.HttpResponseParser(self)
        self._headers = Headers()

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
        """See ``asyncio.Protocol``."""
        super().connection_lost(exc)
        self._arrived.set()

    def eof_received(self) -> bool:
        """See ``asyncio.Protocol``; completes a close-delimited body."""
        if (
            self._is_close_delimited
            and self._is_awaiting
            and not self._is_discarding
        ):
            self._end_message()
        self._must_close = True
        return False

    def data_received(self, data: bytes) -> None:
        """See ``asyncio.Protocol``."""
        if not self._is_awaiting:
            self._must_close = True
            self.abort()
            return
        try:
            self._parser.feed_data(data)
        except (
            httptools.HttpParserError,
            httptools.HttpParserCallbackError,
            httptools.HttpParserUpgrade,
        ) as error:
            self._must_close = True
            self._error = MalformedResponseError(str(error))
            self._arrived.set()
            self.abort()

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
        return item

    async def _next_item(self) -> ResponseHead | bytes | None:
        while not self._items:
            if self._error is not None:
                raise self._error
            if self.lost.is_set():
                raise ConnectionLostError
            self._arrived.clear()
            await self._arrived.wait()
        item = self._items.popleft()
        if (
            len(self._items) < _MAX_BUFFERED_ITEMS
            and not self.transport.is_closing()
        ):
            self.transport.resume_reading()
        return item

    def on_message_begin(self) -> None:
        """Called by the parser."""
        self._headers = Headers()

    def on_header(self, name: bytes, value: bytes) -> None:
        """Called by the parser."""
        self._headers.fields.append((name, value))

    def on_headers_complete(self) -> None:
        """Called by the parser."""
        status = self._parser.get_status_code()
        if status < 200:
            return
        headers = self._headers
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
            return
        self._put(head)

    def on_body(self, body: bytes) -> None:
        """Called by the parser."""
        if self._is_discarding:
            return
        self._put(body)
        if len(self._items) >= _MAX_BUFFERED_ITEMS:
            self.transport.pause_reading()

    def on_message_complete(self) -> None:
        """Called by the parser."""
        if self._parser.get_status_code() >= 200 and not self._is_discarding:
            self._end_message()

    def _end_message(self) -> None:
        self._put(None)
        self._is_awaiting = False
        self.idle_since = asyncio.get_running_loop().time()

    def _put(self, item: ResponseHead | bytes | None) -> None:
        if not self._is_awaiting:
            # A second response arrived in the same read as the end of the
            # first.
            self._must_close = True
            return
        self._items.append(item)
        self._arrived.set()


def matches_any(head: ResponseHead) -> bool:
    """Accepts any response, for servers that echo no request id."""
    del head
    return True


def _keep_alive_s(headers: Headers) -> float | None:
    value = headers.get(b"keep-alive")
    if value is None:
        return None
    for part in value.lower().split(b","):
        name, _, number = part.strip().partition(b"=")
        if name == b"timeout" and number.strip().isdigit():
            return float(number)
    return None
