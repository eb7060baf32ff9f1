"""Calls to other hosts over pools of connections."""

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
    CrossedAnswerError,
    RemoteError,
)
from masticdale_rpc.contracts import Contract, ReplyT, RequestT, Rpc
from masticdale_rpc.settings import PeerSettings

Clock = Callable[[], float]

_NOT_SENT = "not sent"


@dataclasses.dataclass(frozen=True, slots=True)
class PoolLimits:
    """Bounds of the connections to one peer.

    Attributes:
        connections: Most connections, and so calls under way, for each peer.
        call_timeout_s: How long a call may take by default.
        idle_s: A connection unused for this long is closed.
    """

    connections: int = 8
    call_timeout_s: float = 5.0
    idle_s: float = 60.0


class Pool:
    """Connections to one address, each lent to one call at a time."""

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
        # Wakes its waiters in the order they came, so that no call starves.
        self._free = asyncio.Semaphore(size)
        self._idle: list[Connection] = []
        self._lent = 0
        self._opened = 0
        self._is_closed = False

    async def acquire(self) -> Connection:
        """Returns a connection that no other call uses.

        Raises:
            OSError: None could be opened.
        """
        await self._free.acquire()
        try:
            connection = self._take_idle() or await self._open()
        except BaseException:
            self._free.release()
            raise
        self._lent += 1
        return connection

    def release(self, connection: Connection, *, reusable: bool) -> None:
        """Takes a connection back.

        Args:
            connection: What ``acquire`` returned.
            reusable: False unless its last call's answer was read whole.
        """
        self._lent -= 1
        self._free.release()
        if not reusable or self._is_closed:
            connection.abort()
            return
        connection.last_used = self._clock()
        self._idle.append(connection)

    def close_idle(self, idle_s: float) -> None:
        """Closes connections that were not used for a while."""
        oldest = self._clock() - idle_s
        kept = []
        for connection in self._idle:
            if connection.is_usable and connection.last_used >= oldest:
                kept.append(connection)
            else:
                connection.abort()
        self._idle = kept

    def close(self) -> None:
        """Closes every connection; those lent out when they come back."""
        self._is_closed = True
        for connection in self._idle:
            connection.abort()
        self._idle.clear()

    def state(self) -> JsonValue:
        """Returns what the state dump shows."""
        return {
            "idle": len(self._idle),
            "lent": self._lent,
            "opened": self._opened,
        }

    def _take_idle(self) -> Connection | None:
        while self._idle:
            # The last one used, so that those not needed grow idle.
            connection = self._idle.pop()
            # A restarted peer has closed it: sent there, the request would
            # fail with nobody knowing whether it had arrived.
            if connection.is_usable:
                return connection
            connection.abort()
        return None

    async def _open(self) -> Connection:
        # thriftpy2's client socket connects in the loop's thread pool, where
        # a few peers that drop packets would hold up every other connection.
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
    """Calls to one host over the network."""

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
        """The peer that is called."""
        return self._peer

    async def call(
        self,
        rpc: Rpc[RequestT, ReplyT],
        request: RequestT,
        timeout_s: float | None = None,
    ) -> Result[ReplyT, Failure]:
        """Makes one call.

        Args:
            rpc: Which call.
            request: Its argument.
            timeout_s: How long the whole call may take, waiting for a free
                connection included; the client's default where None.

        Failures: PEER_UNAVAILABLE where no whole answer came in time
        (``was_sent`` tells whether it may have arrived there); INTERNAL where
        the handler there raised.
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
        """Closes the connections that were idle for too long."""
        self._pool.close_idle(self._limits.idle_s)

    def close(self) -> None:
        """Closes the connections."""
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
        # A late answer to a call given up on would be read as the answer to
        # the connection's next call, and one caller would get another's. So
        # a connection is used again only after its answer was read whole, on
        # every other way out of here, cancellation too, it is closed.
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
        except CrossedAnswerError as error:
            self._metrics.count("peer_crossed_answers_total", call=rpc.name)
            return self._unavailable(rpc.name, repr(error), sent=True)
        except Exception as error:
            return self._unavailable(rpc.name, repr(error), sent=True)
        finally:
            pool.release(connection, reusable=reusable)

    def _on_timeout(self, rpc: Rpc[RequestT, ReplyT]) -> None:
        """Is told of each call that was sent and not answered in time."""

    def _unavailable(
        self, name: str, reason: str, *, sent: bool
    ) -> Failed[Failure]:
        self._metrics.count(
            "peer_calls_failed_total", peer=self._peer.name, call=name
        )
        return Failed(unavailable(self._peer.name, reason, sent=sent))


def unavailable(host: str, reason: str, *, sent: bool) -> Failure:
    """Returns the failure of a call that no whole answer came to.

    Args:
        host: The peer.
        reason: What happened.
        sent: False where the peer surely has not got the request.
    """
    state = "sent" if sent else _NOT_SENT
    return Failure(ErrorKind.PEER_UNAVAILABLE, f"{state}: {host}: {reason}")


def was_sent(failure: Failure) -> bool:
    """Returns whether the peer may have got the request of a failed call."""
    not_sent = failure.detail.startswith(f"{_NOT_SENT}:")
    return not (failure.kind is ErrorKind.PEER_UNAVAILABLE and not_sent)
