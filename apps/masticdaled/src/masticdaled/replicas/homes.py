"""Homes of replicas: admission queues, health checks and prefix indexes."""

import asyncio
import time
from collections.abc import Iterable

from returns.result import Failure as Failed

from masticdale_common import (
    ErrorKind,
    Failure,
    JsonValue,
    Metrics,
    logs,
)
from masticdale_config import ActiveConfig, RenderedEngine
from masticdale_peers import (
    GrantNotice,
    MembershipChange,
    ProbeReply,
    ProbeRequest,
    TicketRelease,
    TicketReply,
    TicketRequest,
)
from masticdale_routing import (
    BranchKey,
    EngineSpeed,
    Granted,
    InFlightSettings,
    PrefixIndex,
    Queued,
    QueueSettings,
    Refused,
    Ticket,
    create_replica_queue,
)
from masticdaled.background import BackgroundTasks
from masticdaled.cluster import Cluster
from masticdaled.replicas.crash_reports import CrashReporter
from masticdaled.replicas.home import (
    MAX_MISSED_HEALTH_CHECKS,
    ReplicaHome,
    prefix_request_of,
    result_of,
    ticket_of,
)
from masticdaled.replicas.observation import observe, read_health
from masticdaled.replicas.orders import OrderDispatcher
from masticdaled.upstream_clients import UpstreamClients

_CHECKS_PER_LOAD_READ = 2
_PROBE_ID = "probe"


