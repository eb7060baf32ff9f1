"""Clients of the peers, each with its own connection pools."""

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
    """Client of one peer; heartbeats use a separate connection."""

    def __init__(
        self,
        peer: PeerSettings,
        context: ssl.SSLContext | None,
        limits: PoolLimits,
        metrics: Metrics,
        clock: Clock = time.monotonic,
    ) -> None:
        super().__init__(peer, context, limits, metrics, PEER, clock)
        # In a pool exhausted by long reads heartbeats would time out, and a
        # busy peer would be considered dead.
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
        """Closes connections that exceeded the idle timeout."""
        super().close_idle()
        self._heartbeat_pool.close_idle(self._limits.idle_s)

    def close(self) -> None:
        """Closes both pools."""
        super().close()
        self._heartbeat_pool.close()

    def state(self) -> JsonValue:
        """Returns the peer's part of the state dump."""
        return {
            "address": str(self.peer.address),
            "calls": self._pool.state(),
            "heartbeats": self._heartbeat_pool.state(),
        }

    def _on_timeout(self, rpc: Rpc[RequestT, ReplyT]) -> None:
        if rpc is HEARTBEAT:
            # A firewall or NAT between the hosts may have dropped the state
            # of all open connections. Otherwise each idle one would make one
            # call wait for its whole timeout.
            self._pool.close_idle(0.0)


class _UnknownPeer(PeerCalls):
    """Client of a host that is not in the settings."""

    def __init__(self, host: str) -> None:
        self._host = host

    async def call(
        self,
        rpc: Rpc[RequestT, ReplyT],
        request: RequestT,
        timeout_s: float | None = None,
    ) -> Result[ReplyT, Failure]:
        """Returns a failure; the host has no known address."""
        return Failed(
            unavailable(self._host, "not in the settings", sent=False)
        )


class PeerDirectory:
    """The clients of all peers; created by ``connect``."""

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
        """Replaces the set of peers; unchanged peers keep their client.

        Args:
            peers: Every other host in the current settings.

        Raises:
            MasticdaleError: INVALID_SETTINGS if plaintext is not allowed for
                a peer; no client is changed in that case.
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
        """Closes connections that exceeded the idle timeout."""
        for client in self._client_by_host.values():
            client.close_idle()

    def close(self) -> None:
        """Closes all connections."""
        for client in self._client_by_host.values():
            client.close()

    def state(self) -> JsonValue:
        """Returns the state dump of all clients by host name."""
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
    """Creates the clients of the peers; connections open on first use.

    Args:
        peers: Every other host.
        tls: Certificates; None for plaintext, on loopback only.
        metrics: Receives the metrics of failed calls.
        timers: Runs the periodic closing of idle connections.
        limits: Limits of each peer's pool; None for the defaults.

    Raises:
        MasticdaleError: INVALID_SETTINGS if plaintext is not allowed for a
            peer or a certificate file cannot be loaded.
    """
    limits = limits or PoolLimits()
    directory = PeerDirectory(tls, metrics, limits)
    directory.set_peers(peers)
    timers.subscribe(
        Subscription(_IDLE_TIMER, limits.idle_s / 2, directory.close_idle)
    )
    return directory
