"""HTTP connection pools that are replaced when a connection stops answering."""

import asyncio
import contextlib
import dataclasses
from collections.abc import AsyncIterator, Callable
from typing import Any

import httpx

from masticdale_common import bounded_http

_KEEPALIVE_EXPIRY_S = 5.0
_CONNECT_TIMEOUT_RATIO = 0.5
# Some ten times the largest request that a caller may send.
_MAX_BODY_BYTES = 4 << 20
_LIMITS = httpx.Limits(
    max_connections=None,
    max_keepalive_connections=32,
    keepalive_expiry=_KEEPALIVE_EXPIRY_S,
)

NOT_SENT_ERRORS = (httpx.ConnectError, httpx.ConnectTimeout, httpx.PoolTimeout)


@dataclasses.dataclass(slots=True, eq=False)
class _Pool:
    http: httpx.AsyncClient
    active_calls: int = 0


class Connections:
    """The connections to one upstream.

    A middlebox may drop the state of a connection, which then accepts bytes
    and never answers. Idle connections of the same pool are likely affected
    too, and each would cost one more call its whole timeout. A timeout
    therefore retires the whole pool: later calls open new connections, and
    calls in flight keep the old pool until they end.
    """

    def __init__(self, make_http: Callable[[], httpx.AsyncClient]) -> None:
        self._make_http = make_http
        self._current = _Pool(make_http())

    @contextlib.asynccontextmanager
    async def acquire(self) -> AsyncIterator[httpx.AsyncClient]:
        """Provides the client of the current pool for one call."""
        pool = self._current
        pool.active_calls += 1
        try:
            yield pool.http
        finally:
            pool.active_calls -= 1
            if pool is not self._current and not pool.active_calls:
                await pool.http.aclose()

    async def send(
        self, method: str, path: str, timeout_s: float, **options: Any
    ) -> httpx.Response:
        """Sends a request without retries and reads the whole response.

        Args:
            method: HTTP method.
            path: Path at the upstream.
            timeout_s: Longest wait for the whole response.
            **options: Passed on to httpx.

        Returns:
            The response, whatever its status.

        Raises:
            httpx.ConnectError: No connection was made; nothing was sent.
            httpx.ConnectTimeout: As for ``httpx.ConnectError``.
            httpx.HTTPError: The connection broke, or the response is too large.
            TimeoutError: The response did not arrive in time.
        """
        # The connect timeout is shorter than that of the call, to tell a host
        # that accepts no connection from one that received the request.
        timeouts = httpx.Timeout(
            timeout_s, connect=timeout_s * _CONNECT_TIMEOUT_RATIO
        )
        async with self.acquire() as http:
            try:
                async with asyncio.timeout(timeout_s):
                    return await bounded_http.request(
                        http,
                        method,
                        path,
                        _MAX_BODY_BYTES,
                        timeout=timeouts,
                        **options,
                    )
            except (httpx.ReadTimeout, httpx.WriteTimeout, TimeoutError) as e:
                self.retire_pool(http)
                raise TimeoutError(
                    f"{path}: no response before the timeout"
                ) from e

    def retire_pool(self, client: httpx.AsyncClient) -> None:
        """Replaces the pool of a connection that stopped answering.

        Args:
            client: Client of that pool; ignored if it is retired already.
        """
        if self._current.http is client:
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
    # All pools share one TLS context: loading the certificate authorities
    # takes longer than a call, and pools are replaced when calls are already
    # late.
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
