"""Which storage hosts hold a chain, and when a turn is certainly absent."""

import dataclasses
import enum
from collections.abc import Iterable, Mapping

from masticdale_common import hashing


@dataclasses.dataclass(frozen=True, slots=True)
class Member:
    """A storage host as the platform's store lists it.

    Attributes:
        host: Its name.
        address: IP address on which it serves histories.
        port: Port on which it serves histories.
        failure_domain: Its failure domain.
        disk_id: Identifies the contents of its disk.
        is_emptying: Whether it is about to be removed and takes no records.
    """

    host: str
    address: str
    port: int
    failure_domain: str
    disk_id: str
    is_emptying: bool = False


class Lookup(enum.Enum):
    """What a member knows of a turn that was not found elsewhere."""

    ABSENT = "absent"
    UNCERTAIN = "uncertain"


def rank_hosts(chain_key: str, members: Iterable[Member]) -> list[Member]:
    """Returns the members that may hold a chain, best first.

    The first ones are in different failure domains as far as there are any,
    so that a chain outlives the loss of one and is near most entry hosts.
    Emptying members are left out.
    """
    member_by_host = {m.host: m for m in members if not m.is_emptying}
    remaining = [
        member_by_host[host]
        for host in hashing.rendezvous_rank(chain_key, member_by_host)
    ]
    ranked: list[Member] = []
    while remaining:
        used_domains: set[str] = set()
        rest = []
        for member in remaining:
            if member.failure_domain in used_domains:
                rest.append(member)
                continue
            used_domains.add(member.failure_domain)
            ranked.append(member)
        remaining = rest
    return ranked


def is_absence_certain(
    lookup_by_host: Mapping[str, Lookup], tolerated_losses: int
) -> bool:
    """Returns whether a turn that no member has found does not exist.

    A safe turn was synced to one disk more than may be lost at once. If no
    more members than that are uncertain, at least one of its disks would have
    been found to hold it.

    Args:
        lookup_by_host: The result of every known member.
        tolerated_losses: Number of disks that may be lost at once.
    """
    uncertain = sum(
        lookup is Lookup.UNCERTAIN for lookup in lookup_by_host.values()
    )
    has_enough_members = len(lookup_by_host) > tolerated_losses
    return has_enough_members and uncertain <= tolerated_losses
