"""HTTP connections that are replaced once one of them went silent."""

import asyncio
import contextlib
import dataclasses
from collections.abc import AsyncIterator, Callable
from typing import Any

import httpx

_KEEPALIVE_EXPIRY_S = 5.0
_CONNECT_SHARE = 0.5
_LIMITS = httpx.Limits(
    max_connections=None,
    max_keepalive_connections=32,
    keepalive_expiry=_KEEPALIVE_EXPIRY_S,
)

NEVER_SENT = (httpx.ConnectError, httpx.ConnectTimeout, httpx.PoolTimeout)


@dataclasses.dataclass(slots=True, eq=False)
class _Pool:
    http: httpx.AsyncClient
    users: int = 0


class Connections:
    """The connections to one upstream.

    Between the two ends something may lose track of a connection: it takes
    our bytes and never answers, while new connections work. The idle ones of
    the same pool are likely as dead, and a call sent on one would wait out
    its whole timeout again. So a silent connection retires the whole pool:
    later calls open new connections, and calls under way keep the old pool
    until they end.
    """

    def __init__(self, make_http: Callable[[], httpx.AsyncClient]) -> None:
        self._make_http = make_http
        self._current = _Pool(make_http())

    @contextlib.asynccontextmanager
    async def lease(self) -> AsyncIterator[httpx.AsyncClient]:
        """Lends the current pool's client for one call."""
        pool = self._current
        pool.users += 1
        try:
            yield pool.http
        finally:
            pool.users -= 1
            if pool is not self._current and not pool.users:
                await pool.http.aclose()

    async def send(
        self, method: str, path: str, timeout_s: float, **options: Any
    ) -> httpx.Response:
        """Sends one request, once, and reads its whole answer.

        Args:
            method: HTTP method.
            path: Path at the upstream.
            timeout_s: Longest wait for the whole answer.
            **options: Passed on to httpx.

        Returns:
            The answer, whatever its status.

        Raises:
            httpx.ConnectError: No connection was made; nothing was sent.
            httpx.ConnectTimeout: The same.
            httpx.HTTPError: The connection broke.
            TimeoutError: The answer did not come in time.
        """
        # The connect gets less than the whole time, so that a host that takes
        # no connection is told from one that took the request.
        limits = httpx.Timeout(timeout_s, connect=timeout_s * _CONNECT_SHARE)
        async with self.lease() as http:
            try:
                async with asyncio.timeout(timeout_s):
                    return await http.request(
                        method, path, timeout=limits, **options
                    )
            except (httpx.ReadTimeout, httpx.WriteTimeout, TimeoutError) as e:
                self.replace(http)
                raise TimeoutError(f"{path}: no answer") from e

    def replace(self, silent: httpx.AsyncClient) -> None:
        """Retires the pool of a connection that went silent.

        Args:
            silent: The lent client; nothing happens if it is retired already.
        """
        if self._current.http is silent:
            self._current = _Pool(self._make_http())

    async def close(self) -> None:
        """Closes the current pool."""
        await self._current.http.aclose()


def create_connections(base_url: str, timeout_s: float) -> Connections:
    """Returns connections to an upstream.

    Args:
        base_url: Scheme, IP number and port.
        timeout_s: Longest wait for one connect, read or write.
    """
    # One context for all pools: loading the authorities takes longer than a
    # call, and a pool is replaced just when calls are late already.
    context = httpx.create_ssl_context()

    def make_http() -> httpx.AsyncClient:
        return httpx.AsyncClient(
            base_url=base_url,
            timeout=timeout_s,
            limits=_LIMITS,
            verify=context,
            trust_env=False,
        )

    return Connections(make_http)
