"""Clients that send much or take nothing, and stay connected."""

import asyncio
import socket

# Time without progress after which a client stops to send, in seconds: the
# process does not read on.
STALLED_S = 3.0
# Size of one write.
WRITE_BYTES = 65_536
# Receive buffer of a client that does not read: the kernel's would take whole
# responses.
RECEIVE_BUFFER_BYTES = 4096
LINE_END = b"\r\n"


def head(method, path, host, *lines, request_id=""):
    """Returns the head of a request, without the empty line that ends it."""
    fields = [b"%b %b HTTP/1.1" % (method, path.encode())]
    fields.append(b"Host: " + host.encode())
    if request_id:
        fields.append(b"Request-Id: " + request_id.encode())
    return LINE_END.join([*fields, *lines]) + LINE_END


def chunked_body(size, chunk_bytes):
    """Returns a chunked body of a size, without the last chunk."""
    chunk = b"%x\r\n%b\r\n" % (chunk_bytes, b"x" * chunk_bytes)
    return chunk * (size // chunk_bytes)


def short_lines(size):
    """Returns header lines of two-byte names and values, of a total size."""
    return b"ab:cd\r\n" * (size // 8)


def odd_lines(size):
    """Returns unusual header lines, with blank values, of a total size."""
    return b"~|: \t \r\n" * (size // 6)


class Crowd:
    """Connections that stay open until the crowd leaves.

    Attributes:
        sent_bytes: Bytes that the kernel has taken from all clients.
        refused: Number of connections that the process has closed while their
            client was sending.
    """

    def __init__(self, host, port):
        self.sent_bytes = 0
        self.refused = 0
        self._address = (host, port)
        self._sockets = []

    async def join(self, messages):
        """Opens a connection for each message and sends them all at once."""
        await asyncio.gather(*(self._send(message) for message in messages))

    def leave(self):
        """Closes the connections."""
        for connection in self._sockets:
            connection.close()
        self._sockets.clear()

    async def _send(self, message):
        loop = asyncio.get_running_loop()
        connection = socket.socket()
        connection.setblocking(False)
        connection.setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES
        )
        self._sockets.append(connection)
        try:
            async with asyncio.timeout(STALLED_S):
                await loop.sock_connect(connection, self._address)
            for start in range(0, len(message), WRITE_BYTES):
                part = message[start : start + WRITE_BYTES]
                async with asyncio.timeout(STALLED_S):
                    await loop.sock_sendall(connection, part)
                self.sent_bytes += len(part)
        except TimeoutError:
            return
        except OSError:
            self.refused += 1
