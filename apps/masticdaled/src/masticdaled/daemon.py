"""Assembles, starts and stops the components of the daemon."""

import asyncio
import gc

import litestar
from returns.result import Success

from masticdale_common import (
    ConnectionBudget,
    Metrics,
    StateDump,
    Subscription,
    TimerService,
    limits_of_host,
    logs,
)
from masticdale_config import ActiveConfig, ConfigStore
from masticdale_config.messages import Readiness
from masticdale_peers import (
    Address,
    Heartbeat,
    MembershipChange,
    PeerDirectory,
    PoolLimits,
    connect,
    join,
    new_incarnation,
    serve,
)
from masticdale_platform.client import PlatformClient
from masticdale_programs import CopyStore, ShardSettings
from masticdale_rpc import RpcServer
from masticdaled.callers.forwarding import OperationForwarder
from masticdaled.callers.limits import WorkspaceLimiter
from masticdaled.callers.listener import CallersContext, create_callers_app
from masticdaled.cluster import Cluster
from masticdaled.execution.executor import UpstreamExecutor
from masticdaled.execution.tickets import TicketClient
from masticdaled.execution.tool_pauses import PrefixOffloader
from masticdaled.following import ConfigFollower
from masticdaled.handler import DaemonPeerHandler, PeerServices
from masticdaled.http_servers import HttpServer, create_http_server
from masticdaled.operators.access import create_access
from masticdaled.operators.context import DaemonOperatorContext
from masticdaled.operators.listener import create_operator_app
from masticdaled.operators.programs import ProgramAdmin
from masticdaled.replicas.crash_suspects import DigestHome
from masticdaled.replicas.homes import ReplicaHomes
from masticdaled.replicas.orders import OrderDispatcher
from masticdaled.settings import DaemonSettings
from masticdaled.shards.copies import CopyService, PeerCopyHolders
from masticdaled.shards.orphans import OrphanSweeper
from masticdaled.shards.owners import OwnedShards
from masticdaled.upstream_clients import UpstreamClients

_PEER_CONNECTIONS = 256
_SHARDS_PERIOD_S = 0.5
_HOMES_PERIOD_S = 1.0
_CONFIG_PERIOD_S = 0.25
_HOST_LIST_PERIOD_S = 1.0
_QUARANTINE_PERIOD_S = 1.0
_ORPHANS_PERIOD_S = 5.0
_STARTUP_POLL_S = 0.05


