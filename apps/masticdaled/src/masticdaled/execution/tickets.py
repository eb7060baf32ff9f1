"""Client of the admission queues that the homes of replicas keep."""

import asyncio
import dataclasses
import time

from returns.result import Failure as Failed
from returns.result import Result, Success

from masticdale_common import ErrorKind, Failure
from masticdale_peers import (
    GrantNotice,
    TicketRelease,
    TicketReply,
    TicketRequest,
)
from masticdaled.background import BackgroundTasks
from masticdaled.cluster import FAILOVER_KINDS, Cluster

_OFFER_INTERVAL_S = 1.0
_MOVE_RETRY_S = 0.1
_OFFER_TIMEOUT_S = 1.0
_RELEASE_ATTEMPTS = 3


@dataclasses.dataclass(slots=True)
class _Waiter:
    replica: str
    granted: bool = False
    changed: asyncio.Event = dataclasses.field(default_factory=asyncio.Event)


class TicketClient:
    """Acquires and releases tickets for the calls of this host.

    A ticket admits one call to one replica.
    """

    def __init__(self, cluster: Cluster) -> None:
        self._cluster = cluster
        self._background = BackgroundTasks()
        self._waiter_by_ticket_id: dict[str, _Waiter] = {}

    def handle_grant(self, notice: GrantNotice) -> None:
        """Handles a grant notice.

        A notice without tickets asks to offer all tickets of its replica again.
        """
        for ticket_id in notice.ticket_ids:
            waiter = self._waiter_by_ticket_id.get(ticket_id)
            if waiter is not None:
                waiter.granted = True
                waiter.changed.set()
        if notice.ticket_ids:
            return
        for waiter in self._waiter_by_ticket_id.values():
            if waiter.replica == notice.replica:
                waiter.changed.set()

    async def acquire(
        self, request: TicketRequest, deadline: float
    ) -> Result[None, Failure]:
        """Waits until the replica's home grants the ticket.

        Args:
            request: The ticket; each offer updates its wait time and deadline.
            deadline: Monotonic seconds after which to give up.

        Returns:
            The home's refusal, such as NO_UPSTREAM where the replica takes no
            work, or DEADLINE_EXCEEDED. After any failure the ticket is
            withdrawn.
        """
        waiter = _Waiter(request.replica)
        self._waiter_by_ticket_id[request.ticket_id] = waiter
        acquired = False
        try:
            outcome = await self._offer_until_granted(request, waiter, deadline)
            acquired = isinstance(outcome, Success)
            return outcome
        finally:
            del self._waiter_by_ticket_id[request.ticket_id]
            if not acquired:
                self._withdraw(request)

    async def release(self, release: TicketRelease) -> None:
        """Releases a ticket at the replica's home."""
        for _ in range(_RELEASE_ATTEMPTS):
            home = self._cluster.home_of(release.replica)
            outcome = await self._cluster.calls(home).release(release)
            if isinstance(outcome, Success):
                return

    async def _offer_until_granted(
        self, request: TicketRequest, waiter: _Waiter, deadline: float
    ) -> Result[None, Failure]:
        started = time.monotonic()
        while True:
            now = time.monotonic()
            if now >= deadline:
                return Failed(Failure(ErrorKind.DEADLINE_EXCEEDED))
            waiter.changed.clear()
            offer = dataclasses.replace(
                request,
                waited_ms=int((now - started) * 1000) + request.waited_ms,
                deadline_ms=int((deadline - now) * 1000),
            )
            reply = await self._offer(offer)
            if reply.granted or waiter.granted:
                return Success(None)
            failure = reply.failure
            if failure is not None and failure.kind not in FAILOVER_KINDS:
                return Failed(failure)
            pause_s = (
                _OFFER_INTERVAL_S if reply.failure is None else _MOVE_RETRY_S
            )
            wait_s = min(pause_s, max(0.0, deadline - now))
            try:
                async with asyncio.timeout(wait_s):
                    await waiter.changed.wait()
            except TimeoutError:
                pass
            if waiter.granted:
                return Success(None)

    async def _offer(self, offer: TicketRequest) -> TicketReply:
        home = self._cluster.home_of(offer.replica)
        outcome = await self._cluster.calls(home).enqueue(
            offer, _OFFER_TIMEOUT_S
        )
        if isinstance(outcome, Failed):
            return TicketReply(failure=outcome.failure())
        return outcome.unwrap()

    def _withdraw(self, request: TicketRequest) -> None:
        release = TicketRelease(request.ticket_id, request.replica)
        home = self._cluster.home_of(request.replica)
        work = self._cluster.calls(home).withdraw(release)
        self._background.spawn(work)
