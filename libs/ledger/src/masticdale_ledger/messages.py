"""The messages of the ``Ledger`` service; each mirrors a Thrift struct."""

import dataclasses

from masticdale_common import Failure
from masticdale_routing.crashes import CrashReport
from masticdale_routing.failures import FailureReport
from masticdale_routing.versions import StreamOrigin
from masticdale_rpc import Contract, Rpc, build_structs
from masticdale_workspaces import UsageLevel


@dataclasses.dataclass(frozen=True, slots=True)
class HostAddress:
    """The address and the failure domain of a host.

    Attributes:
        address: IP address on which it listens for other hosts.
        port: Port on which it listens for other hosts.
        failure_domain: Its failure domain.
    """

    address: str
    port: int
    failure_domain: str


@dataclasses.dataclass(frozen=True, slots=True)
class AdmitRequest:
    """Asks a shard's owner to admit a request; see ``AdmissionClaim``.

    Attributes:
        shard: The shard.
        program_id: The program.
        request_id: The turn.
        budget_tokens: The whole budget of the program.
        turn_tokens: The most tokens that the turn may use.
        asker: The calling host, which the owner counts as alive.
        asker_stops: Whether the calling host is stopping, and so must not
            become a standby or an owner.
        service_name: The service that runs the turn.
        prefix_key: Key of the first part of its prompt; see ``TurnPrompt``.
        is_call: Whether it is no turn, and so claims no tokens.
        workspace: Name of the caller's workspace; empty for none.
        cap_rate_per_s: Rate of the workspace's cap; 0 for no cap.
        cap_burst: Burst of the cap.
        cap_version: Version of the configuration that states the cap.
    """

    shard: int
    program_id: str
    request_id: str
    budget_tokens: int
    turn_tokens: int
    asker: HostAddress
    asker_stops: bool = False
    service_name: str = ""
    prefix_key: str = ""
    is_call: bool = False
    workspace: str = ""
    cap_rate_per_s: float = 0.0
    cap_burst: float = 0.0
    cap_version: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class AdmitReply:
    """The outcome of an admission.

    Attributes:
        failure: None if the turn is admitted.
        replica_id: The replica assigned to the turn; empty for none.
        replica_failures: Recent failures of replicas, seen by any host.
    """

    failure: Failure | None = None
    replica_id: str = ""
    replica_failures: tuple[FailureReport, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class Settlement:
    """The tokens that an admitted turn has used, and how it ended.

    Attributes:
        shard: The shard.
        program_id: The program.
        request_id: The turn.
        used_tokens: Tokens handed to the caller.
        replica_id: The replica that completed the turn; empty for none.
        failed_replica_ids: The replicas at which attempts failed.
        event_interval_s: Mean time between two events; 0 if unknown.
    """

    shard: int
    program_id: str
    request_id: str
    used_tokens: int
    replica_id: str = ""
    failed_replica_ids: tuple[str, ...] = ()
    event_interval_s: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class SettleRequest:
    """Reports ended turns, and replicas that have failed requests."""

    settlements: tuple[Settlement, ...]
    replica_failures: tuple[FailureReport, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class SettleReply:
    """The shards whose settlements the called host has not applied."""

    other_shards: tuple[int, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class AccountState:
    """One program's account; see ``Account``.

    Attributes:
        program_id: The program.
        budget_tokens: Its whole budget.
        spent_tokens: Tokens that its completed turns used, and those that it
            may have used without being counted.
        counts_from_start: Whether every turn of the program was counted.
        bound_tokens: The bound in its record; 0 without a record.
        bound_version: Version of the record; 0 without a record.
        reserved_ids: Request IDs of the turns in flight.
        reserved_tokens: Tokens reserved for each of these turns.
        most_tokens: Largest turn_tokens of any request of the program.
    """

    program_id: str
    budget_tokens: int
    spent_tokens: int
    counts_from_start: bool
    bound_tokens: int
    bound_version: int
    reserved_ids: tuple[str, ...]
    reserved_tokens: tuple[int, ...]
    most_tokens: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class HandOver:
    """Offers a shard of an owner that is stopping to another host.

    Attributes:
        shard: The shard.
        version: Version of the shard's object as the owner has written it.
        accounts: All accounts.
        incomplete_for_s: For how many more seconds a program without an
            account may have had turns before.
        usages: Levels of the usage caps.
        usage_incomplete_for_s: For how many more seconds other levels may be
            missing.
        usage_shared_for_s: For how many more seconds another host may count
            against the same caps.
    """

    shard: int
    version: int
    accounts: tuple[AccountState, ...]
    incomplete_for_s: float
    usages: tuple[UsageLevel, ...] = ()
    usage_incomplete_for_s: float = 0.0
    usage_shared_for_s: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class HandOverReply:
    """The outcome of a handover; ``failure`` is None if it succeeded."""

    failure: Failure | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class CopyRequest:
    """Changed accounts of a shard, from its owner to its standby.

    Attributes:
        shard: The shard.
        epoch: Epoch of the shard's record; the standby rejects earlier ones.
        is_snapshot: Whether these are all accounts and replace the copy.
        accounts: The changed accounts, each in full.
        incomplete_for_s: For how many more seconds a program without an
            account may have had turns before.
        owner_has_store: Whether the owner reaches the store, and so may name
            another standby at any time.
        renews: Whether a copy of this epoch may have arrived before. A standby
            that holds none then rejects this one, since it may have been
            sealed and restarted.
        usages: Changed levels of usage caps, less what the owner may grant
            before the next copy.
        usage_incomplete_for_s: For how many more seconds other levels may be
            missing.
    """

    shard: int
    epoch: int
    is_snapshot: bool
    accounts: tuple[AccountState, ...]
    incomplete_for_s: float
    owner_has_store: bool = False
    renews: bool = False
    usages: tuple[UsageLevel, ...] = ()
    usage_incomplete_for_s: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class CopyReply:
    """The answer of a standby to a copy.

    Attributes:
        held: Whether the standby holds the copy.
        sealed: Whether the copy's epoch is sealed or superseded.
        stops: Whether the standby is stopping and must be replaced.
    """

    held: bool = False
    sealed: bool = False
    stops: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class SealRequest:
    """Asks a standby to reject copies of an epoch and return its last one."""

    shard: int
    epoch: int


@dataclasses.dataclass(frozen=True, slots=True)
class SealReply:
    """The sealed copy.

    Attributes:
        held: Whether the standby holds a copy of the epoch; if not, the
            accounts are lost.
        accounts: All accounts.
        incomplete_for_s: For how many more seconds a program without an
            account may have had turns before.
        acted: Whether the standby was the acting owner. The accounts then
            include turns that the owner may have admitted meanwhile.
        usages: Levels of the usage caps.
        usage_incomplete_for_s: For how many more seconds other levels may be
            missing.
    """

    held: bool = False
    accounts: tuple[AccountState, ...] = ()
    incomplete_for_s: float = 0.0
    acted: bool = False
    usages: tuple[UsageLevel, ...] = ()
    usage_incomplete_for_s: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class AppointRequest:
    """Makes a host the arbiter of one epoch; see ``Arbiter``."""

    shard: int
    epoch: int


@dataclasses.dataclass(frozen=True, slots=True)
class AppointReply:
    """Whether the host accepts to be the arbiter of the epoch."""

    accepted: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class DecideRequest:
    """Asks an arbiter to decide for the calling side.

    Attributes:
        shard: The shard.
        epoch: Epoch of the shard's record; it must be that of the appointment.
        side: The calling side: owner, standby or taker; see ``Side``.
    """

    shard: int
    epoch: int
    side: str


@dataclasses.dataclass(frozen=True, slots=True)
class DecideReply:
    """The ``Side`` decided for; empty if the epoch is unknown."""

    side: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class StoreItem:
    """A ``StoredObject`` with its value as text."""

    key: str
    version: int
    value: str


@dataclasses.dataclass(frozen=True, slots=True)
class StoreRequest:
    """A call of ``ObjectStore`` to be made for another host.

    Attributes:
        operation: read, write, delete, list, watch or follow. The last one
            waits for changes that the called host's own watches return.
        key: The key, or the prefix.
        value: The value to write.
        version: The expected version.
        position: The position at which a watch begins.
        wait_ms: The longest wait of a watch, in milliseconds.
    """

    operation: str
    key: str
    value: str = ""
    version: int = 0
    position: int = 0
    wait_ms: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class StoreReply:
    """The result of a store call; each operation sets only some fields.

    Attributes:
        items: The objects that were read, listed or changed.
        deleted_keys: The keys that were deleted.
        position: Position from which the next watch continues.
        is_snapshot: Whether ``items`` are all objects of the prefix.
        version: Version of the object that was written.
        failure: Why the call failed; None if it succeeded.
        age_ms: How long ago the store was known to hold nothing newer.
    """

    items: tuple[StoreItem, ...] = ()
    deleted_keys: tuple[str, ...] = ()
    position: int = 0
    is_snapshot: bool = False
    version: int = 0
    failure: Failure | None = None
    age_ms: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class CrashNotice:
    """Reports of a host that can't write them to the store.

    Attributes:
        host: Name of the host.
        reports: Its reports.
    """

    host: str
    reports: tuple[CrashReport, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class CrashNoticeRequest:
    """Notices, and whether the called host passes them on."""

    notices: tuple[CrashNotice, ...]
    forward: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class CrashNoticeReply:
    """Whether the notices said anything new."""

    is_news: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class NoteStreamsRequest:
    """Tells where streams began; see ``StreamOrigin``."""

    origins: tuple[StreamOrigin, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class NoteStreamsReply:
    """Whether the called host remembers them."""

    remembered: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class FindStreamRequest:
    """Asks where a stream began.

    Attributes:
        stream_key: See ``StreamOrigins.find``.
        service_name: The service that runs it.
    """

    stream_key: str
    service_name: str


@dataclasses.dataclass(frozen=True, slots=True)
class SeenVersion:
    """A software version that was listed ``age_s`` seconds ago."""

    version: str
    age_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class FindStreamReply:
    """What the called host knows of a stream.

    Attributes:
        origins: Where it began; empty if unknown.
        versions: The service's versions within the lifetime of a stream.
        versions_complete: Whether no other version can have served in that
            time. Read by hosts of before ``watched_s`` only.
        watched_s: See ``KnownVersions``; 0 from hosts of before it.
        seen: The versions of ``KnownVersions``; empty from such hosts.
    """

    origins: tuple[StreamOrigin, ...] = ()
    versions: tuple[str, ...] = ()
    versions_complete: bool = False
    watched_s: float = 0.0
    seen: tuple[SeenVersion, ...] = ()


ADMIT = Rpc("admit", AdmitRequest, AdmitReply)
SETTLE = Rpc("settle", SettleRequest, SettleReply)
HAND_OVER = Rpc("hand_over", HandOver, HandOverReply)
COPY = Rpc("copy", CopyRequest, CopyReply)
SEAL = Rpc("seal", SealRequest, SealReply)
APPOINT = Rpc("appoint", AppointRequest, AppointReply)
DECIDE = Rpc("decide", DecideRequest, DecideReply)
STORE = Rpc("store", StoreRequest, StoreReply)
NOTIFY_CRASHES = Rpc("notify_crashes", CrashNoticeRequest, CrashNoticeReply)
NOTE_STREAMS = Rpc("note_streams", NoteStreamsRequest, NoteStreamsReply)
FIND_STREAM = Rpc("find_stream", FindStreamRequest, FindStreamReply)

_RPCS = (
    ADMIT,
    SETTLE,
    HAND_OVER,
    COPY,
    SEAL,
    APPOINT,
    DECIDE,
    STORE,
    NOTIFY_CRASHES,
    NOTE_STREAMS,
    FIND_STREAM,
)
_INNER_TYPES = (
    CrashReport,
    CrashNotice,
    FailureReport,
    HostAddress,
    SeenVersion,
    Settlement,
    StreamOrigin,
    UsageLevel,
    AccountState,
    StoreItem,
)

LEDGER = Contract(
    lambda: build_structs(_RPCS, _INNER_TYPES), _RPCS, _INNER_TYPES
)