class Daemon:
    """The components of one host; use ``create_daemon`` to create it."""

    def __init__(self, settings: DaemonSettings) -> None:
        self.settings = settings
        self.metrics = Metrics()
        self.timers = TimerService()
        self.state_dump = StateDump()
        self.connection_budget = ConnectionBudget(
            limits_of_host(settings.memory_mb, settings.max_descriptors)
        )
        self.incarnation = new_incarnation()
        self.in_force = ActiveConfig()
        self.store = PlatformClient(
            settings.platform_url, settings.platform_timeout_s, self.metrics
        )
        self.config_store = ConfigStore(self.store, self.in_force)
        self.peers: PeerDirectory = connect(
            settings.other_peers,
            settings.tls,
            self.metrics,
            self.timers,
            PoolLimits(connections=_PEER_CONNECTIONS),
        )
        self.membership = join(
            self._own_heartbeat,
            [peer.name for peer in settings.other_peers],
            self.peers,
            self.timers,
        )
        self.cluster = Cluster(settings.host, self.membership, self.peers)
        self.clients = UpstreamClients(self.metrics)
        self.ticket_client = TicketClient(self.cluster)
        self.homes = ReplicaHomes(
            self.cluster,
            self.in_force,
            self.clients,
            OrderDispatcher(self.store, self.incarnation, self.metrics),
            self.metrics,
        )
        self.executor = UpstreamExecutor(
            self.cluster,
            self.in_force,
            self.clients,
            self.ticket_client,
            self.homes,
            PrefixOffloader(self.metrics),
            self.metrics,
        )
        self.owned_shards = OwnedShards(
            self.cluster,
            self.store,
            self.executor,
            self.in_force,
            _shard_settings(settings),
            self.incarnation,
            self.metrics,
            PeerCopyHolders(self.cluster),
        )
        self.digest_home = DigestHome(self.store)
        self.copy_service = CopyService(CopyStore())
        self.program_admin = ProgramAdmin(settings.host, self.owned_shards)
        self.follower = ConfigFollower(
            self.cluster, self.store, self.in_force, self.metrics
        )
        self.orphan_sweeper = OrphanSweeper(
            self.cluster, self.homes, self.clients, self.metrics
        )
        self.forwarder = OperationForwarder(self.cluster, self.metrics)
        self.handler = DaemonPeerHandler(self._peer_services)
        self._leaving = False
        self._started = False
        self._peer_server: RpcServer | None = None
        self._http_servers: list[HttpServer] = []
        self._http_tasks: list[asyncio.Task[None]] = []

    def is_ready(self) -> bool:
        """Returns whether the load balancer should send callers here."""
        return self._started and self.follower.is_loaded and not self._leaving

    async def start(self) -> None:
        """Joins the cluster, loads the configuration, then serves."""
        settings = self.settings
        known = frozenset(peer.name for peer in settings.other_peers)
        self.cluster.attach(self.handler, known)
        self._peer_server = await serve(
            self.handler, settings.peer_listener, settings.tls
        )
        self.membership.subscribe(self._on_members_changed)
        self.membership.subscribe_pause(self._on_host_paused)
        self.membership.start()
        await self._exchange_heartbeats()
        await self.follower.start()
        # A full collection traverses every declaration and stalls the event
        # loop. Freezing exempts the objects loaded so far, which are permanent.
        gc.collect()
        gc.freeze()
        await self._refresh_host_list()
        self._register_dumps()
        self._subscribe_timers()
        await self._serve_http(settings.operators, self._operators_app())
        await self._serve_http(settings.callers, self._callers_app())
        self._started = True
        logs.write("started", incarnation=self.incarnation)

    async def stop(self) -> None:
        """Stops gracefully, without aborting requests.

        The host first reports unready, so that the load balancer stops sending
        callers, and ends each connection with its next response. Then its
        shards are handed off as their calls finish, and the HTTP servers
        finish their requests, including those of programs owned by other
        hosts.
        """
        logs.write("stopping")
        stop = self.settings.stop
        self._leaving = True
        for server in self._http_servers:
            server.end_kept_connections()
        await asyncio.sleep(stop.unready_s)
        await self.owned_shards.stop(stop.finish_s)
        for server in self._http_servers:
            server.should_exit = True
        await asyncio.gather(*self._http_tasks)
        await self._close()
        logs.write("stopped")

    async def _close(self) -> None:
        await self.timers.close()
        await self.follower.close()
        await self.membership.close()
        await self.homes.close()
        await self.executor.close()
        if self._peer_server is not None:
            await self._peer_server.close(1.0)
        self.peers.close()
        await self.clients.close()
        await self.store.close()

    async def _exchange_heartbeats(self) -> None:
        """Exchanges one round of heartbeats.

        Without it, a starting host would see no other host and assign every
        shard to itself.
        """
        names = [peer.name for peer in self.settings.other_peers]
        await asyncio.gather(
            *(self.membership.send_heartbeat(name) for name in names)
        )

    async def _refresh_host_list(self) -> None:
        outcome = await self.store.hosts()
        if not isinstance(outcome, Success):
            return
        listed = outcome.unwrap()
        self.membership.set_listed(listed)
        self.homes.set_leaving(item.name for item in listed if item.leaving)

    def _own_heartbeat(self) -> Heartbeat:
        return Heartbeat(
            host=self.settings.host,
            domain=self.settings.domain,
            incarnation=self.incarnation,
            revision=self.in_force.number,
            leaving=self._is_leaving(),
        )

    def _is_leaving(self) -> bool:
        # The membership may call this before __init__ has set _leaving.
        return getattr(self, "_leaving", False)

    def _on_members_changed(self, change: MembershipChange) -> None:
        self.homes.members_changed(change)
        self.digest_home.members_changed(change)
        self.metrics.gauge("hosts_live", len(change.members))

    def _peer_services(self) -> PeerServices:
        return PeerServices(
            self.membership,
            self.owned_shards,
            self.homes,
            self.ticket_client,
            self.digest_home,
            self.program_admin,
            self.copy_service,
            self.in_force,
        )

    def _register_dumps(self) -> None:
        self.state_dump.register("membership", self.membership.state)
        self.state_dump.register("config", self.in_force.dump)
        self.state_dump.register("shards", self.owned_shards.dump)
        self.state_dump.register("homes", self.homes.dump)
        self.state_dump.register("quarantine", self.digest_home.dump)
        self.state_dump.register("peers", self.peers.state)
        self.state_dump.register("callers_budget", self.connection_budget.state)
        self.state_dump.register("timers", lambda: list(self.timers.names()))

    def _subscribe_timers(self) -> None:
        rows = (
            ("owners", _SHARDS_PERIOD_S, self.owned_shards.tick),
            ("takeovers", _SHARDS_PERIOD_S, self.owned_shards.open_assigned),
            ("homes", _HOMES_PERIOD_S, self.homes.tick),
            ("config", _CONFIG_PERIOD_S, self.follower.tick),
            ("list", _HOST_LIST_PERIOD_S, self._refresh_host_list),
            ("suspects", _QUARANTINE_PERIOD_S, self.digest_home.tick),
            ("orphans", _ORPHANS_PERIOD_S, self.orphan_sweeper.sweep),
        )
        for name, period_s, callback in rows:
            self.timers.subscribe(Subscription(name, period_s, callback))

    def _callers_app(self) -> litestar.Litestar:
        return create_callers_app(
            CallersContext(
                self.forwarder,
                self.in_force,
                WorkspaceLimiter(self.cluster, self.in_force),
                self,
                self.settings.requests,
                self.metrics,
            )
        )

    def _operators_app(self) -> litestar.Litestar:
        context = DaemonOperatorContext(
            self.settings.host,
            self.config_store,
            self.in_force,
            self.metrics,
            self.state_dump,
            self.cluster,
            self.owned_shards,
            self.clients,
            self.digest_home,
            self._readiness,
        )
        access = create_access(self.settings.operator_tokens)
        return create_operator_app(context, access)

    def _readiness(self) -> Readiness:
        if self._leaving:
            return Readiness(False, "stopping")
        if not self.follower.is_loaded:
            return Readiness(False, "the configuration is not loaded yet")
        return Readiness(self._started, "" if self._started else "starting")

    async def _on_host_paused(self, seconds: float) -> None:
        self.metrics.count("host_pauses_total")
        logs.write("checking_shards_after_pause", seconds=round(seconds, 3))
        await self.owned_shards.check_ownership()

    async def _serve_http(
        self, address: Address, app: litestar.Litestar
    ) -> None:
        server = create_http_server(
            app,
            address,
            self.settings.stop.finish_s,
            self.connection_budget,
        )
        self._http_servers.append(server)
        self._http_tasks.append(asyncio.create_task(server.serve()))
        while not server.started:
            await asyncio.sleep(_STARTUP_POLL_S)


def create_daemon(settings: DaemonSettings) -> Daemon:
    """Creates a daemon without starting it.

    Raises:
        MasticdaleError: INVALID_SETTINGS, if TLS files or addresses are not
            usable.
    """
    return Daemon(settings)


def _shard_settings(settings: DaemonSettings) -> ShardSettings:
    programs = settings.programs
    return ShardSettings(
        unread_cancel_s=programs.unread_cancel_s,
        idle_end_s=programs.idle_end_s,
        retention_s=programs.retention_s,
        commit_wait_s=programs.commit_wait_s,
    )
