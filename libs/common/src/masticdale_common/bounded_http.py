"""Reads HTTP responses whose size is bounded.

httpx collects a body whole, whatever its size: a server that sends without end
would take all memory of the process.
"""

from typing import Any

import httpx

# Compressed bodies are refused: a small one may unfold to any size.
_HEADERS = {"Accept-Encoding": "identity"}


class OversizedBodyError(httpx.RemoteProtocolError):
    """The body of a response exceeds its maximum size, or is compressed."""


async def request(
    client: httpx.AsyncClient,
    method: str,
    url: str,
    max_bytes: int,
    *,
    headers: dict[str, str] | None = None,
    **options: Any,
) -> httpx.Response:
    """Sends a request and reads the whole response.

    Args:
        client: The client.
        method: HTTP method.
        url: Path at the client's base URL.
        max_bytes: Maximum size of the body.
        headers: Header fields.
        **options: Passed on to httpx.

    Raises:
        OversizedBodyError: The body is too large, or compressed.
        httpx.HTTPError: As for ``httpx.AsyncClient.request``.
    """
    body = bytearray()
    async with client.stream(
        method, url, headers=_HEADERS | (headers or {}), **options
    ) as response:
        if response.headers.get("content-encoding"):
            raise OversizedBodyError(f"{url}: the body is compressed")
        async for chunk in response.aiter_bytes():
            body += chunk
            if len(body) > max_bytes:
                raise OversizedBodyError(
                    f"{url}: the body exceeds {max_bytes} bytes"
                )
    return httpx.Response(
        response.status_code,
        headers=response.headers,
        content=bytes(body),
        request=response.request,
    )
