"""Serves a contract to other hosts."""

import asyncio
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
    invalid,
)


class RpcServer:
    """A listening socket and the connections peers have opened to it."""

    def __init__(
        self, handler: Any, address: Address, contract: Contract
    ) -> None:
        """Prepares to serve.

        Args:
            handler: Has one method for each call of the contract.
            address: Where to listen.
            contract: The service.
        """
        self._contract = contract
        self._handler = handler
        self._address = address
        self._server: asyncio.Server | None = None
        self._writer_by_task: dict[asyncio.Task[Any], asyncio.StreamWriter] = {}
        self._calls_in_flight = 0
        self._drained = asyncio.Event()
        self._drained.set()
        self._calls_served = 0
        self._calls_failed = 0

    async def listen(self, tls: TlsSettings | None) -> None:
        """Opens the socket; see ``serve``."""
        context = tls_contexts.server_context(tls) if tls else None
        try:
            # thriftpy2's own server socket sets SO_REUSEPORT: a second daemon
            # on the port starts without an error and gets part of the first
            # one's connections. asyncio's sets it only on request, and the
            # kernel refuses to share a port unless both sockets have set it.
            self._server = await asyncio.start_server(
                self._serve_connection,
                str(self._address.ip),
                self._address.port,
                ssl=context,
            )
        except OSError as error:
            self._refuse(error)

    async def close(self, grace_s: float) -> None:
        """Stops listening, lets calls in flight finish, then closes.

        Args:
            grace_s: How long calls in flight may still take.
        """
        if self._server is not None:
            self._server.close()
        try:
            async with asyncio.timeout(grace_s):
                await self._drained.wait()
        except TimeoutError:
            logs.write("peer_calls_cut_off", count=self._calls_in_flight)
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

    def _refuse(self, error: OSError) -> None:
        if error.errno == errno.EADDRINUSE:
            invalid(
                f"{self._address}: another process listens there. Hint: stop"
                " it, or give this host another port."
            )
        invalid(
            f"{self._address}: {error.strerror}. Hint: give an address of"
            " this machine."
        )

    async def _serve_connection(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._writer_by_task[task] = writer
        try:
            while not reader.at_eof():
                frame = await frames.read_frame(reader)
                await self._serve_call(frames.Message(frame), writer)
        except (asyncio.IncompleteReadError, OSError, asyncio.CancelledError):
            pass  # The peer closed, or this server does.
        except Exception as error:
            # Bytes that are no thrift message: nothing after them on this
            # connection can be trusted, so it is closed.
            logs.write("peer_connection_failed", error=repr(error))
        finally:
            del self._writer_by_task[task]
            writer.transport.abort()

    async def _serve_call(
        self, message: frames.Message, writer: asyncio.StreamWriter
    ) -> None:
        # A stopping server waits for the calls in flight and then drops the
        # connections with all that they have not sent: so a call is in
        # flight until its answer has gone out.
        self._calls_in_flight += 1
        self._drained.clear()
        try:
            writer.write(await self._answer(message))
            await writer.drain()
        finally:
            self._calls_in_flight -= 1
            if not self._calls_in_flight:
                self._drained.set()

    async def _answer(self, message: frames.Message) -> bytes:
        rpc = self._contract.rpc_by_name.get(message.name)
        if rpc is None:
            return _exception(
                message, TApplicationException.UNKNOWN_METHOD, "unknown call"
            )
        arguments = getattr(self._contract.service, f"{rpc.name}_args")()
        message.read(arguments)
        try:
            answer = await self._run(rpc, message, arguments)
        except Exception as error:
            # Closing the connection here would leave the caller unable to
            # tell a fault in a handler from a dead host.
            self._calls_failed += 1
            logs.write("peer_call_failed", call=rpc.name, error=repr(error))
            return _exception(
                message,
                TApplicationException.INTERNAL_ERROR,
                f"{rpc.name} failed",
            )
        self._calls_served += 1
        return answer

    async def _run(
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


def _exception(message: frames.Message, kind: int, detail: str) -> bytes:
    return frames.encode(
        message.name,
        TMessageType.EXCEPTION,
        message.sequence,
        TApplicationException(kind, detail),
    )
