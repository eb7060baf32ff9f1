"""The answer of a call in flight: text so far, then the final outcome."""

import asyncio
import dataclasses
import time

from returns.result import Result

from masticdale_common import Failure
from masticdale_programs.operations import Outcome


@dataclasses.dataclass(frozen=True, slots=True)
class StreamPart:
    """One chunk of an answer, as returned to a reader.

    Attributes:
        attempt: Increases when another replica restarts the answer; the
            reader then discards the text it has.
        offset: Position of ``text`` in this attempt, in characters.
        text: New text.
        outcome: Committed outcome or final failure; None while the call runs.
    """

    attempt: int
    offset: int
    text: str
    outcome: Result[Outcome, Failure] | None


class AnswerStream:
    """Buffers one answer for any number of readers, which poll by offset.

    Attributes:
        request_id: The caller's request id.
        content_digest: Digest of the request, to detect reused request ids.
        wait_reason: What the call waits for, for operators.
        cancellable: Whether the call's task may be cancelled.
        replicas: Replicas that may hold engine memory for the call.
        last_read: Monotonic time of the last read, in seconds.
    """

    def __init__(
        self, request_id: str, content_digest: str, first_attempt: int
    ) -> None:
        self.request_id = request_id
        self.content_digest = content_digest
        self.wait_reason = "order"
        self.cancellable = True
        self.replicas: set[str] = set()
        self.last_read = time.monotonic()
        self._attempt = first_attempt
        self._text = ""
        self._outcome: Result[Outcome, Failure] | None = None
        self._changed = asyncio.Event()

    @property
    def attempt(self) -> int:
        """Number of the current attempt."""
        return self._attempt

    @property
    def outcome(self) -> Result[Outcome, Failure] | None:
        """The final outcome; None while the call runs."""
        return self._outcome

    def record_placement(self, replica: str) -> None:
        """See ``TextSink.record_placement``."""
        self.replicas.add(replica)
        self.wait_reason = f"answer of {replica}"

    def set_wait_reason(self, reason: str) -> None:
        """See ``TextSink.set_wait_reason``."""
        self.wait_reason = reason

    def restart(self) -> None:
        """See ``TextSink.restart``."""
        if not self._text:
            return
        self._attempt += 1
        self._text = ""
        self._notify_readers()

    def append(self, text: str) -> None:
        """See ``TextSink.append``."""
        self._text += text
        self._notify_readers()

    def finish(self, outcome: Result[Outcome, Failure]) -> None:
        """Sets the final outcome and notifies every reader."""
        self.wait_reason = "nothing"
        self._outcome = outcome
        self._notify_readers()

    async def read(
        self, attempt: int, offset: int, wait_s: float
    ) -> StreamPart:
        """Waits for new text or the outcome (long polling).

        Args:
            attempt: Attempt that the reader last received.
            offset: Number of characters of that attempt it has.
            wait_s: Longest wait in seconds; the part is empty on timeout.
        """
        self.last_read = time.monotonic()
        try:
            async with asyncio.timeout(wait_s):
                while not self._has_update(attempt, offset):
                    await self._changed.wait()
        except TimeoutError:
            pass
        start = offset if attempt == self._attempt else 0
        return StreamPart(
            self._attempt, start, self._text[start:], self._outcome
        )

    def _has_update(self, attempt: int, offset: int) -> bool:
        if self._outcome is not None or attempt != self._attempt:
            return True
        return len(self._text) > offset

    def _notify_readers(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()
