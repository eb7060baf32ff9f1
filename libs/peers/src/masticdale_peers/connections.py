"""Calls to peers over pools of connections."""

import asyncio
import dataclasses
import ssl
import time
from collections.abc import Callable, Iterable

from returns.result import Failure as Failed
from returns.result import Result, Success

from masticdale_common import (
    ErrorKind,
    Failure,
    JsonValue,
    Metrics,
    Subscription,
    TimerService,
)
from masticdale_peers import tls as tls_contexts
from masticdale_peers.contracts import Contract, ReplyT, RequestT, Rpc
from masticdale_peers.interfaces import PeerCalls, unavailable
from masticdale_peers.messages import (
    HEARTBEAT,
    PEER,
    READ,
    ReadRequest,
)
from masticdale_peers.settings import (
    PeerSettings,
    TlsSettings,
    require_loopback,
)
from masticdale_peers.wire import Connection, CrossedAnswerError, RemoteError

Clock = Callable[[], float]

_MS = 1000.0
_IDLE_TIMER = "peer-idle-connections"


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


class _Pool:
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


class PeerClient(PeerCalls):
    """Calls to one peer over the network."""

    def __init__(
        self,
        peer: PeerSettings,
        context: ssl.SSLContext | None,
        limits: PoolLimits,
        metrics: Metrics,
        clock: Clock = time.monotonic,
        contract: Contract = PEER,
    ) -> None:
        self._peer = peer
        self._limits = limits
        self._metrics = metrics
        self._pool = _Pool(peer, context, limits.connections, clock, contract)
        # Behind long reads in a full pool a heartbeat would time out, and a
        # busy peer would be taken for a dead one.
        self._heartbeat_pool = _Pool(peer, context, 1, clock, contract)

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
        """See ``PeerCalls.call``."""
        pool = self._heartbeat_pool if rpc is HEARTBEAT else self._pool
        if timeout_s is None:
            timeout_s = self._limits.call_timeout_s
        if rpc is READ and isinstance(request, ReadRequest):
            timeout_s += request.wait_ms / _MS
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
        self._heartbeat_pool.close_idle(self._limits.idle_s)

    def close(self) -> None:
        """Closes the connections."""
        self._pool.close()
        self._heartbeat_pool.close()

    def state(self) -> JsonValue:
        """Returns what the state dump shows."""
        return {
            "address": str(self._peer.address),
            "calls": self._pool.state(),
            "heartbeats": self._heartbeat_pool.state(),
        }

    async def _exchange(
        self,
        pool: _Pool,
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
            if rpc is HEARTBEAT:
                # What lies between the hosts may have lost track of all
                # connections that are open now. Each would cost one call its
                # whole timeout to find out.
                self._pool.close_idle(0.0)
            return self._unavailable(rpc.name, "timed out", sent=True)
        except CrossedAnswerError as error:
            self._metrics.count("peer_crossed_answers_total", call=rpc.name)
            return self._unavailable(rpc.name, repr(error), sent=True)
        except Exception as error:
            return self._unavailable(rpc.name, repr(error), sent=True)
        finally:
            pool.release(connection, reusable=reusable)

    def _unavailable(
        self, name: str, reason: str, *, sent: bool
    ) -> Failed[Failure]:
        self._metrics.count(
            "peer_calls_failed_total", peer=self._peer.name, call=name
        )
        return Failed(unavailable(self._peer.name, reason, sent=sent))


class _UnknownPeer(PeerCalls):
    """Calls to a host that is not in the settings."""

    def __init__(self, host: str) -> None:
        self._host = host

    async def call(
        self,
        rpc: Rpc[RequestT, ReplyT],
        request: RequestT,
        timeout_s: float | None = None,
    ) -> Result[ReplyT, Failure]:
        """Fails: nothing can be sent."""
        return Failed(unavailable(self._host, "no address", sent=False))


class PeerDirectory:
    """The clients of all peers; made by ``connect``."""

    def __init__(
        self,
        tls: TlsSettings | None,
        metrics: Metrics,
        limits: PoolLimits,
    ) -> None:
        self._is_plain = tls is None
        self._context = tls_contexts.client_context(tls) if tls else None
        self._metrics = metrics
        self._limits = limits
        self._client_by_host: dict[str, PeerClient] = {}

    def client(self, host: str) -> PeerCalls:
        """See ``Peers.client``."""
        return self._client_by_host.get(host) or _UnknownPeer(host)

    def set_peers(self, peers: Iterable[PeerSettings]) -> None:
        """Takes the hosts of changed settings; unchanged ones keep theirs.

        Args:
            peers: Every other host.

        Raises:
            MasticdaleError: INVALID_SETTINGS, where plaintext is not allowed;
                nothing is changed then.
        """
        wanted = list(peers)
        if self._is_plain:
            for peer in wanted:
                require_loopback(peer.address)
        kept = self._client_by_host
        self._client_by_host = {p.name: self._client(p, kept) for p in wanted}
        for host, client in kept.items():
            if self._client_by_host.get(host) is not client:
                client.close()

    async def close_idle(self) -> None:
        """Closes connections that were idle for too long."""
        for client in self._client_by_host.values():
            client.close_idle()

    def close(self) -> None:
        """Closes all connections."""
        for client in self._client_by_host.values():
            client.close()

    def state(self) -> JsonValue:
        """Returns what the state dump shows."""
        return {
            host: client.state()
            for host, client in self._client_by_host.items()
        }

    def _client(
        self, peer: PeerSettings, kept: dict[str, PeerClient]
    ) -> PeerClient:
        client = kept.get(peer.name)
        if client is not None and client.peer == peer:
            return client
        return PeerClient(peer, self._context, self._limits, self._metrics)


def connect(
    peers: Iterable[PeerSettings],
    tls: TlsSettings | None,
    metrics: Metrics,
    timers: TimerService,
    limits: PoolLimits | None = None,
) -> PeerDirectory:
    """Returns the clients of the peers; connections open on first use.

    Args:
        peers: Every other host.
        tls: Certificates; None for plaintext, on loopback only.
        metrics: Where failed calls are counted.
        timers: Closes idle connections now and then.
        limits: Bounds for each peer; the defaults where None.

    Raises:
        MasticdaleError: INVALID_SETTINGS, where plaintext is not allowed or a
            certificate cannot be used.
    """
    limits = limits or PoolLimits()
    directory = PeerDirectory(tls, metrics, limits)
    directory.set_peers(peers)
    timers.subscribe(
        Subscription(_IDLE_TIMER, limits.idle_s / 2, directory.close_idle)
    )
    return directory
