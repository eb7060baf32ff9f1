"""Tells the homes of content digests which calls were in flight at a crash."""

import asyncio

from masticdale_common import Metrics, logs
from masticdale_peers import SuspectRequest
from masticdaled.cluster import Cluster
from masticdaled.replicas.home import ReplicaHome

CRASHED_ACTION = "crashed"


class CrashReporter:
    """Reports each crash of a replica once."""

    def __init__(self, cluster: Cluster, metrics: Metrics) -> None:
        self._cluster = cluster
        self._metrics = metrics

    async def report_crash(
        self, home: ReplicaHome, current_incarnation: str
    ) -> None:
        """Makes every call in flight at a crash a suspect, once.

        One crash breaks all streams of the replica and each owner reports
        it. Counted each time, an innocent call would reach two crashes; so a
        ticket is a suspect only for the process that it was granted at, and
        is forgotten with its first report.

        Args:
            home: The replica's home.
            current_incarnation: The process that answers now; empty for none.
        """
        granted_at = home.incarnation_by_ticket
        lost_ids = {
            i
            for i, process in granted_at.items()
            if process != current_incarnation
        }
        if not lost_ids:
            return
        running = [t for t in home.queue.running() if t.ticket_id in lost_ids]
        for ticket_id in lost_ids:
            del granted_at[ticket_id]
        digests = tuple({t.content_digest for t in running})
        if not digests:
            return
        self._metrics.count("replica_crashes_total", replica=home.engine.name)
        logs.write(
            "replica_crashed", replica=home.engine.name, suspects=len(digests)
        )
        request = SuspectRequest(CRASHED_ACTION, digests, "")
        hosts = {h for d in digests for h in self._cluster.digest_homes(d)}
        await asyncio.gather(
            *(self._cluster.calls(host).suspect(request) for host in hosts)
        )
