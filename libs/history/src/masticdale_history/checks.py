"""The states of the other storage hosts, as they answer checks."""

import dataclasses
from collections.abc import Iterable

from masticdale_history.messages import CheckReply
from masticdale_history.placement import Member

# Time after its last answer to a check for which a member counts as reachable.
REACHABLE_S = 3.0
# A member is given up after this multiple of the longest retention.
LOST_RETENTIONS = 2


@dataclasses.dataclass(frozen=True, slots=True)
class CheckedMember:
    """A member that answers checks.

    Attributes:
        member: The member, with the disk and state of its last answer.
        is_complete: Whether its disk has lost no record.
        disk_seen_at_s: Time of the first answer with this disk, in monotonic
            seconds.
    """

    member: Member
    is_complete: bool
    disk_seen_at_s: float


@dataclasses.dataclass(slots=True)
class _State:
    member: Member
    heard_at_s: float
    checked: CheckedMember | None = None


class MemberStates:
    """What the other members have answered to checks."""

    def __init__(self, own_host: str, own_disk_id: str) -> None:
        self._own_host = own_host
        self._own_disk_id = own_disk_id
        self._state_by_host: dict[str, _State] = {}

    def update(self, members: Iterable[Member], now_s: float) -> None:
        """Takes over the list of members; the own host is left out."""
        state_by_host: dict[str, _State] = {}
        for member in members:
            if member.host == self._own_host:
                continue
            state = self._state_by_host.get(member.host)
            if state is None or not _is_same_address(state.member, member):
                state = _State(member, now_s)
            state.member = member
            state_by_host[member.host] = state
        self._state_by_host = state_by_host

    def record_answer(
        self, member: Member, reply: CheckReply, now_s: float
    ) -> bool:
        """Records an answer.

        It is ignored if another member is listed with the disk of the answer:
        that host has taken over the address of this one.

        Returns:
            Whether it is the member's first answer, or its first one with
            another disk.
        """
        state = self._state_by_host.get(member.host)
        if state is None or not _is_same_address(state.member, member):
            return False
        if self._is_disk_of_another(member.host, reply.disk_id):
            return False
        last = state.checked
        is_new = last is None or last.member.disk_id != reply.disk_id
        seen_at_s = now_s if last is None or is_new else last.disk_seen_at_s
        state.heard_at_s = now_s
        state.checked = CheckedMember(
            dataclasses.replace(
                state.member,
                disk_id=reply.disk_id,
                is_emptying=state.member.is_emptying or reply.is_emptying,
            ),
            reply.is_complete,
            seen_at_s,
        )
        return is_new

    def _is_disk_of_another(self, host: str, disk_id: str) -> bool:
        owners = {
            state.member.host
            for state in self._state_by_host.values()
            if state.member.disk_id == disk_id
        }
        is_own = disk_id == self._own_disk_id
        return is_own or bool(owners and host not in owners)

    def all(self) -> list[Member]:
        """Returns all other members, by name."""
        states = sorted(self._state_by_host.items())
        return [state.member for _, state in states]

    def reachable(self, now_s: float) -> list[CheckedMember]:
        """Returns the members that have answered recently, by name."""
        return [
            state.checked
            for _, state in sorted(self._state_by_host.items())
            if state.checked is not None
            and now_s - state.heard_at_s <= REACHABLE_S
        ]

    def lost(self, now_s: float, retention_s: float) -> list[Member]:
        """Returns the members whose objects this host shall delete.

        These have not answered for so long that every record that only they
        held has expired. Only the first live member by name deletes them, and
        only if most members are live: a host that is cut off from the others
        would otherwise delete all of them.
        """
        live = {checked.member.host for checked in self.reachable(now_s)}
        is_first = all(self._own_host < host for host in live)
        has_majority = 2 * (len(live) + 1) > len(self._state_by_host) + 1
        if not is_first or not has_majority:
            return []
        return [
            state.member
            for host, state in self._state_by_host.items()
            if host not in live
            and now_s - state.heard_at_s > LOST_RETENTIONS * retention_s
        ]


def _is_same_address(first: Member, second: Member) -> bool:
    return (first.address, first.port) == (second.address, second.port)
