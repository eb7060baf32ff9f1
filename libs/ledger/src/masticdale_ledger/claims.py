"""Claims shards in the store and assigns their standbys and arbiters.

A claim is a conditional write of the shard's record. The new owner restores the
accounts that it knows, charged with what other hosts may have granted.
"""

import contextlib
import dataclasses
from collections.abc import Iterator

from returns.result import Failure as Failed
from returns.result import Result, Success

from masticdale_common import ErrorKind, Failure, logs
from masticdale_ledger.account_codec import account_from_state
from masticdale_ledger.accounts import Accounts
from masticdale_ledger.arbiter import ArbiterClient, Side
from masticdale_ledger.client import LedgerClient
from masticdale_ledger.copier import Copier
from masticdale_ledger.hosts import Hosts, Identity, LiveHosts
from masticdale_ledger.isolation import (
    Isolation,
    IsolationQuota,
    charge_peer_quotas,
    charge_unrecorded_limit,
    isolation_quotas,
)
from masticdale_ledger.leases import LEASE_S, Lease
from masticdale_ledger.messages import AccountState
from masticdale_ledger.owned_shard import OwnedShard
from masticdale_ledger.owner import ShardOwner
from masticdale_ledger.peer_selector import PeerSelector
from masticdale_ledger.records import ProgramRecords
from masticdale_ledger.shards import (
    PreviousOwnerState,
    ShardMap,
    ShardRecord,
    VersionedShardRecord,
    parse_shard,
    shard_key,
)
from masticdale_platform import ObjectStore, StoredObject
from masticdale_workspaces import UsageCounter, UsageLevel, UsageTolerance

# After the accounts of a shard are lost, programs that they counted may return
# for this long, in seconds: as long as an owner keeps the account of an idle
# program (``accounts._IDLE_TIMEOUT_S``).
RECOVERY_WINDOW_S = 120.0
# Time in seconds for which the previous owner or its standby may still count
# against usage caps, if the arbiter may have decided for it. Must exceed
# ``owned_shard._ALONE_LIMIT_S`` by the time until a host notices its isolation.
USAGE_SHARED_S = 8.0


@dataclasses.dataclass(frozen=True, slots=True)
class TakeoverState:
    """What the next owner knows of a shard.

    Attributes:
        previous: State of the previous owner.
        accounts: Accounts of the shard's programs.
        incomplete_for_s: Seconds for which earlier programs may still be
            missing from the accounts.
        predecessor_incarnation: The process whose accounts these are exactly;
            empty if they may lack changes of the previous owner.
        acting_shard: The shard for which this host acts as standby until the
            claim is written; its accounts then replace these.
        usages: Levels of the usage caps.
        usage_incomplete_for_s: Seconds for which other levels may be missing;
            None if all are lost.
        usage_shared_for_s: Seconds for which another host may count against
            the same caps.
    """

    previous: PreviousOwnerState
    accounts: tuple[AccountState, ...] = ()
    incomplete_for_s: float = 0.0
    predecessor_incarnation: str = ""
    acting_shard: OwnedShard | None = None
    usages: tuple[UsageLevel, ...] = ()
    usage_incomplete_for_s: float | None = 0.0
    usage_shared_for_s: float = 0.0


# Returning programs count as spent up to the unrecorded limit or their record.
LOST_ACCOUNTS = TakeoverState(
    PreviousOwnerState.ENDED,
    (),
    RECOVERY_WINDOW_S,
    usage_incomplete_for_s=None,
    usage_shared_for_s=USAGE_SHARED_S,
)


@dataclasses.dataclass(frozen=True, slots=True)
class UnconfirmedClaim:
    """A claim whose outcome in the store is unknown.

    Attributes:
        record: The record that may have been written.
        version: Version of the shard's object before the write.
        takeover: What this host knows of the shard if the write was done.
    """

    record: ShardRecord
    version: int
    takeover: TakeoverState


