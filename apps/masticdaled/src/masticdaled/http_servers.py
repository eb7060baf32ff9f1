"""HTTP servers of callers and operators, stopped by the daemon."""

import contextlib
import functools
import math
import socket
from collections.abc import Iterator

import litestar
import uvicorn

from masticdale_common import (
    ACCEPTED_AT_ONCE,
    ConnectionBudget,
    set_backlog,
)
from masticdale_peers import Address
from masticdaled.bounded_protocol import BoundedHttpProtocol

_KEEP_ALIVE_S = 120
_BACKLOG = 1024


class HttpServer(uvicorn.Server):
    """An HTTP server that installs no signal handlers.

    uvicorn's handler of SIGTERM would stop the server before the load balancer
    sees that this host is not ready.
    """

    @contextlib.contextmanager
    def capture_signals(self) -> Iterator[None]:
        """Installs no signal handlers."""
        yield

    async def startup(self, sockets: list[socket.socket] | None = None) -> None:
        """See ``uvicorn.Server``."""
        await super().startup(sockets)
        for server in self.servers:
            set_backlog(server, _BACKLOG)

    def end_kept_connections(self) -> None:
        """Ends each connection with its next response from now on.

        The stop closes idle connections, and a request that is on its way
        there gets no answer.
        """
        header = (b"connection", b"close")
        self.config.encoded_headers.append(header)
        # Requests in progress hold this list; uvicorn replaces it each second.
        self.server_state.default_headers.append(header)


def create_http_server(
    app: litestar.Litestar,
    address: Address,
    finish_s: float,
    budget: ConnectionBudget | None = None,
) -> HttpServer:
    """Creates a server; ``serve`` runs it until ``should_exit`` is set.

    Args:
        app: The application.
        address: Address to listen on.
        finish_s: Longest wait of a stop for requests, in seconds.
        budget: What its connections share with those of other servers; None for
            a budget of its own.
    """
    protocol = functools.partial(
        BoundedHttpProtocol, budget=budget or ConnectionBudget()
    )
    return HttpServer(
        uvicorn.Config(
            app,
            host=str(address.ip),
            port=address.port,
            http=protocol,  # type: ignore[arg-type]
            backlog=ACCEPTED_AT_ONCE,
            log_level="warning",
            access_log=False,
            lifespan="off",
            proxy_headers=False,
            # Longer than load balancers and clients keep idle connections. If
            # the server closed one first, a request being sent would fail.
            timeout_keep_alive=_KEEP_ALIVE_S,
            # uvicorn takes whole seconds; 0 would cut off every request.
            timeout_graceful_shutdown=math.ceil(finish_s),
        )
    )
