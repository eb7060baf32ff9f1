"""Falls back to other hosts for store calls when the store is unreachable."""

import asyncio
import contextlib
import functools
import math
import random
from collections.abc import Awaitable, Callable, Coroutine, Mapping
from typing import Any, TypeVar

from returns.result import Failure as Failed
from returns.result import Result, Success

from masticdale_common import ErrorKind, Failure, Metrics
from masticdale_ledger.peer_store import FOLLOW_WAIT_S, PeerStore
from masticdale_ledger.shared_watches import SharedWatches
from masticdale_ledger.store_paths import (
    DirectPath,
    WatchSources,
)
from masticdale_platform import (
    CheckedWatches,
    CheckIntervals,
    ListedHost,
    ObjectStore,
    StoredObject,
    WatchBatch,
)
from masticdale_rpc import RpcClient

T = TypeVar("T")

# How long a watch that probes the store waits for changes, in seconds.
_PROBE_WATCH_S = 0.05
# The delay before a call is retried that failed right after the store had
# become reachable, in seconds.
_RECOVERY_RETRY_S = 0.1
# The most hosts through which one call is tried. The store may turn many hosts
# away; a host that knows this says so at once.
_MAX_RELAYS = 6
# A host that did not answer a relayed call is not asked for this long, in
# seconds.
_SILENT_RELAY_S = 5.0
# The same for a host that does not reach the store either.
_STORELESS_RELAY_S = 1.0

# Something may have come and gone unseen if nothing was known for this long, in
# seconds. Followers learn of their source's last check within two seconds.
_GAP_S = 2.5
# How long a relayed watch may take beyond its wait, in seconds: the store takes
# up to 0.4 s while it is slow.
_RELAY_MARGIN_S = 0.5

# A watch source that did not answer is not asked for this long, in seconds.
_SILENT_SOURCE_BACKOFF_S = 5.0
# The same for a watch source that has lost the store or has just started.
_STORELESS_SOURCE_BACKOFF_S = 0.25
# Interval, in seconds, at which a host that watches the store itself asks a
# watch source whether it can be followed again.
_SOURCE_CHECK_INTERVAL_S = 0.8

Peers = list[RpcClient]
PeerList = Callable[[], Peers]
Ping = Callable[[], Awaitable[Result[None, Failure]]]
StoreCall = Callable[[ObjectStore], Awaitable[Result[T, Failure]]]


_UNREACHABLE: Result[Any, Failure] = Failed(
    Failure(
        ErrorKind.PLATFORM_UNAVAILABLE,
        "the store is unreachable, directly and through other hosts",
    )
)
_PATH_CHANGED: Result[Any, Failure] = Failed(
    Failure(
        ErrorKind.PLATFORM_UNAVAILABLE,
        "watch interrupted: the store or a watch source can be reached again, "
        "or no longer",
    )
)


