"""Answers that break on purpose, and the server that gives them."""

import asyncio
from collections.abc import AsyncIterator
from typing import Any

import litestar
import uvicorn
from litestar.types import ASGIApp, Receive, Scope, Send

from masticdale_standins.settings import ListenSettings

_GRACEFUL_STOP_S = 1


class CutError(Exception):
    """Ends a stream's connection in the middle."""


class AppResponse(litestar.Response[Any]):
    """A response given by an ASGI app of its own."""

    def __init__(self, app: ASGIApp) -> None:
        super().__init__(content=None)
        self._app = app

    def to_asgi_response(self, *_: Any, **__: Any) -> Any:
        """Returns the app in place of a response made from content."""
        return self._app


class LineStream:
    """Streams lines until they end, break or the reader goes away."""

    def __init__(self, lines: AsyncIterator[bytes], media_type: str) -> None:
        self._lines = lines
        self._media_type = media_type

    async def __call__(
        self, scope: Scope, receive: Receive, send: Send
    ) -> None:
        """Answers one request."""
        del scope
        await send(_start([(b"content-type", self._media_type.encode())]))
        tasks = {
            asyncio.create_task(self._send_lines(send)),
            asyncio.create_task(_until_disconnect(receive)),
        }
        # A frozen stream sends nothing more, so a reader that gave up would
        # not be noticed by writing.
        await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    async def _send_lines(self, send: Send) -> None:
        try:
            async for line in self._lines:
                await send(_body(line, more_body=True))
        except CutError:
            # Without the last empty body the server closes the connection.
            return
        await send(_body(b"", more_body=False))


async def cut_answer(scope: Scope, receive: Receive, send: Send) -> None:
    """Begins an answer and closes the connection."""
    del scope, receive
    await send(_start([(b"content-length", b"1")]))


async def hang(scope: Scope, receive: Receive, send: Send) -> None:
    """Never answers."""
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
        timeout_graceful_shutdown=_GRACEFUL_STOP_S,
    )


async def _until_disconnect(receive: Receive) -> None:
    while (await receive())["type"] != "http.disconnect":
        pass


def _start(headers: list[tuple[bytes, bytes]]) -> Any:
    return {
        "type": "http.response.start",
        "status": 200,
        "headers": headers,
    }


def _body(content: bytes, more_body: bool) -> Any:
    return {
        "type": "http.response.body",
        "body": content,
        "more_body": more_body,
    }
