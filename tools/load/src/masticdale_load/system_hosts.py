"""Client-side load balancing over the ready hosts."""

import asyncio
import itertools

import httpx

_POLL_S = 0.2
_TIMEOUT_S = 1.0
_READY_PATH = "/readyz"


class Balancer:
    """Selects hosts round robin among those that were ready at last poll."""

    def __init__(self, url_by_host: dict[str, str]) -> None:
        self._url_by_host = url_by_host
        self._ready = frozenset(url_by_host)
        self._request_numbers = itertools.count()

    def next_url(self) -> str:
        """Returns the next URL; uses all hosts if none is ready."""
        hosts = sorted(self._ready) or sorted(self._url_by_host)
        return self._url_by_host[
            hosts[next(self._request_numbers) % len(hosts)]
        ]

    def urls(self) -> tuple[str, ...]:
        """Returns the URLs of all hosts."""
        return tuple(self._url_by_host.values())

    async def is_ready(self, host: str) -> bool:
        """Polls the readiness of one host."""
        async with _http() as http:
            return await _is_ready(http, self._url_by_host[host])

    async def run(self) -> None:
        """Polls the readiness of all hosts until cancelled."""
        async with _http() as http:
            while True:
                hosts = list(self._url_by_host)
                ready = await asyncio.gather(
                    *(_is_ready(http, self._url_by_host[h]) for h in hosts)
                )
                self._ready = frozenset(itertools.compress(hosts, ready))
                await asyncio.sleep(_POLL_S)


def _http() -> httpx.AsyncClient:
    return httpx.AsyncClient(timeout=_TIMEOUT_S, trust_env=False)


async def _is_ready(http: httpx.AsyncClient, url: str) -> bool:
    try:
        return (await http.get(url + _READY_PATH)).is_success
    except httpx.TransportError:
        return False
