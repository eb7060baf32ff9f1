"""The histories of turns at an entry host, once a route keeps any."""

from collections.abc import Awaitable, Callable
from typing import TYPE_CHECKING

from returns.result import Result

from masticdale_common import Failure, JsonValue, Metrics, logs
from masticdale_entry.settings import Settings
from masticdale_entry.watching import WatchTarget
from masticdale_gateway import NoHistory, TurnHistory
from masticdale_platform import StoredObject
from masticdale_routing.routes import Configuration

# Hosts whose configuration keeps no history do not load these modules.
if TYPE_CHECKING:
    from masticdale_history import (
        Chain,
        HistoryClient,
        MemberDirectory,
        TurnRecord,
    )

# Pause after a change of the list of storage hosts, in seconds: when a system
# starts, all of them are added within a few seconds.
_DEBOUNCE_S = 0.3


# Time for which no storage host answers until the balancer is told, in seconds.
# Longer than a restart of all hosts, after which all of them would be unready.
_CUT_OFF_S = 1.0


class EntryHistories:
    """``TurnHistory`` that starts with the first route that keeps histories.

    Until then it watches nothing, and no turn is kept.

    Attributes:
        history: Reads and writes the turns.
    """

    def __init__(
        self,
        settings: Settings,
        metrics: Metrics,
        start_watch: Callable[[WatchTarget], None],
        watch_timeout_s: float,
        list_objects: Callable[
            [str], Awaitable[Result[tuple[StoredObject, ...], Failure]]
        ],
    ) -> None:
        """Initializes the histories; ``follow`` starts them.

        Args:
            settings: Settings of the host.
            metrics: Metrics registry.
            start_watch: Starts a watch of the store.
            watch_timeout_s: Maximum duration of one watch, in seconds.
            list_objects: Reads all objects of a prefix from the store.
        """
        self.history: TurnHistory = NoHistory()
        self._settings = settings
        self._metrics = metrics
        self._start_watch = start_watch
        self._watch_timeout_s = watch_timeout_s
        self._list_objects = list_objects
        self._directory: MemberDirectory | None = None
        self._client: HistoryClient | None = None
        self._cut_off_since: float | None = None

    @property
    def is_started(self) -> bool:
        """Whether a configuration has had a route that keeps histories."""
        return self._client is not None

    def follow(self, configuration: Configuration | None) -> None:
        """Starts if this is the first configuration that keeps histories."""
        if self.is_started or configuration is None:
            return
        retention_s = configuration.table.longest_retention_s
        if retention_s is None:
            return
        from masticdale_history import (
            MEMBER_PREFIX,
            HistoryClient,
            MemberDirectory,
            create_member_client,
        )

        metrics = self._metrics
        directory = self._directory = MemberDirectory()
        self.history = self._client = HistoryClient(
            directory,
            self._settings.failure_domain,
            self._settings.tolerated_losses,
            metrics,
            lambda member: create_member_client(member, metrics),
            lambda: self._list_objects(MEMBER_PREFIX),
        )
        self._start_watch(
            WatchTarget(
                MEMBER_PREFIX,
                self._watch_timeout_s,
                directory.apply,
                _DEBOUNCE_S,
            )
        )
        logs.write(
            "histories_started",
            version=configuration.version,
            retention_s=retention_s,
            tolerated_losses=self._settings.tolerated_losses,
        )

    def is_cut_off(self, now: float) -> bool:
        """Returns whether no storage host has answered for a while.

        Another entry host may reach them, so that callers are better served
        there.

        Args:
            now: Event loop time in seconds.
        """
        if self._client is None or not self._client.is_cut_off:
            self._cut_off_since = None
            return False
        if self._cut_off_since is None:
            self._cut_off_since = now
        return now - self._cut_off_since >= _CUT_OFF_S

    def close_idle(self) -> None:
        """Closes the connections that were idle for too long."""
        if self._client is not None:
            self._client.close_idle()

    async def close(self) -> None:
        """Ends late calls and closes all connections to storage hosts."""
        if self._client is not None:
            await self._client.close()

    def dump(self) -> JsonValue:
        """Returns the known storage hosts by name."""
        if self._directory is None:
            return {}
        return {
            member.host: {
                "address": f"{member.address}:{member.port}",
                "failure_domain": member.failure_domain,
                "disk_id": member.disk_id,
                "is_emptying": member.is_emptying,
            }
            for member in self._directory.members()
        }

    async def load(
        self,
        request_id: str,
        workspace: str,
        turn_id: str,
        session_id: str,
        deadline_at: float,
    ) -> "Result[Chain, Failure]":
        """See ``TurnHistory.load``."""
        return await self.history.load(
            request_id, workspace, turn_id, session_id, deadline_at
        )

    def check_room(self) -> Failure | None:
        """See ``TurnHistory.check_room``."""
        return self.history.check_room()

    async def save(
        self,
        request_id: str,
        record: "TurnRecord",
        chain: "Chain",
        deadline_at: float,
    ) -> Result[None, Failure]:
        """See ``TurnHistory.save``."""
        return await self.history.save(request_id, record, chain, deadline_at)
