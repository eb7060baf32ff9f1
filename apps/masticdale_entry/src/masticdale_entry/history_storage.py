"""The part of a storage host that keeps histories of turns."""

import asyncio
from collections.abc import Callable

from masticdale_common import (
    ConnectionBudget,
    JsonValue,
    MasticdaleError,
    Metrics,
    StateDump,
    Subscription,
    TimerService,
    logs,
)
from masticdale_entry.history_disk import (
    HistoryDisk,
    HistorySettings,
    open_history_disk,
)
from masticdale_entry.history_hosts import HistoryHosts
from masticdale_entry.marker_writes import MarkerWriter
from masticdale_entry.status import StatusServer, dump_page, metrics_page
from masticdale_entry.tasks import log_failure
from masticdale_entry.watching import Watcher, WatchTarget
from masticdale_history import (
    HISTORY,
    MEMBER_PREFIX,
    Member,
    create_member_client,
)
from masticdale_history.completeness import Completeness
from masticdale_history.markers import COMPLETE, EMPTIED
from masticdale_history.member_clients import MemberClients
from masticdale_history.passes import RepairDependencies
from masticdale_history.repairer import (
    CHECK_INTERVAL_S,
    REPAIR_INTERVAL_S,
    Repairer,
)
from masticdale_history.service import HistoryService
from masticdale_platform import ObjectStore
from masticdale_rpc import RpcServer

_WATCH_TIMEOUT_S = 28.0
# Pause after the address could not be bound.
_RETRY_S = 1.0
# Interval of expiry, of checks of the own completeness and of the metrics.
_UPKEEP_INTERVAL_S = 1.0
_CLOSE_IDLE_INTERVAL_S = 10.0
# Pause between two passes of a host that is emptied.
_EMPTYING_PAUSE_S = 0.5
_LOAD_POLL_S = 0.05
# Time for calls in flight at the end of the process.
_CLOSE_GRACE_S = 0.5


async def open_history_storage(
    settings: HistorySettings,
    store: ObjectStore,
    retention_s: Callable[[], float | None],
    metrics: Metrics,
    timers: TimerService,
) -> "HistoryStorage":
    """Opens the disk and begins to serve it; retries until that succeeds.

    Args:
        settings: Settings of the host.
        store: The platform's store.
        retention_s: Returns the longest retention of the configuration, in
            seconds; None while no configuration is known.
        metrics: Receives the state of the disk and of the repair.
        timers: Runs expiry, checks and repair.
    """
    disk = await open_history_disk(settings, timers.wall_ms)
    storage = HistoryStorage(
        settings, disk, store, retention_s, metrics, timers
    )
    await storage.start()
    return storage


