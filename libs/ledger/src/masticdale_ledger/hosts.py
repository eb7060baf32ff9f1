"""The identity of this process, and the other hosts."""

import dataclasses
import time

from masticdale_ledger.messages import HostAddress
from masticdale_rpc import RpcClient


@dataclasses.dataclass(frozen=True, slots=True)
class Identity:
    """The identity of this process.

    Attributes:
        host: The name of its host.
        incarnation: Unique ID of the process; a restart gets a new one.
        address: IP address on which it listens for other hosts.
        port: Port on which it listens for other hosts.
        failure_domain: The failure domain of the host.
    """

    host: str
    incarnation: str
    address: str
    port: int
    failure_domain: str = ""

    @property
    def host_address(self) -> HostAddress:
        """The address of this host, as sent to other hosts."""
        return HostAddress(self.address, self.port, self.failure_domain)


class LiveHosts:
    """Hosts that have sent this one a request recently, and so are alive.

    Every host that has callers sends requests to the owners. An owner therefore
    knows which hosts can be its standby or take over its shards when it stops,
    without a list in the store.
    """

    # How long after its last request a host counts as alive, in seconds. A
    # host with callers sends several requests per second.
    _LIVENESS_TIMEOUT_S = 3.0
    # Time from the first request until most hosts with callers have sent one,
    # in seconds.
    _DISCOVERY_S = 0.2

    def __init__(self, own_address: HostAddress) -> None:
        """Initializes an empty set of hosts.

        Args:
            own_address: The address of this host, which is never included.
        """
        self._own_address = own_address
        self._seen_at_by_host: dict[HostAddress, float] = {}
        self._first_request_at: float | None = None

    @property
    def is_complete(self) -> bool:
        """Whether most hosts with callers have had the time to send one."""
        first_at = self._first_request_at
        if first_at is None:
            return False
        return time.monotonic() - first_at >= self._DISCOVERY_S

    def record_request(self, host: HostAddress) -> None:
        """Records that a host has just sent a request."""
        now = time.monotonic()
        if self._first_request_at is None:
            self._first_request_at = now
        if host != self._own_address:
            self._seen_at_by_host[host] = now

    def remove(self, host: HostAddress) -> None:
        """Removes a host that is stopping."""
        self._seen_at_by_host.pop(host, None)

    def live(self) -> list[HostAddress]:
        """Returns the hosts that have sent a request recently."""
        cutoff = time.monotonic() - self._LIVENESS_TIMEOUT_S
        self._seen_at_by_host = {
            host: seen_at
            for host, seen_at in self._seen_at_by_host.items()
            if seen_at >= cutoff
        }
        return list(self._seen_at_by_host)


class Hosts:
    """Interface to the other hosts: their clients, and candidate standbys."""

    def client(self, address: str, port: int) -> RpcClient:
        """Returns the client of one host."""
        raise NotImplementedError

    def candidates(self) -> list[tuple[str, int]]:
        """Returns addresses of other hosts that may become a standby."""
        raise NotImplementedError
