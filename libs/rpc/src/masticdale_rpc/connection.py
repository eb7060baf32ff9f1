"""One connection that carries one call at a time."""

import asyncio

from thriftpy2.thrift import TApplicationException, TMessageType

from masticdale_rpc import frames
from masticdale_rpc.contracts import Contract, ReplyT, RequestT, Rpc


class CrossedAnswerError(Exception):
    """The answer read belongs to another call."""


class RemoteError(Exception):
    """The called host's handler raised, or it does not know the call."""


class Connection:
    """An open connection to a peer.

    Attributes:
        last_used: Monotonic seconds of the last call's end.
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
        contract = self._contract
        argument_type = getattr(contract.service, f"{rpc.name}_args")
        arguments = argument_type(contract.to_wire(request))
        self._writer.write(
            frames.encode(
                rpc.name, TMessageType.CALL, self._sequence, arguments
            )
        )
        await self._writer.drain()
        return await self._read_answer(rpc)

    def abort(self) -> None:
        """Closes at once, without waiting for unsent bytes."""
        self._writer.transport.abort()

    async def _read_answer(self, rpc: Rpc[RequestT, ReplyT]) -> ReplyT:
        message = frames.Message(await frames.read_frame(self._reader))
        if (message.name, message.sequence) != (rpc.name, self._sequence):
            raise CrossedAnswerError(f"{message.name} {message.sequence}")
        if message.kind == TMessageType.EXCEPTION:
            error = TApplicationException()
            message.read(error)
            raise RemoteError(str(error.message))
        result = getattr(self._contract.service, f"{rpc.name}_result")()
        message.read(result)
        return self._contract.from_wire(rpc.reply_type, result.success)
