"""Interfaces of model engines and plain services.

The modules ``engine`` and ``service`` implement ``ModelEngine`` and
``PlainService`` over HTTP; ``testing`` has fakes of both.
"""

import dataclasses
import enum
from collections.abc import Callable
from typing import Protocol

from returns.result import Result

from masticdale_common import Failure


@dataclasses.dataclass(frozen=True, slots=True)
class GenerateRequest:
    """One model call.

    Attributes:
        request_id: Unique per attempt; every stream line repeats it.
        program_id: Program that owns the prefix left in the engine's cache.
        branch_id: Branch of the program.
        prompt: The whole context in order: template, history, message.
        max_tokens: Most tokens to generate.
        deadline_s: Seconds from now until the call is abandoned.
        fencing: Fencing number; engines that support fencing reject lower
            ones.
    """

    request_id: str
    program_id: str
    branch_id: str
    prompt: tuple[str, ...]
    max_tokens: int
    deadline_s: float
    fencing: int


@dataclasses.dataclass(frozen=True, slots=True)
class Chunk:
    """Newly generated text.

    Attributes:
        offset: Number of characters generated before this chunk.
        text: The characters of this chunk.
    """

    offset: int
    text: str


@dataclasses.dataclass(frozen=True, slots=True)
class Completion:
    """The whole generated text, checked against the engine's end marker.

    Attributes:
        text: All generated text.
        prompt_tokens: Tokens of the prompt, counted by the engine.
        cached_tokens: Prompt tokens found in the prefix cache.
        generated_tokens: Tokens generated.
    """

    text: str
    prompt_tokens: int
    cached_tokens: int
    generated_tokens: int


@dataclasses.dataclass(frozen=True, slots=True)
class LoadReport:
    """The last load report of a replica, which may be stale.

    Attributes:
        running: Calls in the current batch.
        waiting: Calls admitted but not started.
        cached_tokens: Tokens in the prefix cache.
        cache_capacity: Most tokens that the prefix cache can hold.
        age_ms: Age of the report when it was sent.
    """

    running: int
    waiting: int
    cached_tokens: int
    cache_capacity: int
    age_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class Health:
    """Health of a replica.

    Attributes:
        incarnation: Changes with each restart, which loses all memory.
        leaving: Whether the replica has stopped accepting new work.
    """

    incarnation: str
    leaving: bool


class CacheEventKind(enum.StrEnum):
    """Changes of a program's prefix in an engine's cache."""

    STORED = "stored"
    EVICTED = "evicted"


@dataclasses.dataclass(frozen=True, slots=True)
class CacheEvent:
    """One change in an engine's prefix cache.

    Attributes:
        kind: Kind of the change.
        program_id: Program of the prefix.
        branch_id: Branch of the prefix.
        tokens: Prefix tokens cached after the change; 0 if evicted.
    """

    kind: CacheEventKind
    program_id: str
    branch_id: str
    tokens: int


@dataclasses.dataclass(frozen=True, slots=True)
class CacheEvents:
    """A batch of cache events.

    Attributes:
        position: Position from which the next request continues.
        events: The events in order.
        gap: Whether events before this batch were lost.
    """

    position: int
    events: tuple[CacheEvent, ...]
    gap: bool


@dataclasses.dataclass(frozen=True, slots=True)
class CachedProgram:
    """A program with tokens in an engine's prefix cache."""

    program_id: str
    tokens: int


class OrderKind(enum.StrEnum):
    """Kinds of orders to engines."""

    LOAD_MODEL = "load_model"
    LOAD_ADAPTER = "load_adapter"
    LOAD_VERSION = "load_version"
    CHANGE_ROLE = "change_role"


@dataclasses.dataclass(frozen=True, slots=True)
class Order:
    """An order to an engine.

    Attributes:
        kind: Kind of the order.
        argument: Model, adapter, version or role.
        fencing: Fencing number of the replica's home, which increases with
            each home.
    """

    kind: OrderKind
    argument: str
    fencing: int


class ModelEngine(Protocol):
    """One replica of a model.

    Failures of ``generate``: NO_UPSTREAM (not executed), UPSTREAM_FAILED (the
    replica crashed or the stream broke), OVERLOADED (the replica refused the
    call), DEADLINE_EXCEEDED.
    """

    async def generate(
        self, request: GenerateRequest, on_chunk: Callable[[Chunk], None]
    ) -> Result[Completion, Failure]:
        """Runs one call and resumes a broken or stalled stream by offset."""
        ...

    async def cancel(self, request_id: str) -> Result[None, Failure]:
        """Stops a call whose result is no longer needed."""
        ...

    async def release(self, program_id: str) -> Result[None, Failure]:
        """Frees all memory of a program; idempotent."""
        ...

    async def cached_programs(
        self,
    ) -> Result[tuple[CachedProgram, ...], Failure]:
        """Returns the programs in the prefix cache."""
        ...

    async def load_report(self) -> Result[LoadReport, Failure]:
        """Returns the latest load report."""
        ...

    async def health(self) -> Result[Health, Failure]:
        """Returns the health of the replica."""
        ...

    async def cache_events(
        self, position: int, wait_s: float
    ) -> Result[CacheEvents, Failure]:
        """Returns cache events after a position."""
        ...

    async def export_cache(
        self, program_id: str, branch_id: str
    ) -> Result[str, Failure]:
        """Copies a prefix out of the cache and returns the copy's handle."""
        ...

    async def import_cache(self, handle: str) -> Result[int, Failure]:
        """Loads an exported prefix and returns its number of tokens."""
        ...

    async def order(self, order: Order) -> Result[None, Failure]:
        """Sends an order; fails with CONFLICT if its fencing number is old."""
        ...


@dataclasses.dataclass(frozen=True, slots=True)
class ServiceRequest:
    """One call of a plain service.

    Attributes:
        key: Idempotency key, the same for all attempts of one request.
        operation: Name of the operation.
        payload: JSON text.
        fencing: Epoch of the sender.
        timeout_s: Longest wait for the response.
    """

    key: str
    operation: str
    payload: str
    fencing: int
    timeout_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class ServiceReply:
    """A service's response, verified to be for the request's key.

    Attributes:
        key: The request's idempotency key.
        result: JSON text.
    """

    key: str
    result: str


class PlainService(Protocol):
    """One replica of a plain service.

    Failures of ``call``: NO_UPSTREAM (not executed: no connection was made or
    the service refused the call), BAD_REQUEST (not executed: the service
    rejected the call as invalid), OUTCOME_UNKNOWN (any other failure).
    """

    async def call(
        self, request: ServiceRequest
    ) -> Result[ServiceReply, Failure]:
        """Sends the request without retries."""
        ...

    async def lookup(self, key: str) -> Result[ServiceReply | None, Failure]:
        """Returns the result stored for a key, or None if never executed."""
        ...

    async def health(self) -> Result[Health, Failure]:
        """Returns the health of the service."""
        ...