class ReplicaHomes:
    """Admits calls to the replicas whose home is this host."""

    def __init__(
        self,
        cluster: Cluster,
        in_force: ActiveConfig,
        clients: UpstreamClients,
        dispatcher: OrderDispatcher,
        metrics: Metrics,
    ) -> None:
        self._dispatcher = dispatcher
        self._order_task_by_replica: dict[str, asyncio.Task[None]] = {}
        self._check_task_by_replica: dict[str, asyncio.Task[None]] = {}
        self._cluster = cluster
        self._in_force = in_force
        self._clients = clients
        self._crash_reporter = CrashReporter(cluster, metrics)
        self._home_by_replica: dict[str, ReplicaHome] = {}
        self._leaving_names: frozenset[str] = frozenset()
        self._background = BackgroundTasks()

    def set_leaving(self, names: Iterable[str]) -> None:
        """Sets the upstreams that the platform's list shows as leaving."""
        self._leaving_names = frozenset(names)
        for home in self._home_by_replica.values():
            self._refresh_leaving(home)

    def is_listed_leaving(self, replica: str) -> bool:
        """Returns whether the platform's list shows an upstream as leaving."""
        return replica in self._leaving_names

    def enqueue(self, request: TicketRequest) -> TicketReply:
        """Queues a call for its replica; idempotent by ticket id."""
        home = self._find_home(request.replica)
        if isinstance(home, Failure):
            return TicketReply(failure=home)
        now = time.monotonic()
        home.request_by_ticket[request.ticket_id] = request
        offer = home.queue.offer(ticket_of(request, now), now)
        self._notify_granted(home)
        if isinstance(offer, Granted):
            self._record_granted(home, request, now)
            return TicketReply(granted=True)
        if isinstance(offer, Queued):
            return TicketReply(
                expected_wait_ms=int(offer.expected_wait_s * 1e3)
            )
        home.request_by_ticket.pop(request.ticket_id, None)
        assert isinstance(offer, Refused)
        return TicketReply(failure=offer.failure)

    async def release(self, release: TicketRelease) -> None:
        """Ends a granted ticket and reports a crash to the digest homes.

        It returns after the report, so that the owner's retry, which asks the
        digest homes for admission, cannot overtake it.
        """
        home = self._home_by_replica.get(release.replica)
        if home is None:
            return
        if release.crashed:
            health = await self._clients.engine(home.engine).health()
            process = health.map(lambda h: h.incarnation).value_or("")
            await self._crash_reporter.report_crash(home, process)
        now = time.monotonic()
        if release.crashed:
            home.circuit.record_failure(now)
            if not home.circuit.allows(now) and not home.is_tripped:
                # If the queue stayed open, every waiting call would fail too
                # and spend a retry.
                home.is_tripped = True
                self._close(home, "fails its calls")
        elif release.generated_tokens:
            home.circuit.record_success()
        request = home.request_by_ticket.pop(release.ticket_id, None)
        home.incarnation_by_ticket.pop(release.ticket_id, None)
        home.queue.finish(release.ticket_id, result_of(release), now)
        if request is not None and release.generated_tokens:
            tokens = release.prompt_tokens + release.generated_tokens
            branch = BranchKey(request.program_id, request.prefix.branch_id)
            home.prefixes.record_finished(branch, tokens, now)
        self._notify_granted(home)

    def withdraw(self, release: TicketRelease) -> None:
        """Removes a ticket whose caller gave up."""
        home = self._home_by_replica.get(release.replica)
        if home is None:
            return
        home.request_by_ticket.pop(release.ticket_id, None)
        home.incarnation_by_ticket.pop(release.ticket_id, None)
        home.queue.withdraw(release.ticket_id, time.monotonic())
        self._notify_granted(home)

    def probe(self, request: ProbeRequest) -> ProbeReply:
        """Returns the expected wait and the cached tokens of a prompt."""
        home = self._find_home(request.replica)
        if isinstance(home, Failure):
            return ProbeReply(failure=home)
        now = time.monotonic()
        cached = home.prefixes.cached_tokens(prefix_request_of(request))
        ticket = Ticket(
            ticket_id=_PROBE_ID,
            origin="",
            workspace=request.workspace,
            program_id=request.program_id,
            priority=request.priority,
            queued_at=now,
            deadline_at=now,
            attained_s=request.attained_s,
            prompt_tokens=request.prompt_tokens,
            uncached_tokens=max(0, request.prompt_tokens - cached),
            max_tokens=request.max_tokens,
        )
        speed = home.queue.speed
        return ProbeReply(
            expected_wait_ms=int(
                home.queue.expected_wait_s(ticket, now) * 1000
            ),
            cached_tokens=cached,
            usable=home.is_usable and home.circuit.allows(now),
            prefill_tokens_per_s=speed.prefill_tokens_per_s,
            decode_tokens_per_s=(
                speed.decode_tokens_per_s if speed.is_learned else 0.0
            ),
            in_flight=home.queue.in_flight(now) + home.queue.waiting,
            residence_ms=home.residence_ms(now),
        )

    def record_released(self, replica: str, program_id: str) -> None:
        """Records that a replica has released the memory of a program."""
        home = self._home_by_replica.get(replica)
        if home is not None:
            home.prefixes.remove_program(program_id)

    def local_homes(self) -> tuple[ReplicaHome, ...]:
        """Returns the state of each replica whose home is this host."""
        return tuple(self._home_by_replica.values())

    def members_changed(self, change: MembershipChange) -> None:
        """Drops homes that moved and tickets of dead or restarted hosts."""
        now = time.monotonic()
        live = {member.name for member in change.members}
        for replica in list(self._home_by_replica):
            home = self._home_by_replica[replica]
            if self._cluster.home_of(replica) != self._cluster.host:
                del self._home_by_replica[replica]
                continue
            origins = {r.origin for r in home.request_by_ticket.values()}
            for origin in origins - live:
                self._drop_origin(home, origin, now)
            for origin in change.restarted:
                self._drop_origin(home, origin, now)
            self._notify_granted(home)

    async def tick(self) -> None:
        """Starts a health check of every replica. Call it periodically."""
        self._open_homes()
        for replica, home in self._home_by_replica.items():
            running = self._check_task_by_replica.get(replica)
            # A task for each replica: an engine that does not answer must not
            # delay the checks of the others, which may be leaving.
            if running is None or running.done():
                self._check_task_by_replica[replica] = asyncio.create_task(
                    self._check(home)
                )

    def dump(self) -> JsonValue:
        """Returns the state of every replica as JSON."""
        now = time.monotonic()
        return {
            replica: {
                "queue": home.queue.dump(now),
                "usable": home.is_usable,
                "leaving": home.is_leaving,
                "incarnation": home.incarnation,
                "prefix_tokens": home.prefixes.held_tokens,
            }
            for replica, home in self._home_by_replica.items()
        }

    async def close(self) -> None:
        """Stops the notices, health checks and order tasks."""
        await self._background.close()
        tasks = [
            *self._order_task_by_replica.values(),
            *self._check_task_by_replica.values(),
        ]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def _open_homes(self) -> None:
        engines_by_model = self._in_force.current.upstreams.by_model
        engines = {
            e.name: e for each in engines_by_model.values() for e in each
        }
        for name, engine in engines.items():
            if self._cluster.home_of(name) == self._cluster.host:
                self._open_home(engine)
        for name in list(self._home_by_replica):
            if name not in engines:
                del self._home_by_replica[name]

    def _find_home(self, replica: str) -> ReplicaHome | Failure:
        holder = self._cluster.home_of(replica)
        if holder != self._cluster.host:
            return Failure(ErrorKind.NOT_OWNER, replica, host=holder)
        home = self._home_by_replica.get(replica)
        if home is not None:
            return home
        engine = self._in_force.current.upstreams.by_name.get(replica)
        if not self._in_force.number:
            # A starting host does not know yet what is declared.
            return Failure(ErrorKind.NOT_OWNER, replica)
        if not isinstance(engine, RenderedEngine):
            return Failure(ErrorKind.NO_UPSTREAM, replica)
        return self._open_home(engine)

    def _open_home(self, engine: RenderedEngine) -> ReplicaHome:
        existing = self._home_by_replica.get(engine.name)
        if existing is not None:
            if existing.engine != engine:
                existing.engine = engine
                self._refresh_leaving(existing)
            return existing
        settings = QueueSettings(
            in_flight=InFlightSettings(initial=engine.slots),
            weight_by_workspace={
                name: workspace.weight
                for name, workspace in (
                    self._in_force.current.workspace_by_name.items()
                )
            },
        )
        speed = EngineSpeed(prefill_tokens_per_s=engine.prefill_tokens_per_s)
        home = ReplicaHome(
            engine=engine,
            queue=create_replica_queue(engine.name, settings, speed),
            prefixes=PrefixIndex(engine.restore_interval),
            request_by_ticket={},
        )
        self._home_by_replica[engine.name] = home
        self._refresh_leaving(home)
        return home

    async def _check(self, home: ReplicaHome) -> None:
        client = self._clients.engine(home.engine)
        health = await read_health(client)
        home.check_count += 1
        if isinstance(health, Failed):
            home.missed_checks += 1
            if home.missed_checks == MAX_MISSED_HEALTH_CHECKS:
                self._close(home, "does not answer")
            return
        report = health.unwrap()
        was_unusable = home.missed_checks >= MAX_MISSED_HEALTH_CHECKS
        home.missed_checks = 0
        if home.incarnation and home.incarnation != report.incarnation:
            home.prefixes.clear()
        if not home.incarnation:
            # Tickets granted before the first check belong to the process that
            # it finds.
            for ticket_id in home.incarnation_by_ticket:
                home.incarnation_by_ticket[ticket_id] = report.incarnation
        home.incarnation = report.incarnation
        await self._crash_reporter.report_crash(home, report.incarnation)
        home.reported_leaving = report.leaving
        self._refresh_leaving(home)
        if was_unusable and not home.is_leaving and not home.is_tripped:
            home.queue.reopen()
        if home.is_tripped and home.circuit.allows(time.monotonic()):
            home.is_tripped = False
            home.queue.reopen()
        self._notify_granted(home)
        self._start_order_task(home)
        if home.check_count % _CHECKS_PER_LOAD_READ == 0:
            await observe(home, client)

    def _start_order_task(self, home: ReplicaHome) -> None:
        """Sends orders in a task of its own; health checks must not wait."""
        running = self._order_task_by_replica.get(home.engine.name)
        if running is not None and not running.done():
            return
        client = self._clients.engine(home.engine)
        self._order_task_by_replica[home.engine.name] = asyncio.create_task(
            self._dispatcher.reconcile(home.engine, client, home.incarnation)
        )

    def _refresh_leaving(self, home: ReplicaHome) -> None:
        was_leaving = home.is_leaving
        home.is_leaving = (
            home.reported_leaving
            or home.engine.draining
            or home.engine.replica in self._leaving_names
        )
        if home.is_leaving and not was_leaving:
            self._close(home, "leaves")
        if was_leaving and not home.is_leaving and not home.is_tripped:
            home.queue.reopen()

    def _close(self, home: ReplicaHome, reason: str) -> None:
        detail = f"{home.engine.name} {reason}"
        failure = Failure(ErrorKind.NO_UPSTREAM, detail)
        logs.write("replica_closed", replica=home.engine.name, reason=reason)
        dropped = home.queue.close(failure, time.monotonic())
        for ticket in dropped.waiting:
            home.request_by_ticket.pop(ticket.ticket_id, None)
        # The owners offer their waiting tickets again, are refused with
        # NO_UPSTREAM and place the calls elsewhere.
        self._notify(home, [t.origin for t in dropped.waiting], [])

    def _drop_origin(self, home: ReplicaHome, origin: str, now: float) -> None:
        dropped = home.queue.drop_origin(origin, now)
        for ticket in (*dropped.waiting, *dropped.running):
            home.request_by_ticket.pop(ticket.ticket_id, None)
            home.incarnation_by_ticket.pop(ticket.ticket_id, None)

    def _notify_granted(self, home: ReplicaHome) -> None:
        granted = home.queue.take_granted(time.monotonic())
        now = time.monotonic()
        for ticket in granted:
            request = home.request_by_ticket.get(ticket.ticket_id)
            if request is not None:
                self._record_granted(home, request, now)
        ids_by_origin: dict[str, list[str]] = {}
        for ticket in granted:
            ids_by_origin.setdefault(ticket.origin, []).append(ticket.ticket_id)
        for origin, ids in ids_by_origin.items():
            self._notify(home, [origin], ids)

    def _record_granted(
        self, home: ReplicaHome, request: TicketRequest, now: float
    ) -> None:
        home.prefixes.record_sent(prefix_request_of(request), now)
        home.incarnation_by_ticket.setdefault(
            request.ticket_id, home.incarnation
        )

    def _notify(
        self, home: ReplicaHome, origins: list[str], ticket_ids: list[str]
    ) -> None:
        notice = GrantNotice(tuple(ticket_ids), home.engine.name, 0)
        for origin in set(origins):
            self._background.spawn(self._send_notice(origin, notice))

    async def _send_notice(self, origin: str, notice: GrantNotice) -> None:
        # A lost notice is harmless: the owner offers its ticket again each
        # second and learns of the grant from the reply.
        await self._cluster.calls(origin).grant(notice)
