"""The state of a replica at its home."""

import dataclasses

from masticdale_config import RenderedEngine
from masticdale_peers import ProbeRequest, TicketRelease, TicketRequest
from masticdale_routing import (
    BranchKey,
    CircuitBreaker,
    EvictionRate,
    PrefixIndex,
    PrefixRequest,
    ReplicaQueue,
    Ticket,
    TicketResult,
)

# Consecutive health checks without an answer after which a replica gets no new
# work.
MAX_MISSED_HEALTH_CHECKS = 2


@dataclasses.dataclass(slots=True)
class ReplicaHome:
    """The state of a replica whose home is this host.

    Attributes:
        engine: The replica's declaration.
        queue: The running and waiting tickets.
        prefixes: Index of the prefixes in its cache.
        request_by_ticket: Requests of the granted and waiting tickets.
        incarnation: Engine process at the last health check; empty before.
        missed_checks: Consecutive health checks without an answer.
        is_tripped: Whether its queue is closed because its circuit is open.
        reported_leaving: Whether the engine last reported that it leaves.
        is_leaving: Whether the engine, its declaration or the platform's list
            says that it leaves.
        events_position: Position of the next cache event to read.
        check_count: Health checks made.
        circuit: Circuit breaker, opened by consecutive failed calls.
        evictions: Rate at which its cache evicts tokens.
        incarnation_by_ticket: Engine process at the grant of each ticket.
    """

    engine: RenderedEngine
    queue: ReplicaQueue
    prefixes: PrefixIndex
    request_by_ticket: dict[str, TicketRequest]
    incarnation: str = ""
    missed_checks: int = 0
    is_tripped: bool = False
    reported_leaving: bool = False
    is_leaving: bool = False
    events_position: int = 0
    check_count: int = 0
    circuit: CircuitBreaker = dataclasses.field(default_factory=CircuitBreaker)
    evictions: EvictionRate = dataclasses.field(default_factory=EvictionRate)
    incarnation_by_ticket: dict[str, str] = dataclasses.field(
        default_factory=dict
    )

    def residence_ms(self, now: float) -> int:
        """Returns how long an unused token stays; 0 without evictions."""
        rate = self.evictions.tokens_per_s(now)
        if rate <= 0 or not self.prefixes.capacity_tokens:
            return 0
        return int(self.prefixes.capacity_tokens / rate * 1000)

    @property
    def is_usable(self) -> bool:
        """True while the replica may get new work."""
        return (
            not self.is_leaving
            and self.missed_checks < MAX_MISSED_HEALTH_CHECKS
        )


def ticket_of(request: TicketRequest, now: float) -> Ticket:
    """Returns the ticket of a request, with times on this host's clock."""
    return Ticket(
        ticket_id=request.ticket_id,
        origin=request.origin,
        workspace=request.workspace,
        program_id=request.program_id,
        priority=request.priority,
        queued_at=now - request.waited_ms / 1000,
        deadline_at=now + request.deadline_ms / 1000,
        attained_s=request.attained_s,
        prompt_tokens=request.prompt_tokens,
        uncached_tokens=request.uncached_tokens,
        max_tokens=request.max_tokens,
        content_digest=request.content_digest,
        exclusive=request.exclusive,
    )


def result_of(release: TicketRelease) -> TicketResult:
    """Returns the result of a call that a release reports."""
    return TicketResult(
        crashed=release.crashed,
        prompt_tokens=release.prompt_tokens,
        cached_tokens=release.cached_tokens,
        generated_tokens=release.generated_tokens,
        service_s=release.service_ms / 1000,
        first_token_s=release.first_token_ms / 1000,
    )


def prefix_request_of(request: TicketRequest | ProbeRequest) -> PrefixRequest:
    """Returns the lookup of a request's prompt in the prefix index."""
    note = request.prefix
    parent = None
    if note.parent_id:
        parent = BranchKey(request.program_id, note.parent_id)
    return PrefixRequest(
        branch=BranchKey(request.program_id, note.branch_id),
        prompt_tokens=request.prompt_tokens,
        template=note.template_digest,
        template_tokens=note.template_tokens,
        parent=parent,
        parent_tokens=note.parent_tokens,
    )
