"""Calls to peers over pools of connections."""

import ssl
import time
from collections.abc import Iterable

from returns.result import Failure as Failed
from returns.result import Result

from masticdale_common import (
    Failure,
    JsonValue,
    Metrics,
    Subscription,
    TimerService,
)
from masticdale_peers.interfaces import PeerCalls
from masticdale_peers.messages import (
    HEARTBEAT,
    PEER,
    READ,
    ReadRequest,
)
from masticdale_rpc import tls as tls_contexts
from masticdale_rpc.client import (
    Clock,
    Pool,
    PoolLimits,
    RpcClient,
    unavailable,
)
from masticdale_rpc.contracts import ReplyT, RequestT, Rpc
from masticdale_rpc.settings import PeerSettings, TlsSettings, require_loopback

_MS = 1000.0
_IDLE_TIMER = "peer-idle-connections"


class PeerClient(RpcClient, PeerCalls):
    """Calls to one peer; heartbeats have a connection of their own."""

    def __init__(
        self,
        peer: PeerSettings,
        context: ssl.SSLContext | None,
        limits: PoolLimits,
        metrics: Metrics,
        clock: Clock = time.monotonic,
    ) -> None:
        super().__init__(peer, context, limits, metrics, PEER, clock)
        # Behind long reads in a full pool a heartbeat would time out, and a
        # busy peer would be taken for a dead one.
        self._heartbeat_pool = Pool(peer, context, 1, clock, PEER)

    async def call(
        self,
        rpc: Rpc[RequestT, ReplyT],
        request: RequestT,
        timeout_s: float | None = None,
    ) -> Result[ReplyT, Failure]:
        """See ``PeerCalls.call``."""
        pool = self._heartbeat_pool if rpc is HEARTBEAT else self._pool
        if rpc is READ and isinstance(request, ReadRequest):
            timeout_s = timeout_s or self._limits.call_timeout_s
            timeout_s += request.wait_ms / _MS
        return await self._call(pool, rpc, request, timeout_s)

    def close_idle(self) -> None:
        """Closes the connections that were idle for too long."""
        super().close_idle()
        self._heartbeat_pool.close_idle(self._limits.idle_s)

    def close(self) -> None:
        """Closes the connections."""
        super().close()
        self._heartbeat_pool.close()

    def state(self) -> JsonValue:
        """Returns what the state dump shows."""
        return {
            "address": str(self.peer.address),
            "calls": self._pool.state(),
            "heartbeats": self._heartbeat_pool.state(),
        }

    def _on_timeout(self, rpc: Rpc[RequestT, ReplyT]) -> None:
        if rpc is HEARTBEAT:
            # What lies between the hosts may have lost track of all
            # connections that are open now. Each would cost one call its
            # whole timeout to find out.
            self._pool.close_idle(0.0)


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
        self._is_plaintext = tls is None
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
        if self._is_plaintext:
            for peer in wanted:
                require_loopback(peer.address)
        previous = self._client_by_host
        self._client_by_host = {
            p.name: self._reuse_or_create(p, previous) for p in wanted
        }
        for host, client in previous.items():
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

    def _reuse_or_create(
        self, peer: PeerSettings, previous: dict[str, PeerClient]
    ) -> PeerClient:
        client = previous.get(peer.name)
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
