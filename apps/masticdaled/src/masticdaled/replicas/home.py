"""One replica as its home keeps it."""

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

# Health checks without an answer, one after the other, after which a replica
# gets no new work.
MAX_MISSED_HEALTH_CHECKS = 2


@dataclasses.dataclass(slots=True)
class ReplicaHome:
    """What this host keeps for one replica.

    Attributes:
        engine: The replica's declaration.
        queue: Who runs there and who waits.
        prefixes: What its cache holds.
        request_by_ticket: The granted and waiting tickets as they came.
        incarnation: Process of the engine when last asked; empty at first.
        misses: Health checks without an answer since the last with one.
        is_tripped: Its queue is closed because its circuit is open.
        says_leaving: The engine's own word when it was last asked.
        is_leaving: The engine or the platform's list says that it leaves.
        events_position: Where the next cache events begin.
        ticks: Health checks so far.
        circuit: Keeps new work away after calls that failed one after another.
        evictions: Tokens its cache evicts a second.
        incarnation_by_ticket: Engine process that each ticket was granted at.
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
        """Returns how long an unused token stays; 0 while nothing presses."""
        rate = self.evictions.tokens_per_s(now)
        if rate <= 0 or not self.prefixes.capacity_tokens:
            return 0
        return int(self.prefixes.capacity_tokens / rate * 1000)

    @property
    def is_usable(self) -> bool:
        """True while it may get new work."""
        return (
            not self.is_leaving
            and self.missed_checks < MAX_MISSED_HEALTH_CHECKS
        )


def ticket_of(request: TicketRequest, now: float) -> Ticket:
    """Returns the queue's ticket of a request that came now."""
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
    """Returns what the queue learns from a call that has ended."""
    return TicketResult(
        crashed=release.crashed,
        prompt_tokens=release.prompt_tokens,
        cached_tokens=release.cached_tokens,
        generated_tokens=release.generated_tokens,
        service_s=release.service_ms / 1000,
        first_token_s=release.first_token_ms / 1000,
    )


def prefix_request_of(request: TicketRequest | ProbeRequest) -> PrefixRequest:
    """Returns what the prefix index asks of a prompt."""
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
