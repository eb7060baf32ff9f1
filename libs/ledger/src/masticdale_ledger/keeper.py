"""Sees to it that every shard has an owner."""

import asyncio
import dataclasses
import random

from returns.result import Failure as Failed
from returns.result import Result, Success

from masticdale_common import ErrorKind, Failure, logs
from masticdale_ledger.accounts import Account
from masticdale_ledger.client import SHARD_COUNT, LedgerClient, Peers
from masticdale_ledger.leases import Lease
from masticdale_ledger.messages import (
    HAND_OVER,
    HandOver,
    HandOverReply,
)
from masticdale_ledger.owner import ShardOwner, account_of
from masticdale_ledger.records import ProgramRecords
from masticdale_ledger.shards import (
    Previous,
    ShardMap,
    ShardRecord,
    ShardView,
    read_shard,
    shard_key,
)
from masticdale_platform import MUST_NOT_EXIST, ObjectStore, StoredObject

# How often the shards are looked at, in seconds.
LOOK_EVERY_S = 0.2
# An owner that has not answered for this long is replaced, in seconds: longer
# than a pause of its process on a busy machine, shorter than callers wait.
_LOST_AFTER_S = 0.5
# A question older than this does not count, in seconds.
_LOST_FRESH_S = 1.5
# All hosts see an unowned shard at once; each waits a random part of this, in
# seconds, so that the first one's record spares the others their calls.
_CLAIM_SPREAD_S = 1.0
_HAND_OVER_TIMEOUT_S = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class Identity:
    """Who this process is.

    Attributes:
        host: Its host's name.
        incarnation: Differs after each start.
        address: IP number on which it listens for other hosts.
        port: And the port.
    """

    host: str
    incarnation: str
    address: str
    port: int


