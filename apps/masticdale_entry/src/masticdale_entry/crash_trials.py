"""Claims single runs of held contents in the store.

A held content is run again now and then, to find out whether it still ends
replicas. All hosts together must not try more often than one would, so that a
trial is claimed by a conditional write.
"""

import dataclasses
import time

import pydantic
from returns.result import Failure as Failed
from returns.result import Result, Success

from masticdale_common import ErrorKind, Failure, logs
from masticdale_platform import MUST_NOT_EXIST, ObjectStore, StoredObject
from masticdale_routing.crashes import (
    RETENTION_S,
    is_target_key,
    trial_wait_s,
)

TRIAL_PREFIX = "crash-trials/"
# Time after which a claim that the store did not answer is made again, in
# seconds.
_UNAVAILABLE_RETRY_S = 1.0
# Time in which the trial of a target shows its result, in seconds. Until then
# other contents of the target, which may be harmless, come back this soon.
_RESULT_WAIT_S = 0.5
# Claims that this host remembers, to give them back.
_MAX_CLAIMS = 100
# Age of trials, in seconds, at which they are deleted. No content is held for
# as long without a new crash.
_ABANDONED_S = 2 * RETENTION_S


class _Trials(pydantic.BaseModel):
    """The JSON of the trials of one content.

    Attributes:
        count: Number of trials so far.
        at_ms: Wall-clock milliseconds of the last one.
    """

    count: int
    at_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class _Claim:
    """A trial of this host: its number, and the object's version."""

    count: int
    version: int


class StoredTrials:
    """``TrialClaims`` in the platform's store."""

    def __init__(self, store: ObjectStore) -> None:
        self._store = store
        self._claim_by_content: dict[str, _Claim] = {}

    async def claim(self, content: str) -> float:
        """See ``TrialClaims.claim``."""
        key = TRIAL_PREFIX + content
        found = await self._store.read(key)
        if isinstance(found, Failed):
            return _UNAVAILABLE_RETRY_S
        stored = found.unwrap()
        trials = _parse(stored) if stored else None
        count = trials.count if trials else 0
        if trials is not None:
            # Clocks of hosts differ.
            since_s = max(0.0, (_now_ms() - trials.at_ms) / 1000)
            wait_s = trial_wait_s(content, trials.count, since_s)
            if wait_s:
                is_pending = since_s < _RESULT_WAIT_S and is_target_key(content)
                return _RESULT_WAIT_S if is_pending else wait_s
        outcome = await self._write(
            key,
            _Trials(count=count + 1, at_ms=_now_ms()),
            stored.version if stored else MUST_NOT_EXIST,
        )
        if isinstance(outcome, Failed):
            return _wait_after(outcome.failure(), content, count)
        self._claim_by_content[content] = _Claim(count + 1, outcome.unwrap())
        while len(self._claim_by_content) > _MAX_CLAIMS:
            del self._claim_by_content[next(iter(self._claim_by_content))]
        return 0.0

    async def withdraw(self, content: str) -> None:
        """See ``TrialClaims.withdraw``."""
        claim = self._claim_by_content.pop(content, None)
        if claim is None:
            return
        key = TRIAL_PREFIX + content
        if claim.count == 1:
            await self._delete(key, claim.version)
            return
        # It was due when it was claimed, and is again.
        await self._write(
            key, _Trials(count=claim.count - 1, at_ms=0), claim.version
        )

    async def end(self, content: str) -> None:
        """See ``TrialClaims.end``."""
        self._claim_by_content.pop(content, None)
        key = TRIAL_PREFIX + content
        found = await self._store.read(key)
        if isinstance(found, Success) and (stored := found.unwrap()):
            await self._delete(key, stored.version)

    async def delete_abandoned(self) -> None:
        """Deletes the trials of contents that are no longer held."""
        listed = await self._store.list(TRIAL_PREFIX)
        if isinstance(listed, Failed):
            return
        oldest_ms = _now_ms() - 1000 * _ABANDONED_S
        for stored in listed.unwrap():
            trials = _parse(stored)
            if trials is None or trials.at_ms < oldest_ms:
                await self._delete(stored.key, stored.version)

    async def _write(
        self, key: str, trials: _Trials, version: int
    ) -> Result[int, Failure]:
        value = trials.model_dump_json().encode()
        return await self._store.write(key, value, version)

    async def _delete(self, key: str, version: int) -> None:
        outcome = await self._store.delete(key, version)
        if isinstance(outcome, Failed):
            logs.write_bounded(
                "trial_not_deleted", key=key, reason=str(outcome.failure())
            )


def _wait_after(failure: Failure, content: str, count: int) -> float:
    if failure.kind is not ErrorKind.CONFLICT:
        return _UNAVAILABLE_RETRY_S
    # Another host has just claimed it.
    if is_target_key(content):
        return _RESULT_WAIT_S
    return trial_wait_s(content, count + 1, 0.0)


def _parse(stored: StoredObject) -> _Trials | None:
    try:
        return _Trials.model_validate_json(stored.value)
    except pydantic.ValidationError as error:
        logs.write_bounded(
            "trials_unreadable", key=stored.key, error=str(error)[:200]
        )
        return None


def _now_ms() -> int:
    return time.time_ns() // 1_000_000
