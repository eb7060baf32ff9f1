"""One connection that carries one call at a time."""

import asyncio
from typing import Any

from thriftpy2.contrib.aio.protocol.binary import TAsyncBinaryProtocol
from thriftpy2.contrib.aio.socket import StreamHandler
from thriftpy2.contrib.aio.transport.buffered import TAsyncBufferedTransport
from thriftpy2.thrift import TApplicationException, TMessageType

from masticdale_peers.messages import (
    SERVICE,
    ReplyT,
    RequestT,
    Rpc,
    from_wire,
    to_wire,
)

# thriftpy2 marks itself as typed without typing these.
_STREAMS: Any = StreamHandler
_TRANSPORT: Any = TAsyncBufferedTransport
_PROTOCOL: Any = TAsyncBinaryProtocol


class CrossedAnswerError(Exception):
    """The answer read belongs to another call."""


class RemoteError(Exception):
    """The called host's handler raised, or it does not know the call."""


def make_protocol(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> Any:
    """Returns a thrift protocol that reads and writes the streams."""
    transport: Any = _TRANSPORT(_STREAMS(reader, writer))
    return _PROTOCOL(transport)


class Connection:
    """An open connection to a peer.

    Attributes:
        last_used: Monotonic seconds of the last call's end.
    """

    def __init__(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.last_used = 0.0
        self._reader = reader
        self._writer = writer
        self._protocol = make_protocol(reader, writer)
        self._sequence = 0

    @property
    def is_usable(self) -> bool:
        """False once the peer has closed it."""
        return not (
            self._reader.at_eof()
            or self._reader.exception()
            or self._writer.is_closing()
        )

    async def exchange(
        self, rpc: Rpc[RequestT, ReplyT], request: RequestT
    ) -> ReplyT:
        """Sends a request and reads its answer.

        Raises:
            RemoteError: The peer answered that the call failed there.
            CrossedAnswerError: The answer belongs to another call.
            Exception: Whatever sockets and the decoder raise. After anything
                but a ``RemoteError`` the connection has to be closed.
        """
        self._sequence += 1
        arguments = getattr(SERVICE, f"{rpc.name}_args")(to_wire(request))
        protocol = self._protocol
        protocol.write_message_begin(
            rpc.name, TMessageType.CALL, self._sequence
        )
        protocol.write_struct(arguments)
        protocol.write_message_end()
        await protocol.trans.flush()
        return await self._read_answer(rpc)

    def abort(self) -> None:
        """Closes at once, without waiting for unsent bytes."""
        self._writer.transport.abort()

    async def _read_answer(self, rpc: Rpc[RequestT, ReplyT]) -> ReplyT:
        protocol = self._protocol
        name, kind, sequence = await protocol.read_message_begin()
        if (name, sequence) != (rpc.name, self._sequence):
            raise CrossedAnswerError(f"{name} {sequence}")
        if kind == TMessageType.EXCEPTION:
            error = TApplicationException()
            await protocol.read_struct(error)
            await protocol.read_message_end()
            raise RemoteError(str(error.message))
        result = getattr(SERVICE, f"{rpc.name}_result")()
        await protocol.read_struct(result)
        await protocol.read_message_end()
        return from_wire(rpc.reply_type, result.success)
