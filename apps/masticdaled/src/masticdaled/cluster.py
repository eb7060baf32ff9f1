"""Calls to hosts by role, this host included."""

from returns.result import Failure as Failed
from returns.result import Result, Success

from masticdale_common import ErrorKind, Failure, hashing
from masticdale_peers import Membership, PeerCalls, PeerHandler, Peers
from masticdale_rpc.contracts import ReplyT, RequestT, Rpc

_SHARD_ROLE = "shard"
_HOME_ROLE = "home"
_DIGEST_ROLE = "digest"

# What the calls of a role answer while it moves to another host.
FAILOVER_KINDS = frozenset({ErrorKind.NOT_OWNER, ErrorKind.PEER_UNAVAILABLE})


class LocalCalls(PeerCalls):
    """Calls of this host to itself, without a connection."""

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
    """Calls to a host that the settings do not name."""

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
    """Finds the host of each role by rendezvous over the live hosts.

    Membership is soft: two hosts may name different holders for a while.
    Owners are fenced by their journals; homes and digest homes may double
    for a moment.
    """

    def __init__(self, host: str, membership: Membership, peers: Peers) -> None:
        self.host = host
        self.membership = membership
        self._peers = peers
        self._known_hosts: frozenset[str] = frozenset()
        self._local: PeerCalls | None = None

    def attach(self, handler: PeerHandler, known_hosts: frozenset[str]) -> None:
        """Sets what answers calls to this host and which others exist."""
        self._local = LocalCalls(handler)
        self._known_hosts = known_hosts

    def calls(self, host: str) -> PeerCalls:
        """Returns the calls to a host."""
        if host == self.host and self._local is not None:
            return self._local
        if host not in self._known_hosts:
            return UnknownHostCalls(host)
        return self._peers.client(host)

    def owner_of_shard(self, shard: int) -> str:
        """Returns the host that should own a shard."""
        return self.membership.owner_of(f"{_SHARD_ROLE}/{shard}")

    def home_of(self, replica: str) -> str:
        """Returns the host that holds a replica's queue."""
        return self.membership.owner_of(f"{_HOME_ROLE}/{replica}")

    def digest_homes(self, digest: str) -> tuple[str, ...]:
        """Returns the home of a content digest and its stand-by."""
        names = self.membership.owner_names()
        return tuple(hashing.rank(f"{_DIGEST_ROLE}/{digest}", names)[:2])
