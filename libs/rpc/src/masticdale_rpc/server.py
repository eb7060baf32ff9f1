"""RPC server for a contract."""

import asyncio
import contextlib
import errno
from typing import Any

from thriftpy2.thrift import TApplicationException, TMessageType

from masticdale_common import JsonValue, logs
from masticdale_rpc import frames
from masticdale_rpc import tls as tls_contexts
from masticdale_rpc.contracts import Contract, Rpc
from masticdale_rpc.settings import (
    Address,
    TlsSettings,
    raise_invalid_settings,
)


class RpcServer:
    """Listens for peers and serves the calls on their connections."""

    def __init__(
        self, handler: Any, address: Address, contract: Contract
    ) -> None:
        """Initializes the server; ``listen`` opens the socket.

        Args:
            handler: Object with one method for each RPC of the contract.
            address: Address to listen on.
            contract: The service.
        """
        self._contract = contract
        self._handler = handler
        self._address = address
        self._server: asyncio.Server | None = None
        self._is_closed = False
        self._writer_by_task: dict[asyncio.Task[Any], asyncio.StreamWriter] = {}
        self._calls_in_flight = 0
        self._idle = asyncio.Event()
        self._idle.set()
        self._calls_served = 0
        self._calls_failed = 0

    async def listen(self, tls: TlsSettings | None) -> None:
        """Starts listening.

        Args:
            tls: Certificates; None for plaintext.

        Raises:
            MasticdaleError: INVALID_SETTINGS if the address cannot be bound
                or a certificate file cannot be loaded.
        """
        context = tls_contexts.server_context(tls) if tls else None
        try:
            # Not thriftpy2's server socket: it sets SO_REUSEPORT, so a second
            # daemon on the port would start without an error and receive part
            # of the first one's connections.
            self._server = await asyncio.start_server(
                self._serve_connection,
                str(self._address.ip),
                self._address.port,
                ssl=context,
            )
        except OSError as error:
            self._raise_bind_error(error)

    async def close(self, grace_s: float) -> None:
        """Stops listening, drains calls in flight, then closes connections.

        Args:
            grace_s: Seconds to wait for calls in flight, and until the peers
                have taken their replies.
        """
        deadline = asyncio.get_running_loop().time() + grace_s
        if self._server is not None:
            self._server.close()
        # A connection begins a call that it has received in its next step.
        # Until then the call is not in flight, and would be discarded unread.
        await asyncio.sleep(0)
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout_at(deadline):
                while self._calls_in_flight:
                    await self._idle.wait()
                    await asyncio.sleep(0)
        if self._calls_in_flight:
            logs.write("peer_calls_cut_off", count=self._calls_in_flight)
        await self._flush_connections(deadline)
        self._is_closed = True
        tasks = list(self._writer_by_task)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def state(self) -> JsonValue:
        """Returns what the state dump shows."""
        return {
            "address": str(self._address),
            "connections": len(self._writer_by_task),
            "calls_in_flight": self._calls_in_flight,
            "calls_served": self._calls_served,
            "calls_failed": self._calls_failed,
        }

    async def _flush_connections(self, deadline: float) -> None:
        """Closes the connections once the peers have taken their replies."""
        for writer in self._writer_by_task.values():
            writer.close()
        if not self._writer_by_task:
            return
        left_s = max(0.0, deadline - asyncio.get_running_loop().time())
        await asyncio.wait(self._writer_by_task, timeout=left_s)

    def _raise_bind_error(self, error: OSError) -> None:
        if error.errno == errno.EADDRINUSE:
            raise_invalid_settings(
                f"{self._address}: address already in use. Hint: stop the"
                " other process, or set another port for this host."
            )
        raise_invalid_settings(
            f"{self._address}: {error.strerror}. Hint: set an address of this"
            " host."
        )

    async def _serve_connection(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        if self._is_closed:
            # Accepted just before; its calls would be cut off with the process.
            writer.transport.abort()
            return
        task = asyncio.current_task()
        assert task is not None
        self._writer_by_task[task] = writer
        try:
            while not reader.at_eof():
                frame = await frames.read_frame(reader)
                await self._serve_call(frames.Message(frame), writer)
        except (asyncio.IncompleteReadError, OSError, asyncio.CancelledError):
            pass  # The peer closed the connection, or this server is closing.
        except Exception as error:
            # After a malformed message the start of the next one is unknown,
            # so the connection is closed.
            logs.write("peer_connection_failed", error=repr(error))
        finally:
            del self._writer_by_task[task]
            _abort(writer)

    async def _serve_call(
        self, message: frames.Message, writer: asyncio.StreamWriter
    ) -> None:
        # A call counts as in flight until its reply has been written: when
        # none is left, ``close`` closes the connections, which still send
        # what the peers have not taken.
        self._calls_in_flight += 1
        self._idle.clear()
        try:
            writer.write(await self._reply_to(message))
            await writer.drain()
        finally:
            self._calls_in_flight -= 1
            if not self._calls_in_flight:
                self._idle.set()

    async def _reply_to(self, message: frames.Message) -> bytes:
        rpc = self._contract.rpc_by_name.get(message.name)
        if rpc is None:
            return _exception_frame(
                message, TApplicationException.UNKNOWN_METHOD, "unknown call"
            )
        arguments = getattr(self._contract.service, f"{rpc.name}_args")()
        message.read(arguments)
        try:
            reply_frame = await self._call_handler(rpc, message, arguments)
        except Exception as error:
            # Closing the connection instead would make an error in a handler
            # look like a dead host to the caller.
            self._calls_failed += 1
            logs.write("peer_call_failed", call=rpc.name, error=repr(error))
            return _exception_frame(
                message,
                TApplicationException.INTERNAL_ERROR,
                f"{rpc.name} failed",
            )
        self._calls_served += 1
        return reply_frame

    async def _call_handler(
        self, rpc: Rpc[Any, Any], message: frames.Message, arguments: Any
    ) -> bytes:
        (struct,) = (
            getattr(arguments, spec[1])
            for spec in arguments.thrift_spec.values()
        )
        request = self._contract.from_wire(rpc.request_type, struct)
        reply = await getattr(self._handler, rpc.name)(request)
        result_type = getattr(self._contract.service, f"{rpc.name}_result")
        result = result_type(self._contract.to_wire(reply))
        return frames.encode(
            rpc.name, TMessageType.REPLY, message.sequence, result
        )


def _abort(writer: asyncio.StreamWriter) -> None:
    """Closes a connection at once and discards unsent bytes."""
    transport = writer.transport
    # asyncio raises where a closing transport has sent its last bytes.
    if transport.is_closing() and not transport.get_write_buffer_size():
        return
    transport.abort()


def _exception_frame(message: frames.Message, kind: int, detail: str) -> bytes:
    return frames.encode(
        message.name,
        TMessageType.EXCEPTION,
        message.sequence,
        TApplicationException(kind, detail),
    )
