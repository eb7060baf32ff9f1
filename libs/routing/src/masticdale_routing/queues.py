"""The queue of one replica, held by the replica's home (see ``tickets``)."""

import dataclasses
from collections.abc import Mapping

from masticdale_common import ErrorKind, Failure, JsonValue
from masticdale_routing.heaps import LazyHeap
from masticdale_routing.inflight import (
    ForeignLoad,
    InFlightLimit,
    InFlightSettings,
)
from masticdale_routing.speeds import EngineSpeed
from masticdale_routing.tickets import (
    Granted,
    LoadObservation,
    OfferResult,
    Queued,
    Refused,
    Ticket,
    TicketResult,
)
from masticdale_routing.waiting import QueueOrder, WaitingTickets

# Time after its deadline at which a granted ticket that was neither finished
# nor withdrawn gives up its slot.
_RUNNING_GRACE_S = 30.0
_MIN_RETRY_S = 0.1


@dataclasses.dataclass(frozen=True, slots=True)
class QueueSettings:
    """Settings of a replica's queue.

    Attributes:
        order: Order within a priority class and workspace.
        age_bound_s: A ticket that waited longer is served before all others.
        max_wait_s_by_priority: Longest expected wait at which a class admits
            new programs; the last entry applies to all further classes.
        max_waiting: Maximum number of waiting tickets.
        in_flight: Bounds of the in-flight limit.
        weight_by_workspace: Fair queueing weights; 1 where absent.
    """

    order: QueueOrder = QueueOrder.ATTAINED_SERVICE
    age_bound_s: float = 300.0
    max_wait_s_by_priority: tuple[float, ...] = (90.0, 2.0, 1.0)
    max_waiting: int = 10_000
    in_flight: InFlightSettings = dataclasses.field(
        default_factory=InFlightSettings
    )
    weight_by_workspace: Mapping[str, float] = dataclasses.field(
        default_factory=dict
    )


