"""Store calls by way of another host, where the direct way is closed."""

import asyncio
import random
from collections.abc import Awaitable, Callable, Coroutine
from typing import Any, TypeVar

from returns.result import Failure as Failed
from returns.result import Result, Success

from masticdale_common import ErrorKind, Failure, Metrics, logs
from masticdale_ledger.messages import (
    STORE,
    StoreItem,
    StoreReply,
    StoreRequest,
)
from masticdale_platform import (
    ListedHost,
    ObjectStore,
    StoredObject,
    WatchBatch,
)
from masticdale_rpc import RpcClient

T = TypeVar("T")

# The direct way is tried again after this long, in seconds: a change of the
# configuration is to be in force two seconds after it was acknowledged, also
# where it comes right after an outage.
_RETRY_DIRECT_S = 1.0
# How long a watch waits that finds out whether the store answers, in seconds.
_PROBE_WAIT_S = 0.05
# What another host may take for a call besides a watch's wait, in seconds:
# one timeout of the store's client there.
_RELAY_TIMEOUT_S = 1.0
# Hosts asked for one call.
_RELAYS = 2

PeerList = Callable[[], list[RpcClient]]
StoreCall = Callable[[ObjectStore], Awaitable[Result[T, Failure]]]


class PeerStore:
    """An ``ObjectStore`` that another host asks for us."""

    def __init__(self, peer: RpcClient) -> None:
        self._peer = peer

    async def read(self, key: str) -> Result[StoredObject | None, Failure]:
        """See ``ObjectStore.read``."""
        reply = await self._call(StoreRequest("read", key))
        return reply.map(lambda r: _stored(r.items[0]) if r.items else None)

    async def write(
        self, key: str, value: bytes, expected_version: int
    ) -> Result[int, Failure]:
        """See ``ObjectStore.write``."""
        request = StoreRequest("write", key, value.decode(), expected_version)
        reply = await self._call(request)
        return reply.map(lambda r: r.version)

    async def delete(
        self, key: str, expected_version: int
    ) -> Result[None, Failure]:
        """See ``ObjectStore.delete``."""
        request = StoreRequest("delete", key, version=expected_version)
        return (await self._call(request)).map(lambda _: None)

    async def list(
        self, prefix: str
    ) -> Result[tuple[StoredObject, ...], Failure]:
        """See ``ObjectStore.list``."""
        reply = await self._call(StoreRequest("list", prefix))
        return reply.map(lambda r: tuple(_stored(i) for i in r.items))

    async def watch(
        self, prefix: str, position: int, wait_s: float
    ) -> Result[WatchBatch, Failure]:
        """See ``ObjectStore.watch``."""
        request = StoreRequest(
            "watch", prefix, position=position, wait_ms=int(1000 * wait_s)
        )
        reply = await self._call(request, wait_s)
        return reply.map(
            lambda r: WatchBatch(
                r.position,
                tuple(_stored(i) for i in r.items),
                r.deleted_keys,
                r.is_snapshot,
            )
        )

    async def _call(
        self, request: StoreRequest, wait_s: float = 0.0
    ) -> Result[StoreReply, Failure]:
        outcome = await self._peer.call(
            STORE, request, wait_s + _RELAY_TIMEOUT_S
        )
        if isinstance(outcome, Failed):
            is_write = request.operation in ("write", "delete")
            kind = (
                ErrorKind.WRITE_UNKNOWN
                if is_write
                else ErrorKind.PLATFORM_UNAVAILABLE
            )
            return Failed(Failure(kind, str(outcome.failure())))
        reply = outcome.unwrap()
        return Failed(reply.failure) if reply.failure else Success(reply)


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
        self._probe_at = 0.0

    def note(self, *, is_open: bool, reason: str) -> None:
        """Notes how a direct call ended."""
        now = asyncio.get_running_loop().time()
        self._probe_at = now + _RETRY_DIRECT_S
        if is_open == self.is_open:
            return
        self.is_open = is_open
        logs.write("store_regained" if is_open else "store_lost", reason=reason)
        self.changed.set()
        self.changed = asyncio.Event()

    def takes_probe(self) -> bool:
        """Returns whether a probe is due; the next one is due later."""
        now = asyncio.get_running_loop().time()
        if now < self._probe_at:
            return False
        self._probe_at = now + _RETRY_DIRECT_S
        return True


