"""Tickets, which stand for model or service calls in a replica's queue.

The home of a replica is the host that holds its queue. A call is foreign to a
queue if it runs at the replica but that queue did not grant it.
"""

import dataclasses

from masticdale_common import Failure


@dataclasses.dataclass(frozen=True, slots=True)
class Ticket:
    """A call's request to run at a replica.

    Times are in seconds, by the clock of the host that holds the queue.

    Attributes:
        ticket_id: Id, unique per attempt at one replica.
        origin: Host that sends the call.
        workspace: Workspace whose share the call uses.
        program_id: Id of the call's program.
        priority: Priority class; 0 is served first.
        queued_at: Time at which the call was first queued at any replica.
        deadline_at: Deadline of the call.
        attained_s: Service time the program has had; 0 if it is new.
        prompt_tokens: Length of the whole context in tokens.
        uncached_tokens: Tokens that the replica is expected to compute.
        max_tokens: Maximum number of tokens to generate.
        content_digest: Digest of the request's content.
        exclusive: Whether the call runs with no other in flight.
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
    """Result of a granted call.

    Attributes:
        crashed: Whether the replica crashed during the call.
        prompt_tokens: Length of the prompt in tokens.
        cached_tokens: Prompt tokens served from the engine's cache.
        generated_tokens: Number of generated tokens.
        service_s: Time from the grant to the end; 0 if the call never ran.
        first_token_s: Time from the grant to the first token; 0 if unknown.
    """

    crashed: bool = False
    prompt_tokens: int = 0
    cached_tokens: int = 0
    generated_tokens: int = 0
    service_s: float = 0.0
    first_token_s: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class Granted:
    """The call may be sent to the replica."""


@dataclasses.dataclass(frozen=True, slots=True)
class Queued:
    """The call waits in the queue.

    Attributes:
        expected_wait_s: Expected time until its grant.
    """

    expected_wait_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class Refused:
    """The queue rejects the call.

    Attributes:
        failure: The reason and, if overloaded, the time after which to retry.
    """

    failure: Failure


OfferResult = Granted | Queued | Refused


@dataclasses.dataclass(frozen=True, slots=True)
class LoadObservation:
    """Load reported by a replica.

    Attributes:
        running: Calls in its batch.
        waiting: Calls that it accepted and has not started.
        observed_at: Time of the measurement in seconds, by the queue's clock.
    """

    running: int
    waiting: int
    observed_at: float
