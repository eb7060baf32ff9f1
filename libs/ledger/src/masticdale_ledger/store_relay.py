"""Store calls by way of another host, where the direct way is closed."""

import asyncio
import contextlib
import random
from collections.abc import Awaitable, Callable, Coroutine
from typing import Any, TypeVar

from returns.result import Failure as Failed
from returns.result import Result

from masticdale_common import ErrorKind, Failure, Metrics, logs
from masticdale_ledger.peer_store import PeerStore
from masticdale_ledger.shared_watches import SharedWatches
from masticdale_platform import (
    ListedHost,
    ObjectStore,
    StoredObject,
    WatchBatch,
)
from masticdale_rpc import RpcClient

T = TypeVar("T")

# The direct way is tried again after this long at most, in seconds: a change
# of the configuration is to be in force two seconds after it was acknowledged,
# also where it comes right after an outage.
_RETRY_DIRECT_S = 1.0
# How long a watch waits that finds out whether the store answers, in seconds.
_PROBE_WAIT_S = 0.05
# A call that failed this soon after the direct way opened began before it did,
# in seconds.
_JUST_OPENED_S = 0.5
# The pause after such a call, in seconds.
_SHORT_PAUSE_S = 0.1
# Hosts asked for one call.
_RELAYS = 2

# A host that watches and did not answer is not asked for this long, in seconds.
_LEADER_SILENT_S = 5.0
# The same for one that has itself lost the store, or has just started: it will
# soon know more.
_LEADER_LOST_S = 0.25

PeerList = Callable[[], list[RpcClient]]
Ping = Callable[[], Awaitable[Result[None, Failure]]]
StoreCall = Callable[[ObjectStore], Awaitable[Result[T, Failure]]]


_NO_WAY: Result[Any, Failure] = Failed(
    Failure(ErrorKind.PLATFORM_UNAVAILABLE, "no way to the store")
)
_WAY_CHANGED: Result[Any, Failure] = Failed(
    Failure(ErrorKind.PLATFORM_UNAVAILABLE, "the way to the store has changed")
)


class _Reachability:
    """Whether the store answers this host directly.

    Attributes:
        is_open: Whether calls go the direct way first.
        changed: Set when that changes; renewed each time.
    """

    def __init__(self) -> None:
        self.is_open = True
        self.changed = asyncio.Event()
        self._opened_at = -_JUST_OPENED_S
        self._probe_at = 0.0

    def note(self, *, is_open: bool, reason: str) -> None:
        """Notes how a direct call ended."""
        self._plan_probe()
        if is_open == self.is_open:
            return
        self.is_open = is_open
        if is_open:
            self._opened_at = asyncio.get_running_loop().time()
        logs.write("store_regained" if is_open else "store_lost", reason=reason)
        self.changed.set()
        self.changed = asyncio.Event()

    @property
    def has_just_opened(self) -> bool:
        """Whether calls that fail now may have begun before the way opened."""
        now = asyncio.get_running_loop().time()
        return self.is_open and now < self._opened_at + _JUST_OPENED_S

    @property
    def probe_in_s(self) -> float:
        """How long until the next probe is due; at least 0."""
        now = asyncio.get_running_loop().time()
        return max(0.0, self._probe_at - now)

    def takes_probe(self) -> bool:
        """Returns whether a probe is due; the next one is due later."""
        if self.probe_in_s > 0:
            return False
        self._plan_probe()
        return True

    def _plan_probe(self) -> None:
        # All hosts lose the store in the same moment; their probes must not
        # come in the same moment as well.
        now = asyncio.get_running_loop().time()
        self._probe_at = now + random.uniform(0.8, 1.0) * _RETRY_DIRECT_S


class _Leaders:
    """The hosts whose watches this host follows.

    Attributes:
        all: Their clients.
    """

    def __init__(self, leaders: list[RpcClient]) -> None:
        self.all = leaders
        self._left_out_until: dict[int, float] = {}

    def usable(self) -> list[RpcClient]:
        """Returns those that are worth asking now."""
        now = asyncio.get_running_loop().time()
        return [
            leader
            for number, leader in enumerate(self.all)
            if self._left_out_until.get(number, 0.0) <= now
        ]

    def leave_out(self, leader: RpcClient, for_s: float) -> None:
        """Does not ask one for a while."""
        now = asyncio.get_running_loop().time()
        self._left_out_until[self.all.index(leader)] = now + for_s


