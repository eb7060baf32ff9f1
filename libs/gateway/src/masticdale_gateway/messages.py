"""HTTP messages and their encoding."""

import dataclasses
import http
from collections.abc import Iterable

Header = tuple[bytes, bytes]

# Headers that concern a single connection (RFC 9110, section 7.6.1), and the
# framing headers, which each hop writes anew.
HOP_BY_HOP = frozenset(
    {
        b"connection",
        b"keep-alive",
        b"proxy-connection",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"content-length",
        b"expect",
    }
)

LAST_CHUNK = b"0\r\n\r\n"


@dataclasses.dataclass(slots=True)
class Headers:
    """Header fields in order of arrival.

    Attributes:
        fields: Names and values as received.
    """

    fields: list[Header] = dataclasses.field(default_factory=list)

    @property
    def size(self) -> int:
        """Least size of the fields on the wire, in bytes.

        White space around a value is optional.
        """
        return sum(len(name) + len(value) + 3 for name, value in self.fields)

    def get(self, name: bytes) -> bytes | None:
        """Returns the first value of the field with this lowercase name."""
        for key, value in self.fields:
            if key.lower() == name:
                return value
        return None

    def all(self, name: bytes) -> list[bytes]:
        """Returns every value of the fields with this lowercase name."""
        return [value for key, value in self.fields if key.lower() == name]

    def count(self, name: bytes) -> int:
        """Returns how many fields have this lowercase name."""
        return sum(key.lower() == name for key, _ in self.fields)

    def end_to_end(self) -> list[Header]:
        """Returns the fields without the hop-by-hop ones."""
        named = self.get(b"connection") or b""
        dropped = HOP_BY_HOP | {n.strip().lower() for n in named.split(b",")}
        return [f for f in self.fields if f[0].lower() not in dropped]


@dataclasses.dataclass(slots=True)
class Request:
    """A complete request of a caller.

    Attributes:
        method: Method as sent.
        target: Path and query as sent.
        headers: Header fields as sent.
        body: Body without transfer coding.
        received_at: Time of its first byte, in loop seconds.
        keeps_alive: Whether the connection may carry another request.
        held_bytes: Memory that it takes until it is answered.
    """

    method: bytes
    target: bytes
    headers: Headers
    body: bytes
    received_at: float
    keeps_alive: bool
    held_bytes: int = 0

    @property
    def path(self) -> str:
        """The path of the target, without the query."""
        return self.target.split(b"?", 1)[0].decode("latin-1")

    @property
    def host(self) -> str:
        """The Host header without its port, in lowercase."""
        value = self.headers.get(b"host") or b""
        return value.decode("latin-1").rsplit(":", 1)[0].lower()


@dataclasses.dataclass(slots=True)
class ResponseHead:
    """Status and headers of a response.

    Attributes:
        status: The status code.
        headers: Header fields as sent.
        keeps_alive: Whether the connection may carry another request.
    """

    status: int
    headers: Headers
    keeps_alive: bool


def encode_request(
    method: bytes, target: bytes, headers: Iterable[Header], body: bytes
) -> bytes:
    """Returns the bytes of a request, framed by Content-Length."""
    lines = [b"%b %b HTTP/1.1\r\n" % (method, target)]
    lines += [b"%b: %b\r\n" % field for field in headers]
    if body or method not in (b"GET", b"HEAD", b"DELETE"):
        lines.append(b"Content-Length: %d\r\n" % len(body))
    lines.append(b"\r\n")
    lines.append(body)
    return b"".join(lines)


def encode_head(
    status: int,
    headers: Iterable[Header],
    length: int | None,
    keeps_alive: bool,
) -> bytes:
    """Returns the bytes of a response head.

    Args:
        status: The status code.
        headers: End-to-end fields.
        length: Content length in bytes; None for chunked encoding.
        keeps_alive: Whether the connection stays open afterwards.
    """
    lines = [b"HTTP/1.1 %d %b\r\n" % (status, _reason(status))]
    lines += [b"%b: %b\r\n" % field for field in headers]
    if length is None:
        lines.append(b"Transfer-Encoding: chunked\r\n")
    else:
        lines.append(b"Content-Length: %d\r\n" % length)
    if not keeps_alive:
        lines.append(b"Connection: close\r\n")
    lines.append(b"\r\n")
    return b"".join(lines)


def encode_chunk(data: bytes) -> bytes:
    """Returns one chunk of a chunked body; ``data`` must not be empty."""
    return b"%x\r\n%b\r\n" % (len(data), data)


def _reason(status: int) -> bytes:
    try:
        return http.HTTPStatus(status).phrase.encode()
    except ValueError:
        return b"Unknown"
