"""Reports of calls in flight at a crash to the homes of their digests."""

import asyncio

from masticdale_common import Metrics, logs
from masticdale_peers import SuspectRequest
from masticdaled.cluster import Cluster
from masticdaled.replicas.home import ReplicaHome

CRASHED_ACTION = "crashed"


class CrashReporter:
    """Reports each crash of a replica once to the homes of the digests."""

    def __init__(self, cluster: Cluster, metrics: Metrics) -> None:
        self._cluster = cluster
        self._metrics = metrics

    async def report_crash(
        self, home: ReplicaHome, current_incarnation: str
    ) -> None:
        """Reports the calls that were in flight at an engine process now gone.

        A crash breaks all streams of a replica, and every owner reports it.
        A ticket is therefore reported only if its engine process is gone, and
        only once. Otherwise one crash counts several times and quarantines
        harmless requests.

        Args:
            home: The state of the replica.
            current_incarnation: The engine process that answers now; empty
                for none.
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
