"""Decisions of the repair of missing copies, without I/O."""

import dataclasses
from collections.abc import Collection, Iterable, Mapping, Sequence

from masticdale_common import hashing
from masticdale_history.checks import CheckedMember
from masticdale_history.interfaces import Entry
from masticdale_history.placement import Member, rank_hosts
from masticdale_history.records import TurnKey

# Longer than a turn waits until enough disks have its record. A pass that
# begins this long after a disk was created sees every record that the earlier
# disk of that host has acknowledged.
SAVE_WINDOW_S = 2.5
# Interval of passes while copies were missing.
MISSING_INTERVAL_S = 10.0
# Pause between passes, so that members that come and go do not make a host
# offer all of its turns without a break.
MIN_INTERVAL_S = 1.0
# Interval at which an incomplete member is told again that its repair is done,
# in case it has restarted and forgotten it.
FINISH_INTERVAL_S = 2.0
BATCH_SIZE = 256

Signature = tuple[tuple[str, str, int, str, bool], ...]


@dataclasses.dataclass(frozen=True)
class RepairView:
    """What a pass knows of the members; fixed for its duration.

    Attributes:
        own: This host.
        others: The other members that answer checks.
        copies: Number of hosts that must hold each record.
        at_s: Time of the view, in monotonic seconds.
    """

    own: Member
    others: tuple[CheckedMember, ...]
    copies: int
    at_s: float

    @property
    def signature(self) -> Signature:
        """Differs from that of another view if a pass is due."""
        members = [self.own, *(checked.member for checked in self.others)]
        return tuple(
            (m.host, m.address, m.port, m.disk_id, m.is_emptying)
            for m in members
        )

    @property
    def takers(self) -> list[Member]:
        """The members that may hold copies, including this host."""
        members = [self.own, *(checked.member for checked in self.others)]
        return [member for member in members if not member.is_emptying]

    @property
    def required_copies(self) -> int:
        """Copies that are possible: fewer if too few hosts answer."""
        return min(self.copies, len(self.takers))

    def covers(self, checked: CheckedMember) -> bool:
        """Returns whether a whole pass with this view repairs a disk.

        The disk then lacks no record of this host that is not on enough
        others. That needs a pass that began after all records were here that
        the earlier disk of the host acknowledged.
        """
        can_hold = not checked.member.is_emptying
        is_old = self.at_s - checked.disk_seen_at_s >= SAVE_WINDOW_S
        return is_old and (can_hold or len(self.takers) >= self.copies)


class CopyPlan:
    """Finds hosts for the copies of some turns and counts the confirmed ones.

    Each turn goes to the first hosts of its ranking. A host that can't take it
    is replaced by the next one.
    """

    def __init__(self, entries: Sequence[Entry], view: RepairView) -> None:
        self._view = view
        self._entry_by_key = {entry.key: entry for entry in entries}
        self._hosts_by_chain_key = {
            chain_key: [m.host for m in rank_hosts(chain_key, view.takers)]
            for chain_key in {entry.chain_key for entry in entries}
        }
        self._confirmed_by_key: dict[TurnKey, set[str]] = {
            key: set() for key in self._entry_by_key
        }
        self._refused_by_key: dict[TurnKey, set[str]] = {
            key: set() for key in self._entry_by_key
        }

    def next_offers(self) -> dict[str, list[Entry]]:
        """Returns the turns to offer next, by host; empty at the end.

        Every one of them must then be confirmed, refused or dropped.
        """
        entries_by_host: dict[str, list[Entry]] = {}
        for key, entry in self._entry_by_key.items():
            for host in self._next_hosts(key, entry):
                entries_by_host.setdefault(host, []).append(entry)
        return entries_by_host

    def confirm(self, host: str, key: TurnKey) -> None:
        """Records that a host holds a turn, synced to its disk."""
        self._confirmed_by_key[key].add(host)

    def refuse(self, host: str, key: TurnKey) -> None:
        """Records that a host can't take a turn."""
        self._refused_by_key[key].add(host)

    def drop(self, key: TurnKey) -> None:
        """Records that a turn has expired and needs no copies."""
        self._entry_by_key.pop(key, None)

    def short(self) -> list[TurnKey]:
        """Returns the turns that have too few copies."""
        required = self._view.required_copies
        return [
            key
            for key in self._entry_by_key
            if len(self._confirmed_by_key[key]) < required
        ]

    def _next_hosts(self, key: TurnKey, entry: Entry) -> list[str]:
        confirmed = self._confirmed_by_key[key]
        refused = self._refused_by_key[key]
        chosen = 0
        asked = []
        for host in self._hosts_by_chain_key[entry.chain_key]:
            if chosen >= self._view.copies:
                break
            if host in refused:
                continue
            chosen += 1
            if host == self._view.own.host:
                confirmed.add(host)
            elif host not in confirmed:
                asked.append(host)
        return asked


