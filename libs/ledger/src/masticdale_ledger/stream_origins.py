"""Shares among hosts where streams began.

The host that begins a stream announces it to two others, chosen by the stream's
id among those that all hosts know, before it sends the first event. Whichever
host the caller comes to when that host is lost asks all of those. Nothing is
sent while a service has had a single version for as long as a stream can last,
since any host then knows which one began it. For how long a stream can last is
recorded in the store, since all hosts may be lost at once.
"""

import asyncio
import collections
import contextlib
import dataclasses
from collections.abc import Awaitable, Callable, Coroutine, Sequence
from typing import Any, Protocol, TypeVar

from returns.result import Failure as Failed

from masticdale_common import Metrics, hashing
from masticdale_ledger.hosts import Hosts
from masticdale_ledger.messages import (
    FIND_STREAM,
    NOTE_STREAMS,
    FindStreamReply,
    FindStreamRequest,
    NoteStreamsReply,
    NoteStreamsRequest,
    SeenVersion,
)
from masticdale_routing.versions import (
    MAX_HOLD_S,
    KnownVersions,
    StreamOrigin,
    VersionHistory,
)

# Hosts to which a stream is announced. The second stands in for one that is
# lost together with the host that began it.
_ANNOUNCEMENTS = 2
# Longest time for which the first event of a stream waits until another host
# knows its origin, in seconds.
_NOTE_TIMEOUT_S = 0.1
# Longest time for which a resumed stream waits for the hosts that are asked, in
# seconds. One that is cut off does not answer.
_FIND_TIMEOUT_S = 0.15
# Longest time for which such a stream waits for the store, in seconds.
_CURRENT_TIMEOUT_S = 0.3
# Streams and sessions that a host remembers; the oldest are forgotten first.
_MAX_REMEMBERED = 50_000

_Address = tuple[str, int]
_ResultT = TypeVar("_ResultT")


async def _always_current() -> bool:
    return True


class LongestHold(Protocol):
    """The longest time for which a caller can hold a stream, kept durably.

    Attributes:
        known_s: The time that this host knows to be recorded, in seconds.
    """

    known_s: float

    async def raise_to(self, hold_s: float) -> None:
        """Records a time, unless a longer one is recorded.

        Returns after a short time in any case, and goes on in the background
        while the store does not answer.
        """
        ...

    async def read(self) -> float | None:
        """Returns the recorded time; None if the store does not answer.

        It covers all streams that had their first event before the call, but
        for the last seconds.
        """
        ...


@dataclasses.dataclass(frozen=True, slots=True)
class _Remembered:
    origin: StreamOrigin
    expires_at: float


class _RememberedOrigins:
    """Origins by the keys of streams: their requests and their sessions."""

    def __init__(self) -> None:
        self._remembered_by_key: collections.OrderedDict[
            str, dict[str, _Remembered]
        ] = collections.OrderedDict()

    def __len__(self) -> int:
        return len(self._remembered_by_key)

    def put(self, origin: StreamOrigin, now: float, lifetime_s: float) -> None:
        """Remembers an origin.

        Args:
            origin: The origin.
            now: Event loop time in seconds.
            lifetime_s: How long to remember it, in seconds.
        """
        for key in filter(None, (origin.request_id, origin.session_key)):
            by_version = self._remembered_by_key.setdefault(key, {})
            before = by_version.get(origin.software_version)
            # An earlier stream of a session may be held for longer.
            expires_at = max(
                now + lifetime_s, before.expires_at if before else 0.0
            )
            by_version[origin.software_version] = _Remembered(
                origin, expires_at
            )
            self._remembered_by_key.move_to_end(key)
        self._drop_old(now)

    def get(self, key: str, now: float) -> tuple[StreamOrigin, ...]:
        """Returns the origins of a key, the latest of each version."""
        by_version = self._remembered_by_key.get(key, {})
        return tuple(
            remembered.origin
            for remembered in by_version.values()
            if now < remembered.expires_at
        )

    def _drop_old(self, now: float) -> None:
        while self._remembered_by_key:
            oldest = next(iter(self._remembered_by_key.values()))
            is_expired = all(now >= r.expires_at for r in oldest.values())
            if not is_expired and len(self) <= _MAX_REMEMBERED:
                return
            self._remembered_by_key.popitem(last=False)


