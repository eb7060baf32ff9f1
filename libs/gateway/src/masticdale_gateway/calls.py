"""One request on its way, and what the data path needs from other parts."""

import asyncio
import dataclasses
from typing import Protocol

from returns.result import Result

from masticdale_common import Failure
from masticdale_gateway.codec import RequestMetadata
from masticdale_gateway.messages import Request
from masticdale_routing.routes import Route, RouteKind, Service


@dataclasses.dataclass(slots=True)
class Call:
    """A request whose route is known.

    Attributes:
        request: What the caller sent.
        metadata: What its headers say.
        route: Its route.
        service: The service that runs it.
        deadline_at: Loop seconds of the final answer at the latest.
        replica_ids: Replicas that it was sent to, in order.
        events: Stream events handed to the caller.
    """

    request: Request
    metadata: RequestMetadata
    route: Route
    service: Service
    deadline_at: float
    replica_ids: list[str] = dataclasses.field(default_factory=list)
    events: int = 0

    @property
    def remaining_s(self) -> float:
        """Seconds until the deadline; negative after it."""
        return self.deadline_at - asyncio.get_running_loop().time()

    @property
    def is_stream(self) -> bool:
        """Whether it is answered by events."""
        return self.route.kind is RouteKind.STREAMING

    @property
    def is_retriable(self) -> bool:
        """Whether it may run more than once."""
        if self.is_stream:
            return self.route.is_resumable
        return self.route.kind is RouteKind.IDEMPOTENT

    @property
    def placement_key(self) -> str | None:
        """What decides the replica of a stream; None for plain requests."""
        if not self.is_stream:
            return None
        metadata = self.metadata
        return metadata.program_id or metadata.prefix_key or metadata.request_id


@dataclasses.dataclass(frozen=True, slots=True)
class TurnClaim:
    """A turn that asks for a part of its program's budget.

    Attributes:
        program_id: The program.
        request_id: This attempt; asking again for it takes nothing more.
        budget_tokens: The whole budget of the program.
        turn_tokens: What the turn uses at most.
    """

    program_id: str
    request_id: str
    budget_tokens: int
    turn_tokens: int


class BudgetLedger(Protocol):
    """Keeps programs within their budgets."""

    async def admit(
        self, claim: TurnClaim, deadline_at: float
    ) -> Result[None, Failure]:
        """Reserves what a turn may use.

        Failures: BUDGET_EXCEEDED where the budget is spent;
        LEDGER_UNAVAILABLE where nobody can say. Either way the turn must not
        be run.
        """
        ...

    def settle(self, claim: TurnClaim, used_tokens: int) -> None:
        """Reports what an admitted turn has used in the end."""
        ...


@dataclasses.dataclass(frozen=True, slots=True)
class RelaySettings:
    """Limits of the data path.

    Attributes:
        first_event_s: A stream without its first event for this long is
            asked for again on a new connection: connections can go silent
            while their replica works. Callers wait 2 to 3 s.
        next_event_s: The same between two events; replicas at their batch
            limit were seen to pause for 0.3 s.
        repeatable_answer_s: A plain repeatable request without an answer for
            this long is sent again; some ten times its usual work.
        unsafe_idle_s: A request that must not run twice goes on no connection
            that was idle for longer; a dropped one would leave its outcome
            unknown.
        sends: How often one request is sent, at most.
    """

    first_event_timeout_s: float = 1.5
    next_event_timeout_s: float = 1.0
    retriable_response_timeout_s: float = 0.4
    non_retriable_max_idle_s: float = 1.0
    max_sends: int = 5
