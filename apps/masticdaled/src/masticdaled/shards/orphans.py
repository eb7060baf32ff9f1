"""Engine memory held for programs that are gone: found and released."""

import time

from returns.result import Failure as Failed

from masticdale_common import Metrics, hashing, logs
from masticdale_peers import StatesRequest
from masticdaled.cluster import Cluster
from masticdaled.replicas.home import ReplicaHome
from masticdaled.replicas.homes import Homes
from masticdaled.upstream_clients import UpstreamClients

_CONFIRM_S = 5.0
_BATCH = 200


class OrphanSweeper:
    """Compares each replica's list of programs with their owners.

    A release is owed by the program's record, but memory can also be held by
    a call that an owner sent just before it died, of which no record speaks.
    """

    def __init__(
        self,
        cluster: Cluster,
        homes: Homes,
        clients: UpstreamClients,
        metrics: Metrics,
    ) -> None:
        self._cluster = cluster
        self._homes = homes
        self._clients = clients
        self._metrics = metrics
        self._gone_since_by_key: dict[str, float] = {}

    async def sweep(self) -> None:
        """Looks at every replica whose home is here; run now and then."""
        for home in self._homes.held_homes():
            await self._sweep_replica(home)

    async def _sweep_replica(self, home: ReplicaHome) -> None:
        client = self._clients.engine(home.engine)
        held = await client.cached_programs()
        if isinstance(held, Failed):
            return
        ids = [program.program_id for program in held.unwrap()]
        gone = await self._find_gone(ids)
        prefix = f"{home.engine.name}/"
        for key in list(self._gone_since_by_key):
            if key.startswith(prefix) and key.removeprefix(prefix) not in gone:
                del self._gone_since_by_key[key]
        now = time.monotonic()
        for program_id in gone:
            key = prefix + program_id
            since = self._gone_since_by_key.setdefault(key, now)
            # Seen gone twice: a program just being created at an owner that
            # another host still believed to be elsewhere is not an orphan.
            if now - since < _CONFIRM_S:
                continue
            released = await client.release(program_id)
            if isinstance(released, Failed):
                continue
            del self._gone_since_by_key[key]
            self._homes.released(home.engine.name, program_id)
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
        gone: set[str] = set()
        for host, ids in ids_by_host.items():
            for start in range(0, len(ids), _BATCH):
                request = StatesRequest(tuple(ids[start : start + _BATCH]))
                outcome = await self._cluster.calls(host).states(request)
                if isinstance(outcome, Failed):
                    continue
                reply = outcome.unwrap()
                if reply.failure is None:
                    gone.update(reply.gone_ids)
        return gone
