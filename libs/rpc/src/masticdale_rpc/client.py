"""RPC client with a connection pool for each host."""

import asyncio
import dataclasses
import ssl
import time
from collections.abc import Callable

from returns.result import Failure as Failed
from returns.result import Result, Success

from masticdale_common import ErrorKind, Failure, JsonValue, Metrics
from masticdale_rpc.connection import (
    Connection,
    MismatchedReplyError,
    RemoteError,
)
from masticdale_rpc.contracts import Contract, ReplyT, RequestT, Rpc
from masticdale_rpc.settings import PeerSettings

Clock = Callable[[], float]

_NOT_SENT = "not sent"


@dataclasses.dataclass(frozen=True, slots=True)
class PoolLimits:
    """Limits of the connection pool of each peer.

    Attributes:
        connections: Maximum number of connections. A connection carries one
            call at a time, so this also bounds the concurrent calls.
        call_timeout_s: Default timeout of a call in seconds.
        idle_s: Seconds after which an unused connection is closed.
    """

    connections: int = 8
    call_timeout_s: float = 5.0
    idle_s: float = 60.0


class Pool:
    """Pool of connections to one address, each used by one call at a time."""

    def __init__(
        self,
        peer: PeerSettings,
        context: ssl.SSLContext | None,
        size: int,
        clock: Clock,
        contract: Contract,
    ) -> None:
        self._contract = contract
        self._peer = peer
        self._context = context
        self._clock = clock
        # asyncio.Semaphore wakes waiters in FIFO order, so no call starves.
        self._slots = asyncio.Semaphore(size)
        self._idle: list[Connection] = []
        self._in_use = 0
        self._opened = 0
        self._is_closed = False

    async def acquire(self) -> Connection:
        """Returns an unused connection; waits while the pool is exhausted.

        Raises:
            OSError: A new connection could not be opened.
        """
        await self._slots.acquire()
        try:
            connection = self._pop_idle() or await self._open()
        except BaseException:
            self._slots.release()
            raise
        self._in_use += 1
        return connection

    def release(self, connection: Connection, *, reusable: bool) -> None:
        """Returns a connection to the pool.

        Args:
            connection: Connection returned by ``acquire``.
            reusable: Whether the reply of its last call was read completely.
                Otherwise the connection is closed.
        """
        self._in_use -= 1
        self._slots.release()
        if not reusable or self._is_closed:
            connection.abort()
            return
        connection.last_used = self._clock()
        self._idle.append(connection)

    def close_idle(self, idle_s: float) -> None:
        """Closes connections that were not used for ``idle_s`` seconds."""
        used_since = self._clock() - idle_s
        still_open = []
        for connection in self._idle:
            if connection.is_usable and connection.last_used >= used_since:
                still_open.append(connection)
            else:
                connection.abort()
        self._idle = still_open

    def close(self) -> None:
        """Closes idle connections now and those in use on their release."""
        self._is_closed = True
        for connection in self._idle:
            connection.abort()
        self._idle.clear()

    def state(self) -> JsonValue:
        """Returns what the state dump shows."""
        return {
            "idle": len(self._idle),
            "lent": self._in_use,
            "opened": self._opened,
        }

    def _pop_idle(self) -> Connection | None:
        while self._idle:
            # Last in, first out: surplus connections reach the idle timeout.
            connection = self._idle.pop()
            # A restarted peer has closed the connection. A request sent on it
            # would fail, and the caller could not tell whether it arrived.
            if connection.is_usable:
                return connection
            connection.abort()
        return None

    async def _open(self) -> Connection:
        # Not thriftpy2's client socket: it connects in the loop's thread
        # pool, which a few unreachable peers would exhaust for all others.
        address = self._peer.address
        reader, writer = await asyncio.open_connection(
            str(address.ip),
            address.port,
            ssl=self._context,
            server_hostname=self._peer.name if self._context else None,
        )
        self._opened += 1
        return Connection(self._contract, reader, writer)


