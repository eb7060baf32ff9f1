"""The stored head object of a shard."""

import pydantic
from returns.result import Failure as Failed
from returns.result import Result, Success

from masticdale_common import Failure
from masticdale_platform import ObjectStore
from masticdale_programs.records import TaggedRecord


class Head(pydantic.BaseModel):
    """The head object of a shard.

    Attributes:
        epoch: Fencing epoch; increases with each owner.
        owner: Host that owns the shard.
        writer: Identifies one opening of the journal by one process.
        sequence: Number of the newest commit.
        released: True once the owner has handed the shard off.
        segments: Keys of the sealed segments, oldest first.
        tail: Records since the newest segment.
        copy_holders: Hosts that keep copies of the commits acknowledged
            during an outage. All confirmed to this epoch's owner that their
            copies are complete.
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

    The key includes the writer, so only one opening of the journal writes it.
    An object that already exists is the same segment from an earlier attempt.
    """
    return f"shards/{shard:03d}/segments/{sequence:012d}-{writer}"


async def read_head(
    store: ObjectStore, shard: int
) -> Result[Head | None, Failure]:
    """Reads a shard's head from the store; None if there is none."""
    outcome = await store.read(head_key(shard))
    if isinstance(outcome, Failed):
        return outcome
    stored = outcome.unwrap()
    if stored is None:
        return Success(None)
    return Success(Head.model_validate_json(stored.value))
