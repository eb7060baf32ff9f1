"""RPC clients of the other entry hosts."""

import random

from masticdale_common import Metrics
from masticdale_entry.settings import Settings
from masticdale_ledger import LEDGER, Hosts, ShardMap
from masticdale_rpc import Address, PeerSettings, PoolLimits, RpcClient

# A turn that waits for a slow store holds a connection to the shard's owner. If
# such turns take all connections, other turns can't reach the owner, which then
# counts as lost. With 8 connections some ten such turns suffice for that; 64
# are more than a host has waiting.
_POOL_LIMITS = PoolLimits(connections=64, call_timeout_s=1.0, idle_s=30.0)


class PeerClients(Hosts):
    """The other entry hosts: owners and standbys of shards, and seeds."""

    def __init__(
        self, shard_map: ShardMap, settings: Settings, metrics: Metrics
    ) -> None:
        self._shard_map = shard_map
        self._settings = settings
        self._metrics = metrics
        self._client_by_address: dict[tuple[str, int], RpcClient] = {}

    def all(self) -> list[RpcClient]:
        """Returns the clients of all other known hosts."""
        return [self.client(*address) for address in self.candidates()]

    def watch_sources(self) -> list[RpcClient]:
        """Returns the hosts whose store watches this host may share.

        These are the seeds, in random order to spread the load. A seed watches
        the store itself, so the list is empty there.
        """
        own = self._settings.effective_peers_address
        seeds = {(str(a.ip), a.port) for a in self._settings.seeds}
        if own is not None and (str(own.ip), own.port) in seeds:
            return []
        return [
            self.client(*address)
            for address in random.sample(sorted(seeds), len(seeds))
        ]

    def candidates(self) -> list[tuple[str, int]]:
        """See ``Hosts.candidates``."""
        addresses = {(str(a.ip), a.port) for a in self._settings.seeds}
        for view in self._shard_map.views().values():
            record = view.record
            addresses.add((record.address, record.port))
            if record.standby_address:
                addresses.add((record.standby_address, record.standby_port))
        own = self._settings.effective_peers_address
        if own is not None:
            addresses.discard((str(own.ip), own.port))
        return sorted(addresses)

    def close_idle(self) -> None:
        """Closes the connections that were idle for too long."""
        for client in self._client_by_address.values():
            client.close_idle()

    def client(self, address: str, port: int) -> RpcClient:
        """See ``Hosts.client``."""
        client = self._client_by_address.get((address, port))
        if client is None:
            peer = PeerSettings(
                name=f"{address}:{port}",
                address=Address.model_validate({"ip": address, "port": port}),
                # Required by PeerSettings; the client does not use it.
                domain="unknown",
            )
            client = RpcClient(peer, None, _POOL_LIMITS, self._metrics, LEDGER)
            self._client_by_address[(address, port)] = client
        return client