class RpcClient:
    """Client for the RPCs of one host."""

    def __init__(
        self,
        peer: PeerSettings,
        context: ssl.SSLContext | None,
        limits: PoolLimits,
        metrics: Metrics,
        contract: Contract,
        clock: Clock = time.monotonic,
    ) -> None:
        self._peer = peer
        self._limits = limits
        self._metrics = metrics
        self._pool = Pool(peer, context, limits.connections, clock, contract)

    @property
    def peer(self) -> PeerSettings:
        """The called host."""
        return self._peer

    async def call(
        self,
        rpc: Rpc[RequestT, ReplyT],
        request: RequestT,
        timeout_s: float | None = None,
    ) -> Result[ReplyT, Failure]:
        """Makes one call.

        Args:
            rpc: The RPC to call.
            request: Its argument.
            timeout_s: Timeout in seconds, including the wait for a free
                connection; None for the client's default.

        Returns:
            The reply, or a failure: PEER_UNAVAILABLE if no complete reply
            arrived in time (``may_have_been_sent`` tells whether the peer may
            have received the request), INTERNAL if the peer's handler raised.
        """
        return await self._call(self._pool, rpc, request, timeout_s)

    async def _call(
        self,
        pool: Pool,
        rpc: Rpc[RequestT, ReplyT],
        request: RequestT,
        timeout_s: float | None,
    ) -> Result[ReplyT, Failure]:
        if timeout_s is None:
            timeout_s = self._limits.call_timeout_s
        deadline = asyncio.get_running_loop().time() + timeout_s
        try:
            async with asyncio.timeout_at(deadline):
                connection = await pool.acquire()
        except TimeoutError:
            return self._unavailable(rpc.name, "no connection", sent=False)
        except OSError as error:
            return self._unavailable(rpc.name, repr(error), sent=False)
        return await self._exchange(pool, connection, rpc, request, deadline)

    def close_idle(self) -> None:
        """Closes connections that exceeded the idle timeout."""
        self._pool.close_idle(self._limits.idle_s)

    def close(self) -> None:
        """Closes the pool."""
        self._pool.close()

    def state(self) -> JsonValue:
        """Returns what the state dump shows."""
        return {
            "address": str(self._peer.address),
            "calls": self._pool.state(),
        }

    async def _exchange(
        self,
        pool: Pool,
        connection: Connection,
        rpc: Rpc[RequestT, ReplyT],
        request: RequestT,
        deadline: float,
    ) -> Result[ReplyT, Failure]:
        # The reply to an abandoned call would be read as the reply to the
        # next call on the connection, and a caller would get another's data.
        # So the connection is reused only if its reply was read completely;
        # any other exit, including cancellation, closes it.
        reusable = False
        try:
            async with asyncio.timeout_at(deadline):
                reply = await connection.exchange(rpc, request)
            reusable = True
            return Success(reply)
        except RemoteError as error:
            reusable = True
            detail = f"{self._peer.name}: {error}"
            return Failed(Failure(ErrorKind.INTERNAL, detail))
        except TimeoutError:
            self._on_timeout(rpc)
            return self._unavailable(rpc.name, "timed out", sent=True)
        except MismatchedReplyError as error:
            self._metrics.count("peer_crossed_answers_total", call=rpc.name)
            return self._unavailable(rpc.name, repr(error), sent=True)
        except Exception as error:
            return self._unavailable(rpc.name, repr(error), sent=True)
        finally:
            pool.release(connection, reusable=reusable)

    def _on_timeout(self, rpc: Rpc[RequestT, ReplyT]) -> None:
        """Hook for each call that was sent but not answered in time."""

    def _unavailable(
        self, name: str, reason: str, *, sent: bool
    ) -> Failed[Failure]:
        self._metrics.count(
            "peer_calls_failed_total", peer=self._peer.name, call=name
        )
        return Failed(unavailable(self._peer.name, reason, sent=sent))


def unavailable(host: str, reason: str, *, sent: bool) -> Failure:
    """Returns the failure of a call without a complete reply.

    Args:
        host: Name of the called host.
        reason: Cause of the failure.
        sent: False if the host certainly did not receive the request.
    """
    state = "sent" if sent else _NOT_SENT
    return Failure(ErrorKind.PEER_UNAVAILABLE, f"{state}: {host}: {reason}")


def may_have_been_sent(failure: Failure) -> bool:
    """Returns whether the peer may have received a failed call's request."""
    not_sent = failure.detail.startswith(f"{_NOT_SENT}:")
    return not (failure.kind is ErrorKind.PEER_UNAVAILABLE and not_sent)
