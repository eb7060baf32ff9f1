"""Records in the store: bounds of what programs may have spent."""

import dataclasses
import time

import pydantic
from returns.result import Failure as Failed
from returns.result import Result, Success

from masticdale_common import ErrorKind, Failure, hashing, logs
from masticdale_ledger.accounts import Bound
from masticdale_platform import ObjectStore, StoredObject

RECORD_PREFIX = "ledger-programs/"
# Records whose owner died before it forgot their programs are deleted once
# they are this old, in milliseconds: a day. A program that still ran then, and
# lost its record and all memory of it, would get its budget again.
_RETENTION_MS = 86_400_000


class _Record(pydantic.BaseModel):
    """The JSON of a record.

    Attributes:
        bound_tokens: The program may have spent up to this.
        writer: Who wrote it, to know a write whose answer was lost.
        at_ms: Wall milliseconds of the write.
    """

    bound_tokens: int
    writer: str
    at_ms: int


def record_name(program_id: str) -> str:
    """Returns the name of a program's record.

    Program ids are the callers' text, names of objects are not free text.
    """
    return hashing.digest(program_id)


@dataclasses.dataclass(frozen=True, slots=True)
class StoredBound:
    """A bound as it stands in the store.

    Attributes:
        bound: The bound.
        writer: The process that wrote it.
    """

    bound: Bound
    writer: str


class ProgramRecords:
    """Reads and writes the records."""

    def __init__(self, store: ObjectStore, writer: str) -> None:
        """Prepares to write.

        Args:
            store: The platform's store.
            writer: This process; no two processes have the same.
        """
        self._store = store
        self._writer = writer

    async def load(self) -> Result[dict[str, Bound], Failure]:
        """Returns every bound by the name of its record."""
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
            version: Version of the record now; 0 where there is none.

        Returns:
            What was written; CONFLICT where another owner has written since;
            or the store's failure.
        """
        key = RECORD_PREFIX + record_name(program_id)
        record = _Record(
            bound_tokens=tokens,
            writer=self._writer,
            at_ms=time.time_ns() // 1_000_000,
        )
        value = record.model_dump_json().encode()
        outcome = await self._store.write(key, value, version)
        if not isinstance(outcome, Failed):
            return Success(Bound(tokens, outcome.unwrap()))
        unclear = (ErrorKind.WRITE_UNKNOWN, ErrorKind.CONFLICT)
        if outcome.failure().kind not in unclear:
            return outcome
        # The answer was lost, of this write or of one before, and not
        # necessarily the write. Its own bound taken for another owner's would
        # count as spent, and the program be told that its budget is.
        found = await self._store.read(key)
        if isinstance(found, Failed):
            return found
        stored = found.unwrap()
        written = _parse_record(stored) if stored is not None else None
        if stored is None or written is None or written.writer != self._writer:
            return outcome
        if written.bound_tokens < tokens:
            return await self.raise_bound(program_id, tokens, stored.version)
        return Success(Bound(written.bound_tokens, stored.version))

    async def read(
        self, program_id: str
    ) -> Result[StoredBound | None, Failure]:
        """Returns a program's bound as it stands in the store."""
        key = RECORD_PREFIX + record_name(program_id)
        outcome = await self._store.read(key)
        return outcome.map(
            lambda item: _parse_stored_bound(item) if item else None
        )

    async def delete(self, program_id: str, version: int) -> None:
        """Deletes the record of a program that will not come back."""
        await self._delete(RECORD_PREFIX + record_name(program_id), version)

    async def _delete(self, key: str, version: int) -> None:
        outcome = await self._store.delete(key, version)
        if isinstance(outcome, Failed):
            logs.write_bounded(
                "record_not_deleted", key=key, reason=str(outcome.failure())
            )

    async def delete_expired(self, now_ms: int) -> None:
        """Deletes the records that no owner will delete any more.

        Without it each loss of owners leaves some behind for good, and every
        takeover reads all of them.

        Args:
            now_ms: Wall milliseconds.
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
