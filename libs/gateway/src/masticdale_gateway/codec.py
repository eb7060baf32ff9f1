"""What the data path needs to know of the headers that its users speak."""

import dataclasses
from collections.abc import Iterable
from typing import Protocol

from masticdale_gateway.messages import Header, Headers, ResponseHead


@dataclasses.dataclass(frozen=True, slots=True)
class RequestMetadata:
    """What a caller's headers say of its request.

    Attributes:
        request_id: Id of this attempt; empty where the caller gave none.
        deadline_s: How long the caller waits, in seconds; None if not told.
        program_id: The agent program it belongs to; empty for none.
        prefix_key: The first part of its prompt; empty for none.
        prompt_parts: Number of parts of its prompt.
        budget_tokens: Output tokens the program may use; None for no budget.
        turn_tokens: Output tokens this turn may produce at most.
        last_event_id: The caller has the stream up to here; empty for none.
    """

    request_id: str
    deadline_s: float | None = None
    program_id: str = ""
    prefix_key: str = ""
    prompt_parts: int = 0
    budget_tokens: int | None = None
    turn_tokens: int = 0
    last_event_id: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class ResponseMetadata:
    """What a replica's headers say of its answer.

    Attributes:
        is_not_run: The replica states that it did not run the request.
        is_genuine: It is a replica's answer, whole if its body is.
        running: Requests that run there; None where it doesn't tell.
        waiting: Requests that wait there.
        retry_after_s: When it wants the request back; None if not told.
    """

    is_rejected: bool
    is_genuine: bool
    running: int | None = None
    waiting: int = 0
    retry_after_s: float | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class ForwardingMetadata:
    """What a request sent to a replica has to say.

    Attributes:
        replica_id: Only this replica may run it.
        remaining_s: How long anyone waits for the answer.
        last_event_id: Where a stream goes on; empty to keep the caller's.
    """

    replica_id: str
    remaining_s: float
    last_event_id: str = ""


class HeaderCodec(Protocol):
    """Reads and writes the headers."""

    def parse_request(self, headers: Headers) -> RequestMetadata:
        """Returns the metadata of a request; invalid values count as absent."""
        ...

    def parse_response(self, head: ResponseHead) -> ResponseMetadata:
        """Returns the metadata of an answer."""
        ...

    def answers_request(self, head: ResponseHead, request_id: str) -> bool:
        """Returns whether an answer belongs to a request."""
        ...

    def request_headers(
        self, headers: Headers, metadata: ForwardingMetadata
    ) -> list[Header]:
        """Returns the fields to send to a replica."""
        ...

    def response_headers(self, head: ResponseHead) -> Iterable[Header]:
        """Returns the fields of an answer to hand to the caller."""
        ...

    def error_headers(
        self, request_id: str, retry_after_s: float | None
    ) -> Iterable[Header]:
        """Returns the fields of an answer of our own."""
        ...