class ShardKeeper:
    """Claims shards without an owner, gives them away at a stop."""

    def __init__(
        self,
        identity: Identity,
        store: ObjectStore,
        records: ProgramRecords,
        shard_map: ShardMap,
        owner: ShardOwner,
        lease: Lease,
        client: LedgerClient,
        peers: Peers,
    ) -> None:
        self.is_stopping = False
        self._identity = identity
        self._store = store
        self._records = records
        self._map = shard_map
        self._owner = owner
        self._lease = lease
        self._client = client
        self._peers = peers
        self._random = random.Random(identity.incarnation)
        self._claim_at_by_shard: dict[int, float] = {}
        self._busy_shards: set[int] = set()

    async def look(self) -> None:
        """Drops shards that others own, claims those that nobody serves."""
        self._drop_lost()
        if self.is_stopping or not self._map.is_loaded:
            return
        for shard in range(SHARD_COUNT):
            previous = self._vacancy(shard)
            if previous is None:
                self._claim_at_by_shard.pop(shard, None)
            elif self._is_due(shard, previous):
                await self._claim(shard, previous)

    async def accept(self, offer: HandOver) -> HandOverReply:
        """Takes over a shard that its owner offers."""
        if self.is_stopping or not self._map.is_loaded:
            return HandOverReply(Failure(ErrorKind.STOPPING))
        accounts = [account_of(state) for state in offer.accounts]
        claimed = await self._write_claim(
            offer.shard, Previous.ENDED, offer.version, accounts
        )
        if isinstance(claimed, Failed):
            return HandOverReply(claimed.failure())
        return HandOverReply()

    async def hand_over_all(self) -> None:
        """Offers every shard to another owner; for a planned stop."""
        self.is_stopping = True
        for shard, view in self._owner.owned().items():
            await self._hand_over(shard, view)

    def _drop_lost(self) -> None:
        for shard, view in self._owner.owned().items():
            known = self._map.get(shard)
            if known is not None and known.version > view.version:
                self._owner.drop(shard)
                logs.write(
                    "shard_lost", shard=shard, new_owner=known.record.owner
                )

    def _vacancy(self, shard: int) -> Previous | None:
        """Returns what is known of the owner of a shard nobody serves."""
        view = self._map.get(shard)
        if view is None:
            return Previous.NONE
        record = view.record
        if record.owner == self._identity.host:
            # This process is its host's newest, so the one before has ended.
            is_own = record.incarnation == self._identity.incarnation
            return None if is_own else Previous.ENDED
        lost = self._client.unreachable_by_shard.get(shard)
        if lost is None or lost.version != view.version:
            return None
        now = asyncio.get_running_loop().time()
        is_lost = lost.last - lost.since >= _LOST_AFTER_S
        is_recent = now - lost.last < _LOST_FRESH_S
        return Previous.LOST if is_lost and is_recent else None

    def _is_due(self, shard: int, previous: Previous) -> bool:
        if previous is Previous.ENDED:
            return True
        now = asyncio.get_running_loop().time()
        spread_s = _CLAIM_SPREAD_S
        if previous is Previous.LOST:
            spread_s /= 4
        due_at = self._claim_at_by_shard.setdefault(
            shard, now + self._random.uniform(0, spread_s)
        )
        return now >= due_at

    async def _claim(self, shard: int, previous: Previous) -> None:
        self._claim_at_by_shard.pop(shard, None)
        view = self._map.get(shard)
        version = view.version if view else MUST_NOT_EXIST
        outcome = await self._write_claim(shard, previous, version, [])
        if isinstance(outcome, Failed):
            logs.write_bounded(
                "shard_not_claimed",
                shard=shard,
                previous=previous,
                reason=str(outcome.failure()),
            )

    async def _write_claim(
        self,
        shard: int,
        previous: Previous,
        version: int,
        accounts: list[Account],
    ) -> Result[None, Failure]:
        if shard in self._busy_shards:
            return Failed(Failure(ErrorKind.CONFLICT, "claimed right now"))
        self._busy_shards.add(shard)
        try:
            return await self._write_record(shard, previous, version, accounts)
        finally:
            self._busy_shards.discard(shard)

    async def _write_record(
        self,
        shard: int,
        previous: Previous,
        version: int,
        accounts: list[Account],
    ) -> Result[None, Failure]:
        known = self._map.get(shard)
        record = ShardRecord(
            owner=self._identity.host,
            incarnation=self._identity.incarnation,
            address=self._identity.address,
            port=self._identity.port,
            epoch=(known.record.epoch if known else 0) + 1,
            previous=previous,
        )
        value = record.model_dump_json().encode()
        asked_at = self._lease.now()
        written = await self._write_or_read_back(shard, record, version)
        if isinstance(written, Failed):
            return written
        self._lease.confirm(asked_at)
        # Read after the claim: what the last owner wrote is in it, and what
        # it might write from now on conflicts with what is written here.
        bounds = await self._records.load()
        if isinstance(bounds, Failed):
            return bounds
        stored = StoredObject(shard_key(shard), written.unwrap(), value)
        view = ShardView(record, stored.version)
        self._owner.take(shard, view, bounds.unwrap(), accounts)
        self._client.unreachable_by_shard.pop(shard, None)
        self._map.put(stored)
        logs.write(
            "shard_taken",
            shard=shard,
            epoch=record.epoch,
            previous=previous,
            records=len(bounds.unwrap()),
            accounts=len(accounts),
        )
        return Success(None)

    async def _write_or_read_back(
        self, shard: int, record: ShardRecord, version: int
    ) -> Result[int, Failure]:
        key = shard_key(shard)
        value = record.model_dump_json().encode()
        outcome = await self._store.write(key, value, version)
        if not isinstance(outcome, Failed):
            return outcome
        kind = outcome.failure().kind
        if kind not in (ErrorKind.WRITE_UNKNOWN, ErrorKind.CONFLICT):
            return outcome
        # Either the answer was lost and the write was not, or somebody else
        # was first; both show in the store.
        found = await self._store.read(key)
        if isinstance(found, Failed):
            return found
        stored = found.unwrap()
        if stored is None:
            return outcome
        view = read_shard(stored)
        if view is not None and view.record == record:
            return Success(view.version)
        self._map.put(stored)
        return outcome

    async def _hand_over(self, shard: int, view: ShardView) -> None:
        target = self._target()
        if target is None:
            return
        accounts = self._owner.begin_move(shard)
        offer = HandOver(shard, view.version, tuple(accounts))
        outcome = await self._peers(target).call(
            HAND_OVER, offer, _HAND_OVER_TIMEOUT_S
        )
        failure = (
            outcome.failure()
            if isinstance(outcome, Failed)
            else outcome.unwrap().failure
        )
        if failure is None:
            self._owner.drop(shard)
        else:
            self._owner.end_move(shard)
        logs.write(
            "shard_handed_over",
            shard=shard,
            to=target.owner,
            accounts=len(accounts),
            failure=str(failure) if failure else "",
        )

    def _target(self) -> ShardRecord | None:
        """Returns the other owner that has the fewest shards."""
        record_by_owner: dict[str, ShardRecord] = {}
        count_by_owner: dict[str, int] = {}
        for view in self._map.views().values():
            record = view.record
            if record.owner == self._identity.host:
                continue
            record_by_owner[record.owner] = record
            count = count_by_owner.get(record.owner, 0)
            count_by_owner[record.owner] = count + 1
        if not count_by_owner:
            return None
        fewest = min(count_by_owner, key=lambda o: (count_by_owner[o], o))
        return record_by_owner[fewest]
