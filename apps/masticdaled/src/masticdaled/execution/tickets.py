"""An owner's side of admission: it waits for a ticket at a replica's home."""

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
from masticdaled.background import Background
from masticdaled.cluster import MOVING_KINDS, Cluster

_OFFER_AGAIN_S = 1.0
_MOVING_S = 0.1
_OFFER_TIMEOUT_S = 1.0
_RELEASE_TRIES = 3


@dataclasses.dataclass(slots=True)
class _Wait:
    replica: str
    granted: bool = False
    news: asyncio.Event = dataclasses.field(default_factory=asyncio.Event)


class TicketClient:
    """The tickets that this host's owners wait for."""

    def __init__(self, cluster: Cluster) -> None:
        self._cluster = cluster
        self._background = Background()
        self._wait_by_ticket_id: dict[str, _Wait] = {}

    def handle_grant(self, notice: GrantNotice) -> None:
        """Takes a home's notice; one without tickets says: offer again."""
        for ticket_id in notice.ticket_ids:
            wait = self._wait_by_ticket_id.get(ticket_id)
            if wait is not None:
                wait.granted = True
                wait.news.set()
        if notice.ticket_ids:
            return
        for wait in self._wait_by_ticket_id.values():
            if wait.replica == notice.replica:
                wait.news.set()

    async def acquire(
        self, request: TicketRequest, deadline: float
    ) -> Result[None, Failure]:
        """Waits until the call may be sent to its replica.

        Args:
            request: The ticket; its times are renewed with each offer.
            deadline: Monotonic seconds after which nobody waits.

        Returns:
            The home's refusal, NO_UPSTREAM where it is not to be had, or
            DEADLINE_EXCEEDED. After any failure the ticket is withdrawn.
        """
        wait = _Wait(request.replica)
        self._wait_by_ticket_id[request.ticket_id] = wait
        acquired = False
        try:
            outcome = await self._offer_until(request, wait, deadline)
            acquired = isinstance(outcome, Success)
            return outcome
        finally:
            del self._wait_by_ticket_id[request.ticket_id]
            if not acquired:
                self._withdraw(request)

    async def release(self, release: TicketRelease) -> None:
        """Gives a ticket back to the replica's home."""
        for _ in range(_RELEASE_TRIES):
            home = self._cluster.home_of(release.replica)
            outcome = await self._cluster.calls(home).release(release)
            if isinstance(outcome, Success):
                return

    async def _offer_until(
        self, request: TicketRequest, wait: _Wait, deadline: float
    ) -> Result[None, Failure]:
        started = time.monotonic()
        while True:
            now = time.monotonic()
            if now >= deadline:
                return Failed(Failure(ErrorKind.DEADLINE_EXCEEDED))
            wait.news.clear()
            offer = dataclasses.replace(
                request,
                waited_ms=int((now - started) * 1000) + request.waited_ms,
                deadline_ms=int((deadline - now) * 1000),
            )
            reply = await self._offer(offer)
            if reply.granted or wait.granted:
                return Success(None)
            failure = reply.failure
            if failure is not None and failure.kind not in MOVING_KINDS:
                return Failed(failure)
            pause_s = _OFFER_AGAIN_S if reply.failure is None else _MOVING_S
            wait_s = min(pause_s, max(0.0, deadline - now))
            try:
                async with asyncio.timeout(wait_s):
                    await wait.news.wait()
            except TimeoutError:
                pass
            if wait.granted:
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
