"""Whether a disk has lost no record, so that an absent turn never was on it."""

import dataclasses
from collections.abc import Callable, Iterable

from masticdale_history.placement import Member
from masticdale_history.turn_index import CLOCK_MARGIN_MS


@dataclasses.dataclass(frozen=True, slots=True)
class DiskOrigin:
    """How the contents of a disk came about.

    Attributes:
        disk_id: Identifies the contents.
        created_at_ms: Wall-clock milliseconds at which the disk was empty.
        is_known_complete: Whether the disk was complete at an earlier start.
        has_data: Whether it held records, or damaged ones, at this start.
    """

    disk_id: str
    created_at_ms: int
    is_known_complete: bool = False
    has_data: bool = False


class Completeness:
    """Decides whether the own disk is complete.

    A disk that was created empty in the place of a lost one becomes complete
    when the records of the lost one have expired, or when the other hosts have
    copied what they hold. Only the hosts that may be lost together with it may
    be missing among these.

    The disk of a host that is new is complete at once. A host is new if the
    first list that it loads lacks it: an entry is deleted only after a
    completed retirement, or when the host has not answered for twice the
    retention, so no turn that may still be asked for relies on an earlier disk.
    """

    def __init__(
        self,
        origin: DiskOrigin,
        own_host: str,
        tolerated_losses: int,
        wall_ms: Callable[[], int],
    ) -> None:
        """Creates the state of a disk.

        Args:
            origin: How its contents came about.
            own_host: Name of this host.
            tolerated_losses: Number of disks that may be lost at once.
            wall_ms: Returns wall-clock milliseconds.
        """
        self._origin = origin
        self._own_host = own_host
        self._tolerated_losses = tolerated_losses
        self._wall_ms = wall_ms
        self._is_complete = origin.is_known_complete
        self._may_be_new = not origin.has_data
        self._finished_hosts: set[str] = set()

    @property
    def is_complete(self) -> bool:
        """Whether the disk is complete; once true, it stays so."""
        return self._is_complete

    @property
    def finished_hosts(self) -> list[str]:
        """The hosts that have finished their repair of this disk."""
        return sorted(self._finished_hosts)

    def record_finish(self, host: str, disk_id: str) -> bool:
        """Records that a complete host has copied all that this disk lacks.

        Returns:
            Whether the repair was for the contents that this disk has.
        """
        if disk_id != self._origin.disk_id:
            return False
        self._finished_hosts.add(host)
        return True

    def update(
        self,
        members: Iterable[Member] | None,
        retention_s: float | None,
        *,
        was_listed: bool = False,
    ) -> bool:
        """Checks whether the disk has become complete.

        The first call with a list of members must precede the registration of
        this host.

        Args:
            members: All members, with this host as it was last registered;
                None while the list is not loaded.
            retention_s: The longest retention of the configuration; None while
                no configuration is known.
            was_listed: Whether the first list had an entry of this host, even
                an unreadable one, which is not among the members.

        Returns:
            Whether the disk has become complete by this call.
        """
        if self._is_complete or members is None:
            return False
        listed = list(members)
        self._is_complete = (
            self._is_new(listed, was_listed)
            or self._has_outlived(retention_s)
            or self._is_repaired(listed)
        )
        return self._is_complete

    def _is_new(self, members: list[Member], was_listed: bool) -> bool:
        """Whether no earlier disk of this host can have held records."""
        is_listed = was_listed or any(
            member.host == self._own_host for member in members
        )
        self._may_be_new = self._may_be_new and not is_listed
        return self._may_be_new

    def _has_outlived(self, retention_s: float | None) -> bool:
        """Whether the records of an earlier disk have expired."""
        if retention_s is None:
            return False
        lost_until_ms = self._origin.created_at_ms + retention_s * 1000
        return self._wall_ms() >= lost_until_ms + CLOCK_MARGIN_MS

    def _is_repaired(self, members: list[Member]) -> bool:
        others = {m.host for m in members} - {self._own_host}
        unfinished = others - self._finished_hosts
        allowed = max(0, self._tolerated_losses - 1)
        # With fewer others, a host that holds a lost record may not be listed.
        has_enough_others = len(others) >= max(1, self._tolerated_losses)
        return has_enough_others and len(unfinished) <= allowed
