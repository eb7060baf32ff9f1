"""Writes into the store who owns a shard, and who its standby is."""

import contextlib
import dataclasses
from collections.abc import Iterator

from returns.result import Failure as Failed
from returns.result import Result, Success

from masticdale_common import ErrorKind, Failure, logs
from masticdale_ledger.accounts import Accounts
from masticdale_ledger.arbiter import ArbiterClient, Side
from masticdale_ledger.client import LedgerClient
from masticdale_ledger.copier import Copier
from masticdale_ledger.hosts import Hosts, Identity, LiveHosts
from masticdale_ledger.isolation import (
    Isolation,
    IsolationQuota,
    charge_first_step,
    charge_peer_quotas,
    isolation_quotas,
)
from masticdale_ledger.leases import LEASE_S, Lease
from masticdale_ledger.messages import AccountState
from masticdale_ledger.owner import OwnedShard, ShardOwner
from masticdale_ledger.peer_selector import PeerSelector
from masticdale_ledger.records import ProgramRecords
from masticdale_ledger.shards import (
    Previous,
    ShardMap,
    ShardRecord,
    ShardView,
    read_shard,
    shard_key,
)
from masticdale_ledger.states import account_of
from masticdale_platform import ObjectStore, StoredObject

# After the accounts of a shard are lost, a program of before may come back
# for this long, in seconds; twice the longest time that callers keep one.
LOST_PROGRAMS_S = 120.0


@dataclasses.dataclass(frozen=True, slots=True)
class Inheritance:
    """What is known of a shard that is taken over.

    Attributes:
        previous: Whether the last owner surely acts no more.
        accounts: Its accounts.
        incomplete_for_s: Programs of before may be missing for so long.
        predecessor: The process whose accounts these exactly are; empty where
            they may lack something of the last owner's.
        acted: The shard that this host has acted for until the claim is
            written; its accounts then count in place of these.
    """

    previous: Previous
    accounts: tuple[AccountState, ...] = ()
    incomplete_for_s: float = 0.0
    predecessor: str = ""
    acted: OwnedShard | None = None


# Programs of before count as half spent, or up to their records.
LOST_ACCOUNTS = Inheritance(Previous.ENDED, (), LOST_PROGRAMS_S)


@dataclasses.dataclass(frozen=True, slots=True)
class UnclearClaim:
    """A claim whose answer was lost.

    Attributes:
        record: What was written, or was not.
        version: Version of the shard's object before it.
        inheritance: What this host owns the shard with if it was.
    """

    record: ShardRecord
    version: int
    inheritance: Inheritance


