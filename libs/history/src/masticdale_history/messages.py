"""The messages of the ``History`` service; each mirrors a thrift struct."""

import dataclasses

from masticdale_common import Failure
from masticdale_history.records import TurnKey, TurnRecord
from masticdale_rpc import Contract, Rpc, build_structs


@dataclasses.dataclass(frozen=True, slots=True)
class AppendTurnsRequest:
    """Asks a storage host to keep turns of one chain.

    Attributes:
        records: The turns, oldest first. The host must hold the turn before
            the first of them.
    """

    records: tuple[TurnRecord, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class AppendTurnsReply:
    """Says that the turns are synced to the host's disk.

    Attributes:
        failure: None on success. MISSING_PREVIOUS, STORE_FULL, CONFLICT,
            HISTORY_UNAVAILABLE or INTERNAL if none was added.
    """

    failure: Failure | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class ReadChainRequest:
    """Asks a storage host for a turn and all turns before it."""

    workspace: str
    turn_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class ReadChainReply:
    """The chain, as far as the host holds it.

    Attributes:
        failure: None if the host could look it up.
        records: The whole chain, oldest first; empty if the turn is absent.
        is_complete: Whether the host's disk has lost no record, so that an
            absent turn was never written to it.
    """

    failure: Failure | None = None
    records: tuple[TurnRecord, ...] = ()
    is_complete: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class OfferTurnsRequest:
    """Asks a storage host which turns it lacks.

    Attributes:
        host: The host that offers them.
        keys: Keys of the turns.
    """

    host: str
    keys: tuple[TurnKey, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class OfferTurnsReply:
    """The turns that a storage host lacks.

    Attributes:
        failure: None on success.
        missing: Indexes of these turns in the request.
    """

    failure: Failure | None = None
    missing: tuple[int, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class FinishRepairRequest:
    """Says that a host has copied all that was missing on another one.

    Attributes:
        host: The host that has finished.
        disk_id: The disk of the called host that the repair was for.
    """

    host: str
    disk_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class FinishRepairReply:
    """Acknowledges a ``FinishRepairRequest``."""

    failure: Failure | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class CheckRequest:
    """Asks a storage host for its state.

    Attributes:
        host: The host that asks.
    """

    host: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class CheckReply:
    """The state of a storage host.

    Attributes:
        disk_id: Identifies the contents of its disk; another one denotes a
            disk that was lost.
        is_complete: Whether the disk has lost no record.
        is_full: Whether it takes no more records.
        is_emptying: Whether the host is about to be removed.
    """

    disk_id: str = ""
    is_complete: bool = False
    is_full: bool = False
    is_emptying: bool = False


APPEND_TURNS = Rpc("append_turns", AppendTurnsRequest, AppendTurnsReply)
READ_CHAIN = Rpc("read_chain", ReadChainRequest, ReadChainReply)
OFFER_TURNS = Rpc("offer_turns", OfferTurnsRequest, OfferTurnsReply)
FINISH_REPAIR = Rpc("finish_repair", FinishRepairRequest, FinishRepairReply)
CHECK = Rpc("check", CheckRequest, CheckReply)

_RPCS = (APPEND_TURNS, READ_CHAIN, OFFER_TURNS, FINISH_REPAIR, CHECK)
_INNER_TYPES = (TurnKey, TurnRecord)

HISTORY = Contract(
    lambda: build_structs(_RPCS, _INNER_TYPES), _RPCS, _INNER_TYPES
)
