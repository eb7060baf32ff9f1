"""Awaitable admission to a replica's queue."""

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
    """A waiting call left the queue and is to be placed again."""


AdmissionResult = Granted | Refused | Withdrawn


class AdmissionGate:
    """Lets calls wait for admission to one queue."""

    def __init__(self, queue: ReplicaQueue) -> None:
        self.queue = queue
        self._future_by_ticket_id: dict[
            str, asyncio.Future[AdmissionResult]
        ] = {}
        self._loop = asyncio.get_running_loop()

    async def wait(
        self, ticket: Ticket, timeout_s: float = 0
    ) -> AdmissionResult:
        """Waits until a ticket is granted, refused or withdrawn.

        Args:
            ticket: Ticket of the call.
            timeout_s: Withdraw it after this many seconds; 0 for never.
        """
        offer = self.queue.offer(ticket, self._loop.time())
        if isinstance(offer, (Granted, Refused)):
            return offer
        future: asyncio.Future[AdmissionResult] = self._loop.create_future()
        self._future_by_ticket_id[ticket.ticket_id] = future
        try:
            async with asyncio.timeout(timeout_s or None):
                return await future
        except TimeoutError:
            self.queue.withdraw(ticket.ticket_id, self._loop.time())
            return Withdrawn()
        finally:
            del self._future_by_ticket_id[ticket.ticket_id]

    def finish(self, ticket_id: str, result: TicketResult) -> None:
        """Reports the end of a granted call and admits the next."""
        self.queue.finish(ticket_id, result, self._loop.time())
        self.dispatch_granted()

    def dispatch_granted(self) -> None:
        """Wakes the calls that the queue has granted."""
        for ticket in self.queue.take_granted(self._loop.time()):
            self._resolve(ticket, Granted())

    def close(self, failure: Failure) -> None:
        """Refuses new calls with a failure and withdraws waiting ones."""
        dropped = self.queue.close(failure, self._loop.time())
        for ticket in dropped.waiting:
            self._resolve(ticket, Withdrawn())

    def _resolve(self, ticket: Ticket, result: AdmissionResult) -> None:
        future = self._future_by_ticket_id.get(ticket.ticket_id)
        if future is not None and not future.done():
            future.set_result(result)
