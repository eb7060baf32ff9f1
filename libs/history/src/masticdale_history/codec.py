"""The bytes of a record on a disk."""

import dataclasses
import struct

import xxhash

from masticdale_history.records import TurnRecord

# End, retention, then the lengths of the four texts and of the input. The
# output takes the rest.
_HEADER = struct.Struct("<qqIIIII")

# Turn id, workspace, previous id and chain key.
_Texts = tuple[str, str, str, str]


@dataclasses.dataclass(frozen=True, slots=True)
class RecordHead:
    """What the index needs of a record.

    Attributes:
        turn_id: Id of the request that ran the turn.
        workspace: Name of the caller's workspace; empty for none.
        previous_id: The turn that it continues; empty at the start of a chain.
        chain_key: Key that selects the hosts of the whole chain.
        expires_at_ms: Wall-clock milliseconds from which on it need not be
            kept.
    """

    turn_id: str
    workspace: str
    previous_id: str
    chain_key: str
    expires_at_ms: int


def compute_checksum(payload: bytes | memoryview) -> int:
    """Returns a 64-bit checksum."""
    return xxhash.xxh3_64_intdigest(payload)


def encode_record(record: TurnRecord) -> bytes:
    """Returns the bytes of a record; equal records have equal bytes.

    Raises:
        struct.error: A time does not fit into 64 bits.
        UnicodeEncodeError: A text is not valid Unicode.
    """
    texts = (
        record.turn_id.encode(),
        record.workspace.encode(),
        record.previous_id.encode(),
        record.chain_key.encode(),
    )
    header = _HEADER.pack(
        record.ended_at_ms,
        record.retention_ms,
        *map(len, texts),
        len(record.input),
    )
    return b"".join((header, *texts, record.input, record.output))


def decode_record(payload: bytes) -> TurnRecord:
    """Returns the record that ``encode_record`` has encoded.

    Raises:
        struct.error: The payload is too short.
        UnicodeDecodeError: A text is not valid UTF-8.
    """
    ended_at_ms, retention_ms, *lengths, input_length = _HEADER.unpack_from(
        payload
    )
    texts, offset = _decode_texts(payload, lengths)
    output_offset = offset + input_length
    return TurnRecord(
        *texts,
        input=payload[offset:output_offset],
        output=payload[output_offset:],
        ended_at_ms=ended_at_ms,
        retention_ms=retention_ms,
    )


def decode_head(payload: memoryview) -> RecordHead:
    """Returns the head of a record without copying its contents.

    Raises:
        struct.error: The payload is too short.
        UnicodeDecodeError: A text is not valid UTF-8.
    """
    ended_at_ms, retention_ms, *lengths, _ = _HEADER.unpack_from(payload)
    texts, _ = _decode_texts(payload, lengths)
    return RecordHead(*texts, expires_at_ms=ended_at_ms + retention_ms)


def _decode_texts(
    payload: bytes | memoryview, lengths: list[int]
) -> tuple[_Texts, int]:
    """Returns the texts after the header and the offset of their end."""
    offset = _HEADER.size
    texts = []
    for length in lengths:
        texts.append(str(payload[offset : offset + length], "utf-8"))
        offset += length
    turn_id, workspace, previous_id, chain_key = texts
    return (turn_id, workspace, previous_id, chain_key), offset
