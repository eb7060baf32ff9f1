"""Copies of a shard's commits on two other hosts during an outage.

While the platform is down, a commit is acknowledged once the owner and both
copy holders have it. A new owner seals at least one holder: that returns every
acknowledged commit and fences the old owner, which needs both holders.
"""

import dataclasses
from collections.abc import Mapping, Sequence
from typing import Protocol

import pydantic
from returns.result import Result

from masticdale_common import Failure, hashing
from masticdale_programs.records import TaggedRecord

HOLDER_COUNT = 2


@dataclasses.dataclass(frozen=True, slots=True)
class CopyEntry:
    """The records of one commit.

    Attributes:
        sequence: Number of the commit.
        records: Records of the commit.
    """

    sequence: int
    records: tuple[TaggedRecord, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class CopyBatch:
    """Commits sent by an owner to a holder, or by a holder to a new owner.

    Attributes:
        shard: Number of the shard.
        epoch: Epoch of the owner that made the commits.
        drained: Sequence number up to which the platform has every commit.
        after: Sequence number that the entries follow without a gap.
        entries: Commits, oldest first.
    """

    shard: int
    epoch: int
    drained: int
    after: int
    entries: tuple[CopyEntry, ...] = ()


class CopyHolders(Protocol):
    """Access to the copy holders; implemented by the daemon."""

    def choose(self, shard: int, current: Sequence[str]) -> tuple[str, ...]:
        """Returns the hosts for a shard's copies; see ``choose_holders``."""
        ...

    async def put(self, holder: str, batch: CopyBatch) -> Result[None, Failure]:
        """Sends a batch to a holder; see ``CopyStore.put``."""
        ...

    async def seal(
        self, holder: str, shard: int, epoch: int
    ) -> Result[CopyBatch, Failure]:
        """Seals a holder and returns its copies; see ``CopyStore.seal``."""
        ...


_BATCH = pydantic.TypeAdapter(CopyBatch)


def encode_batch(batch: CopyBatch) -> bytes:
    """Encodes a batch as JSON."""
    return _BATCH.dump_json(batch)


def decode_batch(data: bytes) -> CopyBatch:
    """Decodes a batch from JSON; raises on malformed data."""
    return _BATCH.validate_json(data)


def choose_holders(
    shard: int,
    owner: str,
    domain_by_host: Mapping[str, str],
    current: Sequence[str],
) -> tuple[str, ...]:
    """Chooses the holders of a shard's copies.

    Current holders are kept while they are alive, so that membership changes
    of other hosts cause no head updates.

    Args:
        shard: Number of the shard.
        owner: Host that owns the shard.
        domain_by_host: Failure domains of the live hosts, owner included.
        current: The current holders.

    Returns:
        Two hosts in failure domains other than the owner's and each other's,
        or an empty tuple if there are no two such hosts.
    """
    chosen: list[str] = []
    used_domains = {domain_by_host.get(owner)}
    ranked = hashing.rendezvous_rank(f"copies/{shard}", domain_by_host)
    for host in (*current, *ranked):
        domain = domain_by_host.get(host)
        if domain is None or domain in used_domains or host == owner:
            continue
        chosen.append(host)
        used_domains.add(domain)
        if len(chosen) == HOLDER_COUNT:
            return tuple(chosen)
    return ()
