"""Decisions of the history client, without I/O.

Which storage hosts are asked in which order, how many of them are sent a
record, and when the outcome is final. Times are event loop times in seconds.
"""

import dataclasses
import enum
from collections.abc import Iterable, Sequence

from masticdale_history.placement import Lookup, Member, is_absence_certain

# Time for which a storage host counts as unreachable after a failed call, and
# as without room after it has refused a record, in seconds.
SUSPECT_PERIOD_S = 1.0
# Time for which a certain absence waits for the members that have not answered,
# in seconds. A host that is slow by a factor of 7 answers within it; if it is
# found to hold the turn, one wrong 404 is avoided.
ABSENCE_GRACE_S = 0.25

Endpoint = tuple[str, int]


def endpoint_of(member: Member) -> Endpoint:
    """Returns the address and port of a member."""
    return (member.address, member.port)


@dataclasses.dataclass(slots=True)
class HostState:
    """What the last calls to a storage host have shown.

    Attributes:
        failed_at: Time of the last call, if it was not answered; else None.
        refused_at: Time at which the host last refused records; None if it
            has accepted some since.
        roomy_disk_id: Disk for which the host last answered that it takes
            records; empty if it never has.
    """

    failed_at: float | None = None
    refused_at: float | None = None
    roomy_disk_id: str = ""


class HostStates:
    """States of the storage hosts, learned from the calls to them.

    They are kept by endpoint: a host that is replaced at another address has
    no state. A host that has never been called counts as reachable, and takes
    its place in the order of writes, but it does not count as having room.
    """

    def __init__(self) -> None:
        self._state_by_endpoint: dict[Endpoint, HostState] = {}

    def record_failure(self, member: Member, now: float) -> None:
        """Records that a call was not answered."""
        self._state(member).failed_at = now

    def record_answer(self, member: Member) -> None:
        """Records that a call was answered."""
        self._state(member).failed_at = None

    def record_refusal(self, member: Member, now: float) -> None:
        """Records that the host takes no records: full, emptying, failed."""
        self._state(member).refused_at = now

    def record_room(self, member: Member) -> None:
        """Records that the host takes records."""
        state = self._state(member)
        state.refused_at = None
        state.roomy_disk_id = member.disk_id

    def retain(self, members: Iterable[Member]) -> None:
        """Drops the states of all hosts but the given ones."""
        kept = {endpoint_of(member) for member in members}
        for endpoint in self._state_by_endpoint.keys() - kept:
            del self._state_by_endpoint[endpoint]

    def is_suspect(self, member: Member) -> bool:
        """Returns whether its last answer is missing or was a refusal.

        Also for a host that has not answered with its listed disk yet.
        """
        state = self._known_state(member)
        is_failing = state.failed_at is not None or state.refused_at is not None
        return is_failing or state.roomy_disk_id != member.disk_id

    def has_answered(self, member: Member) -> bool:
        """Returns whether the last call to a member, if any, was answered."""
        return self._known_state(member).failed_at is None

    def is_reachable(self, member: Member, now: float) -> bool:
        """Returns whether no call to it has failed recently."""
        return not _is_recent(self._known_state(member).failed_at, now)

    def has_room(self, member: Member, now: float) -> bool:
        """Returns whether it has taken records, or said so, and still does.

        A host that has not answered yet may be lost: it would be found out
        only at the end of the turns that were begun with it.
        """
        is_known = self._known_state(member).roomy_disk_id == member.disk_id
        return is_known and self.is_writable(member, now)

    def is_writable(self, member: Member, now: float) -> bool:
        """Returns whether it has neither failed nor refused recently."""
        is_refusing = _is_recent(self._known_state(member).refused_at, now)
        return self.is_reachable(member, now) and not is_refusing

    def order_for_write(
        self, ranked: Sequence[Member], now: float
    ) -> list[Member]:
        """Returns the hosts to send a record to, in order.

        Those that have recently failed or refused come last. Two entries with
        one endpoint or one disk are one host, which would be counted twice.

        Args:
            ranked: The members by the ranking of the chain key.
            now: The time.
        """
        return sorted(
            distinct_disks(ranked), key=lambda m: not self.is_writable(m, now)
        )

    def choose_near(
        self, ranked: Sequence[Member], copies: int, domain: str, now: float
    ) -> Member | None:
        """Returns the holder of a chain that is asked for it first.

        Args:
            ranked: The members by the ranking of the chain key.
            copies: Number of holders of a chain.
            domain: Failure domain whose holders are preferred.
            now: The time.

        Returns:
            The holder; None if no host is reachable.
        """
        reachable = [m for m in ranked if self.is_reachable(m, now)]
        holders = reachable[:copies]
        near = [m for m in holders if m.failure_domain == domain]
        return next(iter(near or holders), None)

    def _known_state(self, member: Member) -> HostState:
        return self._state_by_endpoint.get(endpoint_of(member), HostState())

    def _state(self, member: Member) -> HostState:
        return self._state_by_endpoint.setdefault(
            endpoint_of(member), HostState()
        )


