"""Copies of shard records on peers, used while the platform is down."""

from collections.abc import Sequence

from returns.result import Failure as Failed
from returns.result import Result, Success

from masticdale_common import ErrorKind, Failure
from masticdale_peers import (
    CopyReply,
    CopyRequest,
    SealReply,
    SealRequest,
)
from masticdale_programs import (
    CopyBatch,
    CopyStore,
    choose_holders,
    decode_batch,
    encode_batch,
)
from masticdaled.cluster import Cluster

_COPY_TIMEOUT_S = 1.0


class PeerCopyHolders:
    """Implements ``CopyHolders`` by RPCs to peers in other failure domains."""

    def __init__(self, cluster: Cluster) -> None:
        self._cluster = cluster

    def choose(self, shard: int, current: Sequence[str]) -> tuple[str, ...]:
        """See ``CopyHolders.choose``."""
        members = self._cluster.membership.members()
        domain_by_host = {
            member.name: member.heartbeat.domain
            for member in members
            if not member.leaving or member.is_self
        }
        return choose_holders(
            shard, self._cluster.host, domain_by_host, current
        )

    async def put(self, holder: str, batch: CopyBatch) -> Result[None, Failure]:
        """See ``CopyHolders.put``."""
        last = batch.entries[-1].sequence if batch.entries else batch.after
        request = CopyRequest(
            batch.shard, batch.epoch, last, encode_batch(batch)
        )
        calls = self._cluster.calls(holder)
        outcome = await calls.put_copy(request, _COPY_TIMEOUT_S)
        if isinstance(outcome, Failed):
            return Failed(outcome.failure())
        reply = outcome.unwrap()
        if reply.held:
            return Success(None)
        return Failed(reply.failure or Failure(ErrorKind.INTERNAL))

    async def seal(
        self, holder: str, shard: int, epoch: int
    ) -> Result[CopyBatch, Failure]:
        """See ``CopyHolders.seal``."""
        calls = self._cluster.calls(holder)
        outcome = await calls.seal_copies(
            SealRequest(shard, epoch), _COPY_TIMEOUT_S
        )
        if isinstance(outcome, Failed):
            return Failed(outcome.failure())
        reply = outcome.unwrap()
        if reply.failure is not None or not reply.batches:
            return Failed(reply.failure or Failure(ErrorKind.NOT_FOUND))
        return Success(decode_batch(reply.batches[0]))


class CopyService:
    """Serves the copies that other hosts keep on this host."""

    def __init__(self, store: CopyStore) -> None:
        self._store = store

    def put(self, request: CopyRequest) -> CopyReply:
        """Answers ``put_copy``."""
        outcome = self._store.put(decode_batch(request.records))
        if isinstance(outcome, Failed):
            return CopyReply(failure=outcome.failure())
        return CopyReply(held=True)

    def seal(self, request: SealRequest) -> SealReply:
        """Answers ``seal_copies``."""
        outcome = self._store.seal(request.shard, request.epoch)
        if isinstance(outcome, Failed):
            return SealReply(failure=outcome.failure())
        batch = outcome.unwrap()
        return SealReply((encode_batch(batch),), batch.after)