class FallbackStore:
    """An ``ObjectStore``: the direct way, else by way of other hosts.

    A host that is cut off from the store alone keeps its configuration and
    its lists of replicas up to date, and its leases valid. Only watches try
    the direct way again while it is closed, and with a short wait: a store
    that takes calls and never answers would hold up every other call.
    """

    def __init__(
        self,
        direct: ObjectStore,
        peers: PeerList,
        metrics: Metrics,
        leaders: list[RpcClient] | None = None,
        shared: SharedWatches | None = None,
        ping: Ping | None = None,
    ) -> None:
        """Prepares to call.

        Args:
            direct: The store itself.
            peers: Returns hosts that may make a call for this one.
            metrics: Counts.
            leaders: Hosts whose watches this host follows; none for a host
                that watches the store itself.
            shared: Where a host that others follow keeps what it saw.
            ping: A cheap call of the store itself, for ``check``.
        """
        self._direct = direct
        self._peers = peers
        self._metrics = metrics
        self._shared = shared
        self._ping = ping
        self._random = random.Random()
        self._leaders = _Leaders(leaders or [])
        self._reachability = _Reachability()
        self._is_relay_lost = False
        self._newest_by_prefix: dict[str, int] = {}

    @property
    def is_unreachable(self) -> bool:
        """Whether the store was reached by no way the last time."""
        return not self._reachability.is_open and self._is_relay_lost

    async def read(self, key: str) -> Result[StoredObject | None, Failure]:
        """See ``ObjectStore.read``."""
        return await self._try(lambda store: store.read(key))

    async def write(
        self, key: str, value: bytes, expected_version: int
    ) -> Result[int, Failure]:
        """See ``ObjectStore.write``."""
        return await self._try(
            lambda store: store.write(key, value, expected_version)
        )

    async def delete(
        self, key: str, expected_version: int
    ) -> Result[None, Failure]:
        """See ``ObjectStore.delete``."""
        return await self._try(
            lambda store: store.delete(key, expected_version)
        )

    async def list(
        self, prefix: str
    ) -> Result[tuple[StoredObject, ...], Failure]:
        """See ``ObjectStore.list``."""
        return await self._try(lambda store: store.list(prefix))

    async def watch(
        self, prefix: str, position: int, wait_s: float
    ) -> Result[WatchBatch, Failure]:
        """See ``ObjectStore.watch``.

        The wait ends early where the direct way opens or closes meanwhile:
        the host that waits for us may itself have lost the store, and a store
        that stopped to answer would leave us waiting for nothing.
        """
        outcome = await self._watch(prefix, position, wait_s)
        if isinstance(outcome, Failed):
            return outcome
        batch = outcome.unwrap()
        self._newest_by_prefix[prefix] = batch.position
        if self._shared is not None:
            self._shared.take(prefix, position, batch)
        return outcome

    async def _watch(
        self, prefix: str, position: int, wait_s: float
    ) -> Result[WatchBatch, Failure]:
        if self._reachability.is_open:
            followed = await self._follow(prefix, position)
            if followed is not None:
                return followed
        else:
            if not self._reachability.takes_probe():
                followed = await self._follow(prefix, position)
                if followed is not None:
                    return followed
                limit_s = min(wait_s, _RETRY_DIRECT_S)
                relayed = self._relay(
                    lambda store: store.watch(prefix, position, limit_s)
                )
                return await self._until_changed(relayed) or _WAY_CHANGED
            wait_s = _PROBE_WAIT_S
        if self._leaders.all:
            # Soon one of them may be followed again.
            wait_s = min(wait_s, _LEADER_SILENT_S)
        watched: Any = self._direct.watch(prefix, position, wait_s)
        outcome = await self._until_changed(watched)
        if outcome is None:
            return _WAY_CHANGED
        # A waiting watch may be cut off at any time. Only the list that is
        # read after it tells whether the store answers.
        if position == 0 or not isinstance(outcome, Failed):
            self._note(outcome)
            self._tell_followers(outcome)
        return outcome

    async def hosts(self) -> Result[tuple[ListedHost, ...], Failure]:
        """See ``ObjectStore.hosts``."""
        return await self._direct.hosts()

    async def check(self) -> None:
        """Finds out whether the store still answers a host that others follow.

        A watch that hears nothing looks like one without changes, and this
        host may make no other call for half a minute. Where the store was
        silent to it alone, all hosts that follow it went on with an old
        configuration, and sent work to replicas that had left.
        """
        if self._shared is None or self._ping is None:
            return
        if not self._reachability.is_open:
            return
        outcome = await self._ping()
        self._note(outcome)
        if _is_unavailable(outcome):
            self._shared.lose()

    async def wait_before_retry(self, most_s: float) -> None:
        """Waits after a failed watch, until another one may do better.

        Where the direct way is closed the pause ends with the time of the
        next probe, and as soon as the way is open. Whoever slept on would
        know of changes, and of replicas that have gone, seconds after the
        store's return. Of those that end their pause for one probe the first
        takes it, and the others ask through other hosts.
        """
        if self._reachability.has_just_opened:
            most_s = min(most_s, _SHORT_PAUSE_S)
        if self._reachability.is_open:
            await asyncio.sleep(most_s)
            return
        changed = self._reachability.changed
        limit_s = min(most_s, self._reachability.probe_in_s)
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(limit_s):
                await changed.wait()

    async def _try(self, call: StoreCall[T]) -> Result[T, Failure]:
        if self.is_unreachable:
            # The watches go on to look for a way; whoever waits for this
            # call is better told at once.
            return _NO_WAY
        if not self._reachability.is_open:
            return await self._relay(call)
        outcome = await call(self._direct)
        self._note(outcome)
        if _is_unavailable(outcome):
            return await self._relay(call)
        return outcome

    async def _follow(
        self, prefix: str, position: int
    ) -> Result[WatchBatch, Failure] | None:
        """Watches through another host; None if the store is to be asked.

        A host that has lost the store says so, and the next one is asked. All
        of them may have lost it alone: then the store is asked at once. One
        that is silent has cost its timeout, and the store is asked at once: a
        change must not wait for a second one.
        """
        for leader in self._leaders.usable():
            outcome = await PeerStore(leader).follow(prefix, position)
            if not isinstance(outcome, Failed):
                if not self._is_older(prefix, outcome.unwrap()):
                    self._metrics.count("watches_followed_total")
                    return outcome
                self._leaders.leave_out(leader, _LEADER_SILENT_S)
                continue
            kind = outcome.failure().kind
            if kind not in (
                ErrorKind.PLATFORM_UNAVAILABLE,
                ErrorKind.NOT_FOUND,
            ):
                self._leaders.leave_out(leader, _LEADER_SILENT_S)
                return None
            self._leaders.leave_out(leader, _LEADER_LOST_S)
        return None

    def _is_older(self, prefix: str, batch: WatchBatch) -> bool:
        """Whether the host asked knows less than this one did.

        Its own watch may have gone silent. After a failure everything is read
        again, and its list would take back what is known of leaving replicas.
        """
        return batch.position < self._newest_by_prefix.get(prefix, 0)

    def _tell_followers(self, outcome: Result[WatchBatch, Failure]) -> None:
        if self._shared is None:
            return
        if not isinstance(outcome, Failed):
            self._shared.regain()
        elif _is_unavailable(outcome):
            self._shared.lose()

    async def _relay(self, call: StoreCall[T]) -> Result[T, Failure]:
        outcome: Result[T, Failure] = _NO_WAY
        peers = self._peers()
        for peer in self._random.sample(peers, min(_RELAYS, len(peers))):
            self._metrics.count("store_calls_relayed_total")
            store: Any = PeerStore(peer)
            outcome = await call(store)
            if not _is_unavailable(outcome):
                break
        self._is_relay_lost = _is_unavailable(outcome)
        return outcome

    async def _until_changed(
        self,
        watch: Coroutine[Any, Any, Result[WatchBatch, Failure]],
    ) -> Result[WatchBatch, Failure] | None:
        changed = self._reachability.changed
        task = asyncio.create_task(watch)
        waiter = asyncio.create_task(changed.wait())
        try:
            await asyncio.wait(
                (task, waiter), return_when=asyncio.FIRST_COMPLETED
            )
            if task.done():
                return task.result()
            return None
        finally:
            task.cancel()
            waiter.cancel()

    def _note(self, outcome: Result[Any, Failure]) -> None:
        if not isinstance(outcome, Failed):
            self._reachability.note(is_open=True, reason="")
            return
        failure = outcome.failure()
        is_open = failure.kind not in (
            ErrorKind.PLATFORM_UNAVAILABLE,
            ErrorKind.WRITE_UNKNOWN,
        )
        self._reachability.note(is_open=is_open, reason=str(failure))


def _is_unavailable(outcome: Result[T, Failure]) -> bool:
    return isinstance(outcome, Failed) and (
        outcome.failure().kind is ErrorKind.PLATFORM_UNAVAILABLE
    )
