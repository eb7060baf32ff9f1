"""Streams that callers resume while replicas of two software versions serve."""

import asyncio
import collections
import random
import re
import time
from collections.abc import Iterable, Iterator, Mapping

from masticdale_soak.load_generator import Attempt, LoadGenerator, RequestKind

_WORKERS = 12
# Requests of one stream.
_MAX_ATTEMPTS = 4
_MAX_PAUSE_S = 0.1
# As the users' rules state it: resumptions from which on their share counts,
# and what it must be of the share of new streams that begin.
_MIN_RESUMPTIONS = 12
_LEAST_SHARE = 0.5
_EVENT = re.compile(rb"data: piece \d+\.0 of \S+ by (\S+)\n\n")


class ResumedStreamLoad:
    """Sends streams, and resumes those that are broken off."""

    def __init__(self, load: LoadGenerator, seed: int) -> None:
        self._load = load
        # Of its own, so that the rest of the load is the same without.
        self._random = random.Random(seed)
        self._deadline = 0.0

    async def run(self, seconds: float) -> None:
        """Sends streams for a period."""
        self._deadline = time.monotonic() + seconds
        await asyncio.gather(*(self._run(n) for n in range(_WORKERS)))

    async def _run(self, worker: int) -> None:
        count = 0
        while time.monotonic() < self._deadline:
            count += 1
            await self._stream(f"stream{worker}-{count}")
            await self._pause()

    async def _stream(self, name: str) -> None:
        begun_by = ""
        received = 0
        for number in range(_MAX_ATTEMPTS):
            last = await self._load.send(
                self._random.choice(self._load.ready_hosts),
                RequestKind.STREAM,
                f"{name}-{number}",
                resumes=begun_by,
                last_event_id=received,
            )
            numbers = last.event_ids()
            if numbers:
                begun_by = begun_by or last.request_id
                received = numbers[-1]
            if last.is_served:
                return
            await self._pause()

    async def _pause(self) -> None:
        await asyncio.sleep(self._random.uniform(0.0, _MAX_PAUSE_S))


def find_mixed_streams(
    attempts: Iterable[Attempt], version_by_replica: Mapping[str, str]
) -> Iterator[tuple[str, str]]:
    """Finds streams that hold events of several software versions.

    Args:
        attempts: All requests.
        version_by_replica: Versions of the replicas by their id.

    Yields:
        Ids of the requests that began them, and the replicas.
    """
    replicas_by_stream: dict[str, list[str]] = collections.defaultdict(list)
    for attempt in attempts:
        if attempt.kind is RequestKind.STREAM:
            replicas_by_stream[attempt.resumes or attempt.request_id] += [
                replica.decode() for replica in _EVENT.findall(attempt.body)
            ]
    for request_id, replicas in replicas_by_stream.items():
        if len({version_by_replica[r] for r in replicas}) > 1:
            yield request_id, f"events of {replicas}"


def find_refused_resumptions(
    attempts: Iterable[Attempt],
) -> Iterator[tuple[str, str]]:
    """Finds too small a share of resumed streams that go on.

    Args:
        attempts: Requests that were sent to undisturbed hosts.

    Yields:
        The two shares.
    """
    streams = [a for a in attempts if a.kind is RequestKind.STREAM]
    resumed = [a for a in streams if a.resumes]
    new = [a for a in streams if not a.resumes]
    if len(resumed) < _MIN_RESUMPTIONS or not new:
        return
    resumed_share = sum(a.is_served for a in resumed) / len(resumed)
    new_share = sum(a.is_served for a in new) / len(new)
    if resumed_share < _LEAST_SHARE * new_share:
        detail = f"{resumed_share:.2f} of {len(resumed)}, new {new_share:.2f}"
        yield "all streams", detail
