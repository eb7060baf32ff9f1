"""Orders the waiting tickets of a replica.

Priority classes are served in ascending order. Within a class, workspaces share
by start-time fair queueing; within a workspace, ``QueueOrder`` applies. Tickets
older than the age bound precede all others.
"""

import dataclasses
import enum
from collections.abc import Callable, Mapping

from masticdale_routing.heaps import LazyHeap
from masticdale_routing.tickets import Ticket

# Ranks are grouped by powers of two, so that the work ahead of a ticket is a
# sum over few buckets; the last one holds all higher ranks.
_RANK_BUCKETS = 24
_HIGHEST_RANK = float(2**_RANK_BUCKETS)
_DEFAULT_WEIGHT = 1.0


class QueueOrder(enum.StrEnum):
    """Order of the tickets of one class and workspace."""

    FIRST_COME = "first_come"
    ATTAINED_SERVICE = "attained_service"


def _no_rank(_: Ticket) -> float:
    return 0.0


def _attained_rank(ticket: Ticket) -> float:
    return ticket.attained_s


_RANK_BY_ORDER: dict[QueueOrder, Callable[[Ticket], float]] = {
    QueueOrder.FIRST_COME: _no_rank,
    QueueOrder.ATTAINED_SERVICE: _attained_rank,
}


def _bucket(rank: float) -> int:
    return min(_RANK_BUCKETS - 1, int(rank).bit_length())


@dataclasses.dataclass(frozen=True, slots=True)
class _Entry:
    ticket: Ticket
    rank: float
    service_s: float


class _WorkspaceQueue:
    """Tickets of one workspace in one class."""

    def __init__(self, weight: float) -> None:
        self.weight = weight
        self.virtual_time_s = 0.0
        self.heap: LazyHeap[tuple[float, float]] = LazyHeap()
        self.work_by_bucket = [0.0] * _RANK_BUCKETS

    def add(self, entry: _Entry) -> None:
        key = (entry.rank, entry.ticket.queued_at)
        self.heap.push(entry.ticket.ticket_id, key)
        self.work_by_bucket[_bucket(entry.rank)] += entry.service_s

    def remove(self, entry: _Entry) -> None:
        self.heap.discard(entry.ticket.ticket_id)
        if not self.heap:
            self.work_by_bucket = [0.0] * _RANK_BUCKETS
            return
        self.work_by_bucket[_bucket(entry.rank)] -= entry.service_s

    def work_ahead(self, rank: float) -> float:
        return sum(self.work_by_bucket[: _bucket(rank) + 1])


class _ClassQueue:
    """Tickets of one priority class."""

    def __init__(self, weight_by_workspace: Mapping[str, float]) -> None:
        self._weight_by_workspace = weight_by_workspace
        self._queue_by_workspace: dict[str, _WorkspaceQueue] = {}
        self._active_workspaces: LazyHeap[float] = LazyHeap()
        self._virtual_time_s = 0.0
        self._active_weight = 0.0
        self.work_s = 0.0

    def add(self, entry: _Entry) -> None:
        workspace = entry.ticket.workspace
        queue = self._queue_by_workspace.get(workspace)
        if queue is None:
            queue = _WorkspaceQueue(self._weight(workspace))
            self._queue_by_workspace[workspace] = queue
        if not queue.heap:
            # An idle workspace accumulates no credit, with which it could
            # starve the others afterwards.
            queue.virtual_time_s = max(
                queue.virtual_time_s, self._virtual_time_s
            )
            self._active_workspaces.push(workspace, queue.virtual_time_s)
            self._active_weight += queue.weight
        queue.add(entry)
        self.work_s += entry.service_s

    def remove(self, entry: _Entry, served: bool) -> None:
        workspace = entry.ticket.workspace
        queue = self._queue_by_workspace[workspace]
        queue.remove(entry)
        self.work_s = max(0.0, self.work_s - entry.service_s)
        if served:
            self._virtual_time_s = max(
                self._virtual_time_s, queue.virtual_time_s
            )
            queue.virtual_time_s += entry.service_s / queue.weight
        if queue.heap:
            self._active_workspaces.push(workspace, queue.virtual_time_s)
            return
        self._active_workspaces.discard(workspace)
        self._active_weight -= queue.weight
        self._reset_if_idle()

    def head(self) -> str | None:
        first = self._active_workspaces.peek()
        if first is None:
            return None
        head = self._queue_by_workspace[first[1]].heap.peek()
        return head[1] if head else None

    def work_ahead(self, workspace: str, rank: float, own_s: float) -> float:
        """Returns the service time ahead of a new ticket of this class.

        Other workspaces count by their weights relative to the work of this
        workspace up to and including the ticket, however long their queues.
        """
        queue = self._queue_by_workspace.get(workspace)
        weight = self._weight(workspace)
        ahead, total, active = 0.0, 0.0, 0.0
        if queue is not None and queue.heap:
            ahead = queue.work_ahead(rank)
            total = sum(queue.work_by_bucket)
            active = queue.weight
        others = max(0.0, self.work_s - total)
        other_weight = max(0.0, self._active_weight - active)
        share = (ahead + own_s) * other_weight / weight
        return ahead + min(others, share)

    def _weight(self, workspace: str) -> float:
        return self._weight_by_workspace.get(workspace, _DEFAULT_WEIGHT)

    def _reset_if_idle(self) -> None:
        if self._active_workspaces:
            return
        self._virtual_time_s = 0.0
        self.work_s = 0.0
        self._active_weight = 0.0
        self._queue_by_workspace.clear()


