"""An in-memory host for tests."""

import dataclasses

from masticdale_common import Metrics, TimerService
from masticdale_config import ActiveConfig
from masticdale_peers import Heartbeat, Membership, join
from masticdale_peers.testing import MemoryNetwork
from masticdale_platform import ObjectStore
from masticdale_programs import CopyStore, Executor, ShardSettings
from masticdaled.callers.forwarding import OperationForwarder
from masticdaled.callers.limits import WorkspaceLimiter
from masticdaled.callers.listener import CallersContext
from masticdaled.cluster import Cluster
from masticdaled.execution.tickets import TicketClient
from masticdaled.handler import DaemonPeerHandler, PeerServices
from masticdaled.operators.programs import ProgramAdmin
from masticdaled.replicas.crash_suspects import DigestHome
from masticdaled.replicas.homes import ReplicaHomes
from masticdaled.replicas.orders import OrderDispatcher
from masticdaled.settings import RequestSettings
from masticdaled.shards.copies import CopyService, PeerCopyHolders
from masticdaled.shards.owners import OwnedShards
from masticdaled.upstream_clients import UpstreamClients

DOMAIN = "domain-1"


class AlwaysReady:
    """A ``ReadinessCheck`` that always reports ready."""

    def is_ready(self) -> bool:
        """See ``ReadinessCheck.is_ready``."""
        return True


@dataclasses.dataclass(slots=True)
class MemoryHost:
    """The components of a host whose peers are on a ``MemoryNetwork``.

    Attributes:
        name: Name of the host.
        membership: The hosts that it sees.
        cluster: Assigns roles to hosts.
        owned_shards: The shards that it owns.
        homes: Its homes of replicas.
        forwarder: Forwards callers' operations to their owners.
        callers_context: The dependencies of a callers' listener.
        timers: Its timers.
    """

    name: str
    membership: Membership
    cluster: Cluster
    owned_shards: OwnedShards
    homes: ReplicaHomes
    forwarder: OperationForwarder
    callers_context: CallersContext
    timers: TimerService

    async def close(self) -> None:
        """Stops the host's components."""
        await self.timers.close()
        await self.membership.close()
        for shard in self.owned_shards.owned_shards():
            await shard.close()
        await self.homes.close()


def create_memory_host(
    name: str,
    names: tuple[str, ...],
    network: MemoryNetwork,
    store: ObjectStore,
    in_force: ActiveConfig,
    executor: Executor,
    settings: ShardSettings | None = None,
) -> MemoryHost:
    """Returns a host attached to a network.

    Args:
        name: Name of the host.
        names: Names of all hosts, including this one.
        network: Carries the calls between hosts.
        store: The platform's object store.
        in_force: The configuration in force.
        executor: Runs calls at upstreams.
        settings: Settings of its shards; the defaults if absent.
    """
    metrics = Metrics()
    timers = TimerService(seed=1)
    others = [other for other in names if other != name]
    membership = join(
        lambda: Heartbeat(name, DOMAIN, name),
        others,
        network.peers(name),
        timers,
    )
    cluster = Cluster(name, membership, network.peers(name))
    homes = ReplicaHomes(
        cluster,
        in_force,
        UpstreamClients(metrics),
        OrderDispatcher(store, name, metrics),
        metrics,
    )
    owned_shards = OwnedShards(
        cluster,
        store,
        executor,
        in_force,
        settings or ShardSettings(),
        name,
        metrics,
        PeerCopyHolders(cluster),
    )
    services = PeerServices(
        membership,
        owned_shards,
        homes,
        TicketClient(cluster),
        DigestHome(store),
        ProgramAdmin(name, owned_shards),
        CopyService(CopyStore()),
        in_force,
    )
    handler = DaemonPeerHandler(lambda: services)
    network.attach(name, handler)
    cluster.attach(handler, frozenset(others))
    forwarder = OperationForwarder(cluster, metrics)
    callers_context = CallersContext(
        forwarder,
        in_force,
        WorkspaceLimiter(cluster, in_force),
        AlwaysReady(),
        RequestSettings(),
        metrics,
    )
    return MemoryHost(
        name,
        membership,
        cluster,
        owned_shards,
        homes,
        forwarder,
        callers_context,
        timers,
    )