class FallbackStore:
    """An ``ObjectStore`` that relays calls if the store is unreachable.

    A host that alone is partitioned from the store keeps its configuration and
    its lists of replicas up to date, and its leases valid. Only watches probe
    an unreachable store, with a short wait: a store that accepts calls and
    never answers would delay every other call.
    """

    def __init__(
        self,
        direct: ObjectStore,
        peers: PeerList,
        metrics: Metrics,
        watch_sources: list[RpcClient] | None = None,
        shared: SharedWatches | None = None,
        ping: Ping | None = None,
        follow_wait_s_by_prefix: Mapping[str, float] | None = None,
        check_intervals: CheckIntervals | None = None,
    ) -> None:
        """Initializes the store.

        Args:
            direct: The store itself.
            peers: Returns hosts that may make a call for this one.
            metrics: Counts followed watches and relayed calls.
            watch_sources: Hosts whose watches this host follows; none on a
                watch source, which watches the store itself.
            shared: On a watch source, the watch results that it serves.
            ping: A cheap call of the store itself, for ``check``.
            follow_wait_s_by_prefix: How long to wait for changes of a prefix at
                a watch source, in seconds, unless as long as usual.
            check_intervals: How often this host's own watches are checked.
        """
        self._direct = direct
        self._direct_watches = CheckedWatches(
            direct, check_intervals or CheckIntervals(), metrics
        )
        self._peers = peers
        self._metrics = metrics
        self._shared = shared
        self._ping = ping
        self._follow_wait_s_by_prefix = follow_wait_s_by_prefix or {}
        self._random = random.Random()
        self._watch_sources = WatchSources(watch_sources or [])
        self._direct_path = DirectPath()
        self._relay_failed = False
        self._last_outage_at = -math.inf
        self._last_relay: RpcClient | None = None
        self._last_position_by_prefix: dict[str, int] = {}
        self._confirmed_at_by_prefix: dict[str, float] = {}
        self._last_gap_at_by_prefix: dict[str, float] = {}
        self._skipped_until_by_peer: dict[RpcClient, float] = {}

    @property
    def is_store_unreachable(self) -> bool:
        """Whether the last direct and the last relayed call both failed."""
        return not self._direct_path.is_reachable and self._relay_failed

    @property
    def is_directly_reachable(self) -> bool:
        """Whether the store answered the last direct call or probe."""
        return self._direct_path.is_reachable

    @property
    def last_outage_at(self) -> float:
        """When the store was last known to answer nobody.

        A watch that fails is no sign of that, nor is a store that does not
        answer this host alone.

        Returns:
            Event loop time in seconds; minus infinity for never.
        """
        return self._last_outage_at

    def last_position(self, prefix: str) -> int:
        """Returns the position of the last batch of a prefix; 0 for none."""
        return self._last_position_by_prefix.get(prefix, 0)

    def age_s(self, prefix: str) -> float:
        """Returns how old the batches of a prefix are as a whole.

        Returns:
            Seconds since the store was known to hold nothing newer; infinite
            before the first batch.
        """
        confirmed_at = self._confirmed_at_by_prefix.get(prefix, -math.inf)
        return asyncio.get_running_loop().time() - confirmed_at

    def last_gap_at(self, prefix: str) -> float:
        """When the batches of a prefix were last older than a watch's may be.

        Returns:
            Event loop time in seconds; minus infinity for never.
        """
        return self._last_gap_at_by_prefix.get(prefix, -math.inf)

    async def is_current(self, prefix: str) -> bool:
        """Asks the store whether there is anything newer than the last batch.

        Returns:
            Whether there was nothing newer after this call had begun; False if
            the store does not answer.
        """
        began_at = asyncio.get_running_loop().time()
        position = self.last_position(prefix)
        outcome = await self._call_with_fallback(
            lambda store: store.watch(prefix, position, _PROBE_WATCH_S)
        )
        if isinstance(outcome, Failed) or not position:
            return False
        batch = outcome.unwrap()
        if batch.changed or batch.deleted_keys:
            return False
        self._confirm(prefix, asyncio.get_running_loop().time() - began_at)
        return True

    async def read(self, key: str) -> Result[StoredObject | None, Failure]:
        """See ``ObjectStore.read``."""
        return await self._call_with_fallback(lambda store: store.read(key))

    async def write(
        self, key: str, value: bytes, expected_version: int
    ) -> Result[int, Failure]:
        """See ``ObjectStore.write``."""
        return await self._call_with_fallback(
            lambda store: store.write(key, value, expected_version)
        )

    async def delete(
        self, key: str, expected_version: int
    ) -> Result[None, Failure]:
        """See ``ObjectStore.delete``."""
        return await self._call_with_fallback(
            lambda store: store.delete(key, expected_version)
        )

    async def list(
        self, prefix: str
    ) -> Result[tuple[StoredObject, ...], Failure]:
        """See ``ObjectStore.list``."""
        return await self._call_with_fallback(lambda store: store.list(prefix))

    async def watch(
        self, prefix: str, position: int, wait_s: float
    ) -> Result[WatchBatch, Failure]:
        """See ``ObjectStore.watch``.

        The wait ends early when the store becomes reachable or unreachable:
        the relaying host may itself have lost the store, and a store that has
        stopped answering would never end the wait.
        """
        outcome = await self._watch(prefix, position, wait_s)
        if isinstance(outcome, Failed):
            return outcome
        batch = outcome.unwrap()
        self._last_position_by_prefix[prefix] = batch.position
        self._confirm(prefix, batch.age_s)
        if self._shared is not None:
            self._shared.apply(prefix, position, batch)
        return outcome

    async def _watch(
        self, prefix: str, position: int, wait_s: float
    ) -> Result[WatchBatch, Failure]:
        if self._direct_path.is_reachable:
            followed = await self._follow(prefix, position)
            if followed is not None:
                return followed
            if not self._direct_path.is_reachable:
                return _PATH_CHANGED
        else:
            if not self._direct_path.claim_probe():
                followed = await self._follow(prefix, position)
                if followed is not None:
                    return followed
                # Hosts that do not answer must not delay the next probe.
                limit_s = min(wait_s, self._direct_path.next_probe_in_s)
                relayed = self._relay(
                    lambda store: store.watch(prefix, position, limit_s)
                )
                probe_due = asyncio.sleep(limit_s + _RELAY_MARGIN_S)
                return (
                    await self._await_unless_interrupted(relayed, probe_due)
                    or _PATH_CHANGED
                )
            wait_s = _PROBE_WATCH_S
        if self._watch_sources.all:
            # A watch source may be available again by then.
            wait_s = min(wait_s, _SILENT_SOURCE_BACKOFF_S)
        watched: Any = self._direct_watches.watch(
            prefix,
            position,
            wait_s,
            self.age_s(prefix),
            functools.partial(self._record_check, prefix, position),
        )
        changed = self._direct_path.changed
        events = []
        if self._direct_path.is_reachable and self._watch_sources.all:
            events.append(self._wait_for_source(prefix, position))
        outcome = await self._await_unless_interrupted(watched, *events)
        if outcome is None:
            is_after_outage = self._watch_sources.have_lost_store
            if is_after_outage:
                self._record_outage()
            if changed.is_set() or is_after_outage or position == 0:
                return _PATH_CHANGED
            age_s = self.age_s(prefix)
            return Success(WatchBatch(position, (), (), False, age_s))
        # The connection of a waiting watch may be dropped at any time. Only
        # the list that is read next shows whether the store answers.
        if position == 0 or not isinstance(outcome, Failed):
            self._record_outcome(outcome)
            self._update_followers(outcome)
        return outcome

    async def hosts(self) -> Result[tuple[ListedHost, ...], Failure]:
        """See ``ObjectStore.hosts``."""
        return await self._direct.hosts()

    async def check(self) -> None:
        """Checks on a watch source that the store still answers.

        Followers of a source whose store does not respond must leave it soon:
        a check of a single watch comes too late for that.
        """
        if self._shared is None or self._ping is None:
            return
        if not self._direct_path.is_reachable:
            return
        outcome = await self._ping()
        self._record_outcome(outcome)
        if _is_unavailable(outcome):
            self._shared.mark_store_unreachable()

    async def wait_before_retry(self, max_s: float) -> None:
        """Waits before a failed watch is retried.

        While the store is unreachable the wait ends when the next probe is due
        or the store becomes reachable, so that changes are seen soon after an
        outage. Of several watches whose waits end for the same probe, the first
        makes it and the others are relayed.

        Args:
            max_s: The longest wait, in seconds.
        """
        if self._direct_path.has_just_recovered:
            max_s = min(max_s, _RECOVERY_RETRY_S)
        if self._direct_path.is_reachable:
            await asyncio.sleep(max_s)
            return
        changed = self._direct_path.changed
        limit_s = min(max_s, self._direct_path.next_probe_in_s)
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(limit_s):
                await changed.wait()

    async def _call_with_fallback(
        self, call: StoreCall[T]
    ) -> Result[T, Failure]:
        if self.is_store_unreachable:
            # Fail fast; only watches go on probing the store.
            return _UNREACHABLE
        if not self._direct_path.is_reachable:
            return await self._relay(call)
        outcome = await call(self._direct)
        self._record_outcome(outcome)
        if _is_unavailable(outcome):
            return await self._relay(call)
        return outcome

    async def _follow(
        self, prefix: str, position: int
    ) -> Result[WatchBatch, Failure] | None:
        """Watches through a source; None if the caller should ask the store.

        A watch source that has lost the store reports that, and the next one
        is asked. After one that does not answer, or if none is left, the store
        is asked at once: a change must not wait for a second timeout.
        """
        for source in self._watch_sources.available():
            outcome = await PeerStore(source).follow(
                prefix,
                position,
                self._follow_wait_s_by_prefix.get(prefix, FOLLOW_WAIT_S),
            )
            if not isinstance(outcome, Failed):
                self._watch_sources.have_lost_store = False
                if not self._is_stale(prefix, outcome.unwrap()):
                    self._metrics.count("watches_followed_total")
                    return outcome
                self._watch_sources.exclude(source, _SILENT_SOURCE_BACKOFF_S)
                continue
            kind = outcome.failure().kind
            self._watch_sources.have_lost_store = (
                kind is ErrorKind.PLATFORM_UNAVAILABLE
            )
            if kind not in (
                ErrorKind.PLATFORM_UNAVAILABLE,
                ErrorKind.NOT_FOUND,
            ):
                self._watch_sources.exclude(source, _SILENT_SOURCE_BACKOFF_S)
                return None
            self._watch_sources.exclude(source, _STORELESS_SOURCE_BACKOFF_S)
        return None

    def _is_stale(self, prefix: str, batch: WatchBatch) -> bool:
        """Whether a source's batch is older than the last one received here.

        The source's own watch may have stalled. Its list, read again after a
        failure, would make replicas that are leaving look ready again.
        """
        return batch.position < self.last_position(prefix)

    def _record_outage(self) -> None:
        self._last_outage_at = asyncio.get_running_loop().time()

    def _record_check(
        self,
        prefix: str,
        position: int,
        outcome: Result[WatchBatch, Failure],
        began_at: float,
    ) -> None:
        """Records a check of a waiting watch that has found no change."""
        self._record_outcome(outcome)
        self._update_followers(outcome)
        if isinstance(outcome, Failed):
            return
        age_s = asyncio.get_running_loop().time() - began_at
        self._confirm(prefix, age_s)
        if self._shared is not None:
            self._shared.confirm(prefix, position, age_s)

    def _confirm(self, prefix: str, age_s: float) -> None:
        now = asyncio.get_running_loop().time()
        confirmed_at = now - age_s
        before = self._confirmed_at_by_prefix.get(prefix, confirmed_at)
        if confirmed_at - before > _GAP_S:
            self._last_gap_at_by_prefix[prefix] = now
        self._confirmed_at_by_prefix[prefix] = max(before, confirmed_at)

    def _update_followers(self, outcome: Result[WatchBatch, Failure]) -> None:
        if self._shared is None:
            return
        if not isinstance(outcome, Failed):
            self._shared.mark_store_reachable()
        elif _is_unavailable(outcome):
            self._shared.mark_store_unreachable()

    async def _relay(self, call: StoreCall[T]) -> Result[T, Failure]:
        outcome: Result[T, Failure] = _UNREACHABLE
        now = asyncio.get_running_loop().time()
        peers = [p for p in self._peers() if now >= self._skipped_until(p)]
        for peer in self._order_relays(peers)[:_MAX_RELAYS]:
            self._metrics.count("store_calls_relayed_total")
            store: Any = PeerStore(peer)
            outcome = await self._call_relay(peer, store, call)
            if not _is_unavailable(outcome):
                self._last_relay = peer
                break
            # A host that is gone would cost each call a timeout.
            skipped_s = (
                _STORELESS_RELAY_S if store.has_answered else _SILENT_RELAY_S
            )
            self._skipped_until_by_peer[peer] = now + skipped_s
        self._relay_failed = _is_unavailable(outcome)
        if self.is_store_unreachable:
            self._record_outage()
        return outcome

    async def _call_relay(
        self, peer: RpcClient, store: Any, call: StoreCall[T]
    ) -> Result[T, Failure]:
        loop = asyncio.get_running_loop()
        began_at = loop.time()
        try:
            return await call(store)
        except asyncio.CancelledError:
            # Given up before its timeout; the next call asks others first.
            if loop.time() - began_at >= _RELAY_MARGIN_S:
                until = loop.time() + _STORELESS_RELAY_S
                self._skipped_until_by_peer[peer] = until
            raise

    def _order_relays(self, peers: Peers) -> Peers:
        """Returns hosts in random order, after the last one that answered."""
        ordered = self._random.sample(peers, len(peers))
        return sorted(ordered, key=lambda peer: peer is not self._last_relay)

    def _skipped_until(self, peer: RpcClient) -> float:
        return self._skipped_until_by_peer.get(peer, 0.0)

    async def _await_unless_interrupted(
        self,
        watch: Coroutine[Any, Any, Result[WatchBatch, Failure]],
        *other_events: Coroutine[Any, Any, None],
    ) -> Result[WatchBatch, Failure] | None:
        """Awaits a watch; returns None if another event comes first."""
        changed = self._direct_path.changed
        task = asyncio.create_task(watch)
        waiters = [asyncio.create_task(event) for event in other_events]
        waiters.append(asyncio.create_task(_wait(changed)))
        try:
            await asyncio.wait(
                (task, *waiters), return_when=asyncio.FIRST_COMPLETED
            )
            return task.result() if task.done() else None
        finally:
            for pending in (task, *waiters):
                pending.cancel()

    async def _wait_for_source(self, prefix: str, position: int) -> None:
        """Waits until a watch source can be followed; forever without one.

        A store that falls silent leaves the watch of a follower hanging. The
        watch sources notice when it is back, since they ask it all the time.
        """
        while True:
            interval_s = self._random.uniform(0.5, 1.0)
            await asyncio.sleep(interval_s * _SOURCE_CHECK_INTERVAL_S)
            sources = self._watch_sources.available()
            if not sources:
                continue
            source = self._random.choice(sources)
            outcome = await PeerStore(source).follow(prefix, position)
            if not isinstance(outcome, Failed):
                return

    def _record_outcome(self, outcome: Result[Any, Failure]) -> None:
        if not isinstance(outcome, Failed):
            self._direct_path.record(is_reachable=True, reason="")
            return
        failure = outcome.failure()
        is_reachable = failure.kind not in (
            ErrorKind.PLATFORM_UNAVAILABLE,
            ErrorKind.WRITE_UNKNOWN,
        )
        self._direct_path.record(is_reachable=is_reachable, reason=str(failure))


async def _wait(event: asyncio.Event) -> None:
    await event.wait()


def _is_unavailable(outcome: Result[T, Failure]) -> bool:
    return isinstance(outcome, Failed) and (
        outcome.failure().kind is ErrorKind.PLATFORM_UNAVAILABLE
    )
