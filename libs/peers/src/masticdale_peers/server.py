"""Serves this host's ``PeerHandler`` to its peers."""

from masticdale_peers.interfaces import PeerHandler
from masticdale_peers.messages import PEER
from masticdale_rpc import Address, RpcServer, TlsSettings
from masticdale_rpc.settings import require_loopback


async def serve(
    handler: PeerHandler, bind: Address, tls: TlsSettings | None
) -> RpcServer:
    """Starts serving a handler.

    Args:
        handler: What to do for each call.
        bind: Where to listen.
        tls: Certificates; None for plaintext, on loopback only.

    Returns:
        The server, to be closed by the caller.

    Raises:
        MasticdaleError: INVALID_SETTINGS, where the port is taken, the
            address is not this machine's, or plaintext is not allowed.
    """
    if tls is None:
        require_loopback(bind)
    server = RpcServer(handler, bind, PEER)
    await server.listen(tls)
    return server
