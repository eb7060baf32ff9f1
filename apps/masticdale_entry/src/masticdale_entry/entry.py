"""The entry host process: wiring, lifecycle and graceful shutdown."""

import asyncio
import contextlib
import time
import uuid
from collections.abc import Callable

from masticdale_adapter import (
    CONFIGURATION_KEY,
    CONFIGURATION_PREFIX,
    READINESS_PATH,
    REPLICA_PREFIX,
    PlatformHeaderCodec,
    PlatformObjectStore,
    read_configuration,
    read_replica,
)
from masticdale_common import (
    ConnectionBudget,
    JsonValue,
    Metrics,
    StateDump,
    Subscription,
    TimerService,
    hashing,
    limits_of_host,
    logs,
)
from masticdale_entry.crash_reports import (
    EXPIRY_INTERVAL_S,
    FOLLOW_WAIT_S,
    REPORT_PREFIX,
    WATCH_DEBOUNCE_S,
    CrashReports,
)
from masticdale_entry.crash_trials import StoredTrials
from masticdale_entry.histories import EntryHistories
from masticdale_entry.peers import PeerClients
from masticdale_entry.settings import Settings
from masticdale_entry.status import StatusServer, dump_page, metrics_page
from masticdale_entry.stream_holds import StoredHold
from masticdale_entry.watched_state import ActiveConfiguration, ReplicaList
from masticdale_entry.watching import Watcher, WatchTarget
from masticdale_gateway import (
    CrashDependencies,
    Relay,
    RelayDependencies,
    StopTimes,
    close_listener,
    listen,
)
from masticdale_ledger import (
    LEASE_CHECK_INTERVAL_S,
    LEDGER,
    LEDGER_SHARD_COUNT,
    RECONCILE_INTERVAL_S,
    REPLICATION_INTERVAL_S,
    SHARD_PREFIX,
    CrashNotices,
    FallbackStore,
    Identity,
    Lease,
    LedgerClient,
    LedgerService,
    LiveHosts,
    ProgramRecords,
    ShardClaims,
    ShardMap,
    ShardOwner,
    ShardReconciler,
    SharedOrigins,
    SharedWatches,
    StandbyCopies,
    StandbyFailover,
)
from masticdale_platform import CheckIntervals, WatchBatch
from masticdale_routing.assignments import TurnAssignments
from masticdale_routing.crashes import CrashEvidence, Suspicion
from masticdale_routing.fleet import Fleet, ListState
from masticdale_routing.versions import VersionHistory
from masticdale_rpc import Address, RpcServer

# Size of the accept queue. It must hold a burst of some hundred callers, since
# a connection that finds it full is retried only after a second.
_BACKLOG = 1024
# Close to the longest watch that the store allows, since each watch is a billed
# call. TCP keep-alive detects a dead connection sooner.
_WATCH_TIMEOUT_S = 28.0
# How often waiting watches are checked, in seconds. A configuration and a
# replica that leaves must take effect within two seconds; old owners of shards
# and old reports only cost calls.
_CHECK_INTERVALS = CheckIntervals(
    default_s=4.0,
    by_prefix={CONFIGURATION_PREFIX: 1.0, REPLICA_PREFIX: 1.0},
)
# Pause after a change of the list of replicas. Short, because a replica must
# get no new work two seconds after it announces that it drains.
_REPLICAS_DEBOUNCE_S = 0.3
# Interval at which a host whose watches are shared checks that the store
# responds. If it does not, the hosts that share them must fail over early
# enough for a change to take effect within two seconds.
_STORE_CHECK_INTERVAL_S = 0.5
# Time from SIGTERM until the balancer sends no more connections: it probes
# readiness every second and removes a host after two failures.
_BALANCER_DRAIN_S = 2.6
# The part of the grace period after which no new connections are accepted, so
# that their requests can be answered before it ends.
_ACCEPT_SHARE = 0.5
# Time from SIGTERM after which requests that may outlast the grace are refused.
# The balancer sends no more callers by then, and what is cut off may have run.
_LATE_REQUESTS_S = 3.0
# Time from the last accepted connection until idle ones are closed: some times
# the way between a caller and this host.
_LAST_REQUESTS_S = 0.1
# The parts of the grace period that are reserved for closing down: to give
# callers whose requests are unfinished their final responses, to send the last
# settlements, and to end.
_FINAL_RESPONSES_S = 0.3
_SETTLEMENTS_S = 0.3
_EXIT_S = 0.2
_CLOSE_IDLE_INTERVAL_S = 5.0
_PURGE_INTERVAL_S = 60.0
_POLL_INTERVAL_S = 0.05
# Interval at which a watch source deletes crash reports of hosts that are gone
# and old trials.
_DELETE_ABANDONED_INTERVAL_S = 600.0
# Interval at which the versions of replicas are compared with what this host
# still knows of the list, in seconds.
_VERSIONS_INTERVAL_S = 0.5
# Interval at which the ages of watched state are measured, in seconds.
_WATCH_AGES_INTERVAL_S = 1.0
# Workspaces in the state dump.
_MAX_DUMPED_USAGES = 100


