"""Copies of a shard's records on two other hosts during an outage.

While the platform's service is down, a record is acknowledged once its owner
and both of two holders have it. A taker that seals one holder has them all,
and stops the owner: what needs both holders can no longer be acknowledged.
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
        records: Its records.
    """

    sequence: int
    records: tuple[TaggedRecord, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class CopyBatch:
    """What an owner gives a holder, and a sealed holder a taker.

    Attributes:
        shard: The shard.
        epoch: The owner's epoch.
        drained: The platform holds every commit up to this one.
        after: The entries follow this commit without a gap.
        entries: Commits, oldest first.
    """

    shard: int
    epoch: int
    drained: int
    after: int
    entries: tuple[CopyEntry, ...] = ()


class CopyHolders(Protocol):
    """The hosts that hold copies; the daemon brings it over peers."""

    def choose(self, shard: int, current: Sequence[str]) -> tuple[str, ...]:
        """Returns the hosts for a shard's copies; see ``choose_holders``."""
        ...

    async def put(self, holder: str, batch: CopyBatch) -> Result[None, Failure]:
        """Gives a holder a batch; see ``CopyStore.put``."""
        ...

    async def seal(
        self, holder: str, shard: int, epoch: int
    ) -> Result[CopyBatch, Failure]:
        """Seals a holder and gets its copies; see ``CopyStore.seal``."""
        ...


_BATCH = pydantic.TypeAdapter(CopyBatch)


def encode_batch(batch: CopyBatch) -> bytes:
    """Returns a batch as JSON."""
    return _BATCH.dump_json(batch)


def decode_batch(data: bytes) -> CopyBatch:
    """Returns the batch of a JSON text; raises on malformed text."""
    return _BATCH.validate_json(data)


def choose_holders(
    shard: int,
    owner: str,
    domain_by_host: Mapping[str, str],
    current: Sequence[str],
) -> tuple[str, ...]:
    """Chooses the holders of a shard's copies.

    Present holders stay while they live, so that membership's noise costs no
    head updates.

    Args:
        shard: The shard.
        owner: Its owner.
        domain_by_host: Failure domains of the live hosts, the owner's too.
        current: The present holders.

    Returns:
        Two hosts, in domains other than the owner's and each other's; none
        where there are no two such hosts.
    """
    chosen: list[str] = []
    used_domains = {domain_by_host.get(owner)}
    ranked = hashing.rank(f"copies/{shard}", domain_by_host)
    for host in (*current, *ranked):
        domain = domain_by_host.get(host)
        if domain is None or domain in used_domains or host == owner:
            continue
        chosen.append(host)
        used_domains.add(domain)
        if len(chosen) == HOLDER_COUNT:
            return tuple(chosen)
    return ()
