"""Server of the ``Peer`` service."""

from masticdale_peers.interfaces import PeerHandler
from masticdale_peers.messages import PEER
from masticdale_rpc import Address, RpcServer, TlsSettings
from masticdale_rpc.settings import require_loopback


async def serve(
    handler: PeerHandler, bind: Address, tls: TlsSettings | None
) -> RpcServer:
    """Starts serving a handler to the peers.

    Args:
        handler: Handles the calls.
        bind: Address to listen on.
        tls: Certificates; None for plaintext, on loopback only.

    Returns:
        The server, which the caller must close.

    Raises:
        MasticdaleError: INVALID_SETTINGS if the address cannot be bound, a
            certificate file cannot be loaded, or plaintext is not allowed.
    """
    if tls is None:
        require_loopback(bind)
    server = RpcServer(handler, bind, PEER)
    await server.listen(tls)
    return server
