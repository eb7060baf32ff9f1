"""Store calls relayed through another host: the client and the server side."""

from returns.result import Failure as Failed
from returns.result import Result, Success

from masticdale_common import ErrorKind, Failure
from masticdale_ledger.messages import (
    STORE,
    StoreItem,
    StoreReply,
    StoreRequest,
)
from masticdale_ledger.shared_watches import SharedWatches
from masticdale_platform import ObjectStore, StoredObject, WatchBatch
from masticdale_rpc import RpcClient, may_have_been_sent

# Timeout of a relayed call in seconds, besides a watch's wait: one timeout of
# the other host's store client.
_RELAY_TIMEOUT_S = 1.0
# How long a follower waits at a watch source for changes, in seconds. The
# source may stop answering: this wait, the timeout and a list from the store
# itself must fit into the 2 s within which a configuration change has to take
# effect.
FOLLOW_WAIT_S = 0.8
# Timeout of such a call in seconds, besides its wait.
_FOLLOW_TIMEOUT_S = 0.3


class PeerStore:
    """An ``ObjectStore`` whose calls another host makes for this one.

    Attributes:
        has_answered: Whether the host has answered the last call.
    """

    def __init__(self, peer: RpcClient) -> None:
        self._peer = peer
        self.has_answered = False

    async def read(self, key: str) -> Result[StoredObject | None, Failure]:
        """See ``ObjectStore.read``."""
        reply = await self._call(StoreRequest("read", key))
        return reply.map(lambda r: _to_object(r.items[0]) if r.items else None)

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
        return reply.map(lambda r: tuple(_to_object(i) for i in r.items))

    async def watch(
        self, prefix: str, position: int, wait_s: float
    ) -> Result[WatchBatch, Failure]:
        """See ``ObjectStore.watch``."""
        request = StoreRequest(
            "watch", prefix, position=position, wait_ms=int(1000 * wait_s)
        )
        return (await self._call(request, wait_s)).map(_to_batch)

    async def follow(
        self, prefix: str, position: int, wait_s: float = FOLLOW_WAIT_S
    ) -> Result[WatchBatch, Failure]:
        """Waits for changes that the other host's own watches return.

        Args:
            prefix: Prefix of the watched keys.
            position: Position of the last batch; 0 for a snapshot at once.
            wait_s: Longest wait, in seconds.

        Failures: those of ``SharedWatches.wait_newer``; PEER_UNAVAILABLE if
        the host does not answer.
        """
        if not position:
            wait_s = 0.0
        request = StoreRequest(
            "follow", prefix, position=position, wait_ms=int(1000 * wait_s)
        )
        outcome = await self._peer.call(
            STORE, request, wait_s + _FOLLOW_TIMEOUT_S
        )
        if isinstance(outcome, Failed):
            return outcome
        reply = outcome.unwrap()
        if reply.failure is not None:
            return Failed(reply.failure)
        return Success(_to_batch(reply))

    async def _call(
        self, request: StoreRequest, wait_s: float = 0.0
    ) -> Result[StoreReply, Failure]:
        outcome = await self._peer.call(
            STORE, request, wait_s + _RELAY_TIMEOUT_S
        )
        self.has_answered = not isinstance(outcome, Failed)
        if isinstance(outcome, Failed):
            failure = outcome.failure()
            is_write = request.operation in ("write", "delete")
            kind = (
                ErrorKind.WRITE_UNKNOWN
                if is_write and may_have_been_sent(failure)
                else ErrorKind.PLATFORM_UNAVAILABLE
            )
            return Failed(Failure(kind, str(failure)))
        reply = outcome.unwrap()
        return Failed(reply.failure) if reply.failure else Success(reply)


async def serve_store(
    direct: ObjectStore,
    request: StoreRequest,
    shared: SharedWatches | None = None,
    *,
    can_relay: bool = True,
) -> StoreReply:
    """Makes a store call for another host; never relays it further.

    Args:
        direct: The store.
        request: The call.
        shared: The results of this host's own watches; None if it has none,
            so that it can't be followed.
        can_relay: Whether the store answers this host, as far as it knows. If
            it does not, calls to it are refused at once: in an outage each
            host's calls would otherwise be repeated by several others.
    """
    if not can_relay and request.operation != "follow":
        detail = "the relaying host can't reach the store"
        failure = Failure(ErrorKind.PLATFORM_UNAVAILABLE, detail)
        return StoreReply(failure=failure)
    key = request.key
    outcome: Result[StoreReply, Failure]
    match request.operation:
        case "read":
            outcome = (await direct.read(key)).map(
                lambda item: StoreReply((_to_item(item),) if item else ())
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
                lambda items: StoreReply(tuple(_to_item(i) for i in items))
            )
        case "watch":
            outcome = (
                await direct.watch(
                    key, request.position, request.wait_ms / 1000
                )
            ).map(_to_reply)
        case "follow" if shared is not None:
            outcome = (
                await shared.wait_newer(
                    key, request.position, request.wait_ms / 1000
                )
            ).map(_to_reply)
        case _:
            detail = f"unknown store operation: {request.operation}"
            return StoreReply(failure=Failure(ErrorKind.BAD_REQUEST, detail))
    if isinstance(outcome, Failed):
        return StoreReply(failure=outcome.failure())
    return outcome.unwrap()


def _to_reply(batch: WatchBatch) -> StoreReply:
    return StoreReply(
        tuple(_to_item(i) for i in batch.changed),
        batch.deleted_keys,
        batch.position,
        batch.is_snapshot,
        age_ms=int(1000 * batch.age_s),
    )


def _to_batch(reply: StoreReply) -> WatchBatch:
    return WatchBatch(
        reply.position,
        tuple(_to_object(i) for i in reply.items),
        reply.deleted_keys,
        reply.is_snapshot,
        reply.age_ms / 1000,
    )


def _to_object(item: StoreItem) -> StoredObject:
    return StoredObject(item.key, item.version, item.value.encode())


def _to_item(stored: StoredObject) -> StoreItem:
    return StoreItem(stored.key, stored.version, stored.value.decode())
