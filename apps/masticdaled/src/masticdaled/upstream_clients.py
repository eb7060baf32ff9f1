"""Creates and caches the clients of engines and services."""

import asyncio
import dataclasses

from masticdale_common import Metrics
from masticdale_config import (
    RenderedEngine,
    RenderedService,
    RenderedUpstream,
)
from masticdale_upstreams import (
    EngineClient,
    EngineOptions,
    ServiceClient,
    ServiceOptions,
    create_engine_client,
    create_service_client,
)


@dataclasses.dataclass(frozen=True, slots=True)
class _CachedClient:
    address: str
    client: EngineClient | ServiceClient


class UpstreamClients:
    """Caches a client for each upstream; replaces it if the address changes."""

    def __init__(self, metrics: Metrics) -> None:
        self._metrics = metrics
        self._cached_by_name: dict[str, _CachedClient] = {}
        self._closing: set[asyncio.Task[None]] = set()

    def engine(self, upstream: RenderedEngine) -> EngineClient:
        """Returns the client of an engine at its current address."""
        cached = self._find_cached(upstream)
        if cached is not None and isinstance(cached.client, EngineClient):
            return cached.client
        options = EngineOptions(base_url=f"http://{upstream.address}")
        client = create_engine_client(options, self._metrics)
        self._cached_by_name[upstream.name] = _CachedClient(
            upstream.address, client
        )
        return client

    def service(self, upstream: RenderedService) -> ServiceClient:
        """Returns the client of a service at its current address."""
        cached = self._find_cached(upstream)
        if cached is not None and isinstance(cached.client, ServiceClient):
            return cached.client
        options = ServiceOptions(base_url=f"http://{upstream.address}")
        client = create_service_client(options, self._metrics)
        self._cached_by_name[upstream.name] = _CachedClient(
            upstream.address, client
        )
        return client

    async def close(self) -> None:
        """Closes the clients and waits for replaced ones to close."""
        for cached in self._cached_by_name.values():
            await cached.client.close()
        await asyncio.gather(*self._closing, return_exceptions=True)

    def _find_cached(self, upstream: RenderedUpstream) -> _CachedClient | None:
        cached = self._cached_by_name.get(upstream.name)
        if cached is None or cached.address == upstream.address:
            return cached
        del self._cached_by_name[upstream.name]
        task = asyncio.create_task(cached.client.close())
        self._closing.add(task)
        task.add_done_callback(self._closing.discard)
        return None
