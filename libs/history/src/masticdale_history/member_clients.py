"""RPC clients of the storage hosts."""

from collections.abc import Callable, Iterable

from returns.result import Failure as Failed
from returns.result import Result

from masticdale_common import ErrorKind, Failure, Metrics
from masticdale_history.decisions import Endpoint, endpoint_of
from masticdale_history.messages import HISTORY
from masticdale_history.placement import Member
from masticdale_rpc import (
    Address,
    PeerSettings,
    PoolLimits,
    Rpc,
    RpcClient,
    may_have_been_sent,
)
from masticdale_rpc.contracts import ReplyT, RequestT

# Default timeout of a call to a storage host, in seconds.
_CALL_TIMEOUT_S = 1.0
# Calls to a silent host hold their connections for a whole timeout; an entry
# host makes about ten calls per second to a storage host.
_POOL_LIMITS = PoolLimits(
    connections=32, call_timeout_s=_CALL_TIMEOUT_S, idle_s=30.0
)

ClientFactory = Callable[[Member], RpcClient]


def create_member_client(member: Member, metrics: Metrics) -> RpcClient:
    """Returns a client of a storage host; connections open on first use."""
    ip, port = endpoint_of(member)
    peer = PeerSettings(
        name=f"{ip}:{port}",
        address=Address.model_validate({"ip": ip, "port": port}),
        # Required by PeerSettings; the client does not use it.
        domain=member.failure_domain or "unknown",
    )
    return RpcClient(peer, None, _POOL_LIMITS, metrics, HISTORY)


class MemberClients:
    """The RPC clients of the storage hosts by endpoint."""

    def __init__(self, create: ClientFactory) -> None:
        """Initializes the clients.

        Args:
            create: Returns a new client of a member.
        """
        self._create = create
        self._client_by_endpoint: dict[Endpoint, RpcClient] = {}

    async def call(
        self,
        member: Member,
        rpc: Rpc[RequestT, ReplyT],
        request: RequestT,
        timeout_s: float,
    ) -> Result[ReplyT, Failure]:
        """Calls a storage host; failures are those of ``RpcClient.call``.

        Args:
            member: The storage host.
            rpc: The RPC to call.
            request: Its argument.
            timeout_s: Timeout in seconds.
        """
        endpoint = endpoint_of(member)
        client = self._client_by_endpoint.get(endpoint)
        if client is None:
            client = self._create(member)
            self._client_by_endpoint[endpoint] = client
        outcome = await client.call(rpc, request, timeout_s)
        if isinstance(outcome, Failed) and _was_silent(outcome.failure()):
            # A host that lost power does not close its connections. Each of
            # the idle ones would cost another call its whole timeout.
            self._drop(endpoint, client)
        return outcome

    def retain(self, members: Iterable[Member]) -> None:
        """Drops the clients of all hosts but the given ones."""
        kept = {endpoint_of(member) for member in members}
        for endpoint, client in list(self._client_by_endpoint.items()):
            if endpoint not in kept:
                self._drop(endpoint, client)

    def close_idle(self) -> None:
        """Closes the connections that were idle for too long."""
        for client in self._client_by_endpoint.values():
            client.close_idle()

    def close(self) -> None:
        """Closes all connections, those in use at the end of their call."""
        for endpoint, client in list(self._client_by_endpoint.items()):
            self._drop(endpoint, client)

    def _drop(self, endpoint: Endpoint, client: RpcClient) -> None:
        client.close()
        if self._client_by_endpoint.get(endpoint) is client:
            del self._client_by_endpoint[endpoint]


def _was_silent(failure: Failure) -> bool:
    """Returns whether a connection was open but no reply arrived on it."""
    is_unavailable = failure.kind is ErrorKind.PEER_UNAVAILABLE
    return is_unavailable and may_have_been_sent(failure)