class WaitingTickets:
    """The waiting tickets of one replica."""

    def __init__(
        self,
        order: QueueOrder,
        age_bound_s: float,
        weight_by_workspace: Mapping[str, float],
    ) -> None:
        self._rank = _RANK_BY_ORDER[order]
        self._age_bound_s = age_bound_s
        self._weight_by_workspace = weight_by_workspace
        self._entry_by_id: dict[str, _Entry] = {}
        self._class_by_priority: dict[int, _ClassQueue] = {}
        self._by_age: LazyHeap[float] = LazyHeap()
        self._by_deadline: LazyHeap[float] = LazyHeap()

    def __len__(self) -> int:
        return len(self._entry_by_id)

    def __contains__(self, ticket_id: str) -> bool:
        return ticket_id in self._entry_by_id

    def tickets(self) -> list[Ticket]:
        """Returns all waiting tickets in arbitrary order."""
        return [entry.ticket for entry in self._entry_by_id.values()]

    def add(self, ticket: Ticket, service_s: float) -> None:
        """Adds a ticket.

        Args:
            ticket: A ticket that is not waiting yet.
            service_s: Its expected service time.
        """
        entry = _Entry(ticket, self._rank(ticket), service_s)
        self._entry_by_id[ticket.ticket_id] = entry
        queue = self._class_by_priority.get(ticket.priority)
        if queue is None:
            queue = _ClassQueue(self._weight_by_workspace)
            self._class_by_priority[ticket.priority] = queue
        queue.add(entry)
        self._by_age.push(ticket.ticket_id, ticket.queued_at)
        self._by_deadline.push(ticket.ticket_id, ticket.deadline_at)

    def remove(self, ticket_id: str, served: bool = False) -> Ticket | None:
        """Removes a ticket.

        Args:
            ticket_id: Id of the ticket.
            served: Whether it was granted, so that its workspace is charged.

        Returns:
            The ticket, or None if it was not waiting.
        """
        entry = self._entry_by_id.pop(ticket_id, None)
        if entry is None:
            return None
        self._class_by_priority[entry.ticket.priority].remove(entry, served)
        self._by_age.discard(ticket_id)
        self._by_deadline.discard(ticket_id)
        return entry.ticket

    def head(self, now: float) -> Ticket | None:
        """Returns the ticket to serve next, or None if none waits."""
        oldest = self._by_age.peek()
        if oldest is None:
            return None
        if now - oldest[0] >= self._age_bound_s:
            return self._entry_by_id[oldest[1]].ticket
        for priority in sorted(self._class_by_priority):
            ticket_id = self._class_by_priority[priority].head()
            if ticket_id is not None:
                return self._entry_by_id[ticket_id].ticket
        return None

    def expire(self, now: float) -> list[Ticket]:
        """Removes and returns the tickets whose deadline has passed."""
        expired = []
        while (first := self._by_deadline.peek()) and first[0] <= now:
            ticket = self.remove(first[1])
            if ticket is not None:
                expired.append(ticket)
        return expired

    def work_ahead(self, ticket: Ticket, service_s: float) -> float:
        """Returns the expected service time ahead of a ticket.

        Args:
            ticket: The ticket, waiting or not; it does not count itself.
            service_s: Its expected service time.
        """
        return self._work_before(ticket, service_s, self._rank(ticket))

    def backlog(self, ticket: Ticket, service_s: float) -> float:
        """Returns the service time of the backlog that the class must clear.

        Unlike ``work_ahead``, this also counts tickets ordered behind the
        ticket, because they belong to programs under way that it would delay.

        Args:
            ticket: A ticket that is not waiting yet.
            service_s: Its expected service time.
        """
        return self._work_before(ticket, service_s, _HIGHEST_RANK)

    def _work_before(
        self, ticket: Ticket, service_s: float, rank: float
    ) -> float:
        ahead = 0.0
        for priority, queue in self._class_by_priority.items():
            if priority < ticket.priority:
                ahead += queue.work_s
            if priority == ticket.priority:
                ahead += queue.work_ahead(ticket.workspace, rank, service_s)
        own = self._entry_by_id.get(ticket.ticket_id)
        return max(0.0, ahead - own.service_s) if own else ahead

    def work_by_priority(self) -> dict[int, float]:
        """Returns the expected service time of the tickets of each class."""
        return {p: q.work_s for p, q in self._class_by_priority.items()}