def _is_certain(origins: Sequence[StreamOrigin], stream_key: str) -> bool:
    """Returns whether these are the origin of a request, not of a session."""
    return len(origins) == 1 and origins[0].request_id == stream_key


def _versions(reply: FindStreamReply) -> KnownVersions:
    # Hosts of before ``seen`` don't tell when a version was listed.
    ages = dict.fromkeys(reply.versions, 0.0)
    ages |= {seen.version: seen.age_s for seen in reply.seen}
    return KnownVersions(ages, reply.watched_s)


class SharedOrigins:
    """``StreamOrigins`` of a host among others, and its answers to them."""

    def __init__(
        self,
        hosts: Hosts,
        versions: VersionHistory,
        metrics: Metrics,
        longest_hold: LongestHold,
        is_list_current: Callable[[], Awaitable[bool]] = _always_current,
    ) -> None:
        """Starts without streams.

        Args:
            hosts: The other hosts.
            versions: The versions that this host has seen.
            metrics: Metrics registry.
            longest_hold: The record of how long callers can hold streams.
            is_list_current: Asks the store whether this host's list of replicas
                is the newest one.
        """
        self._hosts = hosts
        self._longest_hold = longest_hold
        self._is_list_current = is_list_current
        self._versions = versions
        self._metrics = metrics
        self._remembered = _RememberedOrigins()
        self._unannounced_by_id: dict[str, StreamOrigin] = {}
        self._tasks: set[asyncio.Task[Any]] = set()

    @property
    def remembered(self) -> int:
        """Number of streams and sessions remembered for other hosts."""
        return len(self._remembered)

    async def open(self, origin: StreamOrigin) -> None:
        """See ``StreamOrigins.open``."""
        is_long = origin.hold_s > self._least_watch_s
        if not is_long and self._has_sole_version(origin.service_name):
            self._unannounced_by_id[origin.request_id] = origin
            await self.extend(origin.hold_s)
            return
        await asyncio.gather(self._announce(origin), self.extend(origin.hold_s))

    async def extend(self, hold_s: float) -> None:
        """See ``StreamOrigins.extend``."""
        if hold_s > self._longest_hold.known_s:
            await self._longest_hold.raise_to(hold_s)

    def close(self, request_id: str) -> None:
        """See ``StreamOrigins.close``."""
        self._unannounced_by_id.pop(request_id, None)

    async def find(
        self, stream_key: str, service: str
    ) -> tuple[StreamOrigin | None, KnownVersions]:
        """See ``StreamOrigins.find``."""
        now = asyncio.get_running_loop().time()
        known = self._versions.known(service, now)
        found = list(self._remembered.get(stream_key, now))
        if _is_certain(found, stream_key):
            return found[0], known
        request = FindStreamRequest(stream_key, service)
        asked = {
            self._spawn(self._ask(address, request))
            for address in self._hosts.candidates()
        }
        try:
            async with asyncio.timeout(_FIND_TIMEOUT_S):
                for answered in asyncio.as_completed(asked):
                    reply = await answered
                    if _is_certain(reply.origins, stream_key):
                        return reply.origins[0], known
                    found += reply.origins
                    known = known.union(_versions(reply))
        except TimeoutError:
            self._metrics.count("stream_origin_timeouts_total")
        finally:
            for task in asked:
                task.cancel()
        versions = frozenset(origin.software_version for origin in found)
        origin = found[0] if len(versions) == 1 else None
        known = known.union(KnownVersions(dict.fromkeys(versions, 0.0)))
        if origin is None and known.sole_version(self._least_watch_s):
            known = await self._review_sole_version(known)
        return origin, known

    async def _review_sole_version(self, known: KnownVersions) -> KnownVersions:
        """Withdraws a sole version that may rest on an old list of replicas.

        A host that stood still or is cut off from the others may not have heard
        of the version that has begun the stream.
        """
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(_CURRENT_TIMEOUT_S):
                if await self._is_list_current():
                    return known
        self._metrics.count("stream_origin_old_list_total")
        return dataclasses.replace(known, watched_s=0.0)

    async def required_watch_s(self, known: KnownVersions) -> float | None:
        """See ``StreamOrigins.required_watch_s``."""
        least_s = self._least_watch_s
        if known.sole_version(least_s) is None:
            return least_s
        recorded_s = await self._longest_hold.read()
        if recorded_s is None:
            self._metrics.count("stream_hold_unknown_total")
            return None
        return max(recorded_s, self._versions.lifetime_s)

    def review(self) -> None:
        """Announces open streams once other hosts can't know by themselves.

        To be called after each change of the list of replicas.
        """
        for origin in list(self._unannounced_by_id.values()):
            if not self._has_sole_version(origin.service_name):
                del self._unannounced_by_id[origin.request_id]
                self._spawn(self._announce(origin))

    def receive(self, request: NoteStreamsRequest) -> NoteStreamsReply:
        """Remembers streams that other hosts have begun."""
        now = asyncio.get_running_loop().time()
        for origin in request.origins:
            lifetime_s = max(origin.hold_s, self._versions.lifetime_s)
            self._remembered.put(origin, now, min(lifetime_s, MAX_HOLD_S))
        return NoteStreamsReply(remembered=True)

    def answer(self, request: FindStreamRequest) -> FindStreamReply:
        """Tells another host what this one knows of a stream."""
        now = asyncio.get_running_loop().time()
        known = self._versions.known(request.service_name, now)
        lifetime_s = self._versions.lifetime_s
        return FindStreamReply(
            self._remembered.get(request.stream_key, now),
            tuple(sorted(known.versions(lifetime_s))),
            known.watched_s >= lifetime_s,
            known.watched_s,
            tuple(
                SeenVersion(version, age_s)
                for version, age_s in sorted(known.age_by_version.items())
            ),
        )

    @property
    def _least_watch_s(self) -> float:
        """The watched time that is required as far as this host knows."""
        return max(self._longest_hold.known_s, self._versions.lifetime_s)

    def _has_sole_version(self, service: str) -> bool:
        now = asyncio.get_running_loop().time()
        known = self._versions.known(service, now)
        return known.sole_version(self._least_watch_s) is not None

    async def _announce(self, origin: StreamOrigin) -> None:
        """Returns once another host remembers a stream."""
        candidates = self._hosts.candidates()
        # The streams of a session are known to the same hosts.
        ranked = hashing.rendezvous_rank(
            origin.session_key or origin.request_id,
            [f"{host}:{port}" for host, port in candidates],
        )
        address_by_name = {f"{a}:{p}": (a, p) for a, p in candidates}
        request = NoteStreamsRequest((origin,))
        sent = {
            self._spawn(self._send(address_by_name[name], request))
            for name in ranked[:_ANNOUNCEMENTS]
        }
        is_acknowledged = False
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(_NOTE_TIMEOUT_S):
                for answered in asyncio.as_completed(sent):
                    is_acknowledged = await answered
                    if is_acknowledged:
                        break
        self._metrics.count(
            "stream_origins_total",
            acknowledged="yes" if is_acknowledged else "no",
        )

    async def _send(
        self, address: _Address, request: NoteStreamsRequest
    ) -> bool:
        outcome = await self._hosts.client(*address).call(
            NOTE_STREAMS, request, _NOTE_TIMEOUT_S
        )
        return not isinstance(outcome, Failed) and outcome.unwrap().remembered

    async def _ask(
        self, address: _Address, request: FindStreamRequest
    ) -> FindStreamReply:
        outcome = await self._hosts.client(*address).call(
            FIND_STREAM, request, _FIND_TIMEOUT_S
        )
        if isinstance(outcome, Failed):
            return FindStreamReply()
        reply: FindStreamReply = outcome.unwrap()
        return reply

    def _spawn(
        self, work: Coroutine[None, None, _ResultT]
    ) -> asyncio.Task[_ResultT]:
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task
