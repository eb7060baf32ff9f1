"""A shard's head object, as it is stored."""

import pydantic
from returns.result import Failure as Failed
from returns.result import Result, Success

from masticdale_common import Failure
from masticdale_platform import ObjectStore
from masticdale_programs.records import TaggedRecord


class Head(pydantic.BaseModel):
    """The head object of a shard.

    Attributes:
        epoch: Grows with each owner.
        owner: Host that holds the shard.
        writer: Names one opening by one process.
        sequence: Number of the newest commit.
        released: True once the owner handed the shard over.
        segments: Keys of the sealed segments, oldest first.
        tail: Records since the newest segment.
        copy_holders: Hosts that hold what the owner acknowledges in an
            outage; both have confirmed it under this epoch.
    """

    epoch: int
    owner: str
    writer: str
    sequence: int
    released: bool
    segments: tuple[str, ...]
    tail: tuple[TaggedRecord, ...]
    copy_holders: tuple[str, ...] = ()


def head_key(shard: int) -> str:
    """Returns the key of a shard's head object."""
    return f"shards/{shard:03d}/head"


def segment_key(shard: int, sequence: int, writer: str) -> str:
    """Returns the key of the segment that ends before a commit.

    The key carries the writer, so only one opening writes it and an existing
    object is this same segment, written before.
    """
    return f"shards/{shard:03d}/segments/{sequence:012d}-{writer}"


async def read_head(
    store: ObjectStore, shard: int
) -> Result[Head | None, Failure]:
    """Returns a shard's head as it is stored now."""
    outcome = await store.read(head_key(shard))
    if isinstance(outcome, Failed):
        return outcome
    stored = outcome.unwrap()
    if stored is None:
        return Success(None)
    return Success(Head.model_validate_json(stored.value))
