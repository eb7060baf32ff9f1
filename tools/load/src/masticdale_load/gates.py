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
class Moved:
    """The queue gave a waiting call back, to be placed elsewhere."""


Permission = Granted | Refused | Moved


class Gate:
    """Lets calls wait at one queue."""

    def __init__(self, queue: ReplicaQueue) -> None:
        self.queue = queue
        self._permission_by_id: dict[str, asyncio.Future[Permission]] = {}
        self._loop = asyncio.get_running_loop()

    async def wait(self, ticket: Ticket, patience_s: float = 0) -> Permission:
        """Waits until a ticket may run, is refused or is given back.

        Args:
            ticket: The call.
            patience_s: Give it back after so long; 0 for never.
        """
        offer = self.queue.offer(ticket, self._loop.time())
        if isinstance(offer, (Granted, Refused)):
            return offer
        permission: asyncio.Future[Permission] = self._loop.create_future()
        self._permission_by_id[ticket.ticket_id] = permission
        try:
            async with asyncio.timeout(patience_s or None):
                return await permission
        except TimeoutError:
            self.queue.withdraw(ticket.ticket_id, self._loop.time())
            return Moved()
        finally:
            del self._permission_by_id[ticket.ticket_id]

    def finish(self, ticket_id: str, result: TicketResult) -> None:
        """Ends a granted call and grants the next."""
        self.queue.finish(ticket_id, result, self._loop.time())
        self.pump()

    def pump(self) -> None:
        """Tells granted calls that they may run."""
        for ticket in self.queue.take_granted(self._loop.time()):
            self._permit(ticket, Granted())

    def close(self, failure: Failure) -> None:
        """Refuses new calls and gives waiting ones back."""
        dropped = self.queue.close(failure, self._loop.time())
        for ticket in dropped.waiting:
            self._permit(ticket, Moved())

    def _permit(self, ticket: Ticket, permission: Permission) -> None:
        waiting = self._permission_by_id.get(ticket.ticket_id)
        if waiting is not None and not waiting.done():
            waiting.set_result(permission)
