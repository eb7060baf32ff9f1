"""The messages of the service ``Ledger``, each the mirror of a struct."""

import dataclasses

from masticdale_common import Failure
from masticdale_rpc import Contract, Rpc, build_structs


@dataclasses.dataclass(frozen=True, slots=True)
class HostAddress:
    """Where other hosts reach a host, and where it stands.

    Attributes:
        address: IP number on which it listens for other hosts.
        port: And the port.
        failure_domain: Its failure domain.
    """

    address: str
    port: int
    failure_domain: str


@dataclasses.dataclass(frozen=True, slots=True)
class AdmitRequest:
    """Asks a shard's owner to admit a turn; see ``TurnClaim``.

    Attributes:
        shard: The shard.
        program_id: The program.
        request_id: The turn.
        budget_tokens: The whole budget of the program.
        turn_tokens: What the turn uses at most.
        asker: The host that asks. Owners learn from it which hosts live.
        asker_stops: Whether that host is about to end.
    """

    shard: int
    program_id: str
    request_id: str
    budget_tokens: int
    turn_tokens: int
    asker: HostAddress
    asker_stops: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class AdmitReply:
    """None where the turn is admitted, else why not."""

    failure: Failure | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Settlement:
    """What one admitted turn has used."""

    shard: int
    program_id: str
    request_id: str
    used_tokens: int


@dataclasses.dataclass(frozen=True, slots=True)
class SettleRequest:
    """Reports ended turns."""

    settlements: tuple[Settlement, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class SettleReply:
    """Shards whose settlements belong to another owner."""

    other_shards: tuple[int, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class AccountState:
    """One program's account; see ``Account``.

    Attributes:
        program_id: The program.
        budget_tokens: Its whole budget.
        spent_tokens: What its ended turns used.
        counts_from_start: Whether every turn was counted.
        bound_tokens: What its record says.
        bound_version: Version of the record; 0 for none.
        reserved_ids: Turns under way.
        reserved_tokens: The most that each of them may use.
        most_tokens: The most that any of its turns might have used.
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
    """An owner that stops offers a shard.

    Attributes:
        shard: The shard.
        version: Version of its object as the owner has written it.
        accounts: Everything the owner knows.
        incomplete_for_s: Programs of before may be missing for so long.
    """

    shard: int
    version: int
    accounts: tuple[AccountState, ...]
    incomplete_for_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class HandOverReply:
    """None where the called host owns the shard now, else why not."""

    failure: Failure | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class CopyRequest:
    """Changed accounts of a shard, from its owner to its standby.

    Attributes:
        shard: The shard.
        epoch: The owner's epoch.
        is_snapshot: Whether these are all accounts.
        accounts: What has changed, each account whole.
        incomplete_for_s: Programs of before may be missing for so long.
        owner_has_store: Whether the owner reaches the store, and so may name
            another standby at any time.
        renews: Whether a copy of this epoch may have arrived before. A standby
            that holds none then was started again, and takes none.
    """

    shard: int
    epoch: int
    is_snapshot: bool
    accounts: tuple[AccountState, ...]
    incomplete_for_s: float
    owner_has_store: bool = False
    renews: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class CopyReply:
    """What a standby says of a copy.

    Attributes:
        held: Whether it holds the copy.
        sealed: Whether another host takes the shard over.
        stops: Whether the standby is about to end.
    """

    held: bool = False
    sealed: bool = False
    stops: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class SealRequest:
    """Asks a standby to take no more copies of an epoch."""

    shard: int
    epoch: int


@dataclasses.dataclass(frozen=True, slots=True)
class SealReply:
    """The sealed copy.

    Attributes:
        held: Whether there is one; without, the accounts are lost.
        accounts: All accounts.
        incomplete_for_s: Programs of before may be missing for so long.
        acted: Whether the standby has acted for the owner. The accounts then
            count what that owner may have given meanwhile.
    """

    held: bool = False
    accounts: tuple[AccountState, ...] = ()
    incomplete_for_s: float = 0.0
    acted: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class AppointRequest:
    """Makes a host the arbiter of one epoch; see ``Arbiter``."""

    shard: int
    epoch: int


@dataclasses.dataclass(frozen=True, slots=True)
class AppointReply:
    """Whether the host is the arbiter from now on."""

    accepted: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class DecideRequest:
    """Asks an arbiter whether one side may go on.

    Attributes:
        shard: The shard.
        epoch: The owner's epoch.
        side: Who asks; a ``Side``.
    """

    shard: int
    epoch: int
    side: str


@dataclasses.dataclass(frozen=True, slots=True)
class DecideReply:
    """Who may go on: a ``Side``; empty where the arbiter does not know."""

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
        operation: Name of the method.
        key: The key, or the prefix.
        value: What to write.
        version: The expected version.
        position: Where a watch begins.
        wait_ms: How long a watch waits.
    """

    operation: str
    key: str
    value: str = ""
    version: int = 0
    position: int = 0
    wait_ms: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class StoreReply:
    """What the store answered; the fields that the operation fills."""

    items: tuple[StoreItem, ...] = ()
    deleted_keys: tuple[str, ...] = ()
    position: int = 0
    is_snapshot: bool = False
    version: int = 0
    failure: Failure | None = None


ADMIT = Rpc("admit", AdmitRequest, AdmitReply)
SETTLE = Rpc("settle", SettleRequest, SettleReply)
HAND_OVER = Rpc("hand_over", HandOver, HandOverReply)
COPY = Rpc("copy", CopyRequest, CopyReply)
SEAL = Rpc("seal", SealRequest, SealReply)
APPOINT = Rpc("appoint", AppointRequest, AppointReply)
DECIDE = Rpc("decide", DecideRequest, DecideReply)
STORE = Rpc("store", StoreRequest, StoreReply)

_RPCS = (ADMIT, SETTLE, HAND_OVER, COPY, SEAL, APPOINT, DECIDE, STORE)
_INNER_TYPES = (HostAddress, Settlement, AccountState, StoreItem)

LEDGER = Contract(
    lambda: build_structs(_RPCS, _INNER_TYPES), _RPCS, _INNER_TYPES
)