@dataclasses.dataclass(frozen=True, slots=True)
class DroppedTickets:
    """Tickets affected by the loss of an origin or the close of a queue.

    Attributes:
        waiting: Tickets that this queue never granted.
        running: Granted tickets; the replica may still be running them.
    """

    waiting: tuple[Ticket, ...]
    running: tuple[Ticket, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class _Running:
    ticket: Ticket
    granted_at: float


class ReplicaQueue:
    """Decides which calls run at one replica, and when.

    Every operation is idempotent by ticket id, because origins retry after lost
    replies and after a failover of the queue to another host.
    """

    def __init__(
        self, replica: str, settings: QueueSettings, speed: EngineSpeed
    ) -> None:
        self.replica = replica
        self.speed = speed
        self._settings = settings
        self._waiting = WaitingTickets(
            settings.order, settings.age_bound_s, settings.weight_by_workspace
        )
        self._running_by_id: dict[str, _Running] = {}
        self._running_by_deadline: LazyHeap[float] = LazyHeap()
        self._newly_granted: dict[str, Ticket] = {}
        self._exclusive_ids: set[str] = set()
        self._limit = InFlightLimit(settings.in_flight)
        self._foreign = ForeignLoad()
        self._close_failure: Failure | None = None

    @property
    def limit(self) -> int:
        """Number of calls that may be in flight."""
        return self._limit.limit

    @property
    def waiting(self) -> int:
        """Number of waiting tickets."""
        return len(self._waiting)

    def in_flight(self, now: float) -> int:
        """Returns the calls at the replica, including foreign ones."""
        return len(self._running_by_id) + self._foreign.count(now)

    def running(self) -> tuple[Ticket, ...]:
        """Returns the tickets that are granted and not finished."""
        return tuple(r.ticket for r in self._running_by_id.values())

    def offer(self, ticket: Ticket, now: float) -> OfferResult:
        """Queues a ticket, or returns the state of one offered before.

        Args:
            ticket: The ticket; one offered again keeps its position.
            now: Current time in seconds.

        Returns:
            Granted, queued with the expected wait, or refused.
        """
        self._expire(now)
        if ticket.ticket_id in self._running_by_id:
            return self._acknowledge_grant(ticket.ticket_id)
        if ticket.ticket_id not in self._waiting:
            refusal = self._check_admission(ticket, now)
            if refusal is not None:
                return Refused(refusal)
            self._waiting.add(ticket, self.speed.service_s(ticket))
        self._grant(now)
        if ticket.ticket_id in self._running_by_id:
            return self._acknowledge_grant(ticket.ticket_id)
        return Queued(self.expected_wait_s(ticket, now))

    def withdraw(self, ticket_id: str, now: float) -> None:
        """Removes a waiting or granted ticket whose caller has gone."""
        self._waiting.remove(ticket_id)
        self._remove_running(ticket_id, now)

    def finish(self, ticket_id: str, result: TicketResult, now: float) -> None:
        """Ends a granted ticket and updates the estimates.

        Unknown ids are ignored.

        Args:
            ticket_id: Id of the ticket.
            result: Result of the call.
            now: Current time in seconds.
        """
        at_limit = self.in_flight(now) >= self.limit
        if self._remove_running(ticket_id, now) is None:
            return
        speed = self.speed.decode_speed(result)
        if speed is not None and not result.crashed:
            self._limit.record_finished(speed, at_limit, now)
        self.speed.observe(result)

    def take_granted(self, now: float) -> list[Ticket]:
        """Returns the tickets granted since the last call, in grant order."""
        self._expire(now)
        self._grant(now)
        granted = list(self._newly_granted.values())
        self._newly_granted.clear()
        return granted

    def adopt(self, ticket: Ticket, now: float) -> None:
        """Takes over a call granted by a previous home, even above the limit.

        Args:
            ticket: Ticket of a call running at the replica.
            now: Current time in seconds.
        """
        if ticket.ticket_id in self._running_by_id:
            return
        self._waiting.remove(ticket.ticket_id)
        self._start(ticket, now)

    def drop_origin(self, host: str, now: float) -> DroppedTickets:
        """Removes the tickets of a dead host."""
        waiting = [t for t in self._waiting.tickets() if t.origin == host]
        running = [t for t in self.running() if t.origin == host]
        for ticket in [*waiting, *running]:
            self.withdraw(ticket.ticket_id, now)
        return DroppedTickets(tuple(waiting), tuple(running))

    def close(self, failure: Failure, now: float) -> DroppedTickets:
        """Closes the queue of a replica that left or died.

        Args:
            failure: Failure with which later offers are refused.
            now: Current time in seconds.

        Returns:
            The removed waiting tickets, to be placed elsewhere, and the running
            ones, which count as in flight until finished or withdrawn.
        """
        self._close_failure = failure
        waiting = self._waiting.tickets()
        for ticket in waiting:
            self.withdraw(ticket.ticket_id, now)
        return DroppedTickets(tuple(waiting), self.running())

    def reopen(self) -> None:
        """Accepts tickets again."""
        self._close_failure = None

    def observe_load(self, observation: LoadObservation, now: float) -> None:
        """Updates the limit and the foreign calls from a load report.

        Args:
            observation: The report.
            now: Current time in seconds.
        """
        granted_at = [r.granted_at for r in self._running_by_id.values()]
        self._foreign.record_load(observation, granted_at, now)
        self._limit.record_load(observation, now)

    def expected_wait_s(self, ticket: Ticket, now: float) -> float:
        """Returns the expected wait of a ticket; also used for probes.

        Args:
            ticket: The ticket; it need not be queued.
            now: Current time in seconds.
        """
        service_s = self.speed.service_s(ticket)
        ahead_s = self._waiting.work_ahead(ticket, service_s)
        return self._drain_s(ahead_s, now)

    def dump(self, now: float) -> JsonValue:
        """Returns the queue's state for a state dump."""
        return {
            "replica": self.replica,
            "limit": self.limit,
            "in_flight": self.in_flight(now),
            "foreign": self._foreign.count(now),
            "waiting": self.waiting,
            "waiting_work_s_by_priority": {
                str(p): round(s, 3)
                for p, s in self._waiting.work_by_priority().items()
            },
            "decode_tokens_per_s": round(self.speed.decode_tokens_per_s, 1),
            "prefill_tokens_per_s": round(self.speed.prefill_tokens_per_s, 1),
            "closed": self._close_failure.kind if self._close_failure else None,
        }

    def _check_admission(self, ticket: Ticket, now: float) -> Failure | None:
        if self._close_failure is not None:
            return self._close_failure
        if ticket.deadline_at <= now:
            return Failure(ErrorKind.DEADLINE_EXCEEDED)
        service_s = self.speed.service_s(ticket)
        wait_s = self._drain_s(self._waiting.backlog(ticket, service_s), now)
        if len(self._waiting) >= self._settings.max_waiting:
            return _overloaded(wait_s / 2)
        # The bound on the wait applies to new programs only: refusing a program
        # under way would waste the service it has had.
        if ticket.attained_s > 0:
            return None
        allowed_s = self._max_wait_s(ticket.priority)
        if wait_s <= allowed_s:
            return None
        return _overloaded(wait_s - allowed_s)

    def _drain_s(self, ahead_s: float, now: float) -> float:
        free = self.limit - self.in_flight(now)
        if free > len(self._waiting):
            return 0.0
        # Running calls are assumed to end evenly spread over the decode time of
        # a mean call, so that the next slot frees up after 1/limit of it.
        next_slot_s = self.speed.decode_only_service_s() if free <= 0 else 0.0
        return (ahead_s + next_slot_s) / max(1, self.limit)

    def _max_wait_s(self, priority: int) -> float:
        bounds = self._settings.max_wait_s_by_priority
        return bounds[min(max(0, priority), len(bounds) - 1)]

    def _acknowledge_grant(self, ticket_id: str) -> Granted:
        self._newly_granted.pop(ticket_id, None)
        return Granted()

    def _grant(self, now: float) -> None:
        while self.in_flight(now) < self.limit:
            if self._exclusive_ids:
                return
            ticket = self._waiting.head(now)
            if ticket is None:
                return
            # An exclusive ticket at the head blocks the queue until the replica
            # is idle. It cannot starve, and a crash has only one suspect.
            if ticket.exclusive and self.in_flight(now) > 0:
                return
            self._waiting.remove(ticket.ticket_id, served=True)
            self._start(ticket, now)
            self._newly_granted[ticket.ticket_id] = ticket

    def _start(self, ticket: Ticket, now: float) -> None:
        self._running_by_id[ticket.ticket_id] = _Running(ticket, now)
        self._running_by_deadline.push(ticket.ticket_id, ticket.deadline_at)
        if ticket.exclusive:
            self._exclusive_ids.add(ticket.ticket_id)

    def _remove_running(self, ticket_id: str, now: float) -> _Running | None:
        running = self._running_by_id.pop(ticket_id, None)
        self._newly_granted.pop(ticket_id, None)
        self._exclusive_ids.discard(ticket_id)
        if running is None:
            return None
        self._running_by_deadline.discard(ticket_id)
        self._foreign.record_finished(running.granted_at, now)
        return running

    def _expire(self, now: float) -> None:
        self._waiting.expire(now)
        # Origins finish or withdraw a ticket by its deadline. If that message
        # is lost, the slot would stay taken and the replica idle.
        while first := self._running_by_deadline.peek():
            if first[0] + _RUNNING_GRACE_S > now:
                return
            self._remove_running(first[1], now)


def _overloaded(retry_s: float) -> Failure:
    retry_ms = int(1000 * max(_MIN_RETRY_S, retry_s))
    return Failure(ErrorKind.OVERLOADED, retry_after_ms=retry_ms)


def create_replica_queue(
    replica: str,
    settings: QueueSettings | None = None,
    speed: EngineSpeed | None = None,
) -> ReplicaQueue:
    """Creates an empty queue for a replica.

    Args:
        replica: Name of the replica.
        settings: Settings of the queue; None for the defaults.
        speed: Estimated speed of the replica; None for the defaults.
    """
    return ReplicaQueue(
        replica, settings or QueueSettings(), speed or EngineSpeed()
    )