def _is_recent(at: float | None, now: float) -> bool:
    return at is not None and now - at < SUSPECT_PERIOD_S


def distinct_disks(members: Iterable[Member]) -> list[Member]:
    """Returns the members without those that repeat an endpoint or a disk."""
    used: set[Endpoint | str] = set()
    distinct = []
    for member in members:
        marks: set[Endpoint | str] = {endpoint_of(member), member.disk_id}
        if marks & used:
            continue
        used |= marks
        distinct.append(member)
    return distinct


class SaveState(enum.Enum):
    """Progress of a save."""

    PENDING = "pending"
    SYNCED = "synced"
    FAILED = "failed"


class SavePlan:
    """Chooses the hosts to send a record to, and counts the copies."""

    def __init__(self, candidates: Sequence[Member], copies: int) -> None:
        """Initializes the plan.

        Args:
            candidates: The hosts in order, each with its own disk.
            copies: Number of hosts that have to sync the record.
        """
        self._unused = list(candidates)
        self._copies = copies
        self._awaited: set[str] = set()
        self._overdue: set[str] = set()
        self._synced: set[str] = set()

    @property
    def state(self) -> SaveState:
        """SYNCED with enough copies; FAILED if there can't be enough."""
        if len(self._synced) >= self._copies:
            return SaveState.SYNCED
        possible = (self._synced, self._awaited, self._overdue, self._unused)
        if sum(len(hosts) for hosts in possible) < self._copies:
            return SaveState.FAILED
        return SaveState.PENDING

    @property
    def awaited(self) -> frozenset[str]:
        """The hosts that have not answered and are not overdue."""
        return frozenset(self._awaited)

    def take_targets(self) -> list[Member]:
        """Returns the hosts to send the record to now; each only once."""
        if self.state is not SaveState.PENDING:
            return []
        lacking = self._copies - len(self._synced) - len(self._awaited)
        lacking = max(0, lacking)
        targets = self._unused[:lacking]
        self._unused = self._unused[lacking:]
        self._awaited |= {member.host for member in targets}
        return targets

    def set_synced(self, host: str) -> None:
        """Counts the copy of a host."""
        self._discard(host)
        self._synced.add(host)

    def set_failed(self, host: str) -> None:
        """Records that a host has not taken the record."""
        self._discard(host)

    def set_overdue(self, host: str) -> None:
        """Replaces a host that has not answered; its copy still counts."""
        if host in self._awaited:
            self._discard(host)
            self._overdue.add(host)

    def _discard(self, host: str) -> None:
        self._awaited.discard(host)
        self._overdue.discard(host)


class Answer(enum.StrEnum):
    """What a member has answered to a read.

    Attributes:
        FOUND: It has sent the chain.
        ABSENT: Its disk is complete and does not hold the turn.
        INCOMPLETE: Its disk does not hold the turn but may have lost it.
        FAILED: It could not look the turn up.
        NONE: It has not answered in time.
        AWAITED: It has been asked and has not answered yet.
    """

    FOUND = "found"
    ABSENT = "absent"
    INCOMPLETE = "incomplete"
    FAILED = "failed"
    NONE = "none"
    AWAITED = "awaited"


