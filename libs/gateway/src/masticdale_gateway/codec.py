"""The values that the data path reads from and writes to headers."""

import dataclasses
from collections.abc import Iterable
from typing import Protocol

from masticdale_gateway.messages import Header, Headers, ResponseHead


@dataclasses.dataclass(frozen=True, slots=True)
class RequestMetadata:
    """The values of a caller's request headers.

    Attributes:
        request_id: Id of the caller's request; all attempts that this host
            makes for it carry the same id. Empty if the caller sent none.
        deadline_s: Seconds that the caller waits; None if unspecified.
        program_id: The agent program it belongs to; empty for none.
        prefix_key: Key of the first part of its prompt; empty for none.
        prompt_parts: Number of parts of its prompt.
        budget_tokens: Output tokens the program may use; None for no budget.
        turn_tokens: Maximum number of output tokens of this turn.
        last_event_id: Last stream event that the caller has; empty for none.
        key_digests: Digest of each API key field; see ``digest_key``.
        previous_turn_id: The turn that this one continues, by the id of its
            request; empty for none.
        session_id: The session it belongs to; empty for none.
        resumed_request_id: The request that brought the first event of the
            stream that this one resumes; empty for a new stream.
    """

    request_id: str
    deadline_s: float | None = None
    program_id: str = ""
    prefix_key: str = ""
    prompt_parts: int = 0
    budget_tokens: int | None = None
    turn_tokens: int = 0
    last_event_id: str = ""
    key_digests: tuple[str, ...] = ()
    previous_turn_id: str = ""
    session_id: str = ""
    resumed_request_id: str = ""

    @property
    def stream_id(self) -> str:
        """The request that brought, or is to bring, a stream's first event."""
        return self.resumed_request_id or self.request_id

    @property
    def is_resumption(self) -> bool:
        """Whether the caller has events of the stream already."""
        return bool(self.resumed_request_id or self.last_event_id)


@dataclasses.dataclass(frozen=True, slots=True)
class ResponseMetadata:
    """The values of a replica's response headers.

    Attributes:
        is_rejected: The replica states that it does not execute the request.
        is_usable: The response is a replica's, and may be forwarded if its body
            is complete.
        running: Requests running at the replica; None if unspecified.
        waiting: Requests queued at the replica.
        retry_after_s: Delay before the next attempt; None if unspecified.
    """

    is_rejected: bool
    is_usable: bool
    running: int | None = None
    waiting: int = 0
    retry_after_s: float | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class ForwardingMetadata:
    """The values to set in a request forwarded to a replica.

    Attributes:
        replica_id: The only replica that may execute the request.
        remaining_s: Seconds until the deadline.
        last_event_id: Event after which a stream resumes; empty to keep the
            caller's.
        workspace: Name of the caller's workspace; empty for none.
    """

    replica_id: str
    remaining_s: float
    last_event_id: str = ""
    workspace: str = ""


class HeaderCodec(Protocol):
    """Parses and builds header fields."""

    def parse_request(self, headers: Headers) -> RequestMetadata:
        """Parses request headers; invalid values count as absent."""
        ...

    def parse_response(self, head: ResponseHead) -> ResponseMetadata:
        """Parses the headers of a response."""
        ...

    def matches_request(self, head: ResponseHead, request_id: str) -> bool:
        """Returns whether a response belongs to a request."""
        ...

    def request_headers(
        self, headers: Headers, metadata: ForwardingMetadata
    ) -> list[Header]:
        """Returns the fields of a request to a replica."""
        ...

    def response_headers(self, head: ResponseHead) -> Iterable[Header]:
        """Returns the fields of a response to forward to the caller."""
        ...

    def error_headers(
        self, request_id: str, retry_after_s: float | None
    ) -> Iterable[Header]:
        """Returns the fields of an error response of this host."""
        ...
