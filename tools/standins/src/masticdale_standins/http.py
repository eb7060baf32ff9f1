"""Responses that fail on purpose, and the server that sends them."""

import asyncio
from collections.abc import AsyncIterator
from typing import Any

import litestar
import uvicorn
from litestar.types import ASGIApp, Receive, Scope, Send

from masticdale_standins.settings import ListenSettings

_SHUTDOWN_TIMEOUT_S = 1


class StreamAbortedError(Exception):
    """Aborts a streamed response."""


class AsgiResponse(litestar.Response[Any]):
    """A response that an ASGI app sends."""

    def __init__(self, app: ASGIApp) -> None:
        super().__init__(content=None)
        self._app = app

    def to_asgi_response(self, *_: Any, **__: Any) -> Any:
        """Returns the ASGI app."""
        return self._app


class LineStream:
    """Streams lines until their end, an abort, or a disconnect."""

    def __init__(self, lines: AsyncIterator[bytes], media_type: str) -> None:
        self._lines = lines
        self._media_type = media_type

    async def __call__(
        self, scope: Scope, receive: Receive, send: Send
    ) -> None:
        """Sends the response of one request."""
        del scope
        await send(
            _response_start([(b"content-type", self._media_type.encode())])
        )
        tasks = {
            asyncio.create_task(self._send_lines(send)),
            asyncio.create_task(_until_disconnect(receive)),
        }
        # A frozen stream writes nothing, so writes don't reveal a disconnect.
        await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    async def _send_lines(self, send: Send) -> None:
        try:
            async for line in self._lines:
                await send(_response_body(line, more_body=True))
        except StreamAbortedError:
            # Without the final body message the server closes the connection.
            return
        await send(_response_body(b"", more_body=False))


async def abort_response(scope: Scope, receive: Receive, send: Send) -> None:
    """Starts a response and closes the connection."""
    del scope, receive
    await send(_response_start([(b"content-length", b"1")]))


async def never_respond(scope: Scope, receive: Receive, send: Send) -> None:
    """Sends no response until the client disconnects."""
    del scope, send
    await _until_disconnect(receive)


def serve(app: litestar.Litestar, settings: ListenSettings) -> None:
    """Serves until SIGTERM."""
    uvicorn.run(
        app,
        host=settings.host,
        port=settings.port,
        log_level="warning",
        access_log=False,
        timeout_graceful_shutdown=_SHUTDOWN_TIMEOUT_S,
    )


async def _until_disconnect(receive: Receive) -> None:
    while (await receive())["type"] != "http.disconnect":
        pass


def _response_start(headers: list[tuple[bytes, bytes]]) -> Any:
    return {
        "type": "http.response.start",
        "status": 200,
        "headers": headers,
    }


def _response_body(content: bytes, more_body: bool) -> Any:
    return {
        "type": "http.response.body",
        "body": content,
        "more_body": more_body,
    }
