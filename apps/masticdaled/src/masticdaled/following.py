"""Following the configuration: a few hosts watch, the others ask peers."""

import asyncio

from returns.result import Failure as Failed
from returns.result import Success

from masticdale_common import Metrics, hashing, logs
from masticdale_config import (
    ConfigInForce,
    ConfigWatcher,
    RevisionsExport,
    catch_up,
)
from masticdale_peers import RevisionsRequest
from masticdale_platform import ObjectStore
from masticdaled.cluster import Cluster

WATCHERS = 3
_WATCH_KEY = "config-watch"


class ConfigFollower:
    """Keeps this host's configuration in force up to date."""

    def __init__(
        self,
        cluster: Cluster,
        store: ObjectStore,
        in_force: ConfigInForce,
        metrics: Metrics,
    ) -> None:
        self._cluster = cluster
        self._store = store
        self._in_force = in_force
        self._metrics = metrics
        self._watch_task: asyncio.Task[None] | None = None
        self._started = False

    @property
    def is_loaded(self) -> bool:
        """True once this host knows what is in force."""
        return self._started

    async def start(self) -> None:
        """Learns the newest revision before this host serves.

        A host that served from nothing, or from an old read during an
        outage, would take the configuration back for its callers. So it asks
        live peers and the platform, and waits until one of them answers.
        """
        from_peers = await self._ask_all_peers()
        outcome = await catch_up(self._store, self._in_force)
        self._started = from_peers or isinstance(outcome, Success)

    async def tick(self) -> None:
        """Watches or asks a peer that has more; run a few times a second."""
        if not self._started:
            await self.start()
            return
        self._watch_if_chosen()
        await self._ask_newest_peer()

    async def close(self) -> None:
        """Stops watching."""
        if self._watch_task is None:
            return
        self._watch_task.cancel()
        await asyncio.gather(self._watch_task, return_exceptions=True)
        self._watch_task = None

    def _watch_if_chosen(self) -> None:
        names = self._cluster.membership.live_names()
        chosen = hashing.rank(_WATCH_KEY, names)[:WATCHERS]
        if self._cluster.host not in chosen:
            if self._watch_task is not None:
                self._watch_task.cancel()
                self._watch_task = None
            return
        if self._watch_task is None or self._watch_task.done():
            watcher = ConfigWatcher(self._store, self._in_force, self._metrics)
            self._watch_task = asyncio.create_task(watcher.run())

    async def _ask_newest_peer(self) -> None:
        own = self._in_force.number
        for member in self._cluster.membership.members():
            if member.beat.revision > own:
                await self._ask(member.name)
                return

    async def _ask_all_peers(self) -> bool:
        members = self._cluster.membership.members()
        others = [m.name for m in members if not m.is_self]
        answers = await asyncio.gather(*(self._ask(name) for name in others))
        return any(answers)

    async def _ask(self, host: str) -> bool:
        request = RevisionsRequest(self._in_force.number)
        outcome = await self._cluster.calls(host).revisions(request)
        if isinstance(outcome, Failed):
            return False
        reply = outcome.unwrap()
        applied = self._in_force.apply_export(
            RevisionsExport(reply.newest, reply.revisions, reply.snapshot)
        )
        if isinstance(applied, Failed):
            logs.write("revisions_refused", kind=applied.failure().kind.value)
            return False
        return reply.newest > 0
