"""Follows the configuration: a few hosts watch it, others ask peers."""

import asyncio

from returns.result import Result

from masticdale_common import Failure, Metrics, hashing
from masticdale_config import (
    ActiveConfig,
    ConfigWatcher,
    RevisionsExport,
    bootstrap_config,
    catch_up_from_peers,
)
from masticdale_peers import RevisionsRequest
from masticdale_platform import ObjectStore
from masticdaled.cluster import Cluster

WATCHER_COUNT = 3
_WATCH_KEY = "config-watch"


class ConfigFollower:
    """Keeps the configuration in force on this host up to date."""

    def __init__(
        self,
        cluster: Cluster,
        store: ObjectStore,
        in_force: ActiveConfig,
        metrics: Metrics,
    ) -> None:
        self._cluster = cluster
        self._store = store
        self._in_force = in_force
        self._metrics = metrics
        self._watch_task: asyncio.Task[None] | None = None
        self._loaded = False

    @property
    def is_loaded(self) -> bool:
        """Whether this host has loaded the configuration."""
        return self._loaded

    async def start(self) -> None:
        """Loads the newest revision before this host serves.

        A host that served no revision, or a stale one read during an outage,
        would revert the configuration for its callers. So it asks
        live peers and the platform, and waits until one of them answers.
        """
        members = self._cluster.membership.members()
        self._loaded = await bootstrap_config(
            self._store,
            self._in_force,
            {m.name: self._source(m.name) for m in members if not m.is_self},
        )

    async def tick(self) -> None:
        """Updates the watch and fetches newer revisions; called periodically.

        Loads the configuration if ``start`` could not.
        """
        if not self._loaded:
            await self.start()
            return
        self._update_watch()
        await self._fetch_from_peers()

    async def close(self) -> None:
        """Stops watching."""
        if self._watch_task is None:
            return
        self._watch_task.cancel()
        await asyncio.gather(self._watch_task, return_exceptions=True)
        self._watch_task = None

    def _update_watch(self) -> None:
        names = self._cluster.membership.live_names()
        watchers = hashing.rendezvous_rank(_WATCH_KEY, names)[:WATCHER_COUNT]
        if self._cluster.host not in watchers:
            if self._watch_task is not None:
                self._watch_task.cancel()
                self._watch_task = None
            return
        if self._watch_task is None or self._watch_task.done():
            watcher = ConfigWatcher(self._store, self._in_force, self._metrics)
            self._watch_task = asyncio.create_task(watcher.run())

    async def _fetch_from_peers(self) -> None:
        own = self._in_force.number
        ahead = {
            member.name: self._source(member.name)
            for member in self._cluster.membership.members()
            if member.heartbeat.revision > own
        }
        if ahead:
            await catch_up_from_peers(self._in_force, ahead)

    def _source(self, host: str) -> "_PeerSource":
        return _PeerSource(self._cluster, host)


class _PeerSource:
    """A ``RevisionSource`` that asks a peer."""

    def __init__(self, cluster: Cluster, host: str) -> None:
        self._cluster = cluster
        self._host = host

    async def revisions_after(
        self, number: int
    ) -> Result[RevisionsExport, Failure]:
        """See ``RevisionSource.revisions_after``."""
        request = RevisionsRequest(number)
        outcome = await self._cluster.calls(self._host).revisions(request)
        return outcome.map(
            lambda reply: RevisionsExport(
                reply.newest, reply.revisions, reply.snapshot
            )
        )
