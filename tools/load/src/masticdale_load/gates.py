"""Waiting at a replica's queue: the queue's answers as awaitable results."""

import asyncio
import dataclasses

from masticdale_common import Failure
from masticdale_routing import (
    Granted,
    Refused,
    ReplicaQueue,
    Ticket,
    TicketResult,
)


@dataclasses.dataclass(frozen=True, slots=True)
class Withdrawn:
    """The queue gave a waiting call back, to be placed elsewhere."""


AdmissionResult = Granted | Refused | Withdrawn


class AdmissionGate:
    """Lets calls wait at one queue."""

    def __init__(self, queue: ReplicaQueue) -> None:
        self.queue = queue
        self._future_by_ticket_id: dict[
            str, asyncio.Future[AdmissionResult]
        ] = {}
        self._loop = asyncio.get_running_loop()

    async def wait(
        self, ticket: Ticket, timeout_s: float = 0
    ) -> AdmissionResult:
        """Waits until a ticket may run, is refused or is given back.

        Args:
            ticket: The call.
            timeout_s: Withdraw it after this many seconds; 0 for never.
        """
        offer = self.queue.offer(ticket, self._loop.time())
        if isinstance(offer, (Granted, Refused)):
            return offer
        permission: asyncio.Future[AdmissionResult] = self._loop.create_future()
        self._future_by_ticket_id[ticket.ticket_id] = permission
        try:
            async with asyncio.timeout(timeout_s or None):
                return await permission
        except TimeoutError:
            self.queue.withdraw(ticket.ticket_id, self._loop.time())
            return Withdrawn()
        finally:
            del self._future_by_ticket_id[ticket.ticket_id]

    def finish(self, ticket_id: str, result: TicketResult) -> None:
        """Ends a granted call and grants the next."""
        self.queue.finish(ticket_id, result, self._loop.time())
        self.dispatch_granted()

    def dispatch_granted(self) -> None:
        """Tells granted calls that they may run."""
        for ticket in self.queue.take_granted(self._loop.time()):
            self._resolve(ticket, Granted())

    def close(self, failure: Failure) -> None:
        """Refuses new calls and gives waiting ones back."""
        dropped = self.queue.close(failure, self._loop.time())
        for ticket in dropped.waiting:
            self._resolve(ticket, Withdrawn())

    def _resolve(self, ticket: Ticket, permission: AdmissionResult) -> None:
        waiting = self._future_by_ticket_id.get(ticket.ticket_id)
        if waiting is not None and not waiting.done():
            waiting.set_result(permission)
