"""Assigns roles to hosts and returns the clients of their calls."""

from returns.result import Failure as Failed
from returns.result import Result, Success

from masticdale_common import ErrorKind, Failure, hashing
from masticdale_peers import Membership, PeerCalls, PeerHandler, Peers
from masticdale_rpc.contracts import ReplyT, RequestT, Rpc

_SHARD_ROLE = "shard"
_HOME_ROLE = "home"
_DIGEST_ROLE = "digest"

# The errors that calls return while a role moves to another host.
FAILOVER_KINDS = frozenset({ErrorKind.NOT_OWNER, ErrorKind.PEER_UNAVAILABLE})


class LocalCalls(PeerCalls):
    """Calls the local handler directly, without a connection."""

    def __init__(self, handler: PeerHandler) -> None:
        self._handler = handler

    async def call(
        self,
        rpc: Rpc[RequestT, ReplyT],
        request: RequestT,
        timeout_s: float | None = None,
    ) -> Result[ReplyT, Failure]:
        """See ``PeerCalls.call``."""
        reply: ReplyT = await getattr(self._handler, rpc.name)(request)
        return Success(reply)


class UnknownHostCalls(PeerCalls):
    """Fails every call to a host that is not in the settings."""

    def __init__(self, host: str) -> None:
        self._host = host

    async def call(
        self,
        rpc: Rpc[RequestT, ReplyT],
        request: RequestT,
        timeout_s: float | None = None,
    ) -> Result[ReplyT, Failure]:
        """See ``PeerCalls.call``."""
        detail = f"not sent: {self._host}: not in the settings"
        return Failed(Failure(ErrorKind.PEER_UNAVAILABLE, detail))


class Cluster:
    """Assigns each role to a live host by rendezvous hashing.

    Hosts may disagree on membership for a while and assign a role to
    different hosts. Shard owners are fenced by their journals; a replica or a
    digest may briefly have two homes.
    """

    def __init__(self, host: str, membership: Membership, peers: Peers) -> None:
        self.host = host
        self.membership = membership
        self._peers = peers
        self._known_hosts: frozenset[str] = frozenset()
        self._local: PeerCalls | None = None

    def attach(self, handler: PeerHandler, known_hosts: frozenset[str]) -> None:
        """Sets the handler of calls to this host and the names of the others.

        Args:
            handler: Handles the calls to this host.
            known_hosts: Names of the other hosts in the settings.
        """
        self._local = LocalCalls(handler)
        self._known_hosts = known_hosts

    def calls(self, host: str) -> PeerCalls:
        """Returns the client of a host's calls."""
        if host == self.host and self._local is not None:
            return self._local
        if host not in self._known_hosts:
            return UnknownHostCalls(host)
        return self._peers.client(host)

    def owner_of_shard(self, shard: int) -> str:
        """Returns the host to which a shard is assigned."""
        return self.membership.owner_of(f"{_SHARD_ROLE}/{shard}")

    def home_of(self, replica: str) -> str:
        """Returns the host to which a replica's queue is assigned."""
        return self.membership.owner_of(f"{_HOME_ROLE}/{replica}")

    def digest_homes(self, digest: str) -> tuple[str, ...]:
        """Returns the home of a content digest, then its standby."""
        names = self.membership.owner_names()
        return tuple(
            hashing.rendezvous_rank(f"{_DIGEST_ROLE}/{digest}", names)[:2]
        )