class ShardClaims:
    """Claims shards for this host and assigns their standbys.

    Attributes:
        peer_selector: Chooses the standbys and arbiters.
        arbiter_client: Asks the arbiters.
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
        live_hosts: LiveHosts,
        usage_tolerance: UsageTolerance | None = None,
    ) -> None:
        self._live_hosts = live_hosts
        self._usage_tolerance = usage_tolerance or UsageTolerance()
        self._identity = identity
        self._store = store
        self._records = records
        self._map = shard_map
        self._owner = owner
        self._lease = lease
        self._client = client
        self._hosts = hosts
        self._locked_shards: set[int] = set()
        self._unconfirmed_by_shard: dict[int, UnconfirmedClaim] = {}
        self.arbiter_client = ArbiterClient(hosts)
        self.peer_selector = PeerSelector(
            identity, shard_map, lease, hosts, live_hosts
        )

    def usage_counter(
        self,
        levels: tuple[UsageLevel, ...],
        incomplete_for_s: float | None,
    ) -> UsageCounter:
        """Returns a counter that goes on from the levels of another.

        Args:
            levels: The known levels.
            incomplete_for_s: Seconds for which others may be missing; None if
                all are lost.
        """
        tolerance = self._usage_tolerance
        if incomplete_for_s is None:
            incomplete_for_s = max(tolerance.window_s, USAGE_SHARED_S)
        return UsageCounter(
            tolerance, self._lease.now(), levels, incomplete_for_s
        )

    async def refresh(self, shard_number: int) -> bool:
        """Reads a shard's record; returns whether the store answered."""
        found = await self._store.read(shard_key(shard_number))
        if isinstance(found, Failed):
            return False
        stored = found.unwrap()
        if stored is not None:
            self._map.put(stored)
        return True

    async def claim(
        self, shard_number: int, version: int, takeover: TakeoverState
    ) -> Result[None, Failure]:
        """Writes this host's ownership of a shard, then starts to own it.

        Args:
            shard_number: The shard.
            version: Current version of its object; 0 if there is none.
            takeover: What is known of the shard.

        Failures: CONFLICT if another host has claimed the shard or this host
        is writing its record; WRITE_UNKNOWN if the claim may have been
        written; otherwise the store's failure.
        """
        with self._try_lock(shard_number) as locked:
            if locked:
                return await self._claim_locked(shard_number, version, takeover)
        return Failed(Failure(ErrorKind.CONFLICT, "another claim in progress"))

    async def _claim_locked(
        self, shard_number: int, version: int, takeover: TakeoverState
    ) -> Result[None, Failure]:
        known = self._map.get(shard_number)
        epoch = (known.record.epoch if known else 0) + 1
        record = self._new_record(epoch, takeover.previous)
        unconfirmed = UnconfirmedClaim(record, version, takeover)
        written = await self._write(shard_number, record, version)
        if isinstance(written, Failed):
            if written.failure().kind is ErrorKind.WRITE_UNKNOWN:
                self._unconfirmed_by_shard[shard_number] = unconfirmed
            return written
        view = VersionedShardRecord(record, written.unwrap())
        started = await self._start_owning(shard_number, view, takeover)
        if isinstance(started, Failed):
            # The claim is in the store, although this host does not own the
            # shard yet. WRITE_UNKNOWN stops a host that has offered the shard
            # from serving it.
            self._unconfirmed_by_shard[shard_number] = unconfirmed
            detail = str(started.failure())
            return Failed(Failure(ErrorKind.WRITE_UNKNOWN, detail))
        return started

    async def resolve_unconfirmed(self) -> None:
        """Starts to own shards whose unconfirmed claims were written."""
        for shard_number, claim in list(self._unconfirmed_by_shard.items()):
            view = self._map.get(shard_number)
            if view is None or view.version <= claim.version:
                continue
            if view.record == claim.record:
                await self._resume(shard_number, view, claim.takeover)
            else:
                self._unconfirmed_by_shard.pop(shard_number, None)

    async def resume(
        self, shard_number: int, view: VersionedShardRecord
    ) -> None:
        """Continues a shard whose record this process has written."""
        await self._resume(shard_number, view, LOST_ACCOUNTS)

    async def _resume(
        self,
        shard_number: int,
        view: VersionedShardRecord,
        takeover: TakeoverState,
    ) -> None:
        with self._try_lock(shard_number) as locked:
            if not locked:
                return
            started = await self._start_owning(shard_number, view, takeover)
            if not isinstance(started, Failed):
                self._unconfirmed_by_shard.pop(shard_number, None)

    async def _start_owning(
        self,
        shard_number: int,
        view: VersionedShardRecord,
        takeover: TakeoverState,
    ) -> Result[None, Failure]:
        record = view.record
        # Read only after the claim is written. Later record writes of the
        # previous owner conflict with those of this host.
        bounds = await self._records.load()
        if isinstance(bounds, Failed):
            return bounds
        accounts = Accounts(bounds.unwrap())
        shard = takeover.acting_shard or self._owner.owned().get(shard_number)
        if shard is not None:
            # This host has admitted turns of the shard as its owner or acting
            # owner. Its accounts are complete even if it was sealed since.
            takeover = self.retained_state(shard)
        accounts.restore(
            [account_from_state(state) for state in takeover.accounts]
        )
        self._install(shard_number, view, accounts, takeover)
        logs.write(
            "shard_taken",
            shard=shard_number,
            epoch=record.epoch,
            previous=takeover.previous,
            records=len(bounds.unwrap()),
            accounts=len(accounts),
            incomplete_for_s=takeover.incomplete_for_s,
            standby=record.standby_address,
        )
        return Success(None)

    def _install(
        self,
        shard_number: int,
        view: VersionedShardRecord,
        accounts: Accounts,
        takeover: TakeoverState,
    ) -> None:
        incomplete_s = takeover.incomplete_for_s
        if takeover.previous is PreviousOwnerState.LOST:
            # The previous owner may admit programs that are unknown here until
            # its lease expires.
            incomplete_s = LEASE_S + RECOVERY_WINDOW_S
        self._owner.take(
            OwnedShard(
                shard_number,
                view,
                accounts,
                incomplete_s,
                self._lease,
                self._copier(view.record),
                takeover.predecessor_incarnation,
                self.usage_counter(
                    takeover.usages, takeover.usage_incomplete_for_s
                ),
                takeover.usage_shared_for_s,
            )
        )
        self._client.unreachable_by_shard.pop(shard_number, None)
        self.arbiter_client.appoint(shard_number, view.record)
        value = view.record.model_dump_json().encode()
        self._map.put(
            StoredObject(shard_key(shard_number), view.version, value)
        )

    def _new_record(
        self, epoch: int, previous: PreviousOwnerState
    ) -> ShardRecord:
        standby = ("", 0)
        # The first owners know only the seeds, and one of these would be the
        # standby of several shards. None is needed while there are no accounts.
        is_first = previous is PreviousOwnerState.NONE
        if not is_first or self._live_hosts.live():
            standby = self.peer_selector.choose_standby() or standby
        arbiter = self.peer_selector.choose_arbiter(standby) or ("", 0)
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
        """Replaces the standby if it fails or leaves; keeps the accounts.

        The write fails if another host has taken the shard over.
        """
        if shard.is_handing_over:
            return
        with self._try_lock(shard.number) as locked:
            if locked:
                await self._replace_standby(shard)

    async def _replace_standby(self, shard: OwnedShard) -> None:
        copied = await shard.replicate_now()
        if _is_sealed(copied) and shard.isolation is None:
            # The host that sealed the standby will claim the shard and charges
            # the quotas of this owner, which are all that it grants from now.
            self._isolate(shard)
            return
        if isinstance(copied, Failed):
            failure = await self._write_standby(shard)
            if _is_store_unreachable(failure) and shard.isolation is None:
                self._isolate(shard)
            return
        shard.isolation = None
        shard.usage.lift_restriction()
        self._owner.replication_failure_by_shard.pop(shard.number, None)
        if shard.is_standby_stopping:
            await self._write_standby(shard)

    async def assign_standby(self, shard: OwnedShard) -> None:
        """Assigns another standby without asking the current one."""
        with self._try_lock(shard.number) as locked:
            if locked:
                await self._write_standby(shard)

    @contextlib.contextmanager
    def _try_lock(self, shard_number: int) -> Iterator[bool]:
        """Yields whether this task alone may write a shard's record.

        Concurrent writes of this host would conflict, and each would be taken
        for a write of another host.
        """
        if shard_number in self._locked_shards:
            yield False
            return
        self._locked_shards.add(shard_number)
        try:
            yield True
        finally:
            self._locked_shards.discard(shard_number)

    async def ask_arbiter(self, shard: OwnedShard) -> None:
        """Asks the arbiter if the standby may have admitted unknown programs.

        An arbiter that decides for this host keeps the standby from admitting
        them later.
        """
        if shard.won_arbitration or not shard.standby_may_have_admitted_unknown:
            return
        side = await self.arbiter_client.decide(
            Side.OWNER, shard.number, shard.view.record
        )
        shard.won_arbitration = side is Side.OWNER

    async def remainder_side(
        self, shard_number: int, record: ShardRecord
    ) -> Side:
        """Returns the side that may have used the remainder of the quotas.

        For the takeover of a shard whose standby has not acted. With OWNER, the
        owner's charged quota includes the remainder: the arbiter has decided
        for the owner or does not answer. With STANDBY it does not: there is no
        arbiter, or it has decided for the standby or the successor. An arbiter
        that had not decided yet decides for the successor, this host, and so
        for neither owner nor standby.
        """
        if not record.arbiter_address:
            return Side.STANDBY
        side = await self.arbiter_client.decide(
            Side.SUCCESSOR, shard_number, record
        )
        return Side.OWNER if side in (None, Side.OWNER) else Side.STANDBY

    async def _write_standby(self, shard: OwnedShard) -> Failure | None:
        """Writes another standby; returns the failure, or None."""
        await self.ask_arbiter(shard)
        old = shard.view.record
        self.peer_selector.mark_failed(old.standby_address, old.standby_port)
        record = self._new_record(old.epoch + 1, PreviousOwnerState.ENDED)
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
        takeover = self.retained_state(shard)
        accounts = shard.accounts
        accounts.restore(
            [account_from_state(state) for state in takeover.accounts]
        )
        view = VersionedShardRecord(record, written.unwrap())
        self._install(shard.number, view, accounts, takeover)
        return None

    def retained_state(self, shard: OwnedShard) -> TakeoverState:
        """Returns what this host knows of a shard that it keeps serving.

        The old standby may have acted and can't be asked, so that its quotas
        count as spent. If it may have admitted programs that are unknown here,
        these count as spent up to the unrecorded limit when they arrive.
        """
        states = shard.states(None)
        if shard.isolation is not None:
            states = shard.states_with_peer_spending()
        elif shard.standby_may_act and not shard.is_standby_stopping:
            states = charge_peer_quotas(states, _owner_quotas(shard))
        incomplete_for_s = shard.incomplete_for_s
        if shard.standby_may_have_admitted_unknown:
            incomplete_for_s = max(incomplete_for_s, RECOVERY_WINDOW_S)
            unacknowledged = shard.unacknowledged_program_ids()
            states = tuple(
                charge_unrecorded_limit(s)
                if s.program_id in unacknowledged
                else s
                for s in states
            )
        usage_incomplete_for_s = shard.usage.incomplete_for_s(shard.now)
        if self._other_may_count(shard) and not shard.is_acting:
            # The old standby may go on from the same levels.
            shard.usage.restrict_to_reserve()
            usage_incomplete_for_s = max(usage_incomplete_for_s, USAGE_SHARED_S)
        return TakeoverState(
            PreviousOwnerState.ENDED,
            states,
            incomplete_for_s,
            shard.predecessor_incarnation,
            usages=shard.usage.levels(shard.now),
            usage_incomplete_for_s=usage_incomplete_for_s,
            usage_shared_for_s=USAGE_SHARED_S
            if self._other_may_count(shard)
            else shard.usage_shared_for_s,
        )

    def _other_may_count(self, shard: OwnedShard) -> bool:
        """Returns whether the other side may count usage as well.

        Without the arbiter's decision it grants only its reserve.
        """
        has_arbiter = bool(shard.view.record.arbiter_address)
        other_may_act = shard.is_acting or (
            shard.standby_may_act and not shard.is_standby_stopping
        )
        return has_arbiter and other_may_act and not shard.won_arbitration

    def _isolate(self, shard: OwnedShard) -> None:
        quotas = _owner_quotas(shard)
        shard.isolation = Isolation(
            quotas, admits_unknown=False, began_at=shard.now
        )
        shard.usage.restrict_to_reserve()
        logs.write("shard_alone", shard=shard.number, programs=len(quotas))

    async def _write(
        self, shard_number: int, record: ShardRecord, version: int
    ) -> Result[int, Failure]:
        key = shard_key(shard_number)
        value = record.model_dump_json().encode()
        sent_at = self._lease.now()
        outcome = await self._store.write(key, value, version)
        if not isinstance(outcome, Failed):
            self._lease.renew(sent_at)
            return outcome
        kind = outcome.failure().kind
        if kind not in (ErrorKind.WRITE_UNKNOWN, ErrorKind.CONFLICT):
            return outcome
        # Either the write succeeded and its answer was lost, or another host
        # wrote first. A read tells which.
        found = await self._store.read(key)
        if isinstance(found, Failed):
            # A conflict may come from a retry of this write.
            return Failed(Failure(ErrorKind.WRITE_UNKNOWN, str(found)))
        stored = found.unwrap()
        if stored is None:
            return outcome
        view = parse_shard(stored)
        if view is not None and view.record == record:
            self._lease.renew(sent_at)
            return Success(view.version)
        self._map.put(stored)
        return outcome


def _owner_quotas(shard: OwnedShard) -> dict[str, IsolationQuota]:
    remainder_side = Side.OWNER if shard.won_arbitration else Side.STANDBY
    return isolation_quotas(
        shard.accounts.all(), is_standby=False, remainder_side=remainder_side
    )


def _is_sealed(copied: Result[None, Failure]) -> bool:
    return isinstance(copied, Failed) and (
        copied.failure().kind is ErrorKind.CONFLICT
    )


def _is_store_unreachable(failure: Failure | None) -> bool:
    return failure is not None and failure.kind in (
        ErrorKind.PLATFORM_UNAVAILABLE,
        ErrorKind.WRITE_UNKNOWN,
    )
