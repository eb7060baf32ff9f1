"""Releases engine memory that is held for ended or unknown programs."""

import time

from returns.result import Failure as Failed

from masticdale_common import Metrics, hashing, logs
from masticdale_peers import StatesRequest
from masticdaled.cluster import Cluster
from masticdaled.replicas.home import ReplicaHome
from masticdaled.replicas.homes import ReplicaHomes
from masticdaled.upstream_clients import UpstreamClients

_CONFIRMATION_S = 5.0
_BATCH_SIZE = 200


class OrphanSweeper:
    """Releases programs held at replicas that ended or are unknown.

    A program's record lists the replicas whose memory must be released, but no
    record covers memory held by a call which an owner sent just before it died.
    """

    def __init__(
        self,
        cluster: Cluster,
        homes: ReplicaHomes,
        clients: UpstreamClients,
        metrics: Metrics,
    ) -> None:
        self._cluster = cluster
        self._homes = homes
        self._clients = clients
        self._metrics = metrics
        self._gone_since_by_key: dict[str, float] = {}

    async def sweep(self) -> None:
        """Sweeps every replica whose home is here; call it periodically."""
        for home in self._homes.local_homes():
            await self._sweep_replica(home)

    async def _sweep_replica(self, home: ReplicaHome) -> None:
        client = self._clients.engine(home.engine)
        held = await client.cached_programs()
        if isinstance(held, Failed):
            return
        ids = [program.program_id for program in held.unwrap()]
        gone_ids = await self._find_gone(ids)
        prefix = f"{home.engine.name}/"
        for key in list(self._gone_since_by_key):
            if (
                key.startswith(prefix)
                and key.removeprefix(prefix) not in gone_ids
            ):
                del self._gone_since_by_key[key]
        now = time.monotonic()
        for program_id in gone_ids:
            key = prefix + program_id
            since = self._gone_since_by_key.setdefault(key, now)
            # A program must be missing for some time. While it is created at
            # an owner that this host does not know of yet, it is no orphan.
            if now - since < _CONFIRMATION_S:
                continue
            released = await client.release(program_id)
            if isinstance(released, Failed):
                continue
            del self._gone_since_by_key[key]
            self._homes.record_released(home.engine.name, program_id)
            self._metrics.count("orphans_released_total")
            logs.write(
                "orphan_released", replica=home.engine.name, program=program_id
            )

    async def _find_gone(self, program_ids: list[str]) -> set[str]:
        ids_by_host: dict[str, list[str]] = {}
        for program_id in program_ids:
            shard = hashing.shard_of(program_id)
            host = self._cluster.owner_of_shard(shard)
            ids_by_host.setdefault(host, []).append(program_id)
        gone_ids: set[str] = set()
        for host, ids in ids_by_host.items():
            for start in range(0, len(ids), _BATCH_SIZE):
                request = StatesRequest(tuple(ids[start : start + _BATCH_SIZE]))
                outcome = await self._cluster.calls(host).states(request)
                if isinstance(outcome, Failed):
                    continue
                reply = outcome.unwrap()
                if reply.failure is None:
                    gone_ids.update(reply.gone_ids)
        return gone_ids
