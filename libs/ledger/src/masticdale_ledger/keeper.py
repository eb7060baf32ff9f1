"""Sees to it that every shard has an owner, and every owner a standby."""

import asyncio
import dataclasses
import random
from collections.abc import Callable

from returns.result import Failure as Failed
from returns.result import Result, Success

from masticdale_common import ErrorKind, Failure, logs
from masticdale_ledger.accounts import Accounts
from masticdale_ledger.client import SHARD_COUNT, LedgerClient
from masticdale_ledger.copier import Copier
from masticdale_ledger.leases import LEASE_S, Lease
from masticdale_ledger.messages import (
    HAND_OVER,
    SEAL,
    SETTLE,
    AccountState,
    HandOver,
    HandOverReply,
    SealReply,
    SealRequest,
    SettleRequest,
)
from masticdale_ledger.owner import (
    Alone,
    OwnedShard,
    ShardOwner,
    account_of,
    limited,
)
from masticdale_ledger.records import ProgramRecords
from masticdale_ledger.shards import (
    SHARD_PREFIX,
    Previous,
    ShardMap,
    ShardRecord,
    ShardView,
    read_shard,
    shard_key,
)
from masticdale_ledger.standby import StandbyCopies
from masticdale_peers import PeerClient
from masticdale_platform import MUST_NOT_EXIST, ObjectStore, StoredObject

# How often the shards are looked at, in seconds.
LOOK_EVERY_S = 0.2
# How often the lease is looked at, in seconds.
RENEW_EVERY_S = 0.5
# An owner asks the store again once its last answer is this old, in seconds:
# a third of the lease, so that two failed rounds leave time for a third.
_RENEW_AFTER_S = LEASE_S / 3
# An owner that has not answered for this long is replaced, in seconds: longer
# than a pause of its process on a busy machine, shorter than callers wait.
_LOST_AFTER_S = 0.5
# A question older than this does not count, in seconds.
_LOST_FRESH_S = 1.5
# All hosts see an unowned shard at once; each waits a random part of this, in
# seconds, so that the first one's record spares the others their calls.
_CLAIM_SPREAD_S = 1.0
_CALL_TIMEOUT_S = 0.5
# A standby that failed is not named again for this long, in seconds: a killed
# process is back sooner, a host that is replaced never is.
_AVOID_S = 10.0
# After the accounts of a shard are lost, a program of before may come back
# for this long, in seconds; twice the longest time that callers keep one.
_LOST_PROGRAMS_S = 120.0


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


@dataclasses.dataclass(frozen=True, slots=True)
class _Inheritance:
    """What is known of a shard that is taken over.

    Attributes:
        previous: Whether the last owner surely acts no more.
        accounts: Its accounts.
        incomplete_for_s: Programs of before may be missing for so long.
    """

    previous: Previous
    accounts: tuple[AccountState, ...] = ()
    incomplete_for_s: float = 0.0


