"""Turns as they are kept, and the chains that they form."""

import dataclasses
import functools
from collections.abc import Sequence


@dataclasses.dataclass(frozen=True, slots=True)
class TurnKey:
    """Identifies a turn; ids of different workspaces may be equal.

    Attributes:
        workspace: Name of the workspace; empty for none.
        turn_id: Id of the request that ran the turn.
    """

    workspace: str
    turn_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class TurnRecord:
    """A completed turn. Records never change, so all copies are equal.

    Attributes:
        turn_id: Id of the request that ran the turn.
        workspace: Name of the caller's workspace; empty for none.
        previous_id: The turn that it continues; empty at the start of a chain.
        chain_key: Key that selects the hosts of the whole chain.
        input: The caller's new input.
        output: The data of each event, each followed by a line feed.
        ended_at_ms: Wall-clock milliseconds at the end of its response.
        retention_ms: Time for which it is kept from then on.
    """

    turn_id: str
    workspace: str
    previous_id: str
    chain_key: str
    input: bytes
    output: bytes
    ended_at_ms: int
    retention_ms: int

    @property
    def key(self) -> TurnKey:
        """The key of the turn."""
        return TurnKey(self.workspace, self.turn_id)

    @property
    def previous_key(self) -> TurnKey | None:
        """The key of the turn that it continues; None at the start."""
        if not self.previous_id:
            return None
        return TurnKey(self.workspace, self.previous_id)

    @property
    def expires_at_ms(self) -> int:
        """Wall-clock milliseconds from which on it need not be kept."""
        return self.ended_at_ms + self.retention_ms


@dataclasses.dataclass(frozen=True)
class Chain:
    """A turn and all turns before it.

    Attributes:
        records: The turns, oldest first; empty before the first turn.
    """

    records: tuple[TurnRecord, ...] = ()

    @property
    def key(self) -> str:
        """The chain key of its turns; empty before the first turn."""
        return self.records[0].chain_key if self.records else ""

    @functools.cached_property
    def size_bytes(self) -> int:
        """Size of ``body``."""
        return sum(len(r.input) + len(r.output) for r in self.records)

    def body(self) -> bytes:
        """Returns the inputs and outputs of all turns, oldest first."""
        return b"".join(
            part for r in self.records for part in (r.input, r.output)
        )

    def with_turn(self, record: TurnRecord) -> "Chain":
        """Returns the chain continued by one turn."""
        return Chain((*self.records, record))


def is_whole_chain(records: Sequence[TurnRecord], key: TurnKey) -> bool:
    """Returns whether records are a turn and all turns before it.

    Args:
        records: The records, oldest first.
        key: Key of the turn.
    """
    if not records or records[-1].key != key:
        return False
    previous_id = ""
    for record in records:
        if (record.workspace, record.previous_id) != (
            key.workspace,
            previous_id,
        ):
            return False
        previous_id = record.turn_id
    return True
