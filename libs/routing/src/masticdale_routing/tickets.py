"""Tickets: one per model or service call that waits for a replica."""

import dataclasses

from masticdale_common import Failure


@dataclasses.dataclass(frozen=True, slots=True)
class Ticket:
    """A call that asks a replica's queue for permission to run.

    Times are seconds of the clock of the host that holds the queue.

    Attributes:
        ticket_id: Unique per attempt at one replica.
        origin: Host that asks.
        workspace: Whose share the call spends.
        program_id: The program the call belongs to.
        priority: Class; 0 is served first.
        queued_at: When the call was first queued anywhere.
        deadline_at: After this the answer is worthless.
        attained_s: Service the program has had; 0 for a new program.
        prompt_tokens: Tokens of the whole context.
        uncached_tokens: Tokens the replica is expected to compute anew.
        max_tokens: Most tokens to generate.
        content_digest: Digest of the request's content.
        exclusive: Runs with nothing else in flight.
    """

    ticket_id: str
    origin: str
    workspace: str
    program_id: str
    priority: int
    queued_at: float
    deadline_at: float
    attained_s: float = 0.0
    prompt_tokens: int = 0
    uncached_tokens: int = 0
    max_tokens: int = 0
    content_digest: str = ""
    exclusive: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class TicketResult:
    """How a granted call ended.

    Attributes:
        crashed: Whether the replica died under it.
        prompt_tokens: Tokens of the prompt.
        cached_tokens: Prompt tokens the engine had cached.
        generated_tokens: Tokens generated.
        service_s: Seconds from the grant to the end; 0 when it never ran.
        first_token_s: Seconds from the grant to the first token; 0 while
            unknown.
    """

    crashed: bool = False
    prompt_tokens: int = 0
    cached_tokens: int = 0
    generated_tokens: int = 0
    service_s: float = 0.0
    first_token_s: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class Granted:
    """The call may be sent now."""


@dataclasses.dataclass(frozen=True, slots=True)
class Queued:
    """The call waits.

    Attributes:
        expected_wait_s: Seconds until its turn, as far as known.
    """

    expected_wait_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class Refused:
    """The call was not run and will not be.

    Attributes:
        failure: Why, with an honest time to come back.
    """

    failure: Failure


OfferResult = Granted | Queued | Refused


@dataclasses.dataclass(frozen=True, slots=True)
class LoadObservation:
    """What a replica said of its load.

    Attributes:
        running: Calls in its batch.
        waiting: Calls it admitted and has not begun.
        observed_at: When this was true, by the queue's clock.
    """

    running: int
    waiting: int
    observed_at: float
