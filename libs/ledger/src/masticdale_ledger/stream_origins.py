"""Shares among hosts where streams began.

The host that begins a stream announces it to two others, chosen by the stream's
id among those that all hosts know, before it sends the first event. Whichever
host the caller comes to when that host is lost asks all of those. Nothing is
sent while a service has had a single version for as long as a stream can last,
since any host then knows which one began it.
"""

import asyncio
import collections
import contextlib
import dataclasses
from collections.abc import Coroutine, Sequence
from typing import Any, TypeVar

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
)
from masticdale_routing.versions import (
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
# Streams and sessions that a host remembers; the oldest are forgotten first.
_MAX_REMEMBERED = 50_000

_Address = tuple[str, int]
_ResultT = TypeVar("_ResultT")


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
        remembered = _Remembered(origin, now + lifetime_s)
        for key in filter(None, (origin.request_id, origin.session_key)):
            by_version = self._remembered_by_key.setdefault(key, {})
            by_version[origin.software_version] = remembered
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


class SharedOrigins:
    """``StreamOrigins`` of a host among others, and its answers to them."""

    def __init__(
        self,
        hosts: Hosts,
        versions: VersionHistory,
        metrics: Metrics,
    ) -> None:
        """Starts without streams.

        Args:
            hosts: The other hosts.
            versions: The versions that this host has seen.
            metrics: Metrics registry.
        """
        self._hosts = hosts
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
        if self._has_sole_version(origin.service_name):
            self._unannounced_by_id[origin.request_id] = origin
            return
        await self._announce(origin)

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
                    known = known.union(
                        KnownVersions(
                            frozenset(reply.versions), reply.versions_complete
                        )
                    )
        except TimeoutError:
            self._metrics.count("stream_origin_timeouts_total")
        finally:
            for task in asked:
                task.cancel()
        versions = frozenset(origin.software_version for origin in found)
        origin = found[0] if len(versions) == 1 else None
        return origin, known.union(KnownVersions(versions))

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
            self._remembered.put(origin, now, self._versions.lifetime_s)
        return NoteStreamsReply(remembered=True)

    def answer(self, request: FindStreamRequest) -> FindStreamReply:
        """Tells another host what this one knows of a stream."""
        now = asyncio.get_running_loop().time()
        known = self._versions.known(request.service_name, now)
        return FindStreamReply(
            self._remembered.get(request.stream_key, now),
            tuple(sorted(known.versions)),
            known.is_complete,
        )

    def _has_sole_version(self, service: str) -> bool:
        now = asyncio.get_running_loop().time()
        return self._versions.known(service, now).sole_version is not None

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