class FallbackStore:
    """An ``ObjectStore``: the direct way, else by way of other hosts.

    A host that is cut off from the store alone keeps its configuration and
    its lists of replicas up to date, and its leases valid. Only watches try
    the direct way again while it is closed, and with a short wait: a store
    that takes calls and never answers would hold up every other call.
    """

    def __init__(
        self, direct: ObjectStore, peers: PeerList, metrics: Metrics
    ) -> None:
        self._direct = direct
        self._peers = peers
        self._metrics = metrics
        self._random = random.Random()
        self._reachability = _Reachability()
        self._is_relay_lost = False

    @property
    def is_lost(self) -> bool:
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
        if not self._reachability.is_open:
            if not self._reachability.takes_probe():
                limit_s = min(wait_s, _RETRY_DIRECT_S)
                relayed = self._relay(
                    lambda store: store.watch(prefix, position, limit_s)
                )
                return await self._until_changed(relayed) or _WAY_CHANGED
            wait_s = _PROBE_WAIT_S
        watched: Any = self._direct.watch(prefix, position, wait_s)
        outcome = await self._until_changed(watched)
        if outcome is None:
            return _WAY_CHANGED
        # A waiting watch may be cut off at any time. Only the list that is
        # read after it tells whether the store answers.
        if position == 0 or not isinstance(outcome, Failed):
            self._note(outcome)
        return outcome

    async def hosts(self) -> Result[tuple[ListedHost, ...], Failure]:
        """See ``ObjectStore.hosts``."""
        return await self._direct.hosts()

    async def _try(self, call: StoreCall[T]) -> Result[T, Failure]:
        if self.is_lost:
            # The watches go on to look for a way; whoever waits for this
            # call is better told at once.
            return Failed(
                Failure(ErrorKind.PLATFORM_UNAVAILABLE, "no way to the store")
            )
        if not self._reachability.is_open:
            return await self._relay(call)
        outcome = await call(self._direct)
        self._note(outcome)
        if _is_unavailable(outcome):
            return await self._relay(call)
        return outcome

    async def _relay(self, call: StoreCall[T]) -> Result[T, Failure]:
        outcome: Result[T, Failure] = Failed(
            Failure(ErrorKind.PLATFORM_UNAVAILABLE, "no way to the store")
        )
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


async def serve_store(direct: ObjectStore, request: StoreRequest) -> StoreReply:
    """Makes a store call for another host, on the direct way only."""
    key = request.key
    outcome: Result[StoreReply, Failure]
    match request.operation:
        case "read":
            outcome = (await direct.read(key)).map(
                lambda item: StoreReply((_item(item),) if item else ())
            )
        case "write":
            outcome = (
                await direct.write(key, request.value.encode(), request.version)
            ).map(lambda version: StoreReply(version=version))
        case "delete":
            outcome = (await direct.delete(key, request.version)).map(
                lambda _: StoreReply()
            )
        case "list":
            outcome = (await direct.list(key)).map(
                lambda items: StoreReply(tuple(_item(i) for i in items))
            )
        case "watch":
            outcome = (
                await direct.watch(
                    key, request.position, request.wait_ms / 1000
                )
            ).map(
                lambda batch: StoreReply(
                    tuple(_item(i) for i in batch.changed),
                    batch.deleted_keys,
                    batch.position,
                    batch.is_snapshot,
                )
            )
        case _:
            detail = f"operation {request.operation}"
            return StoreReply(failure=Failure(ErrorKind.BAD_REQUEST, detail))
    if isinstance(outcome, Failed):
        return StoreReply(failure=outcome.failure())
    return outcome.unwrap()


def _is_unavailable(outcome: Result[T, Failure]) -> bool:
    return isinstance(outcome, Failed) and (
        outcome.failure().kind is ErrorKind.PLATFORM_UNAVAILABLE
    )


def _stored(item: StoreItem) -> StoredObject:
    return StoredObject(item.key, item.version, item.value.encode())


def _item(stored: StoredObject) -> StoreItem:
    return StoreItem(stored.key, stored.version, stored.value.decode())
