"""HTTP server of readiness, metrics and the state dump."""

import asyncio
import json
from collections.abc import Callable

from masticdale_common import ConnectionBudget, Failure, Metrics, StateDump
from masticdale_gateway.callers import (
    CallerConnection,
    ResponseWriter,
    close_gracefully,
)
from masticdale_gateway.messages import Request
from masticdale_gateway.transports import ConnectionLostError

Page = Callable[[], tuple[int, bytes]]


class StatusServer:
    """Serves fixed paths."""

    def __init__(
        self, page_by_path: dict[str, Page], budget: ConnectionBudget
    ) -> None:
        """Initializes the server.

        Args:
            page_by_path: The pages.
            budget: What its connections may hold, with those of callers.
        """
        self._page_by_path = page_by_path
        self._budget = budget

    async def listen(self, host: str, port: int) -> asyncio.Server:
        """Starts to accept connections."""
        loop = asyncio.get_running_loop()
        return await loop.create_server(
            lambda: CallerConnection(self._serve, set(), self._budget),
            host,
            port,
        )

    async def _serve(self, connection: CallerConnection) -> None:
        try:
            while True:
                request = await connection.next_request()
                if request is None or isinstance(request, Failure):
                    break
                await self._respond(connection, request)
                connection.end_request()
                if not request.keeps_alive:
                    break
            await close_gracefully(connection)
        except ConnectionLostError:
            connection.abort()

    async def _respond(
        self, connection: CallerConnection, request: Request
    ) -> None:
        page = self._page_by_path.get(request.path)
        status, body = page() if page else (404, b"")
        writer = ResponseWriter(connection, request.keeps_alive)
        await writer.send(status, [], body)


def metrics_page(metrics: Metrics) -> Page:
    """Returns a page with all metrics."""
    return lambda: (200, metrics.render())


def dump_page(dump: StateDump) -> Page:
    """Returns a page with the state dump."""
    return lambda: (200, json.dumps(dump.collect(), default=str).encode())