class EntryHost:
    """The process of one entry host."""

    def __init__(self, settings: Settings) -> None:
        self._settings = settings
        self._metrics = Metrics()
        self._timers = TimerService()
        self._dump = StateDump()
        self._callers_budget = ConnectionBudget(
            limits_of_host(settings.memory_mb, settings.max_descriptors)
        )
        self._tasks: list[asyncio.Task[None]] = []
        self._status_servers: list[asyncio.Server] = []
        self._listener: asyncio.Server | None = None
        self._is_stopping = False
        self._is_cut_off = False
        incarnation = f"{time.time_ns():x}-{uuid.uuid4().hex[:8]}"
        peers_bind = _required(settings.peers)
        peers_address = _required(settings.effective_peers_address)
        identity = Identity(
            settings.host,
            incarnation,
            str(peers_address.ip),
            peers_address.port,
            settings.failure_domain,
        )
        live_hosts = LiveHosts(identity.host_address)
        self._direct_store = PlatformObjectStore(
            str(settings.store.ip), settings.store.port, self._metrics
        )
        self._shard_map = ShardMap()
        self._peer_clients = PeerClients(
            self._shard_map, settings, self._metrics
        )
        watch_sources = self._peer_clients.watch_sources()
        shared = None if watch_sources else SharedWatches(_CHECK_INTERVALS)
        self._store = FallbackStore(
            self._direct_store,
            self._peer_clients.all,
            self._metrics,
            watch_sources,
            shared,
            self._direct_store.ping,
            {REPORT_PREFIX: FOLLOW_WAIT_S},
            _CHECK_INTERVALS,
        )
        self._fleet = Fleet(settings.failure_domain)
        self._versions = VersionHistory(
            self._fleet,
            lambda: (
                self._configuration.current.table
                if self._configuration.current
                else None
            ),
            lambda: not self._store.is_store_unreachable,
            lambda: self._store.last_gap_at(REPLICA_PREFIX),
        )
        self._stream_hold = StoredHold(self._store, self._metrics)
        self._origins = SharedOrigins(
            self._peer_clients,
            self._versions,
            self._metrics,
            self._stream_hold,
            lambda: self._store.is_current(REPLICA_PREFIX),
        )
        self._crash_evidence = CrashEvidence()
        crash_notices = CrashNotices(
            settings.host, self._crash_evidence, self._peer_clients, live_hosts
        )
        self._crash_reports = CrashReports(
            self._store,
            self._crash_evidence,
            settings.host,
            crash_notices.send,
        )
        self._crash_trials = StoredTrials(self._store)
        self._is_watch_source = shared is not None
        self._configuration = ActiveConfiguration(
            CONFIGURATION_KEY, read_configuration
        )
        self._replicas = ReplicaList(REPLICA_PREFIX, read_replica, self._fleet)
        self._lease = Lease(
            is_store_unreachable=lambda: self._store.is_store_unreachable
        )
        records = ProgramRecords(self._store, incarnation)
        self._owner = ShardOwner(
            records,
            self._lease,
            self._metrics,
            TurnAssignments(self._fleet),
        )
        self._ledger = LedgerClient(
            self._shard_map,
            self._owner,
            identity.host_address,
            self._peer_clients.client,
            self._metrics,
            self._fleet.failures,
        )
        self._copies = StandbyCopies()
        claims = ShardClaims(
            identity,
            self._store,
            records,
            self._shard_map,
            self._owner,
            self._lease,
            self._ledger,
            self._peer_clients,
            live_hosts,
            settings.usage_tolerance,
        )
        failover = StandbyFailover(
            identity,
            self._shard_map,
            self._owner,
            self._lease,
            self._copies,
            claims,
            self._peer_clients,
        )
        self._reconciler = ShardReconciler(
            identity,
            self._store,
            self._shard_map,
            self._owner,
            self._lease,
            self._ledger,
            claims,
            failover,
            self._peer_clients,
            lambda: self._store.is_store_unreachable,
            live_hosts,
        )
        service = LedgerService(
            self._owner,
            self._reconciler,
            failover,
            self._copies,
            self._direct_store,
            live_hosts,
            shared,
            lambda: self._store.is_directly_reachable,
            self._fleet.failures,
            crash_notices,
            self._origins,
        )
        self._ledger.admit_locally = service.admit
        self._peer_server = RpcServer(service, peers_bind, LEDGER)
        self._histories = EntryHistories(
            settings,
            self._metrics,
            self._start_watch,
            _WATCH_TIMEOUT_S,
            self._store.list,
        )
        self._relay = Relay(
            RelayDependencies(
                configuration=lambda: self._configuration.current,
                fleet=self._fleet,
                ledger=self._ledger,
                codec=PlatformHeaderCodec(),
                metrics=self._metrics,
                is_configuration_fresh=lambda: (
                    not self._store.is_store_unreachable
                ),
                crashes=CrashDependencies(
                    self._crash_evidence, self._crash_trials
                ),
                history=self._histories,
                origins=self._origins,
                budget=self._callers_budget,
                list_state=lambda: ListState(
                    self._store.last_position(REPLICA_PREFIX),
                    self._store.age_s(REPLICA_PREFIX),
                ),
            )
        )
        self._register_dumps()

    @property
    def is_ready(self) -> bool:
        """Whether the balancer may route callers to this host."""
        return (
            not self._is_stopping
            and self._configuration.current is not None
            and self._replicas.is_loaded
            and self._shard_map.is_loaded
            and self._crash_reports.is_loaded
        )

    @property
    def owned_shards(self) -> list[int]:
        """The ledger shards that this host owns."""
        return sorted(self._owner.owned())

    @property
    def replica_ids(self) -> list[str]:
        """The ids of all known replicas."""
        return sorted(r.id for r in self._fleet.replicas())

    @property
    def has_lost_store(self) -> bool:
        """Whether the store does not answer, also not through other hosts."""
        return self._store.is_store_unreachable

    @property
    def crash_suspects(self) -> dict[str, Suspicion]:
        """The contents under which replicas have ended, by their digest."""
        return self._crash_evidence.suspicions()

    @property
    def remembered_streams(self) -> int:
        """Number of streams and sessions remembered for other hosts."""
        return self._origins.remembered

    def shard_of(self, program_id: str) -> int:
        """Returns the ledger shard of a program."""
        return hashing.shard_of(program_id, LEDGER_SHARD_COUNT)

    async def abort(self) -> None:
        """Stops immediately, without draining or handing over shards."""
        await self._timers.close()
        for task in self._tasks:
            task.cancel()
        self._relay.abort()
        await self._histories.close()
        await self._stream_hold.close()
        await self._peer_server.close(0.0)
        for server in self._status_servers:
            server.close()
        if self._listener is not None:
            self._listener.close()

    async def run(self, stop: asyncio.Event) -> None:
        """Serves until ``stop`` is set, then shuts down gracefully."""
        await self._listen()
        self._start_watch(
            WatchTarget(
                CONFIGURATION_PREFIX,
                _WATCH_TIMEOUT_S,
                self._apply_configuration,
            )
        )
        self._start_watch(
            WatchTarget(
                REPLICA_PREFIX,
                _WATCH_TIMEOUT_S,
                self._apply_replicas,
                _REPLICAS_DEBOUNCE_S,
            )
        )
        self._start_watch(
            WatchTarget(SHARD_PREFIX, _WATCH_TIMEOUT_S, self._apply_shards)
        )
        self._start_watch(
            WatchTarget(
                REPORT_PREFIX,
                _WATCH_TIMEOUT_S,
                self._crash_reports.apply,
                WATCH_DEBOUNCE_S,
            )
        )
        self._tasks.append(asyncio.create_task(self._ledger.run()))
        self._tasks.append(asyncio.create_task(self._crash_reports.run()))
        for name, period_s, callback in (
            ("shards", RECONCILE_INTERVAL_S, self._reconciler.reconcile),
            ("lease", LEASE_CHECK_INTERVAL_S, self._reconciler.renew_lease),
            ("copies", REPLICATION_INTERVAL_S, self._owner.replicate_changes),
            ("store", _STORE_CHECK_INTERVAL_S, self._store.check),
            ("idle-connections", _CLOSE_IDLE_INTERVAL_S, self._close_idle),
            (
                "old-programs",
                _PURGE_INTERVAL_S,
                self._owner.evict_idle_programs,
            ),
            (
                "crash-reports",
                EXPIRY_INTERVAL_S,
                self._crash_reports.expire,
            ),
            ("versions", _VERSIONS_INTERVAL_S, self._review_versions),
            ("watch-ages", _WATCH_AGES_INTERVAL_S, self._measure_watch_ages),
            (
                "abandoned-reports",
                _DELETE_ABANDONED_INTERVAL_S,
                self._delete_abandoned_reports,
            ),
        ):
            self._timers.subscribe(Subscription(name, period_s, callback))
        await stop.wait()
        await self._stop()

    async def _listen(self) -> None:
        settings = self._settings
        await self._peer_server.listen(None)
        readiness = _required(settings.readiness)
        callers = _required(settings.callers)
        page_by_path = {READINESS_PATH: self._readiness}
        self._status_servers.append(
            await StatusServer(page_by_path, self._callers_budget).listen(
                str(readiness.ip), readiness.port
            )
        )
        if settings.metrics_port is not None:
            page_by_path = {
                "/metrics": metrics_page(self._metrics),
                "/state": dump_page(self._dump),
            }
            self._status_servers.append(
                await StatusServer(page_by_path, self._callers_budget).listen(
                    str(callers.ip), settings.metrics_port
                )
            )
        self._listener = await listen(
            self._relay, str(callers.ip), callers.port, _BACKLOG
        )
        logs.write("listening", address=str(callers))

    def _readiness(self) -> tuple[int, bytes]:
        now = asyncio.get_running_loop().time()
        is_cut_off = self._histories.is_cut_off(now)
        if is_cut_off != self._is_cut_off:
            self._is_cut_off = is_cut_off
            logs.write("storage_hosts_reachable", reachable=not is_cut_off)
        return (200 if self.is_ready and not is_cut_off else 503), b""

    def _start_watch(self, target: WatchTarget) -> None:
        watcher = Watcher(
            self._store,
            target,
            self._store.wait_before_retry,
            lambda: self._store.last_outage_at,
        )
        self._tasks.append(asyncio.create_task(watcher.run()))

    def _apply_configuration(
        self, batch: WatchBatch, after_outage: bool
    ) -> None:
        self._configuration.apply(batch, after_outage)
        self._histories.follow(self._configuration.current)

    def _apply_replicas(self, batch: WatchBatch, after_outage: bool) -> None:
        self._replicas.apply(batch, after_outage)
        self._update_versions()

    def _update_versions(self) -> None:
        self._versions.update(asyncio.get_running_loop().time())
        self._origins.review()

    async def _review_versions(self) -> None:
        if self._replicas.is_loaded:
            self._update_versions()

    def _apply_shards(self, batch: WatchBatch, after_outage: bool) -> None:
        del after_outage
        is_first = not self._shard_map.is_loaded
        self._shard_map.apply(batch)
        if is_first and self._shard_map.is_loaded:
            # After the loss of all hosts, programs wait until shards are
            # claimed; the timer would run this only a period later.
            self._tasks.append(
                asyncio.create_task(self._reconciler.reconcile())
            )

    async def _measure_watch_ages(self) -> None:
        for prefix in (CONFIGURATION_PREFIX, REPLICA_PREFIX, SHARD_PREFIX):
            age_s = self._store.age_s(prefix)
            self._metrics.gauge("watch_age_seconds", age_s, prefix=prefix)

    async def _close_idle(self) -> None:
        self._relay.pool.close_idle()
        self._peer_clients.close_idle()
        self._histories.close_idle()

    async def _delete_abandoned_reports(self) -> None:
        if not self._is_watch_source:
            return
        await self._crash_reports.delete_abandoned()
        await self._crash_trials.delete_abandoned()

    async def _stop(self) -> None:
        started_at = time.monotonic()
        exit_at = started_at + self._settings.grace_s - _EXIT_S
        settle_at = exit_at - _SETTLEMENTS_S
        give_up_at = settle_at - _FINAL_RESPONSES_S
        self._is_stopping = True
        self._relay.is_stopping = True
        now = asyncio.get_running_loop().time()
        self._relay.stop = StopTimes(
            now + _LATE_REQUESTS_S, now + give_up_at - started_at
        )
        self._ledger.is_stopping = True
        self._copies.is_stopping = True
        logs.write("stopping", connections=self._relay.count_by_state())
        # Beside the requests: hosts that do not respond delay it for seconds,
        # and callers must have their responses before the process is killed.
        hand_over = asyncio.create_task(self._reconciler.hand_over_all())
        await asyncio.sleep(_BALANCER_DRAIN_S)
        await self._wait_idle(
            started_at + self._settings.grace_s * _ACCEPT_SHARE
        )
        # From here on callers are refused a connection and go elsewhere; what
        # has been read meanwhile is still answered.
        for server in self._status_servers:
            server.close()
        if self._listener is not None:
            await close_listener(self._relay, self._listener)
        logs.write("listener_closed", connections=self._relay.count_by_state())
        # Callers that have just connected are about to send their request.
        await asyncio.sleep(_LAST_REQUESTS_S)
        await self._wait_closed(give_up_at)
        if not self._relay.is_idle:
            logs.write("giving_up", connections=self._relay.count_by_state())
            self._relay.give_up()
            await self._wait_closed(settle_at)
        await self._finish_hand_over(hand_over, settle_at)
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(max(0.0, exit_at - time.monotonic())):
                await self._ledger.flush()
        await self._timers.close()
        for task in self._tasks:
            task.cancel()
        await self._histories.close()
        await self._stream_hold.close()
        await self._peer_server.close(0.0)
        self._relay.log_unanswered()
        logs.write(
            "stopped",
            connections=self._relay.count_by_state(),
            took_s=round(time.monotonic() - started_at, 3),
        )

    async def _finish_hand_over(
        self, hand_over: asyncio.Task[None], deadline: float
    ) -> None:
        remaining_s = max(0.0, deadline - time.monotonic())
        _, pending = await asyncio.wait({hand_over}, timeout=remaining_s)
        if pending:
            hand_over.cancel()
            logs.write("hand_over_cut_off", shards=self.owned_shards)
            return
        error = hand_over.exception()
        if error is not None:
            logs.write("hand_over_failed", error=repr(error))

    async def _wait_idle(self, deadline: float) -> None:
        """Waits until no caller is owed a response, or a monotonic time."""
        await _poll(lambda: self._relay.is_idle, deadline)

    async def _wait_closed(self, deadline: float) -> None:
        """Closes idle connections until none is open, or a monotonic time."""

        def is_closed() -> bool:
            self._relay.close_idle()
            return self._relay.is_idle and not self._relay.connections

        await _poll(is_closed, deadline)

    def _register_dumps(self) -> None:
        self._dump.register(
            "configuration",
            lambda: (
                self._configuration.current.version
                if self._configuration.current
                else None
            ),
        )
        self._dump.register(
            "replicas",
            lambda: {
                state.replica.id: {
                    "service": state.replica.service,
                    "in_flight": state.in_flight,
                    "draining": state.replica.is_draining,
                    "software_version": state.replica.software_version,
                }
                for state in self._fleet.states()
            },
        )
        self._dump.register(
            "shards",
            lambda: {
                str(shard): view.record.model_dump(mode="json")
                for shard, view in self._shard_map.views().items()
            },
        )
        self._dump.register(
            "owned", lambda: [str(n) for n in self._owner.owned()]
        )
        self._dump.register("usage", self._dump_usage)
        self._dump.register("lease_age_s", lambda: self._lease.age_s)
        self._dump.register(
            "remembered_streams", lambda: self.remembered_streams
        )
        self._dump.register(
            "longest_stream_hold_s", lambda: self._stream_hold.known_s
        )
        self._dump.register("connections", self._relay.count_by_state)
        self._dump.register("callers_budget", self._callers_budget.state)
        self._dump.register("history_hosts", self._histories.dump)
        self._dump.register("crash_suspects", self._dump_crash_suspects)

    def _dump_crash_suspects(self) -> JsonValue:
        """Returns the contents under which replicas have ended."""
        now = asyncio.get_running_loop().time()
        return {
            content: {
                "crashes": suspicion.crashes,
                "held": suspicion.is_held,
                "heard_s_ago": round(now - suspicion.heard_at, 1),
            }
            for content, suspicion in self.crash_suspects.items()
        }

    def _dump_usage(self) -> JsonValue:
        """Returns the levels of the workspaces with least left."""
        levels = [
            (number, level)
            for number, shard in self._owner.owned().items()
            for level in shard.usage.levels(shard.now)
        ]
        levels.sort(key=lambda item: item[1].level / max(1, item[1].burst))
        return {
            level.workspace: {
                "shard": number,
                "left": round(level.level, 1),
                "burst": level.burst,
                "rate_per_s": level.rate_per_s,
                "version": level.version,
            }
            for number, level in levels[:_MAX_DUMPED_USAGES]
        }


async def _poll(is_done: Callable[[], bool], deadline: float) -> None:
    """Waits until a condition holds, or a monotonic time."""
    while not is_done():
        remaining_s = deadline - time.monotonic()
        if remaining_s <= 0:
            return
        await asyncio.sleep(min(_POLL_INTERVAL_S, remaining_s))


def _required(address: Address | None) -> Address:
    if address is None:
        raise ValueError(
            "an entry host needs the addresses callers, readiness and peers"
        )
    return address
