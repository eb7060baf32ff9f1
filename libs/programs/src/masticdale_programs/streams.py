"""The answer of one call in flight: text so far, then a final outcome."""

import asyncio
import dataclasses
import time

from returns.result import Result

from masticdale_common import Failure
from masticdale_programs.operations import Outcome


@dataclasses.dataclass(frozen=True, slots=True)
class StreamPart:
    """What a reader gets.

    Attributes:
        attempt: Grows when another replica began the answer anew; the reader
            then forgets what it has.
        offset: Characters of this attempt before ``text``.
        text: New characters.
        outcome: The committed outcome or final failure; None while it runs.
    """

    attempt: int
    offset: int
    text: str
    outcome: Result[Outcome, Failure] | None


class AnswerStream:
    """Collects one answer; any number of readers follow it by offset."""

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
        """The present attempt."""
        return self._attempt

    @property
    def outcome(self) -> Result[Outcome, Failure] | None:
        """The final outcome, once there is one."""
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
        """Sets the final outcome and wakes every reader."""
        self.wait_reason = "nothing"
        self._outcome = outcome
        self._notify_readers()

    async def read(
        self, attempt: int, offset: int, wait_s: float
    ) -> StreamPart:
        """Waits for something new.

        Args:
            attempt: The attempt the reader follows.
            offset: Characters of that attempt it already has.
            wait_s: Longest wait; an empty part says nothing is new.
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
