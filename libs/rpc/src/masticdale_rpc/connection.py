"""A client connection, which carries one call at a time."""

import asyncio

from thriftpy2.thrift import TApplicationException, TMessageType

from masticdale_rpc import frames
from masticdale_rpc.contracts import Contract, ReplyT, RequestT, Rpc


class MismatchedReplyError(Exception):
    """The reply belongs to another call."""


class RemoteError(Exception):
    """The peer's handler raised, or the peer does not know the RPC."""


class Connection:
    """An open connection to a peer.

    Attributes:
        last_used: End of the last call, in monotonic seconds.
    """

    def __init__(
        self,
        contract: Contract,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        self.last_used = 0.0
        self._contract = contract
        self._reader = reader
        self._writer = writer
        self._sequence = 0

    @property
    def is_usable(self) -> bool:
        """Whether both sides still have the connection open."""
        return not (
            self._reader.at_eof()
            or self._reader.exception()
            or self._writer.is_closing()
        )

    async def exchange(
        self, rpc: Rpc[RequestT, ReplyT], request: RequestT
    ) -> ReplyT:
        """Sends a request and reads its reply.

        After any exception but ``RemoteError`` the caller must close the
        connection.

        Raises:
            RemoteError: The peer reported that the call failed.
            MismatchedReplyError: The reply belongs to another call.
            Exception: Any error of the socket or the decoder.
        """
        self._sequence += 1
        contract = self._contract
        argument_type = getattr(contract.service, f"{rpc.name}_args")
        arguments = argument_type(contract.to_wire(request))
        self._writer.write(
            frames.encode(
                rpc.name, TMessageType.CALL, self._sequence, arguments
            )
        )
        await self._writer.drain()
        return await self._read_reply(rpc)

    def abort(self) -> None:
        """Closes the connection at once and discards unsent bytes."""
        self._writer.transport.abort()

    async def _read_reply(self, rpc: Rpc[RequestT, ReplyT]) -> ReplyT:
        message = frames.Message(await frames.read_frame(self._reader))
        if (message.name, message.sequence) != (rpc.name, self._sequence):
            raise MismatchedReplyError(
                f"got reply {message.sequence} to {message.name}, expected"
                f" {self._sequence} to {rpc.name}"
            )
        if message.kind == TMessageType.EXCEPTION:
            error = TApplicationException()
            message.read(error)
            raise RemoteError(str(error.message))
        result = getattr(self._contract.service, f"{rpc.name}_result")()
        message.read(result)
        return self._contract.from_wire(rpc.reply_type, result.success)
