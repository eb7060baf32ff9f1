"""Resumable streams of the fake engine's generations."""

import asyncio
import dataclasses
from collections.abc import AsyncIterator

from masticdale_common import hashing
from masticdale_standins.http import StreamAbortedError
from masticdale_standins.model import EngineModel, Generation, Phase
from masticdale_standins.settings import EngineSettings
from masticdale_upstreams import wire
from masticdale_upstreams.testing import CHARACTERS_PER_TOKEN

_WRONG_REQUEST_ID = "crossed"


@dataclasses.dataclass(slots=True, eq=False)
class RetainedStream:
    """A generation and its text, retained so that readers can resume.

    Attributes:
        request_id: Id of the call.
        generation: The call in the model.
        text: Full text of the answer; only the generated part is sent.
        readers: Number of connections that read the stream.
    """

    request_id: str
    generation: Generation
    text: str
    readers: int = 0


class StreamTable:
    """Streams by request id, and their faults.

    Attributes:
        lines_to_mismatch: Number of next lines to send with a wrong request id.
        streams_to_truncate: Number of next streams to end without end marker.
    """

    def __init__(self, model: EngineModel, settings: EngineSettings) -> None:
        self.lines_to_mismatch = 0
        self.streams_to_truncate = 0
        self._model = model
        self._line_interval_s = settings.line_interval_ms / 1000
        self._keepalive_s = settings.keepalive_ms / 1000
        self._grace_s = settings.grace_ms / 1000
        self._freeze_count = 0
        self._stream_by_request_id: dict[str, RetainedStream] = {}
        self._expiry_task_by_request_id: dict[str, asyncio.Task[None]] = {}

    def add(self, stream: RetainedStream, deadline_s: float) -> None:
        """Retains a stream until it had no reader for the grace period.

        Args:
            stream: The stream.
            deadline_s: Time after which the call is cancelled, in seconds.
        """
        self._stream_by_request_id[stream.request_id] = stream
        self._expiry_task_by_request_id[stream.request_id] = (
            asyncio.create_task(self._expire(stream, deadline_s))
        )

    def find(self, request_id: str) -> RetainedStream | None:
        """Returns the stream of a request; None if it is not retained."""
        return self._stream_by_request_id.get(request_id)

    def cancel(self, request_id: str) -> None:
        """Cancels a call and drops its stream."""
        expiry_task = self._expiry_task_by_request_id.pop(request_id, None)
        if expiry_task is not None:
            expiry_task.cancel()
        stream = self._stream_by_request_id.pop(request_id, None)
        if stream is not None:
            self._model.cancel(stream.generation)

    def clear(self) -> None:
        """Drops every stream, as a crash does."""
        for request_id in list(self._stream_by_request_id):
            self.cancel(request_id)

    def freeze(self) -> None:
        """Stops sending on all open connections; new ones work."""
        self._freeze_count += 1

    async def lines(
        self, stream: RetainedStream, offset: int
    ) -> AsyncIterator[bytes]:
        """Yields a stream's lines from an offset to the end marker.

        Args:
            stream: The stream.
            offset: Offset in the answer, in characters.

        Raises:
            StreamAbortedError: The call was cancelled or the engine crashed.
        """
        freeze_count = self._freeze_count
        stream.readers += 1
        try:
            async for line in self._lines(stream, offset):
                if freeze_count < self._freeze_count:
                    await asyncio.Event().wait()
                if self._consume_mismatch():
                    line = line.model_copy(
                        update={"request_id": _WRONG_REQUEST_ID}
                    )
                yield line.model_dump_json().encode() + b"\n"
        finally:
            stream.readers -= 1

    async def _lines(
        self, stream: RetainedStream, offset: int
    ) -> AsyncIterator[wire.StreamLine]:
        loop = asyncio.get_running_loop()
        generation = stream.generation
        last_line_at = loop.time()
        while True:
            ended = generation.ended.is_set()
            if ended and generation.phase is not Phase.DONE:
                raise StreamAbortedError
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

    async def _expire(self, stream: RetainedStream, deadline_s: float) -> None:
        loop = asyncio.get_running_loop()
        deadline = loop.time() + deadline_s
        last_read_at = loop.time()
        poll_s = max(self._grace_s, self._line_interval_s) / 4
        while (
            loop.time() < deadline
            and loop.time() - last_read_at < self._grace_s
        ):
            await asyncio.sleep(poll_s)
            if stream.readers:
                last_read_at = loop.time()
        self._expiry_task_by_request_id.pop(stream.request_id, None)
        self.cancel(stream.request_id)

    def _consume_mismatch(self) -> bool:
        if not self.lines_to_mismatch:
            return False
        self.lines_to_mismatch -= 1
        return True


def _end_line(stream: RetainedStream) -> wire.EndLine:
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