@dataclasses.dataclass(frozen=True, slots=True)
class PassReport:
    """The result of a pass.

    Attributes:
        view: The members that it used.
        turns: Number of turns.
        missing: Number of copies that were missing.
        short: Number of turns that still have too few copies.
        sent_bytes: Bytes of inputs and outputs that were sent.
        relied_on: Hosts that were found to hold a copy.
    """

    view: RepairView
    turns: int = 0
    missing: int = 0
    short: int = 0
    sent_bytes: int = 0
    relied_on: frozenset[str] = frozenset()

    @property
    def is_whole(self) -> bool:
        """Whether every turn has as many copies as are possible."""
        return self.short == 0

    @property
    def allows_removal(self) -> bool:
        """Whether the own disk may be removed, as far as the pass knows."""
        has_hosts = len(self.view.takers) >= self.view.copies
        return (
            self.view.own.is_emptying
            and self.is_whole
            and (has_hosts or not self.turns)
        )

    def is_still_valid(self, others: Iterable[CheckedMember]) -> bool:
        """Returns whether the hosts that hold the copies still have them.

        Args:
            others: The members that have answered a check after the pass.
        """
        disk_id_by_host = {
            c.member.host: c.member.disk_id
            for c in others
            if not c.member.is_emptying
        }
        return all(
            disk_id_by_host.get(c.member.host) == c.member.disk_id
            for c in self.view.others
            if c.member.host in self.relied_on
        )


class RepairSchedule:
    """Decides when a pass is due and which members it has repaired."""

    def __init__(self) -> None:
        self._last: PassReport | None = None
        self._ended_at_s = 0.0
        self._repaired_disk_by_host: dict[str, str] = {}
        self._finish_sent_at_s_by_host: dict[str, float] = {}

    def is_due(self, view: RepairView, is_own_complete: bool) -> bool:
        """Returns whether a pass is due.

        Args:
            view: The members now.
            is_own_complete: Whether the own disk is complete. The pass of
                another one repairs no member.
        """
        if self._last is None:
            return True
        idle_s = view.at_s - self._ended_at_s
        if idle_s < MIN_INTERVAL_S:
            return False
        if view.signature != self._last.view.signature:
            return True
        was_missing = self._last.missing or self._last.short
        if was_missing and idle_s >= MISSING_INTERVAL_S:
            return True
        return is_own_complete and any(
            not c.is_complete and view.covers(c) and not self._has_repaired(c)
            for c in view.others
        )

    def record(
        self, report: PassReport, is_own_complete: bool, now_s: float
    ) -> None:
        """Records the result of a pass.

        Args:
            report: The result.
            is_own_complete: Whether the own disk was complete at its start.
            now_s: Its end in monotonic seconds.
        """
        self._last = report
        self._ended_at_s = now_s
        if not report.is_whole or not is_own_complete:
            # An incomplete disk lacks records itself, so that its pass does
            # not show that the others lack none.
            return
        for checked in report.view.others:
            if report.view.covers(checked):
                member = checked.member
                self._repaired_disk_by_host[member.host] = member.disk_id

    def due_finishes(
        self, others: Iterable[CheckedMember], now_s: float
    ) -> list[Member]:
        """Returns the members to tell that this host has repaired them."""
        due = [
            checked.member
            for checked in others
            if not checked.is_complete
            and self._has_repaired(checked)
            and now_s - self._finish_sent_at_s(checked) >= FINISH_INTERVAL_S
        ]
        for member in due:
            self._finish_sent_at_s_by_host[member.host] = now_s
        return due

    def _has_repaired(self, checked: CheckedMember) -> bool:
        member = checked.member
        return self._repaired_disk_by_host.get(member.host) == member.disk_id

    def _finish_sent_at_s(self, checked: CheckedMember) -> float:
        never = float("-inf")
        return self._finish_sent_at_s_by_host.get(checked.member.host, never)


class RateLimit:
    """Spreads a number of bytes over time."""

    def __init__(self, bytes_per_s: float) -> None:
        self._bytes_per_s = bytes_per_s
        self._free_at_s = 0.0

    def reserve(self, size_bytes: int, now_s: float) -> float:
        """Returns the seconds to wait before this many bytes are sent."""
        start_s = max(now_s, self._free_at_s)
        self._free_at_s = start_s + size_bytes / self._bytes_per_s
        return start_s - now_s


def order_entries(entries: Collection[Entry], own_host: str) -> list[Entry]:
    """Returns entries by chain, each after the turn that it continues.

    Each host has another order of the chains. The hosts that hold a chain
    would otherwise all send the same copies at the same time.
    """
    entry_by_key = {entry.key: entry for entry in entries}
    depth_by_key: dict[TurnKey, int] = {}
    for entry in entries:
        _set_depths(entry, entry_by_key, depth_by_key)
    weight_by_chain_key = {
        chain_key: hashing.rendezvous_weight(chain_key, own_host)
        for chain_key in {entry.chain_key for entry in entries}
    }
    return sorted(
        entries,
        key=lambda entry: (
            weight_by_chain_key[entry.chain_key],
            entry.key.workspace,
            depth_by_key[entry.key],
        ),
    )


def find_tips(entries: Collection[Entry]) -> list[Entry]:
    """Returns the entries that no other one of them continues."""
    continued = {entry.previous_key for entry in entries}
    return [entry for entry in entries if entry.key not in continued]


def _set_depths(
    entry: Entry,
    entry_by_key: Mapping[TurnKey, Entry],
    depth_by_key: dict[TurnKey, int],
) -> None:
    path = []
    current: Entry | None = entry
    while current is not None and current.key not in depth_by_key:
        path.append(current.key)
        previous = current.previous_key
        current = entry_by_key.get(previous) if previous else None
    depth = -1 if current is None else depth_by_key[current.key]
    for key in reversed(path):
        depth += 1
        depth_by_key[key] = depth
