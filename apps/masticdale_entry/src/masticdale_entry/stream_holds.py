"""Keeps the longest time for which callers hold streams in the store.

A host that was started after a loss of all others has no other way to know for
how long callers may still resume streams that it has never heard of.
"""

import asyncio
import math

import pydantic
from returns.result import Failure as Failed

from masticdale_common import ErrorKind, Metrics, logs
from masticdale_platform import MUST_NOT_EXIST, ObjectStore, StoredObject
from masticdale_routing.versions import MAX_HOLD_S, MIN_HOLD_S

HOLD_KEY = "stream-holds/longest"
# Longest time for which the first event of a stream waits for the record, in
# seconds.
_RAISE_TIMEOUT_S = 0.1
# Longest time for which a resumed stream waits for the record, in seconds.
_READ_TIMEOUT_S = 0.15
# Time after which a record that the store did not take is written again, in
# seconds.
_RETRY_S = 1.0
# Age up to which a record that was read is used, in seconds. Streams that began
# since then are younger than ``MIN_HOLD_S``, so that it need not cover them.
_REUSE_S = MIN_HOLD_S / 2


class _StoredHold(pydantic.BaseModel):
    """The JSON of the record.

    Attributes:
        longest_s: The time in seconds.
    """

    longest_s: float


class StoredHold:
    """``LongestHold`` in the platform's store.

    Attributes:
        known_s: See ``LongestHold``; times up to ``MIN_HOLD_S`` are not
            recorded.
    """

    def __init__(self, store: ObjectStore, metrics: Metrics) -> None:
        self.known_s = MIN_HOLD_S
        self._store = store
        self._metrics = metrics
        self._target_s = 0.0
        self._read_at = -math.inf
        self._raising: asyncio.Task[None] | None = None
        self._reading: asyncio.Task[bool] | None = None

    async def raise_to(self, hold_s: float) -> None:
        """See ``LongestHold.raise_to``."""
        # In powers of two, so that deadlines of all lengths cause few writes.
        rounded_s = 2.0 ** math.ceil(math.log2(hold_s))
        self._target_s = max(self._target_s, min(rounded_s, MAX_HOLD_S))
        if self._raising is None or self._raising.done():
            self._raising = asyncio.create_task(self._raise())
        await asyncio.wait({self._raising}, timeout=_RAISE_TIMEOUT_S)

    async def read(self) -> float | None:
        """See ``LongestHold.read``."""
        if asyncio.get_running_loop().time() - self._read_at < _REUSE_S:
            return self.known_s
        if self._reading is None or self._reading.done():
            self._reading = asyncio.create_task(self._refresh())
        reading = self._reading
        await asyncio.wait({reading}, timeout=_READ_TIMEOUT_S)
        return self.known_s if reading.done() and reading.result() else None

    async def close(self) -> None:
        """Ends what goes on in the background."""
        tasks = [t for t in (self._raising, self._reading) if t is not None]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    async def _raise(self) -> None:
        while self.known_s < self._target_s:
            if not await self._try_raise():
                await asyncio.sleep(_RETRY_S)

    async def _try_raise(self) -> bool:
        """Returns whether the next try need not wait."""
        target_s = self._target_s
        found = await self._store.read(HOLD_KEY)
        if isinstance(found, Failed):
            return False
        stored = found.unwrap()
        recorded_s = _parse(stored)
        if recorded_s >= target_s:
            self.known_s = recorded_s
            return True
        value = _StoredHold(longest_s=target_s).model_dump_json().encode()
        outcome = await self._store.write(
            HOLD_KEY, value, stored.version if stored else MUST_NOT_EXIST
        )
        if isinstance(outcome, Failed):
            return outcome.failure().kind is ErrorKind.CONFLICT
        self.known_s = target_s
        self._metrics.count("stream_hold_raises_total")
        logs.write("stream_hold_raised", longest_s=target_s)
        return True

    async def _refresh(self) -> bool:
        """Returns whether the store told the record."""
        began_at = asyncio.get_running_loop().time()
        found = await self._store.read(HOLD_KEY)
        if isinstance(found, Failed):
            return False
        # A record that was deleted is written again by the next long stream.
        self.known_s = _parse(found.unwrap())
        self._read_at = began_at
        return True


def _parse(stored: StoredObject | None) -> float:
    """Returns the recorded time; ``MAX_HOLD_S`` if it can't be read."""
    if stored is None:
        return MIN_HOLD_S
    try:
        longest_s = _StoredHold.model_validate_json(stored.value).longest_s
    except pydantic.ValidationError as error:
        logs.write_bounded("stream_hold_unreadable", error=str(error)[:200])
        return MAX_HOLD_S
    return min(max(longest_s, MIN_HOLD_S), MAX_HOLD_S)