class HistoryStorage:
    """Serves the histories on the disk of this host.

    Attributes:
        clients: Makes the calls to the other storage hosts.
    """

    def __init__(
        self,
        settings: HistorySettings,
        disk: HistoryDisk,
        store: ObjectStore,
        retention_s: Callable[[], float | None],
        metrics: Metrics,
        timers: TimerService,
    ) -> None:
        """Use ``open_history_storage``."""
        self._settings = settings
        self._disk = disk.turns
        self._markers = MarkerWriter(disk.markers)
        self._was_emptied = disk.was_emptied
        self._is_leaving = False
        self._is_marked_complete = disk.origin.is_known_complete
        self._store = store
        self._retention_s = retention_s
        self._metrics = metrics
        self._timers = timers
        self._tasks: list[asyncio.Task[None]] = []
        self._status_server: asyncio.Server | None = None
        self._hosts = HistoryHosts(store, settings.host)
        self.clients = MemberClients(
            lambda member: create_member_client(member, metrics)
        )
        self._completeness = Completeness(
            disk.origin,
            settings.host,
            settings.tolerated_losses,
            timers.wall_ms,
        )
        self._service = HistoryService(
            self._disk,
            self._completeness,
            metrics,
            is_emptying=disk.was_emptied,
        )
        self._server = RpcServer(self._service, settings.address, HISTORY)
        self._repairer = Repairer(
            RepairDependencies(
                own=self._own_member,
                disk=self._disk,
                members=self._hosts.directory.members,
                is_complete=lambda: self._completeness.is_complete,
                copies=settings.tolerated_losses + 1,
                calls=self.clients,
                metrics=metrics,
                now=timers.now,
                wall_ms=timers.wall_ms,
            )
        )

    @property
    def is_complete(self) -> bool:
        """Whether the disk has lost no record."""
        return self._completeness.is_complete

    @property
    def was_emptied(self) -> bool:
        """Whether an earlier process has completed a retirement."""
        return self._was_emptied

    @property
    def is_listed(self) -> bool:
        """Whether the platform's store lists this host as requested."""
        return self._hosts.is_settled

    async def start(self) -> None:
        """Begins to listen and to follow the other hosts."""
        await self._listen()
        await self._serve_status()
        target = WatchTarget(MEMBER_PREFIX, _WATCH_TIMEOUT_S, self._hosts.apply)
        watcher = Watcher(self._store, target)
        for name, work in (
            ("history-watch", watcher.run()),
            ("history-list", self._hosts.run()),
        ):
            task = asyncio.create_task(work, name=name)
            task.add_done_callback(log_failure)
            self._tasks.append(task)
        self._hosts.directory.on_change.append(self._on_members_changed)
        for name, period_s, callback in (
            ("history-upkeep", _UPKEEP_INTERVAL_S, self._keep_up),
            ("history-checks", CHECK_INTERVAL_S, self._check_members),
            ("history-repair", REPAIR_INTERVAL_S, self._repair),
            ("history-idle", _CLOSE_IDLE_INTERVAL_S, self._close_idle),
        ):
            self._timers.subscribe(Subscription(name, period_s, callback))

    async def serve(self) -> None:
        """Lists this host as one that takes records.

        Called once it is known that the host is not to be removed.
        """
        if self._was_emptied:
            await self._markers.clear(EMPTIED)
            if self._is_leaving:
                return
            self._was_emptied = False
            self._service.allow_appends()
        await self._wait_loaded()
        if not self._is_leaving:
            self._hosts.request(self._own_member())

    async def empty(self) -> None:
        """Makes sure that the disk can be removed, then unlists this host.

        Returns when every record that was ever acknowledged is on enough other
        hosts; that takes until there are enough of them.
        """
        self._is_leaving = True
        if not self._was_emptied:
            await self._copy_all()
        self._hosts.request(None)
        await self._hosts.wait_settled()
        logs.write("history_emptied")

    async def close(self) -> None:
        """Stops serving and closes the disk."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        await self._server.close(_CLOSE_GRACE_S)
        if self._status_server is not None:
            self._status_server.close()
        self.clients.close()
        await self._disk.close()

    async def _copy_all(self) -> None:
        logs.write("history_emptying", turns=len(self._disk.entries()))
        # First, since a record must not be added after the last pass began.
        await self._service.stop_appends()
        await self._wait_loaded()
        self._hosts.request(self._own_member())
        await self._hosts.wait_settled()
        await self._repairer.check_members()
        while not await self._is_emptied():
            await asyncio.sleep(_EMPTYING_PAUSE_S)
        await self._markers.set(EMPTIED)
        self._was_emptied = True

    async def _is_emptied(self) -> bool:
        # While others may hold the only copies of what this disk has lost, its
        # removal from the list would make these records seem absent.
        self._update_completeness()
        if not self._completeness.is_complete:
            return False
        report = await self._repairer.run_pass()
        return await self._repairer.allows_removal(report)

    async def _listen(self) -> None:
        while True:
            try:
                await self._server.listen(None)
            except MasticdaleError as error:
                logs.write("history_not_listening", reason=str(error.failure))
                await asyncio.sleep(_RETRY_S)
                continue
            return

    async def _serve_status(self) -> None:
        """Serves metrics and the state dump, if the settings name a port."""
        port = self._settings.metrics_port
        if port is None:
            return
        dump = StateDump()
        dump.register("disk", self._dump_disk)
        dump.register("members", self._dump_members)
        page_by_path = {
            "/metrics": metrics_page(self._metrics),
            "/state": dump_page(dump),
        }
        try:
            server = StatusServer(page_by_path, ConnectionBudget())
            self._status_server = await server.listen(
                str(self._settings.address.ip), port
            )
        except OSError as error:
            logs.write("status_not_served", port=port, reason=repr(error))

    def _dump_disk(self) -> JsonValue:
        stats = self._disk.stats()
        return {
            "disk_id": self._disk.disk_id,
            "turns": stats.records,
            "size_bytes": stats.size_bytes,
            "torn_bytes": stats.torn_bytes,
            "is_complete": self._completeness.is_complete,
            "repaired_by": list(self._completeness.finished_hosts),
            "is_full": self._disk.is_full,
            "has_failed": self._disk.has_failed,
            "is_emptying": self._service.is_emptying,
            "is_listed": self.is_listed,
        }

    def _dump_members(self) -> JsonValue:
        return {
            member.host: {
                "disk_id": member.disk_id,
                "is_emptying": member.is_emptying,
            }
            for member in self._hosts.directory.members()
        }

    async def _wait_loaded(self) -> None:
        """Waits for the list, and decides completeness by its first state.

        A disk that is complete is marked before the host is listed, and so
        before it holds records.
        """
        while not self._hosts.directory.is_loaded:
            await asyncio.sleep(_LOAD_POLL_S)
        self._update_completeness()
        if self._completeness.is_complete and not self._is_marked_complete:
            await self._markers.set(COMPLETE)
            self._is_marked_complete = True

    def _own_member(self) -> Member:
        address = self._settings.address
        return Member(
            host=self._settings.host,
            address=str(address.ip),
            port=address.port,
            failure_domain=self._settings.failure_domain,
            disk_id=self._disk.disk_id,
            is_emptying=self._service.is_emptying,
        )

    def _on_members_changed(self) -> None:
        members = self._hosts.directory.members()
        self.clients.retain(members)
        self._update_completeness()

    def _update_completeness(self) -> None:
        directory = self._hosts.directory
        members = directory.members() if directory.is_loaded else None
        if self._completeness.update(
            members, self._retention_s(), was_listed=self._hosts.was_listed
        ):
            logs.write(
                "history_disk_complete",
                disk_id=self._disk.disk_id,
                repaired_by=self._completeness.finished_hosts,
            )

    async def _keep_up(self) -> None:
        self._update_completeness()
        await self._mark_if_complete()
        await self._disk.expire()
        self._report_state()
        retention_s = self._retention_s()
        is_listed = self._hosts.directory.is_loaded
        if retention_s is None or not is_listed or self._service.is_emptying:
            return
        for member in self._repairer.lost_members(retention_s):
            await self._hosts.delete_lost(member)

    async def _mark_if_complete(self) -> None:
        """Lets later processes of this host know that the disk is complete."""
        if self._is_marked_complete or not self._completeness.is_complete:
            return
        self._is_marked_complete = await self._markers.try_set(COMPLETE)

    async def _check_members(self) -> None:
        await self._repairer.check_members()

    async def _repair(self) -> None:
        await self._repairer.repair_if_due()

    async def _close_idle(self) -> None:
        self.clients.close_idle()

    def _report_state(self) -> None:
        stats = self._disk.stats()
        metrics = self._metrics
        metrics.gauge("history_turns", stats.records)
        metrics.gauge("history_bytes", stats.size_bytes)
        metrics.gauge("history_segments", stats.segments)
        metrics.gauge("history_syncs", stats.syncs)
        metrics.gauge("history_is_complete", self._completeness.is_complete)
        metrics.gauge("history_is_full", self._disk.is_full)
