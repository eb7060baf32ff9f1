"""The disk of a storage host, as its service and its repair see it."""

from collections.abc import Sequence
from typing import Protocol

from returns.result import Result

from masticdale_common import Failure
from masticdale_history.records import Chain, TurnKey, TurnRecord


class Entry(Protocol):
    """A turn as the index of a disk lists it; see ``TurnEntry``."""

    @property
    def key(self) -> TurnKey:
        """Key of the turn."""
        ...

    @property
    def previous_key(self) -> TurnKey | None:
        """The turn that it continues; None at the start of a chain."""
        ...

    @property
    def chain_key(self) -> str:
        """Key that selects the hosts of the chain."""
        ...

    @property
    def expires_at_ms(self) -> int:
        """Wall-clock milliseconds from which on it need not be kept."""
        ...


class TurnDisk(Protocol):
    """Records on a disk; see ``TurnStore``."""

    @property
    def disk_id(self) -> str:
        """Identifies the contents of the disk."""
        ...

    @property
    def is_full(self) -> bool:
        """Whether the disk takes no more records."""
        ...

    @property
    def has_failed(self) -> bool:
        """Whether a write or a sync has failed since the start."""
        ...

    async def append(
        self, records: Sequence[TurnRecord]
    ) -> Result[None, Failure]:
        """Adds records of one chain, oldest first, and syncs them."""
        ...

    async def read_chain(self, workspace: str, turn_id: str) -> Chain | None:
        """Returns a turn and all turns before it; None if it is absent."""
        ...

    def holds(self, workspace: str, turn_id: str) -> bool:
        """Returns whether a turn is synced to the disk."""
        ...

    def entries(self) -> Sequence[Entry]:
        """Returns all turns that are not older than their retention."""
        ...
