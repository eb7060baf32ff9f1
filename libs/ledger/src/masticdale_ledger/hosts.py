"""This process and the other hosts, as the ledger needs them."""

import dataclasses

from masticdale_rpc import RpcClient


@dataclasses.dataclass(frozen=True, slots=True)
class Identity:
    """Who this process is.

    Attributes:
        host: Its host's name.
        incarnation: Differs after each start.
        address: IP number on which it listens for other hosts.
        port: And the port.
    """

    host: str
    incarnation: str
    address: str
    port: int


class Hosts:
    """The clients of other hosts, to be asked and to be named."""

    def client(self, address: str, port: int) -> RpcClient:
        """Returns the client of one host."""
        raise NotImplementedError

    def candidates(self) -> list[tuple[str, int]]:
        """Returns addresses of other hosts that may be a standby."""
        raise NotImplementedError
