"""HTTP messages as the data path holds them, and their bytes on the wire."""

import dataclasses
import http
from collections.abc import Iterable

Header = tuple[bytes, bytes]

# Headers that concern one connection only (RFC 9110, 7.6.1). Framing is
# written anew for each hop.
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
        fields: Name and value as they came.
    """

    fields: list[Header] = dataclasses.field(default_factory=list)

    def get(self, name: bytes) -> bytes | None:
        """Returns the first value of a field, by its lowercase name."""
        for key, value in self.fields:
            if key.lower() == name:
                return value
        return None

    def count(self, name: bytes) -> int:
        """Returns how often a field stands, by its lowercase name."""
        return sum(key.lower() == name for key, _ in self.fields)

    def end_to_end(self) -> list[Header]:
        """Returns the fields that are meant for the other end."""
        named = self.get(b"connection") or b""
        dropped = HOP_BY_HOP | {n.strip().lower() for n in named.split(b",")}
        return [f for f in self.fields if f[0].lower() not in dropped]


@dataclasses.dataclass(slots=True)
class Request:
    """One whole request of a caller.

    Attributes:
        method: As sent.
        target: Path and query, as sent.
        headers: As sent.
        body: The decoded body.
        received_at: Loop seconds at which its first byte was read.
        keeps_alive: Whether the caller allows another request after it.
    """

    method: bytes
    target: bytes
    headers: Headers
    body: bytes
    received_at: float
    keeps_alive: bool

    @property
    def path(self) -> str:
        """The target without its query."""
        return self.target.split(b"?", 1)[0].decode("latin-1")

    @property
    def host(self) -> str:
        """The Host field without a port, in lowercase."""
        value = self.headers.get(b"host") or b""
        return value.decode("latin-1").rsplit(":", 1)[0].lower()


@dataclasses.dataclass(slots=True)
class ResponseHead:
    """Status and headers of a response.

    Attributes:
        status: The status code.
        headers: As sent.
        keeps_alive: Whether the connection may serve another request.
    """

    status: int
    headers: Headers
    keeps_alive: bool


def encode_request(
    method: bytes, target: bytes, headers: Iterable[Header], body: bytes
) -> bytes:
    """Returns a request with a length, ready to be written."""
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
    """Returns the head of a response.

    Args:
        status: The status code.
        headers: End-to-end fields.
        length: Bytes of the body; None for chunks.
        keeps_alive: Whether the connection stays open after it.
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
    """Returns one chunk of a chunked body; the data must not be empty."""
    return b"%x\r\n%b\r\n" % (len(data), data)


def _reason(status: int) -> bytes:
    try:
        return http.HTTPStatus(status).phrase.encode()
    except ValueError:
        return b"Unknown"