class Verdict(enum.Enum):
    """Outcome of a search."""

    FOUND = "found"
    UNKNOWN = "unknown"
    UNAVAILABLE = "unavailable"


@dataclasses.dataclass(slots=True)
class Asked:
    """A member that was asked for a turn.

    Attributes:
        member: The member as it was listed when it was asked.
        answer: Its answer.
        at: Time of the answer, or of the question if there is none yet.
    """

    member: Member
    answer: Answer
    at: float


class ChainSearch:
    """Collects the answers to a read and decides when they suffice."""

    def __init__(self, tolerated_losses: int) -> None:
        """Initializes the search.

        Args:
            tolerated_losses: Number of disks that may be lost at once.
        """
        self._tolerated_losses = tolerated_losses
        self._asked_by_host: dict[str, Asked] = {}
        self._certain_at: float | None = None

    def ask(self, member: Member, now: float) -> None:
        """Records that a member is asked."""
        self._asked_by_host[member.host] = Asked(member, Answer.AWAITED, now)

    def is_asked(self, member: Member) -> bool:
        """Returns whether a member has been asked."""
        return member.host in self._asked_by_host

    def set_answer(self, member: Member, answer: Answer, now: float) -> None:
        """Records the answer of a member that was asked."""
        self._asked_by_host[member.host] = Asked(member, answer, now)

    def decide(self, members: Sequence[Member], now: float) -> Verdict | None:
        """Returns the outcome, or None while it is open.

        Called after each answer, and after ``ABSENCE_GRACE_S`` without any.

        Args:
            members: All members that are listed now; empty if the list is
                not known, so that no absence is certain.
            now: The time.
        """
        answers = [asked.answer for asked in self._asked_by_host.values()]
        if Answer.FOUND in answers:
            return Verdict.FOUND
        is_certain = self._is_absence_certain(members)
        if Answer.AWAITED not in answers:
            return Verdict.UNKNOWN if is_certain else Verdict.UNAVAILABLE
        if not is_certain:
            self._certain_at = None
            return None
        if self._certain_at is None:
            self._certain_at = now
        is_waiting = now - self._certain_at < ABSENCE_GRACE_S
        return None if is_waiting else Verdict.UNKNOWN

    def has_asked_all(self, members: Iterable[Member]) -> bool:
        """Returns whether each member was asked at its place and disk.

        Args:
            members: The members of a list; without any, it is not complete.
        """
        listed = list(members)
        return bool(listed) and all(self._is_asked_at(m) for m in listed)

    def describe(self, now: float) -> list[str]:
        """Returns each host's answer and its age, for the log."""
        return [
            describe_answer(host, asked.answer, now - asked.at)
            for host, asked in self._asked_by_host.items()
        ]

    def _is_absence_certain(self, members: Sequence[Member]) -> bool:
        if not members:
            return False
        lookup_by_host = {
            host: _lookup_of(asked.answer)
            for host, asked in self._asked_by_host.items()
        }
        for member in members:
            # A host that was listed or replaced since the members were asked
            # may hold the turn.
            if not self._is_asked_at(member):
                lookup_by_host[member.host] = Lookup.UNCERTAIN
        return is_absence_certain(lookup_by_host, self._tolerated_losses)

    def _is_asked_at(self, member: Member) -> bool:
        asked = self._asked_by_host.get(member.host)
        return asked is not None and _place(asked.member) == _place(member)


def describe_answer(host: str, answer: str, age_s: float) -> str:
    """Returns a host's answer for the log.

    Args:
        host: Name of the host.
        answer: Its answer.
        age_s: Seconds since it answered or, without an answer, was asked.
    """
    return f"{host}: {answer} {round(1000 * age_s)} ms ago"


def _place(member: Member) -> tuple[Endpoint, str]:
    return (endpoint_of(member), member.disk_id)


def _lookup_of(answer: Answer) -> Lookup:
    return Lookup.ABSENT if answer is Answer.ABSENT else Lookup.UNCERTAIN
