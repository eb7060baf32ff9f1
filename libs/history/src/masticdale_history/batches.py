"""The records that are written with one sync. No I/O."""

import dataclasses
import struct
from collections.abc import Iterable, Sequence

from returns.result import Failure as Failed
from returns.result import Result, Success

from masticdale_common import ErrorKind, Failure
from masticdale_history.codec import compute_checksum, encode_record
from masticdale_history.records import TurnKey, TurnRecord
from masticdale_history.segments import Position, encode_frame
from masticdale_history.turn_index import IndexedTurn, TurnEntry, TurnIndex


@dataclasses.dataclass(frozen=True, slots=True)
class NewTurn:
    """A record that is not yet on the disk.

    Attributes:
        record: The record.
        checksum: Checksum of its contents.
        frame: The bytes to write.
    """

    record: TurnRecord
    checksum: int
    frame: bytes

    def indexed_at(self, position: Position) -> IndexedTurn:
        """Returns what the index holds of it.

        Args:
            position: Where its frame was written.
        """
        record = self.record
        entry = TurnEntry(
            record.key,
            record.previous_key,
            record.chain_key,
            position.size_bytes,
            record.expires_at_ms,
        )
        return IndexedTurn(entry, self.checksum, position, record.expires_at_ms)


class Batch:
    """Collects records that the index lacks."""

    def __init__(self, index: TurnIndex) -> None:
        """Initializes an empty batch.

        Args:
            index: The records on the disk. None may be dropped from it until
                the batch is written.
        """
        self._index = index
        self._new_by_key: dict[TurnKey, NewTurn] = {}

    @property
    def turns(self) -> Sequence[NewTurn]:
        """The records to write; each comes after its previous turn."""
        return list(self._new_by_key.values())

    def add(
        self, records: Iterable[TurnRecord], refusal: Failure | None
    ) -> Result[None, Failure]:
        """Adds the records that are not held yet, or none of them.

        Args:
            records: Records of one chain, oldest first.
            refusal: Why no new records are accepted; None if they are.

        Failures: MISSING_PREVIOUS if a previous turn is not held; CONFLICT if
            a record is held with other contents; BAD_REQUEST if a record can't
            be encoded; the refusal if there are records to add.
        """
        new_by_key: dict[TurnKey, NewTurn] = {}
        for record in records:
            try:
                payload = encode_record(record)
            except (struct.error, UnicodeEncodeError) as error:
                return Failed(Failure(ErrorKind.BAD_REQUEST, repr(error)))
            checksum = compute_checksum(payload)
            key = record.key
            held = (
                self._index.get(key)
                or self._new_by_key.get(key)
                or new_by_key.get(key)
            )
            if held is not None and held.checksum == checksum:
                continue
            if held is not None:
                detail = f"turn {key.turn_id} is held with other contents"
                return Failed(Failure(ErrorKind.CONFLICT, detail))
            previous = record.previous_key
            if not (previous is None or self._has(previous, new_by_key)):
                detail = f"turn {record.previous_id} is not held"
                return Failed(Failure(ErrorKind.MISSING_PREVIOUS, detail))
            frame = encode_frame(payload, checksum)
            new_by_key[key] = NewTurn(record, checksum, frame)
        if new_by_key and refusal is not None:
            return Failed(refusal)
        self._new_by_key.update(new_by_key)
        return Success(None)

    def _has(self, key: TurnKey, new_by_key: dict[TurnKey, NewTurn]) -> bool:
        return (
            key in self._index or key in self._new_by_key or key in new_by_key
        )