class ShardClaims:
    """Takes shards for this host, and names their standbys.

    Attributes:
        partners: Chooses the standbys and arbiters.
        arbitration: Asks the arbiters.
    """

    def __init__(
        self,
        identity: Identity,
        store: ObjectStore,
        records: ProgramRecords,
        shard_map: ShardMap,
        owner: ShardOwner,
        lease: Lease,
        client: LedgerClient,
        hosts: Hosts,
        seen: LiveHosts,
    ) -> None:
        self._identity = identity
        self._store = store
        self._records = records
        self._map = shard_map
        self._owner = owner
        self._lease = lease
        self._client = client
        self._hosts = hosts
        self._busy_shards: set[int] = set()
        self._unclear_by_shard: dict[int, UnclearClaim] = {}
        self.arbitration = ArbiterClient(hosts)
        self.partners = PeerSelector(identity, shard_map, lease, hosts, seen)

    async def refresh(self, number: int) -> bool:
        """Reads a shard's object; returns whether the store answered."""
        found = await self._store.read(shard_key(number))
        if isinstance(found, Failed):
            return False
        stored = found.unwrap()
        if stored is not None:
            self._map.put(stored)
        return True

    async def claim(
        self, number: int, version: int, inheritance: Inheritance
    ) -> Result[None, Failure]:
        """Writes that this host owns a shard, and begins to own it.

        Args:
            number: The shard.
            version: Version of its object now; 0 where there is none.
            inheritance: What is known of it.

        Failures: CONFLICT where another host was first; else the store's.
        """
        with self._sole_writer(number) as is_sole:
            if is_sole:
                return await self._write_record(number, version, inheritance)
        return Failed(Failure(ErrorKind.CONFLICT, "claimed right now"))

    async def _write_record(
        self, number: int, version: int, inheritance: Inheritance
    ) -> Result[None, Failure]:
        known = self._map.get(number)
        epoch = (known.record.epoch if known else 0) + 1
        record = self._new_record(epoch, inheritance.previous)
        unclear = UnclearClaim(record, version, inheritance)
        written = await self._write(number, record, version)
        if isinstance(written, Failed):
            if written.failure().kind is ErrorKind.WRITE_UNKNOWN:
                self._unclear_by_shard[number] = unclear
            return written
        view = ShardView(record, written.unwrap())
        begun = await self._begin(number, view, inheritance)
        if isinstance(begun, Failed):
            # Written, and not owned yet: a host that offered the shard must
            # not go on as if it had been declined.
            self._unclear_by_shard[number] = unclear
            detail = str(begun.failure())
            return Failed(Failure(ErrorKind.WRITE_UNKNOWN, detail))
        return begun

    async def adopt_written(self) -> None:
        """Owns the shards whose claims turn out to have been written."""
        for number, claim in list(self._unclear_by_shard.items()):
            view = self._map.get(number)
            if view is None or view.version <= claim.version:
                continue
            if view.record == claim.record:
                await self._adopt(number, view, claim.inheritance)
            else:
                self._unclear_by_shard.pop(number, None)

    async def adopt(self, number: int, view: ShardView) -> None:
        """Goes on with a shard whose record this process has written."""
        await self._adopt(number, view, LOST_ACCOUNTS)

    async def _adopt(
        self, number: int, view: ShardView, inheritance: Inheritance
    ) -> None:
        with self._sole_writer(number) as is_sole:
            if not is_sole:
                return
            begun = await self._begin(number, view, inheritance)
            if not isinstance(begun, Failed):
                self._unclear_by_shard.pop(number, None)

    async def _begin(
        self, number: int, view: ShardView, inheritance: Inheritance
    ) -> Result[None, Failure]:
        record = view.record
        # Read after the claim: what the last owner wrote is in it, and what
        # it might write from now on conflicts with what is written here.
        bounds = await self._records.load()
        if isinstance(bounds, Failed):
            return bounds
        accounts = Accounts(bounds.unwrap())
        shard = inheritance.acted or self._owner.owned().get(number)
        if shard is not None:
            # It has gone on here until now, or until it was sealed.
            inheritance = self.kept(shard)
        accounts.adopt([account_of(state) for state in inheritance.accounts])
        self._own(number, view, accounts, inheritance)
        logs.write(
            "shard_taken",
            shard=number,
            epoch=record.epoch,
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
        view: ShardView,
        accounts: Accounts,
        inheritance: Inheritance,
    ) -> None:
        incomplete_s = inheritance.incomplete_for_s
        if inheritance.previous is Previous.LOST:
            # The last owner may act on until its lease ends, and the programs
            # that it admits in that time are not known here.
            incomplete_s = LEASE_S + LOST_PROGRAMS_S
        self._owner.take(
            OwnedShard(
                number,
                view,
                accounts,
                incomplete_s,
                self._lease,
                self._copier(view.record),
                inheritance.predecessor,
            )
        )
        self._client.unreachable_by_shard.pop(number, None)
        self.arbitration.appoint(number, view.record)
        value = view.record.model_dump_json().encode()
        self._map.put(StoredObject(shard_key(number), view.version, value))

    def _new_record(self, epoch: int, previous: Previous) -> ShardRecord:
        standby = self.partners.choose_standby() or ("", 0)
        arbiter = self.partners.choose_arbiter(standby) or ("", 0)
        return ShardRecord(
            owner=self._identity.host,
            incarnation=self._identity.incarnation,
            address=self._identity.address,
            port=self._identity.port,
            epoch=epoch,
            previous=previous,
            standby_address=standby[0],
            standby_port=standby[1],
            arbiter_address=arbiter[0],
            arbiter_port=arbiter[1],
        )

    def _copier(self, record: ShardRecord) -> Copier | None:
        if not record.standby_address:
            return None
        return Copier(
            self._hosts.client(record.standby_address, record.standby_port)
        )

    async def replace_standby(self, shard: OwnedShard) -> None:
        """Names another standby; the accounts stay.

        The write fails where another host has taken the shard over.
        """
        if shard.is_moving:
            return
        with self._sole_writer(shard.number) as is_sole:
            if is_sole:
                await self._replace_standby(shard)

    async def _replace_standby(self, shard: OwnedShard) -> None:
        copied = await shard.copy_now()
        if _is_sealed(copied) and shard.alone is None:
            # Whoever sealed the standby counts what may be given here, and is
            # about to write that it owns the shard.
            self._go_alone(shard)
            return
        if isinstance(copied, Failed):
            failure = await self._write_standby(shard)
            if _is_away(failure) and shard.alone is None:
                self._go_alone(shard)
            return
        shard.alone = None
        self._owner.failure_by_broken_copy.pop(shard.number, None)
        if shard.is_standby_leaving:
            await self._write_standby(shard)

    async def name_standby(self, shard: OwnedShard) -> None:
        """Names another standby at once, whatever the present one says."""
        with self._sole_writer(shard.number) as is_sole:
            if is_sole:
                await self._write_standby(shard)

    @contextlib.contextmanager
    def _sole_writer(self, number: int) -> Iterator[bool]:
        """Yields whether nothing else of this host writes a shard's object.

        Two writes at once would conflict, and each take the other's for that
        of another host.
        """
        if number in self._busy_shards:
            yield False
            return
        self._busy_shards.add(number)
        try:
            yield True
        finally:
            self._busy_shards.discard(number)

    async def ask_arbiter(self, shard: OwnedShard) -> None:
        """Finds out whether the standby may have gone on with new programs."""
        if shard.has_decision or not shard.may_be_acted_for_new:
            return
        side = await self.arbitration.decide(
            Side.OWNER, shard.number, shard.view.record
        )
        shard.has_decision = side is Side.OWNER

    async def holder(self, number: int, record: ShardRecord) -> Side:
        """Returns who may have gone on with what only one of two may do.

        For a shard that is taken over here, whose standby has not acted. The
        arbiter lets nobody go on after this.
        """
        if not record.arbiter_address:
            return Side.STANDBY
        side = await self.arbitration.decide(Side.SUCCESSOR, number, record)
        return Side.OWNER if side in (None, Side.OWNER) else Side.STANDBY

    async def _write_standby(self, shard: OwnedShard) -> Failure | None:
        """Returns why no other standby could be named; None if one was."""
        await self.ask_arbiter(shard)
        old = shard.view.record
        self.partners.mark_failed(old.standby_address, old.standby_port)
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
            failure: Failure = written.failure()
            return failure
        if self._owner.owned().get(shard.number) is not shard:
            return None
        inheritance = self.kept(shard)
        accounts = shard.accounts
        accounts.adopt([account_of(state) for state in inheritance.accounts])
        view = ShardView(record, written.unwrap())
        self._own(shard.number, view, accounts, inheritance)
        return None

    def kept(self, shard: OwnedShard) -> Inheritance:
        """Returns what is known of a shard that this host goes on with.

        Its old standby may have acted meanwhile, and can't be asked: it counts
        as having given its share. If it may have taken programs that are not
        known here, those count as half spent when they come.
        """
        states = shard.states(None)
        if shard.alone is not None:
            states = shard.acted_states()
        elif shard.may_be_acted_for and not shard.is_standby_leaving:
            states = charge_peer_quotas(states, _owner_shares(shard))
        incomplete_for_s = shard.incomplete_for_s
        if shard.may_be_acted_for_new:
            incomplete_for_s = max(incomplete_for_s, LOST_PROGRAMS_S)
            waiting = shard.waiting_ids()
            states = tuple(
                charge_first_step(s) if s.program_id in waiting else s
                for s in states
            )
        return Inheritance(
            Previous.ENDED, states, incomplete_for_s, shard.predecessor
        )

    def _go_alone(self, shard: OwnedShard) -> None:
        shares = _owner_shares(shard)
        shard.alone = Isolation(shares, admits_unknown=False)
        logs.write("shard_alone", shard=shard.number, programs=len(shares))

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
            # A conflict may be the write's own second try.
            return Failed(Failure(ErrorKind.WRITE_UNKNOWN, str(found)))
        stored = found.unwrap()
        if stored is None:
            return outcome
        view = read_shard(stored)
        if view is not None and view.record == record:
            self._lease.confirm(asked_at)
            return Success(view.version)
        self._map.put(stored)
        return outcome


def _owner_shares(shard: OwnedShard) -> dict[str, IsolationQuota]:
    holder = Side.OWNER if shard.has_decision else Side.STANDBY
    return isolation_quotas(
        shard.accounts.all(), is_standby=False, remainder_side=holder
    )


def _is_sealed(copied: Result[None, Failure]) -> bool:
    return isinstance(copied, Failed) and (
        copied.failure().kind is ErrorKind.CONFLICT
    )


def _is_away(failure: Failure | None) -> bool:
    return failure is not None and failure.kind in (
        ErrorKind.PLATFORM_UNAVAILABLE,
        ErrorKind.WRITE_UNKNOWN,
    )
