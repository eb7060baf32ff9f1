"""Records in the store that bound what programs may have spent."""

import dataclasses
import time

import pydantic
from returns.result import Failure as Failed
from returns.result import Result, Success

from masticdale_common import ErrorKind, Failure, hashing, logs
from masticdale_ledger.accounts import Bound
from masticdale_platform import ObjectStore, StoredObject

RECORD_PREFIX = "ledger-programs/"
# Time since its last write after which a record is deleted, in milliseconds.
# This removes records whose owner died before it evicted the program, but also
# those of programs that still run. The owner's next write of such a record
# conflicts; it then creates a new one. If the accounts are lost too, what the
# program has spent is unknown, and it may get its budget again.
_RETENTION_MS = 86_400_000


class _Record(pydantic.BaseModel):
    """The JSON of a record.

    Attributes:
        bound_tokens: Most tokens that the program may have spent.
        writer: Incarnation of the writing process; identifies a write whose
            answer was lost.
        at_ms: Wall-clock milliseconds of the write.
    """

    bound_tokens: int
    writer: str
    at_ms: int


def record_name(program_id: str) -> str:
    """Returns the name of a program's record, a digest of its id.

    Program ids are arbitrary text, which object names can't hold.
    """
    return hashing.digest(program_id)


@dataclasses.dataclass(frozen=True, slots=True)
class StoredBound:
    """A bound as read from the store.

    Attributes:
        bound: The bound.
        writer_incarnation: Incarnation of the process that wrote it.
    """

    bound: Bound
    writer_incarnation: str


class ProgramRecords:
    """Reads, raises and deletes the bounds in the store."""

    def __init__(self, store: ObjectStore, incarnation: str) -> None:
        """Creates access to the records.

        Args:
            store: The platform's store.
            incarnation: Unique ID of this process; see ``Identity``.
        """
        self._store = store
        self._incarnation = incarnation

    async def load(self) -> Result[dict[str, Bound], Failure]:
        """Returns every bound by record name."""
        outcome = await self._store.list(RECORD_PREFIX)
        return outcome.map(
            lambda items: {
                item.key.removeprefix(RECORD_PREFIX): bound
                for item in items
                if (bound := _parse_bound(item)) is not None
            }
        )

    async def raise_bound(
        self, program_id: str, tokens: int, version: int
    ) -> Result[Bound, Failure]:
        """Writes a higher bound.

        Args:
            program_id: The program.
            tokens: The new bound.
            version: Current version of the record; 0 if there is none.

        Returns:
            The written bound; CONFLICT if another owner has written since; or
            the store's failure.
        """
        key = RECORD_PREFIX + record_name(program_id)
        record = _Record(
            bound_tokens=tokens,
            writer=self._incarnation,
            at_ms=time.time_ns() // 1_000_000,
        )
        value = record.model_dump_json().encode()
        outcome = await self._store.write(key, value, version)
        if not isinstance(outcome, Failed):
            return Success(Bound(tokens, outcome.unwrap()))
        ambiguous = (ErrorKind.WRITE_UNKNOWN, ErrorKind.CONFLICT)
        if outcome.failure().kind not in ambiguous:
            return outcome
        # This write, or an earlier one whose answer was lost, may have
        # succeeded. If its bound were taken for another owner's, it would count
        # as spent, and the program would get 402 with tokens left.
        found = await self._store.read(key)
        if isinstance(found, Failed):
            return found
        stored = found.unwrap()
        written = _parse_record(stored) if stored is not None else None
        if (
            stored is None
            or written is None
            or written.writer != self._incarnation
        ):
            return outcome
        if written.bound_tokens < tokens:
            return await self.raise_bound(program_id, tokens, stored.version)
        return Success(Bound(written.bound_tokens, stored.version))

    async def read(
        self, program_id: str
    ) -> Result[StoredBound | None, Failure]:
        """Returns a program's bound, or None without a readable record."""
        key = RECORD_PREFIX + record_name(program_id)
        outcome = await self._store.read(key)
        return outcome.map(
            lambda item: _parse_stored_bound(item) if item else None
        )

    async def delete(self, program_id: str, version: int) -> None:
        """Deletes the record of an evicted program, unless it has changed."""
        await self._delete(RECORD_PREFIX + record_name(program_id), version)

    async def _delete(self, key: str, version: int) -> None:
        outcome = await self._store.delete(key, version)
        if isinstance(outcome, Failed):
            logs.write_bounded(
                "record_not_deleted", key=key, reason=str(outcome.failure())
            )

    async def delete_expired(self, now_ms: int) -> None:
        """Deletes expired records, which every takeover would have to read.

        Args:
            now_ms: Current wall-clock milliseconds.
        """
        found = await self._store.list(RECORD_PREFIX)
        if isinstance(found, Failed):
            logs.write_bounded(
                "records_not_cleaned", reason=str(found.failure())
            )
            return
        for item in found.unwrap():
            record = _parse_record(item)
            if record is None or now_ms - record.at_ms < _RETENTION_MS:
                continue
            await self._delete(item.key, item.version)


def _parse_record(item: StoredObject) -> _Record | None:
    try:
        return _Record.model_validate_json(item.value)
    except pydantic.ValidationError as error:
        logs.write_bounded(
            "program_record_unreadable", key=item.key, error=str(error)
        )
        return None


def _parse_stored_bound(item: StoredObject) -> StoredBound | None:
    record = _parse_record(item)
    if record is None:
        return None
    return StoredBound(Bound(record.bound_tokens, item.version), record.writer)


def _parse_bound(item: StoredObject) -> Bound | None:
    written = _parse_stored_bound(item)
    return written.bound if written else None