class Hosts:
    """The clients of other hosts, as the keeper needs them."""

    def client(self, address: str, port: int) -> PeerClient:
        """Returns the client of one host."""
        raise NotImplementedError

    def candidates(self) -> list[tuple[str, int]]:
        """Returns addresses of other hosts that may be a standby."""
        raise NotImplementedError


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
        copies: StandbyCopies,
        hosts: Hosts,
        is_store_lost: Callable[[], bool],
    ) -> None:
        self._is_store_lost = is_store_lost
        self.is_stopping = False
        self._identity = identity
        self._store = store
        self._records = records
        self._map = shard_map
        self._owner = owner
        self._lease = lease
        self._client = client
        self._copies = copies
        self._hosts = hosts
        self._random = random.Random(identity.incarnation)
        self._claim_at_by_shard: dict[int, float] = {}
        self._busy_shards: set[int] = set()
        self._failed_at_by_standby: dict[tuple[str, int], float] = {}

    async def look(self) -> None:
        """Drops shards that others own, claims those that nobody serves."""
        self._drop_lost()
        if self.is_stopping or not self._map.is_loaded:
            return
        for number in range(SHARD_COUNT):
            previous = self._vacancy(number)
            if previous is None:
                self._claim_at_by_shard.pop(number, None)
            elif self._is_due(number, previous):
                await self._claim(number, previous)
        for shard in self._owner.owned().values():
            if shard.is_acting:
                await self._claim_acting(shard)
            elif self._needs_standby(shard):
                await self._replace_standby(shard)

    async def act(self, number: int) -> None:
        """Goes on in place of an owner that is lost while the store is away.

        Nobody can take the shard over then. The standby seals its own copy
        and admits what needs no record; see ``Alone``.
        """
        view = self._map.get(number)
        if view is None or not self._is_store_lost():
            return
        record = view.record
        here = (self._identity.address, self._identity.port)
        if (record.standby_address, record.standby_port) != here:
            return
        if not self._copies.holds(number, record.epoch):
            return
        owner = self._hosts.client(record.address, record.port)
        answer = await owner.call(SETTLE, SettleRequest(()), _CALL_TIMEOUT_S)
        if not isinstance(answer, Failed) or number in self._owner.owned():
            return
        copy = self._copies.seal(SealRequest(number, record.epoch))
        accounts = Accounts()
        accounts.adopt([account_of(state) for state in copy.accounts])
        incomplete_s = copy.incomplete_for_s
        shard = OwnedShard(
            number,
            view,
            accounts,
            self._lease.now() + incomplete_s if incomplete_s else 0.0,
            self._lease,
            None,
        )
        shard.alone = Alone(
            frozenset(state.program_id for state in copy.accounts),
            takes_new=True,
        )
        self._owner.take(shard)
        logs.write(
            "shard_acted_for",
            shard=number,
            epoch=record.epoch,
            owner=record.owner,
            accounts=len(copy.accounts),
        )

    def seal(self, request: SealRequest) -> SealReply:
        """Stops the owner of a shard that is being taken over elsewhere."""
        shard = self._owner.owned().get(request.shard)
        reply = self._copies.seal(request)
        if shard is None or not shard.is_acting:
            return reply
        self._owner.drop(request.shard)
        return SealReply(
            held=True,
            accounts=_acted(shard),
            incomplete_for_s=shard.incomplete_for_s,
        )

    async def renew(self) -> None:
        """Asks the store who owns the shards, while some are owned here.

        The answer extends the lease, or shows that another host has them.
        """
        age_s = self._lease.age_s
        if not self._owner.owned() or (
            age_s is not None and age_s < _RENEW_AFTER_S
        ):
            return
        asked_at = self._lease.now()
        outcome = await self._store.list(SHARD_PREFIX)
        if isinstance(outcome, Failed):
            logs.write_bounded(
                "lease_not_renewed", age_s=age_s, reason=str(outcome.failure())
            )
            return
        for stored in outcome.unwrap():
            self._map.put(stored)
        self._drop_lost()
        self._lease.confirm(asked_at)

    async def accept(self, offer: HandOver) -> HandOverReply:
        """Takes over a shard that its owner offers."""
        if self.is_stopping or not self._map.is_loaded:
            return HandOverReply(Failure(ErrorKind.STOPPING))
        inheritance = _Inheritance(
            Previous.ENDED, offer.accounts, offer.incomplete_for_s
        )
        claimed = await self._write_claim(
            offer.shard, offer.version, inheritance
        )
        if isinstance(claimed, Failed):
            return HandOverReply(claimed.failure())
        return HandOverReply()

    async def hand_over_all(self) -> None:
        """Offers every shard to another owner; for a planned stop."""
        self.is_stopping = True
        for shard in self._owner.owned().values():
            await self._hand_over(shard)

    def _drop_lost(self) -> None:
        for number, shard in self._owner.owned().items():
            known = self._map.get(number)
            if known is not None and known.version > shard.view.version:
                self._owner.drop(number)
                logs.write(
                    "shard_lost", shard=number, new_owner=known.record.owner
                )

    def _vacancy(self, number: int) -> Previous | None:
        """Returns what is known of the owner of a shard nobody serves."""
        view = self._map.get(number)
        if view is None:
            return Previous.NONE
        if number in self._owner.owned():
            return None
        record = view.record
        if record.owner == self._identity.host:
            # This process is its host's newest, so the one before has ended.
            return Previous.ENDED
        lost = self._client.unreachable_by_shard.get(number)
        if lost is None or lost.version != view.version:
            return None
        now = asyncio.get_running_loop().time()
        is_lost = lost.last - lost.since >= _LOST_AFTER_S
        is_recent = now - lost.last < _LOST_FRESH_S
        return Previous.LOST if is_lost and is_recent else None

    def _is_due(self, number: int, previous: Previous) -> bool:
        if previous is Previous.ENDED:
            return True
        now = asyncio.get_running_loop().time()
        # A host that owns shards leaves the next one to the others first, so
        # that the loss of one host touches few programs.
        spread_s = _CLAIM_SPREAD_S * (1 + 2 * len(self._owner.owned()))
        if previous is Previous.LOST:
            spread_s /= 4
        due_at = self._claim_at_by_shard.setdefault(
            number, now + self._random.uniform(0, spread_s)
        )
        return now >= due_at

    async def _claim(self, number: int, previous: Previous) -> None:
        self._claim_at_by_shard.pop(number, None)
        if self._is_store_lost():
            # The claim would fail, and sealing the standby before it would
            # stop the one host that may go on.
            return
        view = self._map.get(number)
        version = view.version if view else MUST_NOT_EXIST
        inheritance = await self._inherit(number, view, previous)
        outcome = await self._write_claim(number, version, inheritance)
        if isinstance(outcome, Failed):
            logs.write_bounded(
                "shard_not_claimed",
                shard=number,
                previous=inheritance.previous,
                reason=str(outcome.failure()),
            )

    async def _inherit(
        self, number: int, view: ShardView | None, previous: Previous
    ) -> _Inheritance:
        """Stops the last owner where it may live, and gets its accounts."""
        if view is None:
            return _Inheritance(Previous.NONE)
        reply = await self._seal(number, view.record)
        if reply is None:
            return _Inheritance(previous, (), _LOST_PROGRAMS_S)
        if not reply.held:
            return _Inheritance(Previous.ENDED, (), _LOST_PROGRAMS_S)
        accounts = reply.accounts
        if previous is Previous.LOST:
            accounts = tuple(limited(state) for state in accounts)
        return _Inheritance(Previous.ENDED, accounts, reply.incomplete_for_s)

    async def _claim_acting(self, shard: OwnedShard) -> None:
        if self._is_store_lost():
            return
        inheritance = _Inheritance(
            Previous.ENDED, _acted(shard), shard.incomplete_for_s
        )
        outcome = await self._write_claim(
            shard.number, shard.view.version, inheritance
        )
        if isinstance(outcome, Failed):
            logs.write_bounded(
                "shard_not_claimed",
                shard=shard.number,
                previous="acted for",
                reason=str(outcome.failure()),
            )

    async def _seal(self, number: int, record: ShardRecord) -> SealReply | None:
        """Returns None where the standby can't be asked."""
        if not record.standby_address:
            return None
        request = SealRequest(number, record.epoch)
        here = (self._identity.address, self._identity.port)
        if (record.standby_address, record.standby_port) == here:
            return self.seal(request)
        peer = self._hosts.client(record.standby_address, record.standby_port)
        outcome = await peer.call(SEAL, request, _CALL_TIMEOUT_S)
        if isinstance(outcome, Failed):
            logs.write_bounded(
                "copy_not_sealed",
                shard=number,
                standby=record.standby_address,
                reason=str(outcome.failure()),
            )
            return None
        return outcome.unwrap()

    async def _write_claim(
        self, number: int, version: int, inheritance: _Inheritance
    ) -> Result[None, Failure]:
        if number in self._busy_shards:
            return Failed(Failure(ErrorKind.CONFLICT, "claimed right now"))
        self._busy_shards.add(number)
        try:
            return await self._write_record(number, version, inheritance)
        finally:
            self._busy_shards.discard(number)

    async def _write_record(
        self, number: int, version: int, inheritance: _Inheritance
    ) -> Result[None, Failure]:
        known = self._map.get(number)
        epoch = (known.record.epoch if known else 0) + 1
        record = self._new_record(epoch, inheritance.previous)
        written = await self._write(number, record, version)
        if isinstance(written, Failed):
            return written
        # Read after the claim: what the last owner wrote is in it, and what
        # it might write from now on conflicts with what is written here.
        bounds = await self._records.load()
        if isinstance(bounds, Failed):
            return bounds
        accounts = Accounts(bounds.unwrap())
        accounts.adopt([account_of(state) for state in inheritance.accounts])
        self._own(number, record, written.unwrap(), accounts, inheritance)
        logs.write(
            "shard_taken",
            shard=number,
            epoch=epoch,
            previous=inheritance.previous,
            records=len(bounds.unwrap()),
            accounts=len(accounts),
            incomplete_for_s=inheritance.incomplete_for_s,
            standby=record.standby_address,
        )
        return Success(None)

    def _own(
        self,
        number: int,
        record: ShardRecord,
        version: int,
        accounts: Accounts,
        inheritance: _Inheritance,
    ) -> None:
        incomplete_s = inheritance.incomplete_for_s
        if inheritance.previous is Previous.LOST:
            # The last owner may act on until its lease ends, and the programs
            # that it admits in that time are not known here.
            incomplete_s = LEASE_S + _LOST_PROGRAMS_S
        view = ShardView(record, version)
        self._owner.take(
            OwnedShard(
                number,
                view,
                accounts,
                self._lease.now() + incomplete_s if incomplete_s else 0.0,
                self._lease,
                self._copier(record),
            )
        )
        self._client.unreachable_by_shard.pop(number, None)
        value = record.model_dump_json().encode()
        self._map.put(StoredObject(shard_key(number), version, value))

    def _candidates(self) -> list[tuple[str, int]]:
        """Returns hosts that may consent; a dead one would cost a write."""
        now = self._lease.now()
        return [
            address
            for address in self._hosts.candidates()
            if now - self._failed_at_by_standby.get(address, -_AVOID_S)
            >= _AVOID_S
        ]

    def _new_record(self, epoch: int, previous: Previous) -> ShardRecord:
        candidates = self._candidates()
        # One host's loss then leaves each shard its owner or its standby.
        owners = {
            (view.record.address, view.record.port)
            for view in self._map.views().values()
        }
        candidates = [c for c in candidates if c not in owners] or candidates
        standby = self._random.choice(candidates) if candidates else ("", 0)
        return ShardRecord(
            owner=self._identity.host,
            incarnation=self._identity.incarnation,
            address=self._identity.address,
            port=self._identity.port,
            epoch=epoch,
            previous=previous,
            standby_address=standby[0],
            standby_port=standby[1],
        )

    def _copier(self, record: ShardRecord) -> Copier | None:
        if not record.standby_address:
            return None
        return Copier(
            self._hosts.client(record.standby_address, record.standby_port)
        )

    def _needs_standby(self, shard: OwnedShard) -> bool:
        is_broken = shard.number in self._owner.failure_by_broken_copy
        if is_broken or shard.alone is not None:
            return True
        return shard.copier is None and bool(self._candidates())

    async def _replace_standby(self, shard: OwnedShard) -> None:
        """Names another standby; the accounts stay.

        The write fails where another host has taken the shard over.
        """
        if shard.number in self._busy_shards or shard.is_moving:
            return
        self._busy_shards.add(shard.number)
        try:
            if not isinstance(await shard.copy_now(), Failed):
                shard.alone = None
                self._owner.failure_by_broken_copy.pop(shard.number, None)
                return
            await self._write_standby(shard)
        finally:
            self._busy_shards.discard(shard.number)

    async def _write_standby(self, shard: OwnedShard) -> None:
        old = shard.view.record
        failed = (old.standby_address, old.standby_port)
        self._failed_at_by_standby[failed] = self._lease.now()
        record = self._new_record(old.epoch + 1, Previous.ENDED)
        written = await self._write(shard.number, record, shard.view.version)
        logs.write_bounded(
            "standby_replaced",
            shard=shard.number,
            old=old.standby_address,
            new=record.standby_address,
            failure=str(written.failure())
            if isinstance(written, Failed)
            else "",
        )
        if isinstance(written, Failed):
            self._go_alone(shard, written.failure())
            return
        if self._owner.owned().get(shard.number) is not shard:
            return
        self._own(
            shard.number,
            record,
            written.unwrap(),
            shard.accounts,
            _Inheritance(
                Previous.ENDED, incomplete_for_s=shard.incomplete_for_s
            ),
        )

    def _go_alone(self, shard: OwnedShard, failure: Failure) -> None:
        broken = self._owner.failure_by_broken_copy.get(shard.number)
        is_sealed = broken is not None and broken.kind is ErrorKind.CONFLICT
        is_away = failure.kind is ErrorKind.PLATFORM_UNAVAILABLE
        if is_sealed or not is_away or shard.alone is not None:
            return
        known = frozenset(a.program_id for a in shard.accounts.all())
        shard.alone = Alone(known, takes_new=False)
        logs.write("shard_alone", shard=shard.number, programs=len(known))

    async def _write(
        self, number: int, record: ShardRecord, version: int
    ) -> Result[int, Failure]:
        key = shard_key(number)
        value = record.model_dump_json().encode()
        asked_at = self._lease.now()
        outcome = await self._store.write(key, value, version)
        if not isinstance(outcome, Failed):
            self._lease.confirm(asked_at)
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
            self._lease.confirm(asked_at)
            return Success(view.version)
        self._map.put(stored)
        return outcome

    async def _hand_over(self, shard: OwnedShard) -> None:
        target = self._target()
        if target is None:
            return
        shard.is_moving = True
        offer = HandOver(
            shard.number,
            shard.view.version,
            shard.states(None),
            shard.incomplete_for_s,
        )
        peer = self._hosts.client(target.address, target.port)
        outcome = await peer.call(HAND_OVER, offer, 2 * _CALL_TIMEOUT_S)
        failure = (
            outcome.failure()
            if isinstance(outcome, Failed)
            else outcome.unwrap().failure
        )
        if failure is None:
            self._owner.drop(shard.number)
        else:
            shard.is_moving = False
        logs.write(
            "shard_handed_over",
            shard=shard.number,
            to=target.owner,
            accounts=len(offer.accounts),
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


def _acted(shard: OwnedShard) -> tuple[AccountState, ...]:
    """Returns the accounts of a shard that was acted for.

    Programs that its owner knew may have gone on there meanwhile.
    """
    known = shard.alone.known_ids if shard.alone else frozenset()
    return tuple(
        limited(state) if state.program_id in known else state
        for state in shard.states(None)
    )
