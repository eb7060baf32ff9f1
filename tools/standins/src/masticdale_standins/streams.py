"""Generations of the engine stand-in and the streams that read them."""

import asyncio
import dataclasses
from collections.abc import AsyncIterator

from masticdale_common import hashing
from masticdale_standins.http import CutError
from masticdale_standins.model import EngineModel, Generation, Phase
from masticdale_standins.settings import EngineSettings
from masticdale_upstreams import wire
from masticdale_upstreams.testing import CHARACTERS_PER_TOKEN

_CROSSED_ID = "crossed"


@dataclasses.dataclass(slots=True, eq=False)
class KeptStream:
    """A generation with its text, kept for readers that come back.

    Attributes:
        request_id: The call's id.
        generation: The model's side.
        text: The whole answer, of which the generated part is shown.
        readers: Connections that read it now.
    """

    request_id: str
    generation: Generation
    text: str
    readers: int = 0


class StreamTable:
    """The streams by request id, and what goes wrong with them."""

    def __init__(self, model: EngineModel, settings: EngineSettings) -> None:
        self.lines_to_cross = 0
        self.streams_to_truncate = 0
        self._model = model
        self._line_interval_s = settings.line_interval_ms / 1000
        self._keepalive_s = settings.keepalive_ms / 1000
        self._grace_s = settings.grace_ms / 1000
        self._freezes = 0
        self._stream_by_request_id: dict[str, KeptStream] = {}
        self._guard_by_request_id: dict[str, asyncio.Task[None]] = {}

    def add(self, stream: KeptStream, deadline_s: float) -> None:
        """Keeps a stream until its readers are gone for the grace time.

        Args:
            stream: The stream.
            deadline_s: After so long the call is cancelled.
        """
        self._stream_by_request_id[stream.request_id] = stream
        self._guard_by_request_id[stream.request_id] = asyncio.create_task(
            self._guard(stream, deadline_s)
        )

    def find(self, request_id: str) -> KeptStream | None:
        """Returns the stream of a request, if it is still kept."""
        return self._stream_by_request_id.get(request_id)

    def cancel(self, request_id: str) -> None:
        """Ends a call and forgets its stream."""
        guard = self._guard_by_request_id.pop(request_id, None)
        if guard is not None:
            guard.cancel()
        stream = self._stream_by_request_id.pop(request_id, None)
        if stream is not None:
            self._model.cancel(stream.generation)

    def clear(self) -> None:
        """Forgets every stream, as a crash does."""
        for request_id in list(self._stream_by_request_id):
            self.cancel(request_id)

    def freeze(self) -> None:
        """Makes every open connection silent for good; new ones work."""
        self._freezes += 1

    async def lines(
        self, stream: KeptStream, offset: int
    ) -> AsyncIterator[bytes]:
        """Yields a stream's lines from an offset to the end marker.

        Raises:
            CutError: The call was cancelled or the engine crashed.
        """
        freezes = self._freezes
        stream.readers += 1
        try:
            async for line in self._lines(stream, offset):
                if freezes < self._freezes:
                    await asyncio.Event().wait()
                if self._takes_crossing():
                    line = line.model_copy(update={"request_id": _CROSSED_ID})
                yield line.model_dump_json().encode() + b"\n"
        finally:
            stream.readers -= 1

    async def _lines(
        self, stream: KeptStream, offset: int
    ) -> AsyncIterator[wire.StreamLine]:
        loop = asyncio.get_running_loop()
        generation = stream.generation
        last_line_at = loop.time()
        while True:
            ended = generation.ended.is_set()
            if ended and generation.phase is not Phase.DONE:
                raise CutError
            tokens = self._model.generated_tokens(generation)
            text = stream.text[offset : tokens * CHARACTERS_PER_TOKEN]
            if text or loop.time() - last_line_at >= self._keepalive_s:
                last_line_at = loop.time()
                yield wire.TextLine(
                    request_id=stream.request_id, offset=offset, text=text
                )
                offset += len(text)
            if ended:
                break
            await self._pause(generation)
        if self.streams_to_truncate:
            self.streams_to_truncate -= 1
            return
        yield _end_line(stream)

    async def _pause(self, generation: Generation) -> None:
        try:
            async with asyncio.timeout(self._line_interval_s):
                await generation.ended.wait()
        except TimeoutError:
            return

    async def _guard(self, stream: KeptStream, deadline_s: float) -> None:
        loop = asyncio.get_running_loop()
        deadline = loop.time() + deadline_s
        read_at = loop.time()
        poll_s = max(self._grace_s, self._line_interval_s) / 4
        while loop.time() < deadline and loop.time() - read_at < self._grace_s:
            await asyncio.sleep(poll_s)
            if stream.readers:
                read_at = loop.time()
        self._guard_by_request_id.pop(stream.request_id, None)
        self.cancel(stream.request_id)

    def _takes_crossing(self) -> bool:
        if not self.lines_to_cross:
            return False
        self.lines_to_cross -= 1
        return True


def _end_line(stream: KeptStream) -> wire.EndLine:
    call = stream.generation.call
    return wire.EndLine(
        request_id=stream.request_id,
        done=True,
        length=len(stream.text),
        digest=hashing.digest(stream.text),
        prompt_tokens=call.prompt.tokens,
        cached_tokens=stream.generation.cached_tokens,
        generated_tokens=call.answer_tokens,
    )
