"""Chooses the standby and the arbiter of an owner's shards."""

import collections
import random
from collections.abc import Iterable

from masticdale_ledger.hosts import Hosts, Identity, LiveHosts
from masticdale_ledger.leases import Lease
from masticdale_ledger.shards import ShardMap

# A failed host is not chosen for this long, in seconds. Must outlast the
# restart of a killed process.
_FAILED_HOST_BACKOFF_S = 10.0


class PeerSelector:
    """Chooses among the other hosts by liveness, load and failure domain."""

    def __init__(
        self,
        identity: Identity,
        shard_map: ShardMap,
        lease: Lease,
        hosts: Hosts,
        live_hosts: LiveHosts,
    ) -> None:
        self._identity = identity
        self._map = shard_map
        self._lease = lease
        self._hosts = hosts
        self._live_hosts = live_hosts
        self._random = random.Random(identity.incarnation)
        self._failed_at_by_address: dict[tuple[str, int], float] = {}

    def choose_standby(self) -> tuple[str, int] | None:
        """Returns the address of the best standby; None if there is none."""
        domain_by_address = self._domain_by_address()
        addresses = self._live_addresses(domain_by_address) or list(
            domain_by_address
        )
        if not addresses:
            return None
        # Prefer another failure domain, so that its loss leaves each shard its
        # owner or its standby, and there a host with few roles, so that the
        # loss of one host affects few programs.
        roles_by_address = self._roles_by_address()
        own_domain = self._identity.failure_domain
        return min(
            self._random.sample(addresses, len(addresses)),
            key=lambda a: (
                domain_by_address.get(a) == own_domain,
                roles_by_address[a],
            ),
        )

    def choose_arbiter(
        self, standby: tuple[str, int]
    ) -> tuple[str, int] | None:
        """Returns a host, preferably in a third failure domain; None for none.

        A host that has sent no request is chosen if there is no other. If it is
        dead, the epoch has no decision, as without an arbiter.

        Args:
            standby: The address of the standby, which is not chosen.
        """
        domain_by_address = self._domain_by_address()
        others = self._without_failed(set(domain_by_address) - {standby})
        if not others:
            candidates = set(self._hosts.candidates()) - {standby}
            others = self._without_failed(candidates)
        if not others:
            return None
        used_domains = {
            self._identity.failure_domain,
            domain_by_address.get(standby, ""),
        }
        roles_by_address = self._roles_by_address()
        return min(
            self._random.sample(others, len(others)),
            key=lambda a: (
                domain_by_address.get(a, "") in used_domains,
                roles_by_address[a],
            ),
        )

    def mark_failed(self, address: str, port: int) -> None:
        """Excludes a failed host from the choice for a while."""
        self._failed_at_by_address[(address, port)] = self._lease.now()

    def _roles_by_address(self) -> collections.Counter[tuple[str, int]]:
        """Returns in how many shards each host is owner, standby or arbiter."""
        records = [view.record for view in self._map.views().values()]
        return collections.Counter(
            address
            for r in records
            for address in (
                (r.address, r.port),
                (r.standby_address, r.standby_port),
                (r.arbiter_address, r.arbiter_port),
            )
        )

    def _domain_by_address(self) -> dict[tuple[str, int], str]:
        return {
            (host.address, host.port): host.failure_domain
            for host in self._live_hosts.live()
        }

    def _live_addresses(
        self, domain_by_address: dict[tuple[str, int], str]
    ) -> list[tuple[str, int]]:
        """Returns the live hosts, or the candidates if no such host is left.

        Leaves out hosts that failed. A candidate that has sent no request may
        be dead, and choosing it would cost another write of the shard's record.
        """
        return self._without_failed(domain_by_address) or self._without_failed(
            self._hosts.candidates()
        )

    def _without_failed(
        self, addresses: Iterable[tuple[str, int]]
    ) -> list[tuple[str, int]]:
        now = self._lease.now()
        return [
            address
            for address in addresses
            if now
            - self._failed_at_by_address.get(address, -_FAILED_HOST_BACKOFF_S)
            >= _FAILED_HOST_BACKOFF_S
        ]
