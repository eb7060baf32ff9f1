"""This process and the other hosts, as the ledger needs them."""

import dataclasses
import time

from masticdale_ledger.messages import HostAddress
from masticdale_rpc import RpcClient


@dataclasses.dataclass(frozen=True, slots=True)
class Identity:
    """Who this process is.

    Attributes:
        host: Its host's name.
        incarnation: Differs after each start.
        address: IP number on which it listens for other hosts.
        port: And the port.
        failure_domain: Where the host stands.
    """

    host: str
    incarnation: str
    address: str
    port: int
    failure_domain: str = ""

    @property
    def host_address(self) -> HostAddress:
        """What other hosts are told of this one."""
        return HostAddress(self.address, self.port, self.failure_domain)


class LiveHosts:
    """Hosts that have asked this one for something lately, so that they live.

    An owner is asked by every host that has callers. It needs no list in the
    store to know who can be its standby, or take its shards at a stop.
    """

    # A host with callers asks several times a second, in seconds.
    _LIVENESS_TIMEOUT_S = 3.0

    def __init__(self, own: HostAddress) -> None:
        """Begins without any host.

        Args:
            own: This host, which is never one of them.
        """
        self._own = own
        self._seen_at_by_host: dict[HostAddress, float] = {}

    def record_request(self, host: HostAddress) -> None:
        """Notes that a host has asked just now."""
        if host != self._own:
            self._seen_at_by_host[host] = time.monotonic()

    def remove(self, host: HostAddress) -> None:
        """Forgets a host that is about to end."""
        self._seen_at_by_host.pop(host, None)

    def live(self) -> list[HostAddress]:
        """Returns the hosts that were heard of lately."""
        oldest = time.monotonic() - self._LIVENESS_TIMEOUT_S
        self._seen_at_by_host = {
            host: seen_at
            for host, seen_at in self._seen_at_by_host.items()
            if seen_at >= oldest
        }
        return list(self._seen_at_by_host)


class Hosts:
    """The clients of other hosts, to be asked and to be named."""

    def client(self, address: str, port: int) -> RpcClient:
        """Returns the client of one host."""
        raise NotImplementedError

    def candidates(self) -> list[tuple[str, int]]:
        """Returns addresses of other hosts that may be a standby."""
        raise NotImplementedError
